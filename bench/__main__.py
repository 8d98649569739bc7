"""Runs the benchmarks, prints the results and stores the latest ones.

Run it with `python -m bench [--only NAME]` or `make bench`. The results go to
bench/results/latest.json. The machines are shared and noisy, so only ratios
within one run are evidence.
"""

import datetime
import json
import pathlib
import time

import fire

from bench import availability
from bench import control
from bench import data_path
from bench import placement
from bench import policy
from bench import stragglers
from bench import transfer

RESULTS_FILE = pathlib.Path(__file__).with_name('results') / 'latest.json'
BIN_DIR = pathlib.Path('.venv/bin')

BENCHMARKS = {
    'data_path': lambda: data_path.run(BIN_DIR),
    'transfer': lambda: transfer.run(BIN_DIR),
    'stragglers': lambda: stragglers.run(BIN_DIR),
    'availability': lambda: availability.run(BIN_DIR),
    'policy': policy.run,
    'placement': placement.run,
    'control': control.run,
}


def main(only=''):
    """Run the benchmarks whose name contains `only`."""
    results = (
        json.loads(RESULTS_FILE.read_text()) if RESULTS_FILE.exists() else {}
    )
    for name, run in BENCHMARKS.items():
        if only not in name:
            continue
        started = time.monotonic()
        results[name] = run()
        seconds = time.monotonic() - started
        print(f'== {name} ({seconds:.0f} s)', flush=True)
        print(json.dumps(results[name], indent=1), flush=True)
    now = datetime.datetime.now(datetime.UTC)
    results['date'] = now.isoformat(timespec='seconds')
    results['command'] = 'python -m bench'
    RESULTS_FILE.parent.mkdir(exist_ok=True)
    RESULTS_FILE.write_text(
        json.dumps(results, indent=1, sort_keys=True) + '\n'
    )


if __name__ == '__main__':
    fire.Fire(main)
