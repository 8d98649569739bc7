"""Decides when a router asks how recent its knowledge of the store is.

A follower of the leader's feed asks the leader, and reads the configuration
from the store if that does not keep it recent. Which prefixes must be recent
follows from the settings (`strict_revoke`) and from the router's tasks.

The fractions are of `revoke`, the time after which a revoked key must not be
accepted. Keys are refused at 0.9 of it (SERVE_FRACTION). A follower's
knowledge is usually as old as a watch of the leader and its own interval
together, 0.3 of it, so that two of three replies may be lost.
"""

import math

from bramleysill_kernel.common.request_numbers import RequestNumbers

REQUEST_FRACTION = 0.2
READ_AGE_FRACTION = 0.4
READ_INTERVAL_FRACTION = 0.2
# Longest waits of a watch of the configuration, for the leader, on whose
# knowledge that of all others is based, and for others without its feed.
LEADER_WATCH_FRACTION = 0.1
WATCH_FRACTION = 0.3
# The registered routers must be known as of at most 1.5 s ago by a router that
# needs them to be recent. The interval and the wait allow for one lost reply.
OWN_REQUEST_INTERVAL_SECONDS = 0.4
OWN_WATCH_SECONDS = 0.4
# Without any evidence, as after a start, the leader is asked this often.
FIRST_REQUEST_INTERVAL_SECONDS = 0.1
# Shortest interval and wait; the settings may name a `revoke` of 0.
MIN_INTERVAL_SECONDS = 0.05
# Requests without a reply that are remembered. At the shortest interval their
# replies are older than any that counts.
MAX_PENDING_REQUESTS = 32


def request_interval(bounds, freshness, needs_own):
    """Return the seconds between requests to the leader; None for none.

    `freshness` is that of the configuration, `needs_own` tells whether the
    registered routers must be recent.
    """
    intervals = []
    if bounds.strict_revoke:
        interval = max(MIN_INTERVAL_SECONDS, REQUEST_FRACTION * bounds.revoke)
        if freshness.as_of is None:
            interval = min(interval, FIRST_REQUEST_INTERVAL_SECONDS)
        intervals.append(interval)
    if needs_own:
        intervals.append(OWN_REQUEST_INTERVAL_SECONDS)
    return min(intervals, default=None)


def must_read(bounds, freshness, uptime, listed):
    """Return whether to read the configuration from the store itself.

    A router that has started `uptime` seconds ago asks the leader first, so
    that a restart of all routers does not call the store from each of them.
    Until it has `listed` the prefix, it can't use what it reads.
    """
    if not (bounds.strict_revoke and listed):
        return False
    if freshness.as_of is None:
        return uptime > READ_INTERVAL_FRACTION * bounds.revoke
    return not freshness.is_within(READ_AGE_FRACTION * bounds.revoke)


def read_interval(bounds):
    """Return the least time in seconds between reads of the configuration."""
    return max(MIN_INTERVAL_SECONDS, READ_INTERVAL_FRACTION * bounds.revoke)


def longest_config_wait(bounds, leading):
    """Return the longest wait in seconds of a watch of the configuration."""
    if not bounds.strict_revoke:
        return math.inf
    fraction = LEADER_WATCH_FRACTION if leading else WATCH_FRACTION
    return max(MIN_INTERVAL_SECONDS, fraction * bounds.revoke)


def longest_own_wait(needs_own, leading, organisations):
    """Return the longest wait in seconds of a watch of the own prefix.

    The leader keeps it short while an organisation has a limit, since other
    routers need its knowledge to apply that.
    """
    if needs_own or (leading and any(o.limited for o in organisations or ())):
        return OWN_WATCH_SECONDS
    return math.inf


class SentRequests:
    """The send times of the requests without a reply.

    `first` is the number before that of the first request.
    """

    __slots__ = ('_clock', '_numbers', '_sent_at')

    def __init__(self, clock, first):
        self._clock = clock
        self._numbers = RequestNumbers(first)
        self._sent_at = {}

    def add(self):
        """Note a request that is sent now, and return its number."""
        number = self._numbers.take()
        self._sent_at[number] = self._clock.now()
        if len(self._sent_at) > MAX_PENDING_REQUESTS:
            del self._sent_at[next(iter(self._sent_at))]
        return number

    def take(self, number):
        """Return when a request was sent, or None if it isn't pending."""
        return self._sent_at.pop(number, None)
