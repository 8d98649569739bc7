"""Tests of the key range table."""

import random

import testtools

from bramleysill_kernel.ranges.key_ranges import KEY_SPACE
from bramleysill_kernel.ranges.key_ranges import Assignment
from bramleysill_kernel.ranges.key_ranges import RangeTable
from bramleysill_kernel.ranges.key_ranges import TableError
from bramleysill_kernel.ranges.key_ranges import first_fence


def _table(*rows):
    return RangeTable.empty().assign([Assignment(*row) for row in rows])


def _rows(table):
    return [(r.first, r.last, r.owner) for r in table.ranges]


class RangeTableTest(testtools.TestCase):
    def test_an_assignment_splits_a_range(self):
        """Guards against keys that a split drops or assigns twice."""
        table = _table((0, 65535, 'a', 1), (100, 199, 'b', 1))
        self.assertEqual(
            [(0, 99, 'a'), (100, 199, 'b'), (200, 65535, 'a')], _rows(table)
        )

    def test_an_assignment_covers_several_ranges(self):
        """Guards against remnants of ranges that an assignment replaces."""
        table = _table(
            (0, 65535, 'a', 1), (100, 199, 'b', 1), (50, 250, 'c', 1)
        )
        self.assertEqual(
            [(0, 49, 'a'), (50, 250, 'c'), (251, 65535, 'a')], _rows(table)
        )

    def test_fences_only_rise(self):
        """Guards against a fence that an earlier owner already had."""
        table = _table((0, 65535, 'a', 1), (5, 9, 'b', 1))
        before = max(r.fence for r in table.ranges)
        table = table.assign([Assignment(5, 9, 'a', 1)])
        self.assertGreater(table.find(7).fence, before)
        renewed = table.renew_fences()
        self.assertGreaterEqual(
            min(r.fence for r in renewed.ranges), table.next_fence
        )

    def test_renewed_fences_merge_neighbours_of_one_owner(self):
        """Guards against ranges that are split but never merged again."""
        table = _table((0, 65535, 'a', 1), (5, 9, 'b', 1), (5, 9, 'a', 1))
        renewed = table.renew_fences()
        self.assertEqual([(0, 65535, 'a')], _rows(renewed))
        self.assertEqual(3, len(table.ranges))

    def test_renewed_fences_leave_the_old_table_alone(self):
        """Guards against a table that changes although its write failed."""
        table = _table((0, 99, 'a', 1), (100, 65535, 'a', 1))
        table.renew_fences()
        self.assertEqual([(0, 99, 'a'), (100, 65535, 'a')], _rows(table))

    def test_a_new_incarnation_is_another_owner(self):
        """Guards against merging keys of an ended process with a live one."""
        table = _table((0, 99, 'a', 1), (100, 65535, 'a', 2))
        self.assertEqual(2, len(table.renew_fences().ranges))

    def test_an_encoded_table_keeps_everything(self):
        """Guards against a new leader that reads other owners or fences."""
        table = _table((0, 65535, 'a', 1), (100, 199, 'b', 17))
        copy = RangeTable.decode(table.encode())
        self.assertEqual(_rows(table), _rows(copy))
        self.assertEqual(table.find(150).holder, copy.find(150).holder)
        self.assertEqual(table.next_fence, copy.next_fence)

    def test_every_key_is_found(self):
        """Guards against off-by-one errors at the ends of ranges."""
        table = _table((0, 65535, 'a', 1), (100, 199, 'b', 1))
        for key, owner in ((0, 'a'), (99, 'a'), (100, 'b'), (199, 'b')):
            self.assertEqual(owner, table.find(key).owner)
        self.assertEqual('a', table.find(KEY_SPACE - 1).owner)

    def test_malformed_tables_are_refused(self):
        """Guards against tables with gaps, overlaps or other bad contents."""
        for data in (
            b'',
            b'[]',
            b'{"format":2}',
            b'{"format":1,"next_fence":2,"ranges":[[0,9,1,"a",1]]}',
            b'{"format":1,"next_fence":1,"ranges":[[0,65535,1,"a",1]]}',
            b'{"format":1,"next_fence":3,'
            b'"ranges":[[0,9,1,"a",1],[9,65535,2,"b",1]]}',
        ):
            self.assertRaises(TableError, RangeTable.decode, data)


class UnsettledKeysTest(testtools.TestCase):
    """Keys that may have another owner by a table that the store has lost."""

    def setUp(self):
        super().setUp()
        table = RangeTable.empty().assign(
            [Assignment(0, KEY_SPACE - 1, 'u', 1)]
        )
        self.table = table.with_unsettled([(100, 199)])

    def test_only_the_named_keys_are_unsettled(self):
        """Guards against an owner that is granted keys too early."""
        found = [self.table.find(key).unsettled for key in (99, 100, 199, 200)]
        self.assertEqual([False, True, True, False], found)

    def test_unsettled_keys_survive_a_change_of_leader(self):
        """Guards against a successor that doesn't know of them."""
        stored = RangeTable.decode(self.table.renew_fences().encode())
        self.assertTrue(stored.find(150).unsettled)
        self.assertFalse(stored.find(99).unsettled)

    def test_the_rest_of_the_wait_is_stored(self):
        """Guards against a successor that waits from the start again."""
        stored = RangeTable.decode(self.table.settling_in(2.5).encode())
        self.assertEqual(2.5, stored.settles_in)
        self.assertIsNone(stored.settled().settles_in)
        self.assertIsNone(RangeTable.decode(self.table.encode()).settles_in)

    def test_a_wait_of_a_former_era_is_not_kept(self):
        """Guards against a grant before holds of another era have ended."""
        table = self.table.settling_in(2.5)
        self.assertIsNone(table.with_unsettled([(0, 9)]).settles_in)

    def test_settled_keys_keep_owner_and_fence(self):
        """Guards against a second owner when the wait is over."""
        settled = self.table.settled()
        self.assertFalse(settled.has_unsettled())
        self.assertTrue(self.table.has_unsettled())
        self.assertEqual(self.table.find(150).holder, settled.find(150).holder)

    def test_fences_of_an_era_exceed_all_before(self):
        """Guards against a fence that is given out twice."""
        table = self.table.renew_fences(first_fence(2))
        self.assertGreater(table.find(0).fence, 1 << 39)
        self.assertEqual(0, first_fence(1))
        self.assertLess(table.next_fence, first_fence(3))


class OverlayTest(testtools.TestCase):
    def test_many_assignments_give_the_same_as_one_after_another(self):
        """Guards against keys that a table drops or assigns twice."""
        rng = random.Random(5)
        for _ in range(200):
            rows = []
            for number in range(rng.randrange(1, 12)):
                first = rng.randrange(KEY_SPACE)
                last = min(KEY_SPACE - 1, first + rng.randrange(9000))
                rows.append(Assignment(first, last, f'u{number}', 1))
            at_once = RangeTable.empty().assign(rows)
            table = RangeTable.empty()
            for row in rows:
                table = table.assign([row])
            self.assertEqual(table.encode(), at_once.encode())
            at_once._validate()
