"""Messages between routers.

The wire package encodes them; the kernel only creates and reads them. Times
are in seconds on the clock of the process that the class's docstring names.
"""

import dataclasses

SCHEMA_VERSION = 1

UPSTREAM_OK = 'ok'
UPSTREAM_SUSPECT = 'suspect'
UPSTREAM_LEAVING = 'leaving'


@dataclasses.dataclass(slots=True)
class Hello:
    """The first message on a peer link."""

    schema_version: int
    router: str
    cell: str
    incarnation: str
    address: str = ''


@dataclasses.dataclass(slots=True)
class UpstreamReport:
    """What a dispatcher has observed of an upstream.

    `load` is the work in progress per slot as the dispatcher observes it, not
    as the upstream reports it. `hot_units` maps busy units to requests/s.
    """

    upstream: str
    condition: str = UPSTREAM_OK
    load: float = 0.0
    rate: float = 0.0
    cold: bool = False
    hot_units: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """Renews a router lease and may promise not to stand for election.

    `echo` is the last stamp of the coordinator that the router has received;
    a value below 0 means that it has received none in this term. `held` maps
    upstreams to the generation (term, n) of the dispatcher role that the
    router holds. `versions` maps `term`, `serial`, `manifest` and
    `table/SERVICE` to integers.
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
    """Extends a router lease; `stamp` is a reading of the sender's clock.

    If `accepted` is false, the lease is not extended, and `coordinator` is
    the router that leads as far as the sender knows, or empty.
    """

    coordinator: str
    term: int
    seq: int
    stamp: float
    accepted: bool = True


@dataclasses.dataclass(slots=True)
class TableUpdate:
    """A table block: all of it in `data`, or the changes since `base`.

    `units` maps each changed unit to (owner, fence), or to None if the entry
    of a single key was removed.
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
    that no router is assigned. `members` maps routers to addresses.
    `candidates` lists the routers that may stand for election, and `drained`
    the upstreams that take no new work. Every update holds all four
    completely; the one with the highest (term, serial) is the newest.
    `table_versions` maps each service to the table version that a receiver
    must have before it may use `dispatchers`.
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
    """Asks a peer for its full state, for example at start."""

    router: str


@dataclasses.dataclass(slots=True)
class Release:
    """Asks a dispatcher to stop a unit and to confirm with Released."""

    term: int
    service: str
    unit: str
    fence: int
    upstream: str


@dataclasses.dataclass(slots=True)
class Released:
    """Confirms that a unit has no work in flight and gets no more.

    This holds for the given fence.
    """

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
    """Reports that all grants of an upstream have expired.

    None of them is renewed.
    """

    upstream: str
    generation: tuple


@dataclasses.dataclass(slots=True)
class Warm:
    """Asks a dispatcher to have a unit's state loaded before its move."""

    term: int
    service: str
    unit: str
    upstream: str


@dataclasses.dataclass(slots=True)
class ProbeRequest:
    """Asks a router to probe an upstream that may be lost."""

    term: int
    upstream: str


@dataclasses.dataclass(slots=True)
class ProbeResult:
    """Whether a router that was asked to probe an upstream reached it."""

    upstream: str
    reachable: bool


@dataclasses.dataclass(slots=True)
class KeyLoads:
    """What a router has observed of a service since its last report.

    `counts` has the number of requests for each of `keys`. For each of
    `upstreams`, `responses` has how many it has sent and `busy_times`
    the sum of their service times in seconds.
    """

    router: str
    service: str
    keys: list
    counts: list
    upstreams: list = dataclasses.field(default_factory=list)
    responses: list = dataclasses.field(default_factory=list)
    busy_times: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class FeedItem:
    """A key of the store as it was written, or as removed.

    `packed` means that the value is compressed with zlib. The value is a delta
    to that of the revision `base`, unless this is 0.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0
    removed: bool = False
    packed: bool = False
    base: int = 0


@dataclasses.dataclass(slots=True)
class FeedRequest:
    """Asks the leader for the changes below a prefix after a revision.

    The revision 0 asks for a StoreCopy of all that there is. `era` is the era
    of the store that the revision belongs to.
    """

    router: str
    prefix: str
    revision: int
    era: int


@dataclasses.dataclass(slots=True)
class StoreCopy:
    """All items below a prefix, as the leader has them at a revision.

    `data` is compressed with zlib and has an encoded StoreFeed.
    """

    router: str
    prefix: str
    data: bytes


@dataclasses.dataclass(slots=True)
class StoreFeed:
    """Changes below a prefix that the leader has read from the store.

    `items` are all changes after the revision `base` up to `revision`. It is
    empty if there were none. `era` is the era of the store that the revisions
    belong to. All changes are included that the store had acknowledged `age`
    seconds before the feed was sent.
    """

    router: str
    prefix: str
    base: int
    revision: int
    era: int
    age: float
    items: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class LimitRow:
    """A report on the limit of one upstream process.

    `rate` is in requests/s, or negative if the process named no limit, and
    `age` the number of seconds since its response.
    """

    upstream: str
    incarnation: int
    rate: float
    age: float


@dataclasses.dataclass(slots=True)
class UpstreamLimits:
    """Reports on limits, from a router to the leader or from it to all."""

    router: str
    rows: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class DepartureRow:
    """An upstream process that has said in a response that it leaves."""

    upstream: str
    incarnation: int


@dataclasses.dataclass(slots=True)
class UpstreamDepartures:
    """Departures, from a router to the leader or from it to all."""

    router: str
    rows: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class RangeNoticeList:
    """The ranges of a service that requests can't reach, from the leader.

    The lists `firsts`, `lasts`, `fences` and `values` have one entry for each
    range, which decodes faster than a list of structs. The first `paused` of
    them have no owner now, and the value is the time in seconds until they
    should have one. The others get more requests than their owner can serve,
    and the value is how many times as many.
    """

    router: str
    service: str
    paused: int = 0
    firsts: list = dataclasses.field(default_factory=list)
    lasts: list = dataclasses.field(default_factory=list)
    fences: list = dataclasses.field(default_factory=list)
    values: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class HoldRow:
    """For how many seconds an upstream process may hold keys.

    `unanswered` counts only grants without a response; `held` counts all.
    """

    upstream: str
    incarnation: int
    held: float
    unanswered: float


@dataclasses.dataclass(slots=True)
class FormerTermHolds:
    """The holds of a service from a former leader, which grants no more.

    `inherited` is for how many seconds unknown holds may last.
    """

    router: str
    service: str
    era: int
    table_revision: int
    inherited: float
    rows: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class TakeoverRequest:
    """Asks other routers to lead in place of one that the store refuses.

    `revision` and `lease` are those of its leader key.
    """

    router: str
    revision: int
    lease: int


@dataclasses.dataclass(slots=True)
class LeaderChange:
    """Tells a former leader of the leader key that has replaced its own."""

    router: str
    key: str
    value: bytes
    revision: int
    lease: int
    era: int


@dataclasses.dataclass(slots=True)
class PaceRequest:
    """Asks the pacing router of an upstream when a request may be sent.

    The request may wait for up to `max_wait` seconds.
    """

    number: int
    report: LimitRow
    max_wait: float


@dataclasses.dataclass(slots=True)
class PaceReply:
    """Whether the request of a PaceRequest may be sent.

    If `permitted` is set it may be sent after `delay` seconds; otherwise there
    should be room after this time. A negative `delay` says that another router
    paces the upstream.
    """

    number: int
    permitted: bool
    delay: float


@dataclasses.dataclass(slots=True)
class FreshnessRequest:
    """Asks the leader how recent its knowledge of the store is."""

    number: int


@dataclasses.dataclass(slots=True)
class FreshnessRow:
    """The last change of a prefix, and the age of the knowledge of it.

    The sender knows all changes that were acknowledged more than `age` seconds
    ago; the last of them has this revision.
    """

    prefix: str
    revision: int
    age: float


@dataclasses.dataclass(slots=True)
class FreshnessReply:
    """The leader's reply to a FreshnessRequest, with one row per prefix."""

    number: int
    era: int
    rows: list[FreshnessRow]


@dataclasses.dataclass(slots=True)
class QuotaRequest:
    """Asks the quota owner of an organisation for tokens.

    `waiting` requests wait for one, and `wanted` includes those that are
    expected soon.
    """

    number: int
    organisation: str
    waiting: int
    wanted: int


@dataclasses.dataclass(slots=True)
class QuotaReply:
    """The tokens that the sender of a QuotaRequest may use.

    `delay` is the seconds until more can be granted if there are fewer than
    requests that wait. It is negative if the receiver of the request does not
    own the organisation.
    """

    number: int
    granted: int
    delay: float
