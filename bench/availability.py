"""Measures how long keys are unavailable during failures and moves.

Each scenario runs real processes on loopback: a cell of six routers and
twelve ledger upstreams in three failure domains. An open-loop load sends
lookups to all routers while one event happens. A key is unavailable from the
intended start of a request to the end of its next successful response, so the
time for which a router holds a request counts in full.

The baseline of the planned move is the simplest safe procedure, which the
product uses when the division into shards changes: release every unit, then
grant all units again. Both run on the same build in one run.
"""

import json
import os
import pathlib
import signal
import tempfile
import time

import fire

from bench import registry
from demo.cell import WARMUP_SECONDS
from demo.cell import Cell
from demo.processes import ProcessGroup

REQUESTS_PER_SECOND = 300
KEY_COUNT = 48
EVENT_DELAY_SECONDS = 3.0
LOAD_SECONDS = 9.0
OUTAGE_SECONDS = 4.0
# Target: a key is served again within 3 s of a loss.
MAX_UNAVAILABLE_SECONDS = 3.0


class _CellUnderLoad:
    """A cell that serves a load during one scenario."""

    def __init__(self, group, bin_dir):
        self.cell = Cell(group, bin_dir)
        self.cell.start()
        time.sleep(WARMUP_SECONDS + 1.0)

    def measure(self, event):
        """Trigger the event while the load runs; return the load's report."""
        options = {
            '--routers': ','.join(r.address for r in self.cell.routers),
            '--rate': REQUESTS_PER_SECOND,
            '--seconds': LOAD_SECONDS,
            '--kinds': 'lookup=1',
            '--keys': KEY_COUNT,
            '--seed': 1,
            '--timeout-ms': 5000,
        }
        arguments = [word for pair in options.items() for word in pair]
        load = self.cell.start_standin('load', 'load', *arguments)
        load.wait_for(load.lines, 'sending')
        time.sleep(EVENT_DELAY_SECONDS)
        event(self.cell)
        load.finish(LOAD_SECONDS + 30.0)
        return json.loads(load.lines()[-1])


@registry.scenarios.register('nothing')
def _do_nothing(cell):
    pass


@registry.scenarios.register('planned move of a failure domain')
def _drain_domain(cell):
    cell.sillctl('drain', 'failure_domain', 'tw-a')


@registry.scenarios.register('failure domain out and back')
def _drain_and_restore(cell):
    cell.sillctl('drain', 'failure_domain', 'tw-a')
    time.sleep(2.0)
    cell.sillctl('restore', 'failure_domain', 'tw-a')


@registry.scenarios.register('baseline: release everything, then grant')
def _release_everything(cell):
    manifest_file = pathlib.Path(cell.group.directory) / 'hsinchu.ini'
    extra = '\n[range ledger early]\nfirst = CAP-0\nlast = CAP-1\n'
    names = [u.name for u in cell.upstreams if u.service == 'ledger']
    extra += 'upstreams = ' + ', '.join(names) + '\nshards = 8\n'
    manifest_file.write_text(manifest_file.read_text() + extra)
    cell.sillctl('apply', manifest_file)


@registry.scenarios.register('lost upstream process')
def _kill_upstream_process(cell):
    cell.group.find('ledger-tw-b').kill()


@registry.scenarios.register('lost router')
def _kill_router(cell):
    _find_follower(cell).process.kill()


@registry.scenarios.register('lost coordinator')
def _kill_coordinator(cell):
    _find_leader(cell).process.kill()


@registry.scenarios.register('paused coordinator')
def _pause_coordinator(cell):
    pid = _find_leader(cell).process.pid
    _send_signal(pid, signal.SIGSTOP)
    time.sleep(3.0)
    _send_signal(pid, signal.SIGCONT)


@registry.scenarios.register('lost failure domain')
def _kill_domain(cell):
    cell.group.find('ledger-tw-c').kill()
    for router in cell.routers:
        if router.failure_domain == 'tw-c':
            router.process.kill()


@registry.scenarios.register('store down')
def _interrupt_store(cell):
    cell.set_store_fault('down')
    time.sleep(OUTAGE_SECONDS)
    cell.set_store_fault('none')


@registry.scenarios.register('router leaves gracefully')
def _terminate_router(cell):
    _send_signal(_find_follower(cell).process.pid, signal.SIGTERM)


def _send_signal(pid, number):
    os.kill(pid, number)


def _find_leader(cell):
    return next(r for r in cell.routers if r.status()['leading'])


def _find_follower(cell):
    return next(r for r in cell.routers if not r.status()['leading'])


def _row(report):
    outcomes = report['outcomes']
    ok = sum(v for k, v in outcomes.items() if k.endswith(' ok'))
    percentiles = report['unavailable_percentiles']
    return {
        'key_p50_s': round(percentiles['p50'], 3),
        'key_p99_s': round(percentiles['p99'], 3),
        'key_worst_s': round(percentiles['max'], 3),
        'ok': ok,
        'not_ok': report['sent'] - ok,
        'mixed_up': len(report['mixed_up']),
    }


def run(bin_dir, names=None):
    """Run the scenarios, all by default; return a row for each."""
    rows = {}
    for name in names or registry.scenarios.names():
        with (
            tempfile.TemporaryDirectory(prefix='sill-bench-') as directory,
            ProcessGroup(directory) as group,
        ):
            event = registry.scenarios.get(name)
            report = _CellUnderLoad(group, bin_dir).measure(event)
        rows[name] = _row(report)
        print(f'{name:45} {rows[name]}', flush=True)
    return {'target_s': MAX_UNAVAILABLE_SECONDS, 'scenarios': rows}


def main(bin_dir='.venv/bin', only=''):
    """Run the scenarios whose name contains `only` and print their rows."""
    names = [n for n in registry.scenarios.names() if only in n]
    run(bin_dir, names)


if __name__ == '__main__':
    fire.Fire(main)
