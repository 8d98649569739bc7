"""Ranges of keys that nobody serves now, as the leader announces them.

While keys move, their former owner rejects requests for them, and every router
would have to find that out by itself. The leader therefore announces which
ranges are between two owners, and for how long they should be.

The load that this answers: some hundred routers have requests for busy keys
that move, or whose owner was lost. Each request that is sent to the former
owner takes an attempt and a part of the retry budget.
"""

import bisect

# An announcement counts for this time. The leader repeats it earlier.
VALIDITY_SECONDS = 0.8
REPEAT_INTERVAL_SECONDS = 0.25


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

    @property
    def key(self):
        """Return what tells this range apart from others."""
        return self.first, self.last, self.fence


class PausedRanges:
    """The latest announcement for one service."""

    __slots__ = ('_ranges', '_starts', '_announced_at')

    def __init__(self, ranges, now):
        self._ranges = sorted(ranges, key=lambda item: item.first)
        self._starts = [item.first for item in self._ranges]
        self._announced_at = now

    def wait_seconds(self, key, fence, now):
        """Return how long a key has no owner yet, None if it has one.

        `fence` is that of its range in the table: a range with another one
        has a new owner.
        """
        age = now - self._announced_at
        if age >= VALIDITY_SECONDS:
            return None
        index = bisect.bisect_right(self._starts, key) - 1
        if index < 0:
            return None
        found = self._ranges[index]
        if key > found.last or fence != found.fence:
            return None
        return max(0.0, found.wait - age)
