"""Mutation testing: disables one mechanism at a time and runs its test.

`python -m bench.mutate` prints the result and the test of each mutation. A
mutation survives if its test still passes; the exit code is then 1. Mutations
are applied to temporary copies of the sources, which come first in
PYTHONPATH; the tests are those of the work tree.
"""

import concurrent.futures
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from bench.mutations import MUTATIONS

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = ROOT / 'packages'
PARALLEL_TEST_RUNS = 4
TEST_TIMEOUT_SECONDS = 60.0

NOTICED = 'noticed'
SURVIVED = 'SURVIVED'
NOT_FOUND = 'TEXT NOT FOUND'


def _run_tests(names, directory=None):
    """Return whether tests pass, on the sources in a directory if given.

    A run that exceeds the timeout counts as failed.
    """
    env = dict(os.environ)
    if directory is not None:
        sources = sorted(directory.glob('*/src'))
        env['PYTHONPATH'] = os.pathsep.join(str(path) for path in sources)
        env['GOLDEN_RECEIVED_DIR'] = str(directory)
    try:
        result = subprocess.run(
            [sys.executable, '-m', 'tests', *names],
            cwd=ROOT,
            env=env,
            capture_output=True,
            timeout=TEST_TIMEOUT_SECONDS,
        )
    except subprocess.TimeoutExpired:
        return False
    return result.returncode == 0


def _copy_packages(directory):
    skipped = shutil.ignore_patterns('__pycache__', '*.egg-info')
    for path in PACKAGES.glob('*/src'):
        target = directory / path.relative_to(PACKAGES)
        shutil.copytree(path, target, ignore=skipped)


def _mutated_source(mutation):
    """Return the mutated source, or None if the text to replace is missing."""
    text = (PACKAGES / mutation.file).read_text()
    if mutation.old not in text:
        return None
    changed = text.replace(mutation.old, mutation.new)
    compile(changed, mutation.file, 'exec')
    return changed


def run_mutation(mutation):
    """Run the test of a mutation; return one of the results above."""
    changed = _mutated_source(mutation)
    if changed is None:
        return NOT_FOUND
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        _copy_packages(directory)
        (directory / mutation.file).write_text(changed)
        passed = _run_tests([mutation.test], directory)
    return SURVIVED if passed else NOTICED


def main():
    """Run all mutations; return the exit code."""
    names = sorted({m.test for m in MUTATIONS})
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        _copy_packages(directory)
        if not _run_tests(names, directory):
            print('the tests fail on the unchanged sources')
            return 1
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_TEST_RUNS) as pool:
        results = list(pool.map(run_mutation, MUTATIONS))
    width = max(len(m.mechanism) for m in MUTATIONS)
    for mutation, result in zip(MUTATIONS, results, strict=True):
        print(f'{mutation.mechanism:{width}}  {result:8}  {mutation.test}')
    unnoticed = sum(result != NOTICED for result in results)
    print(f'{len(results) - unnoticed} of {len(results)} mutations noticed')
    return 1 if unnoticed else 0


if __name__ == '__main__':
    sys.exit(main())
