"""Fakes for tests of the HTTP server side without sockets."""

from bramleysill_net.http_server import HttpServerConn


class FakeConn:
    """Records what a server connection writes and does."""

    def __init__(self):
        self.sent = b''
        self.peer = 'fake'
        self.buffered = 0
        self.closed = False
        self.reading = True
        self.ending = ''
        self.protocol = None

    def write(self, data):
        if not self.closed:
            self.sent += bytes(data)

    def pause(self):
        self.reading = False

    def resume(self):
        self.reading = True

    def close(self):
        self._end('close')

    def close_lingering(self):
        self.ending = self.ending or 'linger'

    def abort(self):
        self._end('abort')

    def _end(self, how):
        if not self.closed:
            self.closed = True
            self.ending = how
            if self.protocol is not None:
                self.protocol.on_close(None)


class Sink:
    """Records one request; answers with its target at once or later."""

    def __init__(self, owner, stream, req):
        self.owner = owner
        self.stream = stream
        self.req = req
        self.body = b''
        self.ended = False
        self.aborted = False

    def on_body(self, data):
        self.body += data

    def on_end(self):
        self.ended = True
        if not self.owner.hold:
            self.answer()

    def on_abort(self, exc):
        self.aborted = True

    def answer(self):
        self.stream.send(200, [], self.req.target.encode('latin-1'))


class Recorder:
    """A handler that records all requests of one fake connection."""

    def __init__(self, hold=False):
        self.hold = hold
        self.sinks = []
        self.bad = []
        self.disconnects = 0
        self.conn = FakeConn()
        self.server = HttpServerConn(self.conn, self)
        self.conn.protocol = self.server

    def feed(self, data, step=None):
        """Hand over bytes in pieces of `step`, as a connection does."""
        step = step or max(1, len(data))
        for start in range(0, len(data), step):
            if self.conn.closed:
                return
            self.server.on_data(data[start : start + step])

    def on_request(self, stream, req):
        self.sinks.append(Sink(self, stream, req))
        return self.sinks[-1]

    def on_bad_request(self, stream, status, reason):
        self.bad.append((status, reason))
        stream.send(status, [])

    def on_disconnect(self, server):
        self.disconnects += 1


def statuses(data):
    """Return the statuses of whole answers; fails on a partial one.

    Only answers with Content-Length are understood.
    """
    found = []
    while data:
        head, separator, data = data.partition(b'\r\n\r\n')
        if not separator:
            raise AssertionError(f'partial head {head!r}')
        lines = head.split(b'\r\n')
        status = int(lines[0].split()[1])
        if status == 100:
            continue
        fields = dict(line.lower().split(b': ', 1) for line in lines[1:])
        length = int(fields[b'content-length'])
        if len(data) < length:
            raise AssertionError('partial body')
        found.append((status, data[:length]))
        data = data[length:]
    return found
