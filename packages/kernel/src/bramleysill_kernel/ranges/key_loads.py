"""Request rates by key and service times of upstreams, from all routers.

Each router counts requests by key and reports the counts. The leader keeps an
exponentially decaying rate for each key. Idle keys are dropped, so the memory
used depends on the number of recently used keys.
"""

import math

# Half-life of the rate of a key without requests. It is short because the
# busy keys change within seconds.
HALF_LIFE_SECONDS = 1.5
# Weight of one response in the moving average of an upstream's service time.
SAMPLE_WEIGHT = 0.1
# Keys with lower rates are dropped.
MIN_REQUESTS_PER_SECOND = 0.02


class UpstreamServiceTimes:
    """Moving averages of service times by upstream, in seconds."""

    __slots__ = ('_times',)

    def __init__(self):
        self._times = {}

    def add(self, upstream, responses, busy_seconds):
        """Add a report of responses and the sum of their service times.

        `responses` is their number and `busy_seconds` the sum.
        """
        if responses <= 0:
            return
        sample = busy_seconds / responses
        old = self._times.get(upstream)
        if old is None:
            self._times[upstream] = sample
            return
        weight = 1.0 - (1.0 - SAMPLE_WEIGHT) ** responses
        self._times[upstream] = old + weight * (sample - old)

    def service_time(self, upstream):
        """Return an upstream's average service time, or None if unknown."""
        return self._times.get(upstream)

    def mean(self):
        """Return the mean over all upstreams, or None without any reports."""
        times = self._times.values()
        return sum(times) / len(times) if times else None

    def keep_only(self, upstreams):
        """Remove all upstreams but the given ones."""
        for upstream in set(self._times) - set(upstreams):
            del self._times[upstream]


class KeyLoads:
    """Exponentially decaying request rates by key, in requests/s."""

    __slots__ = ('_clock', '_rates', '_decayed_at')

    def __init__(self, clock):
        self._clock = clock
        self._rates = {}
        self._decayed_at = clock.now()

    def add(self, counts):
        """Add a report, a mapping from keys to request counts."""
        per_second = math.log(2) / HALF_LIFE_SECONDS
        rates = self._rates
        for key, count in counts.items():
            rates[key] = rates.get(key, 0.0) + count * per_second

    def decay(self):
        """Decay all rates to the current time and drop idle keys."""
        now = self._clock.now()
        factor = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_SECONDS)
        self._decayed_at = now
        self._rates = {
            key: rate * factor
            for key, rate in self._rates.items()
            if rate * factor >= MIN_REQUESTS_PER_SECOND
        }

    def sorted_rates(self):
        """Return (key, rate) pairs sorted by key."""
        return sorted(self._rates.items())
