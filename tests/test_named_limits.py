"""Tests of the limits that upstreams name, as routers learn and keep them."""

import testtools

from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.load.named_limits import MIN_RETENTION_SECONDS
from bramleysill_kernel.load.named_limits import LimitReport
from bramleysill_kernel.load.named_limits import NamedLimits
from bramleysill_platform import upstream_calls


class ParseLimitTest(testtools.TestCase):
    def test_a_decimal_number_is_a_rate(self):
        """Guards against limits that are read as whole numbers."""
        self.assertEqual(5.4, upstream_calls.parse_limit('5.4'))
        self.assertEqual(0.0, upstream_calls.parse_limit('0'))

    def test_malformed_values_are_none(self):
        """Guards against limits that no upstream can mean."""
        for value in ('', 'x', '-1', 'nan', 'inf', '5,4'):
            self.assertIsNone(upstream_calls.parse_limit(value))


class NamedLimitsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.limits = NamedLimits(self.clock)

    def test_a_limit_applies_to_one_process(self):
        """Guards against the limit of a process after its restart."""
        self.assertTrue(self.limits.observe('u', 1, 5.0))
        self.assertFalse(self.limits.observe('u', 1, 5.0))
        self.assertEqual(5.0, self.limits.rate('u', 1))
        self.assertIsNone(self.limits.rate('u', 2))

    def test_a_response_without_a_limit_ends_it(self):
        """Guards against a limit that outlasts the upstream's need."""
        self.limits.observe('u', 1, 5.0)
        self.assertTrue(self.limits.observe('u', 1, None))
        self.assertIsNone(self.limits.rate('u', 1))

    def test_the_newer_report_counts(self):
        """Guards against an old report of another router."""
        self.clock.advance(5.0)
        self.limits.observe('u', 1, 5.0)
        self.limits.merge(LimitReport('u', 1, 9.0, 4.0))
        self.assertEqual(5.0, self.limits.rate('u', 1))
        self.limits.merge(LimitReport('u', 1, None, 6.0))
        self.assertIsNone(self.limits.rate('u', 1))

    def test_an_unconfirmed_limit_expires(self):
        """Guards against an upstream that stays limited without requests."""
        self.limits.observe('u', 1, 5.0)
        self.clock.advance(MIN_RETENTION_SECONDS)
        self.assertIsNone(self.limits.rate('u', 1))
        self.assertEqual([], self.limits.reports())

    def test_only_own_reports_are_sent_on(self):
        """Guards against reports that routers send to and fro."""
        self.limits.observe('u', 1, 5.0)
        self.limits.merge(LimitReport('v', 1, 3.0, 0.0))
        sent = self.limits.take_unsent()
        self.assertEqual(['u'], [r.upstream for r in sent])
        self.assertEqual([], self.limits.take_unsent())
