"""Grants the ranges of one service to their owners, again and again.

A grant ends on its own, so that an owner which can't be reached stops serving
its keys. Keys that are moving away are no longer granted to their owner.
"""

from bramleysill_kernel.common.call_outcome import CallOutcome
from bramleysill_kernel.ranges.range_moves import GrantRenewal
from bramleysill_kernel.ranges.range_releases import RETRY_DELAY_SECONDS

# After this many failed grants in a row the range is moved away. Further
# grants would only extend the time for which the owner may hold the keys.
MAX_GRANT_FAILURES = 2


class GrantRenewals:
    """The grants of one service while this router leads.

    `pool` is the OwnerPool, `holds` the HoldLedger, `moves` the MoveList and
    `fence_renewals` the FenceRenewals of the service.
    """

    __slots__ = (
        '_clock',
        '_timings',
        '_calls',
        '_directory',
        '_pool',
        '_holds',
        '_moves',
        '_fence_renewals',
        '_renewals',
        '_handovers',
        '_last_call_number',
    )

    def __init__(
        self,
        clock,
        timings,
        calls,
        directory,
        pool,
        holds,
        moves,
        fence_renewals,
    ):
        self._clock = clock
        self._timings = timings
        self._calls = calls
        self._directory = directory
        self._pool = pool
        self._holds = holds
        self._moves = moves
        self._fence_renewals = fence_renewals
        # The GrantRenewal of each range, by (first key, last key, fence).
        self._renewals = {}
        # What the next owner gets with its first grant, by fence.
        self._handovers = {}
        self._last_call_number = 0

    def make_all_due(self):
        """Have all ranges granted at the next call of `renew`."""
        for renewal in self._renewals.values():
            renewal.due_at = 0.0

    def have_failed(self, item):
        """Return whether the owner of a range has failed too many grants."""
        renewal = self._renewals.get(_key(item))
        return renewal is not None and renewal.failures >= MAX_GRANT_FAILURES

    def keep_handover(self, move, table):
        """Give the next owners of a finished RangeMove its handover."""
        if not move.handover:
            return
        for item in table.overlapping(move.first, move.last):
            self._handovers[item.fence] = move.handover

    def use_table(self, table):
        """Use a stored table: ranges with a new fence are granted anew."""
        self._fence_renewals.carry_over(table, self._holds, self._renewals)
        self._renewals = {
            key: value
            for key, value in self._renewals.items()
            if table.find(key[0]).fence == key[2]
        }
        # An owner may have been lost before it accepted its first grant.
        fences = {item.fence for item in table.ranges}
        self._handovers = {
            fence: handover
            for fence, handover in self._handovers.items()
            if fence in fences
        }

    def renew(self, table, store_unresponsive):
        """Send the grants that are due.

        With `store_unresponsive` they have the hold that covers an outage.
        """
        now = self._clock.now()
        seen = set()
        for item in table.ranges:
            if not item.owner or item.unsettled:
                continue
            entry = self._directory.get(item.owner)
            if entry is None or entry.incarnation != item.incarnation:
                continue
            for part in self._moves.unmoved_subranges(item):
                key = _key(part)
                seen.add(key)
                renewal = self._renewals.get(key)
                if renewal is None:
                    renewal = self._renewals[key] = GrantRenewal()
                if now >= renewal.due_at:
                    self._grant(part, entry, renewal, store_unresponsive)
        for key in set(self._renewals) - seen:
            del self._renewals[key]

    def _grant(self, part, entry, renewal, store_unresponsive):
        if renewal.pending_call:
            return
        hold = self._timings.hold
        if store_unresponsive:
            hold = self._timings.outage_hold
        self._last_call_number += 1
        call = self._last_call_number
        self._holds.record_grant_sent(part, call)
        renewal.pending_call = call
        renewal.due_at = self._clock.now() + self._timings.renew_interval
        handover = self._handovers.get(part.fence, '')

        def done(result):
            self._on_granted(part, call, hold, result)

        # In an outage no new fence can be stored, and keys stay served.
        any_process = store_unresponsive
        self._calls.grant(entry, part, hold, handover, done, any_process)

    def _on_granted(self, part, call, hold, result):
        now = self._clock.now()
        renewal = self._renewals.get(_key(part))
        if renewal is not None and renewal.pending_call == call:
            renewal.pending_call = 0
        if result is CallOutcome.OK:
            self._holds.record_grant_confirmed(part, call, hold)
            self._handovers.pop(part.fence, None)
            self._pool.record_grant_success(part.owner)
            if renewal is not None:
                renewal.failures = 0
            return
        if result is CallOutcome.NEEDS_FENCE:
            self._holds.record_grant_refused(part, call)
            self._fence_renewals.add(part)
            if renewal is not None:
                renewal.due_at = now + RETRY_DELAY_SECONDS
            return
        if result is CallOutcome.REPLACED:
            self._pool.record_process_end(part)
        if result is CallOutcome.NO_RESPONSE:
            self._holds.record_grant_unanswered(part, call, hold)
        else:
            self._holds.record_grant_refused(part, call)
        self._pool.record_grant_failure(part.owner)
        if renewal is not None:
            renewal.failures += 1
            renewal.due_at = now + RETRY_DELAY_SECONDS


def _key(part):
    return part.first, part.last, part.fence
