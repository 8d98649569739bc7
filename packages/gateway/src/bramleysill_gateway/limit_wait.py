"""Lets a request wait for room under the limit of its upstream.

The pacing router of the upstream says when the request may be sent. If that
would be too late, a request for a shared service goes to another upstream, and
one for a key, which only its owner can serve, is refused.

A decision only changes what the next dispatch finds. The request may have been
sent by another way since the question was asked, and must not be refused then.
"""

from bramleysill_gateway import request_refusals
from bramleysill_kernel.load.send_policy import max_upstream_seconds


class _Question:
    """What a pacing router was asked: has the upstream `peer` room?"""

    __slots__ = ('peer',)

    def __init__(self, peer):
        self.peer = peer


class _Permission:
    """The upstream `peer` has room for the request at `at`, in seconds."""

    __slots__ = ('peer', 'at')

    def __init__(self, peer, at):
        self.peer = peer
        self.at = at


class LimitWait:
    """The limits that one exchange has met."""

    __slots__ = (
        '_exchange',
        '_question',
        '_permission',
        'limited_peers',
    )

    def __init__(self, exchange):
        self._exchange = exchange
        # The _Question without a decision, or None.
        self._question = None
        # The _Permission for the next attempt, or None.
        self._permission = None
        # Upstreams whose limit leaves no room for this request.
        self.limited_peers = set()

    def permitted_peer(self):
        """Return the upstream with room, None if there is none any more."""
        if self._permission is None:
            return None
        peer = self._permission.peer
        exchange = self._exchange
        usable = exchange.frontend.state.directory.usable(
            exchange.service.name
        )
        return peer if peer.entry in usable else None

    def may_send(self, peer, now, expected_seconds):
        """Return whether the limit of the upstream has room now.

        Otherwise the exchange is dispatched again or refused later.
        `expected_seconds` is the time that the upstream needs to respond.
        """
        permission, self._permission = self._permission, None
        if peer.limit is None:
            self._question = None
            return True
        if permission is not None and permission.peer is peer:
            return self._may_use(permission, now)
        if peer in self.limited_peers:
            # Only the owner of a key is asked for again.
            self.refuse((peer,))
            return False
        if self._question is None or self._question.peer is not peer:
            self._ask(peer, now, expected_seconds)
        return False

    def refuse(self, peers):
        """Refuse the request until the first of the upstreams has room."""
        exchange = self._exchange
        now = exchange.frontend.loop.now()
        peer = min(peers, key=lambda peer: peer.limit_room_at)
        exchange.refuse(
            request_refusals.limit_reached(
                peer.entry.upstream,
                peer.limit_room_at - now,
                exchange.bound_retry_after,
            )
        )

    def _may_use(self, permission, now):
        """Return whether the time of a permission has come, or wait for it."""
        if now >= permission.at:
            return True
        self._permission = permission
        self._exchange.dispatch_at(permission.at)
        return False

    def _ask(self, peer, now, expected_seconds):
        exchange = self._exchange
        allowed = max_upstream_seconds(exchange.route, exchange.time_left(now))
        max_wait = max(0.0, allowed - expected_seconds)
        if peer.limit_room_at - now > max_wait:
            self._on_full(peer)
            return
        question = self._question = _Question(peer)
        exchange.frontend.pacing.ask(
            peer.entry,
            max_wait,
            lambda decision: self._on_decision(question, decision),
        )

    def _on_decision(self, question, decision):
        exchange = self._exchange
        if exchange.finished or question is not self._question:
            return
        self._question = None
        peer = question.peer
        at = exchange.frontend.loop.now() + decision.delay
        if not decision.permitted:
            peer.limit_room_at = at
            self._on_full(peer)
            return
        self._permission = _Permission(peer, at)
        exchange.dispatch()

    def _on_full(self, peer):
        self._question = None
        self.limited_peers.add(peer)
        self._exchange.dispatch()
