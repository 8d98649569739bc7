"""Finds the owner of a request's key, or lets the request wait for it.

The keys may be moving, or their owner may be lost. A request waits while it
can still be served in time, and is refused at once otherwise.
"""

from bramleysill_gateway import request_refusals
from bramleysill_kernel.load.send_policy import Action

# A request that waits for a new owner is decided on again this long after the
# owner was expected.
PAUSE_MARGIN_SECONDS = 0.05


class OwnerSearch:
    """The search of one exchange."""

    __slots__ = ('_exchange', '_wait_deadline', '_waiting')

    def __init__(self, exchange, now):
        self._exchange = exchange
        # Until when the request waits if it isn't known how long that takes.
        self._wait_deadline = now + exchange.frontend.max_owner_wait(
            exchange.service.name, exchange.route, exchange.time_left(now)
        )
        self._waiting = False

    def find_peer(self, now):
        """Return the peer of the owner; None if the request waits or ends."""
        exchange = self._exchange
        frontend = exchange.frontend
        self._waiting = False
        table = frontend.state.tables.get(exchange.service.name)
        if table is None:
            self._refuse('the owner table has not been received')
            return None
        owned_range = exchange.owned_range = table.find(exchange.key)
        paused = frontend.decide_paused(exchange, owned_range, now)
        if paused is not None:
            self._wait_while_paused(now, paused)
            return None
        entry = frontend.state.directory.owner_entry(
            owned_range.owner, owned_range.incarnation
        )
        if entry is None:
            self._refuse('the owner of the key is not available')
            return None
        if frontend.stale_owners.is_stale(exchange.service.name, owned_range):
            self._wait_for_table(now)
            return None
        peer = frontend.upstreams.peer(entry)
        if peer.replaced:
            self._refuse('another process uses the address of the owner')
            return None
        return peer

    def _refuse(self, message):
        exchange = self._exchange
        owned_range = exchange.owned_range
        peer = owned_range.owner if owned_range else exchange.service.name
        exchange.refuse(
            request_refusals.no_owner(
                message, peer, exchange.bound_retry_after
            )
        )

    def _wait_while_paused(self, now, decision):
        """Wait for the new owner of the key, unless that takes too long."""
        if decision.action is Action.WAIT:
            self._wait(now + decision.retry_after + PAUSE_MARGIN_SECONDS)
        else:
            self._refuse_moving(decision.retry_after)

    def _wait_for_table(self, now):
        """Wait until the table has another owner, or is worth a try again."""
        if now < self._wait_deadline:
            self._wait(self._wait_deadline)
        else:
            self._refuse_moving(0.0)

    def _refuse_moving(self, seconds):
        exchange = self._exchange
        exchange.refuse(
            request_refusals.keys_moving(
                exchange.owned_range, seconds, exchange.bound_retry_after
            )
        )

    def _wait(self, until):
        self._waiting = True
        exchange = self._exchange
        exchange.frontend.wait_for_table(exchange)
        exchange.call_at(until, self._on_timeout)

    def _on_timeout(self):
        if self._waiting:
            self._exchange.dispatch()
