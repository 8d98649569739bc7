"""The leader's copy of the store, passed on to all other routers.

Routers that are fed need no watches of their own, so the calls to the store
do not grow with the number of routers. A leader feeds only while it has heard
from the store a moment ago; routers that are no longer fed watch the store
themselves.
"""

import zlib

from bramleysill_kernel import messages
from bramleysill_kernel.store_types import StoredItem
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning

# A leader whose last renewed lease was asked for longer ago does not feed.
MAX_RENEWAL_AGE_SECONDS = 1.0
# A leader whose tick comes later than this many pauses is overloaded: answers
# of the store wait to be read, so it can't tell that nothing has changed.
MAX_TICK_GAP_PAUSES = 2.0
# Longer values are compressed: a configuration of some hundred routes goes
# to all routers over the leader's link, several times a second in a storm.
COMPRESS_ABOVE_BYTES = 1024
COMPRESSION_LEVEL = 1


class FeedSpan:
    """The revisions since the last feed, in which nothing else changed.

    A store's revision rises with changes elsewhere as well. A feed covers
    all since the one before, or its receivers take every answer without
    changes for a gap and ask the store.
    """

    __slots__ = ('base', 'revision')

    def __init__(self):
        self.base = 0
        self.revision = 0

    def extend(self, base, revision):
        """Cover an answer of the store; begin anew if it does not follow."""
        if base != self.revision:
            self.base = base
        self.revision = revision

    def restart(self):
        """Begin after what is covered: it was fed, or left out."""
        self.base = self.revision


class StoreFeeder:
    """Sends feeds while this router leads and takes them while it doesn't."""

    def __init__(self, loop, timings, name, links, state, leader):
        self._loop = loop
        self._timings = timings
        self._name = name
        self._links = links
        self._leader = leader
        self._spans = {}
        self._last_tick_at = loop.now()
        self._watches = {
            watch.prefix: watch
            for watch in (state.operator, state.upstreams, state.own)
        }
        for watch in self._watches.values():
            self._spans[watch.prefix] = FeedSpan()
            watch.on_batch = self._make_forwarder(watch)
            watch.request_from_leader = self._make_requester(watch)

    def tick(self):
        """Tell all routers that there was no change; call periodically."""
        now = self._loop.now()
        late = (
            now
            > self._last_tick_at
            + MAX_TICK_GAP_PAUSES * self._timings.feed_pause
        )
        self._last_tick_at = now
        if late:
            log_warning('feed_late', peers=len(self._links.open_links()))
            return
        if not self._may_feed():
            return
        for watch in self._watches.values():
            if watch.following:
                span = self._spans[watch.prefix]
                span.extend(watch.revision, watch.revision)
                self._send(watch, span, ())

    def on_feed(self, message):
        """Use a feed of the router that leads."""
        leader = self._leader.leader_address()
        if leader is None or leader[0] != message.router:
            return
        watch = self._watches.get(message.prefix)
        if watch is None or self._leader.leadership.leading:
            return
        items = [_decode_item(item) for item in message.items]
        watch.apply_feed(message.base, message.revision, items)

    def on_feed_request(self, link, message):
        """Send a router the changes that it has missed, if they are known."""
        watch = self._watches.get(message.prefix)
        if watch is None or not watch.following or not self._may_feed():
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
        link.send(
            self._message(watch, message.revision, watch.revision, items)
        )

    def _make_requester(self, watch):
        def ask():
            leader = self._leader.leader_address()
            if leader is None:
                return False
            return self._links.send(
                leader[0],
                messages.FeedRequest(self._name, watch.prefix, watch.revision),
            )

        return ask

    def _make_forwarder(self, watch):
        span = self._spans[watch.prefix]

        def pass_on(base, revision, items):
            span.extend(base, revision)
            if not items:
                return
            if self._may_feed():
                self._send(watch, span, items)
            else:
                span.restart()

        return pass_on

    def _may_feed(self):
        if not self._leader.leadership.is_valid():
            return False
        return self._leader.seconds_since_renewal() < MAX_RENEWAL_AGE_SECONDS

    def _send(self, watch, span, items):
        self._links.broadcast(
            self._message(watch, span.base, span.revision, items)
        )
        span.restart()

    def _message(self, watch, base, revision, items):
        return messages.StoreFeed(
            self._name,
            watch.prefix,
            base,
            revision,
            [_encode_item(item) for item in items],
        )


def _encode_item(item):
    value = item.value or b''
    packed = len(value) > COMPRESS_ABOVE_BYTES
    return messages.FeedItem(
        item.key,
        zlib.compress(value, COMPRESSION_LEVEL) if packed else value,
        item.revision,
        item.lease,
        item.value is None,
        packed,
    )


def _decode_item(item):
    value = item.value
    if item.packed:
        value = zlib.decompress(value)
    return StoredItem(
        item.key, None if item.removed else value, item.revision, item.lease
    )
