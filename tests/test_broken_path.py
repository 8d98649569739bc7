"""Tests that the invalid responses of one path leave the others alone."""

from bramleysill_net.conn import Listener
from tests.gateway_helpers import GatewayTestCase
from tests.gateway_helpers import signed_response

UPSTREAMS = 2
# Responses that are none; the connection is reset after each of them.
BROKEN_RESPONSES = (
    b'HTTP/1.1 1000 X\r\n\r\n',
    b'\x00\x01',
    b'HTTP/1.1 200 OK\r\nX-Cut',
)


class _Upstream:
    """Responds to each request, and by `broken` to those of one path."""

    def __init__(self, loop):
        self.broken = b''
        self.listener = Listener(loop, '127.0.0.1', 0, self._accept)

    def _accept(self, conn):
        return _UpstreamConn(self, conn)


class _UpstreamConn:
    def __init__(self, upstream, conn):
        self.upstream = upstream
        self.conn = conn

    def on_connect(self):
        pass

    def on_data(self, data):
        if data.startswith(b'GET /read/ok '):
            self.conn.write(signed_response('r1'))
            return
        if self.upstream.broken:
            self.conn.write(self.upstream.broken)
        self.conn.abort()

    def on_drain(self):
        pass

    def on_close(self, exc):
        pass


class BrokenPathTest(GatewayTestCase):
    """One path of all upstreams gives invalid responses."""

    def setUp(self):
        super().setUp()
        self.found = [_Upstream(self.loop) for _ in range(UPSTREAMS)]
        for number, upstream in enumerate(self.found):
            self.addCleanup(upstream.listener.close)
            self.register_upstream(f'u{number}', upstream)

    def _break(self, response):
        for upstream in self.found:
            upstream.broken = response
        # New connections only: what comes on them could be a limit.
        self.upstreams.close()
        return self.request('/read/broken')[0]

    def test_other_paths_are_served(self):
        """Guards against upstreams that count as full or unreachable.

        All of them did after one request to the broken path and its retry.
        """
        for response in BROKEN_RESPONSES:
            self.assertEqual(502, self._break(response), response)
            self.assertEqual(200, self.request('/read/ok')[0], response)

    def test_reset_without_a_response_counts_as_a_limit(self):
        """Guards against requests sent to upstreams that reset them."""
        self.assertEqual(502, self._break(b''))
        peers = self.upstreams._peers.values()
        self.assertEqual(
            [True] * UPSTREAMS, [peer.load.full_until > 0.0 for peer in peers]
        )
