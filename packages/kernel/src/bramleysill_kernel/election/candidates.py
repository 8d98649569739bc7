"""The coordinator's authority and the candidates on the leader record.

The coordinator may act while its leader lease is valid, or while every other
candidate on the leader record has promised not to stand for election. The
candidates are the coordinator and one healthy router in each of two other
failure domains; if there are fewer domains, two may share one. A lost
candidate is replaced by a compare-and-swap of the leader record. Until the
result of this write is known, the promises of both the old and the new
candidates are required.
"""

from bramleysill_kernel.common import effects
from bramleysill_kernel.common import lease
from bramleysill_kernel.election import election as election_module
from bramleysill_kernel.election.leader_record import LeaderRecord
from bramleysill_kernel.election.leader_record import leader_key

MAX_CANDIDATES = 3
RECORD_RETRY_DELAY_SECONDS = 0.5
# A candidate that sends no heartbeat is replaced after this time. The time is
# long enough for all routers to find a new coordinator. If it were shorter, a
# new coordinator could remove all other candidates, and no router could
# succeed it.
CANDIDATE_TIMEOUT_SECONDS = 2.0
# A coordinator that can't reach the store steps down in favour of a candidate
# that has reached it for this long. Candidates call the store every 1.0 s and
# detect an outage after another 0.5 s.
MIN_STORE_REACHED_SECONDS = 2.0


class Authority:
    """Decides whether the coordinator may act, and maintains candidates."""

    __slots__ = (
        'record',
        '_election',
        '_members',
        '_clock',
        '_ops',
        '_cell',
        '_pending_record',
        '_pending_calls',
        '_retry_at',
        '_promises_since',
        '_started_at',
        '_absent_since',
    )

    def __init__(self, election, members, cell, clock, ops):
        self.record = election.record
        self._election = election
        self._members = members
        self._clock = clock
        self._ops = ops
        self._cell = cell
        self._pending_record = None
        self._pending_calls = {}
        self._retry_at = lease.NEVER
        self._promises_since = None
        self._started_at = clock.now()
        self._absent_since = {}

    def holds(self):
        """Return whether the coordinator may act now.

        Steps down if authority has expired, even if it could be renewed,
        because another router may have led in the meantime.
        """
        election = self._election
        if election.state != election_module.LEADING:
            return False
        if election.term != self.record.term:
            return False
        if self._clock.now() < self.valid_until():
            return True
        election.step_down('authority_lost')
        return False

    def valid_until(self):
        """Return when authority expires unless it is renewed."""
        return max(self._election.lease_deadline, self._promised_until())

    def relies_on_promises(self):
        """Return whether only promises give authority now."""
        return self._clock.now() >= self._election.lease_deadline

    def candidates(self):
        """Return the names of the candidates on the record, sorted."""
        return sorted(self.record.candidates)

    def _required_candidates(self):
        """Return the candidates whose promises authority relies on."""
        names = set(self.record.candidates)
        if self._pending_record is not None:
            names.update(self._pending_record.candidates)
        names.discard(self._election.name)
        return names

    def _promised_until(self):
        """Return when the first of the required promises expires."""
        deadlines = [
            self._members.promised_until(n)
            for n in self._required_candidates()
        ]
        return min(deadlines, default=lease.FOREVER)

    def tick(self):
        """Return the effects that are due."""
        if self.relies_on_promises():
            self._yield_to_candidate()
            return []
        self._promises_since = None
        now = self._clock.now()
        if self._pending_calls or now < self._retry_at:
            return []
        if self._pending_record is not None:
            return self._read()
        chosen = self._choose_candidates()
        if chosen == self.record.candidates:
            return []
        record = LeaderRecord(
            self.record.term,
            self.record.holder,
            self.record.incarnation,
            self.record.address,
            chosen,
        )
        writer = f'{record.holder}/{record.incarnation}'
        record.write_id = f'{writer}/{next(self._ops)}'
        record.version = self.record.version
        self._pending_record = record
        return self._write()

    def _yield_to_candidate(self):
        """Step down if a candidate reaches the store and this router can't."""
        now = self._clock.now()
        if self._promises_since is None:
            self._promises_since = now
        for name in self._required_candidates():
            member = self._members.get(name)
            if member is None or member.store_ok_since is None:
                continue
            since = max(member.store_ok_since, self._promises_since)
            if now - since >= MIN_STORE_REACHED_SECONDS:
                self._election.step_down('candidate_reaches_store')
                return

    def _choose_candidates(self):
        """Return the candidates that the leader record should have.

        Healthy candidates stay. Free places go to routers in other failure
        domains, then to any router.
        """
        own_name = self._election.name
        chosen = {own_name: self._election.incarnation}
        domains = set()
        member = self._members.get(own_name)
        if member is not None:
            domains.add(member.failure_domain)
        kept = [n for n in self.record.candidates if n != own_name]
        for name in kept:
            if self._keeps_place(name):
                chosen[name] = self.record.candidates[name]
        rest = [n for n in self._members.names() if n not in kept]
        for name in kept + rest:
            self._add_candidate(chosen, name, domains, True)
        if self._clock.now() >= self._started_at + CANDIDATE_TIMEOUT_SECONDS:
            for name in kept + rest:
                self._add_candidate(chosen, name, domains, False)
        return chosen

    def _keeps_place(self, name):
        """Return whether an absent candidate keeps its place for now."""
        now = self._clock.now()
        if self._members.get(name) is not None:
            self._absent_since.pop(name, None)
            return False
        since = self._absent_since.setdefault(name, now)
        return now < since + CANDIDATE_TIMEOUT_SECONDS

    def _add_candidate(self, chosen, name, domains, new_domain_only):
        if len(chosen) >= MAX_CANDIDATES or name in chosen:
            return
        if not self._members.is_available(name):
            return
        member = self._members.get(name)
        if new_domain_only and member.failure_domain in domains:
            return
        domains.add(member.failure_domain)
        chosen[name] = member.incarnation

    def _write(self):
        op = next(self._ops)
        self._pending_calls[op] = self._on_written
        return [
            effects.StoreWrite(
                op,
                leader_key(self._cell),
                self._pending_record.encode(),
                self._pending_record.version,
            )
        ]

    def _read(self):
        op = next(self._ops)
        self._pending_calls[op] = self._on_read
        key = leader_key(self._cell)
        return [effects.StoreRead(op, key)]

    def on_store_reply(self, op, reply):
        """Handle the reply to a store effect; return the next effects.

        Returns None if the effect is not one of this object.
        """
        step = self._pending_calls.pop(op, None)
        if step is None:
            return None
        return step(reply)

    def _on_written(self, reply):
        if reply.result == effects.RESULT_OK:
            self._accept(reply.version)
            return []
        self._retry_at = self._clock.now() + RECORD_RETRY_DELAY_SECONDS
        return self._read()

    def _on_read(self, reply):
        if reply.result == effects.RESULT_UNKNOWN:
            self._retry_at = self._clock.now() + RECORD_RETRY_DELAY_SECONDS
            return []
        if reply.result == effects.RESULT_OK:
            found = LeaderRecord.decode(reply.value, reply.version)
            if found.write_id == self._pending_record.write_id:
                self._accept(reply.version)
                return []
            if reply.version == self._pending_record.version:
                return self._write()
        self._election.step_down('record_replaced')
        return []

    def _accept(self, version):
        self._pending_record.version = version
        self.record = self._pending_record
        self._election.record = self._pending_record
        self._pending_record = None
