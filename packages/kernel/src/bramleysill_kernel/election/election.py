"""Election of a cell's coordinator through the store.

Each router has one `Election`. The process drives it as follows:

* It calls `tick()` every 0.1 s and executes the returned effects.
* It replies to every store effect within `STORE_CALL_TIMEOUT_SECONDS` by
  passing a StoreEffectReply to `on_store_reply(op, reply)` of the object that
  returned the effect. If the call failed or timed out, the result is
  `unknown`. All objects draw op numbers from the shared counter `ops`, so
  that the process can keep one map from op to object.
* When `state` becomes `leading`, it creates a `Coordinator` for this `term`,
  which adopts each ownership table before it uses it. When `state` is no
  longer `leading`, or `term` differs, it discards that Coordinator.
* It passes the VM list to `on_vm_list(names)` whenever it has read the list.

The candidates are the routers listed on the leader record. To become the
leader, a candidate creates the lease key, which is bound to a store lease,
and writes the leader record with the next term. A router promises the
coordinator not to stand for election for a while (see
`RouterAgent.make_heartbeat`) and stands only after its promise has expired.

A restarted router keeps the place of its former process on the leader record.
During its shutdown, that process may have made a promise that never expires,
of which the new process does not know. The new process therefore stands only
if the former one was the last coordinator, or if the last coordinator's
router has reported that it does not lead.

A router that is in contact with a coordinator does not poll the store, except
that candidates check once a second whether the store replies.

A coordinator that has lost its authority steps down and needs a new term to
lead again: in the meantime another router may have led and changed owners.
When a coordinator announces that it has stepped down, promises made to it no
longer bind, so that a graceful handover does not wait until they expire.
"""

import json

from bramleysill_kernel.common import effects
from bramleysill_kernel.common import lease
from bramleysill_kernel.election.eligibility import EligibilityRules
from bramleysill_kernel.election.leader_lease import LeaderLease
from bramleysill_kernel.election.leader_lease import lease_key
from bramleysill_kernel.election.leader_record import LeaderRecord
from bramleysill_kernel.election.leader_record import leader_key

FOLLOWER = 'follower'
STANDING = 'standing'
LEADING = 'leading'

POLL_INTERVAL_SECONDS = 0.2
STORE_PROBE_INTERVAL_SECONDS = 1.0


class Election(LeaderLease, EligibilityRules):
    """Stands for election, renews the leader lease and steps down."""

    __slots__ = (
        'name',
        'incarnation',
        'address',
        'state',
        'term',
        'record',
        'lease_deadline',
        'elected_at',
        'promise_until',
        'leader_hint',
        '_hint_updated',
        'leader_address',
        '_store_ok_at',
        'vm_names',
        'probes_store',
        'first_term',
        '_cell',
        '_clock',
        '_rng',
        '_ops',
        '_pending_calls',
        '_lease_id',
        '_lease_requested_at',
        '_next_poll_at',
        '_next_renewal_at',
        '_started_at',
        '_key_missing_since',
        '_not_leading',
        '_promised_to',
        '_state_changes',
        '_reacquiring',
        '_queued_effects',
    )

    def __init__(self, name, incarnation, address, cell, clock, rng, ops):
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.state = FOLLOWER
        self.term = 0
        self.record = None
        self.lease_deadline = lease.NEVER
        self.elected_at = lease.NEVER
        self.promise_until = lease.NEVER
        self.leader_hint = ''
        self._hint_updated = False
        self.leader_address = ''
        self._store_ok_at = lease.NEVER
        self.vm_names = None
        self.probes_store = False
        self.first_term = False
        self._cell = cell
        self._clock = clock
        self._rng = rng
        self._ops = ops
        self._pending_calls = {}
        self._lease_id = ''
        self._lease_requested_at = lease.NEVER
        self._next_poll_at = clock.now()
        self._next_renewal_at = lease.FOREVER
        self._started_at = clock.now()
        self._key_missing_since = None
        self._not_leading = set()
        self._promised_to = ''
        self._state_changes = 0
        self._reacquiring = False
        self._queued_effects = []

    # Promises and messages.

    def promise(self, received_at, coordinator='', final=False):
        """Promise not to stand for election; return whether it was possible.

        `received_at` is when the coordinator's stamp arrived. A final
        promise, made during shutdown, never expires.
        """
        if self.state != FOLLOWER:
            return False
        self._promised_to = coordinator
        until = lease.FOREVER
        if not final:
            until = lease.grantor_deadline(received_at, lease.PROMISE_SECONDS)
        self.promise_until = max(self.promise_until, until)
        return True

    def note_term(self, term):
        """Step down if another router leads under a newer term."""
        if term > self.term and self.state == LEADING:
            self._step_down('newer_term')

    def note_not_leading(self, peer, term):
        """Record that a router has reported that it does not lead.

        A promise made to that router no longer binds, unless it was final.
        """
        self._not_leading.add((peer, term))
        if peer == self._promised_to and self.promise_until < lease.FOREVER:
            self.promise_until = lease.NEVER
            self._next_poll_at = min(self._next_poll_at, self._clock.now())

    @property
    def store_ok(self):
        """Return whether the latest call got a reply, not long ago."""
        return (
            self._clock.now()
            < self._store_ok_at + 2 * STORE_PROBE_INTERVAL_SECONDS
        )

    def take_hint_updated(self):
        """Return whether `leader_hint` was read since this was last called."""
        updated, self._hint_updated = self._hint_updated, False
        return updated

    def on_vm_list(self, names):
        """Record the names of the VMs that the platform lists now."""
        self.vm_names = frozenset(names)

    # Periodic work.

    def tick(self):
        """Return the effects that are due."""
        now = self._clock.now()
        out = self._queued_effects
        self._queued_effects = []
        if self.state == LEADING:
            out.extend(self._tick_leading(now))
        elif self.state == STANDING:
            if (
                now
                >= self._lease_requested_at + 2 * lease.LEADER_LEASE_SECONDS
            ):
                out.extend(self._become_follower())
        elif now >= self._next_poll_at:
            out.extend(self._tick_follower(now))
        return out

    def step_down(self, reason):
        """End this term's leadership; `tick()` returns the effects."""
        if self.state == LEADING:
            self._step_down(reason)

    def on_store_reply(self, op, reply):
        """Handle the reply to a store effect; return the next effects."""
        handler = self._pending_calls.pop(op, None)
        if handler is None:
            return []
        if reply.result == effects.RESULT_UNKNOWN:
            self._store_ok_at = lease.NEVER
        else:
            self._store_ok_at = self._clock.now()
        # The reply to a call that was made in an earlier state is not used.
        step, state_changes = handler
        if state_changes != self._state_changes:
            return []
        return step(reply) or []

    def _call_store(self, effect_class, step, *args):
        op = next(self._ops)
        self._pending_calls[op] = (step, self._state_changes)
        return [effect_class(op, *args)]

    def _tick_follower(self, now):
        if now < self.promise_until:
            self._next_poll_at = now + STORE_PROBE_INTERVAL_SECONDS
            if self.promise_until < lease.FOREVER:
                self._next_poll_at = min(
                    self._next_poll_at, self.promise_until
                )
            if not self.probes_store:
                return []
        else:
            jitter = self._rng.uniform(0.5, 1.0)
            self._next_poll_at = now + POLL_INTERVAL_SECONDS * jitter
        return self._call_store(
            effects.StoreRead, self._on_lease_read, lease_key(self._cell)
        )

    def _on_lease_read(self, reply):
        now = self._clock.now()
        if reply.result == effects.RESULT_OK:
            self._key_missing_since = None
            holder = json.loads(reply.value)
            self.leader_hint = holder['holder']
            self._hint_updated = True
            self.leader_address = holder['address']
            if self.record is not None:
                return []
        elif reply.result != effects.RESULT_MISSING:
            self._key_missing_since = None
            return []
        elif self._key_missing_since is None:
            self._key_missing_since = now
        return self._call_store(
            effects.StoreRead, self._on_record_read, leader_key(self._cell)
        )

    def _on_record_read(self, reply):
        if reply.result == effects.RESULT_OK:
            self.record = LeaderRecord.decode(reply.value, reply.version)
        elif reply.result == effects.RESULT_MISSING:
            self.record = None
        else:
            return []
        now = self._clock.now()
        if self._key_missing_since is None or not self._may_stand(now):
            return []
        self.state = STANDING
        self._state_changes += 1
        self._lease_requested_at = now
        return self._call_store(
            effects.StoreLease, self._on_lease, lease.LEADER_LEASE_SECONDS
        )

    # Becoming the leader.

    def _on_lease(self, reply):
        if reply.result != effects.RESULT_OK:
            return self._become_follower()
        self._lease_id = reply.value.decode()
        return self._create_key()

    def _create_key(self):
        return self._call_store(
            effects.StoreWrite,
            self._on_key_created,
            lease_key(self._cell),
            self._key_value(self._lease_id),
            0,
            self._lease_id,
        )

    def _on_key_created(self, reply):
        if reply.result == effects.RESULT_UNKNOWN:
            return self._call_store(
                effects.StoreRead, self._on_key_read, lease_key(self._cell)
            )
        if reply.result != effects.RESULT_OK:
            return self._become_follower()
        return self._write_record()

    def _on_key_read(self, reply):
        if reply.result != effects.RESULT_OK:
            return self._become_follower()
        if json.loads(reply.value)['lease'] != self._lease_id:
            return self._become_follower()
        return self._write_record()

    def _requested_lease_deadline(self):
        """Return the deadline of the lease requested for this candidacy."""
        return lease.holder_deadline(
            self._lease_requested_at, lease.LEADER_LEASE_SECONDS
        )

    def _write_record(self):
        """Write a leader record of the next term.

        This router holds the lease key.
        """
        now = self._clock.now()
        if now >= self._requested_lease_deadline() or now < self.promise_until:
            return self._become_follower()
        # The former coordinator's authority ended before this router could
        # create the key.
        self.elected_at = now
        self.first_term = self.record is None
        known = self.record
        candidates = dict(known.candidates) if known else {}
        if self._follows_total_loss():
            candidates = {}
        candidates[self.name] = self.incarnation
        record = LeaderRecord(
            (known.term if known else 0) + 1,
            self.name,
            self.incarnation,
            self.address,
            candidates,
        )
        record.write_id = f'{self.name}/{self.incarnation}/{next(self._ops)}'
        record.version = known.version if known else 0
        self.record = record
        return self._call_store(
            effects.StoreWrite,
            self._on_record_written,
            leader_key(self._cell),
            record.encode(),
            record.version,
        )

    def _follows_total_loss(self):
        """Return whether the router stands because all candidates are lost."""
        return self.record is not None and not self._is_candidate()

    def _on_record_written(self, reply):
        if reply.result == effects.RESULT_OK:
            return self._become_leader(reply.version)
        return self._call_store(
            effects.StoreRead,
            self._on_record_read_back,
            leader_key(self._cell),
        )

    def _on_record_read_back(self, reply):
        """Find out by the record's write id whether the write took effect."""
        if reply.result == effects.RESULT_OK:
            found = LeaderRecord.decode(reply.value, reply.version)
            if found.write_id == self.record.write_id:
                return self._become_leader(reply.version)
        return self._become_follower()

    def _become_leader(self, version):
        """Start to lead, unless the lease expired while this was paused."""
        now = self._clock.now()
        self.record.version = version
        if now >= self._requested_lease_deadline():
            return self._become_follower()
        self.state = LEADING
        self._state_changes += 1
        self._reacquiring = False
        self.term = self.record.term
        self.lease_deadline = self._requested_lease_deadline()
        self._next_renewal_at = now
        self.leader_hint = self.name
        return [self._event('elected', term=self.term)]

    def _become_follower(self):
        self.state = FOLLOWER
        self._state_changes += 1
        self.record = None
        self._key_missing_since = None
        self._next_poll_at = self._clock.now() + POLL_INTERVAL_SECONDS
        return self._end_lease()

    def _end_lease(self):
        if not self._lease_id:
            return []
        ended = self._lease_id
        self._lease_id = ''
        return self._call_store(effects.StoreEndLease, lambda reply: [], ended)

    def _step_down(self, reason):
        self._queued_effects.append(
            self._event('stepped_down', term=self.term, reason=reason)
        )
        self.lease_deadline = lease.NEVER
        self._queued_effects.extend(self._become_follower())

    def _event(self, event, **fields):
        fields['router'] = self.name
        return effects.LogEvent(event, fields)
