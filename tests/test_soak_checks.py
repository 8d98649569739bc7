"""Tests of the soak test's checks: each one detects its violation."""

import pathlib
import signal
import subprocess
import sys
import tempfile

import testtools

from tests.soak_path import ROOT
from tests.soak_path import SOAK_PATH
from tests.soak_path import add_soak_path

add_soak_path()

from bramleysill_soak.callers import Outcome  # noqa: E402
from bramleysill_soak.cell import ROUTER_MEMORY_BYTES  # noqa: E402
from bramleysill_soak.cell import ChildProcess  # noqa: E402
from bramleysill_soak.checks import History  # noqa: E402
from bramleysill_soak.checks import run_checks  # noqa: E402
from bramleysill_soak.key_gaps import GapLengths  # noqa: E402
from bramleysill_soak.uploads import body_digest  # noqa: E402
from bramleysill_soak.upstream_server import response_body  # noqa: E402

FAULTS_END_AT = 100.0
SHORT_RUN_SECONDS = 3
REFUSALS_RUN_SECONDS = 4
RUN_TIMEOUT_SECONDS = 180
# Owners move while they name limits, and upstreams lie or break answers off.
REFUSAL_FAULTS = (
    'ask_time_upstream',
    'break_off_upstreams',
    'break_off_upstreams',
    'configure',
    'deny_upstream',
    'deny_upstream',
    'drain_upstream',
    'leave_upstream',
    'limit_owners',
    'stutter_router',
)
NEVER_RUNS = 'a request answered 408, 421, 429 or 503 never runs'


class _FakeProcess:
    """An upstream process with a given ledger."""

    def __init__(self, name, *ledger, ended_at=float('inf'), fault_spans=()):
        self.name = name
        self.ledger = ledger
        self.ended_at = ended_at
        self.fault_spans = fault_spans


class _FakeRouter:
    def __init__(self, *fault_spans, pause_spans=()):
        self.fault_spans = fault_spans
        self.pause_spans = pause_spans
        self.unexpected_exits = []
        self.peak_memory_bytes = 0


def _grant(at, fence, hold=3.0, first=0, last=9):
    return {
        'event': 'grant',
        'at': at,
        'first': first,
        'last': last,
        'fence': fence,
        'end': at + hold,
    }


def _release(at):
    return {'event': 'release', 'at': at, 'first': 0, 'last': 9, 'fence': 1}


def _run(request_id, path='/keyed/1', body=b''):
    return {
        'event': 'run',
        'at': 1.0,
        'id': request_id,
        'key': 5,
        'path': path,
        'digest': body_digest(body),
    }


def _outcome(status=200, request_id='c-1', route='keyed', sent=120.0):
    outcome = Outcome(request_id, route, 'router-1', sent)
    outcome.ended_at = sent + 0.1
    outcome.status = status
    outcome.signature = f's.{request_id}'
    outcome.body = response_body(request_id)
    return outcome


def _arrivals(*times):
    return [
        {'event': 'arrive', 'at': at, 'id': f'r-{number}'}
        for number, at in enumerate(times)
    ]


class LimitCheckTest(testtools.TestCase):
    """A limit of 2/s allows 17 requests in 4 s, from 3 s after it is named."""

    def _violated(self, lines, outcomes=(), router=None):
        limit = {'event': 'limit', 'at': 10.0, 'rate': 2.0}
        process = _FakeProcess('u1', limit, *lines)
        history = History(
            [_outcome(), *outcomes],
            [process],
            {'router-1': router or _FakeRouter()},
            FAULTS_END_AT,
        )
        return {name for name, _ in run_checks(history)}

    def test_as_many_requests_as_allowed_are_no_violation(self):
        """Guards against a violation at the bound."""
        times = [13.5 + 0.2 * i for i in range(17)]
        self.assertEqual(set(), self._violated(_arrivals(*times)))

    def test_one_request_more_is_found(self):
        """Guards against a check that misses an excess."""
        times = [13.5 + 0.2 * i for i in range(18)]
        violated = self._violated(_arrivals(*times))
        self.assertEqual(
            {'an upstream gets no more requests than its limit allows'},
            violated,
        )

    def test_an_excess_before_the_routers_are_told_is_allowed(self):
        """Guards against a violation while the limit is still news."""
        times = [9.0 + 0.1 * i for i in range(40)]
        self.assertEqual(set(), self._violated(_arrivals(*times)))

    def test_a_router_with_a_fault_is_excused(self):
        """Guards against a violation by a router that was cut off."""
        times = [13.5 + 0.2 * i for i in range(18)]
        outcomes = [_outcome(request_id=f'r-{i}', sent=1.0) for i in range(18)]
        self.assertEqual(
            set(),
            self._violated(
                _arrivals(*times),
                outcomes,
                _FakeRouter((13.0, 17.0)),
            )
            - {'requests are served again after the faults'},
        )


class SoakChecksTest(testtools.TestCase):
    def _violated(self, *processes, outcomes=None, router=None):
        history = History(
            outcomes or [_outcome()],
            processes,
            {'router-1': router or _FakeRouter()},
            FAULTS_END_AT,
        )
        return {name for name, _ in run_checks(history)}

    def test_a_correct_run_violates_no_check(self):
        """Guards against checks that report a violation in a correct run."""
        self.assertEqual(
            set(),
            self._violated(
                _FakeProcess(
                    'u1', _grant(1.0, 1), _grant(2.0, 1), _release(3.0)
                ),
                _FakeProcess('u2', _grant(3.5, 2)),
            ),
        )

    def test_two_owners_are_found(self):
        """Guards against a check that misses two holders of one key."""
        violated = self._violated(
            _FakeProcess('u1', _grant(1.0, 1)),
            _FakeProcess('u2', _grant(3.5, 2)),
        )
        self.assertEqual({'one owner for each key'}, violated)

    def _two_owners(self, router):
        return self._violated(
            _FakeProcess('u1', _grant(1.0, 1)),
            _FakeProcess('u2', _grant(3.5, 2)),
            router=router,
        )

    def test_a_fault_of_a_router_does_not_hide_two_owners(self):
        """Guards against a check that is blind after any fault."""
        self.assertEqual(
            {'one owner for each key'},
            self._two_owners(_FakeRouter((1.0, 3.4))),
        )

    def test_a_late_grant_of_a_paused_router_is_allowed(self):
        """Guards against a violation for a grant that a pause held up."""
        spans = [(1.0, 3.4)]
        router = _FakeRouter(*spans, pause_spans=spans)
        self.assertEqual(set(), self._two_owners(router))

    def test_an_unexpected_exit_of_an_upstream_is_found(self):
        """Guards against a check that looks at routers only."""
        upstream = _FakeRouter()
        upstream.unexpected_exits.append(1)
        history = History(
            [_outcome()], [], {}, FAULTS_END_AT, {'upstream-1': upstream}
        )
        self.assertEqual(
            ['processes end only when they are told to'],
            [name for name, _ in run_checks(history)],
        )

    def test_a_router_that_exceeds_its_memory_is_found(self):
        """Guards against responses without end that fill the memory."""
        router = _FakeRouter()
        router.peak_memory_bytes = ROUTER_MEMORY_BYTES
        self.assertEqual(set(), self._violated(router=router))
        router.peak_memory_bytes += 1
        self.assertEqual(
            {'a router stays within its memory'},
            self._violated(router=router),
        )

    def test_a_hold_ends_with_its_process(self):
        """Guards against a violation for a hold of a killed process."""
        self.assertEqual(
            set(),
            self._violated(
                _FakeProcess('u1', _grant(1.0, 1), ended_at=2.0),
                _FakeProcess('u2', _grant(2.5, 2)),
            ),
        )

    def test_a_fence_that_does_not_rise_is_found(self):
        """Guards against a check that does not compare fences."""
        violated = self._violated(
            _FakeProcess('u1', _grant(1.0, 7), _release(2.0)),
            _FakeProcess('u2', _grant(3.0, 7)),
        )
        self.assertEqual({'fences rise with each owner'}, violated)

    def _work_after_leaving(self, seconds, **kwargs):
        """Return the violations of a run that begins after its caller left."""
        left = _outcome(0, sent=0.2)
        left.left_at = 1.0 - seconds
        process = _FakeProcess('u1', _run('c-1'), **kwargs)
        return self._violated(process, outcomes=[left, _outcome(sent=121.0)])

    def test_work_for_a_caller_that_has_left_is_found(self):
        """Guards against a check that misses late work."""
        self.assertEqual(
            {'no work begins for a caller that has left'},
            self._work_after_leaving(0.6),
        )

    def test_work_that_crosses_with_the_close_is_allowed(self):
        """Guards against a violation for a close that is in transit."""
        self.assertEqual(set(), self._work_after_leaving(0.3))

    def test_work_of_an_upstream_with_a_fault_is_allowed(self):
        """Guards against a violation for a request that a fault held up."""
        spans = [(0.1, 0.9)]
        self.assertEqual(
            set(), self._work_after_leaving(0.6, fault_spans=spans)
        )

    def test_a_second_run_is_found(self):
        """Guards against a check that misses a request that ran twice."""
        violated = self._violated(
            _FakeProcess('u1', _run('c-1')), _FakeProcess('u2', _run('c-1'))
        )
        self.assertEqual({'requests run at most once'}, violated)

    def test_a_request_that_nobody_sent_is_found(self):
        """Guards against requests that stand in an upload and run."""
        process = _FakeProcess('u1', _run('c-1'), _run('forged-c-1'))
        self.assertEqual(
            {'an upstream gets only what callers have sent'},
            self._violated(process),
        )

    def test_another_body_or_path_is_found(self):
        """Guards against an upload that arrives damaged."""
        promise = {'an upstream gets only what callers have sent'}
        outcome = _outcome()
        for line in (_run('c-1', body=b'x'), _run('c-1', path='/read/1')):
            process = _FakeProcess('u1', line)
            self.assertEqual(
                promise, self._violated(process, outcomes=[outcome])
            )

    def test_a_refused_upload_with_other_bytes_is_found(self):
        """Guards against a request that ends up in the upload before it."""
        line = {**_run('c-1', body=b'x'), 'event': 'discard'}
        self.assertEqual(
            {'an upstream gets only what callers have sent'},
            self._violated(_FakeProcess('u1', line)),
        )

    def test_bytes_that_are_no_request_are_found(self):
        """Guards against the rest of an upload on a connection."""
        line = {'event': 'malformed', 'at': 1.0, 'reason': 'no method'}
        self.assertEqual(
            {'an upstream gets only what callers have sent'},
            self._violated(_FakeProcess('u1', line)),
        )

    def test_a_request_that_is_broken_off_is_found(self):
        """Guards against a live upstream that is taken for a lost one."""
        promise = 'no request is broken off while all processes are sound'
        fault = ((119.5, 119.6),)
        line = {'event': 'truncate', 'at': 1.0, 'id': 'c-1'}
        for status, ledger, router, is_violated in (
            (502, (), _FakeRouter(), True),
            (504, (), _FakeRouter(), True),
            (503, (), _FakeRouter(), False),
            (502, (), _FakeRouter(*fault), False),
            (502, (line,), _FakeRouter(), False),
        ):
            violated = self._violated(
                _FakeProcess('u1', *ledger),
                outcomes=[_outcome(status, route='upload')],
                router=router,
            )
            self.assertEqual(is_violated, promise in violated)

    def _false_refusals(self, status, route, at=1.0, **kwargs):
        """Return the violations for a request that is refused and runs."""
        outcomes = [_outcome(status, 'c-2', route)] + [
            _outcome(request_id=f'd-{n}') for n in range(20)
        ]
        line = {**_run('c-2', path=f'/{route}/1'), 'at': at}
        history = History(
            outcomes,
            [_FakeProcess('u1', line, **kwargs)],
            {'router-1': _FakeRouter((0.0, 200.0), pause_spans=((0.0, 9.0),))},
            FAULTS_END_AT,
            seed=77,
        )
        return dict(run_checks(history))

    def test_a_false_refusal_is_found(self):
        """Guards against a check that leaves out a status or a route."""
        for status in (408, 421, 429, 503):
            for route in ('read', 'write', 'keyed', 'upload'):
                found = self._false_refusals(status, route)
                self.assertEqual({NEVER_RUNS}, set(found))

    def test_a_late_run_of_a_refused_request_is_found(self):
        """Guards against a check that ends with the response."""
        self.assertEqual(
            {NEVER_RUNS}, set(self._false_refusals(503, 'keyed', at=150.0))
        )

    def test_no_fault_excuses_a_false_refusal(self):
        """Guards against a check that is blind around faults."""
        found = self._false_refusals(
            503, 'read', ended_at=2.0, fault_spans=((0.0, 200.0),)
        )
        self.assertEqual({NEVER_RUNS}, set(found))

    def test_a_false_refusal_of_the_first_requests_is_found(self):
        """Guards against a check that leaves out requests before faults."""
        probe = _outcome(503, 'probe-1')
        history = History(
            [_outcome()],
            [_FakeProcess('u1', _run('probe-1'))],
            {'router-1': _FakeRouter()},
            FAULTS_END_AT,
            sent=[probe, _outcome()],
        )
        self.assertEqual({NEVER_RUNS}, {n for n, _ in run_checks(history)})

    def test_a_false_refusal_is_traced(self):
        """Guards against a violation that names no seed or upstream."""
        line = self._false_refusals(503, 'keyed')[NEVER_RUNS]
        self.assertEqual(
            'seed 77: c-2 (keyed) sent to router-1 at 120.000 got 503 at '
            '120.100; u1 run 1.000',
            line,
        )

    def test_other_statuses_of_requests_that_ran_are_allowed(self):
        """Guards against a violation for an answer that promises nothing."""
        for status in (200, 502, 504):
            self.assertNotIn(NEVER_RUNS, self._false_refusals(status, 'keyed'))

    def test_a_truncated_response_is_found(self):
        """Guards against a check that compares only the status."""
        outcome = _outcome()
        outcome.body = outcome.body[:10]
        self.assertEqual(
            {'answers are whole and belong to the request'},
            self._violated(outcomes=[outcome]),
        )

    def test_a_closed_connection_is_found(self):
        """Guards against a check that misses requests without a response.

        It applies only to a router that had no fault.
        """
        outcomes = [_outcome(0, 'c-2')] + [
            _outcome(request_id=f'd-{n}') for n in range(20)
        ]
        self.assertEqual(
            {'a sound router answers each request'},
            self._violated(outcomes=outcomes),
        )
        self.assertEqual(
            set(),
            self._violated(
                outcomes=outcomes, router=_FakeRouter((119.0, 121.0))
            ),
        )

    def test_a_router_that_is_being_loaded_may_refuse_connections(self):
        """Guards against a violation for a router that was just restarted.

        A refused connection is a violation only if the router has been
        running for some time.
        """
        outcomes = [_outcome(0, 'c-2')] + [
            _outcome(request_id=f'd-{n}') for n in range(20)
        ]
        outcomes[0].connected = False
        self.assertEqual(
            set(),
            self._violated(
                outcomes=outcomes, router=_FakeRouter((116.0, 118.0))
            ),
        )
        self.assertEqual(
            {'a sound router answers each request'},
            self._violated(
                outcomes=outcomes, router=_FakeRouter((110.0, 112.0))
            ),
        )

    def test_a_cell_that_does_not_recover_is_found(self):
        """Guards against a check that misses a cell that serves nothing."""
        self.assertEqual(
            {'requests are served again after the faults'},
            self._violated(outcomes=[_outcome(503)]),
        )


class KeyGapsTest(testtools.TestCase):
    def _history(self, *fault_spans, second_hold_at=6.0):
        return History(
            [_outcome()],
            [
                _FakeProcess('u1', _grant(2.0, 1, first=0, last=65535)),
                _FakeProcess(
                    'u2', _grant(second_hold_at, 2, first=0, last=65535)
                ),
            ],
            {'router-1': _FakeRouter(*fault_spans)},
            FAULTS_END_AT,
            started_at=1.0,
            ended_at=second_hold_at + 6.0,
        )

    def test_times_without_a_holder_are_found(self):
        """Guards against gaps that are missed at the start or the end."""
        gaps = GapLengths(self._history().gaps)
        count = len(gaps.lengths) // 3
        self.assertEqual([1.0] * 2 * count + [3.0] * count, gaps.lengths)
        self.assertEqual(1.0, gaps.quantile(0.5))
        self.assertEqual(3.0, gaps.quantile(1.0))

    def _unexcused(self, *fault_spans):
        """Return the checked gaps between holds to 5.0 and from 10.0 s."""
        history = self._history(*fault_spans, second_hold_at=10.0)
        return [
            line
            for name, line in run_checks(history)
            if name == 'keys have a holder again 3 s after a fault'
            and ' from 5.000 to 10.000' in line
        ]

    def test_a_gap_without_a_fault_is_found(self):
        """Guards against a slow recovery that passes unseen."""
        self.assertEqual(1, len(self._unexcused()))

    def test_a_gap_that_outlasts_the_recovery_is_found(self):
        """Guards against a fault that excuses all that follows."""
        self.assertEqual(1, len(self._unexcused((4.0, 6.9))))
        self.assertEqual(1, len(self._unexcused((8.1, 9.0))))

    def test_faults_and_the_recovery_from_them_are_excused(self):
        """Guards against a violation while faults follow each other."""
        self.assertEqual([], self._unexcused((4.0, 7.0)))
        self.assertEqual([], self._unexcused((1.0, 3.0), (7.9, 8.0)))


class ChildProcessTest(testtools.TestCase):
    def _handles_hangup(self, action):
        """Return what a child reports that sets this action for SIGHUP."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        directory = temporary.name
        child = ChildProcess('child', directory)
        self.addCleanup(child.kill)
        code = f'import signal, time; signal.signal(1, signal.{action});'
        (pathlib.Path(directory) / 'child_module.py').write_text(
            code + 'print("set", flush=True); time.sleep(60)'
        )
        child.start('child_module', env={'PYTHONPATH': directory})
        while not child.log_path.read_bytes():
            self.assertTrue(child.running)
        return child.handles(signal.SIGHUP)

    def test_a_signal_that_would_end_the_process_is_known(self):
        """Guards against a fault that ends a process before its program."""
        self.assertTrue(self._handles_hangup('SIG_IGN'))
        self.assertTrue(self._handles_hangup('default_int_handler'))
        self.assertFalse(self._handles_hangup('SIG_DFL'))


class ShortSoakTest(testtools.TestCase):
    def _run(self, seed, seconds, *arguments):
        path = [str(SOAK_PATH), str(ROOT / 'platform' / 'src')]
        path += [str(p) for p in (ROOT / 'packages').glob('*/src')]
        done = subprocess.run(
            [
                sys.executable,
                '-m',
                'bramleysill_soak',
                f'--seed={seed}',
                f'--seconds={seconds}',
                *arguments,
            ],
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_SECONDS,
            env={'PATH': '', 'PYTHONPATH': ':'.join(path)},
            check=False,
        )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)

    def test_a_short_run_with_a_fixed_seed(self):
        """Guards against violations under a few faults."""
        self._run(1, SHORT_RUN_SECONDS)

    def test_a_short_run_with_refusals(self):
        """Guards against "not run" for a request that ran."""
        self._run(
            2,
            REFUSALS_RUN_SECONDS,
            '--gap=0.25',
            '--callers=24',
            '--faults=' + ','.join(REFUSAL_FAULTS),
        )
