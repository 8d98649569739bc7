"""Ends the store lease of a leader that this router has replaced."""

from bramleysill_kernel.common.store_types import StoreOutcome

# Interval between attempts to end the lease.
END_LEASE_INTERVAL_SECONDS = 0.3


class ReplacedLease:
    """The lease of the leader before, until it is known to have ended.

    That leader might renew it yet. `lease` is 0 if there is none.
    """

    __slots__ = ('lease', '_loop', '_store', '_retry_at')

    def __init__(self, loop, store):
        self.lease = 0
        self._loop = loop
        self._store = store
        self._retry_at = 0.0

    def forget(self):
        """Leave the lease as it is."""
        self.lease = 0

    def end_at_once(self):
        """Try to end the lease at the next call of `end`."""
        self._retry_at = 0.0

    def end(self, on_ended):
        """End the lease, if it is time, and call `on_ended()` once it has."""
        now = self._loop.now()
        if now < self._retry_at:
            return
        self._retry_at = now + END_LEASE_INTERVAL_SECONDS
        lease = self.lease

        def on_reply(reply):
            if lease != self.lease:
                return
            if reply.ok or reply.outcome is StoreOutcome.MISSING:
                self.lease = 0
                on_ended()

        self._store.end_lease(lease, on_reply)
