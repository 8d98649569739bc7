"""A model of an upstream's capacity: slots, warm-up, collapse, delayed load.

All times are in milliseconds on the caller's clock.
"""

import collections

# The reported load is this old.
LOAD_LAG_MS = 500.0
# Ratio of the service time of a cold upstream to that of a warm one.
COLD_SLOWDOWN = 4.0
# An upstream collapses when it takes on too much work while cold. Its service
# time then grows by this factor, until COLLAPSE_MS after the last request that
# exceeded its capacity.
COLLAPSE_SLOWDOWN = 4.0
COLLAPSE_MS = 1000.0
# Requests that a cold upstream must have run before it is warm.
MIN_WARMUP_REQUESTS = 20


class DelayedLoad:
    """The load as reported, which is delayed by LOAD_LAG_MS."""

    __slots__ = ('_samples', '_delayed_load')

    def __init__(self):
        self._samples = collections.deque()
        self._delayed_load = 0.0

    def record(self, now_ms, load):
        """Record the load at this time."""
        self._samples.append((now_ms, load))
        self.reported_load(now_ms)

    def reported_load(self, now_ms):
        """Return the load LOAD_LAG_MS before this time."""
        while self._samples and self._samples[0][0] <= now_ms - LOAD_LAG_MS:
            self._delayed_load = self._samples.popleft()[1]
        return self._delayed_load


class CapacityModel:
    """Counts requests in flight and derives the service time of a request.

    Example::

        model = CapacityModel(slots=4, cold_slots=1, warmup_ms=5000)
        if model.start(now_ms):
            duration = model.service_ms(now_ms, 2.0)
            model.finish(now_ms, ran=True)
    """

    __slots__ = (
        'slots',
        'cold_slots',
        'warmup_ms',
        'in_flight',
        'max_in_flight',
        'cold_max_in_flight',
        'collapses',
        'slow_factor',
        'delayed_load',
        '_cold_since_ms',
        '_ran_since_cold',
        '_collapsed_until_ms',
    )

    def __init__(self, slots, cold_slots, warmup_ms, now_ms=0.0):
        self.slots = slots
        self.cold_slots = cold_slots
        self.warmup_ms = warmup_ms
        self.in_flight = 0
        self.max_in_flight = 0
        self.cold_max_in_flight = 0
        self.collapses = 0
        self.slow_factor = 1.0
        self.delayed_load = DelayedLoad()
        self.make_cold(now_ms)

    def make_cold(self, now_ms):
        """Restart the warm-up from cold."""
        self._cold_since_ms = now_ms
        self._ran_since_cold = 0
        self._collapsed_until_ms = now_ms

    def warmup_progress(self, now_ms):
        """Return 0 (cold) to 1 (warm); it takes both time and requests."""
        if not self.warmup_ms:
            return 1.0
        by_time = (now_ms - self._cold_since_ms) / self.warmup_ms
        by_work = self._ran_since_cold / MIN_WARMUP_REQUESTS
        return max(0.0, min(1.0, by_time, by_work))

    def safe_in_flight(self, now_ms):
        """Return how many requests at a time do not cause a collapse."""
        extra = self.slots - self.cold_slots
        return self.cold_slots + int(extra * self.warmup_progress(now_ms))

    def is_collapsed(self, now_ms):
        """Return whether too much work while cold slows the upstream down."""
        return now_ms < self._collapsed_until_ms

    def start(self, now_ms):
        """Acquire a slot; return False if none is free."""
        if self.in_flight >= self.slots:
            return False
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        self._record_load(now_ms)
        if self.warmup_progress(now_ms) < 1.0:
            self._check_collapse(now_ms)
        return True

    def finish(self, now_ms, ran):
        """Release a slot; `ran` is whether the request was run."""
        self.in_flight -= 1
        self._ran_since_cold += 1 if ran else 0
        self._record_load(now_ms)

    def service_ms(self, now_ms, warm_ms):
        """Return the service time of a request that starts now."""
        cold = 1.0 - self.warmup_progress(now_ms)
        factor = 1.0 + (COLD_SLOWDOWN - 1.0) * cold
        if self.is_collapsed(now_ms):
            factor *= COLLAPSE_SLOWDOWN
        return warm_ms * factor * self.slow_factor

    def as_dict(self):
        """Return the peaks and the count of collapses for JSON."""
        return {
            'max_in_flight': self.max_in_flight,
            'cold_max_in_flight': self.cold_max_in_flight,
            'collapses': self.collapses,
        }

    def _check_collapse(self, now_ms):
        self.cold_max_in_flight = max(self.cold_max_in_flight, self.in_flight)
        if self.in_flight <= self.safe_in_flight(now_ms):
            return
        if not self.is_collapsed(now_ms):
            self.collapses += 1
        self._cold_since_ms = now_ms
        self._ran_since_cold = 0
        self._collapsed_until_ms = now_ms + COLLAPSE_MS

    def _record_load(self, now_ms):
        self.delayed_load.record(now_ms, self.in_flight / self.slots)
