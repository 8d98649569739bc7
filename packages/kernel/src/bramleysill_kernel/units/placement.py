"""Placement methods, which choose the owner of each unit.

A placement method is a function in the registry `placements`::

    moves = placements.get('bounded')(
        units_by_owner={'a': ['0', '1'], '': ['2']},
        eligible_by_unit={'0': ('a', 'b'), '1': ('a', 'b'), '2': ('b',)},
        weights={'a': 1.0, 'b': 1.0},
        loads={},
        max_moves=8,
        rng=random.Random(1),
    )

Units without an owner are listed under the owner ''. `loads` maps upstreams
to their measured work in progress per slot. A unit whose owner is not
eligible is always moved; `max_moves` limits the further moves, which only
balance. A unit without an eligible upstream keeps its owner.
"""

import dataclasses
import heapq
import math

from bramleysill_kernel.common.hashing import rendezvous_score
from bramleysill_kernel.common.registry import Registry
from bramleysill_kernel.units.ownership import NO_OWNER

placements = Registry('placement')

# A load that differs from the mean by less than this ratio of the mean does
# not change the share of an upstream.
LOAD_DEAD_BAND = 0.25
# Below this mean load, in work per slot, differences between upstreams are
# noise, and moving units has no benefit.
MIN_MEAN_LOAD = 0.2
# The load changes the share of an upstream by at most this factor.
MAX_LOAD_FACTOR = 1.5
# A unit is moved to balance shares only if the source has at least this many
# units more than it would have with the share of the target after the move.
MIN_EXCESS_UNITS = 1.0
SCORE_RANGE = float(1 << 53)


@dataclasses.dataclass(slots=True, frozen=True)
class Move:
    """The move of one unit from its owner to another."""

    unit: str
    source: str
    target: str


def effective_weights(names, weights, loads):
    """Return the weights, adjusted for load outside the dead band."""
    known = [loads[n] for n in names if n in loads]
    mean = sum(known) / len(known) if known else 0.0
    result = {}
    for name in names:
        weight = max(weights.get(name, 1.0), 0.001)
        load = loads.get(name, mean)
        if mean >= MIN_MEAN_LOAD and abs(load - mean) > LOAD_DEAD_BAND * mean:
            factor = mean / max(load, mean / MAX_LOAD_FACTOR)
            weight *= max(factor, 1.0 / MAX_LOAD_FACTOR)
        result[name] = weight
    return result


def initial_owners(units, eligible_by_unit, weights, rng, method='bounded'):
    """Return a dict of owners for units without an owner."""
    moves = placements.get(method)(
        {NO_OWNER: list(units)}, eligible_by_unit, weights, {}, 0, rng
    )
    return {m.unit: m.target for m in moves}


class _ShareTracker:
    """Number of units per owner, with heaps to find the smallest share."""

    def __init__(self, units_by_owner, eligible_by_unit, weights, loads):
        names = set()
        # Most units share one tuple of eligible upstreams. Hashing a tuple
        # takes time in proportion to its length, so identity is used.
        distinct = {id(e): e for e in eligible_by_unit.values()}
        for eligible in distinct.values():
            names.update(eligible)
        self.names = sorted(names)
        self.weights = effective_weights(self.names, weights, loads)
        self.counts = {n: len(units_by_owner.get(n, ())) for n in self.names}
        self._heaps = {}
        self._entry_versions = dict.fromkeys(self.names, 0)

    def share(self, name, extra=0):
        """Return the units per weight that the owner has with `extra` more."""
        return (self.counts[name] + extra) / self.weights[name]

    def least_loaded(self, eligible):
        """Return the owner whose share is lowest after it receives a unit."""
        cached = self._heaps.get(id(eligible))
        if cached is None:
            heap = [self._entry(n) for n in eligible]
            heapq.heapify(heap)
            cached = self._heaps[id(eligible)] = (frozenset(eligible), heap)
        heap = cached[1]
        while heap[0][2] != self._entry_versions[heap[0][1]]:
            heapq.heapreplace(heap, self._entry(heap[0][1]))
        return heap[0][1]

    def add(self, name, units):
        """Change the number of an owner's units; ignore unknown owners."""
        if name in self.counts:
            self.counts[name] += units
            self._entry_versions[name] += 1
            if units < 0:
                # `least_loaded` refreshes stale entries only at the top of
                # the heap, so a decreased share needs a new entry.
                for members, heap in self._heaps.values():
                    if name in members:
                        heapq.heappush(heap, self._entry(name))

    def _entry(self, name):
        return (self.share(name, 1), name, self._entry_versions[name])


def _sorted_units(units_by_owner):
    for owner in sorted(units_by_owner):
        for unit in units_by_owner[owner]:
            yield owner, unit


@placements.register('bounded')
def plan_bounded(
    units_by_owner, eligible_by_unit, weights, loads, max_moves, rng
):
    """Move units off ineligible owners, then balance with few moves."""
    shares = _ShareTracker(units_by_owner, eligible_by_unit, weights, loads)
    moves = []
    remaining = {}
    for owner, unit in _sorted_units(units_by_owner):
        eligible = eligible_by_unit.get(unit, ())
        if owner in eligible or not eligible:
            remaining.setdefault(owner, []).append(unit)
            continue
        target = shares.least_loaded(eligible)
        moves.append(Move(unit, owner, target))
        shares.add(owner, -1)
        shares.add(target, 1)
    moves.extend(
        _balance_shares(shares, remaining, eligible_by_unit, max_moves, rng)
    )
    return moves


def _balance_shares(shares, remaining, eligible_by_unit, max_moves, rng):
    sources = [(-shares.share(n), n) for n in shares.names if n in remaining]
    heapq.heapify(sources)
    for units in remaining.values():
        rng.shuffle(units)
    moves = []
    while sources and len(moves) < max_moves:
        share, source = heapq.heappop(sources)
        if -share != shares.share(source):
            heapq.heappush(sources, (-shares.share(source), source))
            continue
        move = _move_one_unit(
            shares, source, remaining[source], eligible_by_unit
        )
        if move is None:
            continue
        moves.append(move)
        heapq.heappush(sources, (-shares.share(source), source))
    return moves


def _move_one_unit(shares, source, units, eligible_by_unit):
    """Return a move that reduces the source's excess, or None."""
    tried = set()
    for index in range(len(units) - 1, -1, -1):
        eligible = eligible_by_unit.get(units[index], ())
        if not eligible or id(eligible) in tried:
            continue
        target = shares.least_loaded(eligible)
        excess = shares.counts[source] - (
            shares.share(target, 1) * shares.weights[source]
        )
        if target != source and excess >= MIN_EXCESS_UNITS:
            unit = units.pop(index)
            shares.add(source, -1)
            shares.add(target, 1)
            return Move(unit, source, target)
        tried.add(id(eligible))
    return None


def _weighted_choice(unit, eligible, weights):
    """Return the name with the highest weighted rendezvous hash."""
    best = None
    chosen = NO_OWNER
    for name in eligible:
        # With 53 bits no fraction is rounded to 1, whose logarithm is 0.
        fraction = ((rendezvous_score(name, unit) >> 11) + 0.5) / SCORE_RANGE
        score = -weights.get(name, 1.0) / math.log(fraction)
        if best is None or score > best:
            best = score
            chosen = name
    return chosen


@placements.register('rendezvous')
def plan_rendezvous(
    units_by_owner, eligible_by_unit, weights, loads, max_moves, rng
):
    """Move units to the upstream with the highest rendezvous score.

    Weights are used and loads are ignored: the choice depends only on the
    names, so a returning upstream receives exactly the units that it had.
    """
    moves = []
    wanted = []
    for owner, unit in _sorted_units(units_by_owner):
        eligible = eligible_by_unit.get(unit, ())
        if not eligible:
            continue
        target = _weighted_choice(unit, eligible, weights)
        if owner not in eligible:
            moves.append(Move(unit, owner, target))
        elif target != owner:
            wanted.append(Move(unit, owner, target))
    rng.shuffle(wanted)
    return moves + wanted[:max_moves]
