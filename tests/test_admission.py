"""Tests of admission control for one upstream."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import testtools

from bramleysill_kernel.common import refusals
from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.common.exceptions import OUTCOME_NOT_RUN
from bramleysill_kernel.load import admission
from bramleysill_kernel.load.admission import ADMITTED
from bramleysill_kernel.load.admission import QUEUED
from bramleysill_kernel.load.admission import RESULT_OK
from bramleysill_kernel.load.admission import Admission
from bramleysill_kernel.load.queueing import WorkItem
from bramleysill_kernel.load.slow_start import SlowStart


def _item(number, clock, unit='1', timeout=10.0, caller='a', priority=1):
    deadline = clock.now() + timeout
    return WorkItem(number, 'ledger', unit, 1, deadline, caller, priority)


def _warm(clock, slots=2, **kwargs):
    """Return an Admission without slow start."""
    slow_start = SlowStart(clock, slots, cold_bound=slots)
    return Admission('u1', clock, slots, slow_start, **kwargs)


class AdmissionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.admission = _warm(self.clock)

    def _offer(self, count, **kwargs):
        items = [_item(n, self.clock, **kwargs) for n in range(count)]
        return items, [self.admission.offer(item) for item in items]

    def _serve(self, seconds):
        """Complete a request with the given service time."""
        item = _item('served', self.clock)
        self.admission.offer(item)
        self.clock.advance(seconds)
        self.admission.finished(item, RESULT_OK)

    def test_slots_limit_requests_and_a_free_slot_goes_to_the_queue(self):
        """Guards against too many requests and against unused slots."""
        items, results = self._offer(3)
        self.assertEqual([ADMITTED, ADMITTED, QUEUED], results)
        started = self.admission.finished(items[0], RESULT_OK)
        self.assertEqual([items[2]], started)
        self.assertEqual(2, self.admission.most_in_flight)

    def test_request_that_cannot_finish_is_refused_at_once(self):
        """Guards against queueing requests that must miss their deadline."""
        self._serve(1.0)
        self._offer(4)
        refusal = self.admission.offer(_item('x', self.clock, timeout=1.5))
        self.assertIsInstance(refusal, refusals.Overloaded)
        self.assertEqual(OUTCOME_NOT_RUN, refusal.outcome)
        self.assertEqual(1.5, refusal.retry_after)
        refusal = self.admission.offer(_item('x', self.clock, timeout=0.0))
        self.assertIsInstance(refusal, refusals.DeadlineNotRun)

    def test_wait_counts_a_stalled_upstream(self):
        """Guards against an estimate that only uses past responses."""
        self._serve(0.01)
        self._offer(2)
        self.clock.advance(1.0)
        self.admission.tick()
        self.assertEqual(0.5, self.admission.expected_wait_seconds())

    def test_tick_drops_what_cannot_finish(self):
        """Guards against using a slot for a response that will be too late."""
        self._serve(1.0)
        items, _ = self._offer(3, timeout=2.0)
        self.clock.advance(1.5)
        self.assertEqual([], self.admission.tick())
        dropped = self.admission.take_dropped()
        self.assertEqual([items[2]], [item for item, _ in dropped])
        self.assertIsInstance(dropped[0][1], refusals.DeadlineNotRun)
        self.assertEqual([], self.admission.take_dropped())

    def test_contended_slot_goes_to_a_request_that_can_finish(self):
        """Guards against slots for requests that will probably end late."""
        for waiting in (1, 2):
            self.admission = _warm(self.clock)
            self._serve(1.0)
            running, _ = self._offer(2)
            tight = _item('tight', self.clock, timeout=2.0)
            self.admission.offer(tight)
            self._offer(waiting - 1, timeout=9.0, caller='b')
            self.clock.advance(0.5)
            (started,) = self.admission.finished(running[0], 'error')
            self.assertEqual(waiting == 1, started is tight)

    def test_full_queue_sheds_the_least_valuable(self):
        """Guards against refusing a request for a less valuable one."""
        self.admission = _warm(self.clock, queue_length=2)
        items, _ = self._offer(4, priority=1)
        better = _item('better', self.clock, priority=2)
        self.assertEqual(QUEUED, self.admission.offer(better))
        dropped = self.admission.take_dropped()
        self.assertEqual([items[3]], [item for item, _ in dropped])
        worse = _item('worse', self.clock, priority=0)
        self.assertIsInstance(self.admission.offer(worse), refusals.Overloaded)

    def test_abandoned_slot_is_freed_only_after_a_response(self):
        """Guards against new requests to an upstream that may be frozen."""
        items, _ = self._offer(2, timeout=5.0)
        self.admission.cancel(items[0])
        for seconds in (4.0, 1.0 + 2 * admission.ABANDONED_MARGIN_SECONDS):
            self.clock.advance(seconds)
            self.assertEqual([], self.admission.tick())
            self.assertEqual(2, self.admission.in_flight)
        self.admission.note_alive()
        self.admission.tick()
        self.assertEqual(1, self.admission.in_flight)
        self.admission.cancel(items[1])
        self.clock.advance(admission.DEFAULT_SETTLE_SECONDS + 1.0)
        self.admission.tick()
        self.assertEqual(0, self.admission.in_flight)

    def test_held_unit_waits_and_others_go_on(self):
        """Guards against requests of a moving unit at its old owner."""
        items, _ = self._offer(2, unit='1')
        self.admission.offer(queued := _item('q', self.clock, unit='1'))
        self.admission.hold('1')
        self.admission.offer(late := _item('late', self.clock, unit='1'))
        self.admission.offer(other := _item('o', self.clock, unit='2'))
        self.assertEqual([other], self.admission.finished(items[0], RESULT_OK))
        self.assertFalse(self.admission.is_idle('1'))
        self.assertEqual([], self.admission.finished(items[1], RESULT_OK))
        self.assertTrue(self.admission.is_idle('1'))
        self.assertEqual([queued, late], self.admission.withdraw('1'))
        self.assertEqual(0, self.admission.queued)

    def test_hold_ends_with_a_start_or_a_refusal(self):
        """Guards against callers that wait forever for a move."""
        self.admission.hold('1')
        items, _ = self._offer(3)
        self.assertEqual(items[:2], self.admission.unhold('1'))
        self.admission.hold('1')
        self.clock.advance(admission.MAX_UNIT_HOLD_SECONDS + 0.1)
        self.admission.tick()
        ((item, refusal),) = self.admission.take_dropped()
        self.assertIs(items[2], item)
        self.assertIsInstance(refusal, refusals.OwnerMoving)

    def test_restriction_bounds_and_lifts(self):
        """Guards against full load for a suspect upstream."""
        self.admission.restrict(0)
        items, results = self._offer(2)
        self.assertEqual([QUEUED, QUEUED], results)
        self.assertEqual(items, self.admission.restrict(None))

    def test_shedding_upstream_gets_less(self):
        """Guards against full load for an upstream that sheds requests."""
        self.admission.slow_start.cold_bound = 1
        items, _ = self._offer(2)
        self.admission.finished(items[0], admission.RESULT_SHED)
        self.assertEqual(1, self.admission.limit)


_NAMES = ['offer'] * 6 + ['finish'] * 4
_NAMES += ['cancel', 'tick', 'hold', 'unhold', 'withdraw', 'restrict']
_STEP = st.tuples(
    st.sampled_from(_NAMES), st.integers(0, 7), st.floats(0.0, 0.5)
)


class _Driver:
    """Calls an Admission as the dispatcher does, and tracks each request.

    Its assertions check that only admitted requests start, and that dropped
    ones are refused as not run.
    """

    def __init__(self):
        self.clock = ManualClock()
        slow_start = SlowStart(self.clock, 4, cold_bound=2)
        self.admission = Admission(
            'u1', self.clock, 4, slow_start, queue_length=6
        )
        self.waiting, self.held = set(), set()
        self.running, self.ended = [], []
        self.offered = 0

    def start(self, items):
        for item in items:
            assert item.unit not in self.held, 'started while held'
            self.waiting.remove(item)
            self.running.append(item)
        if items:
            assert self.admission.in_flight <= self.admission.limit

    def end(self, item):
        self.waiting.remove(item)
        self.ended.append(item)

    def collect(self):
        for item, refusal in self.admission.take_dropped():
            assert refusal.outcome == OUTCOME_NOT_RUN
            self.end(item)

    def offer(self, n):
        unit, caller = str(n % 3), f'c{n % 4}'
        deadline = self.clock.now() + n
        item = WorkItem(
            self.offered, f's{n % 2}', unit, 1, deadline, caller, n % 3
        )
        self.offered += 1
        result = self.admission.offer(item)
        if isinstance(result, refusals.Refusal):
            self.ended.append(item)
            return
        self.waiting.add(item)
        if result is ADMITTED:
            self.start([item])

    def finish(self, n):
        if self.running:
            item = self.running.pop(n % len(self.running))
            self.ended.append(item)
            result = admission.RESULT_LOST if n == 7 else RESULT_OK
            self.start(self.admission.finished(item, result))
            assert self.admission.finished(item, result) == []

    def cancel(self, n):
        waiting = sorted(self.waiting, key=lambda item: item.id)
        if waiting:
            item = waiting[n % len(waiting)]
            self.admission.cancel(item)
            self.end(item)

    def tick(self, n):
        self.start(self.admission.tick())

    def hold(self, n):
        self.admission.hold(str(n % 3))
        self.held.add(str(n % 3))

    def unhold(self, n):
        self.held.discard(str(n % 3))
        self.start(self.admission.unhold(str(n % 3)))

    def withdraw(self, n):
        for item in self.admission.withdraw(str(n % 3)):
            self.end(item)

    def restrict(self, n):
        bound = None if n > 4 else n
        self.start(self.admission.restrict(bound))


class AdmissionPropertyTest(testtools.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @given(st.lists(_STEP, max_size=120))
    def test_each_request_ends_exactly_once_within_the_limit(self, steps):
        """Guards against lost or duplicated requests and exceeded limits.

        Steps include holds, withdrawals, cancellations and restrictions;
        hypothesis runs with its fixed seed (derandomize).
        """
        driver = _Driver()
        for name, number, seconds in steps:
            driver.clock.advance(seconds)
            getattr(driver, name)(number)
            driver.collect()
            self.assertEqual(len(driver.running), driver.admission.in_flight)
            self.assertEqual(len(driver.waiting), driver.admission.queued)
            self.assertLessEqual(driver.admission.queued, 6)
            self.assertLessEqual(driver.admission.most_in_flight, 4)
        for unit in '012':
            driver.unhold(int(unit))
        driver.restrict(7)
        while driver.running:
            driver.finish(0)
            driver.collect()
        driver.clock.advance(60.0)
        driver.tick(0)
        driver.collect()
        self.assertEqual(set(), driver.waiting)
        ended = [item.id for item in driver.ended]
        self.assertEqual(list(range(driver.offered)), sorted(ended))


class SlotsChangeTest(testtools.TestCase):
    def test_a_changed_number_of_slots_is_applied(self):
        """Guards against ignoring a new manifest for a running upstream.

        Its slots stayed as they were when its dispatcher was created.
        """
        clock = ManualClock()
        slow_start = SlowStart(clock, 4)
        slow_start.bound = 4
        admission = Admission('u1', clock, 4, slow_start=slow_start)
        items = [WorkItem(i, 's', deadline=9.0) for i in range(6)]
        for item in items:
            admission.offer(item)
        self.assertEqual((4, 2), (admission.in_flight, admission.queued))
        self.assertEqual(2, len(admission.set_slots(8)))
        self.assertEqual([], admission.set_slots(2))
        self.assertEqual(2, admission.limit)
