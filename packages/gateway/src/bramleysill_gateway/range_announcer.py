"""Announces paused and busy ranges to all routers, and keeps the latest."""

from bramleysill_kernel import messages
from bramleysill_kernel.range_notices import REPEAT_INTERVAL_SECONDS
from bramleysill_kernel.range_notices import BusyRange
from bramleysill_kernel.range_notices import PausedRange
from bramleysill_kernel.range_notices import RangeNotices

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

        Called often; a message is sent after a change, and from time to time.
        """
        now = self._loop.now()
        self._notices[service] = RangeNotices(paused, busy, now)
        keys = {(r.first, r.last, r.fence) for r in (*paused, *busy)}
        last = self._announced.get(service)
        known = last.keys if last is not None else set()
        is_due = last is None or now >= last.sent_at + REPEAT_INTERVAL_SECONDS
        if keys == known and not (keys and is_due):
            return
        self._announced[service] = _Announcement(keys, now)
        self.links.broadcast(
            messages.RangeNoticeList(
                self._name,
                service,
                [
                    messages.RangeNoticeRow(r.first, r.last, r.fence, r.wait)
                    for r in paused
                ],
                [
                    messages.RangeNoticeRow(
                        r.first, r.last, r.fence, r.overload
                    )
                    for r in busy
                ],
            )
        )

    def on_message(self, message):
        """Use the announcement of the leader."""
        self._notices[message.service] = RangeNotices(
            [
                PausedRange(row.first, row.last, row.fence, row.value)
                for row in message.paused
            ],
            [
                BusyRange(row.first, row.last, row.fence, row.value)
                for row in message.busy
            ],
            self._loop.now(),
        )
