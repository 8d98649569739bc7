"""Connections in memory between the processes of a session."""

from bramleysill_wire import codec
from tests.sessions import message_fields

DELAY_SECONDS = 0.001


class SessionConn:
    """One end of a connection; has the interface of bramleysill_net.Conn."""

    def __init__(self, network, loop, peer):
        self.loop = loop
        self.peer = peer
        self.protocol = None
        self.other = None
        self.buffered = 0
        self.closed = False
        self._network = network
        self._reading = True
        self._unread = []
        loop.conns.append(self)

    def now(self):
        return self.loop.now()

    def write(self, data):
        if self.closed or not data or self.other is None:
            return
        data = bytes(data)
        self._network.record(self, data)
        other = self.other
        other.loop.call_later(DELAY_SECONDS, lambda: other.deliver(data))

    def deliver(self, data):
        if self.closed:
            return
        if self._reading:
            self.protocol.on_data(data)
        else:
            self._unread.append(data)

    def set_unacknowledged_timeout(self, milliseconds):
        """Do nothing: only the script ends connections or processes."""

    def close_with_peer(self):
        """Do nothing: no data waits on a connection when its peer closes."""

    def pause(self):
        self._reading = False

    def resume(self):
        self._reading = True
        while self._unread and self._reading and not self.closed:
            self.protocol.on_data(self._unread.pop(0))

    def close(self):
        self._end(None)

    def close_lingering(self):
        self._end(None)

    def abort(self):
        self._end(ConnectionResetError('reset'))

    def close_on_process_end(self):
        """Close after the end of the process; only the peer is notified."""
        self._end(ConnectionResetError('reset'), notify=False)

    def fail(self, exc):
        if not self.closed:
            self.closed = True
            self.loop.conns.remove(self)
            self.protocol.on_close(exc)

    def _end(self, exc, notify=True):
        if self.closed:
            return
        self.closed = True
        self.loop.conns.remove(self)
        other = self.other
        if other is not None:
            other.loop.call_later(DELAY_SECONDS, lambda: other.fail(exc))
        if notify and self.protocol is not None:
            self.protocol.on_close(None)


class Network:
    """Replaces `Conn` and `Listener` in the modules of the router."""

    def __init__(self, recorder):
        self._recorder = recorder
        self._listeners = {}
        self.routers = set()
        self._requests = {}

    def listener(self, loop, host, port, make_protocol):
        return SessionListener(self._listeners, loop, port, make_protocol)

    def connect(self, loop, host, port, protocol):
        """Open a connection; the protocol is notified of the result."""
        conn = SessionConn(self, loop, f'{host}:{port}')
        conn.protocol = protocol
        listener = self._listeners.get(port)
        if listener is None or listener.loop.stopped:
            exc = ConnectionRefusedError('connection refused')
            loop.call_later(2 * DELAY_SECONDS, lambda: conn.fail(exc))
            return conn
        other = SessionConn(self, listener.loop, loop.name)
        other.other = conn

        def accepted():
            other.protocol = listener.make_protocol(other)
            loop.call_later(DELAY_SECONDS, connected)

        def connected():
            conn.other = other
            if conn.closed:
                other.loop.call_later(DELAY_SECONDS, lambda: other.fail(None))
            else:
                protocol.on_connect()

        listener.loop.call_later(DELAY_SECONDS, accepted)
        return conn

    def record(self, conn, data):
        """Record frames between routers.

        HTTP requests and responses are recorded where they are handled.
        """
        names = (conn.loop.name, conn.other.loop.name)
        if not self.routers.issuperset(names):
            return
        for message in codec.FrameReader().feed(data):
            message_fields.record_message(
                self._recorder, *names, message, self._requests
            )


class SessionListener:
    """A listening port."""

    def __init__(self, listeners, loop, port, make_protocol):
        self.loop = loop
        self.make_protocol = make_protocol
        self.address = ('127.0.0.1', port)
        self.close = lambda: listeners.pop(port, None)
        listeners[port] = self
