"""Replicates all keys below a prefix of the store.

The copy starts with the leader's or with a listing, and is updated by a watch.
If the store has compacted its history past the last change seen, the keys are
listed again.

While the leader sends feeds of its own copy, this router does not watch the
store. Each feed names the range of revisions that it covers, so that a gap is
detected and closed with one call to the leader or the store.

A store that was restored from an older copy of itself gives out revisions
again, so that they can't be compared with those of before. The copy is then
read anew, and its items replace the known ones whatever their revision.
"""

import math

from bramleysill_gateway.prefix_items import PrefixItems
from bramleysill_gateway.watch_retry import WatchRetry
from bramleysill_kernel.common.store_types import StoreOutcome
from bramleysill_kernel.discovery.freshness import CLOCK_RATE_TOLERANCE
from bramleysill_kernel.discovery.freshness import Freshness
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning

# Delay between a listing and the first watch. If the leader's feed arrives
# meanwhile, a router that starts does not need to watch the store.
FIRST_WATCH_DELAY_SECONDS = 0.3
# The leader replies within milliseconds; after this time the store is called.
LEADER_REPLY_TIMEOUT_SECONDS = 0.25
# A router that starts asks the leader for its copy for this time before it
# lists the keys itself, and this often. A leader is elected within a second.
COPY_WAIT_SECONDS = 1.5
COPY_REQUEST_INTERVAL_SECONDS = 0.1


class PrefixWatch:
    """The copy of one prefix; `items` maps its keys to StoredItem.

    `on_change(item)` gets each change; the value of a removed key is None.
    `on_recovered()` is called at the first reply after an outage, before the
    reply is used.
    """

    def __init__(
        self, loop, rng, timings, store, prefix, on_change, on_recovered
    ):
        # Whether all keys were listed at least once, and in this era.
        self.synced = False
        self.listed = False
        self.reachable = False
        # How recent the copy is, by replies of the store and of the leader.
        # Revocation and quotas rely on it; `_complete_until` only decides
        # whether feeds are sent and trusted.
        self.freshness = Freshness(loop)
        self._copy = PrefixItems(on_change)
        # Returns the longest wait of a watch in seconds; a reply to a shorter
        # one proves sooner that nothing has changed.
        self.longest_wait = lambda: math.inf
        self._loop = loop
        self._timings = timings
        self._store = store
        self.prefix = prefix
        self._on_recovered = on_recovered
        self._revision = 0
        self._listing = {}
        self._listing_revision = 0
        self._stopped = False
        self._feed_valid_until = 0.0
        self._cancel_watch = None
        self._watch_timer = None
        self._feed_received = False
        # When the store last replied to a watch or a listing began, or the
        # time up to which the last feed was complete.
        self._complete_until = 0.0
        # Whether that was read from the store and not from a feed.
        self._follows_store = False
        self._retry = WatchRetry(loop, rng)
        # Rises with each restart; replies to earlier calls are ignored.
        self._generation = 0
        # Returns whether another watch retries often during an outage.
        self.another_watch_retries = lambda: False
        # Called with (base, revision, items) after each reply to a watch.
        self.on_batch = None
        # Requests missed changes from the leader; returns whether the request
        # was sent.
        self.request_from_leader = lambda: False
        # Requests the leader's copy; returns False if this router must list
        # the keys itself.
        self.request_copy = lambda: False
        self._copy_wait_until = 0.0
        # When the store is called instead; 0.0 if no request is pending.
        self._leader_reply_deadline = 0.0

    @property
    def items(self):
        """Return the newest StoredItem of each key."""
        return self._copy.by_key

    @property
    def last_change(self):
        """Return the revision of the last change that is known."""
        return self._copy.last_change

    @property
    def revision(self):
        """Return the revision up to which all changes were applied."""
        return self._revision

    @property
    def up_to_date(self):
        """Return whether the copy is complete and the last call succeeded.

        Otherwise this router must not tell others that nothing has changed.
        """
        return self.listed and self.reachable and not self._retry.failures

    def known_until(self, reached_at):
        """Return the time up to which all changes are known.

        `reached_at` is when a call was sent to which the store has replied; a
        watch that was pending then would have told of a change before it.
        """
        if self._cancel_watch is not None and self._follows_store:
            return reached_at
        return min(reached_at, self._complete_until)

    def apply_feed(self, base, revision, items, age=0.0):
        """Apply changes that the leader has read from the store.

        `age` is the age of the leader's knowledge in seconds, as in StoreFeed.
        """
        if not self.listed:
            return
        if base > self._revision:
            self._fetch_missed()
            return
        for item in items:
            if item.revision > self._revision:
                self._copy.apply(item)
        self._revision = max(self._revision, revision)
        self._leader_reply_deadline = 0.0
        now = self._loop.now()
        known_until = now - age * (1 + CLOCK_RATE_TOLERANCE)
        self._feed_valid_until = max(
            self._feed_valid_until, known_until + self._timings.feed_validity
        )
        if now >= self._feed_valid_until:
            return
        self._complete_until = max(self._complete_until, known_until)
        self._follows_store = False
        self._feed_received = True
        if self._cancel_watch is not None:
            self._cancel_watch()

    def previous_of(self, item):
        """Return the item that this one has replaced, or None if unknown."""
        return self._copy.previous_of(item)

    def apply_item(self, item):
        """Apply an item that another router knows of."""
        if self.listed:
            self._copy.apply(item)

    def end_feed(self):
        """Watch the store now instead of when the last feed is too old."""
        self._feed_valid_until = 0.0
        if self._watch_timer is not None:
            self._watch_timer.cancel()
            self._watch_timer = None
            self._call_watch(0.0)

    def fetch_missed(self):
        """Read the changes that a feed did not include."""
        if self.listed:
            self._fetch_missed()

    def changes_since(self, revision):
        """Return the changes after a revision, None if some are unknown."""
        if not self.listed:
            return None
        return self._copy.changes_since(revision)

    def start(self):
        """Start with the leader's copy or with a listing of the prefix."""
        self._copy_wait_until = self._loop.now() + COPY_WAIT_SECONDS
        self._ask_for_copy()

    def apply_copy(self, revision, items):
        """Start with the items that the leader has at a revision."""
        if self.listed or self._stopped:
            return
        self._listing = {item.key: item for item in items}
        self._listing_revision = revision
        self._finish_listing(revision)

    def _ask_for_copy(self):
        now = self._loop.now()
        if now >= self._copy_wait_until or not self.request_copy():
            self._list('')
            return

        def ask_again():
            if not self.listed and not self._stopped:
                self._ask_for_copy()

        self._call_after(COPY_REQUEST_INTERVAL_SECONDS, ask_again)

    def restart(self):
        """Read all keys anew: the store was restored from an older copy."""
        self._generation += 1
        self.listed = False
        self._revision = 0
        self._copy.start_era()
        self._retry.failures = 0
        self._feed_valid_until = 0.0
        self._feed_received = False
        self._complete_until = 0.0
        self._follows_store = False
        self._leader_reply_deadline = 0.0
        self._cancel_timers()
        cancel_watch, self._cancel_watch = self._cancel_watch, None
        if cancel_watch is not None:
            cancel_watch()
        self._list('')

    def _cancel_timers(self):
        self._retry.cancel()
        if self._watch_timer is not None:
            self._watch_timer.cancel()
            self._watch_timer = None

    def _if_current(self, action):
        """Return a callback that does nothing after a restart."""
        generation = self._generation

        def call(*args):
            if generation == self._generation:
                action(*args)

        return call

    def stop(self):
        """Cancel the watch and send no more calls."""
        self._stopped = True
        if self._cancel_watch is not None:
            self._cancel_watch()

    def _list(self, after, sent_at=None):
        """Read a page; `sent_at` is when the first one was asked for."""
        if self._stopped:
            return
        if not after:
            self._listing = {}
            self._listing_revision = 0
            sent_at = self._loop.now()

        def on_page(reply):
            self._on_page(sent_at, reply)

        self._store.list(self.prefix, after, self._if_current(on_page))

    def _on_page(self, sent_at, reply):
        if not reply.ok:
            self._failed(reply, lambda: self._list(''))
            return
        self._note_reply()
        # The pages are not one snapshot, so the watch starts at the revision
        # of the first page.
        if not self._listing_revision:
            self._listing_revision = reply.revision
        for item in reply.items:
            self._listing[item.key] = item
        if reply.more and reply.items:
            self._list(reply.items[-1].key, sent_at)
            return
        self._note_complete(sent_at)
        self._finish_listing(reply.revision)
        self.freshness.note_store_reply(sent_at)

    def _finish_listing(self, revision):
        listing = self._listing
        self._revision = self._listing_revision
        self._copy.use_listing(listing, revision, is_first=not self.listed)
        self.synced = True
        self.listed = True
        log_event('store_listed', prefix=self.prefix, keys=len(listing))
        self._call_after(FIRST_WATCH_DELAY_SECONDS, self._watch)

    def _watch(self):
        self._watch_timer = None
        if self._stopped:
            return
        if self._loop.now() < self._feed_valid_until:
            self._watch_timer = self._loop.scheduler.call_at(
                self._feed_valid_until, self._watch
            )
            return
        # After a failure or the end of a feed, a wait of 0 asks for a reply
        # at once instead of at the next change.
        needs_reply = self._retry.failures or self._feed_received
        self._feed_received = False
        wait = min(self._timings.watch_timeout, self.longest_wait())
        self._call_watch(0.0 if needs_reply else wait)

    def _call_watch(self, wait):
        sent_at = self._loop.now()

        def on_events(reply):
            self._on_events(sent_at, wait, reply)

        self._cancel_watch = self._store.watch(
            self.prefix,
            self._revision,
            wait,
            self._if_current(on_events),
        )

    def _fetch_missed(self):
        """Request changes that the feed did not include.

        The request goes to the leader first, which has the changes in memory;
        it is the only source for a router that the store refuses.
        """
        now = self._loop.now()
        if now < self._leader_reply_deadline:
            return
        if not self._leader_reply_deadline and self.request_from_leader():
            self._leader_reply_deadline = now + LEADER_REPLY_TIMEOUT_SECONDS
            return
        self._leader_reply_deadline = 0.0
        if self._watch_timer is not None:
            self._watch_timer.cancel()
            self._watch_timer = None
            self._call_watch(0.0)

    def _on_events(self, sent_at, wait, reply):
        self._cancel_watch = None
        has_feed = self._loop.now() < self._feed_valid_until
        if has_feed and reply.outcome is StoreOutcome.NO_REPLY:
            self._watch()
            return
        if reply.outcome is StoreOutcome.HISTORY_GONE:
            self._note_reply()
            log_event('store_history_gone', prefix=self.prefix)
            self._list('')
            return
        if not reply.ok:
            self._failed(reply, self._watch)
            return
        self._note_reply()
        self._note_complete(self._loop.now())
        base = self._revision
        for item in reply.items:
            self._copy.apply(item)
            self._revision = max(self._revision, item.revision)
        self._revision = max(self._revision, reply.revision)
        if reply.items:
            self.freshness.note_store_reply(sent_at)
        else:
            self.freshness.note_full_watch(sent_at, wait)
        if self.on_batch is not None:
            self.on_batch(base, self._revision, reply.items)
        delay = self._timings.batch_delay if reply.items else 0.0
        self._call_after(delay, self._watch)

    def _note_complete(self, at):
        """Record that the store's changes before a time are known."""
        self._complete_until = max(self._complete_until, at)
        self._follows_store = True

    def _note_reply(self):
        self._retry.failures = 0
        if not self.reachable:
            self.reachable = True
            log_event('store_recovered', prefix=self.prefix)
            self._on_recovered()

    def _failed(self, reply, action):
        # A single failure may be a watch that was closed while it waited, so
        # the store counts as unreachable only after the second.
        self._retry.failures += 1
        if self._retry.failures > 1 and self.reachable:
            self.reachable = False
            log_warning(
                'store_unreachable',
                prefix=self.prefix,
                outcome=reply.outcome.value,
                revision=self._revision,
            )
        is_standby = not self.reachable and self.another_watch_retries()
        self._retry.schedule(action, is_standby)

    def retry_now(self):
        """Retry at once, since another watch got a reply."""
        self._retry.run_now()

    def _call_after(self, delay, action):
        if delay <= 0.0:
            action()
            return
        self._loop.scheduler.call_at(
            self._loop.now() + delay, self._if_current(action)
        )
