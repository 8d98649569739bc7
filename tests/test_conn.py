"""Tests of TCP connections on the loop, over loopback."""

import select
import socket

import testtools

from bramleysill_net.conn import Conn
from bramleysill_net.conn import Listener
from bramleysill_net.loop import Loop

TIMEOUT_SECONDS = 20
# More than the socket buffers of both sides take.
BIG_BYTES = 16 << 20


class Peer:
    """A protocol that records what it hears."""

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
        self.near = Peer()
        self.far = Peer()

    def _accept(self, conn):
        self.far.conn = conn
        return self.far

    def _run(self, done):
        self.assertTrue(self.loop.run_until(done, TIMEOUT_SECONDS))

    def _connect(self):
        listener = Listener(self.loop, '127.0.0.1', 0, self._accept)
        self.addCleanup(listener.close)
        host, port = listener.address
        self.near.conn = Conn.connect(self.loop, host, port, self.near)
        self.addCleanup(self.near.conn.close)
        self._run(lambda: self.near.connects and self.far.conn)
        # The end of a connect also reports an empty send buffer.
        self.near.drains.clear()

    def test_paused_reader_holds_the_writer_back(self):
        """Guards against unbounded buffers and lost or mixed up bytes."""
        self._connect()
        self.far.conn.pause()
        sent = bytes(range(256)) * (BIG_BYTES // 256)
        for start in range(0, BIG_BYTES, 1 << 20):
            self.near.conn.write(sent[start : start + (1 << 20)])
        self.assertGreater(self.near.conn.buffered, 0)
        for _ in range(50):
            self.loop.tick(0.001)
        self.assertEqual(0, len(self.far.data))
        self.assertEqual([], self.near.drains)
        self.far.conn.resume()
        self._run(lambda: len(self.far.data) == BIG_BYTES)
        self.assertEqual(sent, bytes(self.far.data))
        self._run(lambda: self.near.drains)
        self.assertEqual(1, len(self.near.drains))
        self.assertEqual(0, self.near.conn.buffered)

    def test_many_small_pieces_keep_their_order(self):
        """Guards against a partial writev that drops or repeats a piece."""
        self._connect()
        self.far.conn.pause()
        pieces = [b'%d,' % n * (1 + n % 700) for n in range(20000)]
        for piece in pieces:
            self.near.conn.write(piece)
        self.assertGreater(self.near.conn.buffered, 0)
        self.far.conn.resume()
        sent = b''.join(pieces)
        self._run(lambda: len(self.far.data) == len(sent))
        self.assertEqual(sent, bytes(self.far.data))

    def test_close_sends_what_is_buffered(self):
        """Guards against an answer that is cut by the close after it."""
        self._connect()
        self.near.conn.write(b'x' * BIG_BYTES)
        self.near.conn.close()
        self._run(lambda: self.far.closes)
        self.assertEqual(BIG_BYTES, len(self.far.data))
        self.assertEqual([None], self.near.closes)

    def test_abort_drops_what_is_buffered(self):
        """Guards against a partial answer that looks complete."""
        self._connect()
        self.near.conn.write(b'x' * BIG_BYTES)
        self.near.conn.abort()
        self._run(lambda: self.far.closes)
        self.assertIsInstance(self.far.closes[0], ConnectionResetError)
        self.assertEqual(1, len(self.near.closes))

    def test_lingering_close_delivers_despite_unread_bytes(self):
        """Guards against a reset that destroys an early refusal."""
        self._connect()
        self.far.conn.pause()
        self.near.conn.write(b'x' * BIG_BYTES)
        self.far.conn.write(b'refused')
        self.far.conn.close_lingering()
        self.far.conn.resume()
        self._run(lambda: self.near.closes)
        self.assertEqual(b'refused', bytes(self.near.data))
        self.assertEqual([None], self.near.closes)

    def test_refused_connection_is_reported_once(self):
        """Guards against a connect that never ends."""
        free = socket.socket()
        free.bind(('127.0.0.1', 0))
        self.addCleanup(free.close)
        port = free.getsockname()[1]
        Conn.connect(self.loop, '127.0.0.1', port, self.near)
        self._run(lambda: self.near.closes)
        self.assertIsInstance(self.near.closes[0], OSError)
        self.assertEqual([], self.near.connects)

    def test_connection_aborted_on_accept_leaves_the_listener(self):
        """Guards against a listener that fails on a refused connection."""
        kept = []

        def accept(conn):
            kept.append(conn)
            if len(kept) == 1:
                conn.abort()
            return self.far

        listener = Listener(self.loop, '127.0.0.1', 0, accept)
        self.addCleanup(listener.close)
        host, port = listener.address
        Conn.connect(self.loop, host, port, Peer())
        self._run(lambda: len(kept) == 1)
        conn = Conn.connect(self.loop, host, port, self.near)
        self.addCleanup(conn.close)
        self._run(lambda: len(kept) == 2)
        kept[1].write(b'ok')
        self._run(lambda: self.near.data == b'ok')


class PollerTest(testtools.TestCase):
    def test_event_of_a_closed_connection_is_dropped(self):
        """Guards against a hangup that reaches a reused descriptor."""
        loop = Loop()
        near, far = socket.socketpair()
        self.addCleanup(far.close)
        peer = Peer()
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
        """Guards against a condition that is noticed one timer late."""
        loop = Loop()
        waits = []
        loop.poller._generate_events = lambda e: waits.append(e.time_left)
        loop.scheduler.call_at(0, lambda: None)
        loop.scheduler.call_at(loop.now() + 60, lambda: None)
        loop.run_until(lambda: waits, TIMEOUT_SECONDS)
        self.assertEqual([0], waits)
