"""What the leader announces about single ranges of keys.

The load that this answers: some hundred routers have requests for a few busy
keys. Each router sees too few of them to notice by itself what is wrong, and
each request that is sent in vain takes an attempt and a part of the retry
budget, or a slot of an overloaded upstream.

- A paused range has no owner now, because its keys move or their owner was
  lost. Requests wait for the next owner or are refused at once.
- A busy range gets more requests than its owner can serve, which no move can
  mend for a single key. Each router admits its share.
"""

import bisect

# An announcement counts for this time. The leader repeats it earlier.
VALIDITY_SECONDS = 0.8
REPEAT_INTERVAL_SECONDS = 0.25
# What announcements to all routers may take of the leader's link, and what a
# range takes in each of them.
MAX_BYTES_PER_SECOND = 2_500_000
BYTES_PER_RANGE = 24
# No announcement waits longer, so that the one before still counts.
MAX_INTERVAL_SECONDS = 0.5
# A range counts as busy if it gets more than this multiple of the requests
# that its owner can serve.
MIN_OVERLOAD = 2.0
# Busy ranges announced at most; the busiest first.
MAX_BUSY_RANGES = 100


def announcement_interval(ranges, routers):
    """Return the shortest time in seconds between two announcements."""
    seconds = ranges * routers * BYTES_PER_RANGE / MAX_BYTES_PER_SECOND
    return min(seconds, MAX_INTERVAL_SECONDS)


class PausedRange:
    """Keys `first` to `last` of the range with this fence, without an owner.

    They should have one again in `wait` seconds.
    """

    __slots__ = ('first', 'last', 'fence', 'wait')

    def __init__(self, first, last, fence, wait):
        self.first = first
        self.last = last
        self.fence = fence
        self.wait = wait


class BusyRange:
    """Keys `first` to `last` of the range with this fence, with overload.

    They get `overload` times the requests that their owner can serve.
    """

    __slots__ = ('first', 'last', 'fence', 'overload')

    def __init__(self, first, last, fence, overload):
        self.first = first
        self.last = last
        self.fence = fence
        self.overload = overload


class RangeNotices:
    """The latest announcement for one service."""

    __slots__ = ('_paused', '_busy', '_announced_at')

    def __init__(self, paused, busy, now):
        self._paused = _RangeIndex(paused)
        self._busy = _RangeIndex(busy)
        self._announced_at = now

    def wait_seconds(self, key, fence, now):
        """Return how long a key has no owner yet, None if it has one.

        `fence` is that of its range in the table: a range with another one
        has a new owner.
        """
        found = self._find(self._paused, key, fence, now)
        if found is None:
            return None
        return max(0.0, found.wait - (now - self._announced_at))

    def overload(self, key, fence, now):
        """Return the overload of a key's range, 1.0 if there is none."""
        found = self._find(self._busy, key, fence, now)
        return 1.0 if found is None else found.overload

    def _find(self, index, key, fence, now):
        if now >= self._announced_at + VALIDITY_SECONDS:
            return None
        return index.find(key, fence)


class _RangeIndex:
    """Ranges that don't overlap, by key."""

    __slots__ = ('_ranges', '_starts')

    def __init__(self, ranges):
        self._ranges = sorted(ranges, key=lambda item: item.first)
        self._starts = [item.first for item in self._ranges]

    def find(self, key, fence):
        index = bisect.bisect_right(self._starts, key) - 1
        if index < 0:
            return None
        found = self._ranges[index]
        if key > found.last or fence != found.fence:
            return None
        return found


def busy_ranges(table, capacities, rates):
    """Return the BusyRange of each range with more load than is served.

    `capacities` maps upstreams to requests/s and `rates` is a KeyRates. The
    ranges of an owner share its capacity evenly; what one does not need is
    left to the others.
    """
    by_owner = {}
    for item in table.ranges:
        load = rates.total(item.first, item.last)
        if load > 0.0:
            by_owner.setdefault(item.owner, []).append((load, item))
    found = []
    for owner, loads in by_owner.items():
        left = capacities.get(owner)
        if left is None or sum(load for load, _ in loads) <= left:
            continue
        loads.sort(key=lambda pair: pair[0])
        for number, (load, item) in enumerate(loads):
            share = min(load, left / (len(loads) - number))
            left -= share
            overload = load / max(share, 1e-9)
            if overload >= MIN_OVERLOAD:
                found.append(
                    BusyRange(item.first, item.last, item.fence, overload)
                )
    found.sort(key=lambda item: item.overload, reverse=True)
    return found[:MAX_BUSY_RANGES]
