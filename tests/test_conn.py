"""Tests of TCP connections on the event loop, over loopback."""

import select
import socket
import struct

import testtools

from bramleysill_net import conn as conn_module
from bramleysill_net.conn import Conn
from bramleysill_net.conn import Listener
from bramleysill_net.loop import Loop

TIMEOUT_SECONDS = 20
# More than the socket buffers of both ends can hold.
LARGE_WRITE_BYTES = 16 << 20


class RecordingProtocol:
    """A protocol that records its callbacks."""

    def __init__(self):
        self.conn = None
        self.connects = []
        self.data = bytearray()
        self.drains = []
        self.closes = []
        self.on_connect = lambda: self.connects.append(True)
        self.on_data = self.data.extend
        self.on_drain = lambda: self.drains.append(True)
        self.on_close = self.closes.append


class ConnTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = Loop()
        self.client = RecordingProtocol()
        self.server = RecordingProtocol()

    def _accept(self, conn):
        self.server.conn = conn
        return self.server

    def _run_until(self, done):
        self.assertTrue(self.loop.run_until(done, TIMEOUT_SECONDS))

    def _connect(self):
        listener = Listener(self.loop, '127.0.0.1', 0, self._accept)
        self.addCleanup(listener.close)
        host, port = listener.address
        self.client.conn = Conn.connect(self.loop, host, port, self.client)
        self.addCleanup(self.client.conn.close)
        self._run_until(lambda: self.client.connects and self.server.conn)
        # on_drain is also called after connecting.
        self.client.drains.clear()

    def test_paused_reader_applies_backpressure(self):
        """Guards against missing backpressure and lost or reordered bytes."""
        self._connect()
        self.server.conn.pause()
        sent = bytes(range(256)) * (LARGE_WRITE_BYTES // 256)
        for start in range(0, LARGE_WRITE_BYTES, 1 << 20):
            self.client.conn.write(sent[start : start + (1 << 20)])
        self.assertGreater(self.client.conn.buffered, 0)
        for _ in range(50):
            self.loop.tick(0.001)
        self.assertEqual(0, len(self.server.data))
        self.assertEqual([], self.client.drains)
        self.server.conn.resume()
        self._run_until(lambda: len(self.server.data) == LARGE_WRITE_BYTES)
        self.assertEqual(sent, bytes(self.server.data))
        self._run_until(lambda: self.client.drains)
        self.assertEqual(1, len(self.client.drains))
        self.assertEqual(0, self.client.conn.buffered)

    def test_many_small_writes_keep_their_order(self):
        """Guards against a partial sendmsg that loses or repeats a buffer."""
        self._connect()
        self.server.conn.pause()
        pieces = [b'%d,' % n * (1 + n % 700) for n in range(20000)]
        for piece in pieces:
            self.client.conn.write(piece)
        self.assertGreater(self.client.conn.buffered, 0)
        self.server.conn.resume()
        sent = b''.join(pieces)
        self._run_until(lambda: len(self.server.data) == len(sent))
        self.assertEqual(sent, bytes(self.server.data))

    def test_close_sends_buffered_bytes(self):
        """Guards against a close that truncates the buffered response."""
        self._connect()
        self.client.conn.write(b'x' * LARGE_WRITE_BYTES)
        self.client.conn.close()
        self._run_until(lambda: self.server.closes)
        self.assertEqual(LARGE_WRITE_BYTES, len(self.server.data))
        self.assertEqual([None], self.client.closes)

    def test_abort_discards_buffered_bytes(self):
        """Guards against a truncated response that looks complete."""
        self._connect()
        self.client.conn.write(b'x' * LARGE_WRITE_BYTES)
        self.client.conn.abort()
        self._run_until(lambda: self.server.closes)
        self.assertIsInstance(self.server.closes[0], ConnectionResetError)
        self.assertEqual(1, len(self.client.closes))

    def test_lingering_close_never_truncates_with_a_fin(self):
        """Guards against a truncated response that looks complete.

        The peer reads too slowly to get all of it before the time limit.
        """
        self.patch(conn_module, 'LINGER_TIMEOUT_SECONDS', 0.1)
        self._connect()
        self.server.conn.pause()
        self.client.conn.write(b'x' * LARGE_WRITE_BYTES)
        self.client.conn.close_lingering()
        self._run_until(lambda: self.client.closes)
        self.server.conn.resume()
        self._run_until(lambda: self.server.closes)
        self.assertIsInstance(self.server.closes[0], ConnectionResetError)

    def test_lingering_close_delivers_despite_unread_bytes(self):
        """Guards against a reset that discards an early refusal.

        Closing a socket with unread bytes would reset the connection.
        """
        self._connect()
        self.server.conn.pause()
        self.client.conn.write(b'x' * LARGE_WRITE_BYTES)
        self.server.conn.write(b'refused')
        self.server.conn.close_lingering()
        self.server.conn.resume()
        self._run_until(lambda: self.client.closes)
        self.assertEqual(b'refused', bytes(self.client.data))
        self.assertEqual([None], self.client.closes)

    def test_refused_connection_is_reported_once(self):
        """Guards against a failed connect that is not reported."""
        unused = socket.socket()
        unused.bind(('127.0.0.1', 0))
        self.addCleanup(unused.close)
        port = unused.getsockname()[1]
        Conn.connect(self.loop, '127.0.0.1', port, self.client)
        self._run_until(lambda: self.client.closes)
        self.assertIsInstance(self.client.closes[0], OSError)
        self.assertEqual([], self.client.connects)

    def test_connection_aborted_on_accept_leaves_the_listener(self):
        """Guards against a listener that stops after an aborted connection."""
        accepted = []

        def accept(conn):
            accepted.append(conn)
            if len(accepted) == 1:
                conn.abort()
            return self.server

        listener = Listener(self.loop, '127.0.0.1', 0, accept)
        self.addCleanup(listener.close)
        host, port = listener.address
        Conn.connect(self.loop, host, port, RecordingProtocol())
        self._run_until(lambda: len(accepted) == 1)
        conn = Conn.connect(self.loop, host, port, self.client)
        self.addCleanup(conn.close)
        self._run_until(lambda: len(accepted) == 2)
        accepted[1].write(b'ok')
        self._run_until(lambda: self.client.data == b'ok')


class PeerCloseTest(testtools.TestCase):
    """A connection that closes with its peer, over a socket pair."""

    def setUp(self):
        super().setUp()
        self.loop = Loop()
        near, self.peer = socket.socketpair()
        self.addCleanup(self.peer.close)
        near.setblocking(False)
        self.protocol = RecordingProtocol()
        self.conn = Conn(self.loop, near, 'near', self.protocol)
        self.addCleanup(self.conn.abort)

    def _run_until_closed(self):
        self.assertTrue(
            self.loop.run_until(lambda: self.protocol.closes, TIMEOUT_SECONDS)
        )
        self.assertEqual([None], self.protocol.closes)

    def test_data_before_a_close_is_not_delivered(self):
        """Guards against work that is started for a peer that has left."""
        self.conn.close_with_peer()
        self.conn.start()
        self.peer.sendall(b'request')
        self.peer.close()
        self._run_until_closed()
        self.assertEqual(b'', bytes(self.protocol.data))

    def test_a_close_is_noticed_while_reading_is_paused(self):
        """Guards against work that goes on because nothing is read."""
        self.conn.close_with_peer()
        self.conn.start()
        self.conn.pause()
        self.peer.close()
        self._run_until_closed()

    def test_other_connections_deliver_the_data_before_a_close(self):
        """Guards against the loss of a response that ends with a close."""
        self.conn.start()
        self.peer.sendall(b'response')
        self.peer.close()
        self._run_until_closed()
        self.assertEqual(b'response', bytes(self.protocol.data))


class PollerTest(testtools.TestCase):
    def test_event_of_a_closed_connection_is_dropped(self):
        """Guards against a stale event on a reused file descriptor.

        A descriptor that was registered after the poll has no events yet; an
        event of that poll belongs to the closed connection.
        """
        loop = Loop()
        near, far = socket.socketpair()
        self.addCleanup(far.close)
        peer = RecordingProtocol()
        conn = Conn(loop, near, 'near', peer)
        self.addCleanup(conn.abort)
        conn.start()
        loop.poller._process(conn.fileno(), select.EPOLLHUP)
        self.assertEqual([], peer.closes)
        polled = []
        loop.scheduler.call_at(0, lambda: polled.append(True))
        self.assertTrue(loop.run_until(lambda: polled, TIMEOUT_SECONDS))
        loop.poller._process(conn.fileno(), select.EPOLLHUP)
        self.assertEqual(1, len(peer.closes))

    def test_poll_does_not_wait_after_a_timer(self):
        """Guards against a poll that delays run_until to the next timer."""
        loop = Loop()
        waits = []
        loop.poller._generate_events = lambda e: waits.append(e.time_left)
        loop.scheduler.call_at(0, lambda: None)
        loop.scheduler.call_at(loop.now() + 60, lambda: None)
        loop.run_until(lambda: waits, TIMEOUT_SECONDS)
        self.assertEqual([0], waits)


class HiddenErrorTest(testtools.TestCase):
    """A read finds the end of the data although the peer has reset.

    Guards against a reset that looks like a clean close. Each case is a list
    of steps that happen before the loop polls again.
    """

    RESET = struct.pack('ii', 1, 0)
    CASES = (
        # A write takes the error from the socket.
        ('reset', 'write'),
        # A read finds the FIN first.
        ('fin', 'reset'),
        # The peer has closed, and its TCP resets what arrives then.
        ('close', 'write'),
    )

    def setUp(self):
        super().setUp()
        self.loop = Loop()
        self.protocol = RecordingProtocol()
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(self.listener.close)

    def _connect(self):
        address = self.listener.getsockname()
        self.protocol = protocol = RecordingProtocol()
        self.conn = Conn.connect(self.loop, *address, protocol)
        self.addCleanup(self.conn.close)
        self.peer, _ = self.listener.accept()
        self.addCleanup(self.peer.close)
        self.loop.run_until(lambda: protocol.connects, TIMEOUT_SECONDS)

    def _reset_peer(self):
        self.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, self.RESET)
        self.peer.close()

    def _take(self, steps):
        actions = {
            'reset': self._reset_peer,
            'fin': lambda: self.peer.shutdown(socket.SHUT_WR),
            'close': self.peer.close,
            'write': lambda: self.conn.write(b'x'),
        }
        for step in steps:
            actions[step]()

    def test_every_order_of_events_is_a_failure(self):
        clean = []
        for steps in self.CASES:
            self._connect()
            self.peer.send(b'part')
            self.loop.run_until(lambda: self.protocol.data, TIMEOUT_SECONDS)
            at = self.loop.now()
            self.loop.scheduler.call_at(at, lambda s=steps: self._take(s))
            self.loop.run_until(lambda: self.protocol.closes, TIMEOUT_SECONDS)
            if not isinstance(self.protocol.closes[0], OSError):
                clean.append(steps)
        self.assertEqual([], clean)

    def test_close_before_the_last_acknowledgement_is_early(self):
        """Guards against a peer that has not taken all that was written."""
        for size, is_early in ((0, False), (1, False), (16 << 20, True)):
            self._connect()
            self.conn.write(b'x' * size)
            self.loop.run_until(lambda: False, 0.02)
            self.peer.shutdown(socket.SHUT_WR)
            self.loop.run_until(lambda: self.protocol.closes, TIMEOUT_SECONDS)
            self.assertEqual([None], self.protocol.closes)
            self.assertEqual(is_early, self.conn.closed_early, size)
