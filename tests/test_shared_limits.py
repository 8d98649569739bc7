"""Tests of limits that all routers keep together."""

import testtools

from bramleysill_kernel.clock import ManualClock
from bramleysill_kernel.shared_limits import REMEMBER_SECONDS
from bramleysill_kernel.shared_limits import SETTLE_SECONDS
from bramleysill_kernel.shared_limits import ColdGate
from bramleysill_kernel.shared_limits import RetryAllowance
from bramleysill_kernel.shared_limits import RouterCount
from bramleysill_kernel.shared_limits import cold_share

ROUTERS = [f'router-{n}' for n in range(12)]


class ColdShareTest(testtools.TestCase):
    def test_the_shares_stay_within_the_bound(self):
        """Guards against a cold upstream that all routers overload."""
        for count in (1, 3, 12, 64, 1700):
            routers = [f'router-{n}' for n in range(count)]
            total = sum(cold_share('u1', 20, r, routers) for r in routers)
            self.assertLessEqual(total, 20)
            self.assertGreater(total, 8)

    def test_a_router_that_is_not_listed_counts_itself(self):
        """Guards against a division by the routers of others."""
        self.assertLessEqual(cold_share('u1', 20, 'new', []), 20)

    def test_upstreams_prefer_different_routers(self):
        """Guards against a few routers that carry every slow start."""
        first = [cold_share('u1', 20, r, ROUTERS) for r in ROUTERS]
        second = [cold_share('u2', 20, r, ROUTERS) for r in ROUTERS]
        self.assertNotEqual(first, second)


class RouterCountTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.count = RouterCount(self.clock)

    def test_routers_whose_registration_lapsed_are_counted(self):
        """Replays an outage of the store in which all registrations lapse.

        Guards against routers that each take the whole bound of a cold
        upstream (FAILBACK on store-and-leader, seed 366093641197).
        """
        self.count.note_store_regained()
        for router in ROUTERS:
            self.count.add(router)
        for router in ROUTERS:
            self.count.remove(router)
        self.assertEqual(set(ROUTERS), set(self.count.names()))
        self.clock.advance(REMEMBER_SECONDS)
        self.assertEqual([], self.count.names())

    def test_a_router_that_starts_waits_for_the_others(self):
        """Guards against a share that ignores routers not yet registered."""
        self.assertFalse(self.count.is_settled())
        self.count.note_store_regained()
        self.assertFalse(self.count.is_settled())
        self.clock.advance(SETTLE_SECONDS)
        self.assertTrue(self.count.is_settled())

    def test_a_router_that_returns_stays(self):
        """Guards against forgetting a router that registered again."""
        self.count.add('a')
        self.count.remove('a')
        self.count.add('a')
        self.clock.advance(2 * REMEMBER_SECONDS)
        self.assertEqual(['a'], self.count.names())


class ColdGateTest(testtools.TestCase):
    def test_a_second_has_at_most_the_share(self):
        """Guards against a burst at the turn of a second."""
        clock = ManualClock(100.0)
        gate = ColdGate(clock)
        sent = []
        for _ in range(200):
            if gate.take('u1', 20, ROUTERS[0], ROUTERS):
                sent.append(clock.now())
            clock.advance(0.02)
        share = cold_share('u1', 20, ROUTERS[0], ROUTERS)
        for start in sent:
            within = [t for t in sent if start <= t < start + 1.0]
            self.assertLessEqual(len(within), share)


class RetryAllowanceTest(testtools.TestCase):
    def _play(self, routers, fresh, retries):
        clock = ManualClock(100.0)
        spent = 0
        allowances = [
            RetryAllowance(clock, 0.2, 64, 10.0) for _ in range(routers)
        ]
        for _ in range(100):
            for allowance in allowances:
                for _ in range(fresh):
                    allowance.note_request()
                spent += sum(allowance.take(routers) for _ in range(retries))
            clock.advance(0.1)
        return spent

    def test_all_routers_together_keep_the_budget(self):
        """Replays an outage in which every request fails."""
        for routers in (1, 12, 64):
            spent = self._play(routers, 2, 2)
            self.assertLessEqual(spent, 0.2 * routers * 200 + 64)

    def test_an_idle_service_still_has_some_retries(self):
        """Guards against a budget of nothing for a quiet service."""
        self.assertGreater(self._play(12, 0, 1), 12)
