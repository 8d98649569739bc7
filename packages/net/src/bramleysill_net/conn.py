"""Non-blocking TCP connections and listeners on the event loop."""

import collections
import errno
import fcntl
import os
import socket
import struct
import termios

from bramleysill_net.chunk_buffer import append_chunk
from bramleysill_net.peer_loss import CHECK_INTERVAL_SECONDS
from bramleysill_net.peer_loss import LossDetector
from bramleysill_net.peer_loss import TcpInfo

MAX_READ_BYTES = 65536
# Buffers passed to one sendmsg call; must not exceed IOV_MAX, which is 1024 on
# Linux.
MAX_SENDMSG_BUFFERS = 64
# A connection with more to read continues after the next poll, so that it does
# not starve the others.
MAX_READS_PER_CALLBACK = 4
LISTEN_BACKLOG = 1024
# How long a lingering close waits for the peer to close, while it discards the
# received data.
LINGER_TIMEOUT_SECONDS = 2.0
# TCP keep-alive detects a peer that disappeared without a FIN or RST while
# nothing is unacknowledged. A probe is sent after the connection was idle this
# long; the connection fails after the same time without an answer.
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 1

_INT = struct.Struct('=i')
_RETRYABLE_ERRNOS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)


class Conn:
    """A TCP connection that passes its events to a protocol object.

    The protocol has the methods `on_connect()`, `on_data(data)`,
    `on_drain()`, called when the send buffer has become empty, and
    `on_close(exc)`, called exactly once; `exc` is None unless the connection
    failed. `buffered` is the number of bytes that `write` has accepted but
    the kernel has not. `closed_early` is true in `on_close` if the peer has
    closed before its TCP had acknowledged all that was written.
    """

    __slots__ = (
        'loop',
        'protocol',
        'peer',
        'buffered',
        'closed',
        'closed_early',
        'max_read_bytes',
        '_sock',
        '_fileno',
        '_send_queue',
        '_send_error',
        '_reading',
        '_awaiting_writable',
        '_connecting',
        '_closing',
        '_lingering',
        '_closes_with_peer',
        '_unacknowledged_timeout_ms',
        '_loss_detector',
        '_loss_timer',
    )

    def __init__(self, loop, sock, peer, protocol=None):
        self.loop = loop
        self.protocol = protocol
        self.peer = peer
        self.buffered = 0
        self.closed = False
        self.closed_early = False
        # How much is read at once.
        self.max_read_bytes = MAX_READ_BYTES
        self._sock = sock
        self._fileno = sock.fileno()
        self._send_queue = collections.deque()
        # Why a write has failed, until the connection is closed for it.
        self._send_error = None
        self._reading = True
        self._awaiting_writable = False
        self._connecting = False
        self._closing = False
        self._lingering = False
        self._closes_with_peer = False
        self._unacknowledged_timeout_ms = 0
        self._loss_detector = None
        # The timer of the next check, or None while nothing is sent.
        self._loss_timer = None

    @classmethod
    def connect(cls, loop, host, port, protocol):
        """Start to connect.

        The protocol's `on_connect` or `on_close` reports the result.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = cls(loop, sock, f'{host}:{port}', protocol)
        conn._connecting = True
        code = _start_connect(sock, host, port)
        if code not in (0, errno.EINPROGRESS):
            exc = OSError(code, 'connect failed')
            loop.scheduler.call_at(loop.now(), lambda: conn._close_socket(exc))
            return conn
        conn._awaiting_writable = True
        conn._watch()
        return conn

    @classmethod
    def accepted(cls, loop, sock, peer):
        """Return a connection for an accepted socket.

        Set `protocol` before calling `start`.
        """
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(loop, sock, peer)

    def start(self):
        """Start reading."""
        self._watch()

    def close_with_peer(self):
        """Close as soon as the peer has closed its side; call before `start`.

        Received data that was not read yet is discarded then. This also works
        while reading is paused. Without it, a close is noticed after the data
        before it has been read and handled.
        """
        self._closes_with_peer = True

    @property
    def reading(self):
        """Return whether received data is read; false after `pause`."""
        return self._reading

    def set_unacknowledged_timeout(self, milliseconds):
        """Fail the connection if the peer's TCP is silent for this long.

        A peer that keeps its receive window closed is not silent as long as
        it acknowledges window probes. Also enables TCP keep-alive, which
        covers an idle connection.
        """
        if self.closed:
            return
        tcp = socket.IPPROTO_TCP
        interval = KEEP_ALIVE_INTERVAL_SECONDS
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        self._sock.setsockopt(tcp, socket.TCP_KEEPIDLE, interval)
        self._sock.setsockopt(tcp, socket.TCP_KEEPINTVL, interval)
        self._sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
        self._unacknowledged_timeout_ms = milliseconds
        self._loss_detector = LossDetector(milliseconds)
        self._schedule_loss_check()

    def now(self):
        """Return the time in seconds on the loop's clock."""
        return self.loop.now()

    def fileno(self):
        """Return the file descriptor, even after the socket was closed."""
        return self._fileno

    def write(self, data):
        """Send bytes and buffer those that the kernel does not accept yet."""
        if self.closed or not data:
            return
        if self._loss_detector is not None and self._loss_timer is None:
            self._schedule_loss_check()
        if not self._send_queue and not self._connecting:
            sent = self._send(data)
            if sent is None:
                return
            if sent == len(data):
                return
            data = memoryview(data)[sent:]
        append_chunk(self._send_queue, data)
        self.buffered += len(data)
        self._set_awaiting_writable(True)

    def pause(self):
        """Stop reading, which applies backpressure to the peer."""
        if self._reading and not self.closed:
            self._reading = False
            self._watch()

    def resume(self):
        """Resume reading after `pause`."""
        if not self._reading and not self.closed:
            self._reading = True
            self._watch()

    def close(self):
        """Close after the buffered bytes have been sent."""
        if self.closed:
            return
        self._closing = True
        if not self._send_queue:
            self._close_socket(None)

    def close_lingering(self):
        """Send the buffered bytes and a FIN, then wait for the peer to close.

        The connection is closed after at most LINGER_TIMEOUT_SECONDS, with a
        reset if bytes are still buffered. Until then the protocol still
        receives data, which it should discard.
        """
        if self.closed or self._lingering:
            return
        self._lingering = True
        deadline = self.loop.now() + LINGER_TIMEOUT_SECONDS
        self.loop.scheduler.call_at(deadline, self._end_lingering)
        if not self._send_queue:
            self._shutdown_write()

    def abort(self):
        """Reset the connection at once and discard the buffered bytes."""
        if self.closed:
            return
        self._reset_on_close()
        self._close_socket(None)

    def on_readable(self):
        """Read the available data and pass it to the protocol."""
        for _ in range(MAX_READS_PER_CALLBACK):
            if not self._read_once():
                return

    def on_writable(self):
        """Complete the connect, or send buffered bytes."""
        if self._connecting:
            self._finish_connect()
            return
        while self._send_queue and not self.closed:
            if not self._send_queued():
                return
        if self.closed:
            return
        self._set_awaiting_writable(False)
        if self._closing:
            self._close_socket(None)
        elif self._lingering:
            self._shutdown_write()
        else:
            self.protocol.on_drain()

    def on_peer_close(self):
        """Close: the peer has closed, and expects nothing more."""
        self._close_socket(None)

    def on_hangup(self):
        """Close after the poller reported an error or hangup."""
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self._close_socket(
            OSError(code or errno.ECONNRESET, 'connection failed')
        )

    def _watch(self):
        self.loop.poller.watch(
            self,
            self._reading,
            self._awaiting_writable,
            self._closes_with_peer,
        )

    def _read_once(self):
        """Return whether more data may be available."""
        if self.closed or not self._reading or self._connecting:
            return False
        size = self.max_read_bytes
        try:
            data = self._sock.recv(size)
        except OSError as exc:
            if exc.errno not in _RETRYABLE_ERRNOS:
                self._close_socket(exc)
            return False
        if not data:
            self._close_after_peer()
            return False
        self.protocol.on_data(data)
        return len(data) == size

    def _close_after_peer(self):
        """Close after the end of the peer's data, or fail after a reset.

        A read finds the end of the data, and no error, if the reset followed
        a FIN or if a write has already taken the error from the socket.
        """
        exc = self._send_error
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if exc is None and code:
            exc = OSError(code, os.strerror(code))
        self.closed_early = bool(self.buffered or _count_queued(self._sock))
        self._close_socket(exc)

    def _send(self, data):
        """Return the number of bytes sent, or None if the write failed."""
        try:
            return self._sock.send(data)
        except OSError as exc:
            if exc.errno in _RETRYABLE_ERRNOS:
                return 0
            self._close_socket_later(exc)
            return None

    def _send_queued(self):
        """Return whether the socket accepted all buffers of the batch."""
        batch = [
            self._send_queue[i]
            for i in range(min(MAX_SENDMSG_BUFFERS, len(self._send_queue)))
        ]
        try:
            sent = self._sock.sendmsg(batch)
        except OSError as exc:
            if exc.errno not in _RETRYABLE_ERRNOS:
                self._close_socket(exc)
            return False
        self.buffered -= sent
        while sent:
            piece = self._send_queue[0]
            if sent < len(piece):
                self._send_queue[0] = memoryview(piece)[sent:]
                return False
            sent -= len(piece)
            self._send_queue.popleft()
        return True

    def _end_lingering(self):
        if self._send_queue and not self.closed:
            # A FIN would look like the end of what was written.
            self._reset_on_close()
        self._close_socket(None)

    def _shutdown_write(self):
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as exc:
            self._close_socket_later(exc)

    def _set_awaiting_writable(self, writing):
        if writing != self._awaiting_writable and not self.closed:
            self._awaiting_writable = writing
            self._watch()

    def _finish_connect(self):
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._close_socket(OSError(code, 'connect failed'))
            return
        self._connecting = False
        self.protocol.on_connect()
        if not self.closed:
            self.on_writable()

    def _schedule_loss_check(self):
        at = self.loop.now() + CHECK_INTERVAL_SECONDS
        self._loss_timer = self.loop.scheduler.call_at(at, self._check_loss)

    def _check_loss(self):
        """Fail if the peer is lost, else check again while bytes wait."""
        self._loss_timer = None
        if self.closed:
            return
        info = TcpInfo.of(self._sock)
        if self._loss_detector.is_lost(info):
            self._reset_on_close()
            self._close_socket(
                OSError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT))
            )
        elif self.buffered or not info.idle:
            self._schedule_loss_check()

    def _stop_loss_checks(self):
        if self._loss_timer is not None:
            self._loss_timer.cancel()
            self._loss_timer = None
        # After the close only the kernel can give up on unsent bytes.
        self._sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            self._unacknowledged_timeout_ms,
        )

    def _reset_on_close(self):
        linger = struct.pack('ii', 1, 0)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _close_socket_later(self, exc):
        # A failed write must not call on_close while the caller of write()
        # is still running.
        self._send_error = exc
        self.loop.scheduler.call_at(
            self.loop.now(), lambda: self._close_socket(exc)
        )

    def _close_socket(self, exc):
        if self.closed:
            return
        self.closed = True
        self.loop.poller.unwatch(self)
        if self._loss_detector is not None:
            self._stop_loss_checks()
        self._sock.close()
        self._send_queue.clear()
        self.buffered = 0
        if self.protocol is not None:
            self.protocol.on_close(exc)


def _count_queued(sock):
    """Return the bytes that the kernel holds until they are acknowledged."""
    data = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(_INT.size))
    return _INT.unpack(data)[0]


def _start_connect(sock, host, port):
    """Return the error code of the connect; EINVAL for an unusable address.

    A host name counts as unusable: its lookup would block the loop.
    """
    try:
        socket.inet_pton(socket.AF_INET, host)
        return sock.connect_ex((host, port))
    except (OSError, OverflowError, TypeError, ValueError):
        return errno.EINVAL


class Listener:
    """A listening socket.

    `make_protocol(conn)` creates the protocol of each accepted connection.
    """

    __slots__ = ('loop', 'address', '_sock', '_make_protocol')

    def __init__(self, loop, host, port, make_protocol):
        self.loop = loop
        self._make_protocol = make_protocol
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind((host, port))
        self._sock.listen(LISTEN_BACKLOG)
        self.address = self._sock.getsockname()
        loop.poller.watch(self, True, False)

    def fileno(self):
        """Return the file descriptor of the listening socket."""
        return self._sock.fileno()

    def on_readable(self):
        """Accept all pending connections."""
        while True:
            try:
                sock, peer = self._sock.accept()
            except OSError:
                return
            conn = Conn.accepted(self.loop, sock, f'{peer[0]}:{peer[1]}')
            conn.protocol = self._make_protocol(conn)
            if not conn.closed:
                conn.start()

    def on_writable(self):
        """Do nothing; a listener never waits to write."""

    def on_hangup(self):
        """Close the listener after its socket failed."""
        self.close()

    def close(self):
        """Stop accepting; established connections stay open."""
        if self._sock.fileno() < 0:
            return
        self.loop.poller.unwatch(self)
        self._sock.close()
