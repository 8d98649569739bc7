"""A router's membership of its cell: heartbeats, lease and roles.

The process drives the `RouterAgent` of a router as follows:

* Every `heartbeat_interval()` seconds, and at once while `heartbeat_due` is
  set, it calls `make_heartbeat()`, which returns (router, message), and sends
  the message to that router. If `router` is its own name, it passes the
  message to its own `Coordinator.on_heartbeat`, or to `refuse(heartbeat)` if
  it does not lead. If `router` is empty, no peer is known and nothing is sent.
* It passes a peer's Heartbeat to `Coordinator.on_heartbeat` if this router
  leads, and otherwise to `refuse(heartbeat)`, and sends back the reply.
* It passes a HeartbeatReply to `on_reply(reply)` and a StateUpdate to
  `on_state(update)`, both in the order of arrival.
* Directly before it sends a request, grant or release to an upstream, it
  checks `may_dispatch(upstream)`.

The agent drops all roles when its lease expires. It holds a role again only
when a coordinator assigns the role with a newer generation.
"""

from bramleysill_kernel.common import lease
from bramleysill_kernel.common.messages import UPSTREAM_OK
from bramleysill_kernel.common.messages import Heartbeat
from bramleysill_kernel.common.messages import HeartbeatReply
from bramleysill_kernel.units import state as state_module

# If the coordinator has not replied for this long, heartbeats go to the other
# routers in turn.
COORDINATOR_TIMEOUT_SECONDS = 1.0
MAX_TRACKED_HEARTBEATS = 16
NO_STAMP = -1.0


class RouterAgent:
    """The router's side of its lease and dispatcher roles.

    `election` is this router's Election, which records its promises, or None.
    `busy(upstream)` returns whether requests are in flight to an upstream
    that does not check authority. A revoked role is reported as held for as
    long as it returns true.
    """

    __slots__ = (
        'name',
        'incarnation',
        'address',
        'failure_domain',
        'state',
        'coordinator',
        'term',
        'lease_deadline',
        'leaving',
        'heartbeat_due',
        'held',
        '_election',
        '_clock',
        '_busy',
        '_seq',
        '_sent_heartbeats',
        '_echo',
        '_echo_at',
        '_coordinator_heard_at',
        '_next_peer',
        '_expired_generations',
        '_giving_up',
        '_reports',
    )

    def __init__(
        self,
        name,
        incarnation,
        address,
        failure_domain,
        clock,
        state,
        election=None,
        busy=None,
    ):
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.failure_domain = failure_domain
        self.state = state
        self.coordinator = ''
        self.term = 0
        self.lease_deadline = lease.NEVER
        self.leaving = False
        self.heartbeat_due = False
        self.held = {}
        self._election = election
        self._clock = clock
        self._busy = busy or (lambda upstream: False)
        self._seq = 0
        self._sent_heartbeats = {}
        self._echo = NO_STAMP
        self._echo_at = lease.NEVER
        self._coordinator_heard_at = lease.NEVER
        self._next_peer = 0
        self._expired_generations = {}
        self._giving_up = {}
        self._reports = {}

    def report(self, upstream_report):
        """Add an UpstreamReport to the next heartbeat.

        It replaces an older report on the same upstream.
        """
        self._reports[upstream_report.upstream] = upstream_report
        if upstream_report.condition != UPSTREAM_OK:
            self.heartbeat_due = True

    def heartbeat_interval(self):
        """Return the seconds between heartbeats.

        Candidates send more often, because their heartbeats also renew their
        promises, which are shorter than router leases.
        """
        if self.name in self.state.candidates:
            return lease.CANDIDATE_HEARTBEAT_INTERVAL_SECONDS
        return lease.HEARTBEAT_INTERVAL_SECONDS

    def make_heartbeat(self):
        """Return the name of the receiving router and a Heartbeat."""
        now = self._clock.now()
        self.heartbeat_due = False
        self._drop_expired_roles(now)
        self._finish_giving_up()
        target = self._choose_target(now)
        promise = self._promise(now)
        self._seq += 1
        self._sent_heartbeats[self._seq] = (now, target)
        self._sent_heartbeats.pop(self._seq - MAX_TRACKED_HEARTBEATS, None)
        reports = list(self._reports.values())
        self._reports = {}
        return target, Heartbeat(
            router=self.name,
            incarnation=self.incarnation,
            seq=self._seq,
            term=self.term,
            echo=self._echo if promise else NO_STAMP,
            address=self.address,
            failure_domain=self.failure_domain,
            promise=promise,
            store_ok=bool(self._election and self._election.store_ok),
            leaving=self.leaving,
            held={**self._giving_up, **self.held},
            versions=self.state.versions(),
            reports=reports,
        )

    def on_reply(self, reply):
        """Extend the lease, or handle a refusal.

        The lease counts from when the heartbeat was sent that this is the
        reply to.
        """
        sent_at, peer = self._sent_heartbeats.get(reply.seq, (None, ''))
        if not reply.accepted:
            self._on_refusal(reply, peer)
            return
        self._note_term(reply.term, reply.coordinator)
        if reply.term < self.term or sent_at is None:
            return
        now = self._clock.now()
        self._drop_expired_roles(now)
        self.coordinator = reply.coordinator
        self._coordinator_heard_at = now
        self._note_stamp(reply.stamp, now)
        deadline = lease.holder_deadline(sent_at, lease.ROUTER_LEASE_SECONDS)
        self.lease_deadline = max(self.lease_deadline, deadline)

    def on_state(self, update):
        """Apply a StateUpdate; return the set of parts that changed."""
        now = self._clock.now()
        self._drop_expired_roles(now)
        changed = self.state.apply(update)
        if state_module.PART_DISPATCHERS in changed:
            if self._election is not None:
                self._election.probes_store = self.name in update.candidates
            self._note_term(update.term, update.coordinator)
            if update.term == self.term:
                self.coordinator = update.coordinator
            self._apply_roles()
        return changed

    def refuse(self, heartbeat):
        """Return the reply of a router that does not lead."""
        known = self.coordinator
        if known in (self.name, heartbeat.router):
            known = ''
        return HeartbeatReply(
            known, self.term, heartbeat.seq, NO_STAMP, accepted=False
        )

    def may_dispatch(self, upstream):
        """Return whether this router may send to the upstream now."""
        self._drop_expired_roles(self._clock.now())
        return upstream in self.held

    def generation_of(self, upstream):
        """Return the generation of a held role, or None."""
        return self.held.get(upstream)

    def has_lease(self):
        """Return whether the router lease is valid now."""
        return self._clock.now() < self.lease_deadline

    def _drop_expired_roles(self, now):
        """Drop all roles if the lease has expired.

        Their generations are recorded, so that they are not held again.
        """
        if now < self.lease_deadline:
            return
        self.held = {}
        self._giving_up = {}
        for upstream, role in self.state.dispatchers.items():
            self._expired_generations[upstream] = (role[1], role[2])

    def _apply_roles(self):
        """Hold exactly the roles that the newest state assigns.

        A role is given up if the state no longer assigns it.
        """
        before = self.held
        self.held = {}
        for upstream, role in self.state.dispatchers.items():
            generation = (role[1], role[2])
            if role[0] != self.name:
                continue
            if generation > self._expired_generations.get(upstream, (0, 0)):
                self.held[upstream] = generation
        for upstream, generation in before.items():
            if upstream not in self.held:
                self.heartbeat_due = True
                self._giving_up[upstream] = generation
        if not self.has_lease():
            self.heartbeat_due = True
        self._finish_giving_up()

    def _finish_giving_up(self):
        """Stop reporting given up roles whose requests have ended."""
        self._giving_up = {
            u: g for u, g in self._giving_up.items() if self._busy(u)
        }

    def _note_term(self, term, coordinator):
        """Adopt a newer term and discard the last stamp.

        Stamps are readings of one coordinator's clock and can't be compared
        with those of another.
        """
        if term <= self.term:
            return
        self.term = term
        self.coordinator = coordinator
        self._echo = NO_STAMP
        self._coordinator_heard_at = self._clock.now()
        self.heartbeat_due = True
        self.state.raise_min_term(term)
        if self._election is not None:
            self._election.note_term(term)

    def _on_refusal(self, reply, peer):
        """Handle a reply that does not extend the lease.

        It comes from the coordinator if this router must catch up first, from
        a new coordinator that announces its term, or from a router that does
        not lead and may name the coordinator.
        """
        leads = peer and reply.coordinator == peer
        if leads:
            self._note_term(reply.term, reply.coordinator)
            self._coordinator_heard_at = self._clock.now()
            return
        if peer == self.coordinator:
            self._coordinator_heard_at = lease.NEVER
        if peer and self._election is not None:
            self._election.note_not_leading(peer, reply.term)
        if reply.coordinator:
            self._note_term(reply.term, reply.coordinator)
        if reply.term >= self.term and reply.coordinator:
            self.coordinator = reply.coordinator

    def _note_stamp(self, stamp, now):
        if stamp > self._echo:
            self._echo = stamp
            self._echo_at = now

    def _promise(self, now):
        """Promise not to stand for election.

        The promise counts from the receipt of the coordinator's stamp.
        """
        if self._election is None or self._echo < 0:
            return False
        return self._election.promise(
            self._echo_at, self.coordinator, self.leaving
        )

    def _choose_target(self, now):
        if (
            self.coordinator
            and now - self._coordinator_heard_at < COORDINATOR_TIMEOUT_SECONDS
        ):
            return self.coordinator
        if self._election is not None and self._election.take_hint_updated():
            return self._election.leader_hint
        peers = self._peers()
        if not peers:
            return ''
        self._next_peer += 1
        return peers[self._next_peer % len(peers)]

    def _peers(self):
        """Return the routers that may lead, or all members if unknown."""
        hint = self._election.leader_hint if self._election else ''
        likely = [self.coordinator, hint, *self.state.candidates]
        return list(dict.fromkeys(p for p in likely if p)) or sorted(
            self.state.members
        )
