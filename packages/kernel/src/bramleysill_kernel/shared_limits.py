"""Limits that all routers keep together without asking each other.

Each router takes its part of a bound that holds for the sum of all. The
number of routers comes from their entries in the store; a router that has
just started counts itself.
"""

import collections

from bramleysill_kernel.hashing import rendezvous_score

# Part of a common bound that is used; the rest covers routers that don't
# know of each other yet.
USED_SHARE_OF_LIMIT = 0.8
SLOW_START_WINDOW_SECONDS = 1.0


# A router whose registration has lapsed is counted for this time; in an outage
# of the store all registrations may lapse at once while the routers go on.
LAPSED_ROUTER_SECONDS = 30.0
# After its start, or an outage of the store, a router waits for the others to
# register again before it takes a part of a small limit.
REGISTRATION_WAIT_SECONDS = 3.0


class KnownRouters:
    """The routers that share the limits, as far as this one knows."""

    __slots__ = ('_clock', '_counted_until', '_settled_at')

    def __init__(self, clock):
        self._clock = clock
        # The end of the time for which each router is counted; None while
        # it is registered.
        self._counted_until = {}
        self._settled_at = float('inf')

    def note_store_regained(self):
        """The store answers (again); registrations may be missing."""
        self._settled_at = self._clock.now() + REGISTRATION_WAIT_SECONDS

    def add(self, router):
        """A router has registered."""
        self._counted_until[router] = None

    def remove(self, router):
        """The registration of a router is gone."""
        if router in self._counted_until:
            self._counted_until[router] = (
                self._clock.now() + LAPSED_ROUTER_SECONDS
            )

    def is_settled(self):
        """Tell whether the others have had time to register."""
        return self._clock.now() >= self._settled_at

    def names(self):
        """Return the routers that are counted."""
        now = self._clock.now()
        for router, end in list(self._counted_until.items()):
            if end is not None and now >= end:
                del self._counted_until[router]
        return list(self._counted_until)


class RetryBudget:
    """The retries of one service that this router may send.

    All routers together may send `ratio` times the fresh requests and
    `extra` more in each `window` seconds.
    """

    __slots__ = (
        '_clock',
        '_ratio',
        '_extra',
        '_window',
        '_request_times',
        '_retry_times',
    )

    def __init__(self, clock, ratio, extra, window):
        self._clock = clock
        self._ratio = ratio
        self._extra = extra
        self._window = window
        self._request_times = collections.deque()
        self._retry_times = collections.deque()

    def note_request(self):
        """Count a fresh request, which earns a part of a retry."""
        self._request_times.append(self._clock.now())

    def take(self, routers):
        """Return whether one retry may be sent, and count it if so."""
        now = self._clock.now()
        self._remove_expired(self._request_times, now)
        self._remove_expired(self._retry_times, now)
        earned = self._ratio * len(self._request_times) + self._extra / routers
        if len(self._retry_times) + 1 > earned * USED_SHARE_OF_LIMIT:
            return False
        self._retry_times.append(now)
        return True

    def _remove_expired(self, times, now):
        while times and times[0] <= now - self._window:
            times.popleft()


class SlowStartLimiter:
    """This router's part of what an upstream in slow start may get.

    Where the bound is smaller than the number of routers, only those of
    highest rank for the upstream send to it.
    """

    __slots__ = ('_clock', '_sent_times')

    def __init__(self, clock):
        self._clock = clock
        self._sent_times = {}

    def take(self, upstream, bound, router, routers):
        """Return whether a request may be sent now, and count it if so.

        `bound` is the number of requests in a second for all routers.
        """
        allowed = slow_start_share(upstream, bound, router, routers)
        now = self._clock.now()
        sent = self._sent_times.setdefault(upstream, collections.deque())
        while sent and sent[0] <= now - SLOW_START_WINDOW_SECONDS * 1.05:
            sent.popleft()
        if len(sent) >= allowed:
            return False
        sent.append(now)
        return True

    def forget(self, upstream):
        """Drop what is known of an upstream that has gone."""
        self._sent_times.pop(upstream, None)


def slow_start_share(upstream, bound, router, routers):
    """Return how many requests a second this router may send.

    Every router computes the same ranking, so the shares add up to at most
    the bound.
    """
    total = int(bound * USED_SHARE_OF_LIMIT)
    names = sorted(
        set(routers) | {router},
        key=lambda name: rendezvous_score(name, upstream),
    )
    each, rest = divmod(total, len(names))
    return each + (1 if names.index(router) < rest else 0)
