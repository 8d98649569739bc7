"""Sends changes of the leader's copy of the store to all other routers.

Routers that receive feeds do not watch the store, so the number of calls to
the store does not grow with the number of routers. Each feed names the age of
the leader's knowledge, and the others trust it until that is too old. A leader
that has lost the store thus can't tell them that nothing has changed. Routers
without feeds watch the store themselves.
"""

import math
import zlib

from bramleysill_kernel.common import messages
from bramleysill_kernel.common.store_types import StoredItem
from bramleysill_kernel.common.value_deltas import DeltaError
from bramleysill_kernel.common.value_deltas import apply_delta
from bramleysill_kernel.common.value_deltas import make_delta
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning
from bramleysill_wire import codec

# A leader whose tick is later than this many feed intervals is overloaded.
# Replies of the store may be unread, so it can't tell that nothing changed.
MAX_TICK_GAP_INTERVALS = 2.0
# Longer values are sent as a delta and compressed. The leader's link carries
# tables and configurations of some hundred rows to all routers, several times
# a second.
COMPRESS_ABOVE_BYTES = 1024
COMPRESSION_LEVEL = 1


class FeedSpan:
    """The range of revisions that the next feed covers.

    The store's revision also rises with changes of other keys. Each feed
    therefore starts where the previous one ended. Otherwise receivers would
    detect a gap after each reply without changes and call the store.
    """

    __slots__ = ('base', 'revision')

    def __init__(self):
        self.base = 0
        self.revision = 0

    def extend(self, base, revision):
        """Add the revisions of a reply; restart if they do not follow."""
        if base != self.revision:
            self.base = base
        self.revision = revision

    def restart(self):
        """Start a new range after revisions that were sent or skipped."""
        self.base = self.revision

    def reset(self):
        """Forget the revisions, as the store gives them out again."""
        self.base = 0
        self.revision = 0


class StoreFeeder:
    """Sends feeds while this router leads, else applies the leader's."""

    def __init__(self, loop, timings, name, links, state, leader):
        self._loop = loop
        self._timings = timings
        self._name = name
        self._links = links
        self._leader = leader
        self._state = state
        # The era of the store that the spans belong to.
        self._era = state.store_era
        self._spans = {}
        # By prefix, the last StoreCopy and the revision and era it is of.
        self._copies = {}
        self._last_tick_at = loop.now()
        self._watches = {
            watch.prefix: watch
            for watch in (
                state.operator_watch,
                state.upstream_watch,
                state.own_watch,
            )
        }
        for watch in self._watches.values():
            self._spans[watch.prefix] = FeedSpan()
            watch.on_batch = self._make_forwarder(watch)
            watch.request_from_leader = self._make_requester(watch)
            if watch is not state.own_watch:
                watch.request_copy = self._make_copy_requester(watch)

    def tick(self):
        """Send feeds without changes; called at the feed interval."""
        now = self._loop.now()
        late = (
            now
            > self._last_tick_at
            + MAX_TICK_GAP_INTERVALS * self._timings.feed_interval
        )
        self._last_tick_at = now
        if late:
            log_warning('feed_tick_late', peers=len(self._links.open_links()))
            return
        for watch in self._watches.values():
            if watch.up_to_date and self._may_feed(watch):
                span = self._span_of(watch)
                span.extend(watch.revision, watch.revision)
                self._broadcast(watch, span, ())

    def on_feed(self, message):
        """Apply a feed, if it comes from the current leader.

        A feed also tells of a new era of the store; feeds of another era than
        the known one are not applied.
        """
        if message.era != self._state.store_era:
            self._state.note_store_era(message.era)
            return
        leader = self._leader.current_leader()
        if leader is None or leader[0] != message.router:
            return
        watch = self._watches.get(message.prefix)
        if watch is None or self._leader.leadership.leading:
            return
        try:
            items = _decode_items(message.items, watch)
        except DeltaError as exc:
            log_event('feed_delta_unusable', prefix=message.prefix, error=exc)
            watch.fetch_missed()
            return
        age = message.age
        if not age >= 0.0:
            log_warning('feed_age_rejected', peer=message.router, age=age)
            age = math.inf
        watch.apply_feed(message.base, message.revision, items, age)

    def on_feed_request(self, link, message):
        """Send a router the changes that it has missed, if all are known."""
        watch = self._watches.get(message.prefix)
        if watch is None or not watch.up_to_date:
            return
        if not self._may_feed(watch) or message.era != self._state.store_era:
            return
        if not message.revision:
            link.send(self._make_copy(watch))
            return
        items = watch.changes_since(message.revision)
        if items is None or message.revision > watch.revision:
            return
        log_event(
            'feed_gap_closed',
            peer=message.router,
            prefix=message.prefix,
            base=message.revision,
            revision=watch.revision,
            items=len(items),
        )
        rows = [_encode_item(item) for item in items]
        link.send(
            self._make_feed(watch, message.revision, watch.revision, rows)
        )

    def on_copy(self, message):
        """Start with the leader's copy of a prefix."""
        watch = self._watches.get(message.prefix)
        leader = self._leader.current_leader()
        if watch is None or leader is None or leader[0] != message.router:
            return
        feed = codec.decode(codec.unpack(message.data))
        if feed.era == self._state.store_era:
            items = [_decode_item(row, None) for row in feed.items]
            watch.apply_copy(feed.revision, items)

    def _make_copy(self, watch):
        """Return the StoreCopy of a prefix; the last one is kept."""
        key = watch.revision, self._state.store_era
        known = self._copies.get(watch.prefix)
        if known is None or known[0] != key:
            rows = [_encode_item(item) for item in watch.items.values()]
            feed = self._make_feed(watch, 0, watch.revision, rows)
            data = zlib.compress(codec.encode_body(feed), COMPRESSION_LEVEL)
            known = key, messages.StoreCopy(self._name, watch.prefix, data)
            self._copies[watch.prefix] = known
        return known[1]

    def _make_copy_requester(self, watch):
        """Return a function that asks for a copy while there may be one."""

        def request_copy():
            if self._leader.leadership.leading or self._state.was_restored:
                return False
            leader = self._leader.current_leader()
            if leader is not None and self._state.own_watch.listed:
                self._links.send(
                    leader[0],
                    messages.FeedRequest(
                        self._name, watch.prefix, 0, self._state.store_era
                    ),
                )
            return True

        return request_copy

    def _make_requester(self, watch):
        def request_feed():
            leader = self._leader.current_leader()
            if leader is None:
                return False
            return self._links.send(
                leader[0],
                messages.FeedRequest(
                    self._name,
                    watch.prefix,
                    watch.revision,
                    self._state.store_era,
                ),
            )

        return request_feed

    def _make_forwarder(self, watch):
        def forward(base, revision, items):
            span = self._span_of(watch)
            span.extend(base, revision)
            if not items:
                return
            if self._may_feed(watch):
                self._broadcast(watch, span, items)
            else:
                span.restart()

        return forward

    def _span_of(self, watch):
        if self._era != self._state.store_era:
            self._era = self._state.store_era
            for span in self._spans.values():
                span.reset()
        return self._spans[watch.prefix]

    def _may_feed(self, watch):
        """Return whether the others would trust a feed of a prefix."""
        if not self._leader.leadership.is_valid():
            return False
        return self._age_of(watch) < self._timings.feed_validity

    def _age_of(self, watch):
        """Return the seconds since all changes of a prefix were known."""
        known_until = watch.known_until(self._leader.last_renewal_sent_at)
        return self._loop.now() - known_until

    def _broadcast(self, watch, span, items):
        rows = [_encode_item(item, watch.previous_of(item)) for item in items]
        self._links.broadcast(
            self._make_feed(watch, span.base, span.revision, rows), packed=True
        )
        span.restart()

    def _make_feed(self, watch, base, revision, rows):
        return messages.StoreFeed(
            self._name,
            watch.prefix,
            base,
            revision,
            self._state.store_era,
            self._age_of(watch),
            rows,
        )


def _encode_item(item, previous=None):
    """Return the FeedItem of an item, as a delta to the one before if long.

    A router that follows the feeds has the one before.
    """
    value = item.value or b''
    base = 0
    if len(value) > COMPRESS_ABOVE_BYTES and previous is not None:
        value = make_delta(previous.value, value)
        base = previous.revision
    packed = len(value) > COMPRESS_ABOVE_BYTES
    return messages.FeedItem(
        item.key,
        zlib.compress(value, COMPRESSION_LEVEL) if packed else value,
        item.revision,
        item.lease,
        item.value is None,
        packed,
        base,
    )


def _decode_items(rows, watch):
    """Return the items of a feed that are newer than the known ones.

    Raises DeltaError if the value that a delta belongs to isn't known.
    """
    latest = {}
    for row in rows:
        known = latest.get(row.key) or watch.items.get(row.key)
        if known is None or known.revision < row.revision:
            latest[row.key] = _decode_item(row, known)
    return list(latest.values())


def _decode_item(item, known):
    value = item.value
    if item.packed:
        value = codec.unpack(value)
    if item.base:
        if known is None or known.revision != item.base:
            raise DeltaError('the value before is not known', 'decode')
        value = apply_delta(known.value, value)
    return StoredItem(
        item.key, None if item.removed else value, item.revision, item.lease
    )
