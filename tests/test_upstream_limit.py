"""Tests of how requests to an upstream with a named limit are paced."""

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
