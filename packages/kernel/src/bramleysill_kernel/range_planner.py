"""Plans which key ranges each upstream should own.

`plan_vacant_ranges` places ranges without a usable owner,
`plan_new_upstreams` gives keys to upstreams that have none, and
`plan_balance` moves narrow ranges from overloaded upstreams to idle ones.
All are pure functions of the table and the measured load.

`plan_balance` is designed for this load: within a second a few hundred
adjacent keys get a third of the traffic. An upstream with four slots that
owns all of them would refuse most of the requests while others idle.
"""

from bramleysill_kernel.key_ranges import KEY_SPACE
from bramleysill_kernel.key_ranges import Assignment
from bramleysill_kernel.key_rates import KeyRates

# An upstream is overloaded if its utilisation exceeds both the mean of all
# upstreams times this factor and MIN_OVERLOAD_UTILISATION.
IMBALANCE_FACTOR = 1.3
# Below this utilisation an upstream's queue is too short to justify a move.
MIN_OVERLOAD_UTILISATION = 0.45
# Targets are filled up to the mean utilisation times this factor, or up to
# FILL_UTILISATION if that is higher, so that a move does not overload its
# target and cause the next move.
FILL_FACTOR = 1.1
FILL_UTILISATION = 0.35
# A piece with up to this multiple of the wanted load is moved whole.
MAX_WHOLE_PIECE_FACTOR = 1.2
# Upper bound of the moves in one plan; each costs a release and a grant.
MAX_MOVES_PER_PLAN = 24
# A fair share of the keys is divided by this number to get the maximum width
# of the pieces in which the ranges of a lost owner are placed. A full share is
# thus taken over by at least as many upstreams as this number.
PIECES_PER_SHARE = 2
# Bounds the mean number of ranges per upstream. The leader grants each range
# about once a second, and its processor is the limit: with 240 upstreams,
# twice as many ranges keep it fully busy.
MAX_RANGES_PER_UPSTREAM = 4


class Capacity:
    """The maximum rate of an upstream, `max_rate`, in requests/s."""

    __slots__ = ('upstream', 'incarnation', 'max_rate')

    def __init__(self, upstream, incarnation, max_rate):
        self.upstream = upstream
        self.incarnation = incarnation
        self.max_rate = max_rate


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


def plan_balance(table, capacities, rates, is_movable):
    """Return moves that take load off the busiest upstreams.

    `is_movable(range)` returns whether a range may move now. A busy range is
    split into as many pieces as needed, so that a single plan spreads a burst
    on adjacent keys over several upstreams.
    """
    if len(capacities) < 2:
        return []
    plan = _RebalancePlan(table, capacities, KeyRates(rates), is_movable)
    for _ in range(MAX_MOVES_PER_PLAN):
        source = plan.busiest()
        if source is None:
            break
        if not plan.relieve(source):
            plan.exclude(source)
    return plan.moves()


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
        new[:MAX_MOVES_PER_PLAN], sources, strict=False
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


class _Piece:
    """A range that a plan moves as a whole; `load` is in requests/s.

    `original_owner` is None if the range may not move.
    """

    __slots__ = ('first', 'last', 'rates', 'load', 'original_owner', 'owner')

    def __init__(self, first, last, rates, original_owner, owner):
        self.first = first
        self.last = last
        self.rates = rates
        self.load = sum(rate for _, rate in rates)
        self.original_owner = original_owner
        self.owner = owner


class _RebalancePlan:
    """A plan in progress: splits ranges and moves them between upstreams."""

    def __init__(self, table, capacities, rates, is_movable):
        self._capacities = {c.upstream: c for c in capacities}
        self._load = dict.fromkeys(self._capacities, 0.0)
        self._pieces = []
        self._excluded = set()
        self._max_pieces = MAX_RANGES_PER_UPSTREAM * len(capacities)
        for item in table.ranges:
            if item.owner not in self._load:
                continue
            inside = rates.between(item.first, item.last)
            original_owner = item.owner if is_movable(item) else None
            piece = _Piece(
                item.first, item.last, inside, original_owner, item.owner
            )
            self._load[item.owner] += piece.load
            self._pieces.append(piece)
        total = sum(c.max_rate for c in capacities)
        mean = sum(self._load.values()) / max(total, 1e-9)
        self._overload_threshold = max(
            MIN_OVERLOAD_UTILISATION, mean * IMBALANCE_FACTOR
        )
        self._fill_limit = max(FILL_UTILISATION, mean * FILL_FACTOR)

    def busiest(self):
        """Return the most utilised overloaded upstream, or None."""
        found = [
            u
            for u in self._load
            if u not in self._excluded
            and self._utilisation(u) > self._overload_threshold
        ]
        return max(found, key=self._utilisation) if found else None

    def exclude(self, upstream):
        """Plan no further moves away from an upstream."""
        self._excluded.add(upstream)

    def relieve(self, source):
        """Move one piece to the least utilised upstream, if that helps.

        Returns whether a piece was moved.
        """
        target = min(self._load, key=self._utilisation)
        room = self._fill_limit * self._max_rate(target) - self._load[target]
        excess = self._load[source] - self._fill_limit * self._max_rate(source)
        wanted = min(room, excess)
        if target == source or wanted <= 0.0:
            return False
        piece = self._take_piece(source, wanted)
        if piece is None:
            return False
        after = (self._load[target] + piece.load) / self._max_rate(target)
        if after >= self._utilisation(source):
            return False
        piece.owner = target
        self._load[source] -= piece.load
        self._load[target] += piece.load
        return True

    def moves(self):
        """Return the assignments of the pieces that change owners."""
        result = []
        for piece in self._pieces:
            if (
                piece.original_owner is None
                or piece.owner == piece.original_owner
            ):
                continue
            target = self._capacities[piece.owner]
            result.append(
                Assignment(
                    piece.first,
                    piece.last,
                    target.upstream,
                    target.incarnation,
                )
            )
        return result

    def _take_piece(self, source, wanted):
        """Return a piece of the source with about the wanted load, or None.

        Splits a larger piece unless there are too many pieces already.
        """
        best = None
        for piece in self._pieces:
            if piece.owner != source or piece.original_owner is None:
                continue
            # A piece moves at most once in a plan.
            if piece.owner != piece.original_owner or piece.load <= 0.0:
                continue
            if best is None or _fit_score(piece, wanted) > _fit_score(
                best, wanted
            ):
                best = piece
        if best is None or best.load <= wanted * MAX_WHOLE_PIECE_FACTOR:
            return best
        if len(self._pieces) >= self._max_pieces:
            return None
        return self._split(best, wanted)

    def _split(self, piece, wanted):
        """Split a piece; return the first part, with about the wanted load.

        Returns the whole piece if it can't be split at that load.
        """
        load = 0.0
        for index, (_, rate) in enumerate(piece.rates):
            if load + rate / 2 >= wanted and index:
                break
            load += rate
        else:
            return piece
        last = piece.rates[index][0] - 1
        rest = _Piece(
            last + 1,
            piece.last,
            piece.rates[index:],
            piece.original_owner,
            piece.owner,
        )
        part = _Piece(
            piece.first,
            last,
            piece.rates[:index],
            piece.original_owner,
            piece.owner,
        )
        at = self._pieces.index(piece)
        self._pieces[at : at + 1] = [part, rest]
        return part

    def _max_rate(self, upstream):
        return max(self._capacities[upstream].max_rate, 1e-9)

    def _utilisation(self, upstream):
        return self._load[upstream] / self._max_rate(upstream)


def _fit_score(piece, wanted):
    """Return how well a piece fits the wanted load; higher is better."""
    if piece.load <= wanted * MAX_WHOLE_PIECE_FACTOR:
        return piece.load
    # A larger piece has to be split, which adds a range.
    return wanted / 2


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
