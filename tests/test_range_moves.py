"""Tests of the list of moves between owners."""

import time

import testtools

from bramleysill_kernel.ranges.key_ranges import KeyRange
from bramleysill_kernel.ranges.range_moves import MoveList
from bramleysill_kernel.ranges.range_moves import RangeMove

RANGES = 2000
MOVES = 600
WIDTH = 30
# The leader goes through all ranges twice in each tick of 50 ms.
MAX_PASS_SECONDS = 0.025


def _move(first, last):
    return RangeMove(KeyRange(first, last, 1, 'u1', 1))


class MoveListTest(testtools.TestCase):
    def _unmoved(self, *moves, item=(10, 19)):
        found = MoveList()
        for first, last in moves:
            found.add(_move(first, last))
        parts = found.unmoved_subranges(KeyRange(*item, 1, 'u1', 1))
        return [(part.first, part.last) for part in parts]

    def test_the_keys_outside_of_moves_are_returned(self):
        """Guards against granting keys that are being moved."""
        self.assertEqual([(10, 19)], self._unmoved())
        self.assertEqual([(10, 19)], self._unmoved((0, 9), (20, 29)))
        self.assertEqual([(10, 11), (15, 19)], self._unmoved((12, 14)))
        self.assertEqual([(13, 16)], self._unmoved((17, 30), (0, 12)))
        self.assertEqual([], self._unmoved((10, 19)))
        self.assertEqual([(12, 12)], self._unmoved((10, 11), (13, 19)))

    def test_a_removed_move_no_longer_overlaps(self):
        """Guards against keys that are never granted again."""
        moves = MoveList()
        first, second = _move(0, 4), _move(5, 9)
        moves.add(second)
        moves.add(first)
        moves.remove(first)
        self.assertEqual([second], moves.overlapping(0, 9))

    def test_many_moves_do_not_keep_the_leader_busy(self):
        """A third of 240 upstreams is evacuated.

        Guards against work proportional to ranges times moves, with which
        the leader fell seconds behind (hhcr-gate-grown trouble-1).
        """
        moves = MoveList()
        for number in range(MOVES):
            moves.add(_move(number * 90, number * 90 + WIDTH - 1))
        ranges = [
            KeyRange(n * WIDTH, n * WIDTH + WIDTH - 1, 1, 'u1', 1)
            for n in range(RANGES)
        ]
        best = min(_seconds(moves, ranges) for _ in range(5))
        self.assertLess(best, MAX_PASS_SECONDS)


def _seconds(moves, ranges):
    started = time.process_time()
    for item in ranges:
        moves.unmoved_subranges(item)
    return time.process_time() - started
