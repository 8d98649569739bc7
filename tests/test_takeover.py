"""Tests of a leader that the store refuses, and of the one that follows."""

import random
import types

import testtools

from bramleysill_gateway.leader import MIN_TERM_SECONDS
from bramleysill_gateway.leader import LeaderElection
from bramleysill_gateway.takeover import Takeover
from bramleysill_kernel.common import messages
from bramleysill_kernel.common.store_types import StoredItem
from bramleysill_kernel.common.store_types import StoreOutcome
from bramleysill_kernel.common.store_types import StoreReply
from bramleysill_kernel.config.node_settings import NodeSettings
from bramleysill_kernel.load.named_limits import NamedLimits
from bramleysill_kernel.load.shared_limits import KnownRouters
from bramleysill_kernel.ranges.former_holds import FormerHold
from bramleysill_kernel.ranges.former_holds import FormerHolds
from bramleysill_platform.adapter import PlatformAdapter
from tests.bounds import make_bounds
from tests.store_fakes import ManualLoop

STEP_SECONDS = 0.05
LEASE_SECONDS = 2.0


class _Store:
    """Leases and the leader key, for several routers."""

    def __init__(self, loop):
        self.loop = loop
        self.leases = {}
        self.key = None
        self.revision = 10

    def expire(self):
        now = self.loop.now()
        self.leases = {k: v for k, v in self.leases.items() if v > now}
        if self.key is not None and self.key.lease not in self.leases:
            self.key = None


class _Client:
    """A router's calls; they fail with `outcome` while it is set."""

    def __init__(self, store):
        self.store = store
        self.outcome = None

    def _reply(self, callback, reply):
        if self.outcome is not None:
            reply = StoreReply(self.outcome)
        callback(reply)

    def open_lease(self, seconds, callback):
        lease = self.store.revision + 1000
        if self.outcome is None:
            self.store.leases[lease] = self.store.loop.now() + seconds
        self._reply(
            callback,
            StoreReply(StoreOutcome.OK, lease=lease, lease_seconds=seconds),
        )

    def renew_lease(self, lease, callback):
        outcome = StoreOutcome.MISSING
        if self.outcome is None and lease in self.store.leases:
            outcome = StoreOutcome.OK
            self.store.leases[lease] = self.store.loop.now() + LEASE_SECONDS
        self._reply(callback, StoreReply(outcome, lease_seconds=LEASE_SECONDS))

    def end_lease(self, lease, callback):
        known = self.store.leases.pop(lease, None)
        self._reply(
            callback,
            StoreReply(StoreOutcome.OK if known else StoreOutcome.MISSING),
        )

    def write(self, conditions, puts, deletes, callback):
        store = self.store
        revision = store.key.revision if store.key else 0
        if self.outcome is not None:
            self._reply(callback, None)
        elif conditions[0].revision != revision:
            callback(StoreReply(StoreOutcome.CONFLICT))
        else:
            store.revision += 1
            put = puts[0]
            store.key = StoredItem(
                put.key, put.value, store.revision, put.lease
            )
            callback(StoreReply(StoreOutcome.OK, revision=store.revision))


class _State:
    def __init__(self, loop):
        self.adapter = PlatformAdapter()
        self.config = None
        self.leader_item = None
        self.own_watch = self
        self.synced = True
        self.listed = True
        self.own_era = 1
        self.was_restored = False
        self.routers = KnownRouters(loop)
        # Whether changes of the leader key arrive from the store.
        self.listens = True

    def own_key(self, name):
        return f'{self.adapter.own_prefix}{name}'

    def watch_store(self):
        pass

    def apply_item(self, item):
        self.leader_item = item


class _Links:
    def __init__(self, cell, name):
        self.cell = cell
        self.name = name

    def update_addresses(self, addresses):
        pass

    def send(self, router, message):
        self.cell.deliver(self.name, router, message)
        return True

    def broadcast(self, message):
        for router in self.cell.routers:
            if router != self.name:
                self.cell.deliver(self.name, router, message)


class _Router:
    def __init__(self, cell, name, cores):
        self.client = _Client(cell.store)
        self.state = _State(cell.loop)
        cfg = NodeSettings(
            name,
            'a',
            ('a',),
            None,
            None,
            1.0,
            1.0,
            make_bounds(),
            1000.0,
            cores,
        )
        self.leader = LeaderElection(
            cell.loop,
            random.Random(name),
            cfg,
            '10.0.0.1:7000',
            self.client,
            self.state,
            NamedLimits(cell.loop),
            lambda entry: None,
        )
        self.takeover = Takeover(
            cell.loop, cfg, self.state, self.leader, cores >= 1.0
        )
        self.takeover.links = _Links(cell, name)


class _Cell:
    def __init__(self, cores=(1.0, 1.0, 1.0)):
        self.loop = ManualLoop()
        self.store = _Store(self.loop)
        self.routers = {}
        self.connected = True
        for number, share in enumerate(cores):
            name = f'r{number}'
            self.routers[name] = _Router(self, name, share)
        for router in self.routers.values():
            for name in self.routers:
                router.state.routers.add(name)
        self.run(1.0)

    def deliver(self, sender, name, message):
        if not self.connected:
            return
        takeover = self.routers[name].takeover
        if isinstance(message, messages.TakeoverRequest):
            takeover.on_request(message)
        elif isinstance(message, messages.FormerTermHolds):
            takeover.on_holds(message)
        else:
            link = types.SimpleNamespace(router=sender)
            takeover.on_leader_change(link, message)

    def leaders(self):
        return [
            name
            for name, router in self.routers.items()
            if router.leader.leadership.is_valid()
        ]

    def run(self, seconds):
        end = self.loop.now() + seconds
        while self.loop.now() < end:
            self.store.expire()
            for router in self.routers.values():
                state = router.state
                if router.client.outcome is None and state.listens:
                    state.leader_item = self.store.key
                router.leader.tick()
                router.takeover.tick()
            self.loop.advance(STEP_SECONDS)


class TakeoverTest(testtools.TestCase):
    def _refuse_leader(self, cell, outcome=StoreOutcome.REFUSED):
        (name,) = cell.leaders()
        cell.routers[name].client.outcome = outcome
        return name

    def test_a_refused_leader_is_replaced_at_once(self):
        """Guards against holds that are lengthened for an outage.

        An owner that is lost soon after has such a hold, and its keys are
        without an owner until the hold is over.
        """
        cell = _Cell()
        name = self._refuse_leader(cell)
        cell.run(1.0)
        (other,) = cell.leaders()
        self.assertNotEqual(name, other)
        # Follows the new leader, although the store refuses it.
        leader = cell.routers[name].leader.current_leader()
        self.assertEqual(other, leader[0])

    def test_a_silent_store_is_noticed_before_the_lease_is_over(self):
        """Guards against a wait for the end of a lease nobody renews."""
        cell = _Cell()
        cell.run(MIN_TERM_SECONDS)
        name = self._refuse_leader(cell, StoreOutcome.NO_REPLY)
        cell.run(1.3)
        self.assertNotIn(name, cell.leaders())
        self.assertEqual(1, len(cell.leaders()))

    def test_all_followers_hear_of_it_from_the_former_leader(self):
        """Guards against three calls to the store by each router."""
        cell = _Cell()
        name = self._refuse_leader(cell)
        for router in cell.routers.values():
            router.state.listens = False
        cell.run(1.0)
        (other,) = cell.leaders()
        for router in cell.routers.values():
            leader = router.leader.current_leader()
            self.assertEqual(other, leader[0])
        self.assertNotEqual(name, other)

    def test_a_new_leader_that_is_slow_leads_on(self):
        """Guards against leaders that follow each other under high load.

        On hhcr-gate-large trouble-1 eight were elected, since the links of
        all were full (trial c5b0b3e3).
        """
        cell = _Cell()
        name = self._refuse_leader(cell, StoreOutcome.NO_REPLY)
        cell.run(1.3)
        self.assertEqual([name], cell.leaders())

    def test_nobody_takes_over_in_an_outage_of_the_store(self):
        """Guards against a change of leader that helps nobody."""
        cell = _Cell()
        (name,) = cell.leaders()
        for router in cell.routers.values():
            router.client.outcome = StoreOutcome.NO_REPLY
        cell.run(LEASE_SECONDS - 0.6)
        self.assertEqual([name], cell.leaders())

    def test_the_new_leader_ends_the_lease_of_the_former(self):
        """Guards against a former leader that renews its lease and grants.

        Its calls to the store work again, but it has not heard of the new
        leader. The keys move only when its lease would be over.
        """
        cell = _Cell()
        name = self._refuse_leader(cell)
        router = cell.routers[name]
        lease = router.leader.leadership.lease
        cell.run(0.45)
        cell.connected = False
        cell.run(0.5)
        (other,) = set(cell.leaders()) - {name}
        self.assertNotIn(lease, cell.store.leases)
        coordinators = cell.routers[other].leader.coordinators
        self.assertGreater(
            coordinators.former_leader_until,
            router.leader.leadership.valid_until - STEP_SECONDS,
        )

    def test_a_weak_router_takes_over_if_there_is_no_other(self):
        """Guards against a cell of weak machines without a takeover."""
        cell = _Cell(cores=(0.5, 0.5, 0.5))
        name = self._refuse_leader(cell)
        cell.run(1.2)
        self.assertEqual(1, len(set(cell.leaders()) - {name}))

    def test_a_stopping_router_does_not_take_over(self):
        """Guards against a leader that is about to stop."""
        cell = _Cell(cores=(1.0, 1.0))
        name = self._refuse_leader(cell)
        (other,) = set(cell.routers) - {name}
        cell.routers[other].leader.resign()
        cell.run(1.0)
        self.assertNotIn(other, cell.leaders())

    def test_the_former_leader_sends_its_holds(self):
        """Guards against holds that get lost on the way."""
        cell = _Cell()
        name = self._refuse_leader(cell)
        now = cell.loop.now()
        former = FormerHolds(
            1, 40, now, {('u1', 7): FormerHold(now + 9.0, now + 8.0)}
        )
        received = []
        for router in cell.routers.values():
            coordinators = router.leader.coordinators
            coordinators.use_former_holds = lambda *a: received.append(a)
        coordinators = cell.routers[name].leader.coordinators

        def end_term(is_certain):
            coordinators.final_holds = {'ledger': former}

        coordinators.end_term = end_term
        cell.run(1.0)
        ((service, holds),) = received
        self.assertEqual(('ledger', 40), (service, holds.table_revision))
        hold = holds.holds['u1', 7]
        # Times are seconds left on the way, and may only grow.
        self.assertGreaterEqual(hold.held_until, now + 9.0)
        self.assertLess(hold.held_until, now + 9.2)
        self.assertGreaterEqual(hold.unanswered_until, now + 8.0)
