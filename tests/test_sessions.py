"""Tests of whole sessions, by golden files and by invariants.

The invariants are those of sections 1.1 and 1.2 of docs/design.md. The
numbers at the tests name the section and its item.
"""

import contextlib
import functools
import os
import pathlib
import subprocess
import sys

from approvaltests import Options
from approvaltests import verify
from approvaltests.approval_exception import ApprovalException
from approvaltests.core.namer import Namer
from approvaltests.reporters import PythonNativeReporter
from approvaltests.reporters import ReporterThatAutomaticallyApproves
import testtools

from tests.sessions import scripts

ROOT = pathlib.Path(__file__).resolve().parent.parent
GOLDEN = ROOT / 'tests' / 'sessions' / 'golden'
# Set by `make golden-update`.
UPDATE_VARIABLE = 'GOLDEN_UPDATE'
# Folder for received files; `bench.mutate` keeps them out of the work tree.
RECEIVED_VARIABLE = 'GOLDEN_RECEIVED_DIR'
HASH_SEEDS = ('1', '2')
HASHED_SESSION = 'drain_at_noon'


class _GoldenNamer(Namer):
    def __init__(self, name):
        self.name = name

    def get_approved_filename(self, base=None):
        return str(GOLDEN / f'{self.name}.txt')

    def get_received_filename(self, base=None):
        folder = os.environ.get(RECEIVED_VARIABLE, GOLDEN)
        return str(pathlib.Path(folder) / f'{self.name}.received.txt')


@functools.cache
def run_once(name):
    """Run a session, once per test process."""
    return scripts.run_session(name)


class GoldenTest(testtools.TestCase):
    """Guards against unintended changes of the recorded messages."""

    def check(self, name):
        text = run_once(name).recorder.render()
        options = Options().with_namer(_GoldenNamer(name))
        if os.environ.get(UPDATE_VARIABLE):
            approve = ReporterThatAutomaticallyApproves()
            # `verify` raises even if its reporter has approved the text.
            with contextlib.suppress(ApprovalException):
                verify(text, options=options.with_reporter(approve))
            return
        verify(text, options=options.with_reporter(PythonNativeReporter()))


def _add_golden_tests():
    for name in scripts.SESSIONS:
        setattr(GoldenTest, f'test_{name}', lambda self, n=name: self.check(n))


_add_golden_tests()


class InvariantTest(testtools.TestCase):
    """Checks the invariants in all sessions, independently of golden files."""

    def run_without_violations(self, name):
        cell = run_once(name)
        self.assertEqual([], cell.violations())
        return cell

    def statuses(self, cell):
        return {
            name: [r['status'] for r in responses]
            for name, responses in cell.answers.items()
        }

    def test_ordinary_morning(self):
        # Guards against a new upstream that is assigned no units (1.1, 10).
        cell = self.run_without_violations('ordinary_morning')
        self.assertEqual({'caller': [200] * 5}, self.statuses(cell))
        self.assertIn('u4', cell.table())
        self.assertEqual(1, cell.count_runs('/ledger/capsule-1/openings'))

    def test_drain_at_noon(self):
        # Guards against requests to a drained domain and failed callers
        # (1.1, 4).
        cell = self.run_without_violations('drain_at_noon')
        self.assertEqual(
            [200], sorted({s[0] for s in self.statuses(cell).values()})
        )
        at_noon = cell.saved_tables['drained']
        self.assertNotIn('u2', at_noon)
        self.assertIn('u2', cell.table())

    def test_slow_start_after_loss(self):
        # Guards against too many requests at a cold upstream (1.1, 3).
        cell = self.run_without_violations('slow_start_after_loss')
        for statuses in self.statuses(cell).values():
            self.assertEqual([200], statuses)
        self.assertEqual(1, cell.upstreams[cell.observed_process].max_running)

    def test_opening_repeated(self):
        # Guards against a request that runs twice (1.1, 7).
        cell = self.run_without_violations('opening_repeated')
        lost, refused, first, again = cell.answers['caller']
        self.assertEqual('unknown', lost['outcome'])
        self.assertEqual('key_outcome_unknown', refused['code'])
        self.assertEqual(first, again)
        self.assertEqual(1, cell.count_runs('/ledger/capsule-7/openings'))
        self.assertEqual(1, cell.count_runs('/ledger/capsule-8/openings'))

    def test_coordinator_paused(self):
        # Guards against two coordinators and a drain that is undone (1.1, 1
        # and 10).
        cell = self.run_without_violations('coordinator_paused')
        self.assertEqual(
            {200}, {s for v in self.statuses(cell).values() for s in v}
        )
        leading = [r for r in cell.routers.values() if r.coordinator]
        self.assertEqual(1, len(leading))
        for router in cell.routers.values():
            self.assertEqual({'u1'}, set(router.state.drained))

    def test_operators_race(self):
        # Guards against a lost update and a manifest that routers do not
        # apply (1.1, 10).
        cell = self.run_without_violations('operators_race')
        self.assertEqual('ok', cell.outcomes['operator-1'][0])
        self.assertEqual('conflict', cell.outcomes['operator-2'][0])
        self.assertEqual('conflict', cell.outcomes['operator-3'][0])
        for router in cell.routers.values():
            self.assertEqual(3, router.state.manifest.version)
        self.assertNotIn('u4', cell.table())

    def test_store_down_for_an_hour(self):
        # Guards against a store outage that stops routing (1.2).
        cell = self.run_without_violations('store_down_for_an_hour')
        during, lost, after = cell.answers['caller']
        self.assertEqual(200, during['status'])
        self.assertEqual('not_run', lost['outcome'])
        self.assertEqual(200, after['status'])

    def test_lost_owner_is_named(self):
        # Guards against a refusal that does not state its reason (section 4).
        cell = run_once('store_down_for_an_hour')
        self.assertEqual('owner_lost', cell.answers['caller'][1]['code'])

    def test_shutdown_during_upload(self):
        # Guards against a shutdown that interrupts a request (1.1, 9).
        cell = self.run_without_violations('shutdown_during_upload')
        self.assertEqual([200], self.statuses(cell)['uploader'])
        self.assertEqual([200], self.statuses(cell)['new'])
        self.assertTrue(cell.routers[cell.observed_process].loop.stopped)


class RepeatableTest(testtools.TestCase):
    """Guards against records that depend on the hash seed."""

    def test_same_bytes_under_other_hash_seeds(self):
        code = (
            'from tests.sessions import scripts; '
            f'cell = scripts.run_session({HASHED_SESSION!r}); '
            'print(cell.recorder.render(), end="")'
        )
        texts = []
        for seed in HASH_SEEDS:
            done = subprocess.run(
                [sys.executable, '-c', code],
                env={**os.environ, 'PYTHONHASHSEED': seed},
                cwd=ROOT,
                capture_output=True,
                check=True,
            )
            texts.append(done.stdout)
        self.assertEqual(texts[0], texts[1])
        expected = run_once(HASHED_SESSION).recorder.render()
        self.assertEqual(expected.encode(), texts[0])
