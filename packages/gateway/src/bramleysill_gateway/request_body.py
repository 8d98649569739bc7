"""Buffers a request body and builds its framing headers."""

# A body up to this size is buffered, so that the request can be retried; a
# larger one is streamed as it arrives.
MAX_BUFFERED_BODY_BYTES = 1 << 20


class RequestBody:
    """The chunks buffered so far; `size` includes streamed chunks."""

    __slots__ = ('chunks', 'size', 'complete', '_req')

    def __init__(self, req):
        self.chunks = []
        self.size = 0
        self.complete = not req.has_body
        self._req = req

    @property
    def exceeds_buffer(self):
        """Return whether the body is too large to be buffered."""
        return self.size > MAX_BUFFERED_BODY_BYTES

    def add_size(self, data):
        """Add the length of a received chunk to `size`."""
        self.size += len(data)

    def buffer(self, data):
        """Keep a chunk that `add_size` has counted."""
        self.chunks.append(data)

    def clear(self):
        """Free the buffered chunks."""
        self.chunks = []

    def framing_headers(self):
        """Return Content-Length or Transfer-Encoding lines for upstream."""
        req = self._req
        if self.complete:
            if self.size or req.has_body or req.has_content_length:
                return [f'Content-Length: {self.size}']
            return []
        if req.chunked:
            return ['Transfer-Encoding: chunked']
        return [f'Content-Length: {req.length}']
