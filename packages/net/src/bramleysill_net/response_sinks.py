"""Sinks of HttpClientConn that receive the responses to short calls."""

from bramleysill_net.chunk_buffer import ChunkBuffer
from bramleysill_net.response_errors import ResponseTooLarge

# The largest body that ResponseCollector keeps by default, and that
# HeadCollector skips.
MAX_BODY_BYTES = 2 << 20
MAX_SKIPPED_BODY_BYTES = 64 << 10


class ResponseCollector:
    """Keeps a small response and calls back once.

    The callback is `callback(status, headers, body)`. Status 0 means that the
    exchange failed, that the body exceeded `max_body_bytes`, or that the
    `reservation` of the process had no room for it.
    """

    __slots__ = (
        'too_large',
        '_callback',
        '_status',
        '_headers',
        '_body',
        '_max_body_bytes',
        '_reservation',
    )

    def __init__(
        self, callback, max_body_bytes=MAX_BODY_BYTES, reservation=None
    ):
        # Whether the response was given up for its size.
        self.too_large = False
        self._callback = callback
        self._status = 0
        self._headers = []
        self._body = ChunkBuffer()
        self._max_body_bytes = max_body_bytes
        self._reservation = reservation

    def on_head(self, status, headers, length):
        """Store the head, unless the announced body is too large."""
        self._check_size(length or 0)
        self._status = status
        self._headers = headers

    def on_body(self, data):
        """Buffer part of the body."""
        size = self._body.size + len(data)
        self._check_size(size)
        if self._reservation is not None and not self._reservation.resize(
            size
        ):
            raise ResponseTooLarge('no memory is left for the response')
        self._body.append(data)

    def on_end(self):
        """Deliver the response."""
        self._deliver(self._status)

    def on_failure(self, exc):
        """Deliver the failure with the head, if it was received."""
        self.too_large = isinstance(exc, ResponseTooLarge)
        self._body.clear()
        self._deliver(0)

    def _check_size(self, size):
        if size > self._max_body_bytes:
            raise ResponseTooLarge(f'a body of {size} bytes is too long')

    def _deliver(self, status):
        callback, self._callback = self._callback, None
        body = self._body.join()
        self._body.clear()
        if self._reservation is not None:
            self._reservation.close()
        if callback is not None:
            callback(status, dict(self._headers), body)


class HeadCollector:
    """Keeps the head of a response, skips its body and calls back once.

    The callback is `callback(status, headers, b'')`. Status 0 means that the
    exchange failed, or that the body exceeded MAX_SKIPPED_BODY_BYTES.
    """

    __slots__ = (
        'too_large',
        '_callback',
        '_status',
        '_headers',
        '_skipped_bytes',
    )

    def __init__(self, callback):
        # Whether the response was given up for its size.
        self.too_large = False
        self._callback = callback
        self._status = 0
        self._headers = []
        self._skipped_bytes = 0

    def on_head(self, status, headers, length):
        """Store the head."""
        self._status = status
        self._headers = headers

    def on_body(self, data):
        """Skip part of the body."""
        self._skipped_bytes += len(data)
        if self._skipped_bytes > MAX_SKIPPED_BODY_BYTES:
            raise ResponseTooLarge('the body is too long to be skipped')

    def on_end(self):
        """Deliver the head."""
        self._deliver(self._status)

    def on_failure(self, exc):
        """Deliver the failure with the head, if it was received."""
        self.too_large = isinstance(exc, ResponseTooLarge)
        self._deliver(0)

    def _deliver(self, status):
        callback, self._callback = self._callback, None
        if callback is not None:
            callback(status, dict(self._headers), b'')
