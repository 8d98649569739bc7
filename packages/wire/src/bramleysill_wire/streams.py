"""Typed messages of a request's stream on a peer link.

`head` holds header lines (`name: value` joined by CRLF, latin-1): one field
is cheaper to encode than a list of structs. `length` is the announced body
length, -1 for a chunked body.
"""

import dataclasses

NO_RETRY_AFTER = -1
CHUNKED = -1


@dataclasses.dataclass(slots=True)
class StreamOpen:
    """Starts a request; `body` is what has arrived of the body so far."""

    stream: int
    request_id: str
    upstream: str
    service: str
    unit: str
    fence: int
    method: str
    target: str
    head: bytes
    length: int
    timeout_ms: int
    repeatable: bool
    caller: str
    priority: int
    idempotency_key: str
    key: str
    body: bytes = b''
    last: bool = False


@dataclasses.dataclass(slots=True)
class StreamHead:
    """Head of the answer, with the first piece of its body."""

    stream: int
    status: int
    head: bytes
    length: int
    body: bytes = b''
    last: bool = False


@dataclasses.dataclass(slots=True)
class StreamData:
    """A piece of a body; `last` ends it."""

    stream: int
    data: bytes
    last: bool = False


@dataclasses.dataclass(slots=True)
class StreamAdmitted:
    """The request has a slot; its body may be streamed."""

    stream: int


@dataclasses.dataclass(slots=True)
class StreamWindow:
    """Allows the other side to send `credit` more bytes of a body."""

    stream: int
    credit: int


@dataclasses.dataclass(slots=True)
class StreamReset:
    """Ends a stream: a cancellation from the entry, a refusal to it."""

    stream: int
    code: str = ''
    message: str = ''
    step: str = ''
    peer: str = ''
    outcome: str = ''
    retry_after_ms: int = NO_RETRY_AFTER


def encode_headers(headers):
    """Return header pairs as one block of bytes."""
    return '\r\n'.join([f'{k}: {v}' for k, v in headers]).encode('latin-1')


def decode_headers(block):
    """Return the pairs of a block made by `encode_headers`."""
    if not block:
        return []
    pairs = []
    for line in block.decode('latin-1').split('\r\n'):
        name, _, value = line.partition(': ')
        pairs.append((name, value))
    return pairs
