"""The operators' routing configuration: routes, services and limits.

A `RoutingConfig` is a whole version. `match` selects the route of a request
and `RouteSplits` picks a service of a route whose traffic is divided.
"""

import enum


class Repeatability(enum.Enum):
    """What may happen to a request more than once."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    UPLOAD = 'upload'


class WeightedService:
    """A service of a route and its share of the route's requests."""

    __slots__ = ('service', 'weight')

    def __init__(self, service, weight):
        self.service = service
        self.weight = weight


class Route:
    """Where requests of a host and path prefix go.

    `max_wait` is the longest that a caller is kept waiting and `objective`
    the latency within which an answer has its full worth, both in seconds.
    `priority` 0 is the most urgent.
    """

    __slots__ = (
        'name',
        'host',
        'prefix',
        'kind',
        'max_wait',
        'objective',
        'priority',
        'max_attempts',
        'services',
    )

    def __init__(
        self,
        name,
        host,
        prefix,
        kind,
        max_wait,
        objective,
        priority,
        max_attempts,
        services,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.max_wait = max_wait
        self.objective = objective
        self.priority = priority
        self.max_attempts = max_attempts
        self.services = services

    @property
    def repeatable(self):
        """Tell whether a request may run more than once."""
        return self.kind is Repeatability.IDEMPOTENT


class Service:
    """A set of upstreams; times in seconds, `cold_rate` in requests/s."""

    __slots__ = (
        'name',
        'health_path',
        'max_connections',
        'keyed',
        'cold_time',
        'cold_rate',
        'warm_time',
    )

    def __init__(
        self,
        name,
        health_path,
        max_connections,
        keyed,
        cold_time,
        cold_rate,
        warm_time,
    ):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.keyed = keyed
        self.cold_time = cold_time
        self.cold_rate = cold_rate
        self.warm_time = warm_time


class Limits:
    """What a caller may send; sizes in bytes, times in seconds."""

    __slots__ = ('head_bytes', 'body_bytes', 'head_time', 'idle_time')

    def __init__(self, head_bytes, body_bytes, head_time, idle_time):
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_time = head_time
        self.idle_time = idle_time


class RoutingConfig:
    """One version of the configuration; never changed after it is built."""

    __slots__ = ('version', 'routes', 'services', 'limits', '_by_host')

    def __init__(self, version, routes, services, limits):
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
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
    """Divides the requests of a route over its services by weight.

    Each pick goes to the service that is furthest behind its share, so a
    short window follows the weights more closely than random picks do.
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
            # A random start keeps the routers from picking in step.
            start = {s.service: self._rng.uniform(0, total) for s in services}
            credit = (key, start)
            self._credit[route.name] = credit
        values = credit[1]
        for item in services:
            values[item.service] += item.weight
        best = max(services, key=lambda s: (values[s.service], s.weight))
        values[best.service] -= total
        return best.service
