"""Tests of the choice among the upstreams of a shared service."""

import collections
import random

import testtools

from bench.even_load import PATTERNS
from bench.even_load import Replay
from bramleysill_kernel.load.choice_policies import MAX_OWN_DOMAIN_LOAD
from bramleysill_kernel.load.choice_policies import REPORT_LOSS_SECONDS
from bramleysill_kernel.load.choice_policies import choice_policies
from bramleysill_kernel.load.choice_policies import has_capacity
from bramleysill_kernel.load.choice_policies import own_domain_share
from bramleysill_kernel.load.service_load import ServiceLoad
from bramleysill_kernel.load.upstream_load import MAX_REPORTED_PER_SLOT
from bramleysill_kernel.load.upstream_load import MAX_SLOTS_FACTOR
from bramleysill_kernel.load.upstream_load import LoadReport
from bramleysill_kernel.load.upstream_load import ServiceTime
from bramleysill_kernel.load.upstream_load import UpstreamLoad

# The policy whose load these tests bound.
EVEN_POLICY = 'three_choices'
ROUTERS = 80
# The requirement, and what the replay of a seed leaves room for.
MAX_RATIO = 1.5
MAX_P99_WAIT_SECONDS = 0.42
SLOTS = 4
NOW = 10.0
OBJECTIVE_SECONDS = 0.4
CHOICES = 600


class PatternTest(testtools.TestCase):
    """Replays each load pattern with 80 routers and 45 upstreams."""

    def _check(self, pattern):
        row = Replay(EVEN_POLICY, pattern, ROUTERS).run().row()
        self.assertLess(row['ratio'], MAX_RATIO)
        self.assertLess(row['p99_wait'], MAX_P99_WAIT_SECONDS)
        self.assertLess(row['full'], 0.001)

    def test_steady(self):
        """Guards against routers that all choose the same upstreams."""
        self._check('steady')

    def test_burst(self):
        """Guards against filling some upstreams first in a short burst."""
        self._check('burst')

    def test_one_slow(self):
        """Guards against a queue at one upstream that becomes slow."""
        self._check('one_slow')

    def test_fifth_slow(self):
        """Guards against following slowdowns that have already ended."""
        self._check('fifth_slow')

    def test_new_one(self):
        """Guards against sending everything to an upstream without reports."""
        self._check('new_one')

    def test_returning(self):
        """Guards against all routers turning to an upstream that is back."""
        self._check('returning')

    def test_reports_lost(self):
        """Guards against one favourite per router while reports are lost."""
        self._check('reports_lost')

    def test_all_patterns_are_tested(self):
        """Guards against a new pattern that only the benchmark replays."""
        for name in PATTERNS:
            self.assertTrue(hasattr(self, f'test_{name}'), name)

    def test_the_number_of_routers(self):
        """Guards against a choice that suits one number of routers only."""
        for routers in (3, 12, 195):
            row = Replay(EVEN_POLICY, 'steady', routers).run().row()
            self.assertLess(row['ratio'], MAX_RATIO, routers)

    def test_the_former_policy_is_uneven(self):
        """Guards against a replay in which any policy would pass."""
        for pattern in PATTERNS:
            row = Replay('least_time', pattern, ROUTERS).run().row()
            self.assertGreater(row['ratio'], MAX_RATIO, pattern)
            self.assertGreater(row['p99_wait'], MAX_P99_WAIT_SECONDS, pattern)


class _Entry:
    def __init__(self, name, domain):
        self.name = name
        self.failure_domain = domain


class ChoiceTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.service_load = ServiceLoad()
        self.service_time = ServiceTime(0.1)
        self.policy = choice_policies.get(EVEN_POLICY)(random.Random(1))
        self.candidates = []

    def add(self, name, domain='a', requests=0, slowdown=1.0, at=NOW):
        load = UpstreamLoad(SLOTS, self.service_time, self.service_load)
        if at is not None:
            running = min(SLOTS, requests)
            load.note_report(
                at, LoadReport(running, requests - running, SLOTS, slowdown)
            )
        self.candidates.append((_Entry(name, domain), load))
        return load

    def count(self, own_domain='a'):
        """Return how often each upstream is chosen."""
        return collections.Counter(
            self.policy.choose(
                self.candidates, NOW, own_domain, OBJECTIVE_SECONDS
            )[0].name
            for _ in range(CHOICES)
        )


class ChoiceTest(ChoiceTestCase):
    def test_equal_upstreams_get_equal_shares(self):
        """Guards against a favourite among equals."""
        for name in 'abcd':
            self.add(name)
        counts = self.count()
        self.assertLess(max(counts.values()), 1.3 * CHOICES / 4)

    def test_a_loaded_upstream_gets_less(self):
        """Guards against a choice that ignores fresh reports."""
        self.add('idle')
        self.add('busy', requests=SLOTS)
        self.assertLess(self.count()['busy'], 0.2 * CHOICES)

    def test_a_slow_upstream_gets_less(self):
        """Guards against equal shares for unequal speeds."""
        self.add('usual', requests=1)
        slow = self.add('slow', requests=1)
        for _ in range(20):
            slow.note_report(NOW, LoadReport(1, 0, SLOTS, 3.0))
        self.assertLess(self.count()['slow'], 0.2 * CHOICES)

    def test_down_and_closed_upstreams_are_not_chosen(self):
        """Guards against attempts that are certain to fail."""
        self.add('down').note_unreachable(NOW - 0.1)
        self.add('closed').note_retry_after(NOW + 0.5)
        self.assertIsNone(
            self.policy.choose(self.candidates, NOW, 'a', OBJECTIVE_SECONDS)
        )
        self.add('open', requests=SLOTS)
        self.assertEqual({'open': CHOICES}, self.count())

    def test_a_full_upstream_is_chosen_only_without_others(self):
        """Guards against refusals while others have room."""
        self.add('refused').note_full(NOW - 0.01)
        self.add('queue', requests=SLOTS * 6)
        self.assertEqual({'refused': CHOICES}, self.count())
        self.add('open', requests=SLOTS)
        self.assertEqual({'open': CHOICES}, self.count())

    def test_a_very_slow_upstream_is_not_chosen(self):
        """Guards against a choice that the admission refuses as too late."""
        slow = self.add('slow')
        for _ in range(20):
            slow.note_report(NOW, LoadReport(0, 0, SLOTS, 12.0))
        self.add('open', requests=SLOTS)
        self.assertEqual({'open': CHOICES}, self.count())

    def test_the_own_domain_is_preferred_at_equal_load(self):
        """Guards against needless bytes between failure domains."""
        for name in 'abcd':
            self.add(name, 'a' if name < 'c' else 'b', requests=1)
        counts = self.count()
        self.assertEqual(CHOICES, counts['a'] + counts['b'])

    def test_a_busier_own_domain_is_not_preferred(self):
        """Guards against overload in a domain with many routers."""
        for name in 'abcd':
            self.add(name, 'a' if name < 'c' else 'b', requests=2)
        self.add('e', 'a', requests=SLOTS)
        self.add('f', 'a', requests=SLOTS)
        counts = self.count()
        self.assertGreater(counts['c'] + counts['d'], 0.4 * CHOICES)

    def test_the_preference_ends_gradually(self):
        """Guards against all requests moving to and fro between domains."""
        self.assertEqual(1.0, own_domain_share(0.2, 0.5))
        self.assertEqual(1.0, own_domain_share(0.0, 0.0))
        self.assertEqual(0.0, own_domain_share(1.0, 0.5))
        self.assertEqual(1.0, own_domain_share(None, None))
        self.assertEqual(0.0, own_domain_share(0.1, None))
        middle = own_domain_share(0.5 * (1 + MAX_OWN_DOMAIN_LOAD) / 2, 0.5)
        self.assertGreater(middle, 0.2)
        self.assertLess(middle, 0.8)

    def test_no_candidates(self):
        """Guards against an exception if a service has no upstreams."""
        for name in choice_policies.names():
            policy = choice_policies.get(name)(random.Random(1))
            self.assertIsNone(policy.choose([], NOW, 'a', OBJECTIVE_SECONDS))

    def test_the_requests_without_reports_are_bounded(self):
        """Guards against sending on to an upstream that has gone silent.

        Its last report said that it was idle.
        """
        silent = self.add('silent', at=NOW - REPORT_LOSS_SECONDS - 0.1)
        for name in 'abc':
            self.add(name, requests=SLOTS)
        silent.in_flight = 1
        self.assertNotIn('silent', self.count())

    def test_free_upstreams_are_recognised(self):
        """Guards against wrong counts of refusals with room elsewhere."""
        idle = self.add('idle')
        busy = self.add('busy', requests=SLOTS)
        down = self.add('down')
        down.note_unreachable(NOW)
        found = [
            has_capacity(load, NOW, OBJECTIVE_SECONDS)
            for load in (idle, busy, down)
        ]
        self.assertEqual([True, False, False], found)


class EstimateTest(ChoiceTestCase):
    def test_an_old_report_gives_way_to_the_mean(self):
        """Guards against trusting a report of a second ago as a new one.

        The upstream with the oldest report of an idle moment would be the
        favourite of all routers.
        """
        old = self.add('old', requests=0, at=NOW - 2.0)
        for name in 'abc':
            self.add(name, requests=SLOTS)
        mean = 0.75 * SLOTS
        self.assertLess(old.balanced_backlog(NOW - 2.0), 0.01)
        self.assertGreater(old.balanced_backlog(NOW), 0.9 * mean)

    def test_an_old_report_of_a_full_upstream_gives_way_too(self):
        """Guards against avoiding an upstream long after its queue."""
        old = self.add('old', requests=4 * SLOTS, at=NOW - 3.0)
        for name in 'abcdefg':
            self.add(name, requests=0)
        self.assertLess(old.balanced_backlog(NOW), 0.7 * SLOTS)

    def test_an_upstream_without_reports_counts_as_usual(self):
        """Guards against preferring a new upstream over all others."""
        new = self.add('new', at=None)
        self.add('busy', requests=SLOTS)
        self.assertEqual(SLOTS, new.balanced_backlog(NOW))

    def test_own_requests_are_never_aged(self):
        """Guards against forgetting what this router itself has sent."""
        load = self.add('old', requests=0, at=NOW - 3.0)
        load.in_flight = 3
        self.assertEqual(3, load.balanced_backlog(NOW))

    def test_the_mean_forgets_upstreams_that_have_ended(self):
        """Guards against a mean of processes that no longer exist."""
        ended = self.add('ended', requests=4 * SLOTS)
        self.add('idle')
        self.assertGreater(self.service_load.usual_others(), 0.0)
        ended.forget_report()
        ended.forget_report()
        self.assertEqual(0.0, self.service_load.usual_others())

    def test_a_replaced_process_no_longer_counts(self):
        """Guards against late responses that stay in the mean for good."""
        old = self.add('old')
        old.leave_service()
        old.note_report(NOW, LoadReport(SLOTS, SLOTS, SLOTS))
        self.assertEqual(0.0, self.service_load.usual_others())

    def test_the_admission_keeps_its_own_estimate(self):
        """Guards against refusals for keys because other owners are busy."""
        owner = self.add('owner', at=None)
        self.add('busy', requests=8 * SLOTS)
        self.assertEqual(0.0, owner.backlog(NOW))


class OddReportTest(ChoiceTestCase):
    def _note(self, *values):
        self.load = self.add('odd', at=None)
        return self.load.note_report(NOW, LoadReport(*values))

    def test_a_usual_report_is_plausible(self):
        """Guards against counting a long queue as an odd report."""
        self.assertTrue(self._note(SLOTS, 6 * SLOTS, SLOTS, 12.0))

    def test_a_huge_queue_is_reduced(self):
        """Guards against one report that moves the mean of the service."""
        self.assertFalse(self._note(SLOTS, 1_000_000, SLOTS))
        self.assertEqual(
            MAX_REPORTED_PER_SLOT, self.service_load.usual_others()
        )

    def test_more_running_than_slots_is_odd(self):
        """Guards against a report that contradicts itself unnoticed."""
        self.assertFalse(self._note(SLOTS + 1, 0, SLOTS))

    def test_huge_slots_are_reduced(self):
        """Guards against an upstream that attracts all requests."""
        self.assertFalse(self._note(0, 0, 1_000_000))
        self.assertEqual(MAX_SLOTS_FACTOR * SLOTS, self.load.slots)

    def test_an_odd_speed_is_reduced(self):
        """Guards against an upstream that claims to need no time."""
        self.assertFalse(self._note(0, 0, SLOTS, 0.0001))
        self.assertGreater(self.load.slowdown(NOW), 0.05)
        for _ in range(200):
            self.load.note_report(NOW, LoadReport(0, 0, SLOTS, 0.0001))
        for name in 'abc':
            self.add(name)
        self.assertLess(self.count()['odd'], 0.9 * CHOICES)
