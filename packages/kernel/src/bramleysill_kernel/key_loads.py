"""Demand for keys and speed of upstreams, as reported by all routers.

Each router counts requests by key and reports the counts; the leader keeps
an exponentially decayed rate for each key. Idle keys are dropped, so the
size follows the number of keys in use lately.
"""

import math

# Halves a rate that gets no more requests; short, because busy keys change
# within seconds.
HALF_LIFE_SECONDS = 1.5
# Weight of one answer in the average service time of an upstream.
SAMPLE_WEIGHT = 0.1
# Rates below this, in requests/s, are dropped.
MIN_REQUESTS_PER_SECOND = 0.02


class UpstreamServiceTimes:
    """Average service times by upstream, from the answers of all routers."""

    __slots__ = ('_times',)

    def __init__(self):
        self._times = {}

    def add(self, upstream, answers, busy_time):
        """Add a report; `busy_time` is the sum of `answers` times."""
        if answers <= 0:
            return
        sample = busy_time / answers
        old = self._times.get(upstream)
        if old is None:
            self._times[upstream] = sample
            return
        weight = 1.0 - (1.0 - SAMPLE_WEIGHT) ** answers
        self._times[upstream] = old + weight * (sample - old)

    def service_time(self, upstream):
        """Return the seconds that a request takes, or None if unknown."""
        return self._times.get(upstream)

    def mean(self):
        """Return the mean over all upstreams, or None if none is known."""
        times = self._times.values()
        return sum(times) / len(times) if times else None

    def keep_only(self, upstreams):
        """Forget the upstreams that have gone."""
        for upstream in set(self._times) - set(upstreams):
            del self._times[upstream]


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
            if rate * factor >= MIN_REQUESTS_PER_SECOND
        }

    def sorted_rates(self):
        """Return (key, rate) pairs in order of the keys."""
        return sorted(self._rates.items())
