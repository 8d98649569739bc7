"""Helpers for tests of the HTTP server connection and the ledgers."""

from bramleysill_net.http_server import HttpServerConn
from bramleysill_standins.stepped import MemoryConn


class RecordingSink:
    """Records a request and responds with its target.

    The response follows at the end of the request or, with `defer`, when
    `respond` is called.
    """

    def __init__(self, defer, stream, req):
        self.defer = defer
        self.stream = stream
        self.req = req
        self.body = b''
        self.ended = False
        self.aborted = False

    def on_body(self, data):
        self.body += data

    def on_end(self):
        self.ended = True
        if not self.defer:
            self.respond()

    def on_abort(self, exc):
        self.aborted = True

    def respond(self):
        self.stream.send(200, [], self.req.target.encode('latin-1'))


class RecordingHandler:
    """A handler that records all requests of a connection in memory."""

    def __init__(self, defer=False):
        self.defer = defer
        self.sinks = []
        self.bad_requests = []
        self.disconnects = 0
        self.conn = MemoryConn()
        self.server = HttpServerConn(self.conn, self)
        self.conn.protocol = self.server

    def feed(self, data, step=None):
        """Deliver data in parts of `step` bytes, as a connection does."""
        step = step or max(1, len(data))
        for start in range(0, len(data), step):
            if self.conn.closed:
                return
            self.server.on_data(data[start : start + step])

    def on_request(self, stream, req):
        self.sinks.append(RecordingSink(self.defer, stream, req))
        return self.sinks[-1]

    def on_bad_request(self, stream, status, reason):
        self.bad_requests.append((status, reason))
        stream.send(status, [])

    def on_disconnect(self, server):
        self.disconnects += 1


def parse_responses(data):
    """Return `(status, body)` of each response in `data`.

    Every response must be complete and have a Content-Length.
    """
    responses = []
    while data:
        head, separator, data = data.partition(b'\r\n\r\n')
        if not separator:
            raise AssertionError(f'the response head is incomplete: {head!r}')
        if head.endswith(b' 100 Continue'):
            continue
        length = int(head.lower().split(b'content-length: ')[1].split()[0])
        if len(data) < length:
            raise AssertionError('the response body is incomplete')
        responses.append((int(head.split()[1]), data[:length]))
        data = data[length:]
    return responses


def ledger_entry(host_ms, fence, call_id='', unit='3', key='K'):
    """Return a ledger entry with the effect `openings`, as in JSON."""
    fields = {'host_ms': host_ms, 'fence': fence, 'unit': unit, 'key': key}
    fields.update(service='ledger', effect='openings')
    return {**fields, 'call_id': call_id, 'idempotency_key': call_id}
