"""Keeps a request from upstreams that may not hold its body as well.

Such an upstream was lost while it held many bytes (load/upstream_memory.py). A
request for a shared service goes to another upstream, and one for a key, which
only its owner can serve, is refused.
"""

from bramleysill_gateway import request_refusals


class UpstreamRoom:
    """The upstreams that one exchange has found without room."""

    __slots__ = ('_exchange', 'full_peers')

    def __init__(self, exchange):
        self._exchange = exchange
        self.full_peers = set()

    def has_room(self, peer):
        """Return whether the body may be sent to the upstream now.

        Otherwise the exchange has been dispatched again or refused.
        """
        exchange = self._exchange
        if peer.in_flight_bytes.allows(exchange.body_size):
            return True
        self.full_peers.add(peer)
        if exchange.service.keyed:
            self.refuse()
        else:
            exchange.dispatch()
        return False

    def refuse(self):
        """Refuse the request until the first of the upstreams has room."""
        exchange = self._exchange
        service_seconds = exchange.frontend.upstreams.service_seconds(
            exchange.service.name
        )

        def seconds_until_room(peer):
            return peer.in_flight_bytes.seconds_until_room(
                exchange.body_size, service_seconds
            )

        peer = min(self.full_peers, key=seconds_until_room)
        exchange.refuse(
            request_refusals.upstream_memory(
                peer.entry.upstream,
                seconds_until_room(peer),
                exchange.bound_retry_after,
            )
        )
