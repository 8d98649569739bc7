"""Registers this router in the store.

The routers divide shared limits by the number of registrations.
"""

from bramleysill_gateway.cell_state import ROUTERS_PREFIX
from bramleysill_kernel.common.store_types import Put
from bramleysill_kernel.common.store_types import StoreOutcome
from bramleysill_router.logs import log_warning

# The registration of a failed router expires after this time. KnownRouters
# then decides when the others take over its part of the shared limits.
MIN_LEASE_SECONDS = 6.0
RENEW_INTERVAL_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.5


class Registration:
    """This router's key in the store, bound to a lease that it renews."""

    def __init__(self, loop, store, adapter, cfg, address):
        self._loop = loop
        self._store = store
        self._key = f'{adapter.own_prefix}{ROUTERS_PREFIX}{cfg.name}'
        self._value = address.encode()
        self._lease_seconds = max(MIN_LEASE_SECONDS, cfg.min_lease_seconds)
        self._lease = 0
        self._next_call_at = 0.0
        self._call_pending = False
        self._stopped = False
        # Replies to the calls of an earlier attempt are ignored.
        self._attempt = 0

    def tick(self):
        """Register or renew the registration when due."""
        if (
            self._call_pending
            or self._stopped
            or self._loop.now() < self._next_call_at
        ):
            return
        self._call_pending = True
        if self._lease:
            self._store.renew_lease(
                self._lease, self._if_current(self._on_renewed)
            )
        else:
            self._store.open_lease(
                self._lease_seconds, self._if_current(self._on_opened)
            )

    def restart(self):
        """Register again: a restored store may have lost the registration."""
        self._lease = 0
        self._attempt += 1
        self._schedule_next(0.0)

    def stop(self):
        """End the registration at shutdown."""
        self._stopped = True
        if self._lease:
            self._store.end_lease(self._lease, lambda reply: None)

    def _on_opened(self, reply):
        if not reply.ok:
            self._failed(reply)
            return
        self._lease = reply.lease
        put = Put(self._key, self._value, reply.lease)
        self._store.write((), [put], (), self._if_current(self._on_written))

    def _if_current(self, action):
        attempt = self._attempt

        def call(reply):
            if attempt == self._attempt:
                action(reply)

        return call

    def _on_written(self, reply):
        if not reply.ok:
            self._lease = 0
            self._failed(reply)
            return
        self._schedule_next(RENEW_INTERVAL_SECONDS)

    def _on_renewed(self, reply):
        if reply.outcome is StoreOutcome.MISSING:
            self._lease = 0
            self._schedule_next(0.0)
        elif reply.ok:
            self._schedule_next(RENEW_INTERVAL_SECONDS)
        else:
            self._failed(reply)

    def _failed(self, reply):
        log_warning('registration_failed', outcome=reply.outcome.value)
        self._schedule_next(RETRY_DELAY_SECONDS)

    def _schedule_next(self, delay):
        self._call_pending = False
        self._next_call_at = self._loop.now() + delay
