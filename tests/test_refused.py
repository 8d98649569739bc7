"""Tests that a caller is told "not run" only of a request that has not run."""

from bramleysill_kernel.common import messages
from bramleysill_kernel.common import refusals
from bramleysill_kernel.load.rate_pacer import PaceDecision
from bramleysill_kernel.ranges.key_ranges import Assignment
from tests.gateway_helpers import NOT_RUN_LINE
from tests.gateway_helpers import TIMEOUT_SECONDS
from tests.gateway_helpers import GatewayTestCase
from tests.gateway_helpers import signed_response
from tests.gateway_helpers import unsigned_response

# How long a refusal that must not come is waited for.
SETTLE_SECONDS = 0.2
# How long keys move; longer than several waits for them.
MOVE_SECONDS = 0.2


class _HeldPacing:
    """Keeps the questions of requests until the test answers them."""

    def __init__(self):
        self.callbacks = []

    def ask(self, entry, max_wait, callback):
        self.callbacks.append(callback)


class LateLimitDecisionTest(GatewayTestCase):
    """The pacing router replies after the request has been sent."""

    def setUp(self):
        super().setUp()
        self.pacing = self.frontend.pacing = _HeldPacing()

    def _limited(self, request_id):
        return signed_response(request_id, extra='Server-Limit: 5\r\n')

    def _start_while_keys_move(self):
        """Return the responses of a request that waits for its keys.

        Each time its wait ends, it waits again, and it is dispatched for each
        of these waits once the table changes.
        """
        self.add_upstream('o1', self._limited, 'keyed')
        self.request('/keyed/x')
        self._announce_pause(fence=1)
        _, responses = self.start('/keyed/x', body=b'x')
        self.loop.run_until(lambda: self.pacing.callbacks, MOVE_SECONDS)
        self._assign('o1')
        return responses

    def _announce_pause(self, fence):
        self.announcer.on_message(
            messages.RangeNoticeList(
                'leader', 'keyed', 1, [0], [65535], [fence], [0.0]
            )
        )

    def _assign(self, upstream):
        tables = self.state.tables
        tables['keyed'] = tables['keyed'].assign(
            [Assignment(0, 65535, upstream, 1)]
        )
        self.frontend.on_tables_changed()

    def test_refused_after_it_was_sent_to_the_next_owner(self):
        """Guards against REFUSED: a 503 for a request that runs."""
        responses = self._start_while_keys_move()
        owner = self.add_upstream('o2', lambda i: 'no_response', 'keyed')
        (exchange,) = self.frontend.active_exchanges
        self.frontend.wait_for_table(exchange)
        self._assign('o2')
        self.loop.run_until(lambda: owner.requests, TIMEOUT_SECONDS)
        self.pacing.callbacks[0](PaceDecision(False, 0.5))
        self.loop.run_until(lambda: responses, SETTLE_SECONDS)
        self.assertEqual([], responses)

    def test_refused_by_the_second_of_two_decisions(self):
        """Guards against REFUSED after two questions for one request."""
        responses = self._start_while_keys_move()
        self.pacing.callbacks[0](PaceDecision(True, 0.0))
        for callback in self.pacing.callbacks[1:]:
            callback(PaceDecision(False, 0.5))
        self.loop.run_until(lambda: responses, TIMEOUT_SECONDS)
        self.assertEqual(200, responses[0][0])

    def test_waits_and_asks_once(self):
        """Guards against a question for each wait of one request."""
        responses = self._start_while_keys_move()
        (exchange,) = self.frontend.active_exchanges
        exchange.dispatch()
        self.assertEqual(1, len(self.pacing.callbacks))
        self.pacing.callbacks[0](PaceDecision(True, 0.0))
        self.loop.run_until(lambda: responses, TIMEOUT_SECONDS)

    def test_not_sent_before_its_permission(self):
        """Guards against LIMIT: a permission that is used too early."""
        responses = self._start_while_keys_move()
        (exchange,) = self.frontend.active_exchanges
        self.pacing.callbacks[0](PaceDecision(True, SETTLE_SECONDS))
        exchange.dispatch()
        self.assertIsNone(exchange.run_record.last_that_may_have_run)
        self.assertIsNone(exchange._attempt)
        self.loop.run_until(lambda: responses, TIMEOUT_SECONDS)
        self.assertEqual(200, responses[0][0])

    def test_an_ended_request_waits_no_more(self):
        """Guards against memory for requests whose keys never move on."""
        self.add_upstream('o1', signed_response, 'keyed')
        self._announce_pause(fence=1)
        _, responses = self.start('/keyed/x', left_ms=400)
        waiting = self.frontend._exchanges_awaiting_table
        self.assertTrue(self.loop.run_until(lambda: waiting, TIMEOUT_SECONDS))
        self.loop.run_until(lambda: responses, TIMEOUT_SECONDS)
        self.assertEqual({}, waiting)

    def test_not_refused_for_the_room_of_its_former_owner(self):
        """Guards against a refusal while the next owner has room."""
        responses = self._start_while_keys_move()
        self._announce_pause(fence=2)
        self.pacing.callbacks[0](PaceDecision(False, 0.5))
        self.add_upstream('o2', signed_response, 'keyed')
        self._assign('o2')
        self.loop.run_until(lambda: responses, TIMEOUT_SECONDS)
        self.assertEqual(200, responses[0][0])


class EarlierAttemptTest(GatewayTestCase):
    """An earlier attempt may have run, and a later one is refused."""

    def test_refused_after_an_earlier_attempt_ran(self):
        """Guards against REFUSED: a 503 that forgets the first attempt."""
        responses = iter((None, unsigned_response(503, NOT_RUN_LINE)))
        for name in ('u1', 'u2'):
            self.add_upstream(name, lambda i: next(responses))
        self.assertEqual(502, self.request('/read/x', body=b'')[0])


class RunningAttemptTest(GatewayTestCase):
    """A request is refused while an upstream works on it."""

    def test_refused_while_an_attempt_runs(self):
        """Guards against REFUSED from any part that refuses too late."""
        upstream = self.add_upstream('u1', lambda i: 'no_response')
        _, responses = self.start('/write/x', body=b'x')
        self.loop.run_until(lambda: upstream.requests, TIMEOUT_SECONDS)
        (exchange,) = self.frontend.active_exchanges
        exchange.refuse(refusals.Overloaded('no room', 'limit', 'u1'))
        self.loop.run_until(lambda: responses, TIMEOUT_SECONDS)
        self.assertEqual(502, responses[0][0])


class MisdirectedTest(GatewayTestCase):
    """An upstream responds 421, without the header for "not run"."""

    def test_refused_though_the_421_proves_nothing(self):
        """Guards against REFUSED and a second run after a 421."""
        upstreams = [
            self.add_upstream(name, lambda i: unsigned_response(421))
            for name in ('u1', 'u2')
        ]
        self.assertEqual(502, self.request('/write/x', body=b'x')[0])
        self.assertEqual(1, sum(len(u.requests) for u in upstreams))

    def test_refused_though_the_421_is_signed(self):
        """Guards against REFUSED: only what has run is signed."""
        line = 'X-Bramleysill-Instance-Id: u9\r\n'
        response = signed_response('r1', extra=line)
        self.add_upstream('u1', lambda i: response.replace(b'200', b'421'))
        self.assertEqual(502, self.request('/write/x', body=b'x')[0])
