"""Tests of pipelined requests that run side by side on one connection."""

import testtools

from bramleysill_net.http_client import HttpClientConn
from tests.gateway_helpers import REQUEST_ID_HEADER
from tests.gateway_helpers import TIMEOUT_SECONDS
from tests.gateway_helpers import GatewayTestCase
from tests.gateway_helpers import signed_response
from tests.http_helpers import RecordingHandler
from tests.http_helpers import parse_responses

GET = b'GET /%s HTTP/1.1\r\nHost: x\r\n\r\n'
POST = b'POST /%s HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab'
CLOSING = b'GET /%s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
MAX_CONCURRENT = 3


class _OverlappingHandler(RecordingHandler):
    """Lets requests overlap but for those whose target begins with /once."""

    def __init__(self):
        super().__init__(defer=True)
        self.server._max_concurrent = MAX_CONCURRENT

    def may_overlap(self, req):
        return not req.target.startswith('/once')

    def targets(self):
        return [sink.req.target for sink in self.sinks]

    def bodies(self):
        return [body for _, body in parse_responses(self.conn.sent)]


class OverlapTest(testtools.TestCase):
    def _feed(self, *messages):
        handler = _OverlappingHandler()
        handler.feed(b''.join(messages))
        return handler

    def test_responses_keep_the_order_of_their_requests(self):
        """Guards against a response that another request gets."""
        handler = self._feed(*(GET % c for c in (b'a', b'b', b'c')))
        self.assertEqual(['/a', '/b', '/c'], handler.targets())
        handler.sinks[2].respond()
        handler.sinks[1].respond()
        self.assertEqual(b'', handler.conn.sent)
        handler.sinks[0].respond()
        self.assertEqual([b'/a', b'/b', b'/c'], handler.bodies())
        self.assertTrue(handler.conn.reading)
        self.assertTrue(handler.server.idle)

    def test_the_number_is_bounded(self):
        """Guards against memory that one caller can fill."""
        handler = self._feed(GET % b'a' * 10)
        self.assertEqual(MAX_CONCURRENT, len(handler.sinks))
        self.assertFalse(handler.conn.reading)
        handler.sinks[1].respond()
        self.assertEqual(MAX_CONCURRENT, len(handler.sinks))
        handler.sinks[0].respond()
        self.assertEqual(MAX_CONCURRENT + 2, len(handler.sinks))

    def test_a_request_that_runs_once_waits_for_its_turn(self):
        """Guards against TWICE: it may be sent again after a close."""
        handler = self._feed(GET % b'a', GET % b'once', GET % b'b')
        self.assertEqual(['/a'], handler.targets())
        handler.sinks[0].respond()
        self.assertEqual(['/a', '/once', '/b'], handler.targets())

    def test_a_body_in_the_middle_is_read_in_its_turn(self):
        """Guards against the body of an upload in another request."""
        handler = self._feed(GET % b'a', POST % b'p', GET % b'b')
        self.assertEqual(['/a'], handler.targets())
        handler.sinks[0].respond()
        self.assertEqual(['/a', '/p', '/b'], handler.targets())
        self.assertEqual(b'ab', handler.sinks[1].body)
        for sink in handler.sinks[1:]:
            sink.respond()
        self.assertEqual([b'/a', b'/p', b'/b'], handler.bodies())

    def test_nothing_follows_a_response_that_closes(self):
        """Guards against running a request that the caller sends again."""
        handler = self._feed(GET % b'a', CLOSING % b'b', GET % b'c')
        self.assertEqual(['/a', '/b'], handler.targets())
        handler.sinks[1].respond()
        handler.sinks[0].respond()
        self.assertEqual([b'/a', b'/b'], handler.bodies())
        self.assertEqual('close', handler.conn.ending)

    def test_a_close_cancels_what_runs_behind_it(self):
        """Guards against work for a caller that has been told to go."""
        handler = self._feed(GET % b'a', GET % b'b', GET % b'c')
        handler.sinks[0].stream.disable_keep_alive()
        handler.sinks[2].respond()
        handler.sinks[0].respond()
        self.assertEqual([b'/a'], handler.bodies())
        self.assertEqual([False, True, False], self._aborted(handler))
        handler.sinks[1].respond()
        self.assertEqual([b'/a'], handler.bodies())

    def test_a_caller_that_leaves_cancels_all(self):
        """Guards against GONE for the requests behind the first."""
        handler = self._feed(GET % b'a', GET % b'b')
        handler.conn.abort()
        self.assertEqual([True, True], self._aborted(handler))

    def test_a_malformed_request_in_the_middle(self):
        """Guards against a 400 that overtakes the responses before it."""
        handler = self._feed(GET % b'a', GET % b'b', b'\x00bad\r\n\r\n')
        handler.sinks[1].respond()
        self.assertEqual([], handler.bad_requests)
        handler.sinks[0].respond()
        statuses = [s for s, _ in parse_responses(handler.conn.sent)]
        self.assertEqual([200, 200, 400], statuses)
        self.assertEqual('linger', handler.conn.ending)

    def test_a_broken_response_resets_in_its_turn(self):
        """Guards against a broken response that looks complete."""
        handler = self._feed(GET % b'a', GET % b'b')
        second = handler.sinks[1].stream
        second.start(200, [], 10)
        second.write(b'half')
        second.abort()
        self.assertFalse(handler.conn.closed)
        handler.sinks[0].respond()
        self.assertTrue(handler.conn.closed)
        self.assertFalse(handler.conn.sent.endswith(b'half' * 2))

    def test_a_held_stream_counts_its_bytes(self):
        """Guards against a large response that is held without bound."""
        handler = self._feed(GET % b'a', GET % b'b')
        drained = []
        second = handler.sinks[1].stream
        second.on_drained = lambda: drained.append(True)
        second.start(200, [], 8)
        second.write(b'four')
        self.assertGreater(second.buffered, 4)
        handler.sinks[0].respond()
        self.assertEqual([True], drained)
        self.assertEqual(0, second.buffered)
        second.write(b'more')
        second.end()
        self.assertEqual([b'/a', b'fourmore'], handler.bodies())

    def _aborted(self, handler):
        return [sink.aborted for sink in handler.sinks]


class _Collector:
    """Collects the bytes of a connection with several responses."""

    def __init__(self):
        self.data = b''

    def on_connect(self):
        pass

    def on_data(self, data):
        self.data += data

    def on_drain(self):
        pass

    def on_close(self, exc):
        pass


class GatewayPipelineTest(GatewayTestCase):
    def _send(self, *lines):
        """Send requests in one write; return the collector of responses."""
        collector = _Collector()
        conn = HttpClientConn(self.loop, *self.listener.address)
        self.addCleanup(conn.abort)
        conn.conn.protocol = collector
        data = b''.join(
            (
                f'{method} {path} HTTP/1.1\r\nHost: h\r\n'
                f'{REQUEST_ID_HEADER}: {request_id}\r\n'
                f'X-Bramleysill-Deadline-Ms: {left}\r\n\r\n'
            ).encode()
            for method, path, request_id, left in lines
        )
        conn.conn.write(data)
        return collector

    def test_a_slow_first_request_does_not_delay_the_next(self):
        """Guards against deadlines that pass while a request waits."""
        upstream = self.add_upstream('u1', lambda i: 'no_response')
        collector = self._send(
            ('GET', '/read/1', 'r1', 500),
            ('GET', '/read/2', 'r2', 500),
            ('GET', '/write/3', 'r3', 500),
        )
        self.loop.run_until(
            lambda: len(upstream.requests) == 2, TIMEOUT_SECONDS
        )
        self.assertFalse(any('/write/' in r for r in upstream.requests))
        self.loop.run_until(
            lambda: collector.data.count(b'HTTP/1.1') == 3, TIMEOUT_SECONDS
        )
        # The third has waited past its deadline, and was never sent.
        self.assertEqual(2, len(upstream.requests))
        self.assertIn(b'HTTP/1.1 503', collector.data)

    def test_responses_belong_to_their_requests(self):
        """Guards against MIXED on a connection with several requests."""
        self.add_upstream('u1', lambda i: signed_response(i, body=i))
        paths = [('GET', '/read/x', f'r{i}', 3000) for i in range(9)]
        collector = self._send(*paths)
        self.loop.run_until(
            lambda: collector.data.count(b'HTTP/1.1') == 9, TIMEOUT_SECONDS
        )
        bodies = [body for _, body in parse_responses(collector.data)]
        self.assertEqual([f'r{i}'.encode() for i in range(9)], bodies)
