"""Tests of the holds that a leader leaves in the store when it shuts down."""

import json

import testtools

from bramleysill_gateway.holds_record import decode_holds
from bramleysill_gateway.holds_record import encode_holds
from bramleysill_kernel.ranges.former_holds import FormerHold
from bramleysill_kernel.ranges.former_holds import FormerHolds
from tests import test_store_restored as restored
from tests.simulated_cell import STEP_SECONDS
from tests.simulated_cell import SimulatedCell

START_SECONDS = 6.0
RECOVERY_SECONDS = 12.0
# A key is served again within this time of the end of a fault.
MAX_GAP_SECONDS = 3.0
# A router that shuts down runs on for at least this time.
SHUTDOWN_SECONDS = 0.2


def _stop_router(cell, number, check=None):
    """Shut a router down and start another process of it."""
    cell.routers[number].leader.resign()
    cell.run(SHUTDOWN_SECONDS, check)
    cell.replace_router(number)


class _FaultsWithShutdowns(restored._RandomFaults):
    """The faults of a store that is restored, and routers that shut down."""

    def __init__(self, cell, check, seed):
        super().__init__(cell, check, seed)
        self._actions = (
            *self._actions,
            self._stop_any,
            self._stop_all,
            self._lose_owner_and_stop_leader,
        )

    def _stop_any(self):
        _stop_router(self._cell, self._rng.randrange(3), self._check)

    def _stop_all(self):
        for number in range(len(self._cell.routers)):
            _stop_router(self._cell, number, self._check)

    def _lose_owner_and_stop_leader(self):
        names = sorted(self._cell.upstreams)
        upstream = self._cell.upstreams[self._rng.choice(names)]
        upstream.reachable = False
        self._run(0.0, 1.0)
        for router in self._cell.leaders():
            number = self._cell.routers.index(router)
            _stop_router(self._cell, number, self._check)
        self._run(0.5, 6.0)
        upstream.reachable = True


class LeaderStopsTest(testtools.TestCase):
    def _longest_gap_of(self, cell, keys):
        lengths = dict.fromkeys(keys, 0.0)
        longest = 0.0
        for _ in range(round(RECOVERY_SECONDS / STEP_SECONDS)):
            cell.run(STEP_SECONDS)
            for key in keys:
                held = cell.holders(key)
                lengths[key] = 0.0 if held else lengths[key] + STEP_SECONDS
            longest = max(longest, *lengths.values())
        return longest

    def test_keys_of_a_lost_owner_move_when_its_holds_have_ended(self):
        """Guards against a new process that waits for the longest hold.

        The owner is lost, and the only router that knows its holds ends.
        """
        cell = SimulatedCell(1, routers=1)
        cell.run(START_SECONDS)
        lost = cell.upstreams['u1']
        keys = [key for key in restored.KEYS if lost.holds(key)]
        lost.reachable = False
        cell.run(0.5)
        _stop_router(cell, 0)
        self.assertLessEqual(self._longest_gap_of(cell, keys), MAX_GAP_SECONDS)
        self.assertTrue(all(cell.holders(key) for key in keys))

    def test_the_record_of_an_earlier_term_does_not_count(self):
        """Guards against two owners by a record that is too old.

        The leader after the one that left the record gives keys to a new
        owner, lengthens its holds in an outage, and ends without a word.
        """
        cell = SimulatedCell(2, routers=1)
        check = restored._OneOwner(self)
        cell.run(START_SECONDS, check)
        _stop_router(cell, 0, check)
        cell.add_upstream('u4')
        cell.run(4.0, check)
        owner = cell.upstreams['u4']
        self.assertTrue(any(owner.holds(key) for key in restored.KEYS))
        cell.store_down = True
        cell.run(1.8, check)
        owner.reachable = False
        cell.replace_router(0)
        cell.store_down = False
        cell.run(RECOVERY_SECONDS, check)
        check.check_fences(cell)

    def test_keys_have_one_owner_through_random_faults(self):
        """Guards against two owners after faults that come together."""
        for seed in range(3):
            check = restored._OneOwner(self)
            cell = SimulatedCell(seed)
            cell.run(START_SECONDS, check)
            _FaultsWithShutdowns(cell, check, seed).run(10)
            cell.run(2 * restored.RECOVERY_SECONDS, check)
            check.check_fences(cell)
            keys = [key for key in restored.KEYS if not cell.holders(key)]
            self.assertEqual([], keys)


class HoldsRecordTest(testtools.TestCase):
    def test_a_hold_never_ends_earlier_than_it_was_told(self):
        """Guards against two owners by a record that is read later."""
        former = FormerHolds(
            2, 40, 101.0, {('u1', 7): FormerHold(103.0, 102.0)}
        )
        read = decode_holds(encode_holds(former, 100.0), 100.5)
        self.assertEqual((2, 40), (read.era, read.table_revision))
        self.assertGreaterEqual(read.inherited_until, 101.5)
        hold = read.holds['u1', 7]
        self.assertGreaterEqual(hold.held_until, 103.5)
        self.assertGreaterEqual(hold.unanswered_until, 102.5)

    def test_a_malformed_record_is_ignored(self):
        """Guards against a leader that fails, or trusts a negative time."""
        good = json.loads(encode_holds(FormerHolds(1, 2, 0.0, {}), 1.0))
        for change in (
            {'inherited': -1.0},
            {'inherited': float('nan')},
            {'inherited': 'x'},
            {'rows': [['u1', 7, 1.0]]},
            {'rows': [['u1', 7, -1.0, 0.0]]},
            {'rows': None},
            {'era': None},
        ):
            data = json.dumps({**good, **change}).encode()
            self.assertIsNone(decode_holds(data, 5.0))
        self.assertIsNone(decode_holds(b'[]', 5.0))
        self.assertIsNone(decode_holds(b'\xff', 5.0))
