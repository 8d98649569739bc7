"""Tests of moves while the store is not writable."""

import testtools

from bramleysill_kernel.common import messages
from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.units import moves
from bramleysill_kernel.units import placement


class PlannedMoveTest(testtools.TestCase):
    def _tracker(self, urgent):
        clock = ManualClock()
        tracker = moves.MoveTracker(clock, 1)
        move = placement.Move('3', 'u1', 'u2')
        tracker.add('ledger', move, 1, urgent)
        return clock, tracker

    def _released(self, tracker, writable):
        effects = tracker.tick(lambda upstream: 'r1', writable)
        return any(isinstance(e.message, messages.Release) for e in effects)

    def test_planned_move_waits_for_the_store(self):
        """Guards against releasing a unit that cannot be reassigned.

        During a store outage, requests were refused for 3.9 s because a
        planned move had released their unit and its write had to wait.
        """
        clock, tracker = self._tracker(False)
        self.assertFalse(self._released(tracker, False))
        clock.advance(10.0)
        self.assertFalse(self._released(tracker, False))
        self._released(tracker, True)
        clock.advance(10.0)
        self.assertTrue(self._released(tracker, True))

    def test_urgent_move_does_not_wait_for_the_store(self):
        """Guards against a drained upstream that keeps units in an outage."""
        _, tracker = self._tracker(True)
        self.assertTrue(self._released(tracker, False))
