"""Tests of a router's registration in the store."""

import types

import testtools

from bramleysill_gateway.registration import Registration
from bramleysill_kernel.common.store_types import StoreOutcome
from bramleysill_kernel.common.store_types import StoreReply
from bramleysill_platform.adapter import PlatformAdapter
from tests.store_fakes import ManualLoop


class _Store:
    """Records calls until the test replies to them."""

    def __init__(self):
        self.calls = []

    def open_lease(self, seconds, callback):
        self.calls.append(('open', callback))

    def renew_lease(self, lease, callback):
        self.calls.append((f'renew {lease}', callback))

    def write(self, conditions, puts, deletes, callback):
        self.calls.append((f'write {puts[0].lease}', callback))

    def reply(self, **fields):
        name, callback = self.calls.pop(0)
        callback(StoreReply(StoreOutcome.OK, **fields))
        return name


class RestoredStoreTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = ManualLoop()
        self.store = _Store()
        cfg = types.SimpleNamespace(name='r1', min_lease_seconds=1.0)
        self.registration = Registration(
            self.loop, self.store, PlatformAdapter(), cfg, '10.0.0.1:7000'
        )
        self.registration.tick()
        self.store.reply(lease=5)
        self.assertEqual('write 5', self.store.reply())

    def test_a_router_registers_again_at_once(self):
        """Guards against limits that are divided by too few routers."""
        self.registration.restart()
        self.registration.tick()
        self.assertEqual('open', self.store.reply(lease=3))
        self.assertEqual('write 3', self.store.reply())

    def test_a_lease_of_the_past_is_not_renewed(self):
        """Guards against a lease that another router was given since."""
        self.loop.advance(5.0)
        self.registration.tick()
        self.registration.restart()
        self.registration.tick()
        self.assertEqual('renew 5', self.store.reply())
        self.assertEqual(['open'], [name for name, _ in self.store.calls])
