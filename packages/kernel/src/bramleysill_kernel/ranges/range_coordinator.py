"""Assigns the key ranges of one service to upstreams.

The coordinator runs on the leader. It keeps the range table in the platform's
store, renews the grants of the owners and moves ranges between owners. A move
takes these steps:

1. The old owner releases the keys, or its hold expires.
2. The table with the new owner and a higher fence is written to the store, on
   condition that this router is still the leader.
3. The new owner is granted the keys and gets the old owner's handover.

In this order every step can be repeated, because a new leader learns from the
stored table who may hold which keys. A new leader first writes new fences for
all ranges, so that the upstreams it has reached refuse late grants of its
predecessor.

After the store was restored from an older copy, a stored or remembered table
may lack the last moves. Keys whose owner isn't certain are unsettled: nobody
is granted them until all holds of earlier leaders have expired.

All I/O goes through `calls`, which provides `grant`, `release` and
`write_table`.
"""

from bramleysill_kernel.common.call_outcome import CallOutcome
from bramleysill_kernel.ranges.former_holds import FormerHolds
from bramleysill_kernel.ranges.grant_renewals import GrantRenewals
from bramleysill_kernel.ranges.hold_ledger import HoldLedger
from bramleysill_kernel.ranges.hold_ledger import last_hold_end
from bramleysill_kernel.ranges.key_ranges import RangeTable
from bramleysill_kernel.ranges.owner_choice import OwnerChoice
from bramleysill_kernel.ranges.owner_pool import OwnerPool
from bramleysill_kernel.ranges.process_fences import FenceRenewals
from bramleysill_kernel.ranges.range_moves import MoveList
from bramleysill_kernel.ranges.range_moves import RangeMove
from bramleysill_kernel.ranges.range_moves import is_committed
from bramleysill_kernel.ranges.range_notices import PausedRange
from bramleysill_kernel.ranges.range_releases import WRITE_BATCH_SECONDS
from bramleysill_kernel.ranges.range_releases import RangeReleases
from bramleysill_kernel.ranges.reassignment import ReassignmentRules

# Delay before the first placement. It is longer than a heartbeat interval,
# within which every upstream has registered.
FIRST_PLACEMENT_DELAY_SECONDS = 2.0
# Interval at which a leader stores how long unsettled keys still wait.
PROGRESS_INTERVAL_SECONDS = 1.0
# Interval between plans that balance the load.
BALANCE_INTERVAL_SECONDS = 0.4


class RangeCoordinator:
    """Manages the owners of one service's keys while this router leads."""

    def __init__(
        self, service, clock, timings, calls, directory, loads, capacity_of
    ):
        self.service = service
        self.table = None
        self.revision = 0
        # The revision of the table that the former leader left.
        self._first_revision = 0
        self.loads = loads
        self.store_unresponsive = False
        self._clock = clock
        self._timings = timings
        self._calls = calls
        self._directory = directory
        self._pool = OwnerPool(service, clock, directory, capacity_of)
        self._holds = None
        self._rules = None
        self._releases = None
        self._moves = MoveList()
        self._grants = None
        self._fence_renewals = FenceRenewals(clock)
        self._pending_write = None
        self._fences_renewed = False
        self._next_balance_at = 0.0
        self._owners = None
        self._first_placement_at = 0.0
        self._lowest_fence = 0
        # When the rest of the wait for unsettled keys is stored again.
        self._next_progress_at = 0.0
        # When unsettled keys may be granted: no leader of this era has granted
        # them, so that this doesn't depend on when this one was elected.
        self.settled_at = 0.0
        # Keys in writes of the table whose outcome is unknown, as spans of
        # (first, last); at most one of the writes has taken effect.
        self.unconfirmed_spans = set()

    def start(
        self,
        table,
        revision,
        lowest_fence=0,
        former_leader_until=0.0,
        settled_at=None,
    ):
        """Start from the stored table, or None if there never was one.

        New fences are at least `lowest_fence`. `former_leader_until` is the
        time until which an earlier leader may still send grants, and
        `settled_at` when unsettled keys may be granted if that is known.
        """
        now = self._clock.now()
        self._first_revision = revision
        self._holds = HoldLedger(
            self._clock,
            max(now, former_leader_until),
            self._timings.outage_hold,
        )
        self.revision = revision
        self._lowest_fence = lowest_fence
        if settled_at is None:
            settled_at = last_hold_end(
                former_leader_until, self._timings.outage_hold
            )
        if table is not None and table.settles_in is not None:
            settled_at = min(settled_at, now + table.settles_in)
        self.settled_at = settled_at
        self._releases = RangeReleases(
            self._clock, self._directory, self._pool, self._holds, self._calls
        )
        self._grants = GrantRenewals(
            self._clock,
            self._timings,
            self._calls,
            self._directory,
            self._pool,
            self._holds,
            self._moves,
            self._fence_renewals,
        )
        self._rules = ReassignmentRules(
            self._clock,
            self._directory,
            self._pool,
            self._holds,
            self._moves,
            self._grants,
        )
        self._owners = OwnerChoice(
            self._directory, self._pool, self.loads, self._moves, self._rules
        )
        if table is None:
            table = RangeTable.empty()
            self._holds.discard_inherited_holds()
            self._fences_renewed = True
        self.table = table
        self._next_balance_at = now + BALANCE_INTERVAL_SECONDS
        self._first_placement_at = 0.0
        if not any(item.owner for item in table.ranges):
            # Upstreams that start together register one after another.
            # Placing keys earlier would leave out the later ones.
            self._first_placement_at = now + FIRST_PLACEMENT_DELAY_SECONDS

    def tick(self):
        """Renew grants, advance moves and start new ones."""
        if not self._fences_renewed:
            self._write(self.table.renew_fences(self._lowest_fence), [])
            return
        if self._clock.now() < self._first_placement_at:
            return
        self._settle()
        self._start_forced_moves()
        self._renew_grants()
        self._renew_fences()
        self._advance_moves()
        self._commit_ready_moves()
        self._balance()

    def extend_holds(self):
        """Renew all grants at once, with the hold that covers an outage."""
        self.store_unresponsive = True
        self._grants.make_all_due()

    def use_former_holds(self, former, is_last=False):
        """Use the FormerHolds of an earlier term; return whether they count.

        They count if `is_last` tells that it was the term before this one, or
        if the table shows it: any leader in between has written another.
        """
        if not is_last and former.table_revision != self._first_revision:
            return False
        self._holds.use_former_holds(former)
        return True

    def former_holds(self, era):
        """Return the FormerHolds of this term; all calls must have ended."""
        return FormerHolds(
            era,
            self.revision,
            self._holds.inherited_until,
            self._holds.holds(),
        )

    @property
    def busy_ranges(self):
        """Return the BusyRange of each overloaded range, as of the last plan.

        Requests that were refused count too.
        """
        return self._owners.busy_ranges

    def paused_ranges(self):
        """Return the PausedRange of each move whose keys nobody serves."""
        found = []
        for move in self._moves:
            wait = self._releases.pause_seconds(move)
            if wait is not None:
                found.append(
                    PausedRange(
                        move.first, move.last, move.old_range.fence, wait
                    )
                )
        return found

    @property
    def has_renewed_fences(self):
        """Return whether the table of this leader is in the store."""
        return self._fences_renewed

    def _settle(self):
        """Allow grants of unsettled keys once nobody else can hold them."""
        if self._pending_write is not None or not self.table.has_unsettled():
            return
        now = self._clock.now()
        if now >= self.settled_at:
            self._write(self.table.settled(), [])
        elif now >= self._next_progress_at:
            # The next leader waits no longer than this one would.
            self._write(self.table, [])

    # Moves away from owners that must not keep their keys.

    def _start_forced_moves(self):
        for item in self.table.ranges:
            if not self._rules.must_move(item):
                continue
            for part in self._moves.unmoved_subranges(item):
                self._moves.add(RangeMove(part))

    # Renewal of grants and fences.

    def _renew_grants(self):
        self._grants.renew(self.table, self.store_unresponsive)

    def _renew_fences(self):
        """Write new fences for owners that may have been restarted."""
        if self._pending_write is not None:
            return
        assignments = self._fence_renewals.take(self.table, self._moves)
        if assignments:
            self._write(self.table.assign(assignments), [])

    # Progress of moves.

    def _advance_moves(self):
        now = self._clock.now()
        for move in self._moves:
            if move.ready_at is not None:
                continue
            if self._rules.may_reassign(move):
                move.ready_at = now
            elif self._rules.must_return_to_restarted(move):
                move.target = self._rules.restarted_owner(move.old_range)
                move.target_required = True
                move.ready_at = now
            elif not move.released and not move.release_pending:
                self._releases.send(move)

    def _commit_ready_moves(self):
        if self._pending_write is not None:
            return
        now = self._clock.now()
        ready = [m for m in self._moves if m.ready_at is not None]
        if not ready:
            return
        waiting = [m for m in self._moves if m.released and not m.ready_at]
        oldest = min(m.ready_at for m in ready)
        if now < oldest + WRITE_BATCH_SECONDS and (
            waiting or self._has_pending_release()
        ):
            return
        assignments = self._owners.choose(ready, self.table)
        if assignments:
            self._write(self.table.assign(assignments), ready)

    def _has_pending_release(self):
        return any(m.release_pending for m in self._moves)

    # Load balancing.

    def _balance(self):
        now = self._clock.now()
        if now < self._next_balance_at or self._pending_write:
            return
        if self._rules.are_moves_delayed:
            return
        if self.unconfirmed_spans or self.store_unresponsive:
            self._owners.busy_ranges = ()
            # A move could not be completed, and its keys would have no owner.
            return
        self._next_balance_at = now + BALANCE_INTERVAL_SECONDS
        self.loads.decay()
        self._pool.discard_expired_backoffs()
        self._holds.prune(self.table.ranges)
        for item in self._owners.plan_balance(self.table):
            old = self.table.find(item.first)
            part = old.subrange(item.first, item.last)
            self._moves.add(RangeMove(part, item))

    # Table writes.

    def _write(self, table, moves):
        if self._pending_write is not None:
            return
        if table.has_unsettled():
            now = self._clock.now()
            table = table.settling_in(max(0.0, self.settled_at - now))
            self._next_progress_at = now + PROGRESS_INTERVAL_SECONDS
        self._pending_write = table
        spans = {(move.first, move.last) for move in moves}
        spans -= self.unconfirmed_spans
        self.unconfirmed_spans |= spans

        def done(result, stored, revision):
            if result is CallOutcome.REFUSED:
                # This write was not made, but an earlier one may have been.
                self.unconfirmed_spans -= spans
            self._on_written(stored, moves, result, revision)

        self._calls.write_table(self.service, table, self.revision, done)

    def _on_written(self, table, moves, result, revision):
        """Adopt the stored table; keep the moves if nothing was written.

        A write without a reply may still take effect. The next write has
        the same condition, so only one of the two can succeed, and the
        stored table shows which one did.
        """
        self._pending_write = None
        if table is None or revision <= self.revision:
            return
        self.unconfirmed_spans.clear()
        if result is CallOutcome.CONFLICT:
            moves = [m for m in self._moves if is_committed(m, table)]
        self._fences_renewed = True
        self.table = table
        self.revision = revision
        self._grants.use_table(table)
        for move in moves:
            self._grants.keep_handover(move, table)
            self._moves.remove(move)
        self._renew_grants()
