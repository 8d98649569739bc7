"""The operators' declaration: services, failure domains and upstreams.

Names of data classes follow the sections of the INI manifest. All times are
in seconds unless the name ends in `_ms`.
"""

import dataclasses

from bramleysill_kernel.exceptions import SillError

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
    """A part of a region that fails as a whole."""

    name: str
    drained: bool = False


@dataclasses.dataclass(slots=True)
class Route:
    """A method and path below a service, with its own properties.

    `suffix` is what follows the key, for example `openings` in
    `/ledger/CAP-1/openings`; empty matches the key alone.
    """

    name: str
    service: str
    methods: tuple
    suffix: str = ''
    repeatable: bool = True
    priority: int = 1


@dataclasses.dataclass(slots=True)
class Objective:
    """A service-level objective: availability and latency."""

    service: str
    availability: float = 0.999
    latency_ms: float = 9.0
    latency_ratio: float = 0.99


@dataclasses.dataclass(slots=True)
class KeyRange:
    """Keys from `first` (included) to `last` (excluded) and their owners.

    An empty `first` or `last` leaves that side open. Keys that no range
    covers belong to the service's default partition.
    """

    name: str
    service: str
    first: str
    last: str
    upstreams: tuple
    shards: int = 64


@dataclasses.dataclass(slots=True)
class SingleKey:
    """One key that only the listed upstreams may own."""

    service: str
    key: str
    upstreams: tuple


@dataclasses.dataclass(slots=True)
class Upstream:
    """A server that owns keys or takes shared work."""

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
    """A service that callers reach under a path prefix.

    `authority` tells whether its upstreams check grants and fences.
    `idempotency` names who remembers idempotency keys.
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
    """A whole declaration, as parsed from one version of the sheet."""

    region: str
    cell: str
    failure_domains: dict = dataclasses.field(default_factory=dict)
    services: dict = dataclasses.field(default_factory=dict)
    upstreams: dict = dataclasses.field(default_factory=dict)
    version: int = 0
    text: str = ''

    def service_for_path(self, path):
        """Return the service with the longest matching prefix, or None."""
        best = None
        for service in self.services.values():
            if not path.startswith(service.path):
                continue
            if best is None or len(service.path) > len(best.path):
                best = service
        return best

    def is_drained(self, upstream_name):
        """Tell whether the upstream or its failure domain is drained."""
        upstream = self.upstreams.get(upstream_name)
        if upstream is None or upstream.drained:
            return True
        domain = self.failure_domains[upstream.failure_domain]
        return domain.drained

    def eligible(self, service_name):
        """Return the names of upstreams that may take new work, in order."""
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
