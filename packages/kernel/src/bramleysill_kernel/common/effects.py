"""Effects that the decision logic returns for its caller to execute."""

import dataclasses

RESULT_OK = 'ok'
RESULT_CONFLICT = 'conflict'
RESULT_MISSING = 'missing'
RESULT_UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class SendMessage:
    """Send a message to a router over its peer link."""

    router: str
    message: object


@dataclasses.dataclass(slots=True)
class StoreRead:
    """Read a key; the reply holds its value and version."""

    op: int
    key: str


@dataclasses.dataclass(slots=True)
class StoreWrite:
    """Write a key if its version is `expected`; 0 means that it is missing.

    If `lease` is set, the store removes the key when that lease expires or is
    ended.
    """

    op: int
    key: str
    value: bytes
    expected: int
    lease: str = ''


@dataclasses.dataclass(slots=True)
class StoreLease:
    """Create a lease of `ttl` seconds; the reply's value is the lease id."""

    op: int
    ttl: float


@dataclasses.dataclass(slots=True)
class StoreRenew:
    """Renew a lease; the result is `missing` if the lease has expired."""

    op: int
    lease: str


@dataclasses.dataclass(slots=True)
class StoreEndLease:
    """End a lease and remove the keys bound to it."""

    op: int
    lease: str


@dataclasses.dataclass(slots=True)
class StoreEffectReply:
    """The reply to the store effect with the same `op`.

    The result `unknown` means that the call failed or timed out; a write may
    still have taken effect.
    """

    op: int
    result: str
    value: bytes = b''
    version: int = 0


@dataclasses.dataclass(slots=True)
class LogEvent:
    """An event to log, with its fields."""

    event: str
    fields: dict = dataclasses.field(default_factory=dict)
