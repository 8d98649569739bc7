"""Selects the upstream that one request is sent to now.

A request for a key goes to its owner, any other one to an upstream of its
service. If the upstream can't take the request now, the exchange is dispatched
again later, or given up.
"""

from bramleysill_gateway import request_refusals
from bramleysill_gateway.limit_wait import LimitWait
from bramleysill_gateway.owner_search import OwnerSearch
from bramleysill_gateway.upstream_room import UpstreamRoom
from bramleysill_kernel.load.send_policy import Action


class PeerSelection:
    """The selection of one exchange.

    `expected_seconds` is the estimated response time at the last peer that
    `find_peer` has returned.
    """

    __slots__ = (
        'expected_seconds',
        '_exchange',
        '_limit_wait',
        '_upstream_room',
        '_owner_search',
    )

    def __init__(self, exchange, now):
        self.expected_seconds = 0.0
        self._exchange = exchange
        self._limit_wait = LimitWait(exchange)
        self._upstream_room = UpstreamRoom(exchange)
        self._owner_search = OwnerSearch(exchange, now)

    def find_peer(self, now, failed_upstreams):
        """Return the upstream to send to; None if the request waits or ends.

        `failed_upstreams` names those that have failed the request.
        """
        if self._exchange.service.keyed:
            peer = self._find_owner(now)
        else:
            peer = self._choose_shared(now, failed_upstreams)
        if peer is None or not self._may_send(peer, now):
            return None
        return peer

    def _find_owner(self, now):
        exchange = self._exchange
        if exchange.key is None:
            exchange.key = exchange.frontend.key_of(exchange.req)
            exchange.frontend.note_key(exchange)
        return self._owner_search.find_peer(now)

    def _choose_shared(self, now, failed_upstreams):
        exchange = self._exchange
        limited_peers = self._limit_wait.limited_peers
        full_peers = self._upstream_room.full_peers
        peer = self._limit_wait.permitted_peer()
        if peer is None or peer in full_peers:
            peer = exchange.frontend.choice.choose(
                exchange.service,
                now,
                failed_upstreams,
                limited_peers | full_peers,
                min(exchange.route.objective, exchange.time_left(now)),
            )
        if peer is not None:
            return peer
        if limited_peers:
            self._limit_wait.refuse(limited_peers)
        elif full_peers:
            self._upstream_room.refuse()
        else:
            self._refuse_no_upstream(now)
        return None

    def _may_send(self, peer, now):
        """Return whether the upstream has room for the request in time."""
        exchange = self._exchange
        if not self._upstream_room.has_room(peer):
            return False
        decision = exchange.frontend.check_admission(peer, now, exchange)
        if decision.action is Action.WAIT:
            exchange.dispatch_at(now + decision.retry_after)
            return False
        if decision.action is not Action.SEND:
            self._refuse_not_admitted(peer, decision)
            return False
        seconds = decision.expected_seconds
        if not self._limit_wait.may_send(peer, now, seconds):
            return False
        if not self._passes_slow_start(peer, now):
            self._refuse_slow_start(peer)
            return False
        self.expected_seconds = seconds
        return True

    def _passes_slow_start(self, peer, now):
        if peer.cold_until <= now:
            return True
        exchange = self._exchange
        return exchange.frontend.take_slow_start_slot(peer, exchange.service)

    def _refuse_no_upstream(self, now):
        exchange = self._exchange
        choice = exchange.frontend.choice
        exchange.refuse(
            request_refusals.no_upstream(
                exchange.service.name,
                choice.seconds_until_open(exchange.service, now),
                exchange.bound_retry_after,
            )
        )

    def _refuse_slow_start(self, peer):
        exchange = self._exchange
        exchange.refuse(
            request_refusals.in_slow_start(
                peer.entry.upstream, exchange.bound_retry_after
            )
        )

    def _refuse_not_admitted(self, peer, decision):
        exchange = self._exchange
        if decision.action is Action.REFUSE_BUSY:
            exchange.frontend.choice.count_full_refusal(
                exchange, peer, 'router'
            )
        exchange.refuse(
            request_refusals.not_admitted(
                peer.entry.upstream, decision, exchange.bound_retry_after
            )
        )
