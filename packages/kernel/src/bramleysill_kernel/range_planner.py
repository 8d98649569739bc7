"""Which keys should go to which upstream.

`plan_vacant` places keys without a usable owner; `plan_balance` moves narrow
pieces of busy upstreams to idle ones. Both are pure functions over the table
and the measured load.

The load pattern for `plan_balance`: a few hundred neighbouring keys get a
third of the traffic within a second, and an upstream with four slots that
owns all of them turns most of it away while others idle.
"""

from bramleysill_kernel.key_ranges import Assignment

# An upstream is relieved when its utilisation exceeds the mean of all by
# this factor, and also LEAST_UTILISATION.
IMBALANCE_FACTOR = 1.25
# Below this share of its slots an upstream has no queue worth a move.
LEAST_UTILISATION = 0.45
# Moves of one plan; each costs one release and one grant.
MOST_MOVES = 12
# More ranges than this for each upstream cost too many renewals.
MOST_RANGES_PER_UPSTREAM = 8


class Capacity:
    """What an upstream can do: `rate` in requests/s at full use."""

    __slots__ = ('upstream', 'life', 'rate')

    def __init__(self, upstream, life, rate):
        self.upstream = upstream
        self.life = life
        self.rate = rate


def plan_vacant(vacant, table, capacities, rates):
    """Return assignments for ranges that need an owner.

    `vacant` is a list of KeyRange, `rates` the (key, requests/s) pairs in
    order. Ranges wider than a fair share are divided, so that the first
    placement spreads over all upstreams.
    """
    if not capacities or not vacant:
        return []
    loads = _Loads(table, capacities, rates, vacant)
    result = []
    for piece in _divide(vacant, len(capacities)):
        load = _rate_between(rates, piece.first, piece.last)
        target = loads.least(load, piece.width)
        loads.add(target, load, piece.width)
        result.append(
            Assignment(piece.first, piece.last, target.upstream, target.life)
        )
    return result


def plan_balance(table, capacities, rates, movable):
    """Return moves that relieve the busiest upstreams.

    `movable(range)` tells whether a range may move now.
    """
    if len(capacities) < 2:
        return []
    loads = _Loads(table, capacities, rates, ())
    crowded = len(table.ranges) >= MOST_RANGES_PER_UPSTREAM * len(capacities)
    result = []
    taken = set()
    for _ in range(MOST_MOVES):
        busiest = loads.busiest(taken)
        if busiest is None:
            return result
        move = _relieve(table, loads, busiest, rates, movable, crowded)
        if move is None:
            taken.add(busiest.upstream)
            continue
        result.append(move)
        # The table is not changed here, so a range is split once a plan.
        taken.add(busiest.upstream)
    return result


def plan_newcomers(table, capacities, rates, movable):
    """Return moves that give keys to upstreams that have none.

    Each takes about half of the load, or of the keys, of the upstream that
    has most.
    """
    owners = {r.owner for r in table.ranges}
    result = []
    taken = set()
    for capacity in capacities:
        if capacity.upstream in owners or len(result) >= MOST_MOVES:
            continue
        source = _most_loaded(table, capacities, rates, movable, taken)
        if source is None:
            break
        taken.add(source.owner)
        first, last = _half(source, rates)
        result.append(
            Assignment(first, last, capacity.upstream, capacity.life)
        )
    return result


def _most_loaded(table, capacities, rates, movable, taken):
    known = {c.upstream for c in capacities}
    best = None
    best_score = None
    for item in table.ranges:
        if item.owner in taken or item.owner not in known:
            continue
        if item.width < 2 or not movable(item):
            continue
        load = _rate_between(rates, item.first, item.last)
        score = (load, item.width)
        if best is None or score > best_score:
            best, best_score = item, score
    return best


def _half(item, rates):
    """Return the part of a range that has the first half of its load."""
    total = _rate_between(rates, item.first, item.last)
    piece = None
    if total > 0.0:
        piece = _piece(item, rates, total / 3, False)
    if piece is None or (piece[0], piece[1]) == (item.first, item.last):
        return item.first, item.first + item.width // 2 - 1
    return piece[0], piece[1]


class _Loads:
    """Requests/s and key widths by upstream, while a plan is made."""

    def __init__(self, table, capacities, rates, excluded):
        self.capacities = {c.upstream: c for c in capacities}
        self.load = dict.fromkeys(self.capacities, 0.0)
        self.width = dict.fromkeys(self.capacities, 0)
        skipped = {r.first for r in excluded}
        position = 0
        for item in table.ranges:
            total = 0.0
            while position < len(rates) and rates[position][0] <= item.last:
                total += rates[position][1]
                position += 1
            if item.first in skipped or item.owner not in self.load:
                continue
            self.load[item.owner] += total
            self.width[item.owner] += item.width
        capacity = sum(c.rate for c in capacities)
        self.mean = sum(r for _, r in rates) / max(capacity, 1e-9)

    def utilisation(self, upstream, extra=0.0):
        rate = max(self.capacities[upstream].rate, 1e-9)
        return (self.load[upstream] + extra) / rate

    def least(self, load, width):
        def score(upstream):
            rate = max(self.capacities[upstream].rate, 1e-9)
            share = (self.width[upstream] + width) / rate
            return self.utilisation(upstream, load), share

        if load <= 0.0:
            best = min(self.load, key=lambda u: score(u)[1])
        else:
            best = min(self.load, key=score)
        return self.capacities[best]

    def add(self, capacity, load, width):
        self.load[capacity.upstream] += load
        self.width[capacity.upstream] += width

    def busiest(self, taken):
        bound = max(LEAST_UTILISATION, self.mean * IMBALANCE_FACTOR)
        found = [
            u
            for u in self.load
            if u not in taken and self.utilisation(u) > bound
        ]
        if not found:
            return None
        return self.capacities[max(found, key=self.utilisation)]

    def idlest(self):
        return self.capacities[min(self.load, key=self.utilisation)]


def _relieve(table, loads, source, rates, movable, crowded):
    """Return one move from a busy upstream, or None if none helps."""
    target = loads.idlest()
    if target.upstream == source.upstream:
        return None
    excess = _excess(loads, source, target)
    best = None
    for item in table.ranges:
        if item.owner != source.upstream or not movable(item):
            continue
        piece = _piece(item, rates, excess, crowded)
        if piece is None:
            continue
        if best is None or abs(piece[2] - excess) < abs(best[2] - excess):
            best = piece
    if best is None or best[2] <= 0.0:
        return None
    first, last, load = best
    after = loads.utilisation(target.upstream, load)
    if after >= loads.utilisation(source.upstream):
        return None
    loads.load[source.upstream] -= load
    loads.load[target.upstream] += load
    return Assignment(first, last, target.upstream, target.life)


def _excess(loads, source, target):
    """Return the requests/s that even out two upstreams."""
    total = loads.load[source.upstream] + loads.load[target.upstream]
    share = source.rate / max(source.rate + target.rate, 1e-9)
    return loads.load[source.upstream] - total * share


def _piece(item, rates, wanted, crowded):
    """Return (first, last, load) of the end of a range nearest `wanted`."""
    inside = [(k, r) for k, r in rates if item.first <= k <= item.last]
    total = sum(r for _, r in inside)
    if not inside or total <= 0.0:
        return None
    if total <= wanted * 1.5 or crowded:
        return item.first, item.last, total
    left = 0.0
    for key, rate in inside:
        if left + rate / 2 >= wanted:
            if key == item.first:
                return item.first, key, rate
            if left <= 0.0:
                # One key carries more than what should move.
                return key, item.last, total
            return item.first, key - 1, left
        left += rate
    return None


def _divide(vacant, count):
    """Split ranges so that no piece is wider than an upstream's share."""
    total = sum(r.width for r in vacant)
    widest = max(1, -(-total // count))
    for item in vacant:
        first = item.first
        while first <= item.last:
            last = min(item.last, first + widest - 1)
            yield item.part(first, last)
            first = last + 1


def _rate_between(rates, first, last):
    return sum(r for k, r in rates if first <= k <= last)
