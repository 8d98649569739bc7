"""How much work the keys of a service cause, as reported by all routers.

Each router counts requests by key and reports the counts; the leader keeps
an exponentially decayed rate for each key. Idle keys are dropped, so the
size follows the number of keys in use lately.
"""

import math

# Halves a rate that gets no more requests; short, because busy keys change
# within seconds.
HALF_LIFE_SECONDS = 1.5
# Rates below this, in requests/s, are dropped.
LEAST_RATE = 0.02


class KeyLoads:
    """Decayed request rates by key, in requests/s."""

    __slots__ = ('_clock', '_rates', '_decayed_at')

    def __init__(self, clock):
        self._clock = clock
        self._rates = {}
        self._decayed_at = clock.now()

    def add(self, counts):
        """Add a report: a mapping from keys to numbers of requests."""
        per_second = math.log(2) / HALF_LIFE_SECONDS
        rates = self._rates
        for key, count in counts.items():
            rates[key] = rates.get(key, 0.0) + count * per_second

    def decay(self):
        """Age all rates to the present."""
        now = self._clock.now()
        factor = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_SECONDS)
        self._decayed_at = now
        self._rates = {
            key: rate * factor
            for key, rate in self._rates.items()
            if rate * factor >= LEAST_RATE
        }

    def sorted_rates(self):
        """Return (key, rate) pairs in order of the keys."""
        return sorted(self._rates.items())
