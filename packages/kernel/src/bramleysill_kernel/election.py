"""Election of a cell's coordinator through the store.

Each router has one `Election`. The process drives it as follows:

* It calls `tick()` every 0.1 s and carries out the returned effects.
* Every store effect is answered within `STORE_CALL_TIMEOUT_SECONDS` by a StoreAnswer
  that goes to `on_store_answer(op, answer)` of the object which returned the
  effect; a call that failed or timed out is answered with `unknown`. Op
  numbers come from the shared counter `ops`, so that the process can keep one
  map from op to object.
* When `state` becomes `leading`, it makes a `Coordinator` for this `term`,
  which seals the table blocks before it uses them. When `state` is no longer
  `leading`, or `term` differs, it drops that Coordinator.
* It passes the VM list to `on_vm_list(names)` when it has read it.

To take office, a candidate creates the lease key, bound to a store lease, and
writes the leader record with the next term. It stands only after its own
promise has run out; promises are given through `RouterAgent.make_heartbeat`.

A restarted router takes the place of its predecessor on the leader record.
Its predecessor may have given a promise without an end while it shut down, of
which it knows nothing. It therefore stands only if its predecessor was the
last coordinator, or if that coordinator's router has said that it does not
lead. The store is not asked again by a router that is in contact with a
coordinator, except that candidates look once a second whether it answers.

A coordinator that has lost its authority steps down for good and needs a new
term: while it had none, another router may have led and have changed owners.
When a coordinator says that it has stepped down, promises given to it are
void, so that a graceful handover does not wait for their end.
"""

import json

from bramleysill_kernel import effects
from bramleysill_kernel import lease
from bramleysill_kernel.eligibility import EligibilityRules
from bramleysill_kernel.leader_lease import LeaderLease
from bramleysill_kernel.leader_lease import lease_key
from bramleysill_kernel.leader_record import LeaderRecord
from bramleysill_kernel.leader_record import leader_key

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
        '_hint_fresh',
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
        '_next_poll',
        '_next_renewal',
        '_started_at',
        '_key_missing_since',
        '_not_leading',
        '_promised_to',
        '_round',
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
        self._hint_fresh = False
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
        self._next_poll = clock.now()
        self._next_renewal = lease.FOREVER
        self._started_at = clock.now()
        self._key_missing_since = None
        self._not_leading = set()
        self._promised_to = ''
        self._round = 0
        self._reacquiring = False
        self._queued_effects = []

    # Promises and messages.

    def promise(self, received_at, coordinator='', final=False):
        """Promise not to stand; return False if that is not possible.

        `received_at` is when the coordinator's stamp arrived. A final
        promise, given while shutting down, has no end.
        """
        if self.state != FOLLOWER:
            return False
        self._promised_to = coordinator
        until = lease.FOREVER
        if not final:
            until = lease.grantor_deadline(received_at, lease.PROMISE_SECONDS)
        self.promise_until = max(self.promise_until, until)
        return True

    def note_promise(self, now):
        """Note a promise that was sent to a coordinator at `now`."""
        self.promise(now)

    def note_term(self, term):
        """Step down if another router leads under a newer term."""
        if term > self.term and self.state == LEADING:
            self._step_down('newer_term')

    def note_not_leading(self, peer, term):
        """Note that a router has said that it does not lead.

        A promise given to it is void, unless it was final.
        """
        self._not_leading.add((peer, term))
        if peer == self._promised_to and self.promise_until < lease.FOREVER:
            self.promise_until = lease.NEVER
            self._next_poll = min(self._next_poll, self._clock.now())

    @property
    def store_ok(self):
        """Tell whether the newest call was answered, and not long ago."""
        return (
            self._clock.now()
            < self._store_ok_at + 2 * STORE_PROBE_INTERVAL_SECONDS
        )

    def take_hint_fresh(self):
        """Tell once whether the holder of the lease key was just read."""
        fresh, self._hint_fresh = self._hint_fresh, False
        return fresh

    def on_vm_list(self, names):
        """Take the names of VMs that the platform lists now."""
        self.vm_names = frozenset(names)

    # Steps.

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
        elif now >= self._next_poll:
            out.extend(self._tick_follower(now))
        return out

    def step_down(self, reason):
        """Give up the office for good; the effects come with `tick()`."""
        if self.state == LEADING:
            self._step_down(reason)

    def on_store_answer(self, op, answer):
        """Take an answer; return the effects that follow."""
        handler = self._pending_calls.pop(op, None)
        if handler is None:
            return []
        if answer.result == effects.RESULT_UNKNOWN:
            self._store_ok_at = lease.NEVER
        else:
            self._store_ok_at = self._clock.now()
        step, asked_in = handler
        if asked_in != self._round:
            return []
        return step(answer) or []

    def _call_store(self, effect_class, step, *args):
        op = next(self._ops)
        self._pending_calls[op] = (step, self._round)
        return [effect_class(op, *args)]

    def _tick_follower(self, now):
        if now < self.promise_until:
            self._next_poll = now + STORE_PROBE_INTERVAL_SECONDS
            if self.promise_until < lease.FOREVER:
                self._next_poll = min(self._next_poll, self.promise_until)
            if not self.probes_store:
                return []
        else:
            jitter = self._rng.uniform(0.5, 1.0)
            self._next_poll = now + POLL_INTERVAL_SECONDS * jitter
        return self._call_store(
            effects.StoreRead, self._on_lease_read, lease_key(self._cell)
        )

    def _on_lease_read(self, answer):
        now = self._clock.now()
        if answer.result == effects.RESULT_OK:
            self._key_missing_since = None
            holder = json.loads(answer.value)
            self.leader_hint = holder['holder']
            self._hint_fresh = True
            self.leader_address = holder['address']
            if self.record is not None:
                return []
        elif answer.result != effects.RESULT_MISSING:
            self._key_missing_since = None
            return []
        elif self._key_missing_since is None:
            self._key_missing_since = now
        return self._call_store(
            effects.StoreRead, self._on_record_read, leader_key(self._cell)
        )

    def _on_record_read(self, answer):
        if answer.result == effects.RESULT_OK:
            self.record = LeaderRecord.decode(answer.value, answer.version)
        elif answer.result == effects.RESULT_MISSING:
            self.record = None
        else:
            return []
        now = self._clock.now()
        if self._key_missing_since is None or not self._may_stand(now):
            return []
        self.state = STANDING
        self._round += 1
        self._lease_requested_at = now
        return self._call_store(
            effects.StoreLease, self._on_lease, lease.LEADER_LEASE_SECONDS
        )

    # Taking office.

    def _on_lease(self, answer):
        if answer.result != effects.RESULT_OK:
            return self._become_follower()
        self._lease_id = answer.value.decode()
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

    def _on_key_created(self, answer):
        if answer.result == effects.RESULT_UNKNOWN:
            return self._call_store(
                effects.StoreRead, self._on_key_read, lease_key(self._cell)
            )
        if answer.result != effects.RESULT_OK:
            return self._become_follower()
        return self._write_record()

    def _on_key_read(self, answer):
        if answer.result != effects.RESULT_OK:
            return self._become_follower()
        if json.loads(answer.value)['lease'] != self._lease_id:
            return self._become_follower()
        return self._write_record()

    def _lease_end(self):
        return lease.holder_deadline(
            self._lease_requested_at, lease.LEADER_LEASE_SECONDS
        )

    def _write_record(self):
        """Write the next term; the lease key is ours from here on."""
        now = self._clock.now()
        if now >= self._lease_end() or now < self.promise_until:
            return self._become_follower()
        # The predecessor's authority ended before the key was created.
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
        """Tell whether this router stands under the rule of total loss."""
        return self.record is not None and not self._is_candidate()

    def _on_record_written(self, answer):
        if answer.result == effects.RESULT_OK:
            return self._become_leader(answer.version)
        return self._call_store(
            effects.StoreRead,
            self._on_record_read_back,
            leader_key(self._cell),
        )

    def _on_record_read_back(self, answer):
        """Resolve a lost answer by the write id that the record carries."""
        if answer.result == effects.RESULT_OK:
            found = LeaderRecord.decode(answer.value, answer.version)
            if found.write_id == self.record.write_id:
                return self._become_leader(answer.version)
        return self._become_follower()

    def _become_leader(self, version):
        """Lead, unless the lease ran out during a pause meanwhile."""
        now = self._clock.now()
        self.record.version = version
        if now >= self._lease_end():
            return self._become_follower()
        self.state = LEADING
        self._round += 1
        self._reacquiring = False
        self.term = self.record.term
        self.lease_deadline = self._lease_end()
        self._next_renewal = now
        self.leader_hint = self.name
        return [self._event('elected', term=self.term)]

    def _become_follower(self):
        self.state = FOLLOWER
        self._round += 1
        self.record = None
        self._key_missing_since = None
        self._next_poll = self._clock.now() + POLL_INTERVAL_SECONDS
        return self._end_lease()

    def _end_lease(self):
        if not self._lease_id:
            return []
        ended = self._lease_id
        self._lease_id = ''
        return self._call_store(
            effects.StoreEndLease, lambda answer: [], ended
        )

    def _step_down(self, reason):
        self._queued_effects.append(
            self._event('stepped_down', term=self.term, reason=reason)
        )
        self.lease_deadline = lease.NEVER
        self._queued_effects.extend(self._become_follower())

    def _event(self, event, **fields):
        fields['router'] = self.name
        return effects.LogEvent(event, fields)
