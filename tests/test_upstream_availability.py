"""Tests of upstreams that say that they leave, or that they want no requests.

An upstream that leaves says so in its responses, and one that refuses a
request may name the time until when it wants no others.
"""

import heapq
import random

import testtools

from bramleysill_gateway.departures import REPEAT_INTERVAL_SECONDS
from bramleysill_gateway.departures import Departures
from bramleysill_kernel.common import messages
from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.config.routing_config import Repeatability
from bramleysill_kernel.config.routing_config import Route
from bramleysill_kernel.discovery.upstream_directory import UpstreamDirectory
from bramleysill_kernel.load.retry_rules import MIN_ATTEMPT_SECONDS
from bramleysill_kernel.load.send_policy import Action
from bramleysill_kernel.load.send_policy import decide
from bramleysill_kernel.load.upstream_load import ServiceTime
from bramleysill_kernel.load.upstream_load import UpstreamLoad
from bramleysill_platform import upstream_calls
from tests.bounds import make_timings
from tests.gateway_helpers import NOT_RUN_LINE
from tests.gateway_helpers import GatewayTestCase
from tests.gateway_helpers import signed_response
from tests.gateway_helpers import unsigned_response
from tests.range_fakes import SERVICE
from tests.range_fakes import make_entry

LEAVING_LINE = 'Server-Leaving: 1\r\n'
TIMINGS = make_timings()


def _refusal(seconds):
    return unsigned_response(503, f'{NOT_RUN_LINE}Retry-After: {seconds}\r\n')


class DirectoryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.directory = UpstreamDirectory(self.clock, TIMINGS)
        for name in ('u1', 'u2'):
            self.directory.put(make_entry(name))

    def _usable(self):
        return [e.upstream for e in self.directory.usable(SERVICE)]

    def test_a_departure_counts_whatever_the_store_says(self):
        """Guards against requests beyond the time of a drain (DRAIN)."""
        self.assertTrue(self.directory.note_departure('u1', 1))
        self.assertFalse(self.directory.note_departure('u1', 1))
        self.directory.put(make_entry('u1'))
        self.assertEqual(['u2'], self._usable())
        self.assertIsNotNone(self.directory.owner_entry('u1', 1))
        self.clock.advance(TIMINGS.leaving_grace)
        self.assertIsNone(self.directory.owner_entry('u1', 1))

    def test_the_next_process_is_free_of_it(self):
        """Guards against an upstream that is unused after its restart."""
        self.directory.note_departure('u1', 1)
        self.directory.put(make_entry('u1', incarnation=2))
        self.assertEqual({'u1', 'u2'}, set(self._usable()))
        self.assertFalse(self.directory.note_departure('u1', 1))
        self.assertEqual({'u1', 'u2'}, set(self._usable()))

    def test_departures_are_forgotten_with_their_process(self):
        """Guards against a set that grows with each release."""
        self.directory.note_departure('u1', 1)
        self.directory.remove('u1')
        self.clock.advance(60.0)
        self.directory.tick()
        self.assertEqual(set(), self.directory.departures())
        self.assertFalse(self.directory.note_departure('u1', 1))


class _State:
    def __init__(self, clock):
        self.directory = UpstreamDirectory(clock, TIMINGS)
        self.directory.put(make_entry('u1'))


class _Links:
    def __init__(self):
        self.reachable = True
        self.sent = []
        self.broadcasts = []

    def send(self, router, message):
        if self.reachable:
            self.sent.append((router, message))
        return self.reachable

    def broadcast(self, message):
        self.broadcasts.append(message)


class DeparturesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.state = _State(self.clock)
        self.departures = Departures(self.clock, 'r1', self.state)
        self.links = self.departures.links = _Links()
        self.rows = [messages.DepartureRow('u1', 1)]

    def test_the_leader_is_told_once(self):
        """Guards against keys that stay until the store tells."""
        self.departures.observe(make_entry('u1'))
        self.departures.observe(make_entry('u1'))
        self.links.reachable = False
        self.departures.exchange_reports('r9')
        self.links.reachable = True
        for _ in range(3):
            self.departures.exchange_reports('r9')
        ((leader, message),) = self.links.sent
        self.assertEqual(('r9', self.rows), (leader, message.rows))

    def test_the_leader_tells_all_and_repeats_it(self):
        """Guards against a router that starts later and is not told."""
        self.departures.exchange_reports('r1')
        self.departures.on_message(
            messages.UpstreamDepartures('r2', self.rows)
        )
        self.departures.exchange_reports('r1')
        self.departures.exchange_reports('r1')
        self.assertEqual([self.rows], [m.rows for m in self.links.broadcasts])
        self.clock.advance(REPEAT_INTERVAL_SECONDS)
        self.departures.exchange_reports('r1')
        self.assertEqual(2, len(self.links.broadcasts))


class LeavingUpstreamTest(GatewayTestCase):
    def _leaving(self, request_id):
        return signed_response(request_id, extra=LEAVING_LINE)

    def test_no_request_follows_the_response(self):
        """Guards against DRAIN when the store does not tell of it."""
        leaving = self.add_upstream('u1', self._leaving)
        other = self.add_upstream('u2', signed_response)
        for _ in range(6):
            self.assertEqual(200, self.request('/read/x')[0])
        self.assertLessEqual(len(leaving.requests), 1)
        self.assertGreaterEqual(len(other.requests), 5)

    def test_a_refusal_tells_it_too(self):
        """Guards against reading the header in successes only."""
        refusal = unsigned_response(503, NOT_RUN_LINE + LEAVING_LINE)
        leaving = self.add_upstream('u1', lambda i: refusal)
        self.add_upstream('u2', signed_response)
        for _ in range(6):
            self.assertEqual(200, self.request('/read/x')[0])
        self.assertLessEqual(len(leaving.requests), 1)

    def test_another_process_at_the_address_does_not_count(self):
        """Guards against an upstream that is unused for another's words."""
        other = 'X-Bramleysill-Instance-Id: u9\r\n' + LEAVING_LINE
        self.add_upstream('u1', lambda i: unsigned_response(421, other))
        self.request('/write/x')
        self.assertEqual(set(), self.state.directory.departures())


class RetryAfterTest(GatewayTestCase):
    def test_an_owner_is_left_alone(self):
        """Guards against BUDGET: requests while the owner wants none."""
        upstream = self.add_upstream('u1', lambda i: _refusal(30), 'keyed')
        status, headers, _ = self.request('/keyed/x')
        self.assertEqual(503, status)
        for _ in range(5):
            status, headers, _ = self.request('/keyed/x', left_ms=1500)
        self.assertEqual((503, 1), (status, len(upstream.requests)))
        self.assertGreater(float(headers['retry-after']), 0.4)

    def test_a_request_waits_if_it_can_still_be_served(self):
        """Guards against refusing what can be served in time."""
        responses = [_refusal(0.2), signed_response('r1')]
        upstream = self.add_upstream(
            'u1',
            lambda i: responses[min(1, len(upstream.requests) - 1)],
            'keyed',
        )
        self.assertEqual(200, self.request('/keyed/x', body=b'x')[0])
        self.assertEqual(2, len(upstream.requests))

    def test_a_shared_upstream_is_passed_by(self):
        """Guards against refusals while another upstream has room."""
        closed = self.add_upstream('u1', lambda i: _refusal(30))
        self.add_upstream('u2', signed_response)
        for _ in range(6):
            self.assertEqual(200, self.request('/read/x')[0])
        self.assertLessEqual(len(closed.requests), 1)

    def test_bad_values_are_ignored_or_cut(self):
        """Guards against an upstream that is never used again."""
        for value in ('-1', 'nan', 'soon', 'Fri, 31 Dec 2027 23:59:59 GMT'):
            self.assertIsNone(upstream_calls.parse_retry_after(value))
        self.assertEqual(0.25, upstream_calls.parse_retry_after('0.25'))
        for value in ('7200', 'inf', '1e300'):
            self.assertEqual(60.0, upstream_calls.parse_retry_after(value))


class ClosedOwnerLoadTest(testtools.TestCase):
    """Replays a hot key whose owner turns every router away for a time."""

    ROUTERS = 12
    CLOSED_SECONDS = 2.0

    def setUp(self):
        super().setUp()
        self.route = Route(
            'r', 'h', '/', Repeatability.IDEMPOTENT, 3.0, 0.8, 1, 2, []
        )
        rng = random.Random(3)
        self.loads = [
            UpstreamLoad(4, ServiceTime(0.1)) for _ in range(self.ROUTERS)
        ]
        for load in self.loads:
            load.note_retry_after(self.CLOSED_SECONDS + rng.uniform(0.0, 0.3))
        self.sent = []
        self.refused_after = []
        self.arrivals = [(rng.uniform(0.0, 3.0), i) for i in range(1200)]

    def _play(self):
        """Decide on each request; one that waits is decided on again."""
        heapq.heapify(self.arrivals)
        started = {}
        while self.arrivals:
            now, number = heapq.heappop(self.arrivals)
            start = started.setdefault(number, now)
            load = self.loads[number % self.ROUTERS]
            decision = decide(load, now, start + 3.0 - now, self.route)
            if decision.action is Action.WAIT:
                heapq.heappush(
                    self.arrivals, (now + decision.retry_after, number)
                )
            elif decision.action is Action.SEND:
                self.sent.append(now)
                load.in_flight += 1
            else:
                self.refused_after.append(now - start)

    def test_nothing_is_sent_before_its_time(self):
        """Guards against BUDGET and against refusals after a wait.

        A request that can't be served after the wait is refused at once.
        """
        self._play()
        self.assertGreaterEqual(min(self.sent), self.CLOSED_SECONDS)
        before = [s for s in self.refused_after if s < MIN_ATTEMPT_SECONDS]
        self.assertGreater(len(before), len(self.refused_after) // 2)
        # The routers come back one after another.
        first = self.CLOSED_SECONDS + 0.05
        early = sum(1 for at in self.sent if at < first)
        self.assertLess(early, len(self.sent) / 2)
