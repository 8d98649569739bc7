"""Tests of the detection of lost TCP peers, on samples and over loopback."""

import ctypes
import errno
import socket
import struct

import testtools
from testtools import matchers

from bramleysill_net.conn import Conn
from bramleysill_net.loop import Loop
from bramleysill_net.peer_loss import CHECK_INTERVAL_SECONDS
from bramleysill_net.peer_loss import LossDetector
from bramleysill_net.peer_loss import TcpInfo
from tests.test_conn import RecordingProtocol

INTERVAL_MS = round(CHECK_INTERVAL_SECONDS * 1000)
TIMEOUT_MS = 1000
TIMEOUT_SECONDS = 20
# More than the socket buffers of both ends can hold.
LARGE_WRITE_BYTES = 16 << 20
# TCP_USER_TIMEOUT resets a connection with a closed window at the first window
# probe after this time, within 1.4 s.
SHORT_TIMEOUT_MS = 300
CLOSED_WINDOW_SECONDS = 2.0
SO_ATTACH_FILTER = 26
# The classic BPF program `return 0`, which accepts no byte of a packet.
BPF_RETURN_0 = struct.pack('=HBBI', 0x06, 0, 0, 0)


def _between(low, high):
    return matchers.MatchesAll(
        matchers.GreaterThan(low), matchers.LessThan(high)
    )


def _drop_packets(sock):
    """Drop all packets that arrive at a socket, as if its machine was gone."""
    program = ctypes.create_string_buffer(BPF_RETURN_0, len(BPF_RETURN_0))
    fprog = struct.pack('@HP', 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, fprog)


def _ms_until_lost(detector, sample_at):
    """Return the time of the sample at which the peer is lost, or None.

    `sample_at(ms)` returns the TcpInfo at a time.
    """
    for ms in range(INTERVAL_MS, 60_000, INTERVAL_MS):
        if detector.is_lost(sample_at(ms)):
            return ms
    return None


class LossDetectorTest(testtools.TestCase):
    """Decisions on samples as Linux gives them."""

    def setUp(self):
        super().setUp()
        self.detector = LossDetector(TIMEOUT_MS)

    def test_a_peer_that_answers_window_probes_is_not_lost(self):
        """Guards against uploads that are broken off at a busy upstream."""
        probes = [200 * (2**n - 1) for n in range(1, 9)]

        def sample(ms):
            last = max((at for at in probes if at <= ms), default=0)
            return TcpInfo(
                unsent=5000, sent_age=ms, acknowledged_age=ms - last
            )

        self.assertIsNone(_ms_until_lost(self.detector, sample))

    def test_a_probe_that_is_skipped_by_the_peer_loses_nothing(self):
        """Guards against the rate limit of Linux for answers to probes.

        With a retransmission timeout of 249 ms the second probe comes 498 ms
        after the first, unanswered, and the third 996 ms after it.
        """

        def sample(ms):
            skipped = 747 <= ms < 1743
            answered = 249 if ms < 1743 else 1743
            return TcpInfo(
                unsent=5000,
                probes=int(skipped),
                sent_age=ms,
                acknowledged_age=max(0, ms - answered),
            )

        self.assertIsNone(_ms_until_lost(self.detector, sample))

    def test_a_peer_that_discards_data_but_acknowledges_is_not_lost(self):
        """Guards against a peer without memory that looks lost.

        Retransmissions come with growing gaps, and each has an answer.
        """
        sends = [200 * (2**n - 1) for n in range(9)]

        def sample(ms):
            last = max(at for at in sends if at <= ms)
            age = ms - last
            return TcpInfo(
                unacknowledged=4, sent_age=age, acknowledged_age=age
            )

        self.assertIsNone(_ms_until_lost(self.detector, sample))

    def test_a_peer_that_acknowledges_nothing_is_lost_after_a_second(self):
        """Guards against requests that wait at a lost upstream.

        The connection was idle before, so the last acknowledgement is old.
        """
        sends = [200 * (2**n - 1) for n in range(9)]

        def sample(ms):
            last = max(at for at in sends if at <= ms)
            return TcpInfo(
                unacknowledged=1,
                sent_age=ms - last,
                acknowledged_age=ms + 3000,
            )

        self.assertEqual(1250, _ms_until_lost(self.detector, sample))

    def test_a_peer_that_is_lost_while_data_flows_is_noticed(self):
        """Guards against writes that keep a lost connection alive."""

        def sample(ms):
            return TcpInfo(
                unacknowledged=9, sent_age=1, acknowledged_age=ms + 1
            )

        self.assertEqual(1250, _ms_until_lost(self.detector, sample))

    def test_an_unanswered_window_probe_shows_a_lost_peer(self):
        """Guards against a lost peer that counts as one with a full window."""

        def sample(ms):
            probes = sum(at <= ms for at in (200, 600, 1400, 3000))
            return TcpInfo(
                unsent=9, probes=probes, sent_age=ms, acknowledged_age=ms
            )

        self.assertEqual(1500, _ms_until_lost(self.detector, sample))

    def test_acknowledgements_between_samples_prove_that_a_peer_lives(self):
        """Guards against busy connections that look unanswered each time."""

        def sample(ms):
            return TcpInfo(
                unacknowledged=9, sent_age=0, acknowledged_age=1 + ms % 40
            )

        self.assertIsNone(_ms_until_lost(self.detector, sample))

    def test_an_unanswered_connect_fails_in_about_a_second(self):
        """Guards against a connect that waits for more than one SYN."""
        self.assertEqual(
            1250,
            _ms_until_lost(
                self.detector,
                lambda ms: TcpInfo(
                    connecting=True, unacknowledged=1, acknowledged_age=ms
                ),
            ),
        )


class ConnectionTest(testtools.TestCase):
    """Connections to peers of this test, over loopback."""

    def setUp(self):
        super().setUp()
        self.loop = Loop()
        self.protocol = RecordingProtocol()
        self.listener = socket.socket()
        self.addCleanup(self.listener.close)
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen(0)

    def _connect(self, timeout_ms):
        conn = Conn.connect(
            self.loop, *self.listener.getsockname(), self.protocol
        )
        conn.set_unacknowledged_timeout(timeout_ms)
        self.addCleanup(conn.abort)
        return conn

    def _connect_and_accept(self, timeout_ms):
        conn = self._connect(timeout_ms)
        peer, _ = self.listener.accept()
        self.addCleanup(peer.close)
        self._run_until(lambda: self.protocol.connects)
        return conn, peer

    def _run_until(self, done):
        self.assertTrue(self.loop.run_until(done, TIMEOUT_SECONDS))

    def _run_for(self, seconds):
        until = self.loop.now() + seconds
        self.loop.scheduler.call_at(until, lambda: None)
        self._run_until(lambda: self.loop.now() >= until)

    def _seconds_until_closed(self):
        started_at = self.loop.now()
        self._run_until(lambda: self.protocol.closes)
        self.assertEqual(errno.ETIMEDOUT, self.protocol.closes[0].errno)
        return self.loop.now() - started_at

    def test_a_closed_window_does_not_end_the_connection(self):
        """Guards against uploads that are lost while their server works."""
        conn, peer = self._connect_and_accept(SHORT_TIMEOUT_MS)
        conn.write(b'x' * LARGE_WRITE_BYTES)
        self._run_for(CLOSED_WINDOW_SECONDS)
        self.assertEqual([], self.protocol.closes)
        self.assertGreater(conn.buffered, 0)
        peer.setblocking(False)
        received = bytearray()

        def read():
            try:
                received.extend(peer.recv(LARGE_WRITE_BYTES))
            except BlockingIOError:
                pass
            return len(received) == LARGE_WRITE_BYTES

        self._run_until(read)

    def test_a_connect_without_an_answer_fails(self):
        """Guards against a lost upstream that is waited for.

        The kernel drops a SYN if the queue of the listener is full.
        """
        fillers = [socket.socket() for _ in range(2)]
        for sock in fillers:
            self.addCleanup(sock.close)
            sock.setblocking(False)
            sock.connect_ex(self.listener.getsockname())
        self._connect(TIMEOUT_MS)
        self.assertThat(self._seconds_until_closed(), _between(0.9, 2.0))
        self.assertEqual([], self.protocol.connects)

    def test_a_peer_that_is_lost_ends_the_connection(self):
        """Guards against a lost upstream that is waited for."""
        conn, peer = self._connect_and_accept(TIMEOUT_MS)
        _drop_packets(peer)
        conn.write(b'request')
        self.assertThat(self._seconds_until_closed(), _between(0.9, 2.0))

    def test_a_peer_that_is_lost_with_a_closed_window_is_noticed(self):
        """Guards against a lost upstream that counts as a busy one.

        The first window probes are answered, those after them are not.
        """
        conn, peer = self._connect_and_accept(TIMEOUT_MS)
        conn.write(b'x' * LARGE_WRITE_BYTES)
        self._run_for(0.5)
        _drop_packets(peer)
        # The next probe follows within 0.5 s.
        self.assertThat(self._seconds_until_closed(), _between(1.2, 3.0))

    def test_a_peer_that_is_lost_while_idle_is_noticed(self):
        """Guards against requests that wait for a response of a lost peer."""
        conn, peer = self._connect_and_accept(TIMEOUT_MS)
        conn.write(b'request')
        self._run_until(lambda: conn._loss_timer is None)
        _drop_packets(peer)
        self.assertThat(self._seconds_until_closed(), _between(1.5, 3.0))

    def test_an_idle_connection_is_not_checked(self):
        """Guards against timers for each idle connection."""
        conn, peer = self._connect_and_accept(SHORT_TIMEOUT_MS)
        conn.write(b'request')
        self.assertIsNotNone(conn._loss_timer)
        self._run_until(lambda: conn._loss_timer is None)
        self.assertEqual(b'request', peer.recv(100))
        conn.write(b'again')
        self.assertIsNotNone(conn._loss_timer)

    def test_a_closed_window_shows_in_the_fields_read(self):
        """Guards against a wrong layout of TCP_INFO."""
        conn, _ = self._connect_and_accept(TIMEOUT_MS)
        self.assertTrue(TcpInfo.of(conn._sock).idle)
        conn.write(b'x' * LARGE_WRITE_BYTES)
        self._run_until(lambda: not TcpInfo.of(conn._sock).unacknowledged)
        info = TcpInfo.of(conn._sock)
        self.assertGreater(info.unsent, 0)
        self.assertFalse(info.idle)
        self.assertFalse(info.connecting)
        self.assertLess(info.acknowledged_age, 1000 * TIMEOUT_SECONDS)
