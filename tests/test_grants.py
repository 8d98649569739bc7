"""Tests of grants, on dispatcher and upstream, and of lease lengths."""

import testtools

from bramleysill_kernel.common import clock as clock_module
from bramleysill_kernel.common import lease
from bramleysill_kernel.units import grants


class _Agent:
    name = 'r1'
    lease_deadline = 11.2
    holds = True

    def may_dispatch(self, upstream):
        return self.holds


class LeaseTest(testtools.TestCase):
    def test_grantor_outlasts_holder_at_the_maximum_rate_error(self):
        """Guards against a holder that uses its lease for too long.

        Its clock may be slower than that of the grantor.
        """
        length = lease.ROUTER_LEASE_SECONDS
        slow_holder = lease.holder_deadline(0.0, length) / (
            1 - lease.MAX_CLOCK_RATE_ERROR
        )
        self.assertLess(slow_holder, lease.grantor_deadline(0.0, length))


class GrantIssuerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clock_module.ManualClock(10.0)
        self.agent = _Agent()
        self.issuer = grants.GrantIssuer('u', self.agent, self.clock)
        self.issuer.set_role((1, 1))

    def test_grant_nests_in_the_router_lease(self):
        """Guards against a grant that outlasts the lease of its dispatcher."""
        self.assertIsNone(self.issuer.make_grant({'1': 1}))
        self.issuer.on_response(5000, 'e')
        body = self.issuer.make_grant({'1': 1})
        self.assertEqual(5900, body['until_clock_ms'])
        self.clock.advance(0.7)
        self.issuer.on_response(5700, 'e')
        body = self.issuer.make_grant({'1': 1})
        self.assertLessEqual(body['until_clock_ms'], 6200)
        self.assertLessEqual(
            self.issuer.grants_expire_at, self.agent.lease_deadline + 1e-9
        )

    def test_old_reading_grants_nothing(self):
        """Guards against a grant based on a reading from before a pause."""
        self.issuer.on_response(5000, 'e')
        self.clock.advance(2.0)
        self.agent.lease_deadline = 20.0
        self.assertIsNone(self.issuer.make_grant({'1': 1}))

    def test_stopped_unit_is_left_out_until_its_fence_increases(self):
        """Guards against granting a unit again after Released was sent."""
        self.issuer.on_response(5000, 'e')
        self.issuer.stop('1', 1)
        self.assertEqual({}, self.issuer.make_grant({'1': 1})['units'])
        self.assertEqual({'1': 1}, self.issuer.stopped({'1': 1}))
        self.assertEqual({'1': 2}, self.issuer.make_grant({'1': 2})['units'])
        self.assertEqual({}, self.issuer.stopped({'1': 2}))

    def test_only_a_newer_generation_ends_a_suspension(self):
        """Guards against a grant to an upstream after Lapsed was sent."""
        self.issuer.on_response(5000, 'e')
        self.issuer.suspend(1)
        self.issuer.set_role((1, 1))
        self.assertIsNone(self.issuer.make_grant({'1': 1}))
        self.issuer.set_role((1, 2))
        self.assertIsNotNone(self.issuer.make_grant({'1': 1}))

    def test_suspend_of_an_older_term_is_ignored(self):
        """Guards against a former coordinator that suspends an upstream."""
        self.issuer.set_role((2, 1))
        self.issuer.suspend(1)
        self.assertFalse(self.issuer.suspended)

    def test_grants_of_unchecked_upstream_expire_after_settle(self):
        """Guards against moving units of a frozen upstream too early.

        It may have buffered requests and run them when it continues.
        """
        issuer = grants.GrantIssuer('u', self.agent, self.clock, False, 30.0)
        self.assertEqual(lease.NEVER, issuer.grants_expire_at)
        issuer.note_sent()
        self.assertGreaterEqual(issuer.grants_expire_at, 40.0)
        issuer.note_finished()
        self.assertEqual(lease.NEVER, issuer.grants_expire_at)

    def test_single_key_waits_for_the_grants_of_its_shard(self):
        """Guards against confirming the release of a key that may still run.

        The upstream runs its requests under the fence of its former shard.
        """
        self.issuer.on_response(5000, 'e')
        self.issuer.make_grant({'1': 1})
        self.issuer.stop('key:K', 2)
        self.assertFalse(self.issuer.may_confirm('key:K', 2))
        self.assertGreater(self.issuer.unit_grants_expire_at('key:K'), 10.8)


def _command(units, until=1000, generation=(1, 1), epoch='e'):
    return {
        'generation': list(generation),
        'until_clock_ms': until,
        'epoch': epoch,
        'units': units,
    }


class GrantTableTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = grants.GrantTable('e')
        self.table.apply(_command({'1': 3}), 0)

    def test_reasons(self):
        """Guards against a request that runs without its grant."""
        self.assertEqual('', self.table.check('1', 3, 999))
        self.assertEqual('expired', self.table.check('1', 3, 1000))
        self.assertEqual('stale_fence', self.table.check('1', 2, 0))
        self.assertEqual('no_grant', self.table.check('2', 1, 0))

    def test_older_generation_and_other_epoch_are_refused(self):
        """Guards against grants of a former dispatcher or an earlier start."""
        self.assertEqual(200, self.table.apply(_command({}, 1, (2, 0)), 0))
        self.assertEqual(409, self.table.apply(_command({'1': 4}), 0))
        late = _command({'1': 4}, epoch='d', generation=(3, 0))
        self.assertEqual(409, self.table.apply(late, 0))
        self.assertEqual('no_grant', self.table.check('1', 3, 0))

    def test_delayed_grant_does_not_revive_a_released_unit(self):
        """Guards against a grant that arrives after a newer release."""
        self.table.release('1', 3)
        delayed = _command({'1': 3}, until=1100)
        self.table.apply(delayed, 0)
        self.assertEqual('no_grant', self.table.check('1', 3, 0))
        self.assertEqual({'1': 3}, self.table.barred(delayed['units']))
        self.table.apply(_command({'1': 4}, until=1200), 0)
        self.assertEqual('', self.table.check('1', 4, 0))
