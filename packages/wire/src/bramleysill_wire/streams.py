"""Typed messages of a request's stream on a peer link.

`head` holds header lines (`name: value` joined by CRLF, latin-1): one field
is cheaper to encode than a list of structs. `length` is the announced body
length, -1 for a chunked body.
"""

import dataclasses

from bramleysill_kernel.exceptions import FrameError

NO_RETRY_AFTER = -1
CHUNKED = -1

# Texts of a request in the order in which they travel.
TEXT_FIELDS = (
    'request_id',
    'upstream',
    'service',
    'unit',
    'method',
    'target',
    'caller',
    'idempotency_key',
    'route',
    'key',
)


@dataclasses.dataclass(slots=True)
class StreamOpen:
    """Starts a request; `body` is what has arrived of the body so far.

    `names` holds the texts of the request as `join_texts` makes them.
    """

    stream: int
    names: str
    fence: int
    head: bytes
    length: int
    timeout_ms: int
    repeatable: bool
    priority: int
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


def join_texts(*names):
    """Return the TEXT_FIELDS of a request as one text.

    One field is cheaper to encode and decode than ten. Only the key, which
    comes last, may contain a line feed.
    """
    return '\n'.join(names)


def split_texts(text):
    """Return the texts that `join_texts` joined, in the order of TEXT_FIELDS.

    Raises FrameError if there are too few.
    """
    names = text.split('\n', len(TEXT_FIELDS) - 1)
    if len(names) != len(TEXT_FIELDS):
        raise FrameError(f'{len(names)} names of a request', 'decode')
    return names


def encode_header_block(headers):
    """Return header pairs as one block of bytes."""
    return '\r\n'.join([f'{k}: {v}' for k, v in headers]).encode('latin-1')


def decode_header_block(block):
    """Return the pairs of a block made by `encode_header_block`."""
    if not block:
        return []
    pairs = []
    for line in block.decode('latin-1').split('\r\n'):
        name, _, value = line.partition(': ')
        pairs.append((name, value))
    return pairs
