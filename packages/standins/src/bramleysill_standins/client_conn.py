"""The caller's side of HTTP/1.1, written independently of the router's.

It shares no code with the router's parser and framing, so that a fault there
is not repeated here, where it would go undetected.
"""

import hashlib

import httptools

from bramleysill_net.conn import Conn

# Bytes of a request body that are buffered before sending pauses until the
# router has read them.
HIGH_WATER_BYTES = 262144
# Bytes of a response's body that are kept; the rest is only counted and
# hashed. The limit is checked before each piece, so that the last one may
# exceed it.
MAX_KEPT_BODY_BYTES = 65536


class HttpCall:
    """One request; `pieces` yields the `size` bytes of its body."""

    __slots__ = ('method', 'path', 'headers', 'size', 'pieces')

    def __init__(self, method, path, headers, size=0, pieces=()):
        self.method = method
        self.path = path
        self.headers = headers
        self.size = size
        self.pieces = iter(pieces)

    def encode_head(self, host):
        """Return the bytes of the request head."""
        lines = [f'{self.method} {self.path} HTTP/1.1', f'Host: {host}']
        lines += [f'{name}: {value}' for name, value in self.headers]
        if self.size or self.method in ('POST', 'PUT'):
            lines.append(f'Content-Length: {self.size}')
        return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


class HttpResponse:
    """A response: size and digest of its body, and the body's start.

    About MAX_KEPT_BODY_BYTES of the body are kept.
    """

    __slots__ = ('status', 'headers', 'body', 'size', 'digest')

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.size = 0
        self.digest = hashlib.sha256()


class CallerConn:
    """One keep-alive connection to a router, with one call at a time.

    `on_done(self, response, exc)` is called once for each call; `response`
    is None if the connection closed first. `on_closed(self)` is called when
    the connection has closed, after `on_done`.
    """

    def __init__(self, loop, address, on_done, on_closed):
        self.address = address
        self.connected = False
        self.reusable = True
        self.unsolicited = False
        self._is_complete = False
        self._on_done = on_done
        self._on_closed = on_closed
        self._call = None
        self._response = None
        self._parser = None
        host, port = address
        self.conn = Conn.connect(loop, host, port, self)

    def send(self, call):
        """Send a call once connected; no other call may be in progress."""
        self._call = call
        self._is_complete = False
        self._response = HttpResponse()
        self._parser = httptools.HttpResponseParser(self)
        if self.connected:
            self._start_sending()

    def _start_sending(self):
        host, port = self.address
        self.conn.write(self._call.encode_head(f'{host}:{port}'))
        self._send_body()

    def abort(self):
        """Abort the connection and the call in progress."""
        self.conn.abort()

    # Called by the connection.

    def on_connect(self):
        """Send the call that was waiting for the connection."""
        self.connected = True
        if self._call is not None:
            self._start_sending()

    def on_drain(self):
        """Send more of the body."""
        if self._call is not None:
            self._send_body()

    def on_data(self, data):
        """Parse a piece of the response; abort on bytes outside a call."""
        if self._call is None:
            self.unsolicited = True
            self.conn.abort()
            return
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ):
            self._on_parse_error()
            return
        if self._is_complete:
            self._complete_call()

    def on_close(self, exc):
        """Report the failure of the call in progress, then the closing."""
        self.reusable = False
        self._finish(None, exc)
        self._on_closed(self)

    # Called by the parser.

    def on_header(self, name, value):
        """Store a header under its lower-case name."""
        key = name.decode('latin-1').lower()
        self._response.headers[key] = value.decode('latin-1')

    def on_headers_complete(self):
        """Store the status and whether the connection can be reused."""
        self._response.status = self._parser.get_status_code()
        self.reusable = self._parser.should_keep_alive()

    def on_body(self, data):
        """Count and hash a piece of the body; keep it up to a limit."""
        response = self._response
        response.size += len(data)
        response.digest.update(data)
        if len(response.body) < MAX_KEPT_BODY_BYTES:
            response.body += data

    def on_message_complete(self):
        """Record that the response is complete; skip 1xx, which precede it."""
        if self._response.status < 200:
            self._response = HttpResponse()
            return
        self._is_complete = True

    def on_message_begin(self):
        """Stop at a second response, which must not reach the next call."""
        if self._is_complete:
            raise ValueError('received a response without a request')

    # Internal.

    def _on_parse_error(self):
        if not self._is_complete:
            self.conn.abort()
            return
        self.unsolicited = True
        self.reusable = False
        self._complete_call()

    def _complete_call(self):
        if next(self._call.pieces, None) is not None:
            self.reusable = False
        self._finish(self._response, None)
        if not self.reusable:
            self.conn.close()

    def _finish(self, response, exc):
        if self._call is not None:
            self._call = None
            self._on_done(self, response, exc)

    def _send_body(self):
        while self._call is not None and not self.conn.closed:
            if self.conn.buffered >= HIGH_WATER_BYTES:
                return
            piece = next(self._call.pieces, None)
            if piece is None:
                return
            self.conn.write(piece)
