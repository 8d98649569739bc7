"""Passes the leadership on with what the former leader knows.

A leader that the store refuses asks the others to lead in its place, before
its lease is over and before it lengthens all holds for an outage. A router
that reaches the store replaces the leader key on condition that it is still
the one of that leader.

Each new leader tells the former one. The former leader stops and answers with
the holds that it has granted, so that the new one need not wait for the
longest possible hold of an owner that was lost.
"""

from bramleysill_kernel.common import messages
from bramleysill_kernel.common.hashing import rendezvous_score
from bramleysill_kernel.common.store_types import StoredItem
from bramleysill_kernel.election.leadership import MAX_STORE_CLOCK_RATE_ERROR
from bramleysill_kernel.ranges.former_holds import FormerHold
from bramleysill_kernel.ranges.former_holds import FormerHolds
from bramleysill_router.logs import log_event

# Interval between requests of a leader that the store refuses.
REQUEST_INTERVAL_SECONDS = 0.5
# Number of routers without a preferred leader's resources that respond, after
# a delay in which a preferred one may.
OTHER_CANDIDATES = 4
OTHER_CANDIDATE_DELAY_SECONDS = 0.2


class Takeover:
    """This router's part; set `links` before the first tick."""

    def __init__(self, loop, cfg, state, leader, is_preferred):
        self.links = None
        self._loop = loop
        self._name = cfg.name
        self._state = state
        self._leader = leader
        self._is_preferred = is_preferred
        self._request_at = 0.0
        leader.on_elected = self._tell_former_leader

    def tick(self):
        """Ask the others to lead while the store refuses this leader."""
        now = self._loop.now()
        if now < self._request_at or not self._leader.is_refused():
            return
        self._request_at = now + REQUEST_INTERVAL_SECONDS
        leadership = self._leader.leadership
        log_event('takeover_requested', revision=leadership.key_revision)
        self.links.broadcast(
            messages.TakeoverRequest(
                self._name, leadership.key_revision, leadership.lease
            )
        )

    def on_request(self, message):
        """Lead in place of a router that asks for it."""
        if self._is_preferred:
            self._take_over(message)
        elif self._rank(message) < OTHER_CANDIDATES:
            self._loop.scheduler.call_at(
                self._loop.now() + OTHER_CANDIDATE_DELAY_SECONDS,
                lambda: self._take_over(message),
            )

    def on_leader_change(self, link, message):
        """Follow the new leader; stop leading if this router does.

        If the new leader itself has told it, this router is the former one. It
        passes the news on to its followers, so that they need not ask the
        store, and sends its holds.
        """
        if message.era != self._state.own_era:
            return
        item = StoredItem(
            message.key, message.value, message.revision, message.lease
        )
        self._state.own_watch.apply_item(item)
        self._leader.yield_to(item)
        if link.router != message.router:
            return
        self.links.broadcast(message)
        for service, former in self._leader.coordinators.final_holds.items():
            self.links.send(message.router, self._make_holds(service, former))

    def on_holds(self, message):
        """Use the holds of the former leader."""
        now = self._loop.now()

        def to_time(seconds):
            # The clocks of two machines may differ in their rates.
            return now + seconds * (1 + MAX_STORE_CLOCK_RATE_ERROR)

        former = FormerHolds(
            message.era,
            message.table_revision,
            to_time(message.inherited),
            {
                (row.upstream, row.incarnation): FormerHold(
                    to_time(row.held), to_time(row.unanswered)
                )
                for row in message.rows
            },
        )
        used = self._leader.coordinators.use_former_holds(
            message.service, former
        )
        log_event(
            'former_holds_received',
            peer=message.router,
            service=message.service,
            holds=len(message.rows),
            used=used,
        )

    def _take_over(self, message):
        item = self._state.leader_item
        if item is not None and item.revision == message.revision:
            self._leader.take_over(item)

    def _rank(self, message):
        """Return how many routers are to respond before this one."""
        term = str(message.revision)
        names = set(self._state.routers.names()) - {message.router}
        own_score = rendezvous_score(self._name, term)
        return sum(rendezvous_score(n, term) < own_score for n in names)

    def _tell_former_leader(self, former, item):
        """Tell the former leader, (name, address), of the new leader key."""
        name, address = former
        self.links.update_addresses({name: address})
        self.links.send(
            name,
            messages.LeaderChange(
                self._name,
                item.key,
                item.value,
                item.revision,
                item.lease,
                self._state.own_era,
            ),
        )

    def _make_holds(self, service, former):
        now = self._loop.now()
        rows = [
            messages.HoldRow(
                upstream,
                incarnation,
                max(0.0, hold.held_until - now),
                max(0.0, hold.unanswered_until - now),
            )
            for (upstream, incarnation), hold in former.holds.items()
            if hold.held_until > now
        ]
        return messages.FormerTermHolds(
            self._name,
            service,
            former.era,
            former.table_revision,
            max(0.0, former.inherited_until - now),
            rows,
        )
