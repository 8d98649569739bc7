"""A loop with a manual clock and a store whose replies a test sends."""

import heapq
import itertools

from bramleysill_kernel.common.store_types import StoredItem
from bramleysill_kernel.common.store_types import StoreOutcome
from bramleysill_kernel.common.store_types import StoreReply


class _Timer:
    def __init__(self, callback):
        self.callback = callback

    def cancel(self):
        self.callback = None


class ManualLoop:
    """A clock and a scheduler that a test advances."""

    def __init__(self):
        self.time = 100.0
        self.scheduler = self
        self._heap = []
        self._order = itertools.count()

    def now(self):
        return self.time

    def call_at(self, deadline, callback):
        timer = _Timer(callback)
        heapq.heappush(self._heap, (deadline, next(self._order), timer))
        return timer

    def advance(self, seconds):
        end = self.time + seconds
        while self._heap and self._heap[0][0] <= end:
            at, _, timer = heapq.heappop(self._heap)
            self.time = max(self.time, at)
            if timer.callback is not None:
                timer.callback()
        self.time = end


class ScriptedStore:
    """Records calls until the test replies to them.

    `reply_to_list(reply)` replies to the last listing.
    """

    def __init__(self):
        self.reply_to_list = None
        self.watches = []

    def list(self, prefix, after, callback):
        self.reply_to_list = callback

    def watch(self, prefix, revision, wait, callback):
        watch = (revision, wait, callback)
        self.watches.append(watch)

        def cancel():
            if watch in self.watches:
                self.watches.remove(watch)
                callback(StoreReply(StoreOutcome.NO_REPLY))

        return cancel

    def reply_to_watch(self, reply):
        self.watches.pop(0)[2](reply)


def make_item(key, revision, value=b'x'):
    return StoredItem(key, value, revision)


def make_reply(revision, *items):
    return StoreReply(StoreOutcome.OK, list(items), revision)


NO_REPLY = StoreReply(StoreOutcome.NO_REPLY)
