"""Buffers a request body and frames it for the upstream.

The framing is decided once for each attempt, by `framing_headers`. All bytes
of the body that the attempt sends pass through `encode` and `encode_end`, so
that they match the framing that the head announces.
"""

from bramleysill_net.chunk_buffer import ChunkBuffer


class RequestBody:
    """What is buffered of a body; `size` includes streamed chunks."""

    __slots__ = ('size', 'complete', '_buffered', '_req', '_is_chunked')

    def __init__(self, req):
        self.size = 0
        self.complete = not req.has_body
        self._buffered = ChunkBuffer()
        self._req = req
        # Whether the current attempt sends the body in chunks.
        self._is_chunked = False

    def add_size(self, data):
        """Add the length of a received chunk to `size`."""
        self.size += len(data)

    def buffer(self, data):
        """Keep a chunk that `add_size` has counted."""
        self._buffered.append(data)

    def clear(self):
        """Free the buffered chunks."""
        self._buffered.clear()

    def framing_headers(self):
        """Decide the framing of an attempt; return its header lines.

        A body that is complete is sent with its length, any other one with
        the framing that the caller has announced.
        """
        req = self._req
        self._is_chunked = req.chunked and not self.complete
        if self.complete:
            if self.size or req.has_body or req.has_content_length:
                return [f'Content-Length: {self.size}']
            return []
        if self._is_chunked:
            return ['Transfer-Encoding: chunked']
        return [f'Content-Length: {req.length}']

    def encode_buffered(self):
        """Return the framed chunks that are buffered, without copying them."""
        return [self.encode(data) for data in self._buffered.chunks()]

    def encode(self, data):
        """Return the framed bytes of a chunk."""
        if not self._is_chunked or not data:
            return data
        return b'%x\r\n%b\r\n' % (len(data), data)

    def encode_end(self):
        """Return the bytes that end the body."""
        return b'0\r\n\r\n' if self._is_chunked else b''
