"""Receives the body of a request and passes it to the upstream.

The body is buffered as far as its memory allows, so that the request can be
retried. A larger one is streamed to the upstream as it arrives, with
backpressure.
"""

from bramleysill_gateway.request_body import RequestBody


class Upload:
    """The body of one request.

    It calls `exchange.dispatch` once, as soon as the body is complete or no
    more of it may be buffered. In the latter case the body is not read on
    until it is sent. `memory` is the RequestMemory of the request.
    """

    __slots__ = (
        'body',
        'streaming',
        '_exchange',
        '_memory',
        '_attempt',
        '_dispatched',
    )

    def __init__(self, exchange, memory):
        self.body = RequestBody(exchange.req)
        # Whether the body is sent on as it arrives; no retry is possible.
        self.streaming = False
        self._exchange = exchange
        self._memory = memory
        self._attempt = None
        self._dispatched = False

    @property
    def size(self):
        """Return the length of the body, as far as it is known."""
        return max(self._exchange.req.length, self.body.size)

    def on_data(self, data):
        """Buffer a chunk, or send it on."""
        body = self.body
        body.add_size(data)
        if self.streaming:
            self._attempt.write(body.encode(data))
            if not self._memory.may_send_more(self._attempt.unsent_bytes):
                self._exchange.stream.pause()
            return
        body.buffer(data)
        if not self._memory.may_buffer(body.size):
            self._exchange.stream.pause()
            self._dispatch()

    def on_end(self):
        """Handle the end of the body."""
        self.body.complete = True
        if self._exchange.finished:
            return
        if self.streaming:
            self._attempt.end(self.body.encode_end())
            if not self._attempt.unsent_bytes:
                self._memory.end_request()
        else:
            self._memory.note_buffered(self.body.size)
        self._dispatch()

    def start(self, attempt, head):
        """Send the head and what was received of the body."""
        self._attempt = attempt
        self.streaming = not self.body.complete
        attempt.start(head, self.body.encode_buffered(), self.body.complete)
        if not self.streaming:
            return
        # A streamed request is not retried, so the buffer is not needed again.
        self.body.clear()
        if self._memory.may_send_more(attempt.unsent_bytes):
            self._exchange.stream.resume()

    def on_drained(self):
        """Resume reading: the send buffer to the upstream is empty."""
        if not self.streaming:
            return
        if self.body.complete:
            self._memory.end_request()
        else:
            self._memory.note_drained()
            self._exchange.stream.resume()

    def close(self):
        """Free the buffered chunks; the request has ended."""
        self.body.clear()
        self._memory.end_request()

    def _dispatch(self):
        if not self._dispatched:
            self._dispatched = True
            self._exchange.dispatch()
