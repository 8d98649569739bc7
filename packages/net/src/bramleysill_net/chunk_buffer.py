"""A queue of byte chunks that joins small ones.

Each bytes object costs about 40 bytes besides its data. A peer that sends a
body in chunks of one byte would make a list of them 40 times as large as what
is counted.
"""

# Chunks below this size are copied into a common one.
SMALL_CHUNK_BYTES = 4096
# Size up to which a common chunk grows.
JOINED_CHUNK_BYTES = 32768


def append_chunk(chunks, data):
    """Append bytes to a list or deque of chunks; join small ones.

    A large chunk is kept as it is, without a copy.
    """
    if len(data) >= SMALL_CHUNK_BYTES:
        # A bytearray of the caller must not be extended by the next chunk.
        is_joinable = isinstance(data, bytearray)
        chunks.append(memoryview(data) if is_joinable else data)
        return
    last = chunks[-1] if chunks else None
    if isinstance(last, bytearray) and len(last) < JOINED_CHUNK_BYTES:
        last += data
    else:
        chunks.append(bytearray(data))


class ChunkBuffer:
    """Chunks in the order in which they arrived; `size` is their length."""

    __slots__ = ('size', '_chunks')

    def __init__(self):
        self.size = 0
        self._chunks = []

    def append(self, data):
        """Add a chunk; the buffer may keep a reference to it."""
        self.size += len(data)
        append_chunk(self._chunks, data)

    def chunks(self):
        """Return the chunks. They must not be appended to while in use."""
        return tuple(self._chunks)

    def join(self):
        """Return all bytes as one object, without a copy of a single chunk."""
        if len(self._chunks) == 1 and isinstance(self._chunks[0], bytes):
            return self._chunks[0]
        return b''.join(self._chunks)

    def take(self):
        """Return the chunks and remove them."""
        chunks, self._chunks = self._chunks, []
        self.size = 0
        return chunks

    def clear(self):
        """Remove all chunks."""
        self._chunks = []
        self.size = 0
