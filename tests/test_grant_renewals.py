"""Tests of the grants that a leader sends again and again."""

import random

import testtools

from bramleysill_kernel.common.call_outcome import CallOutcome
from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.ranges.grant_renewals import GrantRenewals
from bramleysill_kernel.ranges.hold_ledger import HoldLedger
from bramleysill_kernel.ranges.key_ranges import Assignment
from bramleysill_kernel.ranges.key_ranges import RangeTable
from bramleysill_kernel.ranges.owner_pool import OwnerPool
from bramleysill_kernel.ranges.process_fences import FenceRenewals
from bramleysill_kernel.ranges.range_moves import MoveList
from bramleysill_kernel.ranges.range_moves import RangeMove
from tests.range_fakes import SERVICE
from tests.range_fakes import FakeCell


class HandoverTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cell = FakeCell(random.Random(1), ('u1', 'u2'))
        self.clock = ManualClock(100.0)
        directory = self.cell.directory
        self.handovers = []
        self.outcome = CallOutcome.OK
        self.grants = GrantRenewals(
            self.clock,
            self.cell.timings,
            self,
            directory,
            OwnerPool(SERVICE, self.clock, directory, lambda entry: 33.0),
            HoldLedger(self.clock, 100.0, self.cell.timings.outage_hold),
            MoveList(),
            FenceRenewals(self.clock),
        )
        self.table = RangeTable.empty().assign([Assignment(0, 99, 'u1', 1)])
        move = RangeMove(self.table.find(0))
        move.handover = 'state'
        self.table = self.table.assign([Assignment(0, 99, 'u2', 1)])
        self.grants.use_table(self.table)
        self.grants.keep_handover(move, self.table)

    def grant(self, entry, part, hold, handover, done, any_process):
        self.handovers.append((entry.upstream, handover))
        done(self.outcome)

    def _renew(self):
        self.clock.advance(self.cell.timings.renew_interval)
        self.grants.renew(self.table, store_unresponsive=False)

    def test_it_is_sent_until_a_grant_is_accepted(self):
        """Guards against a handover that a lost grant takes with it."""
        self.outcome = CallOutcome.NO_RESPONSE
        self._renew()
        self.outcome = CallOutcome.OK
        self._renew()
        self._renew()
        self.assertEqual(
            [('u2', 'state'), ('u2', 'state'), ('u2', '')], self.handovers
        )

    def test_it_is_kept_when_other_keys_move(self):
        """Guards against a handover lost by a write of the table."""
        self.table = self.table.assign([Assignment(100, 199, 'u1', 1)])
        self.grants.use_table(self.table)
        self._renew()
        self.assertIn(('u2', 'state'), self.handovers)

    def test_it_is_dropped_when_its_keys_move_again(self):
        """Guards against a map that grows with each owner that is lost."""
        self.table = self.table.assign([Assignment(0, 99, 'u1', 1)])
        self.grants.use_table(self.table)
        self.assertEqual({}, self.grants._handovers)
