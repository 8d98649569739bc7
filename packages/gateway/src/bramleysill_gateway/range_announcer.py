"""Announces paused and busy ranges to all routers, and keeps the latest."""

import math

from bramleysill_kernel.common import messages
from bramleysill_kernel.ranges.range_notices import REPEAT_INTERVAL_SECONDS
from bramleysill_kernel.ranges.range_notices import BusyRange
from bramleysill_kernel.ranges.range_notices import PausedRange
from bramleysill_kernel.ranges.range_notices import RangeNotices
from bramleysill_kernel.ranges.range_notices import announcement_interval

NO_NOTICES = RangeNotices((), (), 0.0)


class _Announcement:
    """What was announced last for a service, and when."""

    __slots__ = ('keys', 'sent_at')

    def __init__(self, keys, sent_at):
        self.keys = keys
        self.sent_at = sent_at


class RangeAnnouncer:
    """The RangeNotices by service; set `links` before the first tick."""

    def __init__(self, loop, name):
        self.links = None
        self._loop = loop
        self._name = name
        self._notices = {}
        self._announced = {}

    def notices(self, service):
        """Return the latest RangeNotices of a service."""
        return self._notices.get(service, NO_NOTICES)

    def announce(self, service, paused, busy):
        """Tell all routers, as the leader, of paused and busy ranges.

        Called often; a message is sent after a change, and from time to time,
        but no more than a part of the link is used.
        """
        now = self._loop.now()
        self._notices[service] = RangeNotices(paused, busy, now)
        keys = {(r.first, r.last, r.fence) for r in (*paused, *busy)}
        last = self._announced.get(service, _Announcement(set(), -math.inf))
        age = now - last.sent_at
        interval = announcement_interval(len(keys), self.links.link_count())
        if keys == last.keys:
            if not keys or age < max(interval, REPEAT_INTERVAL_SECONDS):
                return
        elif age < interval:
            return
        self._announced[service] = _Announcement(keys, now)
        ranges = [*paused, *busy]
        values = [r.wait for r in paused] + [r.overload for r in busy]
        message = messages.RangeNoticeList(
            self._name,
            service,
            len(paused),
            [r.first for r in ranges],
            [r.last for r in ranges],
            [r.fence for r in ranges],
            values,
        )
        self.links.broadcast(message, packed=True)

    def on_message(self, message):
        """Use the announcement of the leader."""
        rows = list(
            zip(
                message.firsts,
                message.lasts,
                message.fences,
                message.values,
                strict=True,
            )
        )
        self._notices[message.service] = RangeNotices(
            [PausedRange(*row) for row in rows[: message.paused]],
            [BusyRange(*row) for row in rows[message.paused :]],
            self._loop.now(),
        )
