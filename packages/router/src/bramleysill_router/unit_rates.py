"""Requests per second by unit, for the reports to the coordinator."""

import collections

# How many of the busiest units are reported, so that the coordinator can move
# them separately.
MAX_HOT_UNITS = 4
# Rates are computed over at least this time. Over a shorter interval, single
# requests would look like high rates.
MIN_INTERVAL_SECONDS = 0.05


class UnitRates:
    """Counts the requests of each unit between two reports."""

    __slots__ = ('_counts', '_since')

    def __init__(self, now):
        self._counts = collections.Counter()
        self._since = now

    def note_request(self, unit):
        """Count a request of a unit."""
        self._counts[unit] += 1

    def take(self, now):
        """Return (total rate, rates of the busiest units); reset counts."""
        elapsed = max(MIN_INTERVAL_SECONDS, now - self._since)
        counts, self._counts = self._counts, collections.Counter()
        self._since = now
        busiest = counts.most_common(MAX_HOT_UNITS)
        rate = sum(counts.values()) / elapsed
        return rate, {unit: n / elapsed for unit, n in busiest}
