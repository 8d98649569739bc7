"""How the elected router keeps its leader lease.

The lease is renewed while the store replies. If it expires during a store
outage, the router keeps leading as long as the candidates' promises are valid.
After the outage it creates the lease key again and checks that the leader
record is still that of its term.
"""

import json

from bramleysill_kernel.common import effects
from bramleysill_kernel.common import lease
from bramleysill_kernel.election.leader_record import LeaderRecord
from bramleysill_kernel.election.leader_record import leader_key


def lease_key(cell):
    """Return the store key that is bound to the leader lease."""
    return f'cell/{cell}/lease'


class LeaderLease:
    """The part of an Election that renews or reacquires the leader lease."""

    __slots__ = ()

    def _tick_leading(self, now):
        """Renew the lease, or request a new one after it has expired."""
        if now < self._next_renewal_at:
            return []
        self._next_renewal_at = now + lease.LEADER_RENEW_INTERVAL_SECONDS
        if self._lease_id:
            return self._call_store(
                effects.StoreRenew,
                lambda reply: self._on_renewed(reply, now),
                self._lease_id,
            )
        if self._reacquiring:
            return []
        self._reacquiring = True
        return self._call_store(
            effects.StoreLease,
            lambda reply: self._on_new_lease(reply, now),
            lease.LEADER_LEASE_SECONDS,
        )

    def _extend_lease(self, sent_at):
        deadline = lease.holder_deadline(sent_at, lease.LEADER_LEASE_SECONDS)
        self.lease_deadline = max(self.lease_deadline, deadline)

    def _on_renewed(self, reply, sent_at):
        if reply.result == effects.RESULT_OK:
            self._extend_lease(sent_at)
        elif reply.result == effects.RESULT_MISSING:
            # The lease has expired and the store has removed the key. Until
            # the lease is reacquired, only promises give authority. The next
            # tick requests a new lease. If the key can be created again and
            # the record is unchanged, this router continues to lead.
            self._lease_id = ''
            self._next_renewal_at = self._clock.now()

    def _on_new_lease(self, reply, sent_at):
        if reply.result != effects.RESULT_OK:
            self._reacquiring = False
            return []
        lease_id = reply.value.decode()
        return self._call_store(
            effects.StoreWrite,
            lambda reply: self._on_key_recreated(reply, lease_id, sent_at),
            lease_key(self._cell),
            self._key_value(lease_id),
            0,
            lease_id,
        )

    def _on_key_recreated(self, reply, lease_id, sent_at):
        if reply.result == effects.RESULT_OK:
            return self._call_store(
                effects.StoreRead,
                lambda reply: self._on_record_checked(
                    reply, lease_id, sent_at
                ),
                leader_key(self._cell),
            )
        # If the reply was lost, the key may exist. Its lease is not renewed,
        # so that the store removes both when the lease expires.
        self._reacquiring = False
        if reply.result != effects.RESULT_CONFLICT:
            return []
        return self._call_store(
            effects.StoreRead, self._on_key_holder_read, lease_key(self._cell)
        )

    def _on_key_holder_read(self, reply):
        """Step down if another router holds the leader lease."""
        if reply.result != effects.RESULT_OK:
            return
        if json.loads(reply.value)['holder'] != self.name:
            self._step_down('lease_taken')

    def _on_record_checked(self, reply, lease_id, sent_at):
        self._reacquiring = False
        if reply.result == effects.RESULT_UNKNOWN:
            return
        self._lease_id = lease_id
        if reply.result == effects.RESULT_OK:
            found = LeaderRecord.decode(reply.value, reply.version)
            if found.term == self.term:
                self._extend_lease(sent_at)
                return
        self._step_down('record_replaced')

    def _key_value(self, lease_id):
        value = {
            'holder': self.name,
            'address': self.address,
            'lease': lease_id,
        }
        return json.dumps(value).encode()
