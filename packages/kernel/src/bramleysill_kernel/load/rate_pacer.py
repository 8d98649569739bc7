"""Keeps the limits of upstreams over all routers together.

One router paces each upstream: the one that ranks first for it among the
registered routers. Before a router sends a request to an upstream with a
limit, it asks the pacing router, which replies when the request may be sent,
or that it would wait too long. The pacing router uses the generic cell rate
algorithm (ITU-T I.371): each request moves the time of the next one by the
reciprocal of the rate, so that requests are sent in the order of asking.

A share of the limit is set aside for routers that get no reply. It is divided
into whole requests, which the routers that rank first for the upstream get.
"""

import collections

from bramleysill_kernel.common.hashing import rendezvous_score
from bramleysill_kernel.load.shared_limits import USED_SHARE_OF_LIMIT
from bramleysill_kernel.load.shared_limits import share_of_total

# The pacing router permits this much of a second's requests at once.
BURST_SECONDS = 0.25
# The share of routers that get no reply is counted in whole requests per this
# time: most limits are a few requests per second.
FALLBACK_WINDOW_SECONDS = 4.0
# Retry-After of a router without a share; another one may have some left.
FALLBACK_RETRY_SECONDS = 0.3
# Delay until a limit of 0 may have changed.
ZERO_RATE_RETRY_SECONDS = 1.0


class PaceDecision:
    """Whether a request may be sent, and after how many seconds.

    If it may not, `delay` is the time until there should be room.
    """

    __slots__ = ('permitted', 'delay')

    def __init__(self, permitted, delay):
        self.permitted = permitted
        self.delay = delay


class RatePacer:
    """Permits requests at a rate, in the order in which they are asked for."""

    __slots__ = ('_clock', '_next_at')

    def __init__(self, clock):
        self._clock = clock
        # When the next request is due at an even rate, in seconds; None before
        # the first one.
        self._next_at = None

    def take(self, rate, max_wait):
        """Return the PaceDecision on a request that may wait `max_wait` s.

        `rate` is in requests/s.
        """
        if rate <= 0.0:
            return PaceDecision(False, ZERO_RATE_RETRY_SECONDS)
        now = self._clock.now()
        interval = 1.0 / rate
        tolerance = max(0.0, BURST_SECONDS - interval)
        if self._next_at is None:
            # Another router may have permitted a burst just before.
            self._next_at = now + tolerance
        delay = max(0.0, self._next_at - tolerance - now)
        if delay > max_wait:
            return PaceDecision(False, delay)
        self._next_at = max(self._next_at, now) + interval
        return PaceDecision(True, delay)


def paced_rate(limit):
    """Return the requests/s of a limit that the pacing router permits."""
    return limit * USED_SHARE_OF_LIMIT


def pacing_router(upstream, routers):
    """Return the router that paces an upstream, or None without routers."""
    return min(
        routers,
        key=lambda name: rendezvous_score(name, upstream),
        default=None,
    )


class UpstreamPacers:
    """The pacers of the upstreams that this router paces, and its fallback."""

    __slots__ = ('_clock', '_limits', '_pacers', '_fallback_times')

    def __init__(self, clock, limits):
        self._clock = clock
        self._limits = limits
        # By (upstream, incarnation).
        self._pacers = {}
        self._fallback_times = {}

    def take(self, upstream, incarnation, max_wait):
        """Return the PaceDecision of this router as the pacing router."""
        report = self._limits.report(upstream, incarnation)
        if report is None:
            return PaceDecision(True, 0.0)
        pacer = self._pacers.get((upstream, incarnation))
        if pacer is None:
            pacer = RatePacer(self._clock)
            self._pacers[upstream, incarnation] = pacer
        return pacer.take(paced_rate(report.rate), max_wait)

    def take_fallback(self, upstream, incarnation, router, routers):
        """Return the PaceDecision of a router that gets no reply.

        `routers` are the names of all routers and `router` is its own.
        """
        report = self._limits.report(upstream, incarnation)
        if report is None:
            return PaceDecision(True, 0.0)
        now = self._clock.now()
        times = self._fallback_times.setdefault(
            (upstream, incarnation), collections.deque()
        )
        while times and times[0] <= now - FALLBACK_WINDOW_SECONDS:
            times.popleft()
        if len(times) >= fallback_share(
            upstream, report.rate, router, routers
        ):
            return PaceDecision(False, FALLBACK_RETRY_SECONDS)
        times.append(now)
        return PaceDecision(True, 0.0)

    def sweep(self):
        """Remove the state of upstreams without a limit."""
        limited = {(r.upstream, r.incarnation) for r in self._limits.reports()}
        for key in set(self._pacers) - limited:
            del self._pacers[key]
        for key in set(self._fallback_times) - limited:
            del self._fallback_times[key]


def fallback_share(upstream, limit, router, routers):
    """Return the requests per window that a router may send without asking.

    All routers compute the same ranking, so that the shares of all together
    are the part of the limit that the pacing router does not use.
    """
    total = int(limit * (1 - USED_SHARE_OF_LIMIT) * FALLBACK_WINDOW_SECONDS)
    return share_of_total(total, upstream, router, routers)
