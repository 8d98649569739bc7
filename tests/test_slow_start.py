"""Tests of slow start."""

import random

import testtools

from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.load import slow_start
from bramleysill_kernel.load.slow_start import SlowStart

SEED = 19


class SlowStartTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.slow_start = SlowStart(self.clock, 4)

    def _respond(self, count, latency=0.01, state='', route=''):
        bounds = set()
        for _ in range(count):
            self.clock.advance(0.1)
            self.slow_start.note_response(latency, state, route=route)
            bounds.add(self.slow_start.bound)
        return bounds

    def _warm_up(self):
        self._respond(200)
        self.assertEqual(4, self.slow_start.bound)
        self.assertFalse(self.slow_start.cold)

    def test_new_upstream_starts_at_the_cold_bound_and_grows(self):
        """Guards against full load for an upstream that is cold."""
        self.assertEqual({1}, self._respond(500, state='cold'))
        self._warm_up()

    def test_epoch_change_means_cold(self):
        """Guards against missing a restart between two responses."""
        self.slow_start.note_epoch('a')
        self._warm_up()
        self.slow_start.note_epoch('a')
        self.assertEqual(4, self.slow_start.bound)
        self.slow_start.note_epoch('b')
        self.assertEqual(1, self.slow_start.bound)

    def test_latency_jump_finds_a_cold_upstream_that_says_warm(self):
        """Guards against trusting wrong reports, with scattered latencies."""
        for seed in range(20):
            rng = random.Random(seed)
            self.slow_start = SlowStart(self.clock, 4)
            for _ in range(1000):
                self._respond(1, latency=rng.lognormvariate(-5, 0.5))
            self.assertEqual(4, self.slow_start.bound)
            for _ in range(20):
                self._respond(1, 5 * rng.lognormvariate(-5, 0.5), 'warm')
            for _ in range(150):
                self.assertEqual(1, self.slow_start.bound)
                self._respond(1, 5 * rng.lognormvariate(-5, 0.5), 'warm')

    def test_scattered_latencies_do_not_mean_cold(self):
        """Guards against lowering the bound for ordinary variation."""
        rng = random.Random(SEED)
        self._warm_up()
        cut = 0
        for _ in range(20000):
            self._respond(1, latency=rng.expovariate(100))
            cut += self.slow_start.bound < 4
        self.assertLess(cut, 20000 * 0.01)

    def test_zero_latency_is_no_error(self):
        """Guards against log2(0) with a coarse clock."""
        self._respond(200, latency=0.0)
        self.assertEqual(4, self.slow_start.bound)

    def test_moderately_slow_responses_do_not_end_the_cold_state(self):
        """Guards against raising the bound while the upstream is cold."""
        self._warm_up()
        self.slow_start.note_response(0.01, 'cold')
        self.assertEqual({1}, self._respond(100, latency=0.03))

    def test_routes_have_latencies_of_their_own(self):
        """Guards against mistaking slow uploads for a cold upstream."""
        self._warm_up()
        for _ in range(20):  # a single large body is no sign either
            self.assertEqual({4}, self._respond(1, latency=1.0))
            self._respond(2)
        self._respond(20, latency=2.0, route='upload')
        self.assertEqual(4, self.slow_start.bound)

    def test_lasting_slowness_becomes_the_baseline(self):
        """Guards against keeping an upstream at the cold bound forever."""
        self._warm_up()
        self._respond(3000, latency=0.1)
        self.assertEqual(4, self.slow_start.bound)

    def test_long_idle_upstream_starts_cold(self):
        """Guards against a burst at an upstream that became cold when idle."""
        self._warm_up()
        self.clock.advance(slow_start.MAX_IDLE_SECONDS + 1.0)
        self.slow_start.note_idle(self.clock.now())
        self.assertEqual(1, self.slow_start.bound)

    def test_suggested_baseline_reveals_a_cold_upstream(self):
        """Guards against a baseline that is learned while cold."""
        self.slow_start.suggest_baseline(0.01)
        self.assertEqual({1}, self._respond(150, latency=0.03))
