"""Upper bounds for how long upstreams may hold the keys granted to them.

A hold is a time-limited grant. It starts when the grant arrives and is
measured by the upstream's clock. The leader knows only when it sent the grant
and when the response came back, so it assumes the latest possible arrival: the
time of the response or, without one, the end of the call. While a call is in
progress, no end is known.

Calls use several connections, so a grant may arrive after a release that was
sent later, and give the keys back to their former owner. A release therefore
ends only the grants whose responses were received before it was sent.
"""

import collections
import math

from bramleysill_kernel.ranges.former_holds import FormerHold

# An upstream's clock may run 2% slow while it measures a hold.
MAX_UPSTREAM_CLOCK_RATE_ERROR = 0.02
# An unanswered grant call is aborted after this time. Its connection is
# reset, so bytes that were not sent yet can no longer arrive.
CALL_TIMEOUT_SECONDS = 0.4
# Bytes that were in transit at the reset arrive within this time. Packets that
# wait for half a second in a busy link are no fault of it.
MAX_TRANSIT_SECONDS = 0.5


def max_hold_seconds(hold):
    """Return the longest time that a hold of `hold` seconds may last."""
    return hold * (1 + MAX_UPSTREAM_CLOCK_RATE_ERROR)


def last_hold_end(last_sent_at, hold):
    """Return when the holds of all grants sent until then have expired."""
    return (
        last_sent_at
        + CALL_TIMEOUT_SECONDS
        + MAX_TRANSIT_SECONDS
        + max_hold_seconds(hold)
    )


class _GrantCall:
    """A grant of the keys `first` to `last` without a response.

    `until` is the latest possible end of its hold, infinite while the call is
    in progress.
    """

    __slots__ = ('first', 'last', 'until')

    def __init__(self, item):
        self.first = item.first
        self.last = item.last
        self.until = math.inf

    @property
    def in_progress(self):
        """Return whether the call may still get a response."""
        return self.until == math.inf

    def overlaps(self, item):
        """Return whether the grant has keys in common with a range."""
        return self.first <= item.last and item.first <= self.last


class HoldLedger:
    """Tracks the latest possible end of each holder's holds.

    Its methods take a KeyRange with the owner that holds it. A holder is
    `(upstream, incarnation, fence)`. `takeover_at` is when this process became
    leader and `longest_hold` the longest hold that its predecessor may have
    granted. Until these holds have expired, a holder that has not confirmed a
    grant of this leader may still hold its keys. A holder that has confirmed
    one refuses late grants of earlier leaders, because their fences are lower.

    `call_number` tells the grant calls of a holder apart, and `hold` is the
    length of a granted hold in seconds.
    """

    __slots__ = (
        '_clock',
        '_confirmed_until',
        '_calls',
        '_former_holders',
        '_inherited_until',
        '_former',
        '_longest_hold',
    )

    def __init__(self, clock, takeover_at, longest_hold):
        self._clock = clock
        # Latest end of the confirmed grants: {holder: end}.
        self._confirmed_until = {}
        # Grants without a response: {holder: {call number: _GrantCall}}.
        self._calls = {}
        # The holders whose keys a holder has got from itself with a new fence:
        # {holder: [former holder]}.
        self._former_holders = {}
        self._inherited_until = last_hold_end(takeover_at, longest_hold)
        # The FormerHolds of the last term, or None if they aren't known.
        self._former = None
        self._longest_hold = longest_hold

    def use_former_holds(self, former):
        """Replace the assumption about earlier leaders by FormerHolds."""
        self._former = former

    def holds(self):
        """Return the FormerHold of each (upstream, incarnation)."""
        found = collections.defaultdict(FormerHold)
        if self._former is not None:
            for key, hold in self._former.holds.items():
                found[key] = FormerHold(hold.held_until, hold.unanswered_until)
        for (owner, incarnation, _), end in self._confirmed_until.items():
            known = found[owner, incarnation]
            known.held_until = max(known.held_until, end)
        for (owner, incarnation, _), calls in self._calls.items():
            known = found[owner, incarnation]
            end = max(self._latest_end(call) for call in calls.values())
            known.unanswered_until = max(known.unanswered_until, end)
            known.held_until = max(known.held_until, end)
        return dict(found)

    @property
    def inherited_until(self):
        """Return the end of the holds that this leader knows nothing of."""
        if self._former is not None:
            return self._former.inherited_until
        return self._inherited_until

    def discard_inherited_holds(self):
        """Record that no earlier leader has granted anything."""
        self._inherited_until = 0.0

    def carry_over(self, old, new):
        """Record that the owner of a range keeps its keys with a new fence.

        What it was granted with the old one still counts.
        """
        former = self._former_holders.get(old.holder, ())
        self._former_holders[new.holder] = [old.holder, *former]

    def record_grant_sent(self, item, call_number):
        """Record a grant that is sent now."""
        calls = self._calls.setdefault(item.holder, {})
        calls[call_number] = _GrantCall(item)

    def record_grant_confirmed(self, item, call_number, hold):
        """Record a confirmed grant; it arrived at the upstream before now."""
        end = self._clock.now() + max_hold_seconds(hold)
        self._confirmed_until[item.holder] = max(
            end, self._confirmed_until.get(item.holder, 0.0)
        )
        self.record_grant_refused(item, call_number)

    def record_grant_refused(self, item, call_number):
        """Record that the upstream responded without accepting the grant."""
        calls = self._calls.get(item.holder)
        if calls is not None:
            calls.pop(call_number, None)
            if not calls:
                del self._calls[item.holder]

    def record_grant_unanswered(self, item, call_number, hold):
        """Record that a call has ended now without a response.

        It may have ended later than its timeout if the loop was late, and its
        bytes may have been sent until then.
        """
        call = self._calls.get(item.holder, {}).get(call_number)
        if call is not None:
            call.until = (
                self._clock.now()
                + MAX_TRANSIT_SECONDS
                + max_hold_seconds(hold)
            )

    def has_grant_in_progress(self, item):
        """Return whether a grant of these keys may still get a response.

        A release that is sent meanwhile may arrive before the grant.
        """
        return any(call.in_progress for call in self._calls_of(item))

    def has_confirmed(self, holder):
        """Return whether the holder has confirmed a grant of this leader."""
        return holder in self._confirmed_until

    def expiry_after_release(self, item):
        """Return when the keys may be reassigned if the owner released them.

        The release must have been sent while no grant was in progress. Grants
        that are still unanswered may take effect after it.
        """
        unanswered_end = max(
            (call.until for call in self._calls_of(item)), default=0.0
        )
        if self.has_confirmed(item.holder):
            return unanswered_end
        inherited_end = self._inherited_until
        if self._former is not None:
            inherited_end = self._former.of_owner(item).unanswered_until
        return max(inherited_end, unanswered_end)

    def expiry_without_release(self, item):
        """Return when the keys may be reassigned without a release."""
        confirmed_end = max(
            self._confirmed_until.get(holder, 0.0)
            for holder in self._holders_of(item)
        )
        inherited_end = self._inherited_until
        if self._former is not None:
            inherited_end = self._former.of_owner(item).held_until
        return max(
            inherited_end,
            confirmed_end,
            self.expiry_after_release(item),
        )

    def prune(self, items):
        """Remove the expired holds of all but the holders of these ranges."""
        now = self._clock.now()
        current = {item.holder for item in items}
        for holder in set(self._calls) - current:
            calls = self._calls[holder].values()
            if max(call.until for call in calls) < now:
                del self._calls[holder]
        if self._inherited_until >= now:
            return
        for holder in set(self._confirmed_until) - current - set(self._calls):
            if self._confirmed_until[holder] < now:
                del self._confirmed_until[holder]
        self._prune_former_holders(current)

    def _latest_end(self, call):
        if call.in_progress:
            return last_hold_end(self._clock.now(), self._longest_hold)
        return call.until

    def _calls_of(self, item):
        return [
            call
            for holder in self._holders_of(item)
            for call in self._calls.get(holder, {}).values()
            if call.overlaps(item)
        ]

    def _holders_of(self, item):
        holder = item.holder
        return holder, *self._former_holders.get(holder, ())

    def _prune_former_holders(self, current):
        known = self._confirmed_until.keys() | self._calls.keys()
        kept = {}
        for holder in self._former_holders.keys() & current:
            former = [h for h in self._former_holders[holder] if h in known]
            if former:
                kept[holder] = former
        self._former_holders = kept
