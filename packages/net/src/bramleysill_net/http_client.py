"""HTTP/1.1 towards upstreams and the store: one request per connection.

A connection that has not ended its exchange cleanly is closed and never
reused, so that bytes of an old answer cannot reach a new request.
"""

import httptools

from bramleysill_net.conn import Conn

MAX_HEAD_BYTES = 65536


class HttpClientConn:
    """One connection to a server.

    `request` starts an exchange whose sink gets `on_head(status, headers,
    length)`, `on_body(data)`, `on_end()` and at most one `on_failure(exc)`.
    `on_idle(conn)` and `on_closed(conn)` tell the pool.

    A sink may have `accepts(status, headers)`. If that returns False, the
    answer belongs to an earlier request on this connection; it is dropped
    and the next one is awaited.
    """

    __slots__ = (
        'conn',
        'connected',
        'busy',
        'sent_bytes',
        '_sink',
        '_parser',
        '_headers',
        '_head_bytes',
        '_on_idle',
        '_on_closed',
        '_head_only',
        '_response_complete',
        '_unsent',
        '_read_until_close',
        '_in_body',
        '_reusable',
        '_discarding',
        '_has_extra_response',
    )

    def __init__(
        self,
        loop,
        host,
        port,
        on_idle=None,
        on_closed=None,
        peer_timeout_ms=0,
    ):
        self.connected = False
        self.busy = False
        self.sent_bytes = 0
        self._sink = None
        self._parser = None
        self._headers = []
        self._head_bytes = 0
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._head_only = False
        self._response_complete = False
        self._unsent = []
        self._read_until_close = False
        self._in_body = False
        self._reusable = False
        self._discarding = False
        self._has_extra_response = False
        self.conn = Conn.connect(loop, host, port, self)
        if peer_timeout_ms:
            self.conn.set_peer_timeout(peer_timeout_ms)

    @property
    def closed(self):
        """Tell whether the connection is unusable."""
        return self.conn.closed

    @property
    def buffered(self):
        """Return the bytes that the server has not taken yet."""
        return self.conn.buffered + sum(len(d) for d in self._unsent)

    def request(self, data, sink, head_only=False):
        """Send a request's head (and body); the sink gets the answer."""
        self.busy = True
        self._sink = sink
        self._headers = []
        self._head_bytes = 0
        self._head_only = head_only
        self._response_complete = False
        self._read_until_close = False
        self._in_body = False
        self._discarding = False
        self._has_extra_response = False
        self.sent_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        # The exchange before may have ended while it was held back.
        self.conn.resume()
        self.write(data)

    def write(self, data):
        """Send a piece of the request's body."""
        if self.connected:
            # Once handed to the kernel a request counts as sent.
            self.sent_bytes += len(data)
            self.conn.write(data)
        else:
            self._unsent.append(data)

    def pause(self):
        """Stop reading the answer."""
        self.conn.pause()

    def resume(self):
        """Read the answer again."""
        self.conn.resume()

    def abort(self):
        """Close at once; the sink hears nothing more."""
        self._sink = None
        self.conn.abort()

    def abort_exchange(self):
        """Close at once and fail the exchange in progress."""
        self.conn.abort()

    def close(self):
        """Close an idle connection."""
        self._sink = None
        self.conn.close()

    # Called by the connection.

    def on_connect(self):
        """Send what was written before the connection stood."""
        self.connected = True
        unsent, self._unsent = self._unsent, []
        for data in unsent:
            self.write(data)
        if not self.busy and self._on_idle is not None:
            self._on_idle(self)

    def on_data(self, data):
        """Parse a piece of the answer."""
        if self._sink is None:
            # Bytes without a request: the server is out of step.
            self.conn.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail_exchange(exc)
            self.conn.abort()
            return
        if self._response_complete and not self.conn.closed:
            self._finish_exchange()

    def on_drain(self):
        """Tell the sink that more of the body may be sent."""
        sink = self._sink
        if sink is not None and hasattr(sink, 'on_request_drain'):
            sink.on_request_drain()

    def on_close(self, exc):
        """Fail the exchange, unless the answer ends with the connection."""
        if self._read_until_close and self._in_body and exc is None:
            sink, self._sink = self._sink, None
            if sink is not None:
                sink.on_end()
        else:
            self._fail_exchange(
                exc or ConnectionResetError('closed by the server')
            )
        if self._on_closed is not None:
            self._on_closed(self)

    # Called by the parser.

    def on_message_begin(self):
        """Note bytes that follow a complete answer; they are nobody's."""
        if self._response_complete:
            self._has_extra_response = True

    def on_header(self, name, value):
        """Collect a header."""
        if self._has_extra_response:
            return
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise httptools.HttpParserError('response head too large')
        self._headers.append(
            (name.decode('latin-1').lower(), value.decode('latin-1'))
        )

    def on_headers_complete(self):
        """Hand on the head of a final answer."""
        status = self._parser.get_status_code()
        if status < 200 or self._has_extra_response:
            return
        if not self._is_accepted(status):
            self._discarding = True
            return
        self._in_body = True
        length = None
        for name, value in self._headers:
            if name == 'content-length' and value.isdecimal():
                length = int(value)
        chunked = any(k == 'transfer-encoding' for k, _ in self._headers)
        if status in (204, 304) or self._head_only:
            length = 0
        elif length is None and not chunked:
            self._read_until_close = True
        self._sink.on_head(status, self._headers, length)

    def on_body(self, data):
        """Hand on a piece of the body."""
        if self._has_extra_response or self._discarding:
            return
        if self._sink is not None:
            self._sink.on_body(data)

    def on_message_complete(self):
        """Note the end; a 1xx answer is followed by the final one."""
        if self._has_extra_response:
            return
        if self._parser.get_status_code() < 200 or self._discarding:
            self._headers = []
            self._discarding = False
            return
        self._response_complete = True
        # The parser forgets this once the message is complete.
        self._reusable = self._parser.should_keep_alive()

    # Internal.

    def _is_accepted(self, status):
        accepts = getattr(self._sink, 'accepts', None)
        return accepts is None or accepts(status, self._headers)

    def _finish_exchange(self):
        sink, self._sink = self._sink, None
        reusable = self._reusable and not self._has_extra_response
        self.busy = False
        if not reusable:
            self.conn.close()
        elif self._on_idle is not None:
            # Before the sink hears of the end: what it starts next can then
            # use this connection instead of opening another.
            self._on_idle(self)
        if sink is not None:
            sink.on_end()

    def _fail_exchange(self, exc):
        sink, self._sink = self._sink, None
        self.busy = False
        if sink is not None:
            sink.on_failure(exc)


class ResponseCollector:
    """A sink that collects a small answer and calls back once.

    `callback(status, headers, body)`; status 0 means that the exchange
    failed. `limit` bounds the body in bytes.
    """

    __slots__ = (
        '_callback',
        '_status',
        '_headers',
        '_body_parts',
        '_remaining_bytes',
    )

    def __init__(self, callback, max_body_bytes=2 << 20):
        self._callback = callback
        self._status = 0
        self._headers = []
        self._body_parts = []
        self._remaining_bytes = max_body_bytes

    def on_head(self, status, headers, length):
        """Keep the head."""
        self._status = status
        self._headers = headers

    def on_body(self, data):
        """Keep a piece of the body."""
        self._remaining_bytes -= len(data)
        if self._remaining_bytes >= 0:
            self._body_parts.append(data)

    def on_end(self):
        """Deliver the answer."""
        self._deliver(self._status if self._remaining_bytes >= 0 else 0)

    def on_failure(self, exc):
        """Deliver the failure."""
        self._deliver(0)

    def _deliver(self, status):
        callback, self._callback = self._callback, None
        if callback is not None:
            callback(status, dict(self._headers), b''.join(self._body_parts))


def encode_request(method, target, host, headers=(), body=None):
    """Return the bytes of a request with a whole body."""
    lines = [f'{method} {target} HTTP/1.1', f'Host: {host}']
    lines += [f'{k}: {v}' for k, v in headers]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return head.encode('latin-1') + (body or b'')
