"""Short HTTP calls with a timeout over persistent connections.

They carry control traffic: calls to the platform's store, and grants and
releases sent to upstreams. A connection is reset when a call on it times out,
so that a late response can't be taken for the response to another call. What
the calls hold of their responses is reserved in the loop's ReceiveBudget.
"""

from bramleysill_kernel.load.receive_budget import Reservation
from bramleysill_net.http_client import HttpClientConn
from bramleysill_net.response_sinks import HeadCollector
from bramleysill_net.response_sinks import ResponseCollector

# Connections idle for longer are not reused: peers close them after a few
# seconds, and may drop them without a FIN or RST.
MAX_IDLE_SECONDS = 4.0
# A connection fails if the peer's TCP has not acknowledged what was sent for
# this long, which detects a peer that disappeared.
UNACKNOWLEDGED_TIMEOUT_MS = 2000
# A connect attempt is abandoned after this time: the kernel would resend a
# lost SYN only after a second.
CONNECT_TIMEOUT_SECONDS = 0.4


class CallResult:
    """The result of a call; `status` is 0 if there was no response.

    `sent` is true if any byte of the request may have reached the peer.
    `reused` is true if the connection had carried earlier calls: a faulty peer
    may have written the response to one of them again. `too_large` is true if
    the response was given up for its size.
    """

    __slots__ = ('status', 'headers', 'body', 'sent', 'reused', 'too_large')

    def __init__(self, status, headers, body, sent, reused, too_large=False):
        self.status = status
        self.headers = headers
        self.body = body
        self.sent = sent
        self.reused = reused
        self.too_large = too_large


class HttpCallClient:
    """Makes calls to one address.

    Each connection carries one call at a time; idle connections are reused.
    `source` is that of the ReceiveBudget. Bodies of responses are kept up to
    `max_body_bytes`; a call with a longer one fails. With 0 they are skipped.
    """

    __slots__ = (
        'connection_epoch',
        '_loop',
        '_host',
        '_port',
        '_idle',
        '_busy',
        '_source',
        '_max_body_bytes',
    )

    def __init__(self, loop, host, port, source, max_body_bytes=0):
        # Rises when the last established connection has ended.
        self.connection_epoch = 0
        self._loop = loop
        self._host = host
        self._port = port
        self._idle = []
        self._busy = set()
        self._source = source
        self._max_body_bytes = max_body_bytes

    def call(self, data, timeout_seconds, callback, new_connection=False):
        """Send an encoded request; call `callback(CallResult)` once.

        `new_connection` leaves the idle connections unused. Returns a function
        that aborts the call; its status is then 0.
        """
        conn = None if new_connection else self._take_idle()
        reused = conn is not None
        if conn is None:
            conn = self._connect()
        self._busy.add(conn)
        deadline = self._loop.now() + timeout_seconds
        call_at = self._loop.scheduler.call_at
        timer = call_at(deadline, conn.abort_exchange)
        connect_timer = None
        if not conn.connected:
            connect_deadline = self._loop.now() + CONNECT_TIMEOUT_SECONDS

            def check_connected():
                if not conn.connected:
                    conn.abort_exchange()

            connect_timer = call_at(connect_deadline, check_connected)

        def on_response(status, headers, body):
            timer.cancel()
            if connect_timer is not None:
                connect_timer.cancel()
            self._busy.discard(conn)
            sent = conn.connected
            callback(
                CallResult(status, headers, body, sent, reused, sink.too_large)
            )

        sink = self._make_sink(on_response)
        conn.request(data, sink)
        return lambda: conn in self._busy and conn.abort_exchange()

    def close(self):
        """Close the idle connections and abort the calls in progress."""
        for conn, _ in self._idle:
            conn.close()
        self._idle.clear()
        for conn in list(self._busy):
            conn.abort_exchange()

    def _make_sink(self, callback):
        if not self._max_body_bytes:
            return HeadCollector(callback)
        reservation = Reservation(self._loop.receive_budget, self._source)
        return ResponseCollector(callback, self._max_body_bytes, reservation)

    def _take_idle(self):
        """Return an idle connection, or None."""
        now = self._loop.now()
        while self._idle:
            conn, idle_since = self._idle.pop()
            if conn.closed:
                continue
            if now - idle_since < MAX_IDLE_SECONDS:
                return conn
            conn.close()
        return None

    def _connect(self):
        return HttpClientConn(
            self._loop,
            self._host,
            self._port,
            on_idle=self._on_idle,
            on_closed=self._on_closed,
            unacknowledged_timeout_ms=UNACKNOWLEDGED_TIMEOUT_MS,
            source=self._source,
        )

    def _on_closed(self, conn):
        if not conn.connected:
            return
        others = [c for c, _ in self._idle] + list(self._busy)
        if not any(c.connected and not c.closed for c in others):
            self.connection_epoch += 1

    def _on_idle(self, conn):
        self._idle.append((conn, self._loop.now()))
