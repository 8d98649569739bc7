"""The operators' routing configuration: routes, services and limits.

A `RoutingConfig` is one complete version. Its `match` selects the route of a
request, and `TrafficSplitter` picks a service if the route has several.
"""

import enum


class Repeatability(enum.Enum):
    """Whether and how requests of a route may be repeated."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    UPLOAD = 'upload'


class WeightedService:
    """A service of a route and its relative share of the requests."""

    __slots__ = ('service', 'weight')

    def __init__(self, service, weight):
        self.service = service
        self.weight = weight


class Route:
    """Maps requests for a host and path prefix to services.

    `max_wait` is the longest time that a caller is kept waiting and
    `objective` the latency up to which a response meets the service level
    objective, both in seconds. `repeatability` is a Repeatability. `priority`
    0 is the most urgent, as in the platform's format; in manifest.Route a
    higher number is more urgent. Requests of a `public` route need no API key.
    """

    __slots__ = (
        'name',
        'host',
        'prefix',
        'repeatability',
        'max_wait',
        'objective',
        'priority',
        'max_attempts',
        'services',
        'public',
    )

    def __init__(
        self,
        name,
        host,
        prefix,
        repeatability,
        max_wait,
        objective,
        priority,
        max_attempts,
        services,
        public=False,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.repeatability = repeatability
        self.max_wait = max_wait
        self.objective = objective
        self.priority = priority
        self.max_attempts = max_attempts
        self.services = services
        self.public = public

    @property
    def repeatable(self):
        """Return whether a request may run more than once."""
        return self.repeatability is Repeatability.IDEMPOTENT

    def with_priority(self, priority):
        """Return this route with another priority."""
        if priority == self.priority:
            return self
        return Route(
            self.name,
            self.host,
            self.prefix,
            self.repeatability,
            self.max_wait,
            self.objective,
            priority,
            self.max_attempts,
            self.services,
            self.public,
        )


class Service:
    """A named set of upstreams.

    If `keyed`, each key has an owner among them. A new upstream is in slow
    start for `slow_start_seconds`, in which all routers together send it at
    most `slow_start_rate` requests/s plus the platform's tolerance. After a
    move without a handover, requests for the moved keys are slow for
    `key_warmup_seconds`.
    """

    __slots__ = (
        'name',
        'health_path',
        'max_connections',
        'keyed',
        'slow_start_seconds',
        'slow_start_rate',
        'key_warmup_seconds',
    )

    def __init__(
        self,
        name,
        health_path,
        max_connections,
        keyed,
        slow_start_seconds,
        slow_start_rate,
        key_warmup_seconds,
    ):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.keyed = keyed
        self.slow_start_seconds = slow_start_seconds
        self.slow_start_rate = slow_start_rate
        self.key_warmup_seconds = key_warmup_seconds


class Limits:
    """Limits of the size of callers' requests, and their timeouts."""

    __slots__ = (
        'head_bytes',
        'body_bytes',
        'head_timeout_seconds',
        'idle_timeout_seconds',
    )

    def __init__(
        self,
        head_bytes,
        body_bytes,
        head_timeout_seconds,
        idle_timeout_seconds,
    ):
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_timeout_seconds = head_timeout_seconds
        self.idle_timeout_seconds = idle_timeout_seconds


class RoutingConfig:
    """One version of the configuration; immutable.

    `unknown_kinds` has the kinds, by route, that this version of the router
    does not know. Requests of these routes run at most once. `organisations`
    is the OrganisationTable, or None if callers need no API key.
    """

    __slots__ = (
        'version',
        'routes',
        'services',
        'limits',
        'unknown_kinds',
        'organisations',
        '_by_host',
    )

    def __init__(
        self,
        version,
        routes,
        services,
        limits,
        unknown_kinds=None,
        organisations=None,
    ):
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self.unknown_kinds = unknown_kinds or {}
        self.organisations = organisations
        self._by_host = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for found in self._by_host.values():
            found.sort(key=lambda r: len(r.prefix), reverse=True)

    def match(self, host, target):
        """Return the route with the longest matching prefix, or None."""
        path = target.partition('?')[0]
        name = host.lower().partition(':')[0]
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


class TrafficSplitter:
    """Splits the requests of a route between its services by weight.

    Uses smooth weighted round robin: each pick goes to the service that is
    furthest behind its share. Short sequences thus follow the weights more
    closely than with random picks.
    """

    __slots__ = ('_credit', '_rng')

    def __init__(self, rng):
        self._credit = {}
        self._rng = rng

    def pick(self, route):
        """Return the name of the service for the next request."""
        services = route.services
        if len(services) == 1:
            return services[0].service
        key = (route.name, tuple((s.service, s.weight) for s in services))
        total = sum(s.weight for s in services)
        credit = self._credit.get(route.name)
        if credit is None or credit[0] != key:
            # Random initial credit keeps the routers from picking the same
            # services in lockstep.
            start = {s.service: self._rng.uniform(0, total) for s in services}
            credit = (key, start)
            self._credit[route.name] = credit
        values = credit[1]
        for item in services:
            values[item.service] += item.weight
        best = max(services, key=lambda s: (values[s.service], s.weight))
        values[best.service] -= total
        return best.service
