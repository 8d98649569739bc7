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
FRESH_SECONDS = 1.0
# A leader whose tick comes later than this many pauses is overloaded: answers
# of the store wait to be read, so it can't tell that nothing has changed.
MOST_LATE = 2.0
# Longer values are compressed: a configuration of some hundred routes goes
# to all routers over the leader's link, several times a second in a storm.
PACKED_BYTES = 1024
PACKING_LEVEL = 1


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
        self._ticked_at = loop.now()
        self._watches = {
            watch.prefix: watch
            for watch in (state.operator, state.upstreams, state.own)
        }
        for watch in self._watches.values():
            self._spans[watch.prefix] = FeedSpan()
            watch.on_batch = self._passer(watch)
            watch.request_from_leader = self._asker(watch)

    def tick(self):
        """Tell all routers that there was no change; call periodically."""
        now = self._loop.now()
        late = now > self._ticked_at + MOST_LATE * self._timings.feed_pause
        self._ticked_at = now
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

    def take(self, message):
        """Use a feed of the router that leads."""
        leader = self._leader.leader_address()
        if leader is None or leader[0] != message.router:
            return
        watch = self._watches.get(message.prefix)
        if watch is None or self._leader.leadership.leading:
            return
        items = [_unpack(item) for item in message.items]
        watch.apply_feed(message.base, message.revision, items)

    def answer(self, link, message):
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

    def _asker(self, watch):
        def ask():
            leader = self._leader.leader_address()
            if leader is None:
                return False
            return self._links.send(
                leader[0],
                messages.FeedRequest(self._name, watch.prefix, watch.revision),
            )

        return ask

    def _passer(self, watch):
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
        return self._leader.renewed_age() < FRESH_SECONDS

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
            [_pack(item) for item in items],
        )


def _pack(item):
    value = item.value or b''
    packed = len(value) > PACKED_BYTES
    return messages.FeedItem(
        item.key,
        zlib.compress(value, PACKING_LEVEL) if packed else value,
        item.revision,
        item.lease,
        item.value is None,
        packed,
    )


def _unpack(item):
    value = item.value
    if item.packed:
        value = zlib.decompress(value)
    return StoredItem(
        item.key, None if item.removed else value, item.revision, item.lease
    )
