"""Counts calls and their peak rate within one second."""

import collections

RATE_WINDOW_MS = 1000.0


class CallRates:
    """Counts calls by kind, and the peak rates of reads and writes.

    The platform limits both rates. It counts a pending watch as a read.
    Times are in milliseconds on the caller's clock.
    """

    __slots__ = ('totals', 'peaks', '_recent')

    def __init__(self):
        self.totals = collections.Counter()
        self.peaks = {'reads': 0, 'writes': 0}
        self._recent = {name: collections.deque() for name in self.peaks}

    def record(self, kind, is_write, now_ms):
        """Count one call."""
        self.totals[kind] += 1
        name = 'writes' if is_write else 'reads'
        recent = self._recent[name]
        recent.append(now_ms)
        while recent[0] <= now_ms - RATE_WINDOW_MS:
            recent.popleft()
        self.peaks[name] = max(self.peaks[name], len(recent))

    def as_dict(self):
        """Return totals and peak rates as a dict for JSON."""
        found = dict(self.totals)
        for name, peak in self.peaks.items():
            found[f'peak_{name}_per_second'] = peak
        return found
