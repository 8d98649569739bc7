"""Tests of limits that are shared by all routers."""

import testtools

from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.load.shared_limits import (
    EXPIRED_ROUTER_RETENTION_SECONDS,
)
from bramleysill_kernel.load.shared_limits import REGISTRATION_WAIT_SECONDS
from bramleysill_kernel.load.shared_limits import KnownRouters
from bramleysill_kernel.load.shared_limits import RetryBudget
from bramleysill_kernel.load.shared_limits import SlowStartLimiter
from bramleysill_kernel.load.shared_limits import slow_start_share

ROUTERS = [f'router-{n}' for n in range(12)]


class SlowStartShareTest(testtools.TestCase):
    def test_the_shares_stay_within_the_bound(self):
        """Guards against routers that together overload a cold upstream."""
        for count in (1, 3, 12, 64, 1700):
            routers = [f'router-{n}' for n in range(count)]
            total = sum(
                slow_start_share('u1', 20, r, routers) for r in routers
            )
            self.assertLessEqual(total, 20)
            self.assertGreater(total, 8)

    def test_a_router_that_is_not_listed_counts_itself(self):
        """Guards against an error when a router's own entry is missing.

        A router that has just started does not find itself in the store.
        """
        self.assertLessEqual(slow_start_share('u1', 20, 'new', []), 20)

    def test_upstreams_prefer_different_routers(self):
        """Guards against using the same few routers for every slow start."""
        first = [slow_start_share('u1', 20, r, ROUTERS) for r in ROUTERS]
        second = [slow_start_share('u2', 20, r, ROUTERS) for r in ROUTERS]
        self.assertNotEqual(first, second)


class KnownRoutersTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.routers = KnownRouters(self.clock)

    def test_routers_whose_registration_expired_are_counted(self):
        """Simulates a store outage in which all registrations expire.

        Guards against routers that each use the whole limit of a cold
        upstream (FAILBACK on store-and-leader, seed 366093641197).
        """
        self.routers.note_store_recovered()
        for router in ROUTERS:
            self.routers.add(router)
        for router in ROUTERS:
            self.routers.remove(router)
        self.assertEqual(set(ROUTERS), set(self.routers.names()))
        self.clock.advance(EXPIRED_ROUTER_RETENTION_SECONDS)
        self.assertEqual([], self.routers.names())

    def test_a_router_that_is_counted_no_more(self):
        """Guards against an error in a request to a router that is gone.

        Rankings of routers are computed again after each change.
        """
        self.routers.add('r1', '127.0.0.1:1')
        self.assertEqual('127.0.0.1:1', self.routers.address('r1'))
        versions = [self.routers.version]
        self.routers.add('r1', '127.0.0.1:1')
        self.assertEqual(versions, [self.routers.version])
        self.routers.remove('r1')
        versions.append(self.routers.version)
        self.clock.advance(EXPIRED_ROUTER_RETENTION_SECONDS)
        self.assertEqual([], self.routers.names())
        versions.append(self.routers.version)
        self.assertEqual(sorted(set(versions)), versions)
        self.assertEqual('', self.routers.address('r1'))

    def test_a_router_that_starts_waits_for_the_others(self):
        """Guards against ignoring routers that are not registered yet."""
        self.assertFalse(self.routers.is_settled())
        self.routers.note_store_recovered()
        self.assertFalse(self.routers.is_settled())
        self.clock.advance(REGISTRATION_WAIT_SECONDS)
        self.assertTrue(self.routers.is_settled())

    def test_a_router_that_has_left_does_not_run(self):
        """Guards against asking a router that has shut down."""
        self.routers.note_store_recovered()
        self.clock.advance(REGISTRATION_WAIT_SECONDS)
        self.routers.add('a')
        self.routers.add('b')
        self.routers.remove('a')
        self.assertEqual(['b'], self.routers.running_names())

    def test_routers_run_on_after_a_store_outage(self):
        """Guards against routers that each pace an upstream by themselves."""
        for router in ROUTERS:
            self.routers.add(router)
        self.routers.note_store_recovered()
        for router in ROUTERS:
            self.routers.remove(router)
        self.assertEqual(set(ROUTERS), set(self.routers.running_names()))

    def test_a_router_that_returns_stays(self):
        """Guards against removing a router that registered again."""
        self.routers.add('a')
        self.routers.remove('a')
        self.routers.add('a')
        self.clock.advance(2 * EXPIRED_ROUTER_RETENTION_SECONDS)
        self.assertEqual(['a'], self.routers.names())


class SlowStartLimiterTest(testtools.TestCase):
    def test_a_second_has_at_most_the_share(self):
        """Guards against a burst across the boundary of two seconds."""
        clock = ManualClock(100.0)
        limiter = SlowStartLimiter(clock)
        sent = []
        for _ in range(200):
            if limiter.take('u1', 20, ROUTERS[0], ROUTERS):
                sent.append(clock.now())
            clock.advance(0.02)
        share = slow_start_share('u1', 20, ROUTERS[0], ROUTERS)
        for start in sent:
            within = [t for t in sent if start <= t < start + 1.0]
            self.assertLessEqual(len(within), share)


class RetryBudgetTest(testtools.TestCase):
    def _simulate(self, routers, fresh, retries):
        clock = ManualClock(100.0)
        sent = 0
        budgets = [RetryBudget(clock, 0.2, 64, 10.0) for _ in range(routers)]
        for _ in range(100):
            for budget in budgets:
                for _ in range(fresh):
                    budget.note_request()
                sent += sum(budget.take(routers) for _ in range(retries))
            clock.advance(0.1)
        return sent

    def test_all_routers_together_keep_the_budget(self):
        """Simulates an outage in which every request fails.

        Guards against routers whose retries together amplify the outage.
        """
        for routers in (1, 12, 64):
            sent = self._simulate(routers, 2, 2)
            self.assertLessEqual(sent, 0.2 * routers * 200 + 64)

    def test_an_idle_service_still_has_some_retries(self):
        """Guards against an empty budget for a service with few requests."""
        self.assertGreater(self._simulate(12, 0, 1), 12)
