"""Tests of the placement methods."""

import random

import testtools

from bramleysill_kernel.units import placement

NAMES = tuple(f'u{n}' for n in range(10))


def _units(owners):
    by_owner = {}
    for unit, owner in owners.items():
        by_owner.setdefault(owner, []).append(unit)
    return by_owner


def _plan(method, owners, eligible, weights=None, loads=None, max_moves=0):
    moves = placement.placements.get(method)(
        _units(owners),
        dict.fromkeys(owners, eligible),
        weights or {},
        loads or {},
        max_moves,
        random.Random(1),
    )
    return moves, {**owners, **{m.unit: m.target for m in moves}}


def _counts(owners):
    return {o: len(u) for o, u in _units(owners).items()}


class PlacementTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.units = [str(n) for n in range(200)]
        self.owners = placement.initial_owners(
            self.units,
            dict.fromkeys(self.units, NAMES),
            {},
            random.Random(1),
        )

    def test_balanced_units_stay(self):
        """Guards against endless moves between equal owners."""
        moves, _ = _plan('bounded', self.owners, NAMES, max_moves=100)
        self.assertEqual([], moves)
        owners = {**self.owners, '200': 'u3'}
        moves, _ = _plan('bounded', owners, NAMES, max_moves=100)
        self.assertEqual([], moves)

    def test_loss_moves_only_the_lost_units(self):
        """Guards against moves of units whose owner is not lost."""
        moves, owners = _plan('bounded', self.owners, NAMES[1:])
        self.assertEqual({'u0'}, {m.source for m in moves})
        self.assertLessEqual(max(_counts(owners).values()), 23)

    def test_return_takes_its_share_within_the_bound(self):
        """Guards against more moves than allowed when an upstream returns.

        It must get its share, however, if enough moves are allowed.
        """
        _, owners = _plan('bounded', self.owners, NAMES[1:])
        moves, _ = _plan('bounded', owners, NAMES, max_moves=8)
        self.assertEqual(8, len(moves))
        moves, after = _plan('bounded', owners, NAMES, max_moves=500)
        self.assertEqual({'u0'}, {m.target for m in moves})
        self.assertEqual({20}, set(_counts(after).values()))

    def test_weight_and_load_change_the_share(self):
        """Guards against a share that ignores weight or load."""
        weights = dict.fromkeys(NAMES, 1.0) | {'u0': 3.0}
        _, owners = _plan(
            'bounded', self.owners, NAMES, weights, max_moves=500
        )
        self.assertGreater(_counts(owners)['u0'], 45)
        loads = dict.fromkeys(NAMES, 0.5) | {'u1': 1.0}
        _, owners = _plan(
            'bounded', self.owners, NAMES, None, loads, max_moves=500
        )
        self.assertLess(_counts(owners)['u1'], 18)

    def test_unit_without_eligible_upstream_stays(self):
        """Guards against a failure if all upstreams of a unit are lost.

        The unit must keep its owner.
        """
        for method in placement.placements.names():
            moves, _ = _plan(method, self.owners, (), max_moves=10)
            self.assertEqual([], moves)

    def test_rendezvous_gives_back_the_same_units(self):
        """Guards against moves between other owners when one returns."""
        _, home = _plan('rendezvous', self.owners, NAMES, max_moves=500)
        _, without = _plan('rendezvous', home, NAMES[1:], max_moves=500)
        moved = {u for u in home if home[u] != without[u]}
        self.assertEqual({u for u, o in home.items() if o == 'u0'}, moved)
        _, back = _plan('rendezvous', without, NAMES, max_moves=500)
        self.assertEqual(home, back)
