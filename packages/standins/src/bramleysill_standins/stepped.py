"""Drives stand-ins step by step: no sockets, a clock advanced by hand."""

from bramleysill_kernel.clock import ManualClock
from bramleysill_net.loop import Scheduler

# Longest step of the manual clock, so that timers run close to their time.
STEP_SECONDS = 0.001


class ManualLoop:
    """A loop without a poller, whose clock is advanced by hand."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.now = self.clock.now
        self.scheduler = Scheduler(self.now)

    def advance(self, seconds):
        """Move the clock and run what has fallen due, in small steps."""
        end = self.now() + seconds
        while self.now() < end - 1e-9:
            self.clock.advance(min(STEP_SECONDS, end - self.now()))
            self.scheduler.run_due()


class SteppedCaller:
    """Sends requests to a stand-in over a connection in memory.

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
        """Send a request and return what was answered by now."""
        self.conn.sent = b''
        lines = [f'{method} {path} HTTP/1.1', 'Host: x']
        lines += [f'{name}: {value}' for name, value in headers]
        lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        self.server.on_data(head.encode() + body)
        return self.answer()

    def answer(self):
        """Return `(status, headers, body)`, or None without an answer."""
        if not self.conn.sent:
            return None
        head, _, body = self.conn.sent.partition(b'\r\n\r\n')
        lines = head.decode().split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines[1:])
        return int(lines[0].split()[1]), headers, body


class MemoryConn:
    """A connection without a socket: records what its protocol does.

    `sent` holds what was written, `ending` how the connection ended:
    `close`, `linger` or `abort`.
    """

    def __init__(self):
        self.sent = b''
        self.peer = 'fake'
        self.buffered = 0
        self.closed = False
        self.reading = True
        self.ending = ''
        self.protocol = None

    def write(self, data):
        """Keep what is sent."""
        if not self.closed:
            self.sent += bytes(data)

    def pause(self):
        """Note that reading stopped."""
        self.reading = False

    def resume(self):
        """Note that reading goes on."""
        self.reading = True

    def close_lingering(self):
        """Note the way of ending; the peer closes later."""
        self.ending = self.ending or 'linger'

    def abort(self, how='abort'):
        """End the connection at once."""
        if not self.closed:
            self.closed = True
            self.ending = how
            if self.protocol is not None:
                self.protocol.on_close(None)

    def close(self):
        """End the connection after what was written."""
        self.abort('close')
