"""Upper bounds for how long upstreams may hold the keys granted to them.

A hold is a time-limited grant. It starts when the grant arrives and is
measured by the upstream's clock. The leader knows only when it sent the grant
and when the response came back, so it assumes the latest possible arrival: the
time of the response or, without one, the end of the call. An unanswered grant
may also take effect after a release that was sent later, so a release ends
only the grants that have been responded to.
"""

# An upstream's clock may run 2% slow while it measures a hold.
MAX_UPSTREAM_CLOCK_RATE_ERROR = 0.02
# An unanswered grant call is aborted after this time. Its connection is
# reset, so bytes that were not sent yet can no longer arrive.
CALL_TIMEOUT_SECONDS = 0.4
# Bytes that were in transit at the reset arrive within this time.
MAX_TRANSIT_SECONDS = 0.05


def max_hold_seconds(hold):
    """Return the longest time that a hold of `hold` seconds may last."""
    return hold * (1 + MAX_UPSTREAM_CLOCK_RATE_ERROR)


class HoldLedger:
    """Tracks the latest possible end of each holder's holds.

    A holder is `(upstream, incarnation, fence)`. `takeover_at` is when this
    process became leader and `longest_hold` the longest hold that its
    predecessor may have granted. Until these holds have expired, a holder that
    has not confirmed a grant of this leader may still hold its keys. A holder
    that has confirmed one refuses late grants of earlier leaders, because
    their fences are lower.

    `call_number` tells the grant calls of a holder apart, and `hold` is the
    length of a granted hold in seconds.
    """

    __slots__ = (
        '_clock',
        '_confirmed_until',
        '_unanswered_until',
        '_inherited_until',
    )

    def __init__(self, clock, takeover_at, longest_hold):
        self._clock = clock
        # Latest end of the confirmed grants: {holder: end}.
        self._confirmed_until = {}
        # Latest ends of unanswered grants: {holder: {call number: end}}.
        self._unanswered_until = {}
        self._inherited_until = (
            takeover_at
            + CALL_TIMEOUT_SECONDS
            + MAX_TRANSIT_SECONDS
            + max_hold_seconds(longest_hold)
        )

    def discard_inherited_holds(self):
        """Record that no earlier leader has granted anything."""
        self._inherited_until = 0.0

    def record_grant_sent(self, holder, call_number, hold):
        """Record a grant that is sent now and has no response yet."""
        now = self._clock.now()
        latest_arrival = now + CALL_TIMEOUT_SECONDS + MAX_TRANSIT_SECONDS
        calls = self._unanswered_until.setdefault(holder, {})
        calls[call_number] = latest_arrival + max_hold_seconds(hold)

    def record_grant_confirmed(self, holder, call_number, hold):
        """Record a confirmed grant; it arrived at the upstream before now."""
        end = self._clock.now() + max_hold_seconds(hold)
        self._confirmed_until[holder] = max(
            end, self._confirmed_until.get(holder, 0.0)
        )
        self.record_grant_refused(holder, call_number)

    def record_grant_refused(self, holder, call_number):
        """Record that the upstream responded without accepting the grant."""
        calls = self._unanswered_until.get(holder)
        if calls is not None:
            calls.pop(call_number, None)
            if not calls:
                del self._unanswered_until[holder]

    def has_confirmed(self, holder):
        """Return whether the holder has confirmed a grant of this leader."""
        return holder in self._confirmed_until

    def expiry_after_release(self, holder):
        """Return when the keys may be reassigned if the holder released them.

        Grants that are still unanswered may take effect after the release.
        """
        unanswered_end = max(
            self._unanswered_until.get(holder, {}).values(), default=0.0
        )
        if self.has_confirmed(holder):
            return unanswered_end
        return max(self._inherited_until, unanswered_end)

    def expiry_without_release(self, holder):
        """Return when the keys may be reassigned without a release."""
        confirmed_end = self._confirmed_until.get(holder, 0.0)
        return max(
            self._inherited_until,
            confirmed_end,
            self.expiry_after_release(holder),
        )

    def prune(self, holders):
        """Remove expired holds of all but the given holders."""
        now = self._clock.now()
        for holder in set(self._confirmed_until) - holders:
            if self.expiry_without_release(holder) < now:
                del self._confirmed_until[holder]
        for holder in set(self._unanswered_until) - holders:
            if max(self._unanswered_until[holder].values()) < now:
                del self._unanswered_until[holder]
