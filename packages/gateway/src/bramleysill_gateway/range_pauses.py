"""Announces ranges without an owner to all routers, and keeps the latest."""

from bramleysill_kernel import messages
from bramleysill_kernel.paused_ranges import REPEAT_INTERVAL_SECONDS
from bramleysill_kernel.paused_ranges import PausedRange
from bramleysill_kernel.paused_ranges import PausedRanges


class _Announcement:
    """What was announced last for a service, and when."""

    __slots__ = ('keys', 'sent_at')

    def __init__(self, keys, sent_at):
        self.keys = keys
        self.sent_at = sent_at


class RangePauses:
    """The paused ranges by service; set `links` before the first tick."""

    def __init__(self, loop, name):
        self.links = None
        self._loop = loop
        self._name = name
        self._ranges = {}
        self._announced = {}

    def wait_seconds(self, service, key, fence):
        """Return how long a key has no owner yet, None if it has one."""
        ranges = self._ranges.get(service)
        if ranges is None:
            return None
        return ranges.wait_seconds(key, fence, self._loop.now())

    def announce(self, service, ranges):
        """Tell all routers, as the leader, which ranges are paused.

        Called often; a message is sent after a change, and from time to time.
        """
        now = self._loop.now()
        self._ranges[service] = PausedRanges(ranges, now)
        keys = {item.key for item in ranges}
        last = self._announced.get(service)
        known = last.keys if last is not None else set()
        is_due = last is None or now >= last.sent_at + REPEAT_INTERVAL_SECONDS
        if keys == known and not (keys and is_due):
            return
        self._announced[service] = _Announcement(keys, now)
        rows = [
            messages.PausedRangeRow(r.first, r.last, r.fence, r.wait)
            for r in ranges
        ]
        self.links.broadcast(
            messages.PausedRangeList(self._name, service, rows)
        )

    def on_message(self, message):
        """Use the announcement of the leader."""
        self._ranges[message.service] = PausedRanges(
            [
                PausedRange(row.first, row.last, row.fence, row.wait)
                for row in message.rows
            ],
            self._loop.now(),
        )
