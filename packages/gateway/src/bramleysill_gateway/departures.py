"""Spreads which upstream processes have said that they leave.

An upstream that leaves may say so in its responses before the store does, or
while the store is away. A router that hears of it tells the leader, which
moves the keys and tells all others.
"""

from bramleysill_kernel.common import messages
from bramleysill_router.logs import log_event

# The leader repeats all departures at this interval for routers that have
# missed them or have just started.
REPEAT_INTERVAL_SECONDS = 2.0


class Departures:
    """This router's part in spreading departures.

    `state` is the CellState, whose directory keeps what is known. Set `links`
    before the first response.
    """

    def __init__(self, loop, name, state):
        self.links = None
        self._loop = loop
        self._name = name
        self._state = state
        # Departures that were not sent on yet, as (upstream, incarnation).
        self._unsent = set()
        self._repeat_at = 0.0

    def observe(self, entry):
        """Record that the process of an entry has said that it leaves."""
        self._note(entry.upstream, entry.incarnation)

    def on_message(self, message):
        """Use the departures that another router knows of."""
        for row in message.rows:
            self._note(row.upstream, row.incarnation)

    def exchange_reports(self, leader):
        """Send news to the leader, or as the leader to all routers.

        `leader` is the name of the leader, or None.
        """
        if leader is None:
            return
        if leader == self._name:
            self._broadcast()
        elif self._unsent and self.links.send(
            leader, self._make_message(self._unsent)
        ):
            self._unsent.clear()

    def _note(self, upstream, incarnation):
        if not self._state.directory.note_departure(upstream, incarnation):
            return
        log_event(
            'upstream_leaves', upstream=upstream, incarnation=incarnation
        )
        self._unsent.add((upstream, incarnation))

    def _broadcast(self):
        rows = self._unsent
        if self._loop.now() >= self._repeat_at:
            self._repeat_at = self._loop.now() + REPEAT_INTERVAL_SECONDS
            rows = self._state.directory.departures()
        if rows:
            self.links.broadcast(self._make_message(rows))
        self._unsent.clear()

    def _make_message(self, departures):
        rows = [messages.DepartureRow(*row) for row in sorted(departures)]
        return messages.UpstreamDepartures(self._name, rows)
