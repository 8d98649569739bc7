"""Limits that all routers keep together without asking each other.

Each router takes its part of a bound that holds for the sum of all. The
number of routers comes from their entries in the store; a router that has
just started counts itself.
"""

import collections

from bramleysill_kernel.hashing import rendezvous_score

# Part of a common bound that is used; the rest covers routers that don't
# know of each other yet.
USED_SHARE = 0.8
COLD_WINDOW_SECONDS = 1.0


class RetryAllowance:
    """The retries of one service that this router may send.

    All routers together may send `ratio` times the fresh requests and
    `extra` more in each `window` seconds.
    """

    __slots__ = ('_clock', '_ratio', '_extra', '_window', '_fresh', '_spent')

    def __init__(self, clock, ratio, extra, window):
        self._clock = clock
        self._ratio = ratio
        self._extra = extra
        self._window = window
        self._fresh = collections.deque()
        self._spent = collections.deque()

    def note_request(self):
        """Count a fresh request, which earns a part of a retry."""
        self._fresh.append(self._clock.now())

    def take(self, routers):
        """Return whether one retry may be sent, and count it if so."""
        now = self._clock.now()
        self._forget(self._fresh, now)
        self._forget(self._spent, now)
        earned = self._ratio * len(self._fresh) + self._extra / routers
        if len(self._spent) + 1 > earned * USED_SHARE:
            return False
        self._spent.append(now)
        return True

    def _forget(self, times, now):
        while times and times[0] <= now - self._window:
            times.popleft()


class ColdGate:
    """This router's part of what an upstream in slow start may get.

    Where the bound is smaller than the number of routers, only those of
    highest rank for the upstream send to it.
    """

    __slots__ = ('_clock', '_sent')

    def __init__(self, clock):
        self._clock = clock
        self._sent = {}

    def take(self, upstream, bound, router, routers):
        """Return whether a request may be sent now, and count it if so.

        `bound` is the number of requests in a second for all routers.
        """
        allowed = cold_share(upstream, bound, router, routers)
        now = self._clock.now()
        sent = self._sent.setdefault(upstream, collections.deque())
        while sent and sent[0] <= now - COLD_WINDOW_SECONDS * 1.05:
            sent.popleft()
        if len(sent) >= allowed:
            return False
        sent.append(now)
        return True

    def forget(self, upstream):
        """Drop what is known of an upstream that has gone."""
        self._sent.pop(upstream, None)


def cold_share(upstream, bound, router, routers):
    """Return how many requests a second this router may send.

    Every router computes the same ranking, so the shares add up to at most
    the bound.
    """
    total = int(bound * USED_SHARE)
    names = sorted(
        set(routers) | {router},
        key=lambda name: rendezvous_score(name, upstream),
    )
    each, rest = divmod(total, len(names))
    return each + (1 if names.index(router) < rest else 0)
