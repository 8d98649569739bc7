"""Tests of the coordinator in a simulated cell.

They cover losses, store outages, drains, plans and state distribution.
"""

import json

import testtools

from bramleysill_kernel.common import lease
from bramleysill_kernel.common import messages
from bramleysill_kernel.config import manifest
from bramleysill_kernel.units import ownership
from tests import fakes

RECOVERY_SECONDS = 3.0
SEEDS = range(10)


def _cell(seed, **args):
    cell = fakes.Cell(seed, **args)
    cell.run(5.0, cell.served)
    cell.run(2.0)
    return cell


def _lose_domain(cell, domain):
    for part in [*cell.routers.values(), *cell.upstreams.values()]:
        part.dead = part.dead or part.domain == domain


class LossTest(testtools.TestCase):
    def _served_again(self, lose):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cell = _cell(seed)
                lose(cell)
                cell.run(RECOVERY_SECONDS)
                self.assertTrue(cell.served(), f'seed {seed}')

    def test_loss_of_the_coordinator(self):
        """Guards against units that stay unserved after an election."""

        def lose(cell):
            cell.leader().dead = True

        self._served_again(lose)

    def test_loss_of_an_upstream(self):
        """Guards against units that keep a lost owner."""

        def lose(cell):
            cell.upstreams['u10'].dead = True

        self._served_again(lose)

    def test_loss_of_a_domain(self):
        """Guards against slow recovery when a whole domain is lost.

        Losing routers and upstreams together must take no longer than losing
        one of them.
        """

        def lose(cell):
            leader = cell.leader().domain
            other = next(d for d in ('fd-0', 'fd-1') if d != leader)
            _lose_domain(cell, other)

        self._served_again(lose)

    def test_loss_of_the_domain_of_the_coordinator(self):
        """Guards against late detection of upstreams lost with the leader.

        A new coordinator waits until the leases of the former term have
        expired. It must probe upstreams before that.
        """

        def lose(cell):
            _lose_domain(cell, cell.leader().domain)

        self._served_again(lose)


class OutageTest(testtools.TestCase):
    def test_service_and_term_survive_an_outage(self):
        """Guards against leases that expire because the store is down."""
        cell = _cell(1)
        term = cell.leader().coordinator.term
        cell.store.down = True
        for _ in range(20):
            cell.run(1.0)
            self.assertTrue(cell.served())
        cell.store.down = False
        cell.run(3.0)
        self.assertEqual(term, cell.leader().coordinator.term)

    def test_authority_ends_with_a_candidate(self):
        """Guards against authority while a candidate's promise is missing."""
        cell = _cell(2)
        leader = cell.leader()
        other = next(
            n for n in leader.election.record.candidates if n != leader.name
        )
        cell.store.down = True
        cell.run(2.0)
        cell.routers[other].dead = True
        cell.run(lease.PROMISE_SECONDS + 0.3)
        self.assertIsNone(cell.leader())

    def test_graceful_leave_keeps_authority(self):
        """Guards against lost authority if a candidate leaves in an outage.

        A candidate that shuts down makes a promise that never expires.
        """
        cell = _cell(3)
        leader = cell.leader()
        other = next(
            n for n in leader.election.record.candidates if n != leader.name
        )
        cell.store.down = True
        cell.run(2.0)
        cell.routers[other].agent.leaving = True
        cell.run(2.0)
        cell.routers[other].dead = True
        cell.run(5.0)
        self.assertTrue(cell.served())


class PlanTest(testtools.TestCase):
    def test_drain_and_return_of_a_domain(self):
        """Guards against a drained domain that keeps units.

        It must also get an equal share of the units when the drain ends.
        """
        cell = _cell(4)
        cell.put_drains(failure_domains=['fd-1'])

        def drained():
            return not {'u10', 'u11'} & set(cell.owners())

        cell.run(RECOVERY_SECONDS, drained)
        cell.run(RECOVERY_SECONDS, cell.served)
        cell.put_drains()
        cell.run(10.0, lambda: len(set(cell.owners().values())) == 1)

    def test_malformed_drains_change_nothing(self):
        """Guards against malformed drains that stop the coordinator."""
        cell = _cell(4)
        leader = cell.leader().coordinator
        for value in (
            b'{',
            b'[1]',
            b'3',
            b'{"upstreams": 5}',
            b'{"upstreams": "u1"}',
        ):
            (event,) = leader.on_drains(value, 9)
            self.assertEqual('value_malformed', event.event)
        self.assertEqual(frozenset(), leader.drained)

    def test_balanced_cell_stays_as_it_is(self):
        """Guards against moves that do not improve the balance."""
        cell = _cell(5)
        cell.run(5.0)
        before = cell.store.versions[f'cell/{fakes.CELL}/table/ledger/0']
        cell.run(20.0)
        after = cell.store.versions[f'cell/{fakes.CELL}/table/ledger/0']
        self.assertEqual(before, after)

    def test_change_of_layout_raises_every_fence(self):
        """Guards against a key with two owners after a change of layout.

        The key maps to another unit in the new layout, so the owner of its
        old unit must be stopped by a higher fence.
        """
        cell = _cell(6)
        key = f'cell/{fakes.CELL}/table/ledger/0'
        before = ownership.OwnershipTable.decode(cell.store.values[key], 1)
        ranges = [manifest.KeyRange('x', 'ledger', 'a', 'c', ('u20',), 8)]
        cell.put_manifest(ranges=ranges)
        cell.run(RECOVERY_SECONDS)
        self.assertTrue(cell.served())
        after = ownership.OwnershipTable.decode(cell.store.values[key], 1)
        lowest = min(a.fence for _, a in after.units())
        self.assertGreater(lowest, before.highest_fence())
        owners = {after.shards[n].owner for n in range(8)}
        self.assertEqual({'u20'}, owners)

    def test_hot_key_gets_an_entry_and_is_merged_back(self):
        """Guards against a hot key that can't be moved without its shard.

        Its entry must be removed when the key is no longer hot.
        """
        cell = _cell(7)
        leader = cell.leader()
        state = leader.state
        owner = state.route('ledger', 'CAP-7').owner
        router = cell.routers[state.dispatcher_of(owner)]
        report = messages.UpstreamReport(
            owner, load=0.9, rate=100.0, hot_units={'key:CAP-7': 60.0}
        )
        # The report must come after the regular one of the same upstream.
        router.agent.report(report)
        router.agent.heartbeat_due = True
        cell.run(RECOVERY_SECONDS)
        self.assertEqual('key:CAP-7', state.route('ledger', 'CAP-7').unit)
        self.assertTrue(cell.served())
        cell.run(70.0)
        unit = state.route('ledger', 'CAP-7').unit
        self.assertNotEqual('key:CAP-7', unit)
        self.assertTrue(cell.served())

    def test_removed_upstream_loses_its_units(self):
        """Guards against units that stay with a removed upstream."""
        cell = _cell(8)
        made = fakes.make_manifest(2, 3, 2)
        service = made.services['ledger']
        gone = made.upstreams.pop('u00')
        service.upstreams.remove(gone)
        cell.manifests[2] = made
        cell.store.put('manifest', made.text.encode())
        cell.run(RECOVERY_SECONDS, lambda: 'u00' not in cell.owners())
        cell.run(RECOVERY_SECONDS, cell.served)


class DistributionTest(testtools.TestCase):
    def test_older_parts_are_ignored(self):
        """Guards against a delayed update that replaces a newer state."""
        cell = _cell(9)
        router = next(iter(cell.routers.values()))
        late = router.state.make_update()
        cell.put_drains(upstreams=['u20'])
        cell.run(RECOVERY_SECONDS)
        before = router.state.versions()
        self.assertEqual(set(), router.agent.on_state(late))
        self.assertEqual(before, router.state.versions())

    def test_role_waits_for_its_tables(self):
        """Guards against a dispatcher that grants by an old table."""
        cell = _cell(10)
        router = next(iter(cell.routers.values()))
        update = router.state.make_update()
        update.serial += 1
        update.tables = []
        update.table_versions['ledger'] += 1
        self.assertEqual(set(), router.state.apply(update))

    def test_late_tick_extends_leases_instead_of_evicting(self):
        """Guards against a coordinator that evicts all routers after a pause.

        During its own pause it handles no heartbeats, so that the leases
        seem to have expired.
        """
        cell = _cell(11)
        paused = cell.leader()
        paused.paused_until = cell.clock.now() + 0.6
        cell.run(2.0)
        # Another router may lead after the pause. The leader, whoever it is,
        # must have all six members.
        members = cell.leader().coordinator.members.members
        self.assertEqual(6, len(members))
        self.assertTrue(cell.served())

    def test_new_router_learns_everything(self):
        """Guards against a new router that never gets the full state."""
        cell = _cell(12)
        cell.start_router('r09', 'fd-0')
        cell.run(2.0)
        state = cell.routers['r09'].state
        self.assertEqual(1, state.manifest.version)
        self.assertIn(state.route('ledger', 'CAP-1').dispatcher, cell.routers)
        record = json.loads(cell.store.values[f'cell/{fakes.CELL}/leader'])
        self.assertEqual(3, len(record['candidates']))
