"""`python -m demo` or `make demo`: a cell under load in which parts fail.

Starts the store, 15 upstreams in three failure domains and six routers on
loopback. Drains a failure domain, restores it, kills a router, and prints the
outcomes of the callers' requests. Exits with 1 if an outcome is out of limits.
"""

import contextlib
import json
import pathlib
import signal
import sys
import tempfile
import time

import fire

from demo.cell import FAILURE_DOMAINS
from demo.cell import Cell
from demo.outcomes import DrainSpan
from demo.outcomes import check_outcomes
from demo.outcomes import print_summary
from demo.processes import ProcessFailed
from demo.processes import ProcessGroup

DRAINED_DOMAIN = FAILURE_DOMAINS[0]
# Times since the start of the load.
DRAIN_AT_SECONDS = 4.0
RESTORE_AT_SECONDS = 13.0
KILL_AT_SECONDS = 21.0
END_AT_SECONDS = 30.0
KINDS = 'lookup=16,handover=2,opening=2,upload=0.2,download=0.1'
KEYS = 60
RETRIES = 8
TIMEOUT_MS = 5000
# The last requests may use all of their retries before the load generator
# prints its report.
FINISH_TIMEOUT_SECONDS = 60.0


def _print_progress(started_at, text):
    print(f'{time.monotonic() - started_at:6.1f} s  {text}', flush=True)


def _wait_until(at):
    time.sleep(max(0.0, at - time.monotonic()))


def _start_load(cell, rate, seed):
    options = {
        '--routers': ','.join(router.address for router in cell.routers),
        '--rate': rate,
        '--seconds': END_AT_SECONDS,
        '--kinds': KINDS,
        '--keys': KEYS,
        '--seed': seed,
        '--retries': RETRIES,
        '--timeout-ms': TIMEOUT_MS,
    }
    arguments = [word for pair in options.items() for word in pair]
    load = cell.start_standin('load', 'load', *arguments)
    load.wait_for(load.lines, 'sending')
    return load


def _run_timeline(cell, load_started_at, started_at):
    names = [
        upstream.name
        for upstream in cell.upstreams
        if upstream.failure_domain == DRAINED_DOMAIN
    ]
    _wait_until(load_started_at + DRAIN_AT_SECONDS)
    cell.sillctl('drain', 'failure_domain', DRAINED_DOMAIN)
    drained_at = time.monotonic()
    _print_progress(started_at, f'drained {DRAINED_DOMAIN}')
    _wait_until(load_started_at + RESTORE_AT_SECONDS)
    restored_at = time.monotonic()
    cell.sillctl('restore', 'failure_domain', DRAINED_DOMAIN)
    _print_progress(started_at, f'restored {DRAINED_DOMAIN}')
    _wait_until(load_started_at + KILL_AT_SECONDS)
    killed = cell.routers[-1]
    killed.process.kill()
    _print_progress(
        started_at, f'killed {killed.name}, process {killed.process.pid}'
    )
    _wait_until(load_started_at + END_AT_SECONDS)
    return DrainSpan(names, drained_at, restored_at)


def _log_directory(logs):
    if not logs:
        return tempfile.TemporaryDirectory(prefix='bramleysill-demo-')
    pathlib.Path(logs).mkdir(parents=True, exist_ok=True)
    return contextlib.nullcontext(logs)


def _run(cell, rate, seed):
    started_at = time.monotonic()
    cell.start()
    _print_progress(started_at, f'{len(cell.routers)} routers ready')
    load = _start_load(cell, rate, seed)
    drain = _run_timeline(cell, time.monotonic(), started_at)
    load.finish(FINISH_TIMEOUT_SECONDS)
    _print_progress(started_at, 'all requests ended')
    report = json.loads(load.lines()[-1])
    ledgers = {u.name: u.read_ledger() for u in cell.upstreams}
    outcomes = check_outcomes(report, ledgers, drain)
    print_summary(report, ledgers, cell.store_counters(), outcomes)
    return any(outcome.is_broken for outcome in outcomes)


def main(rate=150.0, seed=1, bin_dir='', logs=''):
    """Run the demo; `rate` is in requests per second.

    With `logs`, the processes write their logs to that directory, which is
    kept, and the routers log each request.
    """
    # Exit normally on SIGTERM, so that the started processes are terminated.
    signal.signal(signal.SIGTERM, lambda signo, frame: sys.exit(1))
    bin_dir = bin_dir or sys.exec_prefix + '/bin'
    with (
        _log_directory(logs) as directory,
        ProcessGroup(directory) as group,
    ):
        cell = Cell(group, bin_dir, verbose=bool(logs))
        try:
            is_broken = _run(cell, rate, seed)
        except ProcessFailed as exc:
            print(f'demo failed: {exc}', file=sys.stderr)
            sys.exit(1)
    sys.exit(1 if is_broken else 0)


if __name__ == '__main__':
    fire.Fire(main)
