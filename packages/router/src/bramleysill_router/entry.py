"""The entry role: accepts callers' requests and returns the responses."""

import itertools

from bramleysill_kernel.common import refusals
from bramleysill_kernel.common.exceptions import OUTCOME_UNKNOWN
from bramleysill_kernel.common.exceptions import Refusal
from bramleysill_kernel.common.problems import to_problem
from bramleysill_net.http_server import HttpServerConn
from bramleysill_router import headers
from bramleysill_router.exchange import Exchange
from bramleysill_router.hedged import HedgePolicies
from bramleysill_router.routing import find_target


class Entry:
    """Handles all caller connections of a router.

    `locator` is the Locator that finds the upstream and the dispatching
    router of a request, `retry_budgets` holds the RetryBudgets, and
    `submit(router, head, sink, body, body_complete)` starts an attempt at an
    upstream.
    """

    __slots__ = (
        'loop',
        'locator',
        'submit',
        'retry_budgets',
        'hedge_policies',
        'metrics',
        '_name',
        '_state',
        '_request_numbers',
        'active',
        'conns',
        'waiting',
    )

    def __init__(
        self, loop, name, state, locator, submit, retry_budgets, metrics
    ):
        self.loop = loop
        self.locator = locator
        self.submit = submit
        self.retry_budgets = retry_budgets
        self.hedge_policies = HedgePolicies()
        self.metrics = metrics
        self._name = name
        self._state = state
        self._request_numbers = itertools.count(1)
        self.active = set()
        self.waiting = set()
        self.conns = set()

    def accept(self, conn):
        """Return the HTTP protocol object of a new caller connection."""
        # Nothing is started for a caller that has left.
        conn.close_with_peer()
        server = HttpServerConn(conn, self)
        self.conns.add(server)
        return server

    def on_disconnect(self, server):
        """Forget a caller's connection that has closed."""
        self.conns.discard(server)

    def on_request(self, stream, req):
        """Start a request; return the Exchange, which receives its body."""
        request_id = req.header(headers.REQUEST_ID)
        if not request_id or len(request_id) > 64:
            request_id = f'{self._name}-{next(self._request_numbers)}'
        exchange = Exchange(self, stream, req, request_id)
        self.active.add(exchange)
        try:
            exchange.start(self._find_target(req))
        except Refusal as exc:
            exchange.refuse(exc)
        return exchange

    def on_bad_request(self, stream, status, reason):
        """Refuse a request that can't be parsed."""
        cls = refusals.HeadTooLarge if status == 431 else refusals.BadRequest
        refusal = cls(reason, 'parse', stream.peer)
        if stream.has_request:
            # The part of its body that was read may have been sent on.
            refusal.outcome = OUTCOME_UNKNOWN
        status, fields, body = to_problem(refusal, '')
        self.metrics.requests['', refusal.code] += 1
        stream.send(status, fields, body)

    def on_state_changed(self):
        """Retry waiting requests at once, with the new routing state."""
        for exchange in list(self.waiting):
            exchange.retry_now()

    def close_idle(self):
        """Close caller connections without a request, for a shutdown."""
        for server in list(self.conns):
            if server.idle:
                server.conn.close()

    def abort_unfinished(self):
        """Reset the connections with responses that have not been sent."""
        for server in list(self.conns):
            server.abort_unfinished()

    def _find_target(self, req):
        if self._state.manifest is None:
            raise refusals.NoState(
                'the router has not received a manifest yet',
                'route',
                self._name,
                retry_after=1,
            )
        return find_target(self._state.manifest, req)
