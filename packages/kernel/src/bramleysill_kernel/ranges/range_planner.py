"""Plans which upstreams get ranges that are vacant, and ranges of their own.

`plan_vacant_ranges` places ranges without a usable owner, and
`plan_new_upstreams` gives keys to upstreams that have none. Both are pure
functions of the table and the measured load. range_balance plans the moves
that take load off busy upstreams.
"""

from bramleysill_kernel.ranges.key_ranges import KEY_SPACE
from bramleysill_kernel.ranges.key_ranges import Assignment
from bramleysill_kernel.ranges.key_rates import KeyRates

# A fair share of the keys is divided by this number to get the maximum width
# of the pieces in which the ranges of a lost owner are placed. A full share is
# thus taken over by at least as many upstreams as this number.
PIECES_PER_SHARE = 2
# Moves in one plan, for each upstream and at least. Each costs a release and a
# grant, and busy keys change within seconds.
MOVES_PER_UPSTREAM = 1.0
MIN_MOVES_PER_PLAN = 24


class Capacity:
    """The maximum rate of an upstream, `max_rate`, in requests/s."""

    __slots__ = ('upstream', 'incarnation', 'max_rate')

    def __init__(self, upstream, incarnation, max_rate):
        self.upstream = upstream
        self.incarnation = incarnation
        self.max_rate = max_rate


def max_moves(upstreams):
    """Return the largest number of moves in a plan for so many upstreams."""
    return max(MIN_MOVES_PER_PLAN, int(upstreams * MOVES_PER_UPSTREAM))


def plan_vacant_ranges(vacant, table, capacities, rates):
    """Return assignments for ranges that need an owner.

    `vacant` is a list of KeyRange and `rates` a list of (key, requests/s)
    pairs sorted by key. Ranges wider than a fair share are divided, so that
    the first placement spreads the keys over all upstreams.
    """
    if not capacities or not vacant:
        return []
    rates = KeyRates(rates)
    loads = _PlacementLoads(table, capacities, rates, vacant)
    result = []
    for piece in _divide(vacant, len(capacities)):
        load = rates.total(piece.first, piece.last)
        target = loads.least_utilised(load, piece.width)
        loads.add(target, load, piece.width)
        result.append(
            Assignment(
                piece.first, piece.last, target.upstream, target.incarnation
            )
        )
    return result


def plan_new_upstreams(table, capacities, rates, is_movable):
    """Return moves that give keys to upstreams that have none.

    Each of them gets about half of the most loaded range that may move: half
    of its load, or half of its keys if it has no load.
    """
    owners = {r.owner for r in table.ranges}
    new = [c for c in capacities if c.upstream not in owners]
    if not new:
        return []
    rates = KeyRates(rates)
    known = {c.upstream for c in capacities}
    sources = _ranges_by_load(table, known, rates, is_movable)
    result = []
    for capacity, source in zip(
        new[: max_moves(len(capacities))], sources, strict=False
    ):
        first, last = _first_half_of_load(source, rates)
        result.append(
            Assignment(first, last, capacity.upstream, capacity.incarnation)
        )
    return result


def _ranges_by_load(table, owners, rates, is_movable):
    """Yield the most loaded movable range of each owner, busiest first."""
    candidates = [
        item
        for item in table.ranges
        if item.owner in owners and item.width > 1
    ]
    candidates.sort(
        key=lambda item: (rates.total(item.first, item.last), item.width),
        reverse=True,
    )
    seen = set()
    for item in candidates:
        if item.owner not in seen and is_movable(item):
            seen.add(item.owner)
            yield item


def _first_half_of_load(item, rates):
    """Return (first, last) of the part with the first half of the load."""
    total = rates.total(item.first, item.last)
    load = 0.0
    for key, rate in rates.between(item.first, item.last - 1):
        load += rate
        if load >= total / 2:
            return item.first, key
    return item.first, item.first + item.width // 2 - 1


class _PlacementLoads:
    """Load in requests/s and number of keys by upstream during planning."""

    def __init__(self, table, capacities, rates, excluded):
        self.capacities = {c.upstream: c for c in capacities}
        self.load = dict.fromkeys(self.capacities, 0.0)
        self.width = dict.fromkeys(self.capacities, 0)
        skipped = {r.first for r in excluded}
        for item in table.ranges:
            if item.first in skipped or item.owner not in self.load:
                continue
            self.load[item.owner] += rates.total(item.first, item.last)
            self.width[item.owner] += item.width
        # Expected rate per key without recent requests: half of the mean rate.
        self.density = rates.sum / KEY_SPACE / 2

    def utilisation(self, upstream, extra=0.0):
        rate = max(self.capacities[upstream].max_rate, 1e-9)
        return (self.load[upstream] + extra) / rate

    def least_utilised(self, load, width):
        """Return the upstream that is least utilised with a piece added."""
        # Keys without recent requests may still get some.
        expected = load + width * self.density

        def score(upstream):
            rate = max(self.capacities[upstream].max_rate, 1e-9)
            share = (self.width[upstream] + width) / rate
            return self.utilisation(upstream, expected), share

        return self.capacities[min(self.load, key=score)]

    def add(self, capacity, load, width):
        self.load[capacity.upstream] += load
        self.width[capacity.upstream] += width


def _divide(vacant, count):
    """Split ranges wider than a fair share of the key space.

    For ranges that had an owner the limit is the share divided by
    PIECES_PER_SHARE. The share is of all keys, not of the vacant ones, so
    that narrow ranges stay whole. Otherwise each upstream that leaves would
    multiply the number of ranges.
    """
    parts = count * PIECES_PER_SHARE if vacant[0].owner else count
    max_width = max(1, -(-KEY_SPACE // parts))
    for item in vacant:
        first = item.first
        while first <= item.last:
            last = min(item.last, first + max_width - 1)
            yield item.subrange(first, last)
            first = last + 1
