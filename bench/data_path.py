"""Compares requests/s and latency through a router with a direct connection.

One stand-in upstream process, one store and two routers run on loopback. The
same closed-loop load of small lookups goes directly to the upstream, through
the router that dispatches to the owner (local), and through the other router
(forwarded). The three paths alternate over several rounds, so that other load
on the machine affects all of them alike. Only the ratios are evidence.
"""

import json
import pathlib
import tempfile
import time

from hdrh.histogram import HdrHistogram
import psutil

from bench.path_load import ClosedLoopLoad
from demo.cell import WARMUP_SECONDS
from demo.cell import Cell
from demo.cell import keys_owned_by
from demo.processes import ProcessGroup

ROUNDS = 3
SECONDS_PER_RUN = 1.5
KEY_COUNT = 64
CONNECTIONS = 4
MAX_LATENCY_US = 10_000_000


class _PathTotals:
    """Totals of one path over all rounds."""

    def __init__(self):
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.count = 0
        self.seconds = 0.0
        self.cpu_seconds = 0.0
        self.failed = 0

    def add(self, load, cpu_seconds):
        """Add the result of one run; `cpu_seconds` is processor seconds."""
        for value in load.latencies_us:
            self.histogram.record_value(min(value, MAX_LATENCY_US))
        self.count += len(load.latencies_us)
        self.failed += load.failed
        self.seconds += load.seconds
        self.cpu_seconds += cpu_seconds

    def row(self):
        """Return the figures of this path."""
        percentile = self.histogram.get_value_at_percentile
        return {
            'requests_per_s': round(self.count / self.seconds),
            'p50_us': percentile(50),
            'p99_us': percentile(99),
            'cpu_us_per_request': round(
                self.cpu_seconds / max(1, self.count) * 1e6
            ),
            'failed': self.failed,
        }


def _cpu_seconds(pids):
    total = 0.0
    for pid in pids:
        times = psutil.Process(pid).cpu_times()
        total += times.user + times.system
    return total


def _measure(cell, addresses, keys_by_path):
    totals = {name: _PathTotals() for name in addresses}
    pids = [router.process.pid for router in cell.routers]
    for _ in range(ROUNDS):
        for name, address in addresses.items():
            before = _cpu_seconds(pids)
            load = ClosedLoopLoad(
                address, keys_by_path[name], CONNECTIONS, SECONDS_PER_RUN
            )
            load.run()
            totals[name].add(load, _cpu_seconds(pids) - before)
    return {name: total.row() for name, total in totals.items()}


def _dispatcher_of(cell, upstream):
    for router in cell.routers:
        if upstream in router.status()['dispatching']:
            return router
    raise RuntimeError(f'no dispatcher of {upstream}')


def run(bin_dir):
    """Run the benchmark; return figures and ratios to the direct path."""
    with (
        tempfile.TemporaryDirectory(prefix='bramleysill-bench-') as directory,
        ProcessGroup(directory) as group,
    ):
        cell = Cell(group, bin_dir)
        cell.start(
            ['tw-a', 'tw-b'],
            ledgers=1,
            routers=1,
            options=('--service-ms', 0),
        )
        # Wait until slow start has ended.
        time.sleep(WARMUP_SECONDS + 1.0)
        ledger = next(u for u in cell.upstreams if u.service == 'ledger')
        local_router = _dispatcher_of(cell, ledger.name)
        forwarding_router = next(
            r for r in cell.routers if r is not local_router
        )
        addresses = {
            'direct': f'127.0.0.1:{ledger.port}',
            'local': local_router.address,
            'forwarded': forwarding_router.address,
        }
        table = cell.read_table('ledger')
        keys = keys_owned_by(ledger.name, table, KEY_COUNT)
        keys_by_path = {
            'direct': [(key, unit, fence) for key, unit, fence in keys],
            'local': [(key, None, None) for key, _, _ in keys],
            'forwarded': [(key, None, None) for key, _, _ in keys],
        }
        rows = _measure(cell, addresses, keys_by_path)
    direct = rows['direct']
    ratios = {
        name: {
            'throughput': round(
                row['requests_per_s'] / direct['requests_per_s'], 3
            ),
            'p50': round(row['p50_us'] / direct['p50_us'], 2),
            'p99': round(row['p99_us'] / direct['p99_us'], 2),
        }
        for name, row in rows.items()
        if name != 'direct'
    }
    return {'ways': rows, 'ratios_to_direct': ratios}


def main(bin_dir='.venv/bin'):
    """Print the figures and the ratios."""
    results = run(pathlib.Path(bin_dir))
    for name, row in results['ways'].items():
        cells = '  '.join(f'{k} {v}' for k, v in row.items())
        print(f'{name:10} {cells}')
    print(json.dumps(results['ratios_to_direct']))


if __name__ == '__main__':
    main()
