"""Tests of the balancers of shared services."""

import random

import testtools

from bramleysill_kernel.load.balancer import Candidate
from bramleysill_kernel.load.balancer import balancers

SEED = 7


class BalancerTest(testtools.TestCase):
    def _each(self):
        for name in balancers.names():
            yield balancers.get(name)(random.Random(SEED))

    def test_ejected_and_excluded_are_avoided(self):
        """Guards against a retry at the upstream that has just failed."""
        candidates = [Candidate('a'), Candidate('b'), Candidate('c')]
        candidates[0].ejected = True
        for balancer in self._each():
            picked = {
                balancer.pick(candidates, ('b',)).name for _ in range(50)
            }
            self.assertEqual({'c'}, picked)

    def test_ejected_are_used_when_nothing_else_is_left(self):
        """Guards against refusals while a slow upstream could respond."""
        candidates = [Candidate('a', ejected=True), Candidate('b')]
        for balancer in self._each():
            self.assertEqual('a', balancer.pick(candidates, ('b',)).name)
            self.assertIsNone(balancer.pick(candidates, ('a', 'b')))
            self.assertIsNone(balancer.pick([]))

    def test_less_load_and_latency_are_preferred(self):
        """Guards against choosing the busier or slower of two upstreams."""
        for name in ('power_of_two', 'least_time'):
            self._check_preference(balancers.get(name)(random.Random(SEED)))

    def _check_preference(self, balancer):
        for worse in (
            Candidate('w', in_flight=3, latency=0.01),
            Candidate('w', in_flight=1, slots=2, latency=0.01),
            Candidate('w', in_flight=1, latency=0.1),
            Candidate('w', in_flight=1, latency=0.01, cold=True),
        ):
            better = Candidate('b', in_flight=1, latency=0.01)
            picked = {balancer.pick([worse, better]).name for _ in range(20)}
            self.assertEqual({'b'}, picked)

    def test_slow_candidate_is_tried_again(self):
        """Guards against avoiding a slow upstream after its recovery.

        One with a request in flight may be frozen and keeps its latency.
        """
        slow, fast = Candidate('s'), Candidate('f')
        slow.note_response(0.5, 0.0)
        balancer = balancers.get('power_of_two')(random.Random(SEED))
        for step in range(1, 50):
            fast.note_response(0.01, step / 10)
            slow.decay_stale_latency(step / 10)
            fast.decay_stale_latency(step / 10)
        self.assertEqual(0.01, fast.latency)
        self.assertEqual('s', balancer.pick([slow, fast]).name)
        frozen = Candidate('f', in_flight=1)
        frozen.note_response(0.5, 0.0)
        frozen.decay_stale_latency(9.0)
        self.assertEqual(0.5, frozen.latency)

    def test_equal_candidates_share_evenly(self):
        """Guards against a biased random choice."""
        for balancer in self._each():
            counts = {}
            for _ in range(6000):
                name = balancer.pick([Candidate(c) for c in 'abcdef']).name
                counts[name] = counts.get(name, 0) + 1
            self.assertLess(max(counts.values()), 1200)
            self.assertGreater(min(counts.values()), 800)
