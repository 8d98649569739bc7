"""Receives the body of a request and passes it to the upstream.

The body is buffered up to a limit, so that the request can be retried. A
larger one is streamed to the upstream as it arrives, with backpressure.
"""

from bramleysill_gateway.request_body import RequestBody

# Reading from the caller pauses while more request bytes than this wait to be
# sent to the upstream.
MAX_UNSENT_REQUEST_BYTES = 256 << 10


class Upload:
    """The body of one request.

    It calls `exchange.dispatch` once, as soon as the body is complete or
    too large to be buffered.
    """

    __slots__ = ('body', 'streaming', '_exchange', '_attempt', '_dispatched')

    def __init__(self, exchange):
        self.body = RequestBody(exchange.req)
        # Whether the body is sent on as it arrives; no retry is possible.
        self.streaming = False
        self._exchange = exchange
        self._attempt = None
        self._dispatched = False

    def on_data(self, data):
        """Buffer a chunk, or send it on."""
        body = self.body
        body.add_size(data)
        if self.streaming:
            self._attempt.write(body.encode(data))
            if self._attempt.unsent_bytes > MAX_UNSENT_REQUEST_BYTES:
                self._exchange.stream.pause()
            return
        body.buffer(data)
        if body.exceeds_buffer:
            self._dispatch()

    def on_end(self):
        """Handle the end of the body."""
        self.body.complete = True
        if self._exchange.finished:
            return
        if self.streaming:
            self._attempt.end(self.body.encode_end())
        self._dispatch()

    def start(self, attempt, head):
        """Send the head and what was received of the body."""
        self._attempt = attempt
        self.streaming = not self.body.complete
        attempt.start(head, self.body.encode_buffered(), self.body.complete)
        if self.streaming:
            # No retry can use them any more.
            self.body.clear()

    def pause(self):
        """Stop reading a body that is too large to be buffered."""
        if self.body.exceeds_buffer:
            self._exchange.stream.pause()

    def resume(self):
        """Read on after `pause`."""
        if self.body.exceeds_buffer:
            self._exchange.stream.resume()

    def on_drained(self):
        """Resume reading: the send buffer to the upstream is empty."""
        if self.streaming:
            self._exchange.stream.resume()

    def close(self):
        """Free the buffered chunks; the request has ended."""
        self.body.clear()

    def _dispatch(self):
        if not self._dispatched:
            self._dispatched = True
            self._exchange.dispatch()
