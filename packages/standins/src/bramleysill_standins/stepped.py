"""Drives stand-ins in tests, without sockets and on a manual clock."""

from bramleysill_kernel.common.clock import ManualClock
from bramleysill_net.loop import Scheduler

# Maximum step of the manual clock, so that timers run close to their deadline.
STEP_SECONDS = 0.001


class ManualLoop:
    """An event loop without a poller, on a manual clock."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.now = self.clock.now
        self.scheduler = Scheduler(self.now)

    def advance(self, seconds):
        """Advance the clock in small steps and run the timers that are due."""
        end = self.now() + seconds
        while self.now() < end - 1e-9:
            self.clock.advance(min(STEP_SECONDS, end - self.now()))
            self.scheduler.run_due()


class SteppedCaller:
    """Sends requests to a stand-in over an in-memory connection.

    Example::

        loop = ManualLoop()
        caller = SteppedCaller(StoreApp(loop))
        status, headers, body = caller.send('GET', '/v1/vms')
    """

    def __init__(self, app):
        self.conn = MemoryConn()
        self.server = app.accept(self.conn)
        self.conn.protocol = self.server

    def send(self, method, path, body=b'', headers=()):
        """Send a request; return the response if it came at once, or None."""
        self.conn.sent = b''
        lines = [f'{method} {path} HTTP/1.1', 'Host: x']
        lines += [f'{name}: {value}' for name, value in headers]
        lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        self.server.on_data(head.encode() + body)
        return self.response()

    def response(self):
        """Return `(status, headers, body)`, or None before the response."""
        if not self.conn.sent:
            return None
        head, _, body = self.conn.sent.partition(b'\r\n\r\n')
        lines = head.decode().split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines[1:])
        return int(lines[0].split()[1]), headers, body


class MemoryConn:
    """A connection without a socket, which records what its protocol does.

    `sent` holds the bytes written, `ending` the way in which the connection
    was closed: `close`, `linger` or `abort`.
    """

    def __init__(self):
        self.sent = b''
        self.peer = 'fake'
        self.buffered = 0
        self.closed = False
        self.reading = True
        self.ending = ''
        self.protocol = None

    def now(self):
        """Return 0.0; tests with a clock set their own."""
        return 0.0

    def write(self, data):
        """Record the bytes, unless the connection is closed."""
        if not self.closed:
            self.sent += bytes(data)

    def close_with_peer(self):
        """Do nothing: the peer of this connection never closes."""

    def pause(self):
        """Record that reading is paused."""
        self.reading = False

    def resume(self):
        """Record that reading has resumed."""
        self.reading = True

    def close_lingering(self):
        """Record a lingering close; the peer closes the connection later."""
        self.ending = self.ending or 'linger'

    def abort(self, how='abort'):
        """Close the connection at once."""
        if not self.closed:
            self.closed = True
            self.ending = how
            if self.protocol is not None:
                self.protocol.on_close(None)

    def close(self):
        """Close the connection once the written bytes are sent."""
        self.abort('close')
