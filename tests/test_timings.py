"""Tests of the durations derived from the platform's bounds."""

import random

import testtools

from bramleysill_kernel.config.timings import CHANGE_LOOKUP_SECONDS
from bramleysill_kernel.config.timings import TAKEOVER_MARGIN_SECONDS
from tests.bounds import make_bounds
from tests.bounds import make_timings
from tests.range_fakes import FakeCell


class TimingsTest(testtools.TestCase):
    def test_holds_stay_within_the_longest_one(self):
        """Guards against grants longer than the platform accepts."""
        timings = make_timings(longest_hold=2.0)
        self.assertEqual(2.0, timings.hold)
        self.assertEqual(2.0, timings.outage_hold)
        self.assertLess(timings.renew_interval * 3, timings.hold)

    def test_a_hold_outlives_the_lease_of_the_leader(self):
        """Guards against holds that expire at each change of leader."""
        timings = make_timings(min_lease_seconds=4.0)
        self.assertEqual(4.0, timings.leader_lease)
        self.assertEqual(4.0 + TAKEOVER_MARGIN_SECONDS, timings.hold)
        self.assertGreaterEqual(timings.outage_hold, timings.hold)

    def test_a_leaving_owner_is_used_for_less_than_the_bound(self):
        """The leader is lost just before an upstream drains.

        Guards against requests to the drained upstream (DRAIN on
        hhcr-gate-grown trouble-1): the last feed is trusted, then the store
        is called, and the owner may still be used for a short time.
        """
        bounds = ((2.0, 5.0, 2.0), (1.2, 5.0, 1.3), (2.5, 0.8, 2.5))
        for drain, evacuation, apply in bounds:
            timings = make_timings(
                drain=drain, evacuation=evacuation, config_apply=apply
            )
            seconds_to_learn = timings.feed_validity + CHANGE_LOOKUP_SECONDS
            with self.subTest(drain=drain, evacuation=evacuation):
                self.assertLessEqual(
                    seconds_to_learn + timings.leaving_grace,
                    min(drain, evacuation),
                )
                self.assertGreater(timings.leaving_grace, 0.0)

    def test_a_change_is_seen_in_time_after_the_last_feed(self):
        """Guards against applying a configuration later than allowed."""
        timings = make_timings(config_apply=0.8)
        self.assertLessEqual(
            timings.feed_validity + timings.batch_delay, 0.8 * 0.6
        )
        self.assertLessEqual(timings.feed_interval * 2, timings.feed_validity)

    def test_an_unanswered_watch_times_out_before_the_bounds_hold(self):
        """Guards against waiting for a watch seconds after an outage."""
        self.assertLess(make_timings(undisturbed=1.0).watch_timeout, 1.0)

    def test_changed_bounds_are_taken_over(self):
        """Guards against a reload that leaves the durations unchanged."""
        timings = make_timings()
        timings.update(make_bounds(longest_hold=1.5), 1.0)
        self.assertEqual(1.5, timings.hold)


class ShortHoldTest(testtools.TestCase):
    def test_keys_are_served_with_short_holds(self):
        """The platform's longest hold is below the default.

        Guards against grants that upstreams refuse because they are too
        long, after which no key has an owner.
        """
        timings = make_timings(longest_hold=1.5)
        cell = FakeCell(random.Random(1), timings=timings)
        cell.longest_hold = 1.5
        cell.elect()
        cell.run(4.0)
        cell.run(
            5.0,
            lambda c: self.assertTrue(
                all(c.holders(key) for key in range(0, 65536, 4096))
            ),
        )
