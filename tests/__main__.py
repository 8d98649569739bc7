"""Runs the tests and prints the summary line that CI reads.

`python -m tests [NAME ...]` runs the named test modules, classes or methods,
or all tests. The tests that KNOWN-RED.txt lists run too; those that fail are
printed but not counted as failures. When all tests run, a listed test that
passes counts as a failure, so that the list stays correct.
"""

import pathlib
import sys
import unittest

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / 'KNOWN-RED.txt'
KNOWN_RED_PREFIX = 'test: '


class _Result(testtools.TextTestResult):
    """Records the ids of failed and skipped tests."""

    def __init__(self, stream):
        super().__init__(stream, verbosity=1)
        self.failed_ids = []
        self.skipped_ids = []

    def addError(self, test, err=None, details=None):
        self.failed_ids.append(test.id())
        super().addError(test, err, details)

    def addFailure(self, test, err=None, details=None):
        self.failed_ids.append(test.id())
        super().addFailure(test, err, details)

    def addSkip(self, test, reason=None, details=None):
        self.skipped_ids.append(test.id())
        super().addSkip(test, reason, details)


def _known_red_ids():
    if not KNOWN_RED_FILE.exists():
        return []
    return [
        line[len(KNOWN_RED_PREFIX) :].strip()
        for line in KNOWN_RED_FILE.read_text().splitlines()
        if line.startswith(KNOWN_RED_PREFIX)
    ]


def _load_tests(names):
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))


def main(names):
    """Run the tests and return the exit code of the process."""
    result = _Result(sys.stderr)
    result.startTestRun()
    _load_tests(names).run(result)
    result.stopTestRun()
    known = set(_known_red_ids())
    failed = set(result.failed_ids)
    for name in sorted(known & failed):
        print(f'known red: {name}')
    unexpected_failures = failed - known
    unexpected_passes = set() if names else known - failed
    for name in sorted(unexpected_passes):
        print(f'listed in KNOWN-RED.txt but passes: {name}')
    failure_count = len(unexpected_failures) + len(unexpected_passes)
    passed = result.testsRun - len(failed) - len(result.skipped_ids)
    print(f'{passed} passed, {failure_count} failed')
    return 1 if failure_count else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
