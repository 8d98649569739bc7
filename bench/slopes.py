"""Measures the costs of one process from which docs/CAPACITY.md is computed.

`python -m bench.slopes` writes bench/results/slopes.json. It holds the cost of
coordination by cell size, with the bytes of the real encoding, the codec time
by message, the memory by number of shards and the planning time by number of
upstreams. Times come from a shared machine, so only sizes and the ratios
between times are evidence.
"""

import datetime
import json
import os
import pathlib
import random
import subprocess
import sys
import time
import tracemalloc

from bench import control
from bench import placement as placement_bench
from bramleysill_kernel.common import messages
from bramleysill_kernel.config.manifest_parser import parse_manifest
from bramleysill_kernel.units import ownership
from bramleysill_kernel.units import state
from bramleysill_net.http_client import encode_request
from bramleysill_wire import codec

COMMAND = 'python -m bench.slopes'
RESULTS_FILE = pathlib.Path(__file__).parent / 'results' / 'slopes.json'
MEMORY_SHARDS = (1024, 4096, 16384, 82000)
PLANNING_UPSTREAMS = (30, 120, 480, 5100)
CODEC_ROUTERS = 40
CODEC_REPEATS = 200
CODEC_ROUNDS = 5
MANIFEST_FILE = 'examples/hsinchu.ini'
ROOT = pathlib.Path(__file__).resolve().parent.parent
# Prints the resident memory of an interpreter that has loaded the router.
RSS_SCRIPT = (
    'import bramleysill_router.process, psutil; '
    'print(psutil.Process().memory_info().rss)'
)


class _CountedCell(control.SteppedCell):
    """A cell that counts encoded bytes and keeps a sample of each message."""

    def reset_counts(self):
        super().reset_counts()
        self.samples = {}
        self.encoded_bytes = {}
        self.message_counts = {}

    def _count_message(self, message):
        name = type(message).__name__
        self.messages += 1
        self.message_counts[name] = self.message_counts.get(name, 0) + 1
        size = len(codec.encode(message))
        self.encoded_bytes[name] = self.encoded_bytes.get(name, 0) + size
        self.samples[name] = message


def _settled_cell(routers):
    cell = _CountedCell(routers)
    cell.elect_coordinator()
    cell.run(control.SETTLING_SECONDS)
    cell.reset_counts()
    cell.run(control.MEASURED_SECONDS)
    return cell


def _cell_row(cell, routers):
    seconds = control.MEASURED_SECONDS
    return {
        'routers': routers,
        'coordinator_core': cell.coordinator_seconds / seconds,
        'agent_core': cell.agent_seconds / seconds / routers,
        'messages_per_s': cell.messages / seconds,
        'bytes_per_s': sum(cell.encoded_bytes.values()) / seconds,
        'counts': dict(sorted(cell.message_counts.items())),
    }


def _sample_messages(cell):
    """Return one message of each measured kind from a settled cell."""
    whole = cell.agents['r0'].state.make_update()
    roles = cell.agents['r0'].state.make_update()
    roles.tables = []
    roles.manifest_text = ''
    delta = messages.StateUpdate(
        whole.coordinator, whole.term, whole.serial, whole.manifest_version
    )
    table = whole.tables[0]
    delta.tables = [
        messages.TableUpdate(
            table.service,
            0,
            table.version + 1,
            base=table.version,
            units={'0': ('u1', 2)},
        )
    ]
    return {
        'Heartbeat': cell.samples['Heartbeat'],
        'HeartbeatReply': cell.samples['HeartbeatReply'],
        'StateUpdate, whole': whole,
        'StateUpdate, roles': roles,
        'StateUpdate, one shard': delta,
    }


def _best_mean_us(call, *args):
    """Return the lowest mean time of a call over all rounds, in us."""
    best = float('inf')
    for _ in range(CODEC_ROUNDS):
        start = time.perf_counter()
        for _ in range(CODEC_REPEATS):
            call(*args)
        best = min(best, time.perf_counter() - start)
    return best / CODEC_REPEATS * 1e6


def _codec_rows(cell):
    rows = {}
    for name, message in _sample_messages(cell).items():
        frame = codec.encode(message)
        rows[name] = {
            'bytes': len(frame),
            'encode_us': _best_mean_us(codec.encode, message),
            'decode_us': _best_mean_us(
                codec.decode, frame[codec.LENGTH_PREFIX_BYTES :]
            ),
        }
    return rows


def _filled_table(manifest):
    service = manifest.services['ledger']
    space = ownership.KeySpace(service)
    table = ownership.OwnershipTable('ledger', space.shard_count)
    table.layout = space.layout()
    count = len(manifest.upstreams)
    for number, assignment in enumerate(table.shards):
        assignment.owner = f'u{number % count}'
        assignment.fence = number + 1
    table.version = 1
    return table


def _memory_row(shards):
    per_router = control.UPSTREAMS_PER_ROUTER * control.SHARDS_PER_UPSTREAM
    routers = -(-shards // per_router)
    manifest = control.make_manifest(routers)
    manifest.services['ledger'].shards = shards
    data = _filled_table(manifest).encode()
    tracemalloc.start()
    table = ownership.OwnershipTable.decode(data, 1)
    table_bytes = tracemalloc.get_traced_memory()[0]
    router_state = state.RouterState()
    router_state.set_manifest(control.make_manifest(routers))
    router_state.set_table(table)
    router_state.dispatchers = {
        f'u{n}': (f'r{n % routers}', 1, n)
        for n in range(len(manifest.upstreams))
    }
    router_state.members = {
        f'r{n}': f'10.0.0.{n}:7000' for n in range(routers)
    }
    router_state.units_of('u0')
    router_state.route('ledger', 'k')
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        'shards': shards,
        'upstreams': len(manifest.upstreams),
        'stored_bytes': len(data),
        'table_bytes': table_bytes,
        'state_bytes': state_bytes,
    }


def _planning_row(upstreams):
    rows = placement_bench.measure_method('bounded', upstreams)
    return {
        'upstreams': upstreams,
        'units': upstreams * placement_bench.UNITS_PER_UPSTREAM,
        'domain_lost_s': next(
            r['seconds'] for r in rows if r['case'] == 'domain lost'
        ),
        'worst_s': max(r['seconds'] for r in rows),
    }


def _grant_request_bytes():
    """Return the length of a request that grants shards."""
    body = {
        'dispatcher': 'r10',
        'generation': [1, 40],
        'until_clock_ms': 1764829020000,
        'epoch': 'e1',
        'units': {
            str(1000 + n): 1 for n in range(control.SHARDS_PER_UPSTREAM)
        },
    }
    encoded = json.dumps(body).encode()
    target = '/.sill/grants'
    return len(encode_request('POST', target, '10.0.0.1:7000', (), encoded))


def _manifest_row():
    text = (ROOT / MANIFEST_FILE).read_text()
    parsed = parse_manifest(text, MANIFEST_FILE, 1)
    return {
        'file': MANIFEST_FILE,
        'bytes': len(text.encode()),
        'upstreams': len(parsed.upstreams),
    }


def _loaded_rss_bytes():
    result = subprocess.run(
        [sys.executable, '-c', RSS_SCRIPT],
        capture_output=True,
        check=True,
        cwd=ROOT,
    )
    return int(result.stdout)


def run():
    """Measure and return all slopes."""
    random.seed(placement_bench.SEED)
    cells = {n: _settled_cell(n) for n in control.CELL_SIZES}
    return {
        'command': COMMAND,
        'date': datetime.datetime.now(datetime.UTC).strftime(
            '%Y-%m-%d %H:%M UTC'
        ),
        'processors': os.cpu_count(),
        'load_average': round(os.getloadavg()[0], 1),
        'cells': [_cell_row(cell, n) for n, cell in cells.items()],
        'codec_routers': CODEC_ROUTERS,
        'codec': _codec_rows(cells[CODEC_ROUTERS]),
        'grant_bytes': _grant_request_bytes(),
        'manifest': _manifest_row(),
        'loaded_rss_bytes': _loaded_rss_bytes(),
        'memory': [_memory_row(n) for n in MEMORY_SHARDS],
        'planning': [_planning_row(n) for n in PLANNING_UPSTREAMS],
    }


def main():
    """Write the results to the file and print them."""
    results = run()
    RESULTS_FILE.parent.mkdir(exist_ok=True)
    RESULTS_FILE.write_text(json.dumps(results, indent=1) + '\n')
    print(json.dumps(results, indent=1))


if __name__ == '__main__':
    main()
