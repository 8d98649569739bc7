"""Tests of the copy of a store prefix, on a manual clock."""

import random

import testtools

from bramleysill_gateway.prefix_watch import FIRST_WATCH_DELAY_SECONDS
from bramleysill_gateway.prefix_watch import PrefixWatch
from bramleysill_kernel.common.store_types import StoreOutcome
from bramleysill_kernel.common.store_types import StoreReply
from tests.bounds import make_timings
from tests.store_fakes import NO_REPLY
from tests.store_fakes import ManualLoop
from tests.store_fakes import ScriptedStore
from tests.store_fakes import make_item
from tests.store_fakes import make_reply

TIMINGS = make_timings()


class PrefixWatchTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = ManualLoop()
        self.store = ScriptedStore()
        self.changes = []
        self.recoveries = 0
        self.watch = PrefixWatch(
            self.loop,
            random.Random(1),
            TIMINGS,
            self.store,
            'p/',
            lambda item: self.changes.append((item.key, item.value)),
            self._on_recovered,
        )
        self.watch.start()
        self.store.reply_to_list(make_reply(5, make_item('p/a', 3)))
        self.loop.advance(FIRST_WATCH_DELAY_SECONDS)

    def _on_recovered(self):
        self.recoveries += 1

    def test_watch_starts_at_the_listing(self):
        """Guards against a lost change between the listing and the watch."""
        self.assertEqual(5, self.store.watches[0][0])
        self.store.reply_to_watch(make_reply(7, make_item('p/a', 7, b'y')))
        self.assertEqual([('p/a', b'x'), ('p/a', b'y')], self.changes)

    def test_older_event_is_ignored(self):
        """Guards against a value that reverts after a listing."""
        self.store.reply_to_watch(make_reply(6, make_item('p/a', 2, b'old')))
        self.assertEqual([('p/a', b'x')], self.changes)

    def test_compacted_history_causes_a_new_listing(self):
        """Guards against keeping keys that were removed in between."""
        self.store.reply_to_watch(StoreReply(StoreOutcome.HISTORY_GONE))
        self.store.reply_to_list(make_reply(9, make_item('p/b', 8)))
        self.assertEqual(['p/b'], list(self.watch.items))
        self.assertIn(('p/a', None), self.changes)

    def test_feed_after_start_prevents_a_watch(self):
        """Simulates a restart while another router leads.

        Guards against a dozen store calls for each router in a rolling restart
        of 79 routers.
        """
        self.store.watches.clear()
        self.watch.start()
        self.store.reply_to_list(make_reply(8, make_item('p/a', 3)))
        self.watch.apply_feed(6, 8, [])
        self.loop.advance(FIRST_WATCH_DELAY_SECONDS)
        self.assertEqual([], self.store.watches)

    def test_feeds_replace_the_watch(self):
        """Guards against store calls by every router."""
        self.watch.apply_feed(5, 6, [make_item('p/b', 6)])
        self.assertEqual([], self.store.watches)
        self.assertIn(('p/b', b'x'), self.changes)
        for _ in range(20):
            self.loop.advance(TIMINGS.feed_validity / 2)
            self.watch.apply_feed(6, 6, [])
        self.assertEqual([], self.store.watches)

    def test_a_new_leader_watches_at_once(self):
        """Guards against feeds that end for all routers after an election.

        The leader must know what changes before the feeds of the former one
        are too old for the others.
        """
        self.watch.apply_feed(5, 6, [])
        self.loop.advance(TIMINGS.feed_validity / 3)
        self.watch.end_feed()
        revision, wait, _ = self.store.watches[0]
        self.assertEqual((6, 0.0), (revision, wait))

    def test_watch_starts_when_feeds_end(self):
        """Guards against a router with neither feeds nor a watch."""
        self.watch.apply_feed(5, 6, [])
        self.loop.advance(TIMINGS.feed_validity + 0.01)
        revision, wait, _ = self.store.watches[0]
        self.assertEqual((6, 0.0), (revision, wait))

    def test_watch_wait_is_bounded(self):
        """Simulates a store that never replies to a watch.

        Guards against a router that waits for the reply long after the outage
        and misses a configuration.
        """
        _, wait, _ = self.store.watches[0]
        self.assertLess(wait, 2.0)

    def test_gap_in_the_feed_is_fetched_at_once(self):
        """Guards against missing the change in a lost feed."""
        self.watch.apply_feed(5, 6, [])
        self.watch.apply_feed(8, 9, [make_item('p/c', 9)])
        self.assertNotIn(('p/c', b'x'), self.changes)
        revision, wait, _ = self.store.watches[0]
        self.assertEqual((6, 0.0), (revision, wait))

    def test_failed_watch_is_not_up_to_date(self):
        """Simulates a leader whose watch got no reply after an outage.

        Guards against telling the other routers that nothing has changed.
        They once missed a configuration for more than two seconds.
        """
        self.assertTrue(self.watch.up_to_date)
        self.store.reply_to_watch(NO_REPLY)
        self.assertFalse(self.watch.up_to_date)
        self.loop.advance(1.0)
        self.assertFalse(self.watch.up_to_date)
        self.store.reply_to_watch(make_reply(5))
        self.assertTrue(self.watch.up_to_date)

    def test_first_watch_after_a_failure_does_not_wait(self):
        """Guards against an outage that seems to last until a key changes."""
        self.store.reply_to_watch(NO_REPLY)
        self.loop.advance(1.0)
        self.store.reply_to_watch(NO_REPLY)
        self.assertFalse(self.watch.reachable)
        self.loop.advance(1.0)
        self.assertEqual(0.0, self.store.watches[0][1])
        self.store.reply_to_watch(make_reply(5))
        self.assertTrue(self.watch.reachable)
        self.assertEqual(2, self.recoveries)
        self.assertEqual(TIMINGS.watch_timeout, self.store.watches[0][1])
