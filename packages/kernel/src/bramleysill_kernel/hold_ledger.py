"""Until when an upstream may still hold keys that it was granted.

A grant runs on the upstream's clock from its arrival there. The leader knows
only when it sent a grant and when the answer came, so it assumes the latest
possible arrival: the answer's, or, without an answer, the end of the call.
A grant without an answer may also be carried out after a later release, so
a release ends only the grants that were answered.
"""

# An upstream's clock may run 2% slow while it measures a hold.
MAX_CLOCK_RATE_ERROR = 0.02
# A grant call that has no answer by then is given up and its connection
# reset, after which its bytes can no longer arrive.
CALL_TIMEOUT_SECONDS = 0.4
# Bytes that were already on their way when the connection was reset.
MAX_TRANSIT_SECONDS = 0.05


def max_hold_seconds(hold):
    """Return the max_hold time that a hold of `hold` seconds may last."""
    return hold * (1 + MAX_CLOCK_RATE_ERROR)


class HoldLedger:
    """Latest ends of holds by holder `(upstream, life, fence)`.

    `takeover_at` is when this process became leader. Until its predecessor's
    holds have ended, a holder that has not confirmed a grant of this leader
    may still hold its keys. One that has confirmed a grant refuses earlier
    leaders' grants that arrive late, because their fences are lower.
    """

    __slots__ = (
        '_clock',
        '_confirmed_until',
        '_unanswered_until',
        '_inherited_until',
    )

    def __init__(self, clock, takeover_at, max_hold):
        self._clock = clock
        # The end of the newest confirmed grant, by holder.
        self._confirmed_until = {}
        # Ends of calls without an answer: {holder: {call: end}}.
        self._unanswered_until = {}
        self._inherited_until = (
            takeover_at
            + CALL_TIMEOUT_SECONDS
            + MAX_TRANSIT_SECONDS
            + max_hold_seconds(max_hold)
        )

    def discard_inherited_holds(self):
        """Nothing was ever granted before this process became leader."""
        self._inherited_until = 0.0

    def record_grant_sent(self, holder, call, hold):
        """Grant `call` leaves; it may arrive as late as the call lasts."""
        now = self._clock.now()
        latest_arrival = now + CALL_TIMEOUT_SECONDS + MAX_TRANSIT_SECONDS
        calls = self._unanswered_until.setdefault(holder, {})
        calls[call] = latest_arrival + max_hold_seconds(hold)

    def record_grant_confirmed(self, holder, call, hold):
        """The upstream has confirmed a grant, which arrived before now."""
        end = self._clock.now() + max_hold_seconds(hold)
        self._confirmed_until[holder] = max(
            end, self._confirmed_until.get(holder, 0.0)
        )
        self.record_grant_refused(holder, call)

    def record_grant_refused(self, holder, call):
        """The upstream has answered and not taken the grant."""
        calls = self._unanswered_until.get(holder)
        if calls is not None:
            calls.pop(call, None)
            if not calls:
                del self._unanswered_until[holder]

    def has_confirmed(self, holder):
        """Tell whether the holder has confirmed a grant of this leader."""
        return holder in self._confirmed_until

    def expiry_after_release(self, holder):
        """Return when keys that the holder released are free for others."""
        unanswered_end = max(
            self._unanswered_until.get(holder, {}).values(), default=0.0
        )
        if self.has_confirmed(holder):
            return unanswered_end
        return max(self._inherited_until, unanswered_end)

    def expiry_without_release(self, holder):
        """Return when the holder's keys are free though it is silent."""
        confirmed_end = self._confirmed_until.get(holder, 0.0)
        return max(
            self._inherited_until,
            confirmed_end,
            self.expiry_after_release(holder),
        )

    def prune(self, holders):
        """Forget the holders that own nothing any more."""
        now = self._clock.now()
        for holder in set(self._confirmed_until) - holders:
            if self.expiry_without_release(holder) < now:
                del self._confirmed_until[holder]
        for holder in set(self._unanswered_until) - holders:
            if max(self._unanswered_until[holder].values()) < now:
                del self._unanswered_until[holder]
