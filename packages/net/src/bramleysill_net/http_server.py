"""An HTTP/1.1 server connection with streaming bodies.

A connection handles one request at a time. The events of a pipelined request
stay queued, with reading paused, until the previous response is complete.
"""

from absl import logging

from bramleysill_net.request_parser import BODY
from bramleysill_net.request_parser import END
from bramleysill_net.request_parser import HEAD
from bramleysill_net.request_parser import MAX_HEAD_BYTES
from bramleysill_net.request_parser import MAX_HEADERS
from bramleysill_net.request_parser import HeadTooLarge
from bramleysill_net.request_parser import HttpRequest
from bramleysill_net.request_parser import RequestParser

__all__ = [
    'MAX_HEADERS',
    'MAX_HEAD_BYTES',
    'HttpRequest',
    'HttpServerConn',
    'ResponseStream',
    'encode_head',
]

_REASON_PHRASES = {
    100: 'Continue',
    200: 'OK',
    201: 'Created',
    202: 'Accepted',
    204: 'No Content',
    304: 'Not Modified',
    400: 'Bad Request',
    403: 'Forbidden',
    404: 'Not Found',
    405: 'Method Not Allowed',
    409: 'Conflict',
    410: 'Gone',
    412: 'Precondition Failed',
    413: 'Content Too Large',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


def encode_head(status, headers, reason=''):
    """Return the bytes of a response head."""
    reason = reason or _REASON_PHRASES.get(status, 'Status')
    lines = [f'HTTP/1.1 {status} {reason}\r\n']
    lines += [f'{k}: {v}\r\n' for k, v in headers]
    lines.append('\r\n')
    return ''.join(lines).encode('latin-1')


class HttpServerConn:
    """The protocol of one connection from a caller.

    `handler.on_request(stream, req)` returns a sink with the methods
    `on_body(data)`, `on_end()` and `on_abort(exc)`.
    `handler.on_bad_request(stream, status, reason)` must send a response,
    after which the connection is closed. `handler.on_disconnect(server)`
    is called when the connection has closed. `idle` is false while a request
    or its response is in progress; `request_count` counts the requests.
    """

    __slots__ = (
        'conn',
        'handler',
        'idle',
        'request_count',
        '_parser',
        '_sink',
        '_stream',
        '_body_complete',
        '_closing',
        '_delivering',
    )

    def __init__(self, conn, handler):
        self.conn = conn
        self.handler = handler
        self.idle = True
        self.request_count = 0
        self._parser = RequestParser()
        self._stream = None
        self._sink = None
        self._body_complete = False
        self._closing = False
        self._delivering = False

    # Called by the connection.

    def on_connect(self):
        """Do nothing; an accepted connection is already connected."""

    def on_data(self, data):
        """Parse bytes; pause reading while a response is pending."""
        if self._closing:
            return
        self.idle = False
        self._parser.feed(data)
        if self._is_awaiting_response():
            self.conn.pause()
            return
        self._deliver_events()

    def on_drain(self):
        """Notify the response stream that the send buffer is empty."""
        if self._stream is not None:
            self._stream.notify_drain()

    def on_close(self, exc):
        """Abort the request in progress."""
        self._parser.events.clear()
        stream, self._stream = self._stream, None
        sink, self._sink = self._sink, None
        if stream is not None:
            stream.closed = True
        if sink is not None:
            sink.on_abort(exc)
        self.handler.on_disconnect(self)

    # Called by the response stream.

    def finish_response(self, keep_alive):
        """End the current request and continue with the next one."""
        self._stream = None
        self._sink = None
        if self._closing:
            return
        if not self._body_complete:
            self._discard_parsed_body()
        if not self._body_complete:
            self._close_after_response()
            return
        self._body_complete = False
        if not keep_alive:
            self._closing = True
            self.conn.close()
            return
        self.idle = not self._parser.events
        self._deliver_events()
        if not self._is_awaiting_response() and not self._closing:
            self.conn.resume()

    def resume_body(self):
        """Resume reading the body of the request in progress."""
        if not self._is_awaiting_response():
            self.conn.resume()

    # Internal.

    def _is_awaiting_response(self):
        """Return whether a fully read request has an unfinished response."""
        return self._body_complete

    def _deliver_events(self):
        # A response sent inside a callback calls finish_response(), which
        # must not recurse: a caller may pipeline thousands of requests.
        if self._delivering:
            return
        self._delivering = True
        events = self._parser.events
        try:
            while (
                events
                and not self._is_awaiting_response()
                and not self._closing
            ):
                kind, value = events.popleft()
                self._deliver_event(kind, value)
        except Exception:
            logging.exception('event=handler_error step=request')
            self._closing = True
            self.conn.abort()
        finally:
            self._delivering = False
        if self._is_awaiting_response() and events:
            self.conn.pause()

    def _deliver_event(self, kind, value):
        if kind == HEAD:
            self._start_request(value)
        elif kind == BODY:
            if self._sink is not None:
                self._sink.on_body(value)
        elif kind == END:
            self._body_complete = True
            if self._sink is not None:
                self._sink.on_end()
        else:
            self._reject(value)

    def _start_request(self, req):
        stream = ResponseStream(self, req)
        self._stream = stream
        self._body_complete = False
        self.request_count += 1
        if req.header('expect').lower() == '100-continue':
            self.conn.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        sink = self.handler.on_request(stream, req)
        if self._stream is stream:
            self._sink = sink

    def _discard_parsed_body(self):
        # If the rest of the body has already been parsed, the connection can
        # be reused after an early response.
        events = self._parser.events
        while events and events[0][0] in (BODY, END):
            kind, _ = events.popleft()
            if kind == END:
                self._body_complete = True
                return

    def _reject(self, exc):
        status = 431 if isinstance(exc, HeadTooLarge) else 400
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.on_abort(exc)
        stream = self._stream or ResponseStream(self, None)
        self._stream = stream
        if stream.started:
            stream.abort()
            return
        stream.disable_keep_alive()
        self.handler.on_bad_request(stream, status, str(exc))
        self._close_after_response()

    def _close_after_response(self):
        # Closing a socket with unread bytes resets the connection, and the
        # caller would lose the response. So the remaining bytes are read and
        # discarded for a limited time.
        self._closing = True
        self.conn.resume()
        self.conn.close_lingering()


class ResponseStream:
    """The response to one request.

    Writes are ignored after the response is complete or the connection has
    closed, so that late data cannot become part of another response. If
    `on_drained` is set, it is called when the send buffer has become empty.
    """

    __slots__ = (
        '_server_conn',
        '_req',
        'started',
        'finished',
        'closed',
        'on_drained',
        '_chunked',
        '_remaining_bytes',
        '_keep_alive',
        '_is_bodiless',
    )

    def __init__(self, server, req):
        self._server_conn = server
        self._req = req
        self.started = False
        self.finished = False
        self.closed = False
        self.on_drained = None
        self._chunked = False
        # Body bytes still to be written; None without a Content-Length.
        self._remaining_bytes = None
        self._keep_alive = req is not None and not req.closes_connection
        self._is_bodiless = req is not None and req.method == 'HEAD'

    @property
    def peer(self):
        """Return the caller's address."""
        return self._server_conn.conn.peer

    @property
    def buffered(self):
        """Return the number of bytes that the kernel has not accepted yet."""
        return self._server_conn.conn.buffered

    @property
    def reading(self):
        """Return whether data from the caller is read."""
        return self._server_conn.conn.reading

    def disable_keep_alive(self):
        """Close the connection after this response."""
        self._keep_alive = False

    def start(self, status, headers, length=None):
        """Send the head of the response.

        Without a length the body is chunked or, for HTTP/1.0, delimited by
        the end of the connection.
        """
        if self.closed or self.started:
            return
        self.started = True
        headers = list(headers)
        if status in (204, 304):
            self._is_bodiless = True
        elif length is not None:
            self._remaining_bytes = length
            headers.append(('Content-Length', str(length)))
        elif self._req is not None and self._req.version == '1.0':
            self._keep_alive = False
        else:
            self._chunked = True
            headers.append(('Transfer-Encoding', 'chunked'))
        if not self._keep_alive:
            headers.append(('Connection', 'close'))
        self._server_conn.conn.write(encode_head(status, headers))

    def write(self, data):
        """Send part of the body; reset the connection if it is too long."""
        if self.closed or self.finished or self._is_bodiless or not data:
            return
        conn = self._server_conn.conn
        if self._remaining_bytes is not None:
            self._remaining_bytes -= len(data)
            if self._remaining_bytes < 0:
                logging.error('event=response_too_long step=response')
                self.abort()
                return
        if self._chunked:
            conn.write(b'%x\r\n' % len(data) + data + b'\r\n')
        else:
            conn.write(data)

    def end(self):
        """Complete the response; reset the connection if it is too short.

        Otherwise the caller would read the next response as the rest of
        this one.
        """
        if self.closed or self.finished:
            return
        if not self.started or (
            self._remaining_bytes and not self._is_bodiless
        ):
            logging.error('event=response_incomplete step=response')
            self.abort()
            return
        self.finished = True
        if self._chunked and not self._is_bodiless:
            self._server_conn.conn.write(b'0\r\n\r\n')
        self._server_conn.finish_response(self._keep_alive)

    def send(self, status, headers, body=b''):
        """Send a complete response in one write."""
        if self.closed or self.started:
            return
        self.started = True
        self.finished = True
        headers = list(headers)
        if status in (204, 304):
            self._is_bodiless = True
        else:
            headers.append(('Content-Length', str(len(body))))
        if not self._keep_alive:
            headers.append(('Connection', 'close'))
        data = encode_head(status, headers)
        if not self._is_bodiless:
            data += body
        self._server_conn.conn.write(data)
        self._server_conn.finish_response(self._keep_alive)

    def abort(self):
        """Reset the connection, so that a partial response is recognised.

        Does nothing once the response is complete, as the connection may
        then already serve another request.
        """
        if not self.closed and not self.finished:
            self._server_conn.conn.abort()

    def pause(self):
        """Pause reading the request's body."""
        if not self.closed and not self.finished:
            self._server_conn.conn.pause()

    def resume(self):
        """Resume reading the request's body."""
        if not self.closed and not self.finished:
            self._server_conn.resume_body()

    def notify_drain(self):
        """Call `on_drained`, if set."""
        if self.on_drained is not None:
            self.on_drained()
