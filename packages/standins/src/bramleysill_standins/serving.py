"""Helpers of the HTTP stand-ins: bodies, JSON responses and listening."""

import json
import urllib.parse

from bramleysill_net.conn import Listener
from bramleysill_net.http_server import HttpServerConn

HOST = '127.0.0.1'
JSON_TYPE = ('Content-Type', 'application/json')


class Target:
    """The decoded path and query parameters of a request."""

    __slots__ = ('path', 'query')

    def __init__(self, target):
        parts = urllib.parse.urlsplit(target)
        self.path = urllib.parse.unquote(parts.path)
        self.query = dict(urllib.parse.parse_qsl(parts.query))

    def int_param(self, name, default=0):
        """Return a query parameter as an int; raises ValueError."""
        return int(self.query.get(name, default))


class BodySink:
    """Collects a body of at most `limit` bytes, then calls `done(body)`.

    A longer body is refused with 413. `abort_callback()`, if it is set, is
    called when the connection closes before the response.
    """

    __slots__ = (
        '_stream',
        '_done',
        '_limit',
        '_pieces',
        '_size',
        'abort_callback',
    )

    def __init__(self, stream, done, limit):
        self._stream = stream
        self._done = done
        self._limit = limit
        self._pieces = []
        self._size = 0
        self.abort_callback = None

    def on_body(self, data):
        """Buffer a piece of the body; drop all once it is too long."""
        self._size += len(data)
        if self._size > self._limit:
            self._pieces.clear()
            return
        self._pieces.append(data)

    def on_end(self):
        """Pass on the complete body, or refuse it."""
        if self._size > self._limit:
            self._stream.send(413, [])
            return
        self._done(b''.join(self._pieces))

    def on_abort(self, exc):
        """Report that the connection has closed."""
        if self.abort_callback is not None:
            self.abort_callback()


class ConnTracker:
    """Base of request handlers; tracks the open connections of a listener."""

    def __init__(self, loop):
        self.loop = loop
        self.listener = None
        self.server_conns = set()

    def accept(self, conn):
        """Return the protocol object for an accepted connection."""
        server = HttpServerConn(conn, self)
        self.server_conns.add(server)
        return server

    def on_disconnect(self, server):
        """Forget a connection."""
        self.server_conns.discard(server)

    def on_bad_request(self, stream, status, reason):
        """Respond to a malformed request."""
        stream.send(status, [], reason.encode('latin-1', 'replace'))


def send_json(stream, status, value, headers=()):
    """Send a response with a JSON document."""
    body = json.dumps(value).encode()
    stream.send(status, [JSON_TYPE, *headers], body)


def listen(loop, app, port):
    """Listen on loopback and return the port; port 0 picks a free one."""
    listener = Listener(loop, HOST, port, app.accept)
    app.listener = listener
    return listener.address[1]


def print_address(port):
    """Print the address on a line that a parent process can parse."""
    print(f'listening {HOST} {port}', flush=True)
