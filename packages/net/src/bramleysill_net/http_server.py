"""HTTP/1.1 on the caller's side: streaming bodies, requests in order.

httptools parses; this module adds limits, refuses ambiguous framing, and
handles one request at a time on a connection. Bytes of a later, pipelined
request wait with reading paused until the answer before it is complete.
"""

import httptools

MAX_HEAD_BYTES = 32768
MAX_HEADERS = 100

_REASONS = {
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
    412: 'Precondition Failed',
    413: 'Content Too Large',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


class HttpRequest:
    """Head of one request. Header names are lower case."""

    __slots__ = ('method', 'target', 'headers', 'length', 'chunked', 'close')

    def __init__(self, method, target, headers, length, chunked, close):
        self.method = method
        self.target = target
        self.headers = headers
        self.length = length
        self.chunked = chunked
        self.close = close

    def header(self, name, default=''):
        """Return the first header of that lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    @property
    def has_body(self):
        """Tell whether the request announces a body."""
        return self.chunked or self.length > 0


def encode_head(status, headers, reason=''):
    """Return the bytes of a response head."""
    reason = reason or _REASONS.get(status, 'Status')
    lines = [f'HTTP/1.1 {status} {reason}\r\n']
    lines += [f'{k}: {v}\r\n' for k, v in headers]
    lines.append('\r\n')
    return ''.join(lines).encode('latin-1')


class HttpServerConn:
    """Protocol of one caller connection.

    `handler` gets `on_request(stream, req)` and returns a sink with
    `on_body(data)`, `on_end()` and `on_abort(exc)`. `on_bad_request(stream,
    status, reason)` must answer and lets the connection close.
    """

    __slots__ = (
        'conn',
        'handler',
        '_parser',
        '_pending',
        '_url',
        '_headers',
        '_head_bytes',
        '_sink',
        '_stream',
        '_body_done',
        '_failed',
        'idle',
    )

    def __init__(self, conn, handler):
        self.conn = conn
        self.handler = handler
        self._pending = bytearray()
        self._stream = None
        self._sink = None
        self._failed = False
        self.idle = True
        self._reset()

    def _reset(self):
        self._parser = httptools.HttpRequestParser(self)
        self._url = b''
        self._headers = []
        self._head_bytes = 0
        self._body_done = False

    # Called by the connection.

    def on_connect(self):
        """An accepted connection is already connected."""

    def on_data(self, data):
        """Parse bytes, or keep them while an answer is outstanding."""
        if self._failed:
            return
        if self._body_done:
            self._pending += data
            self.conn.pause()
            return
        self.idle = False
        self._feed(data)

    def on_drain(self):
        """Tell the request's stream that the send buffer has emptied."""
        if self._stream is not None:
            self._stream.notify_drain()

    def on_close(self, exc):
        """Abort the request in progress."""
        stream, self._stream = self._stream, None
        sink, self._sink = self._sink, None
        if stream is not None:
            stream.closed = True
        if sink is not None:
            sink.on_abort(exc)
        self.handler.on_disconnect(self)

    # Called by the parser.

    def on_url(self, url):
        """Collect the target."""
        self._url += url
        self._count(len(url))

    def on_header(self, name, value):
        """Collect a header."""
        self._count(len(name) + len(value) + 4)
        if len(self._headers) >= MAX_HEADERS:
            raise _HeadTooLarge()
        self._headers.append(
            (name.decode('latin-1').lower(), value.decode('latin-1'))
        )

    def on_headers_complete(self):
        """Check the framing and start the request."""
        req = self._make_request()
        self._stream = ResponseStream(self, req)
        if req.header('expect').lower() == '100-continue':
            self.conn.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        self._sink = self.handler.on_request(self._stream, req)

    def on_body(self, data):
        """Hand on a piece of the body."""
        if self._sink is not None:
            self._sink.on_body(data)

    def on_message_complete(self):
        """The request is complete; later bytes belong to the next one."""
        self._body_done = True
        if self._sink is not None:
            self._sink.on_end()

    # Internal.

    def _count(self, size):
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            raise _HeadTooLarge()

    def _make_request(self):
        lengths = [v for k, v in self._headers if k == 'content-length']
        codings = [v for k, v in self._headers if k == 'transfer-encoding']
        if lengths and codings:
            raise _Ambiguous('both Content-Length and Transfer-Encoding')
        if len(lengths) > 1:
            raise _Ambiguous('more than one Content-Length')
        if codings and codings != ['chunked']:
            raise _Ambiguous('a transfer coding other than chunked')
        if lengths and not lengths[0].isdecimal():
            raise _Ambiguous('a malformed Content-Length')
        version = self._parser.get_http_version()
        if version not in ('1.1', '1.0'):
            raise _Ambiguous('a version other than HTTP/1.1')
        if version == '1.1' and not any(k == 'host' for k, _ in self._headers):
            raise _Ambiguous('no Host header')
        return HttpRequest(
            self._parser.get_method().decode(),
            self._url.decode('latin-1'),
            self._headers,
            int(lengths[0]) if lengths else 0,
            bool(codings),
            not self._parser.should_keep_alive(),
        )

    def _feed(self, data):
        # A message that ends inside `data` is followed by a pipelined one;
        # the parser is fed up to the end of the first only.
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as exc:
            self._fail_parse(exc.__context__)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as exc:
            self._fail_parse(exc)

    def _fail_parse(self, exc):
        if self.conn.closed:
            return
        self._failed = True
        status = 431 if isinstance(exc, _HeadTooLarge) else 400
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.on_abort(exc)
        stream = self._stream or ResponseStream(self, None)
        self._stream = stream
        if not stream.started:
            self.handler.on_bad_request(stream, status, str(exc))
        self.conn.close()

    def finish(self, keep_alive):
        """The answer is complete; go on with the next request."""
        self._stream = None
        self._sink = None
        if self._failed:
            return
        if not keep_alive or not self._body_done:
            self.conn.close()
            return
        self._reset()
        self.idle = not self._pending
        if self._pending:
            data = bytes(self._pending)
            self._pending.clear()
            self.idle = False
            self._feed(data)
        if not self.conn.closed:
            self.conn.resume()


class _HeadTooLarge(Exception):
    pass


class _Ambiguous(Exception):
    pass


class ResponseStream:
    """The answer to one request.

    Writes after the connection closed, or after the answer was completed,
    are dropped, so that a late answer can never reach another request.
    """

    __slots__ = (
        '_server',
        '_req',
        'started',
        'finished',
        'closed',
        'on_drained',
        '_chunked',
        '_keep_alive',
        '_no_body',
    )

    def __init__(self, server, req):
        self._server = server
        self._req = req
        self.started = False
        self.finished = False
        self.closed = False
        self.on_drained = None
        self._chunked = False
        self._keep_alive = req is not None and not req.close
        self._no_body = req is not None and req.method == 'HEAD'

    @property
    def peer(self):
        """Return the caller's address."""
        return self._server.conn.peer

    @property
    def buffered(self):
        """Return the bytes not yet taken by the caller."""
        return self._server.conn.buffered

    def start(self, status, headers, length=None):
        """Send the head; without a length the body is sent in chunks."""
        if self.closed or self.started:
            return
        self.started = True
        headers = list(headers)
        bodiless = status in (204, 304)
        if bodiless:
            self._no_body = True
        elif length is None:
            self._chunked = True
            headers.append(('Transfer-Encoding', 'chunked'))
        else:
            headers.append(('Content-Length', str(length)))
        if not self._keep_alive:
            headers.append(('Connection', 'close'))
        self._server.conn.write(encode_head(status, headers))

    def write(self, data):
        """Send a piece of the body."""
        if self.closed or self.finished or self._no_body or not data:
            return
        conn = self._server.conn
        if self._chunked:
            conn.write(b'%x\r\n' % len(data) + data + b'\r\n')
        else:
            conn.write(data)

    def end(self):
        """Complete the answer."""
        if self.closed or self.finished:
            return
        self.finished = True
        if self._chunked and not self._no_body:
            self._server.conn.write(b'0\r\n\r\n')
        self._server.finish(self._keep_alive)

    def send(self, status, headers, body=b''):
        """Send a whole answer in one write."""
        if self.closed or self.started:
            return
        self.started = True
        self.finished = True
        headers = list(headers)
        headers.append(('Content-Length', str(len(body))))
        if not self._keep_alive:
            headers.append(('Connection', 'close'))
        data = encode_head(status, headers)
        if not self._no_body:
            data += body
        self._server.conn.write(data)
        self._server.finish(self._keep_alive)

    def abort(self):
        """Cut the connection, so that a partial answer is seen as such."""
        if not self.closed:
            self._server.conn.abort()

    def pause(self):
        """Stop reading the request's body."""
        if not self.closed:
            self._server.conn.pause()

    def resume(self):
        """Read the request's body again."""
        if not self.closed and not self.finished:
            self._server.conn.resume()

    def notify_drain(self):
        """Called by the connection when its send buffer is empty."""
        if self.on_drained is not None:
            self.on_drained()
