"""Tests of feeds from the leader to the other routers."""

import json
import math
import random
import types

import testtools

from bramleysill_gateway.prefix_watch import COPY_WAIT_SECONDS
from bramleysill_gateway.prefix_watch import FIRST_WATCH_DELAY_SECONDS
from bramleysill_gateway.prefix_watch import PrefixWatch
from bramleysill_gateway.store_feed import StoreFeeder
from bramleysill_kernel.common import messages
from bramleysill_kernel.common.store_types import StoredItem
from bramleysill_kernel.common.store_types import StoreOutcome
from bramleysill_kernel.common.store_types import StoreReply
from bramleysill_kernel.config.timings import CHANGE_LOOKUP_SECONDS
from tests.bounds import make_bounds
from tests.bounds import make_timings
from tests.store_fakes import ManualLoop
from tests.store_fakes import ScriptedStore
from tests.store_fakes import make_item
from tests.store_fakes import make_reply

TIMINGS = make_timings()
STEP_SECONDS = 0.01
TICK_STEPS = round(TIMINGS.feed_interval / STEP_SECONDS)
# Feed intervals between two renewals of the leader's lease.
PROOF_STEPS = round(TIMINGS.leader_renewal / TIMINGS.feed_interval)


class _State:
    """The watches of one router; tests use only the first."""

    def __init__(self, loop, store):
        self.changes = []
        watches = [
            PrefixWatch(
                loop,
                random.Random(1),
                TIMINGS,
                store,
                prefix,
                self.changes.append,
                lambda: None,
            )
            for prefix in ('operator/', 'upstreams/', 'own/')
        ]
        self.operator_watch, self.upstream_watch, self.own_watch = watches
        self.store_era = 1
        self.was_restored = False

    def note_store_era(self, era):
        if era > self.store_era:
            self.store_era = era
            self.operator_watch.restart()


class _Leader:
    def __init__(self, loop, leading):
        self._loop = loop
        self.leadership = self
        self.leading = leading
        self.renewal_age = 0.0

    def is_valid(self):
        return self.leading

    @property
    def last_renewal_sent_at(self):
        return self._loop.now() - self.renewal_age

    def current_leader(self):
        return 'leader', '10.0.0.1:7000'


class _Links:
    """Delivers the leader's messages, unless `lost` is set."""

    def __init__(self):
        self.receiver = None
        self.lost = False
        self.connected = False
        self.requests = []

    def open_links(self):
        return [self.receiver]

    def broadcast(self, message, packed=False):
        if not self.lost:
            self.receiver.on_feed(message)

    def send(self, router, message):
        if not self.connected:
            return False
        self.requests.append(message)
        return True


class _FeedCase(testtools.TestCase):
    """A leader that sends feeds to one other router."""

    asks_for_copies = False

    def setUp(self):
        super().setUp()
        self.loop = ManualLoop()
        self.links = _Links()
        self.store, self.leader, state, self.feeder = self._router(True)
        self.watch = state.operator_watch
        self.receiver_store, _, self.receiver_state, receiver = self._router(
            False
        )
        self.links.receiver = receiver
        self._start(self.watch, self.store)
        self.feeder.tick()
        self._start(self.receiver_state.operator_watch, self.receiver_store)
        self.feeder.tick()

    def _router(self, leading):
        store = ScriptedStore()
        state = _State(self.loop, store)
        leader = _Leader(self.loop, leading)
        name = 'leader' if leading else 'other'
        feeder = StoreFeeder(
            self.loop, TIMINGS, name, self.links, state, leader
        )
        if not self.asks_for_copies:
            state.operator_watch.request_copy = lambda: False
        return store, leader, state, feeder

    def _start(self, watch, store):
        watch.start()
        store.reply_to_list(make_reply(5, make_item('operator/a', 3)))
        self.loop.advance(FIRST_WATCH_DELAY_SECONDS)


class StoreCopyTest(_FeedCase):
    """Routers that start beside a leader, some hundred at once."""

    def setUp(self):
        super().setUp()
        self.links.connected = True
        value = json.dumps([[i, i * i] for i in range(700)]).encode()
        self.store.reply_to_watch(
            make_reply(9, make_item('operator/t', 9, value))
        )
        self.asks_for_copies = True
        self.started = self._router(False)
        self.started_watch = self.started[2].operator_watch
        self.started[2].own_watch.listed = True

    def _answer_requests(self):
        receiver = types.SimpleNamespace(send=self.started[3].on_copy)
        for request in self.links.requests:
            self.feeder.on_feed_request(receiver, request)
        self.links.requests.clear()

    def test_a_router_starts_with_the_copy_of_the_leader(self):
        """Guards against a dozen listings by each router that starts.

        On hhcr-gate-large quiet-1 the start of 195 routers was most of 2,410
        calls to the store.
        """
        store, _, _, feeder = self.started
        self.started_watch.start()
        self._answer_requests()
        self.assertEqual(
            self.watch.items.keys(), self.started_watch.items.keys()
        )
        self.assertEqual(9, self.started_watch.revision)
        self.assertIsNone(store.reply_to_list)
        self.links.receiver = feeder
        self.feeder.tick()
        self.loop.advance(FIRST_WATCH_DELAY_SECONDS)
        self.assertEqual([], store.watches)

    def test_without_a_copy_the_prefix_is_listed(self):
        """Guards against a router that waits for a leader for ever."""
        store = self.started[0]
        self.started_watch.start()
        self.loop.advance(COPY_WAIT_SECONDS + 0.2)
        store.reply_to_list(make_reply(5, make_item('operator/a', 3)))
        self.assertTrue(self.started_watch.synced)
        self._answer_requests()
        self.assertEqual(5, self.started_watch.revision)

    def test_the_leader_lists_the_prefix_itself(self):
        """Guards against a leader that waits for its own copy."""
        store, leader, state, _ = self._router(True)
        state.operator_watch.start()
        self.assertIsNotNone(store.reply_to_list)

    def test_a_copy_of_another_router_is_ignored(self):
        """Guards against the copy of a router that does not lead."""
        self.started_watch.start()
        (request,) = self.links.requests
        copies = []
        sender = types.SimpleNamespace(send=copies.append)
        self.feeder.on_feed_request(sender, request)
        copies[0].router = 'other'
        self.started[3].on_copy(copies[0])
        self.assertFalse(self.started_watch.listed)

    def test_a_copy_is_made_once(self):
        """Guards against a leader whose loop stops while all start."""
        self.started_watch.start()
        request = self.links.requests[0]
        copies = []
        sender = types.SimpleNamespace(send=copies.append)
        for _ in range(5):
            self.feeder.on_feed_request(sender, request)
        self.assertEqual(1, len({id(copy) for copy in copies}))


class _SizedLinks(_Links):
    """Records the number of bytes of values in the feeds."""

    def __init__(self):
        super().__init__()
        self.value_bytes = 0

    def broadcast(self, message, packed=False):
        self.value_bytes += sum(len(item.value) for item in message.items)
        super().broadcast(message)


class FeedDeltaTest(_FeedCase):
    def setUp(self):
        super().setUp()
        self.sized = self.feeder._links = _SizedLinks()
        self.sized.receiver = self.links.receiver
        self._write(9, 0)

    def _write(self, revision, number):
        rows = [[i, i * i, 'owner'] for i in range(700)]
        rows[number] = [number, -1, 'other']
        value = json.dumps(rows).encode()
        self.store.reply_to_watch(
            make_reply(revision, make_item('operator/t', revision, value))
        )
        self.loop.advance(TIMINGS.batch_delay)
        return value

    def _received(self):
        return self.receiver_state.operator_watch.items['operator/t'].value

    def test_a_change_is_sent_as_a_delta(self):
        """Guards against a leader whose link is full of whole tables."""
        self.sized.value_bytes = 0
        for number in range(1, 6):
            value = self._write(9 + number, number)
            self.assertEqual(value, self._received())
        self.assertLess(self.sized.value_bytes, len(value) / 10)
        self.assertEqual([], self.receiver_store.watches)

    def test_a_router_without_the_value_before_asks_for_all(self):
        """Guards against a table that is put together of two others."""
        self.sized.lost = True
        self._write(10, 1)
        self.sized.lost = False
        self.links.connected = True
        value = self._write(11, 2)
        self.assertNotEqual(value, self._received())
        (request,) = self.links.requests
        sender = types.SimpleNamespace(send=self.links.receiver.on_feed)
        self.feeder.on_feed_request(sender, request)
        self.assertEqual(value, self._received())

    def test_a_value_that_is_known_already_is_no_gap(self):
        """Guards against a request by each router that has just listed."""
        watch = self.receiver_state.operator_watch
        value = json.dumps([[1, 2]] * 700).encode()
        watch.apply_feed(9, 12, [make_item('operator/t', 12, value)])
        self._write(11, 2)
        self.assertEqual(value, self._received())
        self.assertEqual([], self.links.requests)


class StoreFeedTest(_FeedCase):
    def test_replies_without_changes_are_no_gap(self):
        """Simulates a rising store revision without changes of the prefix.

        Guards against a store call by every router for each reply that the
        leader gets.
        """
        for revision in range(6, 30):
            self.store.reply_to_watch(make_reply(revision))
            self.loop.advance(TIMINGS.feed_interval)
            self.feeder.tick()
        self.assertEqual([], self.receiver_store.watches)
        self.assertEqual(29, self.receiver_state.operator_watch.revision)

    def test_changes_after_empty_replies_are_applied(self):
        """Guards against a change that is taken for a gap."""
        self.store.reply_to_watch(make_reply(8))
        self.store.reply_to_watch(make_reply(9, make_item('operator/b', 9)))
        self.assertIn('operator/b', self.receiver_state.operator_watch.items)
        self.assertEqual([], self.receiver_store.watches)

    def test_lost_feed_is_a_gap(self):
        """Guards against a lost change that is never fetched."""
        self.links.lost = True
        self.store.reply_to_watch(make_reply(9, make_item('operator/b', 9)))
        self.links.lost = False
        self.feeder.tick()
        self.assertEqual((5, 0.0), self.receiver_store.watches[0][:2])

    def test_skipped_feed_is_a_gap(self):
        """Simulates a leader whose lease renewal was late.

        Guards against a change that was not sent and is never fetched.
        """
        self.leader.renewal_age = 10.0
        self.store.reply_to_watch(make_reply(9, make_item('operator/b', 9)))
        self.leader.renewal_age = 0.0
        self.feeder.tick()
        self.assertEqual((5, 0.0), self.receiver_store.watches[0][:2])

    def test_new_listing_is_a_gap(self):
        """Guards against keys removed between two listings."""
        self.watch.start()
        self.store.reply_to_list(make_reply(12, make_item('operator/c', 11)))
        self.feeder.tick()
        self.assertEqual((5, 0.0), self.receiver_store.watches[0][:2])

    def test_overloaded_leader_sends_no_feed(self):
        """Simulates a leader whose event loop is blocked for a second.

        Guards against routers that learn seconds late of a draining upstream,
        because the leader told them that nothing had changed.
        """
        self.loop.advance(1.0)
        self.feeder.tick()
        self.assertEqual((5, 0.0), self.receiver_store.watches[0][:2])


class FeedAgeTest(_FeedCase):
    """A leader that is cut off from the store, and goes on feeding.

    Guards against routers that use an upstream for seconds after the store
    has confirmed that it drains (DRAIN, case 4 of the review).
    """

    def setUp(self):
        super().setUp()
        self.store.reply_to_watch(make_reply(6))
        self.feeder.tick()

    def _cut_off_leader(self):
        self.cut_off_at = self.loop.now()

    def _seconds_until_store_is_called(self):
        """Return how long the other router relies on feeds."""
        for step in range(1000):
            if self.receiver_store.watches:
                return self.loop.now() - self.cut_off_at
            self.leader.renewal_age = self.loop.now() - self.cut_off_at
            if step % TICK_STEPS == 0:
                self.feeder.tick()
            self.loop.advance(STEP_SECONDS)
        return None

    def test_a_leaving_owner_is_used_for_less_than_the_bound(self):
        """An upstream drains just after the leader was cut off."""
        self._cut_off_leader()
        learnt_after = self._seconds_until_store_is_called()
        self.assertLessEqual(
            learnt_after + CHANGE_LOOKUP_SECONDS + TIMINGS.leaving_grace,
            make_bounds().drain + STEP_SECONDS,
        )

    def test_a_late_feed_extends_nothing(self):
        """A feed may be as old as the leader's last contact."""
        self.leader.renewal_age = TIMINGS.feed_validity - 0.01
        self.loop.advance(TIMINGS.feed_interval)
        self.feeder.tick()
        self.loop.advance(TIMINGS.feed_validity - TIMINGS.feed_interval)
        self.assertEqual(1, len(self.receiver_store.watches))

    def test_a_renewal_without_a_pending_watch_proves_nothing(self):
        """Guards against a feed of a leader whose watch was not answered."""
        self.store.watches.clear()
        self.watch._cancel_watch = None
        self._cut_off_leader()
        for _ in range(20):
            # The renewals succeed all the time.
            self.feeder.tick()
            self.loop.advance(TIMINGS.feed_interval)
        self.assertEqual(1, len(self.receiver_store.watches))

    def test_a_new_leader_knows_no_more_than_the_last_feed(self):
        """Guards against feeds of a leader that has not read the store yet.

        Its lease is new, but its watch has had no reply.
        """
        other = self.receiver_state.operator_watch
        self.loop.advance(TIMINGS.feed_validity / 2)
        other.end_feed()
        self.assertEqual(1, len(self.receiver_store.watches))
        elected_at = self.loop.now()
        self.assertLess(other.known_until(elected_at), elected_at)
        self.receiver_store.reply_to_watch(make_reply(7))
        self.assertEqual(elected_at, other.known_until(elected_at))

    def test_a_watch_after_a_listing_proves_what_a_renewal_does(self):
        """Guards against a leader that can't feed until its first watch ends.

        After a restore of the store it lists all keys anew.
        """
        self.watch.restart()
        self.store.reply_to_list(make_reply(12, make_item('operator/a', 3)))
        self.loop.advance(FIRST_WATCH_DELAY_SECONDS + 0.1)
        now = self.loop.now()
        self.assertEqual(now, self.watch.known_until(now))

    def test_a_lost_history_proves_nothing(self):
        """Guards against feeds before the keys were listed again."""
        known_until = self.watch.known_until(self.loop.now())
        self.loop.advance(0.5)
        self.store.reply_to_watch(StoreReply(StoreOutcome.HISTORY_GONE))
        now = self.loop.now()
        self.assertEqual(known_until, self.watch.known_until(now))
        self.loop.advance(0.2)
        self.store.reply_to_list(make_reply(12, make_item('operator/a', 3)))
        self.assertEqual(now, self.watch.known_until(self.loop.now()))

    def test_steady_feeds_keep_other_routers_from_the_store(self):
        """Guards against store calls by all routers between two renewals."""
        for step in range(200):
            proof = step % PROOF_STEPS
            self.leader.renewal_age = proof * TIMINGS.feed_interval + 0.06
            self.feeder.tick()
            self.loop.advance(TIMINGS.feed_interval)
        self.assertEqual([], self.receiver_store.watches)

    def test_a_malformed_age_gives_no_trust(self):
        """Guards against a feed that is trusted for ever."""
        for age in (math.nan, -1.0, -math.inf):
            self.links.receiver.on_feed(
                messages.StoreFeed('leader', 'operator/', 6, 6, 1, age)
            )
        self.loop.advance(TIMINGS.feed_validity)
        self.assertEqual(1, len(self.receiver_store.watches))


class RestoredStoreTest(_FeedCase):
    """The store comes back from an older copy; the leader knows it first."""

    def setUp(self):
        super().setUp()
        self.leader_state = self.feeder._state
        self.leader_state.note_store_era(2)
        self.store.reply_to_list(make_reply(4, make_item('operator/a', 4)))
        self.loop.advance(FIRST_WATCH_DELAY_SECONDS)

    def test_a_feed_tells_of_the_new_era(self):
        """Guards against revisions of two pasts that are compared."""
        self.feeder.tick()
        self.assertEqual(2, self.receiver_state.store_era)
        self.assertFalse(self.receiver_state.operator_watch.listed)

    def test_a_feed_of_the_former_era_is_ignored(self):
        """Guards against items that a late feed brings back."""
        self.receiver_state.note_store_era(3)
        self.receiver_store.reply_to_list(make_reply(4))
        self.store.reply_to_watch(make_reply(9, make_item('operator/b', 9)))
        self.assertEqual({}, self.receiver_state.operator_watch.items)

    def test_changes_of_the_new_era_are_applied(self):
        """Guards against a lower revision that is taken for an old one."""
        self.feeder.tick()
        self.receiver_store.reply_to_list(
            make_reply(4, make_item('operator/a', 4))
        )
        item = make_item('operator/a', 5, b'new')
        self.store.reply_to_watch(make_reply(5, item))
        self.feeder.tick()
        items = self.receiver_state.operator_watch.items
        self.assertEqual(b'new', items['operator/a'].value)


class FeedGapTest(_FeedCase):
    def setUp(self):
        super().setUp()
        self.links.connected = True
        self.links.lost = True
        self.store.reply_to_watch(make_reply(9, make_item('operator/b', 9)))
        self.loop.advance(TIMINGS.batch_delay)
        removed = StoredItem('operator/a', None, 11)
        self.store.reply_to_watch(make_reply(11, removed))
        self.links.lost = False
        self.feeder.tick()

    def _reply_to_request(self):
        replies = []
        link = types.SimpleNamespace(send=replies.append)
        self.feeder.on_feed_request(link, self.links.requests[-1])
        for reply in replies:
            self.links.receiver.on_feed(reply)
        return replies

    def test_leader_closes_a_gap(self):
        """Simulates a router that the store refuses while the leader changes.

        Such a router got no changes for seven seconds and used a table and a
        configuration that were out of date.
        """
        self._reply_to_request()
        self.assertEqual(
            ['operator/b'], list(self.receiver_state.operator_watch.items)
        )
        self.assertEqual(11, self.receiver_state.operator_watch.revision)
        self.assertEqual([], self.receiver_store.watches)
        self.feeder.tick()
        self.assertEqual([], self.receiver_store.watches)

    def test_store_is_called_if_the_leader_does_not_reply(self):
        """Guards against a gap that is never closed."""
        self.loop.advance(TIMINGS.feed_interval)
        self.feeder.tick()
        self.assertEqual((5, 0.0), self.receiver_store.watches[0][:2])

    def test_leader_does_not_reply_after_a_new_listing(self):
        """Guards against a removed key that a router keeps forever."""
        self.watch.start()
        self.store.reply_to_list(make_reply(20))
        self.assertEqual([], self._reply_to_request())
