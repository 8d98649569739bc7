"""Tests that balancing converges and then moves no more units."""

import random

import testtools

from bramleysill_kernel.units.placement import placements


class PlacementStabilityTest(testtools.TestCase):
    def test_even_shares_are_left_alone(self):
        """Guards against units that are moved back and forth for ever.

        With 256 units on 6 upstreams the shares differ by one unit. Moving a
        unit would only make another upstream the one with more units.
        """
        names = tuple(f'u{i}' for i in range(6))
        owners = {n: [] for n in names}
        for unit in range(256):
            owners[names[unit % 6]].append(str(unit))
        eligible = {str(u): names for u in range(256)}
        weights = dict.fromkeys(names, 1.0)
        moves = placements.get('bounded')(
            owners, eligible, weights, {}, 64, random.Random(1)
        )
        self.assertEqual([], moves)

    def test_unequal_weights_come_to_rest(self):
        """Guards against endless moves between upstreams of unequal weight."""
        names = ('small', 'large')
        weights = {'small': 1.0, 'large': 3.0}
        owners = {'small': [str(u) for u in range(50)], 'large': []}
        eligible = {str(u): names for u in range(50)}
        rng = random.Random(2)
        rounds = 0
        while rounds < 20:
            moves = placements.get('bounded')(
                owners, eligible, weights, {}, 64, rng
            )
            if not moves:
                break
            for move in moves:
                owners[move.source].remove(move.unit)
                owners[move.target].append(move.unit)
            rounds += 1
        self.assertLess(rounds, 3)
        self.assertIn(len(owners['small']), (12, 13))

    def test_idle_upstreams_are_not_balanced_by_load(self):
        """Guards against moves caused by the noise of a small load.

        Single readings of the work in progress differ between equally loaded
        upstreams, and units were moved continually because of that.
        """
        names = ('a', 'b')
        owners = {n: [f'{n}{i}' for i in range(16)] for n in names}
        eligible = {u: names for units in owners.values() for u in units}
        moves = placements.get('bounded')(
            owners,
            eligible,
            dict.fromkeys(names, 1.0),
            {'a': 0.15, 'b': 0.0},
            64,
            random.Random(1),
        )
        self.assertEqual([], moves)
