"""Tests of how a router becomes leader, loses and regains the key."""

import random

import testtools

from bramleysill_gateway.leader import LeaderElection
from bramleysill_kernel.common.store_types import StoredItem
from bramleysill_kernel.common.store_types import StoreOutcome
from bramleysill_kernel.common.store_types import StoreReply
from bramleysill_kernel.config.node_settings import NodeSettings
from bramleysill_kernel.load.named_limits import NamedLimits
from bramleysill_platform.adapter import PlatformAdapter
from tests.bounds import make_bounds
from tests.store_fakes import ManualLoop

LEASE_SECONDS = 2.0
STEP_SECONDS = 0.05


class _Store:
    """Leases and the leader key; calls get no reply while `down`."""

    def __init__(self, loop):
        self.down = False
        self.leases = {}
        self.key = None
        self.revision = 10
        self._loop = loop

    def _reply(self, callback, reply):
        if not self.down:
            callback(reply)
            return
        failed = StoreReply(StoreOutcome.NO_REPLY)
        at = self._loop.now() + 0.5
        self._loop.call_at(at, lambda: callback(failed))

    def open_lease(self, seconds, callback):
        lease = len(self.leases) + 1
        if not self.down:
            self.leases[lease] = True
        reply = StoreReply(StoreOutcome.OK, lease=lease, lease_seconds=seconds)
        self._reply(callback, reply)

    def renew_lease(self, lease, callback):
        outcome = StoreOutcome.OK
        if not self.leases.get(lease):
            outcome = StoreOutcome.MISSING
        self._reply(callback, StoreReply(outcome, lease_seconds=LEASE_SECONDS))

    def end_lease(self, lease, callback):
        self.leases[lease] = False

    def write(self, conditions, puts, deletes, callback):
        self.revision += 1
        put = puts[0]
        self.key = StoredItem(put.key, put.value, self.revision, put.lease)
        self._reply(
            callback, StoreReply(StoreOutcome.OK, revision=self.revision)
        )


class _State:
    """The state read from the store, without keyed services."""

    def __init__(self):
        self.adapter = PlatformAdapter()
        self.config = None
        self.leader_item = None
        self.own_watch = self
        self.synced = True
        self.listed = True
        self.own_era = 1
        self.was_restored = False

    def own_key(self, name):
        return f'{self.adapter.own_prefix}{name}'

    def watch_store(self):
        pass


class LeaderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = ManualLoop()
        self.store = _Store(self.loop)
        self.state = _State()
        cfg = NodeSettings(
            'r1',
            'a',
            ('a',),
            None,
            None,
            1.0,
            1.0,
            make_bounds(),
            1000.0,
            1.0,
        )
        self.leader = LeaderElection(
            self.loop,
            random.Random(1),
            cfg,
            '10.0.0.1:7000',
            self.store,
            self.state,
            NamedLimits(self.loop),
            lambda entry: None,
        )
        self._run(1.0)

    def _run(self, seconds):
        end = self.loop.now() + seconds
        while self.loop.now() < end:
            if not self.store.down:
                self.state.leader_item = self.store.key
            self.leader.tick()
            self.loop.advance(STEP_SECONDS)

    def _fail_for(self, seconds):
        self.store.down = True
        self._run(seconds)
        self.store.down = False

    @property
    def _leads(self):
        return self.leader.leadership.is_valid()

    def test_leader_resumes_after_an_outage(self):
        """Simulates an outage of eight seconds in which leases pause.

        Guards against waiting two more seconds for the paused lease to expire.
        Without a leader, holds of keys expire in that time.
        """
        self.assertTrue(self._leads)
        self._fail_for(8.0)
        self.assertFalse(self._leads)
        self._run(0.7)
        self.assertTrue(self._leads)

    def test_expired_lease_is_not_resumed(self):
        """Guards against two leaders after a lease expired in an outage."""
        self.store.down = True
        self._run(4.0)
        self.store.leases[1] = False
        self.store.key = StoredItem(self.leader.key, b'{}', 99, 77)
        self.store.down = False
        self._run(3.0)
        self.assertFalse(self._leads)

    def test_resigned_router_does_not_lead_again(self):
        """Guards against a new leader that is about to stop."""
        self._fail_for(4.0)
        self.leader.resign()
        self._run(3.0)
        self.assertFalse(self._leads)

    def test_invalid_leader_key_is_logged_once(self):
        """Guards against a log line for each tick and each feed."""
        self.state.leader_item = StoredItem(self.leader.key, b'{', 99, 7)
        with self.assertLogs('absl', 'WARNING') as logs:
            for _ in range(20):
                self.assertIsNone(self.leader.current_leader())
        self.assertEqual(1, len(logs.output))
