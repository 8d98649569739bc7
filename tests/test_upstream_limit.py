"""Tests of how requests to an upstream with a named limit are paced."""

from bramleysill_kernel.load.rate_pacer import PaceDecision
from tests.gateway_helpers import NOT_RUN_LINE
from tests.gateway_helpers import TIMEOUT_SECONDS
from tests.gateway_helpers import GatewayTestCase
from tests.gateway_helpers import signed_response
from tests.gateway_helpers import unsigned_response

LIMIT_PER_SECOND = 5
# All requests of a test end within this time, as their deadline is earlier.
WINDOW_SECONDS = 4
BURST_REQUESTS = 60


class NamedLimitTest(GatewayTestCase):
    def _limited(self, request_id):
        line = f'Server-Limit: {LIMIT_PER_SECOND}\r\n'
        return signed_response(request_id, extra=line)

    def _send_burst(self, path):
        conns = [self.start(path) for _ in range(BURST_REQUESTS)]
        self.assertTrue(
            self.loop.run_until(
                lambda: all(responses for _, responses in conns),
                TIMEOUT_SECONDS,
            )
        )
        return [responses[0] for _, responses in conns]

    def test_an_owner_gets_no_more_requests_than_its_limit(self):
        """Guards against LIMIT at the owner of a key."""
        upstream = self.add_upstream('o', self._limited, 'keyed')
        self.request('/keyed/x')
        self._send_burst('/keyed/x')
        self.assertLessEqual(
            len(upstream.requests), LIMIT_PER_SECOND * WINDOW_SECONDS
        )

    def test_an_owner_that_refuses_all_requests_names_its_limit(self):
        """Guards against LIMIT at an owner that no longer holds the key."""
        line = f'{NOT_RUN_LINE}Server-Limit: {LIMIT_PER_SECOND}\r\n'
        upstream = self.add_upstream(
            'o', lambda i: unsigned_response(421, line), 'keyed'
        )
        self.request('/keyed/x')
        self._send_burst('/keyed/x')
        self.assertLessEqual(
            len(upstream.requests), LIMIT_PER_SECOND * WINDOW_SECONDS
        )

    def test_a_shared_upstream_gets_no_more_requests_than_its_limit(self):
        """Guards against LIMIT at an upstream of a shared service."""
        upstream = self.add_upstream('s', self._limited)
        self.request('/read/x')
        self._send_burst('/read/x')
        self.assertLessEqual(
            len(upstream.requests), LIMIT_PER_SECOND * WINDOW_SECONDS
        )


class NoRoomTest(GatewayTestCase):
    """An upstream has no memory for a body by the time it is permitted."""

    def test_the_request_is_refused_once(self):
        """Guards against a request that is dispatched within itself."""
        self.add_upstream(
            's', lambda i: signed_response(i, extra='Server-Limit: 5\r\n')
        )
        self.request('/read/x')
        callbacks = []
        self.frontend.pacing.ask = lambda *args: callbacks.append(args[-1])
        _, responses = self.start('/write/x', body=b'x')
        self.loop.run_until(lambda: callbacks, TIMEOUT_SECONDS)
        estimates = self.upstreams.memory_estimates
        estimates.note_lost('s', 0)
        peer = self.upstreams.peer(self.state.directory.get('s'))
        peer.in_flight_bytes.add(int(estimates.bound('s')))
        callbacks[0](PaceDecision(True, 0.0))
        self.loop.run_until(lambda: responses, TIMEOUT_SECONDS)
        self.assertEqual(503, responses[0][0])
        self.assertIn(b'"step":"upstream_memory"', responses[0][2])
