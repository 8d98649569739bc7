"""Tests of retry decisions and the retry budget."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import testtools

from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.common.exceptions import OUTCOME_NOT_RUN
from bramleysill_kernel.common.exceptions import OUTCOME_UNKNOWN
from bramleysill_kernel.load import retries

SEED = 13


def _policy(clock, **kwargs):
    return retries.RetryPolicy(clock, random.Random(SEED), **kwargs)


class RetryPolicyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.policy = _policy(self.clock)

    def test_unknown_outcome_is_repeated_only_if_repeatable(self):
        """Guards against running a non-repeatable request twice."""
        for _ in range(1000):
            self.clock.advance(1.0)
            self.assertIsNone(self.policy.delay(OUTCOME_UNKNOWN, False, 1e9))
        self.assertIsNone(self.policy.delay('', False, 1e9))
        self.assertIsNotNone(self.policy.delay(OUTCOME_UNKNOWN, True, 1e9))
        self.assertIsNotNone(self.policy.delay(OUTCOME_NOT_RUN, False, 1e9))

    def test_deadline_and_attempts_bound_retries(self):
        """Guards against an attempt that can't be completed in time."""
        not_run = OUTCOME_NOT_RUN
        self.assertIsNone(self.policy.delay(not_run, True, 0.0))
        self.assertIsNone(self.policy.delay(not_run, True, 1.0, expected=1.0))
        self.assertIsNone(
            self.policy.delay(not_run, True, 1.0, retry_after=1.0)
        )
        self.assertIsNone(self.policy.delay(not_run, True, 9.0, attempts=3))
        self.assertEqual(retries.DEFAULT_BURST, self.policy.tokens)

    def test_delays_are_jittered_and_grow(self):
        """Guards against retries that are all sent at once."""
        delays = {}
        for attempts in (1, 2):
            self.policy.tokens = 500.0
            self.policy.burst = 500.0
            delays[attempts] = [
                self.policy.delay(OUTCOME_NOT_RUN, True, 9.0, attempts)
                for _ in range(200)
            ]
            self.assertEqual(200, len(set(delays[attempts])))
        self.assertGreater(sum(delays[2]), 1.5 * sum(delays[1]))

    @settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @given(st.lists(st.floats(0.0, 0.2), max_size=300), st.floats(0.0, 0.5))
    def test_budget_is_never_exceeded(self, steps, ratio):
        """Guards against retries that amplify an outage."""
        clock = ManualClock()
        policy = _policy(clock, ratio=ratio, burst=5.0)
        sent = 0
        for fresh, seconds in enumerate(steps, 1):
            clock.advance(seconds)
            policy.note_request()
            for attempts in (1, 2):
                wait = policy.delay(OUTCOME_NOT_RUN, True, 1e9, attempts)
                sent += wait is not None
            allowed = 5.0 + ratio * fresh + clock.now()
            self.assertLessEqual(sent, allowed + 1e-6)
