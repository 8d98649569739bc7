"""Measures the tail latency while two of six upstreams are slowed.

Six upstream stand-ins with a service time of 5 ms, a store and three routers
run on loopback. The same open-loop load of small downloads runs with none
slowed and with two of the six slowed tenfold, first under `round_robin`
without hedging and then under `power_of_two` with hedging. Both policies run
in one cell, so that other load on the machine affects them alike. Only the
ratios are evidence. The outlier detector is always on, so the baseline
benefits from it as well.
"""

import json
import pathlib
import tempfile
import urllib.request

from bramleysill_net.loop import Loop
from bramleysill_standins.kinds import kinds
from bramleysill_standins.load import LoadGenerator
from bramleysill_standins.load import LoadSettings
from bramleysill_standins.load import make_report
from bramleysill_standins.load import parse_routers
from demo.cell import FAILURE_DOMAINS
from demo.cell import HTTP_TIMEOUT_SECONDS
from demo.cell import WARMUP_SECONDS
from demo.cell import Cell
from demo.processes import ProcessGroup

UPSTREAMS_PER_DOMAIN = 2
SERVICE_MS = 5
SLOW_FACTOR = 10
SLOWED_UPSTREAMS = 2
REQUEST_KIND = 'small_download'
DOWNLOAD_BYTES = 2048
# Keeps six upstreams and three routers far from saturation on a shared
# machine. The two slowed upstreams alone would be about 60% utilised.
REQUESTS_PER_SECOND = 300.0
PRELOAD_SECONDS = 4.0
MEASURED_SECONDS = 9.0
TIMEOUT_MS = 2000
SEED = 20261204
MAX_P99_RATIO = 1.5
POLICIES = {
    'round_robin': 'balancer = round_robin\nhedge = no\n',
    'power_of_two+hedging': 'balancer = power_of_two\nhedge = yes\n',
}
_SERVICE_LINES = '[service intake]\nkind = shared\n'


@kinds.register(REQUEST_KIND)
def plan_small_download(plan):
    """Plan the download of a small body from the intake service."""
    plan.download_size = DOWNLOAD_BYTES
    plan.path = f'/intake/{plan.key}?bytes={DOWNLOAD_BYTES}'


class _SharedCell(Cell):
    """A cell with several upstreams of the shared service per domain."""

    def _start_intake(self, domain):
        name = f'intake-{domain}'
        process = self.start_standin(
            name,
            'upstream',
            *('--name', name, '--count', UPSTREAMS_PER_DOMAIN),
            *('--service-ms', SERVICE_MS, '--warmup-s', WARMUP_SECONDS),
            *('--authority', 'unchecked'),
        )
        ports = self._wait_for_ports(process, UPSTREAMS_PER_DOMAIN)
        for number, port in enumerate(ports, 1):
            self._add_upstream(f'{name}-{number:02d}', 'intake', domain, port)

    def apply_policy(self, name):
        """Apply a manifest with the balancer and hedging of a policy."""
        directory = pathlib.Path(self.group.directory)
        text = (directory / 'hsinchu.ini').read_text()
        lines = _SERVICE_LINES + POLICIES[name]
        manifest_file = directory / 'policy.ini'
        manifest_file.write_text(text.replace(_SERVICE_LINES, lines))
        self.sillctl('apply', manifest_file)

    def set_fault_mode(self, mode):
        """Set a fault mode at the upstreams that are to be slowed.

        These are in different failure domains.
        """
        shared = [u for u in self.upstreams if u.service == 'intake']
        for upstream in shared[:: len(shared) // SLOWED_UPSTREAMS]:
            query = f'mode={mode}&factor={SLOW_FACTOR}'
            url = f'http://127.0.0.1:{upstream.port}/.sill/faults?{query}'
            req = urllib.request.Request(url, data=b'', method='POST')
            with urllib.request.urlopen(req, timeout=HTTP_TIMEOUT_SECONDS):
                pass

    def count_event(self, name):
        """Return the sum of an event counter over all routers."""
        return sum(r.status()['events'].get(name, 0) for r in self.routers)


def _run_load(cell, seconds, seed):
    addresses = ','.join(router.address for router in cell.routers)
    settings = LoadSettings(
        REQUESTS_PER_SECOND,
        seconds,
        {REQUEST_KIND: 1},
        seed=seed,
        timeout_ms=TIMEOUT_MS,
    )
    loop = Loop()
    generator = LoadGenerator(loop, parse_routers(addresses), settings)
    generator.start()
    timeout_seconds = seconds + 2 * TIMEOUT_MS / 1000
    loop.run_until(generator.is_done, timeout_seconds)
    return make_report(generator)


def _row(cell, load_report, before):
    latency = load_report['latency_ms'][REQUEST_KIND]
    return {
        'p50_ms': latency['p50'],
        'p99_ms': latency['p99'],
        'p99.9_ms': latency['p99.9'],
        'sent': load_report['sent'],
        'ok': latency['count'],
        'mixed_up': len(load_report['mixed_up']),
        'hedges': cell.count_event('hedge_sent') - before,
    }


def _measure(cell, name):
    cell.apply_policy(name)
    _run_load(cell, PRELOAD_SECONDS, SEED)
    rows = {}
    for label, mode in (('none', 'none'), ('two', 'slow')):
        before = cell.count_event('hedge_sent')
        cell.set_fault_mode(mode)
        load_report = _run_load(cell, MEASURED_SECONDS, SEED + 1)
        rows[label] = _row(cell, load_report, before)
    cell.set_fault_mode('none')
    return rows


def run(bin_dir):
    """Run the benchmark; return rows and ratios for each policy."""
    with (
        tempfile.TemporaryDirectory(prefix='bramleysill-bench-') as directory,
        ProcessGroup(directory) as group,
    ):
        cell = _SharedCell(group, bin_dir)
        cell.start(FAILURE_DOMAINS, ledgers=1, routers=1)
        results = {name: _measure(cell, name) for name in POLICIES}
    ratios = {
        name: {
            p: round(rows['two'][f'{p}_ms'] / rows['none'][f'{p}_ms'], 2)
            for p in ('p50', 'p99', 'p99.9')
        }
        for name, rows in results.items()
    }
    return {'rows': results, 'two_to_none': ratios}


def main(bin_dir='.venv/bin'):
    """Print the results and whether the target is met."""
    results = run(pathlib.Path(bin_dir))
    for name, rows in results['rows'].items():
        for label, row in rows.items():
            cells = '  '.join(f'{k} {v}' for k, v in row.items())
            print(f'{name:22} {label:5} {cells}')
    print(json.dumps(results['two_to_none']))
    ratio = results['two_to_none']['power_of_two+hedging']['p99']
    verdict = 'met' if ratio <= MAX_P99_RATIO else 'missed'
    print(f'target p99 within {MAX_P99_RATIO}x: {ratio}x, {verdict}')


if __name__ == '__main__':
    main()
