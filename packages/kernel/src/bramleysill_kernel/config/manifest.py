"""The manifest: the operators' declaration of a cell.

It declares failure domains, services and upstreams. Each data class
corresponds to one kind of section of the INI file. All durations are in
seconds unless the name ends in `_ms`.
"""

import dataclasses

from bramleysill_kernel.common.exceptions import SillError

KIND_KEYED = 'keyed'
KIND_SHARED = 'shared'
DEFAULT_SHARDS = 1024
DEFAULT_SLOTS = 4
DEFAULT_CONNECTIONS = 120
DEFAULT_SETTLE_SECONDS = 30.0
DEFAULT_TIMEOUT_SECONDS = 5.0
DEFAULT_MAX_BODY_BYTES = 1 << 20


@dataclasses.dataclass(slots=True)
class FailureDomain:
    """A part of a region whose machines may all fail at once."""

    name: str
    drained: bool = False


@dataclasses.dataclass(slots=True)
class Route:
    """Methods and a path below a key, with properties of their own.

    `suffix` is the path after the key, for example `openings` in
    `/ledger/CAP-1/openings`; an empty suffix matches the key alone. A request
    of a `repeatable` route may safely run twice. A higher `priority` is sent
    first; in routing_config.Route, which follows the platform's format, a
    lower one is.
    """

    name: str
    service: str
    methods: tuple
    suffix: str = ''
    repeatable: bool = True
    priority: int = 1


@dataclasses.dataclass(slots=True)
class Objective:
    """The service-level objective of a service.

    `availability` is the ratio of requests that must succeed, `latency_ratio`
    the ratio of responses that must arrive within `latency_ms`.
    """

    service: str
    availability: float = 0.999
    latency_ms: float = 9.0
    latency_ratio: float = 0.99


@dataclasses.dataclass(slots=True)
class KeyRange:
    """A range of keys that only the listed upstreams may own.

    `first` is included and `last` is excluded; an empty bound leaves the
    range open on that side. Keys outside all ranges belong to the service's
    default partition.
    """

    name: str
    service: str
    first: str
    last: str
    upstreams: tuple
    shards: int = 64


@dataclasses.dataclass(slots=True)
class SingleKey:
    """A single key that only the listed upstreams may own."""

    service: str
    key: str
    upstreams: tuple


@dataclasses.dataclass(slots=True)
class Upstream:
    """A server that owns keys or handles requests of a shared service.

    `slots` is the number of requests that it processes concurrently.
    """

    name: str
    service: str
    failure_domain: str
    host: str
    port: int
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS
    weight: float = 1.0
    drained: bool = False


@dataclasses.dataclass(slots=True)
class Service:
    """A service, which callers reach under a path prefix.

    `authority` tells whether its upstreams check grants and fencing tokens;
    if they don't, `settle` is the delay before a lost upstream is replaced.
    `idempotency` names the component that stores idempotency keys.
    """

    name: str
    kind: str
    path: str
    key: str = 'path'
    shards: int = DEFAULT_SHARDS
    timeout: float = DEFAULT_TIMEOUT_SECONDS
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    authority: bool = True
    settle: float = DEFAULT_SETTLE_SECONDS
    idempotency: str = 'dispatcher'
    balancer: str = 'power_of_two'
    placement: str = 'bounded'
    hedge: bool = False
    retry_ratio: float = 0.1
    routes: list = dataclasses.field(default_factory=list)
    ranges: list = dataclasses.field(default_factory=list)
    singles: list = dataclasses.field(default_factory=list)
    upstreams: list = dataclasses.field(default_factory=list)
    objective: Objective | None = None

    def route_for(self, method, suffix):
        """Return the declared route for a method and suffix, or None."""
        for route in self.routes:
            if method in route.methods and suffix == route.suffix:
                return route
        return None


@dataclasses.dataclass(slots=True)
class Manifest:
    """A complete manifest, parsed from one version of its text."""

    region: str
    cell: str
    failure_domains: dict = dataclasses.field(default_factory=dict)
    services: dict = dataclasses.field(default_factory=dict)
    upstreams: dict = dataclasses.field(default_factory=dict)
    version: int = 0
    text: str = ''

    def service_for_path(self, path):
        """Return the service whose path is the longest prefix, or None."""
        best = None
        for service in self.services.values():
            if not path.startswith(service.path):
                continue
            if best is None or len(service.path) > len(best.path):
                best = service
        return best

    def is_drained(self, upstream_name):
        """Return whether the upstream or its failure domain is drained.

        Also true for an unknown upstream.
        """
        upstream = self.upstreams.get(upstream_name)
        if upstream is None or upstream.drained:
            return True
        domain = self.failure_domains[upstream.failure_domain]
        return domain.drained

    def eligible(self, service_name):
        """Return the names of the service's upstreams that are not drained.

        The names are in the order of the manifest.
        """
        return [
            u.name
            for u in self.services[service_name].upstreams
            if not self.is_drained(u.name)
        ]

    def upstream(self, name):
        """Return an upstream by name, or raise SillError."""
        try:
            return self.upstreams[name]
        except KeyError:
            raise SillError(f'no upstream {name!r}', 'lookup') from None
