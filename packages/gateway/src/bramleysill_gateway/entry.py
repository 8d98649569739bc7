"""The callers' side: routes requests and holds what exchanges share."""

import collections

from bramleysill_gateway.exchange import Exchange
from bramleysill_kernel import refusals
from bramleysill_kernel import send_policy
from bramleysill_kernel.problems import to_problem
from bramleysill_kernel.routing_config import RouteSplits
from bramleysill_kernel.shared_limits import RetryBudget
from bramleysill_kernel.shared_limits import SlowStartLimiter
from bramleysill_net.http_server import HttpServerConn
from bramleysill_router.logs import log_event

# Until a configuration is known, bodies up to this size are accepted.
DEFAULT_BODY_BYTES = 1 << 20
# An owner that answered that it does not hold a key is asked again after
# this time, or as soon as the table of owners changes.
STALE_SECONDS = 0.12
# A caller that is refused by a router that ends finds another one at once.
SHUTDOWN_RETRY_SECONDS = 0.05
# What is added to the idle time that callers are promised, so that a
# request does not cross the close.
IDLE_SLACK_SECONDS = 1.0


class Entry:
    """Accepts callers and starts an exchange for each request."""

    def __init__(self, loop, rng, cfg, state, upstreams, adapter, metrics):
        self.loop = loop
        self.state = state
        self.upstreams = upstreams
        self.adapter = adapter
        self.active = set()
        # While this router shuts down: first connections end with their
        # next answer, then requests are refused.
        self.leaving = False
        self.refusing = False
        # Requests by key since the last report, by service.
        self.key_counts = collections.defaultdict(collections.Counter)
        self.request_drops = frozenset(
            (
                'content-length',
                'expect',
                adapter.time_left_ms,
                adapter.request_id,
                adapter.expected_upstream_header.lower(),
            )
        )
        self.answer_drops = frozenset(
            ('content-length', adapter.load, adapter.cold_ms)
        )
        self._cfg = cfg
        self._rng = rng
        self._metrics = metrics
        self._splits = RouteSplits(rng)
        self._cold = SlowStartLimiter(loop)
        self._allowances = {}
        self._waiting = []
        self._stale = {}
        self._conns = {}

    # Callers' connections.

    def accept(self, conn):
        """Return the protocol of a new caller connection."""
        server = HttpServerConn(conn, self)
        self._conns[server] = self.loop.now()
        return server

    def on_disconnect(self, server):
        """A caller connection has closed."""
        self._conns.pop(server, None)

    def sweep(self):
        """Close caller connections that are idle for too long."""
        limits = self.state.config.limits if self.state.config else None
        if limits is None:
            return
        now = self.loop.now()
        for server, since in list(self._conns.items()):
            if not server.idle:
                self._conns[server] = now
                continue
            if now - since > limits.idle_time + IDLE_SLACK_SECONDS:
                server.conn.close()

    def close_idle(self):
        """Close the caller connections that have no request in progress."""
        for server in list(self._conns):
            if server.idle:
                server.conn.close()

    def unsent_answers(self):
        """Return the number of callers that have not taken an answer yet."""
        return sum(1 for server in self._conns if server.conn.buffered)

    @property
    def connections(self):
        """Return the number of open caller connections."""
        return len(self._conns)

    def on_bad_request(self, stream, status, reason):
        """Refuse what can't be parsed."""
        kind = refusals.BadRequest
        if status == 431:
            kind = refusals.HeadTooLarge
        self._answer(stream, kind(reason, 'parse', stream.peer), '')

    def on_request(self, stream, req):
        """Route a request; returns the sink of its body."""
        if self.leaving:
            stream.disable_keep_alive()
        request_id = req.header(self.adapter.request_id)
        config = self.state.config
        if self.refusing:
            refusal = refusals.ShuttingDown(
                'the router is shutting down',
                'route',
                retry_after=SHUTDOWN_RETRY_SECONDS,
            )
            self._refuse_unrouted(stream, refusal, request_id, 0)
            return None
        if config is None:
            refusal = refusals.NoState(
                'no configuration yet', 'route', retry_after=0.5
            )
            self._refuse_unrouted(stream, refusal, request_id, 0)
            return None
        route = config.match(req.header('host'), req.target)
        if route is None:
            refusal = refusals.UnknownService('no route matches', 'route')
            self._refuse_unrouted(stream, refusal, request_id, config.version)
            return None
        if req.length > config.limits.body_bytes:
            refusal = refusals.BodyTooLarge('the body is too large', 'route')
            self._refuse_unrouted(stream, refusal, request_id, config.version)
            return None
        service = config.services[self._splits.pick(route)]
        exchange = Exchange(self, stream, req, route, service, config.version)
        self.active.add(exchange)
        return exchange

    def _refuse_unrouted(self, stream, refusal, request_id, version):
        self._metrics.requests['-', refusal.code] += 1
        log_event(
            'request_refused',
            id=request_id,
            code=refusal.code,
            status=refusal.status,
            step=refusal.step,
            config=version,
        )
        self._answer(stream, refusal, request_id)

    def _answer(self, stream, refusal, request_id):
        status, headers, body = to_problem(
            refusal, request_id, whole_seconds=False
        )
        stream.send(status, headers, body)

    # For exchanges.

    @property
    def body_limit(self):
        """Return the largest body of a request, in bytes."""
        config = self.state.config
        return config.limits.body_bytes if config else DEFAULT_BODY_BYTES

    def key_of(self, req):
        """Return the key of a request; one without a key gets any."""
        key = self.adapter.parse_key(req.header(self.adapter.key))
        if key is None:
            key = self._rng.randrange(65536)
            log_event(
                'key_missing', id=req.header(self.adapter.request_id), key=key
            )
        return key

    def judge(self, peer, now, exchange):
        """Decide whether a request may go to an upstream now."""
        left = exchange.time_left(now)
        return send_policy.decide(peer.load, now, left, exchange.route)

    def choose(self, service, now, excluded, objective):
        """Return the best upstream of a shared service, or None.

        `objective` is the route's latency objective in seconds.
        """
        usable = self.state.directory.usable(service.name)
        peers = [self.upstreams.peer(e) for e in usable]
        peers = [p for p in peers if not p.replaced]
        fresh = [p for p in peers if p.entry.upstream not in excluded]
        peers = fresh or peers
        warm = [p for p in peers if p.cold_until <= now]
        found = None
        if warm:
            found = self._pick(warm, now, objective)
        if found is None:
            cold = [p for p in peers if p.cold_until > now]
            found = self._pick(cold, now, objective)
        return found[0] if found else None

    def _pick(self, peers, now, objective):
        return send_policy.choose_upstream(
            [(p, p.load) for p in peers],
            now,
            self._rng,
            self.domain,
            objective,
        )

    @property
    def domain(self):
        """Return the failure domain of this router."""
        return self._cfg.failure_domain

    def take_cold(self, peer, service):
        """Return whether an upstream in slow start may get a request."""
        if not self.state.routers.is_settled():
            return False
        bounds = self._cfg.bounds
        bound = service.cold_rate * bounds.cold_factor + bounds.cold_extra
        return self._cold.take(
            peer.entry.upstream,
            bound,
            self._cfg.name,
            self.state.routers.names(),
        )

    def note_request(self, exchange):
        """Count a fresh request for the retry budget."""
        self._allowance(exchange.service.name).note_request()

    def note_key(self, exchange):
        """Count the demand for a key, whether or not it can be met."""
        self.key_counts[exchange.service.name][exchange.key] += 1

    def take_retry(self, service):
        """Return whether a request may be sent once more."""
        routers = max(1, len(self.state.routers.names()))
        return self._allowance(service.name).take(routers)

    def _allowance(self, service):
        allowance = self._allowances.get(service)
        if allowance is None:
            bounds = self._cfg.bounds
            allowance = self._allowances[service] = RetryBudget(
                self.loop,
                bounds.retry_ratio,
                bounds.retry_extra,
                bounds.retry_window,
            )
        return allowance

    def note_stale(self, service, owned):
        """The owner does not hold a range; its table entry is not used."""
        self._stale[service, owned.first, owned.fence] = (
            self.loop.now() + STALE_SECONDS
        )

    def is_stale(self, service, owned):
        """Tell whether the owner of a range is known not to hold it."""
        until = self._stale.get((service, owned.first, owned.fence))
        return until is not None and self.loop.now() < until

    def wait_for_table(self, exchange):
        """Call `exchange.dispatch` when the owners may have changed."""
        self._waiting.append(exchange)

    def on_state_changed(self):
        """Try the requests again that wait for an owner."""
        waiting, self._waiting = self._waiting, []
        for exchange in waiting:
            exchange.dispatch()

    def tick(self):
        """Wake requests whose stale owner may be asked again."""
        now = self.loop.now()
        over = [k for k, until in self._stale.items() if now >= until]
        for key in over:
            del self._stale[key]
        if over:
            self.on_state_changed()

    def on_finished(self, exchange, outcome, seconds):
        """An exchange has ended."""
        self.active.discard(exchange)
        self._metrics.observe(exchange.service.name, outcome, seconds)
