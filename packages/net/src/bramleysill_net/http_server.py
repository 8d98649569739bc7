"""An HTTP/1.1 server connection with streaming bodies.

A connection handles one request at a time. The events of a pipelined request
stay queued, with reading paused, until the previous response is complete. A
few pipelined requests run side by side if the handler allows it; their
responses are sent in the order of the requests.
"""

import collections
import itertools

from absl import logging

from bramleysill_net.conn import MAX_READ_BYTES
from bramleysill_net.request_parser import BODY
from bramleysill_net.request_parser import END
from bramleysill_net.request_parser import HEAD
from bramleysill_net.request_parser import MAX_HEAD_BYTES
from bramleysill_net.request_parser import MAX_HEADERS
from bramleysill_net.request_parser import HeadTooLarge
from bramleysill_net.request_parser import HttpRequest
from bramleysill_net.request_parser import RequestParser
from bramleysill_net.response_stream import ResponseStream
from bramleysill_net.response_stream import encode_head

# The next request waits while more bytes of earlier responses than this are
# unsent. A caller that pipelines and does not read is held up by that.
MAX_UNSENT_RESPONSE_BYTES = 256 << 10

# How much is read at once between requests. Pipelined requests are parsed as
# they are read, and wait: parsed, they take some 12 times their bytes.
HEAD_READ_BYTES = 8192

__all__ = [
    'MAX_HEADERS',
    'MAX_HEAD_BYTES',
    'HttpRequest',
    'HttpServerConn',
    'ResponseStream',
    'encode_head',
]


class HttpServerConn:
    """The protocol of one connection from a caller.

    `handler.on_request(stream, req)` returns a sink with the methods
    `on_body(data)`, `on_end()` and `on_abort(exc)`.
    `handler.on_bad_request(stream, status, reason)` must send a response,
    after which the connection is closed. `handler.on_disconnect(server)`
    is called when the connection has closed. `idle` is false while a request
    or its response is in progress; `request_count` counts the requests.

    Up to `max_concurrent` requests run side by side. For each one without a
    body that would start before the response to another is complete,
    `handler.may_overlap(req)` tells whether it may. It must be false for a
    request that must not run twice: if an earlier response closes the
    connection, callers send those behind it again.
    """

    __slots__ = (
        'conn',
        'handler',
        'idle',
        'request_count',
        '_parser',
        '_max_concurrent',
        '_streams',
        '_unflushed',
        '_body_complete',
        '_closing',
        '_delivering',
    )

    def __init__(self, conn, handler, max_concurrent=1):
        self.conn = conn
        conn.max_read_bytes = HEAD_READ_BYTES
        self.handler = handler
        self.idle = True
        self.request_count = 0
        self._parser = RequestParser()
        self._max_concurrent = max_concurrent
        # Responses in progress, in the order of their requests.
        self._streams = collections.deque()
        # Complete responses with bytes in the send buffer.
        self._unflushed = []
        # Whether the last request of these was read to its end.
        self._body_complete = False
        self._closing = False
        self._delivering = False

    # Called by the connection.

    def on_connect(self):
        """Do nothing; an accepted connection is already connected."""

    def on_data(self, data):
        """Parse bytes; pause reading while parsed requests wait."""
        if self._closing:
            return
        self.idle = False
        self._parse(data)
        self._deliver_events()

    def on_drain(self):
        """Notify the responses that the send buffer is empty."""
        self._notify_flushed()
        if self._streams:
            self._streams[0].notify_drain()
        if self._parser.events:
            self._deliver_events()

    def on_close(self, exc):
        """Abort the requests in progress."""
        self._parser.events.clear()
        self._abort_streams(exc)
        self._notify_flushed()
        self.handler.on_disconnect(self)

    # Called by the response stream.

    def finish_response(self, stream):
        """Send the responses that follow, and continue with new requests."""
        if self._closing:
            return
        self.finish_reading(stream)
        while self._streams and not self._closing:
            first = self._streams[0]
            if first.aborted:
                self.conn.abort()
                return
            if not first.finished:
                break
            self._streams.popleft()
            self._note_written(first)
            if not first.keeps_connection:
                self._close_after(first)
                return
            if self._streams:
                self._streams[0].become_first()
        self.idle = not self._streams and not self._parser.events
        self._deliver_events()

    def finish_reading(self, stream):
        """End a request whose response is complete before its body.

        The connection closes after the response if the body is still to come.
        """
        if self._body_complete or not self._streams:
            return
        if stream is not self._streams[-1]:
            return
        self._discard_parsed_body()
        if not self._body_complete:
            stream.disable_keep_alive()

    @property
    def awaits_reader(self):
        """Return whether only the caller's reading is outstanding."""
        return not self._streams and self.conn.buffered > 0

    def abort_unfinished(self):
        """Reset the connection unless all its responses have been sent.

        For the end of the process: the kernel would close with a FIN, which
        may look like the end of a response. A reset would also discard a
        response that the caller has not read yet.
        """
        if self._streams or self.conn.buffered:
            self.conn.abort()

    def resume_body(self):
        """Resume reading the body of the request in progress."""
        if not self._body_complete:
            self.conn.resume()

    # Internal.

    def _parse(self, data):
        events = self._parser.events
        known = len(events)
        self._parser.feed(data)
        for kind, value in itertools.islice(events, known, None):
            if kind == HEAD:
                value.arrived_at = self.conn.now()

    def _note_written(self, stream):
        """Handle a complete response, which may be in the send buffer."""
        if self.conn.buffered:
            self._unflushed.append(stream)
        else:
            stream.notify_flushed()

    def _notify_flushed(self):
        streams, self._unflushed = self._unflushed, []
        for stream in streams:
            stream.notify_flushed()

    def _may_deliver(self):
        """Return whether the next event may be handled now."""
        if self._closing or not self._parser.events:
            return False
        kind, value = self._parser.events[0]
        if kind == HEAD and self.conn.buffered > MAX_UNSENT_RESPONSE_BYTES:
            return False
        if not self._streams or not self._body_complete:
            return True
        return (
            kind == HEAD
            and not value.has_body
            and not value.header('expect')
            and len(self._streams) < self._max_concurrent
            and all(stream.keeps_connection for stream in self._streams)
            and self.handler.may_overlap(value)
        )

    def _deliver_events(self):
        # A response sent inside a callback calls finish_response(), which
        # must not recurse: a caller may pipeline thousands of requests.
        if self._delivering:
            return
        self._delivering = True
        try:
            while self._may_deliver():
                self._deliver_event(*self._parser.events.popleft())
        except Exception:
            logging.exception('event=handler_error step=request')
            self._closing = True
            self.conn.abort()
        finally:
            self._delivering = False
        if self._closing:
            return
        if self._parser.events:
            self.conn.pause()
        elif self._body_complete or not self._streams:
            self.conn.resume()

    def _deliver_event(self, kind, value):
        sink = self._streams[-1].sink if self._streams else None
        if kind == HEAD:
            self._start_request(value)
        elif kind == BODY:
            if sink is not None:
                sink.on_body(value)
        elif kind == END:
            if not self._streams:
                # The response was complete before the end of the request.
                return
            self._end_body()
            if sink is not None:
                sink.on_end()
        else:
            self._reject(value)

    def _start_request(self, req):
        stream = ResponseStream(self, req, is_first=not self._streams)
        self._streams.append(stream)
        self._body_complete = False
        if req.has_body:
            self.conn.max_read_bytes = MAX_READ_BYTES
        self.request_count += 1
        sink = self.handler.on_request(stream, req)
        if not stream.finished:
            stream.sink = sink
        expects = req.header('expect').lower() == '100-continue'
        if expects and not stream.started:
            # A request that was refused at once needs no body.
            self.conn.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _end_body(self):
        self._body_complete = True
        self.conn.max_read_bytes = HEAD_READ_BYTES

    def _discard_parsed_body(self):
        # If the rest of the body has already been parsed, the connection can
        # be reused after an early response.
        events = self._parser.events
        while events and events[0][0] in (BODY, END):
            kind, _ = events.popleft()
            if kind == END:
                self._end_body()
                return

    def _reject(self, exc):
        status = 431 if isinstance(exc, HeadTooLarge) else 400
        stream = self._streams[-1] if self._streams else None
        if stream is None:
            stream = ResponseStream(self, None)
            self._streams.append(stream)
        sink, stream.sink = stream.sink, None
        if sink is not None:
            sink.on_abort(exc)
        if stream.started:
            stream.abort()
            return
        stream.disable_keep_alive()
        # The rest of what the caller sends is unreadable.
        self._body_complete = False
        self.handler.on_bad_request(stream, status, str(exc))
        self._close_lingering()

    def _close_after(self, stream):
        """Close the connection behind a complete response."""
        self._abort_streams(ConnectionError('an earlier response closes'))
        if self._body_complete:
            self._closing = True
            self.conn.close()
        else:
            self._close_lingering()

    def _abort_streams(self, exc):
        streams, self._streams = self._streams, collections.deque()
        for stream in streams:
            stream.closed = True
            sink, stream.sink = stream.sink, None
            if sink is not None and not stream.finished:
                sink.on_abort(exc)
            stream.notify_flushed()

    def _close_lingering(self):
        # Closing a socket with unread bytes resets the connection, and the
        # caller would lose the response. So the remaining bytes are read and
        # discarded for a limited time.
        self._closing = True
        self.conn.resume()
        self.conn.close_lingering()
