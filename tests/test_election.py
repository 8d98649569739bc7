"""Tests of the election: promises, lost replies, pauses and restarts."""

import itertools
import random

import testtools

from bramleysill_kernel.common import clock as clock_module
from bramleysill_kernel.common import effects
from bramleysill_kernel.common import lease
from bramleysill_kernel.election import election
from bramleysill_kernel.election import leader_record
from tests import fakes

STEP_SECONDS = 0.1


class _ElectionTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clock_module.ManualClock(50.0)
        self.store = fakes.FakeStore(self.clock)
        self.ops = itertools.count(1)

    def make(self, name, incarnation='i1'):
        return election.Election(
            name,
            incarnation,
            'addr',
            'c',
            self.clock,
            random.Random(1),
            self.ops,
        )

    def step(self, *elections, times=1):
        for _ in range(times):
            self.clock.advance(STEP_SECONDS)
            for router in elections:
                self.execute(router, router.tick())

    def execute(self, router, pending):
        for effect in pending:
            if not isinstance(effect, effects.LogEvent):
                reply = self.store.call(router.name, effect)
                self.execute(router, router.on_store_reply(effect.op, reply))

    def record(self):
        value = self.store.values['cell/c/leader']
        return leader_record.LeaderRecord.decode(value, 1)

    def elect(self, name, others=()):
        router = self.make(name)
        self.step(router, times=3)
        self.assertEqual(election.LEADING, router.state)
        if others:
            record = self.record()
            record.candidates.update(dict.fromkeys(others, 'i1'))
            self.store.put('cell/c/leader', record.encode())
        return router


class ElectionTest(_ElectionTestCase):
    def test_first_start_elects_one(self):
        """Guards against two leaders in a new cell."""
        routers = [self.make(f'r{n}') for n in range(5)]
        self.step(*routers, times=30)
        states = [router.state for router in routers]
        self.assertEqual(1, states.count(election.LEADING))
        self.assertEqual(1, self.record().term)

    def test_candidate_waits_for_its_promise(self):
        """Guards against a second leader while promises are valid."""
        self.elect('a', ['b'])
        other = self.make('b')
        other.promise(self.clock.now(), 'a')
        until = self.clock.now() + lease.PROMISE_SECONDS
        while self.clock.now() + STEP_SECONDS < until:
            self.step(other)
            self.assertEqual(election.FOLLOWER, other.state)
        self.step(other, times=5)
        self.assertEqual(election.LEADING, other.state)
        self.assertEqual(2, self.record().term)

    def test_no_promise_while_standing(self):
        """Guards against a promise by a router that already stands."""
        router = self.make('a')
        self.clock.advance(STEP_SECONDS)
        pending = router.tick()
        while router.state == election.FOLLOWER:
            reply = self.store.call('a', pending[0])
            pending = router.on_store_reply(pending[0].op, reply)
        self.assertEqual(election.STANDING, router.state)
        self.assertFalse(router.promise(self.clock.now(), 'b'))

    def test_router_that_is_no_candidate_does_not_stand(self):
        """Guards against a leader that was not on the candidate list.

        The coordinator's authority relies only on the candidates' promises.
        """
        self.elect('a', ['b'])
        other = self.make('x')
        self.step(other, times=50)
        self.assertEqual(election.FOLLOWER, other.state)

    def test_total_loss_lets_any_router_stand_after_30_s(self):
        """Guards against a cell that stays without a leader.

        If all candidates are lost, no router on the record can stand.
        """
        self.elect('a', ['b'])
        other = self.make('x')
        other.on_vm_list(['x', 'y'])
        self.step(other, times=300)
        self.assertEqual(election.FOLLOWER, other.state)
        self.step(other, times=30)
        self.assertEqual(election.LEADING, other.state)
        self.assertEqual({'x': 'i1'}, self.record().candidates)

    def test_lost_reply_to_each_write_is_resolved(self):
        """Guards against a cell without a leader after a lost reply.

        The store performs the write, but the router that wins the election
        does not receive the reply and must read back what it wrote.
        """
        for lost in (1, 2, 3):
            router = self.make(f'n{lost}')
            self.store.values.clear()
            self.store.lose_replies = lost
            self.step(router, times=40)
            self.assertEqual(election.LEADING, router.state)

    def test_lease_expired_in_pause_ends_candidacy(self):
        """Guards against leading under a lease that expired in a pause."""
        router = self.make('a')
        self.clock.advance(STEP_SECONDS)
        pending = router.tick()
        while not (
            isinstance(pending[0], effects.StoreWrite)
            and pending[0].key == 'cell/c/leader'
        ):
            reply = self.store.call('a', pending[0])
            pending = router.on_store_reply(pending[0].op, reply)
        reply = self.store.call('a', pending[0])
        self.clock.advance(lease.LEADER_LEASE_SECONDS)
        router.on_store_reply(pending[0].op, reply)
        self.assertEqual(election.FOLLOWER, router.state)

    def test_restart_waits_and_asks_the_last_coordinator(self):
        """Guards against breaking a promise of the former process.

        During its shutdown, that process may have made a promise that never
        expires, of which the new process does not know.
        """
        self.elect('a', ['b'])
        restarted = self.make('b', 'i2')
        self.step(restarted, times=40)
        self.assertEqual(election.FOLLOWER, restarted.state)
        restarted.note_not_leading('a', 1)
        self.step(restarted, times=5)
        self.assertEqual(election.LEADING, restarted.state)

    def test_restarted_coordinator_takes_its_own_place(self):
        """Guards against a cell without a leader if all routers restart.

        The last coordinator must not wait for a report that it does not lead.
        """
        self.elect('a', ['b'])
        restarted = self.make('a', 'i2')
        # The former process may have made a promise just before it ended.
        waits = int(lease.PROMISE_SECONDS / lease.TICK_INTERVAL_SECONDS) - 1
        self.step(restarted, times=waits)
        self.assertEqual(election.FOLLOWER, restarted.state)
        self.step(restarted, times=19 - waits)
        self.assertEqual(election.LEADING, restarted.state)

    def test_expired_lease_is_reacquired_only_under_the_same_record(self):
        """Guards against a leader that ignores a newer term in the record."""
        router = self.elect('a')
        self.store.leases.clear()
        del self.store.values['cell/c/lease']
        self.step(router, times=5)
        self.assertEqual(election.LEADING, router.state)
        record = self.record()
        record.term += 1
        self.store.put('cell/c/leader', record.encode())
        self.store.leases.clear()
        del self.store.values['cell/c/lease']
        self.step(router, times=10)
        # It stepped down and was elected again with a new term.
        self.assertEqual((election.LEADING, 3), (router.state, router.term))
