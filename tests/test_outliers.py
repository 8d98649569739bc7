"""Tests of outlier detection."""

import random

import testtools

from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.load import outliers

SEED = 11
NAMES = ('a', 'b', 'c', 'd', 'e', 'f')


class OutlierDetectorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.detector = outliers.OutlierDetector(
            self.clock, random.Random(SEED), NAMES
        )

    def _run(
        self, seconds, slow=(), failing=(), factor=10.0, trial_factor=1.0
    ):
        """Send trials and ordinary requests; return the state changes.

        Trials at a slow upstream take `trial_factor` times its latency.
        """
        changes = []
        for _ in range(int(seconds * 10)):
            self.clock.advance(0.1)
            changes += self.detector.tick()
            for name in NAMES:
                trial = self.detector.take_trial(name)
                if trial or not self.detector.is_ejected(name):
                    latency = 0.01 * (factor if name in slow else 1.0)
                    latency *= trial_factor if trial else 1.0
                    ok = name not in failing
                    for _ in range(1 if trial else 5):
                        self.detector.note_result(name, latency, ok, trial)
        return changes

    def test_slow_and_failing_upstreams_are_ejected(self):
        """Guards against sending more requests to a bad upstream."""
        self._run(2.0, slow='a', failing='b')
        self.assertEqual(['a', 'b'], self.detector.ejected())

    def test_at_most_a_third_is_ejected_the_worst_first(self):
        """Guards against ejections that overload the other upstreams."""
        self._run(1.0, slow='a', failing='bc')
        self.assertEqual(['b', 'c'], self.detector.ejected())

    def test_all_slow_ejects_none(self):
        """Guards against ejections for load that all upstreams share."""
        self._run(1.0)
        self._run(5.0, slow=NAMES)
        self.assertEqual([], self.detector.ejected())

    def test_moderate_slowness_is_no_outlier(self):
        """Guards against ejections for ordinary differences."""
        self.assertEqual([], self._run(30.0, slow='b', factor=2.5))

    def test_readmission_needs_good_trials(self):
        """Guards against readmitting a slow upstream, or never a good one."""
        self._run(1.0, slow='a')
        self._run(5.0, slow='a')
        self.assertEqual(['a'], self.detector.ejected())
        self._run(10.0)
        self.assertEqual([], self.detector.ejected())

    def test_lasting_outlier_stays_out(self):
        """Guards against readmitting a bad upstream, and too many trials."""
        self._run(1.0, slow='a')
        trials = 0
        for _ in range(120):
            trials += self._run(1.0, slow='a').count('a')
            self.assertEqual(['a'], self.detector.ejected())
        self.assertLess(trials, 120)

    def test_upstream_that_fails_only_under_load_does_not_flap(self):
        """Guards against frequent readmissions after trials without load."""
        returns, was_out = 0, False
        for _ in range(2400):
            self._run(0.1, slow='a', trial_factor=0.1)
            is_out = self.detector.is_ejected('a')
            returns += was_out and not is_out
            was_out = is_out
        # Ejections double from 0.25 s, so at most ten fit into 240 s.
        self.assertGreater(returns, 0)
        self.assertLessEqual(returns, 10)

    def test_frozen_upstream_is_found_by_its_open_attempts(self):
        """Guards against waiting for responses that never arrive."""
        self._run(1.0)
        for _ in range(3):
            self.clock.advance(0.1)
            self.detector.note_oldest_attempt('a', 1.0)
            self.detector.tick()
        self.assertEqual(['a'], self.detector.ejected())

    def test_overloaded_upstreams_bring_a_trial_forward(self):
        """Guards against a recovered upstream that stays out too long."""
        self._run(5.0, slow='a')
        self._run(10.0, slow='a')
        self.detector._upstreams['a'].ejected_until = 1e9
        self._run(1.0)
        self.assertEqual(['a'], self.detector.ejected())
        self._run(1.0, slow='bcdef', factor=1.8)
        self.assertEqual([], self.detector.ejected())

    def test_late_responses_to_earlier_requests_decide_no_trial(self):
        """Guards against deciding a trial by requests sent before it."""
        self._run(1.0, slow='a')
        self.clock.advance(2.0)
        self.detector.tick()
        self.assertTrue(self.detector.take_trial('a'))
        self.assertFalse(self.detector.take_trial('a'))
        for _ in range(5):
            self.detector.note_result('a', 9.0)
        self.assertEqual(['a'], self.detector.trial_names())
