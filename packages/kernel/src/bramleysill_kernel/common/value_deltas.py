"""Deltas between two versions of a value that is JSON, as bytes.

A value is cut behind each closing bracket. A delta lists runs of chunks that
the old version has too, and the bytes between them. Most changes of a table or
a configuration touch a few of many rows, so that the delta is short.

Example::

    delta = make_delta(old, new)
    apply_delta(old, delta) == new
"""

import re
import struct
import zlib

from bramleysill_kernel.common.exceptions import SillError

_CHUNK = re.compile(rb'[^\]}]*[\]}]|[^\]}]+')
# The CRC-32 of the new version.
_HEADER = struct.Struct('>I')
# A run of old chunks, as the first one and their number, and the length of the
# bytes that follow it.
_RUN = struct.Struct('>III')


class DeltaError(SillError):
    """A delta is malformed or belongs to another version."""

    code = 'delta_invalid'
    hint = 'The whole value is requested instead; nothing has to be done.'


def make_delta(old, new):
    """Return the delta that turns `old` into `new`."""
    positions = {}
    old_chunks = _CHUNK.findall(old)
    for position, chunk in enumerate(old_chunks):
        positions.setdefault(chunk, position)
    parts = [_HEADER.pack(zlib.crc32(new))]
    first = count = 0
    literal = []
    for chunk in _CHUNK.findall(new):
        is_next = (
            count
            and not literal
            and first + count < len(old_chunks)
            and old_chunks[first + count] == chunk
        )
        if is_next:
            count += 1
            continue
        position = positions.get(chunk)
        if position is None:
            literal.append(chunk)
            continue
        parts += _encode_run(first, count, literal)
        first, count, literal = position, 1, []
    parts += _encode_run(first, count, literal)
    return b''.join(parts)


def apply_delta(old, delta):
    """Return the new version; raises DeltaError."""
    chunks = _CHUNK.findall(old)
    parts = []
    offset = _HEADER.size
    try:
        (checksum,) = _HEADER.unpack_from(delta)
        while offset < len(delta):
            first, count, length = _RUN.unpack_from(delta, offset)
            offset += _RUN.size
            parts += chunks[first : first + count]
            parts.append(delta[offset : offset + length])
            offset += length
    except struct.error as exc:
        raise DeltaError(f'malformed delta: {exc}', 'decode') from exc
    new = b''.join(parts)
    if zlib.crc32(new) != checksum:
        raise DeltaError('the delta belongs to another version', 'decode')
    return new


def _encode_run(first, count, literal):
    data = b''.join(literal)
    if not count and not data:
        return []
    return [_RUN.pack(first, count, len(data)), data]
