"""Tests of requests through the frontend to upstreams, over loopback.

Scripted upstreams respond, refuse or reset. The caller must not be told that
a request has not run if it may have, and a request that is not idempotent
must be sent once.
"""

import random

import testtools

from bramleysill_gateway.frontend import Frontend
from bramleysill_gateway.upstreams import Upstreams
from bramleysill_kernel.key_ranges import Assignment
from bramleysill_kernel.key_ranges import RangeTable
from bramleysill_kernel.node_settings import NodeSettings
from bramleysill_kernel.routing_config import Limits
from bramleysill_kernel.routing_config import Repeatability
from bramleysill_kernel.routing_config import Route
from bramleysill_kernel.routing_config import RoutingConfig
from bramleysill_kernel.routing_config import Service
from bramleysill_kernel.routing_config import WeightedService
from bramleysill_kernel.shared_limits import KnownRouters
from bramleysill_kernel.upstream_directory import UpstreamDirectory
from bramleysill_kernel.upstream_directory import UpstreamEntry
from bramleysill_net.conn import Listener
from bramleysill_net.http_client import HttpClientConn
from bramleysill_net.http_client import ResponseCollector
from bramleysill_net.http_client import encode_request
from bramleysill_net.loop import Loop
from bramleysill_platform.adapter import PlatformAdapter
from bramleysill_router.metrics import Metrics
from tests.bounds import make_bounds
from tests.bounds import make_timings

TIMEOUT_SECONDS = 10.0
REQUEST_ID_HEADER = 'X-Bramleysill-Request-Id'
SIGNATURE_LINE = 'X-Bramleysill-Response-Signature: s\r\n'
BOUNDS = make_bounds()


def signed_response(request_id, body='fine', extra=''):
    """Return a complete, signed response to a request."""
    return (
        f'HTTP/1.1 200 OK\r\n{REQUEST_ID_HEADER}: {request_id}\r\n'
        f'{SIGNATURE_LINE}{extra}Content-Length: {len(body)}\r\n\r\n{body}'
    ).encode()


def unsigned_response(status, extra='', body=''):
    """Return a response without a signature."""
    return (
        f'HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(body)}\r\n\r\n'
        f'{body}'
    ).encode()


NOT_RUN_LINE = 'X-Bramleysill-Not-Executed: 1\r\n'


class _Upstream:
    """Responds to each request with `make_response(request_id)`.

    The result is bytes, None for a reset, or 'no_response'.
    """

    def __init__(self, loop, make_response):
        self.make_response = make_response
        self.requests = []
        self.closed = 0
        self.listener = Listener(loop, '127.0.0.1', 0, self._accept)

    def _accept(self, conn):
        return _UpstreamConn(self, conn)


class _UpstreamConn:
    def __init__(self, upstream, conn):
        self.upstream = upstream
        self.conn = conn
        self.data = b''

    def on_connect(self):
        pass

    def on_data(self, data):
        self.data += data
        if b'\r\n\r\n' not in self.data:
            return
        text, self.data = self.data.decode('latin-1'), b''
        fields = dict(
            line.split(': ', 1)
            for line in text.split('\r\n\r\n')[0].split('\r\n')[1:]
        )
        self.upstream.requests.append(text)
        response = self.upstream.make_response(fields[REQUEST_ID_HEADER])
        if response is None:
            self.conn.abort()
        elif response != 'no_response':
            self.conn.write(response)

    def on_drain(self):
        pass

    def on_close(self, exc):
        self.upstream.closed += 1


class _State:
    def __init__(self, loop, config):
        self.config = config
        self.directory = UpstreamDirectory(loop, make_timings())
        self.tables = {}
        self.routers = KnownRouters(loop)
        self.routers.add('router')


class ExchangeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = Loop()
        self.adapter = PlatformAdapter()
        self.metrics = Metrics()
        services = {
            'shared': Service('shared', '/', 100, False, 0.0, 0.0, 0.0),
            'keyed': Service('keyed', '/', 100, True, 0.0, 0.0, 0.0),
        }
        routes = [
            self._route('read', Repeatability.IDEMPOTENT, 'shared'),
            self._route('write', Repeatability.AT_MOST_ONCE, 'shared'),
            self._route('keyed', Repeatability.AT_MOST_ONCE, 'keyed'),
        ]
        config = RoutingConfig(
            1, routes, services, Limits(16384, 1 << 20, 3.0, 15.0)
        )
        self.state = _State(self.loop, config)
        cfg = NodeSettings(
            'router', 'a', ('a',), None, None, 1.0, 1.0, BOUNDS, 1000.0, 1.0
        )
        self.upstreams = Upstreams(self.loop, self.state.directory)
        self.frontend = Frontend(
            self.loop,
            random.Random(1),
            cfg,
            self.state,
            self.upstreams,
            self.adapter,
            self.metrics,
        )
        self.listener = Listener(
            self.loop, '127.0.0.1', 0, self.frontend.accept
        )
        self.addCleanup(self.listener.close)
        self.addCleanup(self.upstreams.close)

    def _route(self, name, repeatability, service, max_wait=5.0):
        return Route(
            name,
            'h',
            f'/{name}/',
            repeatability,
            max_wait,
            2.0,
            1,
            2,
            [WeightedService(service, 1.0)],
        )

    def _add_upstream(self, name, make_response, service='shared'):
        upstream = _Upstream(self.loop, make_response)
        self.addCleanup(upstream.listener.close)
        port = upstream.listener.address[1]
        self.state.directory.put(
            UpstreamEntry(
                name, 1, service, '127.0.0.1', port, 'a', 4, False, 0.0
            )
        )
        if service == 'keyed':
            self.state.tables['keyed'] = RangeTable.empty().assign(
                [Assignment(0, 65535, name, 1)]
            )
        return upstream

    def _start(self, path, left_ms=3000, body=None):
        responses = []
        conn = HttpClientConn(self.loop, *self.listener.address)
        self.addCleanup(conn.abort)
        headers = (
            (REQUEST_ID_HEADER, 'r1'),
            ('X-Bramleysill-Deadline-Ms', str(left_ms)),
            ('X-Bramleysill-Shard-Key', '7'),
        )
        method = 'POST' if body is not None else 'GET'
        conn.request(
            encode_request(method, path, 'h', headers, body),
            ResponseCollector(lambda *response: responses.append(response)),
        )
        return conn, responses

    def _request(self, path, left_ms=3000, body=None):
        _, responses = self._start(path, left_ms, body)
        self.assertTrue(
            self.loop.run_until(lambda: responses, TIMEOUT_SECONDS)
        )
        return responses[0]

    def test_response_is_forwarded_unchanged(self):
        """Guards against changed responses and lost signatures."""
        upstream = self._add_upstream('u1', signed_response)
        status, headers, body = self._request('/read/x', body=b'abc')
        self.assertEqual((200, b'fine'), (status, body))
        self.assertEqual('s', headers['x-bramleysill-response-signature'])
        (request,) = upstream.requests
        self.assertTrue(request.startswith('POST /read/x HTTP/1.1'))
        self.assertTrue(request.endswith('\r\n\r\nabc'))
        self.assertIn('X-Bramleysill-Expect-Instance: u1', request)

    def test_reset_of_unsafe_request_is_not_reported_as_not_run(self):
        """Guards against a second run and a false "not run" status."""
        upstream = self._add_upstream('u1', lambda i: None)
        status, _, _ = self._request('/write/x', body=b'')
        self.assertEqual(502, status)
        self.assertEqual(1, len(upstream.requests))

    def test_broken_response_to_safe_request_is_retried(self):
        """Guards against a truncated response that looks complete."""
        broken = self._add_upstream(
            'u1', lambda i: unsigned_response(200, body='cut')
        )
        self._add_upstream('u2', signed_response)
        statuses = {self._request('/read/x')[0] for _ in range(4)}
        self.assertEqual({200}, statuses)
        self.assertLessEqual(len(broken.requests), 4)

    def test_unsigned_success_is_rejected(self):
        """Guards against forwarding a body that no upstream has signed."""
        self._add_upstream(
            'u1', lambda i: unsigned_response(200, body='forged')
        )
        status, _, body = self._request('/write/x')
        self.assertEqual(502, status)
        self.assertNotIn(b'forged', body)

    def test_request_that_was_not_run_is_retried(self):
        """Guards against a refusal while another upstream has capacity."""
        self._add_upstream(
            'u1', lambda i: unsigned_response(503, NOT_RUN_LINE)
        )
        self._add_upstream('u2', signed_response)
        self.assertEqual(200, self._request('/write/x')[0])

    def test_refusal_has_retry_after(self):
        """Guards against callers that retry immediately."""
        self._add_upstream(
            'u1', lambda i: unsigned_response(503, NOT_RUN_LINE)
        )
        status, headers, body = self._request('/write/x', left_ms=900)
        self.assertEqual(503, status)
        self.assertLessEqual(float(headers['retry-after']), 0.3)
        self.assertIn(b'not_run', body)

    def test_signed_503_is_not_reported_as_not_run(self):
        """Guards against a "not run" status for a request that has run."""
        response = signed_response('r1').replace(b'200 OK', b'503 Busy')
        self._add_upstream('u1', lambda i: response)
        self.assertEqual(502, self._request('/write/x')[0])

    def test_disconnected_caller_cancels_the_attempt(self):
        """Guards against upstream work after the caller disconnects."""
        upstream = self._add_upstream('u1', lambda i: 'no_response')
        conn, _ = self._start('/read/x')
        self.loop.run_until(lambda: upstream.requests, TIMEOUT_SECONDS)
        conn.abort()
        self.assertTrue(
            self.loop.run_until(lambda: upstream.closed, TIMEOUT_SECONDS)
        )
        self.assertEqual(set(), self.frontend.active_exchanges)

    def test_deadline_ends_a_sent_request(self):
        """Guards against a caller that waits past its deadline."""
        self._add_upstream('u1', lambda i: 'no_response')
        self.assertEqual(504, self._request('/write/x', left_ms=100)[0])

    def test_upstream_receives_the_time_left(self):
        """Guards against upstream work after the deadline."""
        upstream = self._add_upstream('u1', signed_response)
        self._request('/read/x', left_ms=700)
        line = upstream.requests[0].split('X-Bramleysill-Deadline-Ms: ')[1]
        self.assertLessEqual(int(line.split('\r\n')[0]), 700)

    def test_replaced_process_gets_no_more_requests(self):
        """Guards against repeated requests to an unrelated process."""
        other = 'X-Bramleysill-Instance-Id: u9\r\n'
        upstream = self._add_upstream(
            'u1', lambda i: unsigned_response(421, other), 'keyed'
        )
        self.assertEqual(503, self._request('/keyed/x')[0])
        self.assertEqual(503, self._request('/keyed/x')[0])
        self.assertEqual(1, len(upstream.requests))

    def test_request_waits_for_the_new_owner_of_its_key(self):
        """Guards against a refusal while keys move to a new owner."""
        old = self._add_upstream(
            'u1', lambda i: unsigned_response(421, NOT_RUN_LINE), 'keyed'
        )
        _, responses = self._start('/keyed/x')
        self.loop.run_until(lambda: old.requests, TIMEOUT_SECONDS)
        self._add_upstream('u2', signed_response, 'keyed')
        self.loop.scheduler.call_at(
            self.loop.now(), self.frontend.on_state_changed
        )
        self.loop.run_until(lambda: responses, TIMEOUT_SECONDS)
        self.assertEqual(200, responses[0][0])

    def test_unknown_path_is_not_found(self):
        """Guards against requests forwarded without a matching route."""
        self.assertEqual(404, self._request('/other/x')[0])

    def test_request_without_configuration_gets_503(self):
        """Guards against a 404 from a router that has just started."""
        self.state.config = None
        status, headers, _ = self._request('/read/x')
        self.assertEqual(503, status)
        self.assertIn('retry-after', headers)

    def test_shutdown_drains_then_refuses(self):
        """Guards against requests aborted at the end of the grace period."""
        self._add_upstream('u1', signed_response)
        self.frontend.draining = True
        status, headers, _ = self._request('/read/x')
        self.assertEqual((200, 'close'), (status, headers['connection']))
        self.frontend.refusing = True
        self.assertEqual(503, self._request('/read/x')[0])
