"""The routers that a coordinator knows, with their leases and promises."""

from bramleysill_kernel.common import lease

STATE_RESEND_INTERVAL_SECONDS = 0.4


class Member:
    """One router, as its heartbeats describe it.

    `required_serial` is the serial of the state that last revoked a role of
    this router. The router's lease is not extended while its state is older.
    """

    __slots__ = (
        'name',
        'incarnation',
        'address',
        'failure_domain',
        'lease_deadline',
        'seq',
        'leaving',
        'versions',
        'held',
        'store_ok_since',
        'required_serial',
        'state_sent_at',
    )

    def __init__(self, heartbeat):
        self.name = heartbeat.router
        self.lease_deadline = lease.NEVER
        self.required_serial = 0
        self.state_sent_at = lease.NEVER
        self.store_ok_since = None
        self.seq = 0
        self.versions = {}
        self.held = {}
        self.restart(heartbeat)

    def restart(self, heartbeat):
        """Apply what a new process of the same name says about itself."""
        self.incarnation = heartbeat.incarnation
        self.address = heartbeat.address
        self.failure_domain = heartbeat.failure_domain
        self.leaving = heartbeat.leaving
        self.seq = 0

    def has_state(self, term, serial):
        """Return whether the router's state is this one or newer."""
        current = (
            self.versions.get('term', 0),
            self.versions.get('serial', 0),
        )
        return current >= (term, serial)


class MemberList:
    """All routers that have a lease from this coordinator.

    `restarted` maps the names of restarted routers to the time when the lease
    of their former process expires. `_promised` maps the names of routers to
    their incarnation and the time when its promise expires.
    """

    __slots__ = (
        'members',
        'restarted',
        '_promised',
        '_clock',
        '_changed',
        '_required_states',
    )

    def __init__(self, clock):
        self.members = {}
        self._promised = {}
        self.restarted = {}
        self._clock = clock
        self._changed = False
        self._required_states = {}

    def __iter__(self):
        return iter(self.members.values())

    def get(self, name):
        """Return a member by name, or None."""
        return self.members.get(name)

    def is_available(self, name):
        """Return whether a router is a member and not leaving."""
        member = self.members.get(name)
        return member is not None and not member.leaving

    def names(self):
        """Return the names of members that are not leaving, sorted."""
        return sorted(m.name for m in self if not m.leaving)

    def addresses(self):
        """Return the addresses of all members."""
        return {m.name: m.address for m in self}

    def promised_until(self, name):
        """Return when a router's promise expires, even if it is no member."""
        return self._promised.get(name, ('', lease.NEVER))[1]

    def record_heartbeat(self, heartbeat):
        """Handle a heartbeat of this term; return the Member.

        The coordinator always extends the lease in this list, even if its
        reply does not: the deadline here may be later than the router's, but
        never earlier.
        """
        now = self._clock.now()
        member = self.members.get(heartbeat.router)
        if member is None:
            member = Member(heartbeat)
            member.required_serial = self._required_states.pop(
                heartbeat.router, 0
            )
            self.members[heartbeat.router] = member
            self._changed = True
        elif member.incarnation != heartbeat.incarnation:
            self.restarted[member.name] = member.lease_deadline
            member.restart(heartbeat)
            self._changed = True
        if self._promised.get(member.name, ('',))[0] != member.incarnation:
            self._promised.pop(member.name, None)
        if heartbeat.leaving != member.leaving:
            member.leaving = heartbeat.leaving
            self._changed = True
        if heartbeat.seq < member.seq:
            return member
        member.seq = heartbeat.seq
        member.versions = dict(heartbeat.versions)
        member.held = dict(heartbeat.held)
        member.lease_deadline = max(
            member.lease_deadline,
            lease.grantor_deadline(now, lease.ROUTER_LEASE_SECONDS),
        )
        self._note_promise(member, heartbeat, now)
        return member

    def _note_promise(self, member, heartbeat, now):
        if not heartbeat.store_ok:
            member.store_ok_since = None
        elif member.store_ok_since is None:
            member.store_ok_since = now
        if not heartbeat.promise or heartbeat.echo < 0:
            return
        until = lease.FOREVER
        if not heartbeat.leaving:
            until = lease.holder_deadline(
                heartbeat.echo, lease.PROMISE_SECONDS
            )
        incarnation, known = self._promised.get(member.name, ('', lease.NEVER))
        if incarnation == heartbeat.incarnation:
            until = max(known, until)
        self._promised[member.name] = (heartbeat.incarnation, until)

    def extend_leases(self):
        """Extend every lease to its full length from now.

        The coordinator calls this after its own process was paused, because
        heartbeats could not be handled during the pause.
        """
        now = self._clock.now()
        until = lease.grantor_deadline(now, lease.ROUTER_LEASE_SECONDS)
        for member in self:
            member.lease_deadline = max(member.lease_deadline, until)

    def expire(self):
        """Remove members whose lease has expired; return their names."""
        now = self._clock.now()
        lost = [m.name for m in self if now >= m.lease_deadline]
        for name in lost:
            del self.members[name]
            self._changed = True
        return lost

    def require_state(self, name, serial):
        """Require this state of a router that becomes a member again.

        Its lease is not extended while its state is older.
        """
        self._required_states[name] = serial

    def take_changed(self):
        """Return whether the list has changed since the last call."""
        changed, self._changed = self._changed, False
        return changed
