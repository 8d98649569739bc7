"""Tests of second attempts for safe reads."""

import testtools

from bramleysill_kernel.load import hedging


class HedgePolicyTest(testtools.TestCase):
    def test_delay_is_the_observed_p95(self):
        """Guards against hedging requests of ordinary latency."""
        policy = hedging.HedgePolicy()
        self.assertIsNone(policy.delay())
        for number in range(512):
            policy.note_latency(0.01 if number % 25 else 0.5)
        self.assertEqual(0.01, policy.delay())
        for number in range(512):
            policy.note_latency(0.02 if number % 10 else 0.5)
        self.assertEqual(0.5, policy.delay())

    def test_budget_bounds_hedges_when_all_upstreams_are_slow(self):
        """Guards against hedges that add to an overload."""
        policy = hedging.HedgePolicy(ratio=0.05, burst=10.0)
        sent = 0
        for _ in range(2000):
            policy.note_request()
            sent += policy.take()
        self.assertLessEqual(sent, 10 + 0.05 * 2000)
        self.assertGreaterEqual(sent, 100)


class HedgeTest(testtools.TestCase):
    def test_first_good_response_wins_and_the_other_is_cancelled(self):
        """Guards against two responses to one caller."""
        hedge = hedging.Hedge('first')
        self.assertTrue(hedge.add('second'))
        self.assertEqual(
            ('second', ['first']), hedge.note_result('second', True)
        )
        self.assertEqual((None, []), hedge.note_result('first', True))
        self.assertFalse(hedge.add('third'))

    def test_failure_waits_for_the_other_attempt(self):
        """Guards against failing while the other attempt may succeed."""
        hedge = hedging.Hedge('first')
        hedge.add('second')
        self.assertEqual((None, []), hedge.note_result('first', False))
        self.assertEqual(('second', []), hedge.note_result('second', False))
