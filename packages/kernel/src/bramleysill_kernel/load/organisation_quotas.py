"""Decides which requests of organisations with a limit a router may send.

`OrganisationQuotas` is the whole of one router's part: its own requests, and
the tokens that it grants as the quota owner of some organisations. The caller
sends the messages and calls back with the replies. State exists only for
organisations that have a limit and are in use.
"""

import math

from bramleysill_kernel.load.quota_limits import make_limit
from bramleysill_kernel.load.shared_limits import share_of_total
from bramleysill_kernel.load.token_leases import MAX_TOKENS
from bramleysill_kernel.load.token_leases import NO_OWNER_SECONDS
from bramleysill_kernel.load.token_leases import SILENT_OWNER_SECONDS
from bramleysill_kernel.load.token_leases import LeasedTokens
from bramleysill_kernel.load.token_owner import QuotaOwnership
from bramleysill_kernel.load.token_owner import TokenOwner

# The longest time for which a reply of the owner is believed.
MAX_DELAY_SECONDS = 60.0


class LeaseRequest:
    """A request for tokens that is to be sent to the router `owner`.

    `owner` is None if no router can be asked now.
    """

    __slots__ = ('owner', 'organisation', 'leased', 'waiting', 'wanted')

    def __init__(self, owner, organisation, leased, waiting, wanted):
        self.owner = owner
        self.organisation = organisation
        self.leased = leased
        self.waiting = waiting
        self.wanted = wanted


class OrganisationQuotas:
    """The quotas of all organisations, as one router applies them.

    `name` is this router, `routers` are the KnownRouters, and `freshness` is
    the Freshness of the prefix that registers them.
    """

    __slots__ = (
        'ownership',
        '_clock',
        '_name',
        '_routers',
        '_owner',
        '_organisations',
        '_bounds',
        '_limits',
        '_leases',
        '_shares',
        '_shares_version',
        '_silent_until',
        '_no_owner_until',
        '_started_at',
    )

    def __init__(self, clock, name, routers, freshness):
        self.ownership = QuotaOwnership(clock, name, routers, freshness)
        self._clock = clock
        self._name = name
        self._routers = routers
        self._owner = TokenOwner(clock, self.ownership)
        # Organisation by name, in the configuration in force.
        self._organisations = {}
        self._bounds = None
        # By organisation: QuotaLimit, LeasedTokens and fallback share.
        self._limits = {}
        self._leases = {}
        self._shares = {}
        self._shares_version = None
        self._silent_until = {}
        self._no_owner_until = {}
        self._started_at = clock.now()

    def apply(self, organisations, bounds):
        """Apply a configuration; return the decisions on waiting requests.

        `organisations` maps names to Organisation. The result is a list of
        (waiter, QuotaDecision).
        """
        unchanged = set()
        if bounds is self._bounds:
            unchanged = {
                name
                for name in self._limits
                if _has_same_limit(
                    self._organisations[name], organisations.get(name)
                )
            }
        self._organisations = organisations
        self._bounds = bounds
        self._limits = {name: self._limits[name] for name in unchanged}
        self._shares = {}
        settled = []
        for name, leased in list(self._leases.items()):
            if name in unchanged:
                continue
            limit = self.limit(name)
            if limit is None:
                del self._leases[name]
                settled += leased.release_waiting()
            elif limit != leased.limit:
                leased.set_limit(limit)
        self._owner.apply_limits(self.limit)
        self.ownership.retain(set(organisations))
        self._no_owner_until = {
            name: until
            for name, until in self._no_owner_until.items()
            if name in organisations
        }
        return settled

    def limit(self, name):
        """Return the QuotaLimit of an organisation, None without one."""
        limit = self._limits.get(name)
        if limit is None:
            found = self._organisations.get(name)
            if found is None or not found.limited:
                return None
            limit = make_limit(found.rate, found.burst, self._bounds)
            self._limits[name] = limit
        return limit

    def has_limits(self):
        """Return whether any organisation has a limit."""
        return any(o.limited for o in self._organisations.values())

    # Requests of this router's callers.

    def request(self, name, waiter):
        """Return the QuotaDecision of a request, None if it waits.

        The organisation has a limit. Call `next_request` if the request waits.
        """
        leased = self._leases.get(name)
        if leased is None:
            leased = self._leases[name] = LeasedTokens(self.limit(name))
        return leased.request(self._clock.now(), waiter)

    def cancel(self, name, waiter):
        """Remove a waiter whose request has ended."""
        leased = self._leases.get(name)
        if leased is not None:
            leased.cancel(waiter)

    def give_back(self, name, token):
        """Take back the token of a request that was not sent."""
        leased = self._leases.get(name)
        if leased is not None:
            leased.give_back(self._clock.now(), token)

    def next_request(self, name):
        """Return the LeaseRequest that is due, or None."""
        leased = self._leases.get(name)
        if leased is None:
            return None
        now = self._clock.now()
        counts = leased.next_request(now)
        if counts is None:
            return None
        owner = self.ownership.ranking.first(name)
        waiting, wanted = counts
        if owner == self._name:
            # Other routers may need what this one can take at any time.
            wanted = waiting
        elif self._is_unavailable(name, owner, now):
            owner = None
        return LeaseRequest(owner, name, leased, waiting, wanted)

    def on_reply(self, request, granted, delay):
        """Return the decisions after a reply.

        A `delay` that isn't a number from 0 means that the router asked is not
        the owner.
        """
        if not (math.isfinite(delay) and delay >= 0.0):
            self._no_owner_until[request.organisation] = (
                self._clock.now() + NO_OWNER_SECONDS
            )
            return self.on_no_owner(request)
        granted = min(granted, request.wanted)
        delay = min(delay, MAX_DELAY_SECONDS)
        return request.leased.on_reply(self._clock.now(), granted, delay)

    def on_silent(self, request):
        """Return the decisions without a reply in time."""
        self._silent_until[request.owner] = (
            self._clock.now() + SILENT_OWNER_SECONDS
        )
        return self.on_no_owner(request)

    def on_no_owner(self, request):
        """Return the decisions on requests for which nobody can be asked."""
        leased = request.leased
        share = self._fallback_share(request.organisation, leased.limit)
        return leased.on_no_owner(self._clock.now(), share)

    def is_silent(self, router):
        """Return whether a router has recently not replied."""
        return self._clock.now() < self._silent_until.get(router, 0.0)

    # Requests of other routers.

    def grant(self, name, waiting, wanted):
        """Return the TokenGrant for a router; None if this isn't the owner."""
        limit = self.limit(name)
        if limit is None:
            return None
        waiting = max(0, min(waiting, MAX_TOKENS))
        wanted = max(waiting, min(wanted, MAX_TOKENS))
        return self._owner.take(name, limit, waiting, wanted)

    # State.

    def sweep(self):
        """Remove the state that is no longer needed."""
        now = self._clock.now()
        self._owner.sweep()
        self._shares = {}
        for name, leased in list(self._leases.items()):
            if leased.is_idle(now):
                del self._leases[name]
        for times in (self._silent_until, self._no_owner_until):
            for key in [key for key, until in times.items() if now >= until]:
                del times[key]

    def counts(self):
        """Return the number of buckets, and of organisations in use here."""
        return self._owner.bucket_count, len(self._leases)

    def _is_unavailable(self, name, owner, now):
        return (
            owner is None
            or self.is_silent(owner)
            or now < self._no_owner_until.get(name, 0.0)
        )

    def _fallback_share(self, name, limit):
        """Return this router's share of the fallback.

        A former process of this router may have used the share until it ended,
        and a router that has just started may not know all others.
        """
        now = self._clock.now()
        if (
            not self._routers.has_settled_once()
            or now < self._started_at + limit.fallback_span
        ):
            return 0
        if self._shares_version != self._routers.version:
            self._shares_version = self._routers.version
            self._shares = {}
        share = self._shares.get(name)
        if share is None:
            share = self._shares[name] = share_of_total(
                limit.fallback, name, self._name, self._routers.names()
            )
        return share


def _has_same_limit(organisation, other):
    return other is not None and (organisation.rate, organisation.burst) == (
        other.rate,
        other.burst,
    )
