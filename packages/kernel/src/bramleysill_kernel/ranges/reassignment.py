"""Decides which ranges of keys leave their owner, and when they have left it.

A range must leave an owner that can't serve it, and may leave another one to
balance the load. It may be given to another owner when the former one has
ended, has released it, or can't hold it any more by the HoldLedger.
"""

from bramleysill_kernel.ranges.key_ranges import Assignment

# A new leader moves no keys for this time. If the store is restored, the
# leader before it still knows all owners by then.
FIRST_MOVE_DELAY_SECONDS = 1.0


class ReassignmentRules:
    """The rules of one leader, created when it begins to lead.

    `pool` is the OwnerPool, `holds` the HoldLedger, `moves` the MoveList and
    `grants` the GrantRenewals of the service.
    """

    __slots__ = (
        '_clock',
        '_directory',
        '_pool',
        '_holds',
        '_moves',
        '_grants',
        '_first_move_at',
    )

    def __init__(self, clock, directory, pool, holds, moves, grants):
        self._clock = clock
        self._directory = directory
        self._pool = pool
        self._holds = holds
        self._moves = moves
        self._grants = grants
        self._first_move_at = clock.now() + FIRST_MOVE_DELAY_SECONDS

    @property
    def are_moves_delayed(self):
        """Return whether keys may only go to the owner's next process yet."""
        return self._clock.now() < self._first_move_at

    def must_move(self, item):
        """Return whether a range must leave its owner, and may do so now."""
        if item.unsettled or self._can_keep_owner(item):
            return False
        if self.are_moves_delayed:
            return self.restarted_owner(item) is not None
        return True

    def may_move(self, item):
        """Return whether a range may leave its owner to balance the load."""
        if item.unsettled:
            return False
        now = self._clock.now()
        if self._moves.overlapping(item.first, item.last):
            return False
        return self._holds.expiry_after_release(item) <= now

    def may_reassign(self, move):
        """Return whether the keys of a RangeMove may go to anybody."""
        if self.are_moves_delayed:
            return False
        now = self._clock.now()
        old_range = move.old_range
        if not old_range.owner:
            return True
        if self._pool.has_ended(old_range):
            return True
        if move.released:
            return now >= self._holds.expiry_after_release(old_range)
        return now >= self._holds.expiry_without_release(old_range)

    def must_return_to_restarted(self, move):
        """Return whether the keys must go to the owner's next process.

        A grant of an earlier leader may reach that process as long as the
        former one has confirmed none of this leader, and a release does not
        prevent it.
        """
        if self._holds.has_confirmed(move.old_range.holder):
            return False
        return self.restarted_owner(move.old_range) is not None

    def restarted_owner(self, item):
        """Return the Assignment to the owner's next process, or None."""
        entry = self._directory.get(item.owner)
        if entry is None or entry.incarnation <= item.incarnation:
            return None
        if not self._directory.accepts_new_work(entry):
            return None
        return Assignment(
            item.first, item.last, entry.upstream, entry.incarnation
        )

    def _can_keep_owner(self, item):
        if not item.owner or not self._pool.may_keep(item):
            return False
        return not self._grants.have_failed(item)
