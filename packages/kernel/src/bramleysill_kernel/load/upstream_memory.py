"""Decides how many bytes of requests one upstream may hold for this router.

Load pattern that it answers: many large uploads reach one upstream at the same
time, until it exceeds a memory limit that it does not disclose and crashes.
All its requests are lost, and the same uploads then reach the next one. After
such a loss the router sends fewer bytes at a time to this upstream, also to
its next process, and probes slowly upwards.

A crash looks like this from a router: connections with requests break off,
and then the process can't be reached, or another one has replaced it. Broken
connections alone are no loss, as an upstream also resets new ones when it has
too many.
"""

import math

# A loss with fewer bytes in flight from this router says nothing about the
# memory of the upstream.
MIN_LOST_BYTES = 512 << 10
# A process that can't be reached within this time of a broken connection was
# lost at that moment. For about a second after the reset of many connections
# the upstream counts as full, so that nothing is sent that would show it.
CONFIRM_SECONDS = 5.0
# Share of the estimate that may be in flight. The other routers' requests, and
# what a request takes beside its bytes, are not known.
ESTIMATE_SHARE = 0.5
# The estimate doubles in this time. At this rate an upstream that can hold
# eight times as much is used fully again after three minutes.
DOUBLING_SECONDS = 60.0
# After this time, and ten doublings, the estimate is dropped.
RETENTION_SECONDS = 600.0
# Bound at any estimate, so that requests without a large body always pass.
MIN_BOUND_BYTES = 256 << 10
# Bounds of the estimated time until a request fits.
MIN_ROOM_SECONDS = 0.15
MAX_ROOM_SECONDS = 30.0


class MemoryEstimates:
    """Estimates of the memory of upstreams that were lost, by upstream id."""

    __slots__ = ('_clock', '_lost')

    def __init__(self, clock):
        self._clock = clock
        # Bytes in flight at the loss, and its time.
        self._lost = {}

    def note_lost(self, upstream, held):
        """Record that an upstream was lost with `held` bytes in flight."""
        now = self._clock.now()
        self._lost[upstream] = min(held, self.estimate(upstream)), now

    def estimate(self, upstream):
        """Return how many bytes this router could send; inf if unknown."""
        found = self._lost.get(upstream)
        if found is None:
            return math.inf
        held, lost_at = found
        age = self._clock.now() - lost_at
        if age >= RETENTION_SECONDS:
            return math.inf
        return held * 2 ** (age / DOUBLING_SECONDS)

    def bound(self, upstream):
        """Return how many bytes may be in flight; inf without an estimate."""
        return max(MIN_BOUND_BYTES, ESTIMATE_SHARE * self.estimate(upstream))

    def bounds(self):
        """Return {upstream: bound} of those with an estimate."""
        found = {u: self.bound(u) for u in self._lost}
        return {u: b for u, b in found.items() if b < math.inf}

    def seconds_until(self, upstream, size):
        """Return when `size` bytes fit into the bound if nothing else runs."""
        bound = self.bound(upstream)
        if size <= bound:
            return 0.0
        return DOUBLING_SECONDS * math.log2(size / bound)

    def sweep(self):
        """Remove the estimates that are too old to count."""
        for upstream in list(self._lost):
            if self.estimate(upstream) == math.inf:
                del self._lost[upstream]


class InFlightBytes:
    """Bytes of the requests in flight at one process of an upstream."""

    __slots__ = (
        'held',
        '_clock',
        '_upstream',
        '_estimates',
        '_held_at_break',
        '_confirm_until',
    )

    def __init__(self, clock, upstream, estimates):
        self.held = 0
        self._clock = clock
        self._upstream = upstream
        self._estimates = estimates
        # The most bytes in flight when connections broke off just now.
        self._held_at_break = 0
        self._confirm_until = -math.inf

    def allows(self, size):
        """Return whether a request with a body of `size` bytes fits."""
        if not size:
            return True
        return self.held + size <= self._estimates.bound(self._upstream)

    def seconds_until_room(self, size, service_seconds):
        """Return when a request should fit that does not fit now.

        A request takes `service_seconds` at the upstream.
        """
        seconds = self._estimates.seconds_until(self._upstream, size)
        seconds = max(seconds, service_seconds, MIN_ROOM_SECONDS)
        return min(seconds, MAX_ROOM_SECONDS)

    def add(self, size):
        """Count bytes that are sent."""
        self.held += size

    def remove(self, size):
        """Count no more the bytes of a request that has ended."""
        self.held -= size

    def note_broken(self):
        """Record that a connection broke off; call before `remove`."""
        now = self._clock.now()
        if now >= self._confirm_until:
            self._held_at_break = 0
        self._held_at_break = max(self._held_at_break, self.held)
        self._confirm_until = now + CONFIRM_SECONDS

    def note_gone(self):
        """Record that the process can't be reached or was replaced.

        Returns the bytes in flight at its loss if they count, else 0.
        """
        held, self._held_at_break = self._held_at_break, 0
        now = self._clock.now()
        if now >= self._confirm_until or held < MIN_LOST_BYTES:
            return 0
        self._estimates.note_lost(self._upstream, held)
        return held
