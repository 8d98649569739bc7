"""Plans moves of narrow ranges from overloaded upstreams to idle ones.

It is designed for this load: within a second a few hundred adjacent keys get a
third of the traffic. An upstream with four slots that owns all of them would
refuse most of the requests while others idle. One plan relieves it, in a fleet
of any size: the number of moves grows with the fleet, and targets are filled
as far as that number requires.
"""

import heapq

from bramleysill_kernel.ranges.key_ranges import Assignment
from bramleysill_kernel.ranges.key_rates import KeyRates
from bramleysill_kernel.ranges.range_planner import max_moves

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
# If the moves of one plan can't take all excess that way, targets are filled
# up to this utilisation.
MAX_FILL_UTILISATION = 0.7
# A piece with up to this multiple of the wanted load is moved whole.
MAX_WHOLE_PIECE_FACTOR = 1.2
# Bounds the mean number of ranges per upstream. The leader grants each range
# about once a second, and its processor is the limit: with 240 upstreams,
# twice as many ranges keep it fully busy.
MAX_RANGES_PER_UPSTREAM = 4


def plan_balance(table, capacities, rates, is_movable):
    """Return moves that take load off the busiest upstreams.

    `is_movable(range)` returns whether a range may move now. A busy range is
    split into as many pieces as needed, so that a single plan spreads a burst
    on adjacent keys over several upstreams.
    """
    if len(capacities) < 2:
        return []
    plan = _RebalancePlan(table, capacities, KeyRates(rates), is_movable)
    for _ in range(max_moves(len(capacities))):
        source = plan.busiest()
        if source is None:
            break
        if not plan.relieve(source):
            plan.exclude(source)
    return plan.moves()


class _Piece:
    """A range that a plan moves as a whole; `load` is in requests/s."""

    __slots__ = ('first', 'last', 'rates', 'load')

    def __init__(self, first, last, rates):
        self.first = first
        self.last = last
        self.rates = rates
        self.load = sum(rate for _, rate in rates)


class _Owner:
    """An upstream with its load in requests/s and the pieces it may give.

    `version` rises with each change of the load, so that outdated entries of
    a heap are recognised.
    """

    __slots__ = ('capacity', 'load', 'pieces', 'version')

    def __init__(self, capacity):
        self.capacity = capacity
        self.load = 0.0
        self.pieces = []
        self.version = 0

    @property
    def max_rate(self):
        return max(self.capacity.max_rate, 1e-9)

    @property
    def utilisation(self):
        return self.load / self.max_rate

    def room(self, utilisation):
        """Return the load in requests/s that is missing to a utilisation."""
        return utilisation * self.max_rate - self.load


class _OwnerHeap:
    """The owner with the lowest or the highest utilisation first."""

    def __init__(self, owners, sign):
        self._sign = sign
        self._heap = []
        for owner in owners:
            self.push(owner)

    def push(self, owner):
        """Add an owner, or its new utilisation."""
        entry = (
            self._sign * owner.utilisation,
            owner.capacity.upstream,
            owner.version,
            owner,
        )
        heapq.heappush(self._heap, entry)

    def first(self):
        """Return the first owner, or None."""
        while self._heap and self._heap[0][2] != self._heap[0][3].version:
            heapq.heappop(self._heap)
        return self._heap[0][3] if self._heap else None

    def remove_first(self):
        """Remove the owner that `first` returned."""
        heapq.heappop(self._heap)


class _RebalancePlan:
    """A plan in progress: splits ranges and moves them between upstreams."""

    def __init__(self, table, capacities, rates, is_movable):
        self._owners = {c.upstream: _Owner(c) for c in capacities}
        self._piece_count = 0
        self._moves = []
        self._max_pieces = MAX_RANGES_PER_UPSTREAM * len(capacities)
        for item in table.ranges:
            owner = self._owners.get(item.owner)
            if owner is None:
                continue
            inside = rates.between(item.first, item.last)
            piece = _Piece(item.first, item.last, inside)
            owner.load += piece.load
            self._piece_count += 1
            if is_movable(item):
                owner.pieces.append(piece)
        owners = self._owners.values()
        total = sum(c.max_rate for c in capacities)
        mean = sum(o.load for o in owners) / max(total, 1e-9)
        self._overload_threshold = max(
            MIN_OVERLOAD_UTILISATION, mean * IMBALANCE_FACTOR
        )
        self._fill_limit = self._choose_fill_limit(mean)
        self._busiest = _OwnerHeap(
            [o for o in owners if o.utilisation > self._overload_threshold],
            -1.0,
        )
        self._idlest = _OwnerHeap(owners, 1.0)

    def busiest(self):
        """Return the most utilised overloaded owner, or None."""
        owner = self._busiest.first()
        if owner is None or owner.utilisation <= self._overload_threshold:
            return None
        return owner

    def exclude(self, source):
        """Plan no further moves away from the busiest owner."""
        self._busiest.remove_first()

    def relieve(self, source):
        """Move one piece to the least utilised owner, if that helps.

        Returns whether a piece was moved.
        """
        target = self._idlest.first()
        wanted = min(
            target.room(self._fill_limit), -source.room(self._fill_limit)
        )
        if target is source or wanted <= 0.0:
            return False
        piece = self._take_piece(source, wanted)
        if piece is None:
            return False
        after = (target.load + piece.load) / target.max_rate
        if after >= source.utilisation:
            return False
        source.pieces.remove(piece)
        self._change_load(source, -piece.load)
        self._change_load(target, piece.load)
        self._moves.append(
            Assignment(
                piece.first,
                piece.last,
                target.capacity.upstream,
                target.capacity.incarnation,
            )
        )
        return True

    def moves(self):
        """Return the assignments of the pieces that change owners."""
        return self._moves

    def _choose_fill_limit(self, mean):
        """Return up to which utilisation targets are filled.

        It is raised if the moves of a plan could not take all excess.
        """
        limit = max(FILL_UTILISATION, mean * FILL_FACTOR)
        owners = sorted(self._owners.values(), key=lambda o: o.utilisation)
        excess = sum(
            -owner.room(limit)
            for owner in owners
            if owner.utilisation > self._overload_threshold
        )
        targets = owners[: max_moves(len(owners))]
        needed = (excess + sum(o.load for o in targets)) / max(
            sum(o.max_rate for o in targets), 1e-9
        )
        return max(limit, min(needed, MAX_FILL_UTILISATION))

    def _change_load(self, owner, change):
        owner.load += change
        owner.version += 1
        self._idlest.push(owner)
        if owner.utilisation > self._overload_threshold:
            self._busiest.push(owner)

    def _take_piece(self, source, wanted):
        """Return a piece of the source with about the wanted load, or None.

        Splits a larger piece unless there are too many pieces already.
        """
        busy = [piece for piece in source.pieces if piece.load > 0.0]
        if not busy:
            return None
        best = max(busy, key=lambda piece: _fit_score(piece, wanted))
        if best.load <= wanted * MAX_WHOLE_PIECE_FACTOR:
            return best
        if self._piece_count >= self._max_pieces:
            return None
        return self._split(source, best, wanted)

    def _split(self, source, piece, wanted):
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
        part = _Piece(piece.first, last, piece.rates[:index])
        rest = _Piece(last + 1, piece.last, piece.rates[index:])
        at = source.pieces.index(piece)
        source.pieces[at : at + 1] = [part, rest]
        self._piece_count += 1
        return part


def _fit_score(piece, wanted):
    """Return how well a piece fits the wanted load; higher is better."""
    if piece.load <= wanted * MAX_WHOLE_PIECE_FACTOR:
        return piece.load
    # A larger piece has to be split, which adds a range.
    return wanted / 2
