"""Tests of requests with quotas through the frontend, over loopback.

The decisions on quotas are scripted. Each token must be used for one run or
given back, and no request of an organisation with a limit is sent without.
"""

from bramleysill_kernel.config.organisations import Organisation
from bramleysill_kernel.config.organisations import OrganisationTable
from bramleysill_kernel.config.organisations import digest_key
from bramleysill_kernel.config.routing_config import RoutingConfig
from bramleysill_kernel.load.token_leases import QuotaAction
from bramleysill_kernel.load.token_leases import QuotaDecision
from bramleysill_kernel.load.token_leases import Token
from tests.gateway_helpers import NOT_RUN_LINE
from tests.gateway_helpers import TIMEOUT_SECONDS
from tests.gateway_helpers import GatewayTestCase
from tests.gateway_helpers import signed_response
from tests.gateway_helpers import unsigned_response

ACME = Organisation('acme', rate=3.0, burst=6.0)
FREE = Organisation('free')
TABLE = OrganisationTable(
    [ACME, FREE], {digest_key('k1'): ACME, digest_key('k2'): FREE}
)
FIELDS = (('Authorization', 'Bearer k1'),)
FREE_FIELDS = (('Authorization', 'Bearer k2'),)


class _Quotas:
    """Decides at once, or when the test calls one of `callbacks`."""

    def __init__(self, loop):
        self.loop = loop
        self.limited = {'acme'}
        self.decides = True
        self.action = QuotaAction.SEND
        self.token = None
        self.asked = 0
        self.callbacks = []
        self.cancelled = []
        self.given_back = []

    def has_limit(self, organisation):
        return organisation in self.limited

    def decide(self, callback):
        token = None
        if self.action is QuotaAction.SEND:
            token = self.token = Token(self.loop.now() + 0.5)
        callback(QuotaDecision(self.action, token, 0.7))

    def ask(self, organisation, callback):
        self.asked += 1
        if self.decides:
            self.decide(callback)
            return None
        self.callbacks.append(callback)
        return callback

    def cancel(self, waiter):
        self.cancelled.append(waiter)

    def give_back(self, organisation, token):
        assert token is not None
        self.given_back.append(token)


class QuotaExchangeTest(GatewayTestCase):
    def setUp(self):
        super().setUp()
        old = self.state.config
        self.config = RoutingConfig(
            1,
            old.routes,
            old.services,
            old.limits,
            organisations=TABLE,
        )
        self.state.config = self.config
        self.quotas = self.frontend.quotas = _Quotas(self.loop)

    def run_until(self, done):
        self.assertTrue(self.loop.run_until(done, TIMEOUT_SECONDS))

    def used(self):
        """Return the number of tokens that were not given back."""
        return self.quotas.asked - len(self.quotas.given_back)

    def test_a_request_uses_one_token(self):
        """Guards against requests that are counted twice or not at all."""
        upstream = self.add_upstream('u1', signed_response)
        self.assertEqual(200, self.request('/read/x', fields=FIELDS)[0])
        self.assertEqual(1, len(upstream.requests))
        self.assertEqual((1, []), (self.quotas.asked, self.quotas.given_back))

    def test_only_a_limit_needs_a_token(self):
        """Guards against a change for organisations without a limit."""
        self.add_upstream('u1', signed_response)
        self.assertEqual(200, self.request('/read/x', fields=FREE_FIELDS)[0])
        for route in self.config.routes:
            route.public = True
        self.assertEqual(200, self.request('/read/x', fields=FIELDS)[0])
        self.assertEqual(200, self.request('/read/x')[0])
        self.assertEqual(0, self.quotas.asked)

    def test_refusals(self):
        """Guards against 429 for an organisation that may be in its quota."""
        upstream = self.add_upstream('u1', signed_response)
        for action, status, code in (
            (QuotaAction.REFUSE, 429, b'"quota_exceeded"'),
            (QuotaAction.UNAVAILABLE, 503, b'"quota_unavailable"'),
        ):
            self.quotas.action = action
            found, headers, body = self.request('/read/x', fields=FIELDS)
            self.assertEqual(status, found)
            self.assertEqual('0.70', headers['retry-after'])
            self.assertIn(code, body)
            self.assertIn(b'"not_run"', body)
        self.assertEqual([], upstream.requests)

    def test_retry_after_is_at_most_a_third_of_the_time_left(self):
        """Guards against a Retry-After that callers ignore."""
        self.quotas.action = QuotaAction.REFUSE
        _, headers, _ = self.request('/read/x', left_ms=900, fields=FIELDS)
        self.assertLessEqual(float(headers['retry-after']), 0.3)

    def test_a_request_waits_for_the_reply(self):
        """Guards against requests that are sent before the reply."""
        upstream = self.add_upstream('u1', signed_response)
        self.quotas.decides = False
        _, responses = self.start('/write/x', body=b'abc', fields=FIELDS)
        self.run_until(lambda: self.quotas.callbacks)
        self.assertEqual([], upstream.requests)
        self.quotas.decide(self.quotas.callbacks[0])
        self.run_until(lambda: responses)
        self.assertEqual(200, responses[0][0])
        self.assertEqual(1, self.quotas.asked)

    def test_an_upload_that_is_not_buffered_waits_for_the_reply(self):
        """Guards against a body that is lost or grows while it waits."""
        upstream = self.add_upstream('u1', signed_response)
        self.quotas.decides = False
        body = b'x' * (300 << 10)
        _, responses = self.start('/write/x', body=body, fields=FIELDS)
        self.run_until(lambda: self.quotas.callbacks)
        self.quotas.decide(self.quotas.callbacks[0])
        self.run_until(lambda: responses)
        self.assertEqual(200, responses[0][0])
        self.assertEqual(1, len(upstream.requests))

    def test_the_deadline_runs_while_a_request_waits(self):
        """Guards against callers that are kept past their deadline."""
        self.quotas.decides = False
        status, _, _ = self.request('/read/x', left_ms=100, fields=FIELDS)
        self.assertEqual(503, status)
        self.assertEqual(self.quotas.callbacks, self.quotas.cancelled)

    def test_a_caller_that_leaves_while_it_waits(self):
        """Guards against tokens that are used for nobody."""
        upstream = self.add_upstream('u1', signed_response)
        self.quotas.decides = False
        conn, _ = self.start('/read/x', fields=FIELDS)
        self.run_until(lambda: self.quotas.callbacks)
        conn.abort()
        self.run_until(lambda: self.quotas.cancelled)
        # The decision may have been made already.
        self.quotas.decide(self.quotas.callbacks[0])
        self.assertEqual(0, self.used())
        self.assertEqual([], upstream.requests)

    def test_a_refused_request_gives_its_token_back(self):
        """Guards against quotas that refused requests use up."""
        self.assertEqual(503, self.request('/read/x', fields=FIELDS)[0])
        self.assertEqual((1, 0), (self.quotas.asked, self.used()))

    def test_a_retry_of_what_has_not_run_uses_the_same_token(self):
        """Guards against a request that is counted for each attempt."""
        first = self.add_upstream(
            'u1', lambda i: unsigned_response(503, NOT_RUN_LINE)
        )
        second = self.add_upstream('u2', signed_response)
        for _ in range(4):
            status, _, _ = self.request('/write/x', fields=FIELDS)
            self.assertEqual(200, status)
        self.assertGreater(len(first.requests), 0)
        self.assertEqual(4, len(second.requests))
        self.assertEqual((4, 4), (self.quotas.asked, self.used()))

    def test_a_request_that_was_refused_everywhere_has_not_run(self):
        """Guards against tokens that are lost with failed attempts."""
        self.add_upstream('u1', lambda i: unsigned_response(503, NOT_RUN_LINE))
        self.assertEqual(503, self.request('/write/x', fields=FIELDS)[0])
        self.assertEqual((1, 0), (self.quotas.asked, self.used()))

    def test_a_retry_with_an_expired_token_takes_another(self):
        """Guards against runs that count in an earlier window."""

        def refuse(request_id):
            # The token is used, and expires before the response arrives.
            self.quotas.token.expires_at = self.loop.now()
            return unsigned_response(503, NOT_RUN_LINE)

        first = self.add_upstream('u1', refuse)
        second = self.add_upstream('u2', signed_response)
        for _ in range(4):
            status, _, _ = self.request('/write/x', fields=FIELDS)
            self.assertEqual(200, status)
        self.assertGreater(len(first.requests), 0)
        runs = len(first.requests) + len(second.requests)
        self.assertEqual(runs, self.quotas.asked)

    def test_a_repetition_of_what_may_have_run_takes_another_token(self):
        """Guards against two runs that are counted once."""
        first = self.add_upstream('u1', lambda i: None)
        second = self.add_upstream('u2', signed_response)
        for _ in range(4):
            self.request('/read/x', fields=FIELDS)
        self.assertGreater(len(first.requests), 0)
        runs = len(first.requests) + len(second.requests)
        self.assertEqual(runs, self.used())

    def test_a_refused_repetition_is_not_reported_as_not_run(self):
        """Guards against 429 for a request that may have run."""

        def fail(request_id):
            self.quotas.action = QuotaAction.REFUSE

        self.add_upstream('u1', fail)
        self.assertEqual(502, self.request('/read/x', fields=FIELDS)[0])

    def test_a_request_that_waits_for_its_owner_holds_no_token(self):
        """Guards against tokens that are used after their window."""
        old = self.add_upstream(
            'u1', lambda i: unsigned_response(421, NOT_RUN_LINE), 'keyed'
        )
        self.request('/keyed/x', left_ms=300, fields=FIELDS)
        self.assertGreater(len(old.requests), 0)
        self.assertEqual(0, self.used())

    def test_a_token_goes_back_while_the_request_waits(self):
        """Guards against tokens that a request holds while keys move."""
        self.add_upstream(
            'u1', lambda i: unsigned_response(421, NOT_RUN_LINE), 'keyed'
        )
        self.request('/keyed/x', left_ms=100, fields=FIELDS)
        asked = self.quotas.asked
        _, responses = self.start('/keyed/x', fields=FIELDS)
        self.run_until(lambda: self.quotas.asked > asked)
        # The owner has just denied holding the key, so the request waits.
        self.assertEqual([], responses)
        self.assertEqual(0, self.used())

    def test_a_request_that_waits_asks_once(self):
        """Guards against a second request for a token by another event."""
        self.add_upstream('u1', signed_response)
        self.quotas.decides = False
        _, responses = self.start('/read/x', fields=FIELDS)
        self.run_until(lambda: self.quotas.callbacks)
        (exchange,) = self.frontend.active_exchanges
        exchange.dispatch()
        self.assertEqual(1, self.quotas.asked)
        self.quotas.decide(self.quotas.callbacks[0])
        self.run_until(lambda: responses)
        self.assertEqual(1, self.used())

    def test_a_limit_that_is_removed_while_a_request_waits(self):
        """Guards against requests that wait for a reply nobody needs."""
        self.add_upstream('u1', signed_response)
        self.quotas.decides = False
        _, responses = self.start('/read/x', fields=FIELDS)
        self.run_until(lambda: self.quotas.callbacks)
        self.quotas.limited = set()
        self.quotas.callbacks[0](QuotaDecision(QuotaAction.SEND))
        self.run_until(lambda: responses)
        self.assertEqual(200, responses[0][0])

    def test_a_denial_after_the_request_was_sent(self):
        """Guards against REFUSED: a 429 for a request that runs."""
        upstream = self.add_upstream('u1', lambda i: 'no_response')
        self.quotas.decides = False
        _, responses = self.start('/write/x', body=b'x', fields=FIELDS)
        self.run_until(lambda: self.quotas.callbacks)
        (exchange,) = self.frontend.active_exchanges
        # Another wait of the request ends once the limit is removed.
        self.quotas.limited = set()
        exchange.dispatch()
        self.run_until(lambda: upstream.requests)
        self.quotas.callbacks[0](QuotaDecision(QuotaAction.REFUSE))
        self.loop.run_until(lambda: responses, 0.1)
        self.assertEqual([], responses)
        upstream.last_conn.conn.write(signed_response('r1'))
        self.run_until(lambda: responses)
        self.assertEqual(200, responses[0][0])
