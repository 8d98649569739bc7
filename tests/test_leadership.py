"""Tests of leader election over a key that is bound to a lease."""

import random

import testtools

from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.election.leadership import (
    NON_PREFERRED_CAMPAIGN_DELAY_SECONDS,
)
from bramleysill_kernel.election.leadership import Leadership

LEASE_SECONDS = 2.0


class LeadershipTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.leadership = Leadership(self.clock, LEASE_SECONDS)

    def _take(self):
        self.leadership.extend(self.clock.now(), LEASE_SECONDS)
        self.leadership.become_leader(7, 42)

    def test_a_leader_stops_before_its_lease_expires_in_the_store(self):
        """Guards against two leaders at the same time."""
        self._take()
        self.assertTrue(self.leadership.is_valid())
        self.clock.advance(LEASE_SECONDS * 0.99)
        self.assertFalse(self.leadership.is_valid())

    def test_a_renewal_counts_from_when_it_was_sent(self):
        """Guards against a slow reply that makes the lease seem longer."""
        self._take()
        sent_at = self.clock.now()
        self.clock.advance(1.5)
        self.leadership.extend(sent_at, LEASE_SECONDS)
        self.clock.advance(0.6)
        self.assertFalse(self.leadership.is_valid())

    def test_a_late_reply_does_not_shorten_the_lease(self):
        """Guards against replies that arrive out of order."""
        self._take()
        self.clock.advance(1.0)
        self.leadership.extend(self.clock.now(), LEASE_SECONDS)
        self.leadership.extend(self.clock.now() - 1.0, LEASE_SECONDS)
        self.clock.advance(1.5)
        self.assertTrue(self.leadership.is_valid())

    def test_a_preferred_machine_campaigns_first(self):
        """Guards against a leader whose link is too slow for the feed."""
        weak = Leadership(self.clock, LEASE_SECONDS, is_preferred_leader=False)
        self.assertTrue(self.leadership.may_campaign(True))
        self.assertFalse(weak.may_campaign(True))
        self.clock.advance(NON_PREFERRED_CAMPAIGN_DELAY_SECONDS)
        self.assertTrue(weak.may_campaign(True))
        weak.may_campaign(False)
        self.assertFalse(weak.may_campaign(True))

    def test_a_router_that_shuts_down_does_not_campaign(self):
        """Guards against electing a leader that is about to exit."""
        self.leadership.campaigning_disabled = True
        self.assertFalse(self.leadership.may_campaign(True))

    def test_attempts_are_spread(self):
        """Guards against all routers calling the store at the same time."""
        waits = set()
        for seed in range(5):
            self.leadership.delay_next_attempt(random.Random(seed))
            waits.add(self.leadership.next_attempt_at)
        self.assertEqual(5, len(waits))

    def test_resigning_returns_the_lease_once(self):
        """Guards against revoking the lease of a later term."""
        self._take()
        self.assertEqual(7, self.leadership.resign())
        self.assertEqual(0, self.leadership.resign())
        self.assertFalse(self.leadership.is_valid())
