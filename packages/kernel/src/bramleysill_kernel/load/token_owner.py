"""Grants tokens for requests of organisations that this router owns.

One router at a time, the quota owner, keeps the token bucket of an
organisation: the first by rendezvous hash among the registered routers. Two
owners would grant twice the rate, so ownership is exclusive in time:

- A router acts as owner only while its list of routers is recent. An owner
  that was replaced, and can't know it, stops when its list gets too old.
- A router that becomes owner grants nothing until any former owner has
  stopped, and starts with an empty bucket.

A router that has not known a recent list without interruption starts over,
since another one may have been owner meanwhile.
"""

import collections

from bramleysill_kernel.common.hashing import rendezvous_score
from bramleysill_kernel.discovery.freshness import CLOCK_RATE_TOLERANCE

# A list of routers is recent while all changes up to this long ago are known.
MAX_LIST_AGE_SECONDS = 1.5
# A router whose list is older than this reads it from the store, as the leader
# may be lost. The leader's replies keep it below 0.9 s; the rest is for the
# call.
READ_LIST_AGE_SECONDS = 1.2
READ_LIST_INTERVAL_SECONDS = 0.4
# A new owner grants nothing for this time. The former one learns of the change
# or stops within MAX_LIST_AGE_SECONDS of the change, by a clock that may be
# slow.
TAKEOVER_WAIT_SECONDS = 2.0 * (1.0 + CLOCK_RATE_TOLERANCE)
# Removals of routers that are remembered. They tell since when a router has
# owned an organisation that it has not been asked for before.
MAX_REMOVALS = 256
# Tokens that are requested before callers need them come from the part of a
# bucket above this fraction, so that waiting requests of other routers find
# some.
RESERVED_FRACTION = 0.5
# Refused routers are told to ask again at different times, up to this much
# later than the next token is due.
MAX_RETRY_SPREAD_SECONDS = 0.5
# Delay until a rate of 0 may have changed.
ZERO_RATE_RETRY_SECONDS = 1.0


class TokenGrant:
    """A number of tokens, and the seconds until more can be granted.

    `delay` is 0 if all waiting requests get a token.
    """

    __slots__ = ('granted', 'delay')

    def __init__(self, granted, delay):
        self.granted = granted
        self.delay = delay


class TokenBucket:
    """The tokens of one organisation; empty at the time `since`."""

    __slots__ = (
        'since',
        '_limit',
        '_tokens',
        '_filled_at',
        '_last_promised_at',
    )

    def __init__(self, since, limit):
        self.since = since
        self._limit = limit
        self._tokens = 0.0
        self._filled_at = since
        # The latest time at which a refused router was told to ask again.
        self._last_promised_at = since

    def set_limit(self, now, limit):
        """Apply another limit from now on."""
        self._fill(now)
        self._limit = limit
        self._tokens = min(self._tokens, limit.capacity)

    def take(self, now, waiting, wanted):
        """Return the TokenGrant for `waiting` requests.

        `wanted` is the number including those that are expected soon.
        """
        self._fill(now)
        granted = min(waiting, int(self._tokens))
        self._tokens -= granted
        if granted < waiting:
            return TokenGrant(granted, self._promise(now))
        early = self._tokens - RESERVED_FRACTION * self._limit.capacity
        early = max(0, min(wanted - waiting, int(early)))
        self._tokens -= early
        return TokenGrant(granted + early, 0.0)

    def is_full(self, now):
        """Return whether a new bucket would hold as many tokens."""
        self._fill(now)
        return self._tokens >= self._limit.capacity

    def _fill(self, now):
        gained = self._limit.rate * max(0.0, now - self._filled_at)
        self._tokens = min(self._limit.capacity, self._tokens + gained)
        self._filled_at = max(self._filled_at, now)

    def _promise(self, now):
        """Return the delay after which a refused router should ask again."""
        rate = self._limit.rate
        if rate <= 0.0:
            return ZERO_RATE_RETRY_SECONDS
        due_at = now + (1.0 - self._tokens) / rate
        at = max(due_at, self._last_promised_at + 1.0 / rate)
        at = min(at, due_at + MAX_RETRY_SPREAD_SECONDS)
        self._last_promised_at = at
        return at - now


class RouterRanking:
    """The first router for each organisation, by rendezvous hash.

    The result is kept per organisation, as a ranking takes one hash for each
    router.
    """

    __slots__ = ('routers', '_first')

    def __init__(self):
        self.routers = set()
        # By organisation, (score, router).
        self._first = {}

    def set_routers(self, routers):
        """Use another set of routers; return those that were removed."""
        added = routers - self.routers
        removed = self.routers - routers
        self.routers = routers
        for organisation, first in list(self._first.items()):
            if first[1] in removed:
                del self._first[organisation]
                continue
            for router in added:
                score = rendezvous_score(router, organisation)
                first = min(first, (score, router))
            self._first[organisation] = first
        return removed

    def first(self, organisation):
        """Return the first router, or None without any."""
        found = self._first.get(organisation)
        if found is None:
            if not self.routers:
                return None
            found = min(
                (rendezvous_score(router, organisation), router)
                for router in self.routers
            )
            self._first[organisation] = found
        return found[1]

    def retain(self, organisations):
        """Forget all other organisations."""
        for organisation in set(self._first) - organisations:
            del self._first[organisation]


class QuotaOwnership:
    """Which organisations this router owns, and since when.

    `routers` are the KnownRouters and `freshness` is the Freshness of the
    prefix that registers them.
    """

    __slots__ = (
        'ranking',
        '_clock',
        '_name',
        '_routers',
        '_freshness',
        '_list_state',
        '_last_as_of',
        '_era',
        '_since',
        '_removals',
        '_starts',
        '_read_at',
        '_stopped',
    )

    def __init__(self, clock, name, routers, freshness):
        self.ranking = RouterRanking()
        self._clock = clock
        self._name = name
        self._routers = routers
        self._freshness = freshness
        # What the ranking was computed from.
        self._list_state = None
        self._last_as_of = None
        self._era = None
        # Since when the list is recent and has this router; None if it isn't.
        self._since = None
        # (time, router), in the order of the times.
        self._removals = collections.deque()
        # By organisation, when it may first be granted tokens.
        self._starts = {}
        # When the list may be read again.
        self._read_at = 0.0
        self._stopped = False

    def update(self, era):
        """Take over changes of the list; called before each decision.

        `era` is the era of the store. Knowledge of an earlier one proves
        nothing about the list of this one.
        """
        now = self._clock.now()
        state = self._routers.version, self._routers.is_settled()
        if state != self._list_state:
            self._list_state = state
            self._set_routers(now)
        as_of = self._freshness.as_of
        if not self._is_recent(now) or self._stopped:
            since = None
        elif (
            self._since is None
            or era != self._era
            or now > self._last_as_of + MAX_LIST_AGE_SECONDS
        ):
            since = now
        else:
            since = self._since
        if since != self._since:
            self._since = since
            self._starts.clear()
        self._last_as_of = as_of
        self._era = era

    def must_read_list(self):
        """Return whether to read the list of routers from the store now."""
        now = self._clock.now()
        if now < self._read_at or self._freshness.is_within(
            READ_LIST_AGE_SECONDS
        ):
            return False
        self._read_at = now + READ_LIST_INTERVAL_SECONDS
        return True

    def stop(self):
        """Own nothing any more, as the process ends."""
        self._stopped = True
        self._since = None

    @property
    def is_active(self):
        """Return whether this router may own organisations."""
        return self._since is not None

    def granting_since(self, organisation):
        """Return since when this router may grant tokens, or None."""
        if self._since is None:
            return None
        if self.ranking.first(organisation) != self._name:
            return None
        start = self._starts.get(organisation)
        if start is None:
            start = self._owner_since(organisation) + TAKEOVER_WAIT_SECONDS
            self._starts[organisation] = start
        return start if self._clock.now() >= start else None

    def retain(self, organisations):
        """Forget all other organisations."""
        self.ranking.retain(organisations)
        for organisation in set(self._starts) - organisations:
            del self._starts[organisation]

    def _is_recent(self, now):
        as_of = self._freshness.as_of
        return (
            as_of is not None
            and now <= as_of + MAX_LIST_AGE_SECONDS
            and self._routers.is_registered(self._name)
        )

    def _set_routers(self, now):
        removed = self.ranking.set_routers(set(self._routers.running_names()))
        for router in removed:
            self._removals.append((now, router))
        while len(self._removals) > MAX_REMOVALS:
            # Who owned what before this removal is no longer known.
            self._since = self._since and max(
                self._since, self._removals.popleft()[0]
            )
        if removed:
            self._starts.clear()

    def _owner_since(self, organisation):
        """Return when this router became the first for an organisation."""
        own_score = rendezvous_score(self._name, organisation)
        for removed_at, router in reversed(self._removals):
            if rendezvous_score(router, organisation) < own_score:
                return max(self._since, removed_at)
        return self._since


class TokenOwner:
    """The token buckets of the organisations that this router owns."""

    __slots__ = ('_clock', '_ownership', '_buckets')

    def __init__(self, clock, ownership):
        self._clock = clock
        self._ownership = ownership
        self._buckets = {}

    @property
    def bucket_count(self):
        """Return the number of buckets."""
        return len(self._buckets)

    def take(self, organisation, limit, waiting, wanted):
        """Return the TokenGrant of the owner, None if this is not the owner.

        `limit` is the QuotaLimit of the organisation.
        """
        since = self._ownership.granting_since(organisation)
        if since is None:
            return None
        bucket = self._buckets.get(organisation)
        if bucket is None or bucket.since < since:
            bucket = self._buckets[organisation] = TokenBucket(since, limit)
        return bucket.take(self._clock.now(), waiting, wanted)

    def apply_limits(self, find_limit):
        """Apply a new configuration: `find_limit` returns limits by name."""
        now = self._clock.now()
        for organisation, bucket in list(self._buckets.items()):
            limit = find_limit(organisation)
            if limit is None:
                del self._buckets[organisation]
            else:
                bucket.set_limit(now, limit)

    def sweep(self):
        """Remove the buckets that hold nothing which must be remembered."""
        now = self._clock.now()
        for organisation, bucket in list(self._buckets.items()):
            if self._ownership.granting_since(
                organisation
            ) is None or bucket.is_full(now):
                del self._buckets[organisation]
