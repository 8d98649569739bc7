"""Tests of responses whose status is none.

A caller must get neither such a status nor wait for a response that can't
come any more: it is clear from the head that there is none.
"""

from bramleysill_kernel.common import refusals
from bramleysill_kernel.load.receive_budget import STORE
from bramleysill_net.conn import Listener
from bramleysill_net.http_calls import HttpCallClient
from bramleysill_net.http_client import HttpClientConn
from bramleysill_net.http_client import encode_request
from bramleysill_net.response_errors import InvalidResponse
from bramleysill_net.response_errors import InvalidStatus
from tests.dispatch_helpers import DispatchTestCase
from tests.gateway_helpers import REQUEST_ID_HEADER
from tests.gateway_helpers import SIGNATURE_LINE
from tests.gateway_helpers import TIMEOUT_SECONDS
from tests.gateway_helpers import GatewayTestCase
from tests.test_http_client import ScriptedServerTestCase

# Far beyond the time limit of a test, so that no response is due to a
# deadline.
LONG_DEADLINE_MS = 60000
ROUTE_TIMEOUT_SECONDS = 60.0
# By the parser, these have a status; 101 would end HTTP.
INVALID_STATUSES = ('000', '001', '020', '099', '101', '600', '999')
# The parser takes these for no number of three digits.
MALFORMED_STATUSES = ('', '0', '20', '2x0', '+20', '-20', '1000', '2000')
EDGES_OF_VALID_STATUSES = ('200', '599')


def response_with(status, request_id='r1'):
    """Return a signed response with a status."""
    return (
        f'HTTP/1.1 {status} X\r\n{REQUEST_ID_HEADER}: {request_id}\r\n'
        f'{SIGNATURE_LINE}Content-Length: 4\r\n\r\nbody'
    ).encode()


class _FailureSink:
    """Keeps the failure of an exchange, or the status of its response."""

    def __init__(self):
        self.result = None
        self.status = 0

    def on_head(self, status, headers, length):
        self.status = status

    def on_body(self, data):
        pass

    def on_end(self):
        self.result = self.status

    def on_failure(self, exc):
        self.result = exc


class InvalidStatusTest(ScriptedServerTestCase):
    def _exchange(self, response):
        self.script.append(response)
        conn = HttpClientConn(self.loop, *self.address)
        self.addCleanup(conn.abort)
        sink = _FailureSink()
        conn.request(encode_request('GET', '/', 'x'), sink)
        self.assertTrue(
            self.loop.run_until(lambda: sink.result, TIMEOUT_SECONDS),
            response,
        )
        return sink.result

    def test_exchange_fails_at_the_head(self):
        """Guards against a status that is taken for interim or for final."""
        for status in INVALID_STATUSES:
            result = self._exchange(f'HTTP/1.1 {status} X\r\n\r\n'.encode())
            self.assertIsInstance(result, InvalidStatus, status)
        for status in MALFORMED_STATUSES:
            result = self._exchange(f'HTTP/1.1 {status} X\r\n\r\n'.encode())
            self.assertIsInstance(result, InvalidResponse, status)

    def test_valid_statuses_are_passed_on(self):
        for status in EDGES_OF_VALID_STATUSES:
            interim = b'HTTP/1.1 100 X\r\n\r\nHTTP/1.1 199 X\r\n\r\n'
            result = self._exchange(interim + response_with(status))
            self.assertEqual(int(status), result)

    def test_control_call_has_no_response(self):
        client = HttpCallClient(self.loop, *self.address, STORE, 1 << 20)
        self.addCleanup(client.close)
        for status in INVALID_STATUSES:
            self.script.append(response_with(status))
            results = []
            request = encode_request('GET', '/', 'x')
            client.call(request, ROUTE_TIMEOUT_SECONDS, results.append)
            self.loop.run_until(lambda found=results: found, TIMEOUT_SECONDS)
            self.assertEqual([0], [found.status for found in results], status)


class InvalidStatusAtGatewayTest(GatewayTestCase):
    def setUp(self):
        super().setUp()
        for route in self.state.config.routes:
            route.max_wait = ROUTE_TIMEOUT_SECONDS

    def test_caller_gets_502_at_once(self):
        """Guards against a wait until the deadline, and a status 999."""
        upstream = self.add_upstream('u1', None)
        for status in INVALID_STATUSES + MALFORMED_STATUSES:
            for path in ('/write/', '/read/'):
                upstream.make_response = lambda request_id, s=status: (
                    response_with(s, request_id)
                )
                found, _, _ = self.request(path, LONG_DEADLINE_MS, b'x')
                self.assertEqual(502, found, (path, status))


class _Responder:
    """Sends the same bytes after each read."""

    def __init__(self, conn, response):
        self.conn = conn
        self.response = response

    def on_connect(self):
        pass

    def on_data(self, data):
        self.conn.write(self.response)

    def on_drain(self):
        pass

    def on_close(self, exc):
        pass


class InvalidStatusAtDispatcherTest(DispatchTestCase):
    def _listen(self, response):
        return Listener(
            self.loop, '127.0.0.1', 0, lambda conn: _Responder(conn, response)
        )

    def test_attempt_is_refused_at_once(self):
        """Guards against a wait until the deadline, and a status 999."""
        for status in INVALID_STATUSES:
            self.dispatch_to(self._listen(response_with(status)))
            _, sink = self.submit()
            self.wait_for(lambda found=sink: found.refused or found.ended)
            self.assertIsInstance(
                sink.refused, refusals.ConnectionLost, status
            )
