"""What has arrived of a request's body, and how it is framed upstream."""

# A body up to this size is collected, so that the request can be sent again;
# a larger one is passed on as it arrives.
MAX_BUFFERED_BODY_BYTES = 1 << 20


class RequestBody:
    """The pieces collected so far; `size` also counts those passed on."""

    __slots__ = ('chunks', 'size', 'complete', '_req')

    def __init__(self, req):
        self.chunks = []
        self.size = 0
        self.complete = not req.has_body
        self._req = req

    @property
    def exceeds_buffer(self):
        """Tell whether the body is too large to be collected."""
        return self.size > MAX_BUFFERED_BODY_BYTES

    def add_size(self, data):
        """Note the size of a piece."""
        self.size += len(data)

    def buffer(self, data):
        """Collect a piece whose size was counted."""
        self.chunks.append(data)

    def clear(self):
        """Free the pieces when the request has ended."""
        self.chunks = []

    def framing_headers(self):
        """Return the header lines that frame the body upstream."""
        req = self._req
        if self.complete:
            if self.size or req.has_body or req.length_given:
                return [f'Content-Length: {self.size}']
            return []
        if req.chunked:
            return ['Transfer-Encoding: chunked']
        return [f'Content-Length: {req.length}']
