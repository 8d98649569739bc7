"""Tests of a store that comes back from an older copy of itself."""

import random

import testtools

from bramleysill_kernel.ranges.hold_ledger import last_hold_end
from tests.bounds import make_timings
from tests.simulated_cell import SERVICE
from tests.simulated_cell import STEP_SECONDS
from tests.simulated_cell import SimulatedCell

KEYS = tuple(range(0, 65536, 1021))
START_SECONDS = 6.0
COPY_AGE_SECONDS = 3.0
# A configuration is in force everywhere within this time.
CONFIG_APPLY_SECONDS = 2.0
OUTAGE_SECONDS = 2.0
RECOVERY_SECONDS = 15.0
# A key is served again within this time of the end of a fault.
SERVED_AGAIN_SECONDS = 3.0


class _OneOwner:
    """A check that each key has at most one owner and that fences rise."""

    def __init__(self, test):
        self.test = test

    def __call__(self, cell):
        for key in KEYS:
            holders = cell.holders(key)
            if len(holders) > 1:
                self.test.fail(f'{holders} hold key {key}')

    def check_fences(self, cell):
        """Check that each owner of a key got a higher fence than others."""
        for key in KEYS:
            highest = {}
            for at, upstream, first, last, fence in cell.grants:
                if not first <= key <= last:
                    continue
                others = [f for u, f in highest.items() if u != upstream]
                if others and fence <= max(others):
                    self.test.fail(
                        f'key {key} went to {upstream} at {at:.2f} with '
                        f'fence {fence} after {max(others)}'
                    )
                highest[upstream] = max(fence, highest.get(upstream, 0))


def _longest_wait():
    """Return the seconds after a restore until all holds have expired."""
    timings = make_timings()
    return last_hold_end(timings.leader_lease, timings.outage_hold)


class _LongestGaps:
    """Measures for how long each key had no holder."""

    def __init__(self):
        self._lengths = dict.fromkeys(KEYS, 0.0)
        self._longest = 0.0

    def __call__(self, cell):
        for key in KEYS:
            if cell.holders(key):
                self._lengths[key] = 0.0
            else:
                self._lengths[key] += STEP_SECONDS
        self._longest = max(self._longest, *self._lengths.values())

    def longest_seconds(self):
        """Return the longest time that a key had no holder."""
        return self._longest


class ConfigurationAfterRestoreTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cell = SimulatedCell(1)
        self.cell.run(START_SECONDS)
        for version in range(2, 8):
            self.cell.write_config(version)
            self.cell.run(0.5)

    def _versions(self):
        return {r.state.config.version for r in self.cell.routers}

    def test_a_configuration_with_a_reissued_revision_is_applied(self):
        """Guards against taking a new configuration for an old one."""
        self.cell.restore(COPY_AGE_SECONDS)
        self.cell.run(1.0)
        self.cell.write_config(9)
        self.cell.run(CONFIG_APPLY_SECONDS)
        self.assertEqual({9}, self._versions())

    def test_a_store_that_has_caught_up_is_noticed(self):
        """Guards against a watch that goes on in revisions of another past.

        The store reaches the known revisions again before it is asked.
        """
        self.cell.store_down = True
        self.cell.run(0.5)
        self.cell.restore(COPY_AGE_SECONDS)
        for version in range(8, 40):
            self.cell.write_config(version)
        self.cell.store_down = False
        self.cell.run(CONFIG_APPLY_SECONDS)
        self.assertEqual({39}, self._versions())

    def test_a_configuration_of_the_copy_does_not_replace_a_newer_one(self):
        """Guards against routers that go back to an older configuration."""
        cell = self.cell
        cell.config_version = 3
        cell.restore(COPY_AGE_SECONDS)
        cell.run(CONFIG_APPLY_SECONDS)
        self.assertEqual({7}, self._versions())

    def _evacuated(self):
        return [r.state.directory.evacuated for r in self.cell.routers]

    def test_a_lost_evacuation_holds_until_it_is_written_again(self):
        """Guards against requests to a failure domain that is evacuated."""
        cell = self.cell
        cell.store.write((), [('op/evacuate/a', b'{}', 0)], ())
        cell.run(0.5)
        cell.restore(COPY_AGE_SECONDS)

        def check(cell):
            self.assertEqual([{'a'}] * 3, self._evacuated())

        cell.run(1.0, check)
        cell.store.write((), [('op/evacuate/a', b'{}', 0)], ())
        cell.run(5.0, check)
        cell.store.write((), (), ['op/evacuate/a'])
        cell.run(0.5)
        self.assertEqual([set()] * 3, self._evacuated())

    def test_an_evacuation_that_is_not_written_again_ends(self):
        """Guards against a failure domain that stays unused."""
        cell = self.cell
        cell.store.write((), [('op/evacuate/a', b'{}', 0)], ())
        cell.run(0.5)
        cell.restore(COPY_AGE_SECONDS)
        cell.run(5.0)
        self.assertEqual([set()] * 3, self._evacuated())


class OwnersAfterRestoreTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.check = _OneOwner(self)

    def _cell_with_moved_keys(self, seed):
        """Return a cell whose latest upstream has got keys in the last 2 s."""
        cell = SimulatedCell(seed)
        cell.run(START_SECONDS)
        cell.add_upstream('u4')
        cell.run(2.0, self.check)
        self.assertTrue(any('u4' in cell.holders(key) for key in KEYS))
        return cell

    def _check_owners(self, cell):
        cell.run(RECOVERY_SECONDS, self.check)
        self.check.check_fences(cell)
        unserved = [key for key in KEYS if not cell.holders(key)]
        self.assertEqual([], unserved)

    def test_the_leader_keeps_the_owners_that_it_has_chosen_since(self):
        """Guards against grants by a table that is older than the owners."""
        cell = self._cell_with_moved_keys(1)
        cell.restore(COPY_AGE_SECONDS)
        self._check_owners(cell)

    def test_owners_stay_after_an_outage_that_ends_the_lease(self):
        """Guards against a former leader that resumes the lease of a copy."""
        cell = self._cell_with_moved_keys(2)
        cell.store_down = True
        cell.run(OUTAGE_SECONDS, self.check)
        cell.restore(COPY_AGE_SECONDS + OUTAGE_SECONDS)
        cell.store_down = False
        self._check_owners(cell)

    def test_a_new_leader_waits_for_owners_that_it_may_not_know(self):
        """Guards against two owners if the leader ends with the past.

        The routers are new, so that only the copy tells them the owners.
        """
        cell = self._cell_with_moved_keys(3)
        cell.restore(COPY_AGE_SECONDS)
        for number in range(len(cell.routers)):
            cell.replace_router(number)
        self._check_owners(cell)

    def test_keys_are_served_again_3_s_after_the_last_leader_was_lost(self):
        """Guards against the wait for all holds of the era before.

        Every router is new, and the owners hold their keys for up to 7 s
        more, which ends before a new leader may grant any.
        """
        cell = self._cell_with_moved_keys(6)
        cell.restore(COPY_AGE_SECONDS)
        for number in range(len(cell.routers)):
            cell.replace_router(number)
        gaps = _LongestGaps()
        cell.run(RECOVERY_SECONDS, gaps)
        self.assertLessEqual(gaps.longest_seconds(), SERVED_AGAIN_SECONDS)

    def test_a_change_of_leader_does_not_prolong_the_wait(self):
        """Guards against a wait that starts anew with each new process."""
        cell = self._cell_with_moved_keys(7)
        cell.restore(COPY_AGE_SECONDS)
        wait_ends_at = cell.loop.now() + _longest_wait()
        for seconds in (3.5, 3.5):
            for number in range(len(cell.routers)):
                cell.replace_router(number)
            cell.run(seconds, self.check)
        latest = wait_ends_at + SERVED_AGAIN_SECONDS
        cell.run(latest - cell.loop.now(), self.check)
        unserved = [key for key in KEYS if not cell.holders(key)]
        self.assertEqual([], unserved)
        self._check_owners(cell)

    def test_a_leader_that_has_not_read_the_table_is_not_certain(self):
        """Guards against a second owner by a move that this leader missed.

        The leader before it may have written a table that it has not seen.
        """
        cell = SimulatedCell(8)
        cell.run(START_SECONDS, self.check)
        former = cell.leaders()[0]
        for router in cell.routers:
            router.client.read = lambda key, callback: None
        former.leader.resign()
        cell.run(1.5, self.check)
        leader = cell.leaders()[0]
        for router in cell.routers:
            del router.client.read
        cell.restore(COPY_AGE_SECONDS)
        cell.run(1.0, self.check)
        self.assertEqual([leader], cell.leaders())
        table = leader.state.tables[SERVICE]
        self.assertTrue(all(item.unsettled for item in table.ranges))
        self._check_owners(cell)

    def test_a_second_restore_does_not_prolong_the_wait(self):
        """Guards against keys without an owner while eras follow each other.

        The leader of the second era has granted none of the keys that wait
        for the owners of the first, so that they needn't wait anew.
        """
        cell = self._cell_with_moved_keys(5)
        cell.restore(COPY_AGE_SECONDS)
        wait_ends_at = cell.loop.now() + _longest_wait()
        for number in range(len(cell.routers)):
            cell.replace_router(number)
        cell.run(6.0, self.check)
        cell.restore(1.0)
        latest = wait_ends_at + SERVED_AGAIN_SECONDS
        cell.run(latest - cell.loop.now(), self.check)
        unserved = [key for key in KEYS if not cell.holders(key)]
        self.assertEqual([], unserved)
        self._check_owners(cell)

    def test_a_leader_of_the_past_is_waited_for(self):
        """Guards against two leaders, one of each past of the store.

        The leader is cut off from the store before it comes back.
        """
        cell = self._cell_with_moved_keys(4)
        leader = cell.leaders()[0]
        leader.client.cut = True
        cell.restore(COPY_AGE_SECONDS)
        cell.run(6.0, self.check)
        leader.client.cut = False
        self._check_owners(cell)


class _RandomFaults:
    """Restores, outages, cuts and new routers in random order."""

    def __init__(self, cell, check, seed):
        self._cell = cell
        self._check = check
        self._rng = random.Random(seed)
        self._actions = (
            self._restore,
            self._restore_with_new_routers,
            self._fail_store,
            self._cut_leader,
            self._restore_while_the_leader_is_cut_off,
            self._replace_router,
            self._cut_upstream,
            self._add_upstream,
        )

    def run(self, count):
        """Inject some faults, one after the other."""
        for _ in range(count):
            self._rng.choice(self._actions)()
            self._run(0.2, 5.0)

    def _run(self, shortest, longest):
        seconds = self._rng.uniform(shortest, longest)
        self._cell.run(seconds, self._check)

    def _restore(self):
        """Restore the store from before its last moves of keys."""
        cell = self._cell
        began_at = cell.loop.now()
        self._add_upstream()
        self._run(1.0, 3.0)
        cell.store_down = True
        self._run(0.05, 4.0)
        age = cell.loop.now() - began_at + self._rng.uniform(0.0, 4.0)
        cell.restore(age)
        cell.store_down = False

    def _restore_with_new_routers(self):
        """Restore the store, and end all that the routers know of it."""
        self._restore()
        for number in range(len(self._cell.routers)):
            self._cell.replace_router(number)

    def _fail_store(self):
        self._cell.store_down = True
        self._run(0.5, 4.0)
        self._cell.store_down = False

    def _cut_leader(self):
        router = self._rng.choice(self._cell.leaders() or self._cell.routers)
        router.client.cut = True
        self._run(0.5, 4.0)
        router.client.cut = False

    def _restore_while_the_leader_is_cut_off(self):
        router = self._rng.choice(self._cell.leaders() or self._cell.routers)
        router.client.cut = True
        self._run(0.2, 2.0)
        self._restore()
        self._run(0.5, 4.0)
        router.client.cut = False

    def _replace_router(self):
        self._cell.replace_router(self._rng.randrange(3))

    def _cut_upstream(self):
        names = sorted(self._cell.upstreams)
        upstream = self._cell.upstreams[self._rng.choice(names)]
        upstream.reachable = False
        self._run(0.3, 3.0)
        upstream.reachable = True

    def _add_upstream(self):
        self._cell.add_upstream(f'u{len(self._cell.upstreams)}')


class RandomRestoresTest(testtools.TestCase):
    def test_keys_have_one_owner_through_random_faults(self):
        """Guards against two owners after faults that come together."""
        for seed in range(3):
            check = _OneOwner(self)
            cell = SimulatedCell(seed)
            cell.run(START_SECONDS, check)
            _RandomFaults(cell, check, seed).run(10)
            cell.run(2 * RECOVERY_SECONDS, check)
            check.check_fences(cell)
            unserved = [key for key in KEYS if not cell.holders(key)]
            self.assertEqual([], unserved)
