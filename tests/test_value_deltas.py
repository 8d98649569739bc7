"""Tests of deltas between the versions of a stored value."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import testtools

from bramleysill_kernel.common.value_deltas import DeltaError
from bramleysill_kernel.common.value_deltas import apply_delta
from bramleysill_kernel.common.value_deltas import make_delta
from bramleysill_kernel.ranges.key_ranges import Assignment
from bramleysill_kernel.ranges.key_ranges import RangeTable

_VALUES = st.lists(
    st.sampled_from([b'[1,2],', b'{"a":1},', b'x', b']', b'[3]', b'']),
    max_size=12,
).map(b''.join)


class ValueDeltaTest(testtools.TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(_VALUES, _VALUES)
    def test_a_delta_restores_the_new_version(self, old, new):
        """Guards against a router with another table than the leader's."""
        self.assertEqual(new, apply_delta(old, make_delta(old, new)))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(_VALUES, st.binary(max_size=60))
    def test_any_bytes_are_a_delta_or_an_error(self, old, delta):
        """Guards against an error that is none of ours."""
        try:
            apply_delta(old, delta)
        except DeltaError:
            pass

    def test_another_version_is_noticed(self):
        """Guards against a table that is put together of two others."""
        delta = make_delta(b'[1],[2],[3]', b'[1],[2],[4]')
        self.assertRaises(DeltaError, apply_delta, b'[9],[2],[3]', delta)

    def test_a_move_costs_a_few_rows(self):
        """Guards against a link that whole tables fill.

        700 ranges and 10 moves in each write, to some hundred routers.
        """
        rng = random.Random(1)
        table = RangeTable.empty().assign(
            [
                Assignment(i * 93, i * 93 + 92, f'i-{i % 314:010x}', i)
                for i in range(700)
            ]
        )
        moved = table.assign(
            [
                Assignment(first, first + 40, f'i-{rng.random()}', 7)
                for first in rng.sample(range(65000), 10)
            ]
        )
        delta = make_delta(table.encode(), moved.encode())
        self.assertLess(len(delta), len(moved.encode()) / 10)
