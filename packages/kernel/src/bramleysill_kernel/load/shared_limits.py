"""Cell-wide limits that routers enforce without calls to each other.

A limit applies to the sum over all routers, and each router uses only its
share of it. The number of routers comes from their entries in the store; a
router that has just started counts itself.
"""

import collections

from bramleysill_kernel.common.hashing import rendezvous_score

# Share of a common limit that is used. The rest covers routers that don't
# know of each other yet.
USED_SHARE_OF_LIMIT = 0.8
# Slow-start limits are in requests per this time.
SLOW_START_WINDOW_SECONDS = 1.0


# A router whose registration has expired is still counted for this time: in a
# store outage all registrations may expire at once while the routers go on.
EXPIRED_ROUTER_RETENTION_SECONDS = 30.0
# After its start or a store outage, a router waits this long for the others to
# register again before it takes a share of a small limit.
REGISTRATION_WAIT_SECONDS = 3.0


class KnownRouters:
    """The routers that share the limits, as far as this one knows."""

    __slots__ = (
        'version',
        '_clock',
        '_counted_until',
        '_addresses',
        '_settled_at',
        '_first_settled_at',
    )

    def __init__(self, clock):
        # Rises with each change of the routers that are counted.
        self.version = 0
        self._clock = clock
        # The time until which each router is counted; None while it is
        # registered.
        self._counted_until = {}
        # By router, its address for links between routers.
        self._addresses = {}
        # Set when the store is reached for the first time.
        self._settled_at = float('inf')
        self._first_settled_at = float('inf')

    def note_store_recovered(self):
        """Record that the store is reachable; entries may still be missing."""
        self._settled_at = self._clock.now() + REGISTRATION_WAIT_SECONDS
        self._first_settled_at = min(self._first_settled_at, self._settled_at)

    def add(self, router, address=''):
        """Count a router that has registered with its peer address."""
        if self._counted_until.get(router, 0.0) is not None:
            self.version += 1
        self._counted_until[router] = None
        self._addresses[router] = address

    def remove(self, router):
        """Record that the registration of a router has expired."""
        if router in self._counted_until:
            self.version += 1
            self._counted_until[router] = (
                self._clock.now() + EXPIRED_ROUTER_RETENTION_SECONDS
            )

    def is_settled(self):
        """Return whether the others have had time to register."""
        return self._clock.now() >= self._settled_at

    def has_settled_once(self):
        """Return whether `is_settled` was true at least once."""
        return self._clock.now() >= self._first_settled_at

    def is_registered(self, router):
        """Return whether a router has a registration now."""
        return self._counted_until.get(router, 0.0) is None

    def address(self, router):
        """Return the peer address of a router, '' if it isn't counted."""
        return self._addresses.get(router, '')

    def running_names(self):
        """Return the names of the routers that should be running.

        After an outage of the store these include the routers that have not
        had time to register again.
        """
        if not self.is_settled():
            return self.names()
        return [
            router
            for router, until in self._counted_until.items()
            if until is None
        ]

    def names(self):
        """Return the names of the routers that are counted."""
        now = self._clock.now()
        for router, until in list(self._counted_until.items()):
            if until is not None and now >= until:
                del self._counted_until[router]
                del self._addresses[router]
                self.version += 1
        return list(self._counted_until)


class RetryBudget:
    """This router's budget of retries for one service.

    In each `window` seconds, all routers together may send `extra` retries
    plus `ratio` times the number of first attempts.
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
        """Count a first attempt, which adds `ratio` retries to the budget."""
        self._request_times.append(self._clock.now())

    def take(self, routers):
        """Return whether a retry may be sent, and count it if so.

        `routers` is the number of routers that share `extra`.
        """
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
    """Limits this router's requests to upstreams in slow start.

    If the limit is smaller than the number of routers, only the routers that
    rank first for the upstream send to it.
    """

    __slots__ = ('_clock', '_sent_times')

    def __init__(self, clock):
        self._clock = clock
        self._sent_times = {}

    def take(self, upstream, bound, router, routers):
        """Return whether a request may be sent now, and count it if so.

        `bound` is the limit in requests per second over all routers.
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
        """Remove the state of an upstream that no longer exists."""
        self._sent_times.pop(upstream, None)


def slow_start_share(upstream, bound, router, routers):
    """Return how many requests per second this router may send.

    All routers compute the same ranking from rendezvous hashes, so their
    shares add up to at most the bound.
    """
    total = int(bound * USED_SHARE_OF_LIMIT)
    return share_of_total(total, upstream, router, routers)


def share_of_total(total, upstream, router, routers):
    """Return a router's share of a number of requests to an upstream.

    The routers that rank first for the upstream get one more than the others
    if the number can't be divided evenly.
    """
    names = sorted(
        set(routers) | {router},
        key=lambda name: rendezvous_score(name, upstream),
    )
    each, rest = divmod(total, len(names))
    return each + (1 if names.index(router) < rest else 0)
