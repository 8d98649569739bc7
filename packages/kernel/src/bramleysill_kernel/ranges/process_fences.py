"""Keeps fences that one process was granted from the next one under its id.

A grant names the upstream but not its process, which the leader knows only by
the entry in the store. Connections tell more: those to a process end with it.
Once all of them have ended, the upstream may have been restarted. Its
ranges then get new fences, so that no process is granted a fence that was
meant for another one.
"""

from bramleysill_kernel.ranges.key_ranges import Assignment
from bramleysill_kernel.ranges.range_moves import GrantRenewal

# New fences are written at most this often. After a fault of the leader's link
# all owners need them, and the calls to them end one after another.
RENEWAL_INTERVAL_SECONDS = 0.3


class ProcessFences:
    """Tells which fences may be granted over the connections to an upstream.

    `connection_epoch` is a number that rises when the last open connection
    ends, and so may the process.
    """

    __slots__ = ('_epoch', '_highest', '_barred')

    def __init__(self):
        self._epoch = 0
        # The highest fence that was sent, and that of earlier epochs.
        self._highest = -1
        self._barred = -1

    def may_send(self, fence, connection_epoch, any_process=False):
        """Return whether a grant may be sent, and record it as sent.

        With `any_process` it may also reach the next process.
        """
        if connection_epoch != self._epoch:
            self._epoch = connection_epoch
            self._barred = self._highest
        if fence <= self._barred and not any_process:
            return False
        self._highest = max(self._highest, fence)
        return True


class FenceRenewals:
    """The owners whose ranges need new fences while this router leads."""

    __slots__ = ('_clock', '_owners', '_parts', '_next_at')

    def __init__(self, clock):
        self._clock = clock
        # As (upstream, incarnation).
        self._owners = set()
        # The ranges in a write of the table whose result is not known yet.
        self._parts = []
        self._next_at = 0.0

    def add(self, item):
        """Record that the owner of a range may have been restarted."""
        self._owners.add((item.owner, item.incarnation))

    def take(self, table, moves):
        """Return the Assignments that renew the fences.

        They leave out the keys in a MoveList, which get new fences anyway.
        """
        now = self._clock.now()
        if not self._owners or now < self._next_at:
            return []
        self._next_at = now + RENEWAL_INTERVAL_SECONDS
        owners, self._owners = self._owners, set()
        parts = [
            part
            for item in table.ranges
            if (item.owner, item.incarnation) in owners and not item.unsettled
            for part in moves.unmoved_subranges(item)
        ]
        self._parts += parts
        return [
            Assignment(part.first, part.last, part.owner, part.incarnation)
            for part in parts
        ]

    def carry_over(self, table, holds, renewals):
        """Use a stored table: what was granted by the old fences still counts.

        `holds` is the HoldLedger, and `renewals` the GrantRenewal by (first
        key, last key, fence).
        """
        parts, self._parts = self._parts, []
        for part in parts:
            for item in table.overlapping(part.first, part.last):
                owner = item.owner, item.incarnation
                if owner != (part.owner, part.incarnation):
                    continue
                if item.fence == part.fence:
                    continue
                holds.carry_over(part, item)
                old = renewals.get((part.first, part.last, part.fence))
                if old is not None:
                    new = GrantRenewal()
                    new.failures = old.failures
                    renewals[item.first, item.last, item.fence] = new
