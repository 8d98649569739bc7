"""Messages that carry a request and its response over a peer link.

Each request has a stream, whose number is in the field `stream`. `head` holds
the header lines (`name: value`, joined by CRLF, Latin-1) in one block, which
is cheaper to encode than a list of structs. `length` is the announced length
of the body in bytes, or -1 if the body is chunked.
"""

import dataclasses

from bramleysill_kernel.common.exceptions import FrameError

NO_RETRY_AFTER = -1
CHUNKED = -1

# The text fields of a request, in the order of StreamOpen.names.
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
    """Starts a request; `body` is the part of the body received so far.

    `names` holds the text fields of the request, joined by `join_texts`.
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
    """The head of the response, with the first part of its body."""

    stream: int
    status: int
    head: bytes
    length: int
    body: bytes = b''
    last: bool = False


@dataclasses.dataclass(slots=True)
class StreamData:
    """Part of a body; `last` marks its end."""

    stream: int
    data: bytes
    last: bool = False


@dataclasses.dataclass(slots=True)
class StreamAdmitted:
    """The request was admitted; the rest of its body may be sent."""

    stream: int


@dataclasses.dataclass(slots=True)
class StreamWindow:
    """Allows the peer to send `credit` more bytes of a body."""

    stream: int
    credit: int


@dataclasses.dataclass(slots=True)
class StreamReset:
    """Ends a stream: the entry router cancels, or the dispatcher refuses."""

    stream: int
    code: str = ''
    message: str = ''
    step: str = ''
    peer: str = ''
    outcome: str = ''
    retry_after_ms: int = NO_RETRY_AFTER


def join_texts(*values):
    """Return the values of TEXT_FIELDS joined by line feeds.

    A single field is cheaper to encode and decode than ten. Only the last
    value, the key, may contain a line feed.
    """
    return '\n'.join(values)


def split_texts(text):
    """Return the values that `join_texts` joined, in the same order.

    Raises FrameError if there are too few.
    """
    values = text.split('\n', len(TEXT_FIELDS) - 1)
    if len(values) != len(TEXT_FIELDS):
        raise FrameError(
            f'{len(values)} text fields are too few for a request',
            'decode',
        )
    return values


def encode_header_block(headers):
    """Return pairs of header names and values as one block of bytes."""
    return '\r\n'.join([f'{k}: {v}' for k, v in headers]).encode('latin-1')


def decode_header_block(block):
    """Return the header pairs of an encoded block."""
    if not block:
        return []
    pairs = []
    for line in block.decode('latin-1').split('\r\n'):
        name, _, value = line.partition(': ')
        pairs.append((name, value))
    return pairs
