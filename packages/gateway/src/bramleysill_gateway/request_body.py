"""What has arrived of a request's body, and how it is framed upstream."""

# A body up to this size is collected, so that the request can be sent again;
# a larger one is passed on as it arrives.
COLLECTED_BODY_BYTES = 1 << 20


class RequestBody:
    """The pieces collected so far; `size` also counts those passed on."""

    __slots__ = ('pieces', 'size', 'complete', '_req')

    def __init__(self, req):
        self.pieces = []
        self.size = 0
        self.complete = not req.has_body
        self._req = req

    @property
    def is_large(self):
        """Tell whether the body is too large to be collected."""
        return self.size > COLLECTED_BODY_BYTES

    def count(self, data):
        """Note the size of a piece."""
        self.size += len(data)

    def keep(self, data):
        """Collect a piece whose size was counted."""
        self.pieces.append(data)

    def drop(self):
        """Free the pieces when the request has ended."""
        self.pieces = []

    def framing(self):
        """Return the header lines that frame the body upstream."""
        req = self._req
        if self.complete:
            if self.size or req.has_body or req.has_content_length:
                return [f'Content-Length: {self.size}']
            return []
        if req.chunked:
            return ['Transfer-Encoding: chunked']
        return [f'Content-Length: {req.length}']
