"""Typed messages between routers.

The wire package encodes them; the kernel only builds and reads them. Times
are seconds on the clock of the process that the field's comment names.
"""

import dataclasses

SCHEMA_VERSION = 1

UPSTREAM_OK = 'ok'
UPSTREAM_SUSPECT = 'suspect'
UPSTREAM_LEAVING = 'leaving'


@dataclasses.dataclass(slots=True)
class Hello:
    """First message on a peer link."""

    schema_version: int
    router: str
    cell: str
    incarnation: str
    address: str = ''


@dataclasses.dataclass(slots=True)
class UpstreamReport:
    """What a dispatcher has observed of an upstream.

    `load` is work in progress per slot as observed by the dispatcher, not as
    reported by the upstream. `hot_units` maps busy units to requests/s.
    """

    upstream: str
    condition: str = UPSTREAM_OK
    load: float = 0.0
    rate: float = 0.0
    cold: bool = False
    hot_units: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """Renews a router lease and, from a candidate, promises not to stand.

    `echo` is the coordinator's last stamp that the router has received.
    `held` maps upstreams to the generation (term, n) of the dispatcher role
    that the router holds. `versions` maps `term`, `serial`, `manifest` and
    `table/SERVICE` to integers. An `echo` below 0 means that no stamp of
    this term has been received.
    """

    router: str
    incarnation: str
    seq: int
    term: int
    echo: float
    address: str
    failure_domain: str
    promise: bool = False
    store_ok: bool = False
    leaving: bool = False
    held: dict = dataclasses.field(default_factory=dict)
    versions: dict = dataclasses.field(default_factory=dict)
    reports: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class HeartbeatReply:
    """Extends a router lease; `stamp` is the coordinator's clock.

    If `accepted` is false, the lease is not extended and `coordinator` names
    the router that the sender believes to lead, or is empty.
    """

    coordinator: str
    term: int
    seq: int
    stamp: float
    accepted: bool = True


@dataclasses.dataclass(slots=True)
class TableUpdate:
    """A table block, whole (`data`) or as changed units since `base`.

    `units` maps a unit to (owner, fence), or to None when an entry of a
    single key was removed.
    """

    service: str
    block: int
    version: int
    base: int = 0
    data: bytes = b''
    units: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class StateUpdate:
    """State that a coordinator distributes.

    `dispatchers` maps upstreams to (router, term, n); an empty router means
    that the role is free. `members` maps routers to addresses, `candidates`
    lists the routers that may stand for election, and `drained` the
    upstreams that take no new work. All four are complete and ordered by
    (term, serial). `table_versions` maps each service to the version that a
    receiver must have before it may act on `dispatchers`.
    """

    coordinator: str
    term: int
    serial: int
    manifest_version: int = 0
    manifest_text: str = ''
    tables: list = dataclasses.field(default_factory=list)
    dispatchers: dict = dataclasses.field(default_factory=dict)
    members: dict = dataclasses.field(default_factory=dict)
    candidates: list = dataclasses.field(default_factory=list)
    drained: list = dataclasses.field(default_factory=list)
    table_versions: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class StateRequest:
    """Asks a peer for its whole state, for example at start."""

    router: str


@dataclasses.dataclass(slots=True)
class Release:
    """Asks a dispatcher to stop a unit and confirm."""

    term: int
    service: str
    unit: str
    fence: int
    upstream: str


@dataclasses.dataclass(slots=True)
class Released:
    """The unit has no work in flight and gets none under this fence."""

    service: str
    unit: str
    fence: int
    upstream: str


@dataclasses.dataclass(slots=True)
class Suspend:
    """Asks a dispatcher to stop renewing all grants of an upstream."""

    term: int
    upstream: str


@dataclasses.dataclass(slots=True)
class Lapsed:
    """No grant of the upstream is valid any more, and none is renewed."""

    upstream: str
    generation: tuple


@dataclasses.dataclass(slots=True)
class Warm:
    """Asks a dispatcher to have a unit's state loaded ahead of a move."""

    term: int
    service: str
    unit: str
    upstream: str


@dataclasses.dataclass(slots=True)
class ProbeRequest:
    """Asks a router for a second opinion on an upstream."""

    term: int
    upstream: str


@dataclasses.dataclass(slots=True)
class ProbeResult:
    """Second opinion on an upstream."""

    upstream: str
    reachable: bool


@dataclasses.dataclass(slots=True)
class KeyLoads:
    """What a router has observed of a service since its last report.

    `counts` are the requests for each of `keys`. `answers` are the answers
    of each of `upstreams` and `busy_times` the sums of their service times
    in seconds.
    """

    router: str
    service: str
    keys: list
    counts: list
    upstreams: list = dataclasses.field(default_factory=list)
    answers: list = dataclasses.field(default_factory=list)
    busy_times: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class FeedItem:
    """A key of the store as it was written; `removed` if it is gone.

    `packed` tells that the value is compressed with zlib.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0
    removed: bool = False
    packed: bool = False


@dataclasses.dataclass(slots=True)
class FeedRequest:
    """Asks the leader for the changes below a prefix after a revision."""

    router: str
    prefix: str
    revision: int


@dataclasses.dataclass(slots=True)
class StoreFeed:
    """Changes below a prefix that the leader has read from the store.

    `items` are all changes after the revision `base` up to `revision`. An
    empty feed tells that there were none.
    """

    router: str
    prefix: str
    base: int
    revision: int
    items: list = dataclasses.field(default_factory=list)
