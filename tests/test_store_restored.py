"""Tests of a store that comes back from an older copy of itself."""

import testtools

from tests.simulated_cell import SimulatedCell

KEYS = tuple(range(0, 65536, 1021))
START_SECONDS = 6.0
COPY_AGE_SECONDS = 3.0
# A configuration is in force everywhere within this time.
CONFIG_APPLY_SECONDS = 2.0
OUTAGE_SECONDS = 2.0
RECOVERY_SECONDS = 15.0


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
