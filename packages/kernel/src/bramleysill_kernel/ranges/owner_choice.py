"""Chooses new owners: of ranges that moved away, and to balance the load."""

from bramleysill_kernel.ranges.key_ranges import Assignment
from bramleysill_kernel.ranges.key_rates import KeyRates
from bramleysill_kernel.ranges.range_balance import plan_balance
from bramleysill_kernel.ranges.range_notices import busy_ranges
from bramleysill_kernel.ranges.range_planner import Capacity
from bramleysill_kernel.ranges.range_planner import plan_new_upstreams
from bramleysill_kernel.ranges.range_planner import plan_vacant_ranges


class OwnerChoice:
    """The choices of one service's leader.

    `pool` is the OwnerPool, `loads` the KeyLoads, `moves` the MoveList and
    `rules` the ReassignmentRules of the service. `busy_ranges` has the
    BusyRange of each overloaded range as of the last plan.
    """

    __slots__ = (
        'busy_ranges',
        '_directory',
        '_pool',
        '_loads',
        '_moves',
        '_rules',
    )

    def __init__(self, directory, pool, loads, moves, rules):
        self.busy_ranges = ()
        self._directory = directory
        self._pool = pool
        self._loads = loads
        self._moves = moves
        self._rules = rules

    def choose(self, ready, table):
        """Return the Assignments of moves that are ready.

        A move whose required target has ended is not ready any more.
        """
        chosen = []
        vacant = []
        for move in ready:
            target = self._current_target(move.target)
            if target is None and move.target_required:
                # The process has restarted again.
                move.target = None
                move.target_required = False
                move.ready_at = None
                continue
            if target is None:
                vacant.append(move.old_range)
                continue
            chosen.append(
                Assignment(
                    move.first, move.last, target.upstream, target.incarnation
                )
            )
        if vacant:
            capacities = self._pool.capacities()
            rates = self._loads.sorted_rates()
            chosen += plan_vacant_ranges(vacant, table, capacities, rates)
        return chosen

    def plan_balance(self, table):
        """Return the Assignments that balance the load; note what is busy."""
        capacities = self._pool.capacities()
        rates = self._loads.sorted_rates()
        self.busy_ranges = busy_ranges(
            table,
            {c.upstream: c.max_rate for c in capacities},
            KeyRates(rates),
        )
        # Keys of planned moves already count as load of the target. Moves from
        # unresponsive owners can take seconds and must not delay balancing.
        targets = [move.target for move in self._moves if move.target]
        planned = table.assign(targets)
        may_move = self._rules.may_move
        plan = plan_new_upstreams(planned, capacities, rates, may_move)
        if plan:
            return plan
        return plan_balance(planned, capacities, rates, may_move)

    def _current_target(self, target):
        if target is None:
            return None
        entry = self._directory.get(target.owner)
        if entry is None or entry.incarnation != target.incarnation:
            return None
        return Capacity(entry.upstream, entry.incarnation, 1.0)
