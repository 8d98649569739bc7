"""Tests of the health of an upstream and of its probes."""

import random

import testtools

from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.common.messages import UPSTREAM_LEAVING
from bramleysill_kernel.common.messages import UPSTREAM_OK
from bramleysill_kernel.common.messages import UPSTREAM_SUSPECT
from bramleysill_kernel.load import health

SEED = 17


class UpstreamHealthTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.health = health.UpstreamHealth(self.clock, random.Random(SEED))

    def _run(self, seconds, probe_ok=True, traffic=False, state='warm'):
        """Advance the clock in steps; return the number of probes."""
        probes = 0
        for _ in range(int(seconds * 100)):
            self.clock.advance(0.01)
            if traffic:
                self.health.note_result(True, state)
            if self.health.is_probe_due():
                self.health.note_probe_sent()
                self.health.note_probe(probe_ok, state)
                probes += 1
        return probes

    def test_single_failures_do_not_make_suspect(self):
        """Guards against a condition that changes on single failures."""
        for _ in range(20):
            self.health.note_result(False)
            self.health.note_result(False)
            self.health.note_result(True)
            self.assertEqual(UPSTREAM_OK, self.health.condition)

    def test_failed_probes_find_a_lost_idle_upstream_in_time(self):
        """Guards against missing the loss of an upstream without callers."""
        self._run(5.0)
        self._run(2.0, probe_ok=False)
        self.assertEqual(UPSTREAM_SUSPECT, self.health.condition)
        self._run(1.0)
        self.assertEqual(UPSTREAM_OK, self.health.condition)

    def test_recent_responses_save_probes(self):
        """Guards against probes that give no new information."""
        idle = self._run(60.0)
        busy = self._run(60.0, traffic=True)
        self.assertLess(busy, idle / 4)

    def test_leaving_outlasts_delayed_denials(self):
        """Guards against using a leaving upstream after a late response."""
        self.health.note_result(True, 'leaving')
        for _ in range(10):
            self.health.note_result(True, 'warm')
        self.assertEqual(UPSTREAM_LEAVING, self.health.condition)
        self._run(health.MIN_LEAVING_SECONDS + 2.0)
        self.assertEqual(UPSTREAM_OK, self.health.condition)
        # A restarted upstream gets requests at once.
        self.health.note_probe(True, 'warm', 'a')
        self.health.note_probe(True, 'leaving', 'a')
        self.health.note_probe(True, 'cold', 'b')
        self.assertEqual(UPSTREAM_OK, self.health.condition)

    def test_vm_list_only_brings_a_probe_forward(self):
        """Guards against a wrong VM list that takes upstreams out."""
        self._run(1.0)
        self.clock.advance(0.01)
        self.health.note_hint()
        self.assertEqual(UPSTREAM_OK, self.health.condition)
        self.assertTrue(self.health.is_probe_due())
