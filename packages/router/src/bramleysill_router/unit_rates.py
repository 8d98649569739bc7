"""Requests per second by unit, as the coordinator wants to know them."""

import collections

# Units that are reported as candidates for a move of their own.
MAX_HOT_UNITS = 4
# A shorter interval would turn single requests into high rates.
MIN_INTERVAL_SECONDS = 0.05


class UnitRates:
    """Counts requests of units between two reports."""

    __slots__ = ('_counts', '_since')

    def __init__(self, now):
        self._counts = collections.Counter()
        self._since = now

    def note(self, unit):
        """Count a request."""
        self._counts[unit] += 1

    def take(self, now):
        """Return (rate, rates of the busiest units) and start anew."""
        elapsed = max(MIN_INTERVAL_SECONDS, now - self._since)
        counts, self._counts = self._counts, collections.Counter()
        self._since = now
        busiest = counts.most_common(MAX_HOT_UNITS)
        rate = sum(counts.values()) / elapsed
        return rate, {unit: n / elapsed for unit, n in busiest}
