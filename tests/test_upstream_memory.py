"""Tests of the decision how many bytes an upstream may hold."""

import math
import random

import testtools

from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.load import upstream_memory
from bramleysill_kernel.load.upstream_memory import InFlightBytes
from bramleysill_kernel.load.upstream_memory import MemoryEstimates

MB = 1_000_000


class MemoryEstimatesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.estimates = MemoryEstimates(self.clock)
        self.bytes = InFlightBytes(self.clock, 'u1', self.estimates)

    def _lose(self, held):
        self.bytes.add(held)
        self.bytes.note_broken()
        self.bytes.remove(held)
        return self.bytes.note_gone()

    def test_nothing_is_bounded_before_a_loss(self):
        """Guards against a change for upstreams that were never lost."""
        self.bytes.add(1 << 40)
        self.assertTrue(self.bytes.allows(1 << 40))
        self.assertEqual({}, self.estimates.bounds())

    def test_loss_with_many_bytes_lowers_the_bound(self):
        """Guards against uploads that crash each process in turn."""
        self.assertEqual(20 * MB, self._lose(20 * MB))
        self.assertTrue(self.bytes.allows(10 * MB))
        self.assertFalse(self.bytes.allows(10 * MB + 1))
        self.bytes.add(6 * MB)
        self.assertFalse(self.bytes.allows(5 * MB))
        self.assertTrue(self.bytes.allows(4 * MB))
        self.assertEqual({'u1': 10.0 * MB}, self.estimates.bounds())

    def test_bound_applies_to_the_next_process(self):
        """Guards against a restart that forgets why it was needed."""
        self._lose(20 * MB)
        other = InFlightBytes(self.clock, 'u1', self.estimates)
        self.assertFalse(other.allows(11 * MB))
        unrelated = InFlightBytes(self.clock, 'u2', self.estimates)
        self.assertTrue(unrelated.allows(11 * MB))

    def test_loss_with_few_bytes_changes_nothing(self):
        """Guards against a bound after a loss of power."""
        self.assertEqual(0, self._lose(upstream_memory.MIN_LOST_BYTES - 1))
        self.assertEqual({}, self.estimates.bounds())

    def test_broken_connections_alone_change_nothing(self):
        """Guards against a bound because an upstream resets connections."""
        self.bytes.add(20 * MB)
        self.bytes.note_broken()
        self.clock.advance(upstream_memory.CONFIRM_SECONDS)
        self.assertEqual(0, self.bytes.note_gone())
        self.assertEqual({}, self.estimates.bounds())

    def test_connections_that_break_one_by_one_count_together(self):
        """Guards against an estimate from the last connection only."""
        for _ in range(4):
            self.bytes.add(5 * MB)
        for _ in range(4):
            self.bytes.note_broken()
            self.bytes.remove(5 * MB)
            self.clock.advance(0.01)
        self.assertEqual(20 * MB, self.bytes.note_gone())
        self.assertEqual(0, self.bytes.note_gone())

    def test_estimate_rises_slowly_and_is_dropped(self):
        """Guards against a bound that stays for ever, or ends at once."""
        self._lose(20 * MB)
        self.clock.advance(10.0)
        self.assertLess(self.estimates.bound('u1'), 12 * MB)
        self.clock.advance(50.0)
        self.assertAlmostEqual(20 * MB, self.estimates.bound('u1'))
        self.clock.advance(540.0)
        self.assertEqual(math.inf, self.estimates.bound('u1'))
        self.estimates.sweep()
        self.assertEqual({}, self.estimates._lost)

    def test_another_loss_never_raises_the_estimate(self):
        """Guards against a higher bound after a loss with more bytes."""
        self._lose(20 * MB)
        self._lose(80 * MB)
        self.assertEqual(10 * MB, self.estimates.bound('u1'))
        self._lose(8 * MB)
        self.assertEqual(4 * MB, self.estimates.bound('u1'))

    def test_small_requests_always_pass(self):
        """Guards against an upstream that gets nothing after a loss."""
        for _ in range(20):
            self._lose(upstream_memory.MIN_LOST_BYTES)
        self.assertTrue(self.bytes.allows(1000))
        self.assertTrue(self.bytes.allows(upstream_memory.MIN_BOUND_BYTES))

    def test_retry_after_of_a_body_over_the_bound(self):
        """Guards against callers that come back long before there is room."""
        self._lose(20 * MB)
        room = self.bytes.seconds_until_room
        self.assertEqual(0.5, room(8 * MB, 0.5))
        self.assertAlmostEqual(15.78, room(12 * MB, 0.5), 2)
        self.assertEqual(30.0, room(64 * MB, 0.5))


class LoadPatternTest(testtools.TestCase):
    """Replays uploads at an upstream that crashes above a hidden limit."""

    LIMIT = 40 * MB

    def _crashes(self, is_bounded, seconds=300):
        """Return (crashes, uploads sent).

        Uploads of 1 to 8 MB arrive every 50 ms and take 1 s; a crashed
        upstream is back after 2 s.
        """
        clock = ManualClock()
        rng = random.Random(4)
        estimates = MemoryEstimates(clock)
        found = InFlightBytes(clock, 'u1', estimates)
        running = []
        crashes = sent = 0
        back_at = 0.0
        for _ in range(seconds * 20):
            now = clock.now()
            for end, size in [r for r in running if r[0] <= now]:
                running.remove((end, size))
                found.remove(size)
            size = rng.randrange(MB, 8 * MB)
            if now >= back_at and (found.allows(size) or not is_bounded):
                running.append((now + 1.0, size))
                found.add(size)
                sent += 1
            if found.held > self.LIMIT:
                crashes += 1
                back_at = now + 2.0
                for _, size in running:
                    found.note_broken()
                    found.remove(size)
                running = []
                found.note_gone()
            clock.advance(0.05)
        return crashes, sent

    def test_crashes_are_rare(self):
        """Guards against an upstream that crashes again and again."""
        crashes, sent = self._crashes(True)
        unbounded, _ = self._crashes(False)
        self.assertGreater(unbounded, 10 * crashes)
        self.assertGreater(sent, 1000)
