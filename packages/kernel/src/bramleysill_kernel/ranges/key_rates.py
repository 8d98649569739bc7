"""Request rates of keys, indexed for sums over ranges of keys."""

import bisect
import itertools


class KeyRates:
    """An immutable list of (key, requests/s) pairs, sorted by key.

    The sum over a range of keys takes logarithmic time, so that a plan can
    ask for it for each of several hundred ranges.

    Example::

        rates = KeyRates([(3, 0.5), (9, 2.0)])
        rates.total(0, 8)
        0.5
    """

    __slots__ = ('_pairs', '_keys', '_sums')

    def __init__(self, pairs):
        self._pairs = list(pairs)
        self._keys = [key for key, _ in self._pairs]
        # Sum of the rates before each position.
        self._sums = list(
            itertools.accumulate((r for _, r in self._pairs), initial=0.0)
        )

    def total(self, first, last):
        """Return the requests/s of the keys `first` to `last`, inclusive."""
        start, end = self._positions(first, last)
        return self._sums[end] - self._sums[start]

    def between(self, first, last):
        """Return the pairs of the keys `first` to `last`, inclusive."""
        start, end = self._positions(first, last)
        return self._pairs[start:end]

    @property
    def sum(self):
        """Return the requests/s of all keys."""
        return self._sums[-1]

    def _positions(self, first, last):
        start = bisect.bisect_left(self._keys, first)
        return start, bisect.bisect_right(self._keys, last, lo=start)
