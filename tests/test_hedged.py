"""Tests of hedged reads: exchange, hedged attempt and locator together."""

import random

import testtools

from bramleysill_kernel.common import refusals
from bramleysill_kernel.config import manifest
from bramleysill_kernel.load.hedging import MIN_LATENCIES
from bramleysill_net.http_server import HttpRequest
from bramleysill_router.exchange import Exchange
from bramleysill_router.hedged import HedgePolicies
from bramleysill_router.locator import SharedUpstreams
from bramleysill_router.metrics import Metrics
from bramleysill_router.routing import find_target
from tests.test_exchange import FakeLoop

USUAL_LATENCY_SECONDS = 0.01


class _Stream:
    """A caller's stream that records the response."""

    peer = '127.0.0.1:5'
    buffered = 0

    def __init__(self):
        self.started = False
        self.status = None
        self.body = b''
        self.ended = False
        self.aborted = False
        self.on_drained = None

    def start(self, status, headers, length=None):
        self.started = True
        self.status = status

    def send(self, status, headers, body=b''):
        self.status = status
        self.body = body

    def write(self, data):
        self.body += data

    def end(self):
        self.ended = True

    def abort(self):
        self.aborted = True


class _Attempt:
    """An attempt that records its cancellation."""

    buffered = 0

    def __init__(self, head, sink):
        self.head = head
        self.sink = sink
        self.cancelled = False

    def cancel(self):
        self.cancelled = True


class _Entry:
    """A fake of the entry, its locator and its retry budgets."""

    def __init__(self):
        self.loop = FakeLoop()
        self.metrics = Metrics()
        self.waiting = set()
        self.active = set()
        self.locator = self
        self.retry_budgets = self
        self.hedge_policies = HedgePolicies()
        self.attempts = []
        self.sent_to = []
        self.ended = []
        self.upstreams = ['u0', 'u1']

    def note_sent(self, service, upstream, sent_at):
        self.sent_to.append(upstream)

    def note_response_started(self, service, upstream, sent_at):
        pass

    def note_ended(
        self, service, upstream, sent_at, seconds, ok, lost_race=False
    ):
        if seconds is not None:
            seconds = round(seconds, 6)
        self.ended.append((upstream, seconds, ok))

    def note_request(self, service):
        pass

    def delay(self, service, refusal, repeatable, attempts, deadline):
        return None

    def locate(self, target, excluded):
        for name in self.upstreams:
            if name not in excluded:
                return name, '', 0, 'r1'
        raise refusals.NotDispatcher('none left', 'locate', 's')

    def submit(self, router, head, sink, body, complete):
        attempt = _Attempt(head, sink)
        self.attempts.append(attempt)
        return attempt


class HedgedTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.entry = _Entry()
        self.stream = _Stream()
        self.service = manifest.Service('s', manifest.KIND_SHARED, '/s/')
        self.service.timeout = 5.0
        self.service.hedge = True
        self.manifest = manifest.Manifest(
            'r', 'c', services={'s': self.service}
        )

    def _record_usual_latencies(self):
        policy = self.entry.hedge_policies.policy_for(
            find_target(self.manifest, self._request()), self._request()
        )
        for _ in range(MIN_LATENCIES):
            policy.note_latency(USUAL_LATENCY_SECONDS)
        return policy

    def _request(self, method='GET', length=0, fields=()):
        return HttpRequest(
            method, '/s/k', [('host', 'x'), *fields], length, False, False
        )

    def _start(self, **options):
        req = self._request(**options)
        exchange = Exchange(self.entry, self.stream, req, 'id-1')
        self.entry.active.add(exchange)
        exchange.start(find_target(self.manifest, req))
        return exchange

    def _start_both(self):
        self._record_usual_latencies()
        exchange = self._start()
        self.entry.loop.advance(2 * USUAL_LATENCY_SECONDS)
        first, second = self.entry.attempts
        return exchange, first, second

    def _respond(self, attempt, body, status=200):
        attempt.sink.on_response_head(status, [], len(body))
        attempt.sink.on_response_body(body)
        attempt.sink.on_response_end()

    def test_second_attempt_goes_to_another_upstream_and_wins(self):
        """Guards against a read that waits for a slowed upstream."""
        _, first, second = self._start_both()
        self.assertEqual('u0', first.head.upstream)
        self.assertEqual('u1', second.head.upstream)
        self._respond(second, b'two')
        self.assertEqual((200, b'two'), (self.stream.status, self.stream.body))
        self.assertTrue(self.stream.ended)

    def test_no_second_attempt_before_the_delay(self):
        """Guards against hedges of reads that get their response in time."""
        self._record_usual_latencies()
        self._start()
        self.entry.loop.advance(USUAL_LATENCY_SECONDS / 2)
        self._respond(self.entry.attempts[0], b'one')
        self.entry.loop.advance(1.0)
        self.assertEqual(1, len(self.entry.attempts))
        self.assertEqual(
            [('u0', USUAL_LATENCY_SECONDS / 2, True)], self.entry.ended
        )

    def test_no_second_attempt_once_the_response_has_started(self):
        """Guards against hedges of long downloads."""
        self._record_usual_latencies()
        self._start()
        self.entry.attempts[0].sink.on_response_head(200, [], 100)
        self.entry.loop.advance(1.0)
        self.assertEqual(1, len(self.entry.attempts))

    def test_losing_first_attempt_is_cancelled_with_its_time(self):
        """Guards against a slot that the losing attempt keeps.

        If the loser ran longer than the winner, its elapsed time must reach
        the outlier detector, and not as a failure.
        """
        _, first, second = self._start_both()
        self._respond(second, b'two')
        self.assertTrue(first.cancelled)
        self.assertFalse(second.cancelled)
        self.assertEqual(['u0', 'u1'], self.entry.sent_to)
        self.assertEqual(
            [
                ('u0', 2 * USUAL_LATENCY_SECONDS, True),
                ('u1', USUAL_LATENCY_SECONDS, True),
            ],
            self.entry.ended,
        )

    def test_losing_second_attempt_leaves_no_latency(self):
        """Guards against a short time that makes an upstream look fast."""
        _, first, second = self._start_both()
        self._respond(first, b'one')
        self.assertTrue(second.cancelled)
        self.assertEqual(
            [('u1', None, True), ('u0', 2 * USUAL_LATENCY_SECONDS, True)],
            self.entry.ended,
        )

    def test_late_response_of_the_loser_never_reaches_the_caller(self):
        """Guards against a caller that receives parts of two responses."""
        _, first, second = self._start_both()
        second.sink.on_response_head(200, [], 3)
        self._respond(first, b'one')
        first.sink.on_refused(refusals.ConnectionLost('lost', 's', 'u0'))
        second.sink.on_response_body(b'two')
        second.sink.on_response_end()
        self._respond(first, b'one')
        self.assertEqual(b'two', self.stream.body)
        self.assertTrue(self.stream.ended)
        self.assertFalse(self.stream.aborted)

    def test_refusal_waits_for_the_other_attempt(self):
        """Guards against a refusal while the other attempt may succeed."""
        _, first, second = self._start_both()
        first.sink.on_refused(refusals.ConnectionLost('lost', 's', 'u0'))
        self.assertIsNone(self.stream.status)
        self._respond(second, b'two')
        self.assertEqual((200, b'two'), (self.stream.status, self.stream.body))

    def test_both_refused_is_unknown_if_either_may_have_run(self):
        """Guards against reporting not_run if an attempt may have run."""
        _, first, second = self._start_both()
        first.sink.on_refused(refusals.ConnectionLost('lost', 's', 'u0'))
        second.sink.on_refused(refusals.UpstreamShed('shed', 's', 'u1'))
        self.assertIn(b'"outcome":"unknown"', self.stream.body)
        self.assertEqual(
            [('u0', False), ('u1', False)],
            [(name, ok) for name, _, ok in self.entry.ended],
        )

    def test_both_refused_without_running_is_not_run(self):
        """Guards against an unknown outcome if no attempt has run."""
        _, first, second = self._start_both()
        first.sink.on_refused(refusals.UpstreamShed('shed', 's', 'u0'))
        second.sink.on_refused(refusals.UpstreamShed('shed', 's', 'u1'))
        self.assertIn(b'"outcome":"not_run"', self.stream.body)

    def test_refusal_before_the_delay_stops_the_hedge(self):
        """Guards against a second attempt of a request that has ended."""
        self._record_usual_latencies()
        self._start()
        sink = self.entry.attempts[0].sink
        sink.on_refused(refusals.UpstreamShed('shed', 's', 'u0'))
        self.entry.loop.advance(1.0)
        self.assertEqual(1, len(self.entry.attempts))

    def test_failure_status_does_not_win_over_an_open_attempt(self):
        """Guards against a fast 500 that hides a successful response."""
        _, first, second = self._start_both()
        self._respond(second, b'bad', 500)
        self.assertTrue(second.cancelled)
        self._respond(first, b'one')
        self.assertEqual((200, b'one'), (self.stream.status, self.stream.body))

    def test_refusal_after_a_dropped_failure_status_is_unknown(self):
        """Guards against reporting not_run after a response with 500."""
        _, first, second = self._start_both()
        second.sink.on_response_head(500, [], 0)
        first.sink.on_refused(refusals.UpstreamShed('shed', 's', 'u0'))
        self.assertIn(b'"outcome":"unknown"', self.stream.body)

    def test_failure_status_of_the_only_attempt_is_forwarded(self):
        """Guards against a caller that waits after the only attempt failed."""
        self._record_usual_latencies()
        self._start()
        self._respond(self.entry.attempts[0], b'bad', 500)
        self.assertEqual((500, b'bad'), (self.stream.status, self.stream.body))

    def test_incomplete_response_of_the_winner_closes_the_connection(self):
        """Guards against a partial response that looks complete."""
        _, _, second = self._start_both()
        second.sink.on_response_head(200, [], 100)
        second.sink.on_refused(refusals.ConnectionLost('lost', 's', 'u1'))
        self.assertTrue(self.stream.aborted)

    def test_disconnected_caller_cancels_both(self):
        """Guards against slots that a disconnected caller keeps."""
        exchange, first, second = self._start_both()
        exchange.on_abort(None)
        self.assertTrue(first.cancelled)
        self.assertTrue(second.cancelled)
        self.assertEqual(2, len(self.entry.ended))
        self._respond(second, b'two')
        self.assertFalse(self.stream.started)

    def test_caller_disconnected_before_the_delay_gets_no_hedge(self):
        """Guards against a hedge for a caller that has disconnected."""
        self._record_usual_latencies()
        exchange = self._start()
        exchange.on_abort(None)
        self.entry.loop.advance(1.0)
        self.assertEqual(1, len(self.entry.attempts))

    def test_deadline_cancels_both(self):
        """Guards against attempts that outlive their request."""
        _, first, second = self._start_both()
        self.entry.loop.advance(6.0)
        self.assertTrue(first.cancelled)
        self.assertTrue(second.cancelled)
        self.assertEqual(504, self.stream.status)
        self.assertIn(b'"outcome":"unknown"', self.stream.body)

    def test_exhausted_budget_sends_no_second_attempt(self):
        """Guards against doubled load when all upstreams are slow."""
        policy = self._record_usual_latencies()
        policy.tokens = 0.0
        self._start()
        self.entry.loop.advance(1.0)
        self.assertEqual(1, len(self.entry.attempts))

    def test_no_second_attempt_without_another_upstream(self):
        """Guards against a hedge at the upstream that is already slow."""
        self.entry.upstreams = ['u0']
        self._record_usual_latencies()
        self._start()
        self.entry.loop.advance(1.0)
        self.assertEqual(1, len(self.entry.attempts))
        self._respond(self.entry.attempts[0], b'one')
        self.assertEqual(b'one', self.stream.body)

    def test_unsafe_requests_are_not_hedged(self):
        """Guards against a request that runs twice without being safe."""
        cases = (
            {'method': 'POST'},
            {'method': 'DELETE'},
            {'method': 'OPTIONS'},
            {'fields': [('sill-repeatable', 'no')]},
            {'fields': [('idempotency-key', 'k1')]},
        )
        self._record_usual_latencies()
        for options in cases:
            self.entry.attempts.clear()
            self._start(**options)
            self.entry.loop.advance(1.0)
            self.assertEqual(1, len(self.entry.attempts), options)

    def test_get_with_a_body_is_not_hedged(self):
        """Guards against two attempts that share one streamed body."""
        self._record_usual_latencies()
        exchange = self._start(length=3)
        exchange.on_body(b'abc')
        exchange.on_end()
        self.entry.loop.advance(1.0)
        self.assertEqual(1, len(self.entry.attempts))

    def test_head_carries_the_route(self):
        """Guards against mixing the latencies of different routes."""
        route = manifest.Route('reads', 's', ('GET',))
        self.service.routes.append(route)
        self._start()
        self.assertEqual('reads', self.entry.attempts[0].head.route)

    def test_services_without_hedge_and_keyed_ones_are_not_hedged(self):
        """Guards against hedges that the manifest does not allow."""
        self._record_usual_latencies()
        req = self._request()
        target = find_target(self.manifest, req)
        self.service.hedge = False
        self.assertIsNone(self.entry.hedge_policies.policy_for(target, req))
        self.service.hedge = True
        self.assertIsNotNone(self.entry.hedge_policies.policy_for(target, req))
        self.service.kind = manifest.KIND_KEYED
        self.assertIsNone(self.entry.hedge_policies.policy_for(target, req))


class SharedUpstreamsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = FakeLoop()
        service = manifest.Service('s', manifest.KIND_SHARED, '/s/')
        self.upstreams = SharedUpstreams(service, self.clock, random.Random(1))
        self.names = [f'u{i}' for i in range(6)]
        self.upstreams.set_upstreams(
            [manifest.Upstream(n, 's', 'fd', 'h', 1) for n in self.names]
        )
        for _ in range(20):
            for name in self.names:
                sent_at = self.clock.now()
                self.upstreams.note_sent(name, sent_at)
                self.upstreams.note_ended(
                    name, sent_at, USUAL_LATENCY_SECONDS, True
                )

    def _tick_for(self, seconds):
        for _ in range(int(seconds / 0.05)):
            self.clock.advance(0.05)
            self.upstreams.tick()

    def _picks(self):
        return {self.upstreams.pick(()) for _ in range(200)}

    def test_frozen_upstream_is_avoided_before_any_response(self):
        """Guards against requests to an upstream that has stopped."""
        self.upstreams.note_sent('u0', self.clock.now())
        self._tick_for(0.2)
        self.assertEqual(set(self.names[1:]), self._picks())

    def _eject_and_wait_for_trial(self):
        sent_at = self.clock.now()
        self.upstreams.note_sent('u0', sent_at)
        self._tick_for(0.2)
        self.upstreams.note_ended('u0', sent_at, 0.2, True)
        self._tick_for(0.5)

    def test_second_attempt_is_not_a_trial(self):
        """Guards against a hedge that waits for another slow upstream.

        In bench.stragglers, both attempts were trials of the two slowed
        upstreams, and the caller waited for ten service times.
        """
        self._eject_and_wait_for_trial()
        self.assertNotIn(
            'u0', {self.upstreams.pick(('u1',)) for _ in range(200)}
        )
        self.assertEqual('u0', self.upstreams.pick(()))

    def test_trial_that_lost_the_race_is_not_a_success(self):
        """Guards against a slow upstream that is readmitted.

        The time until a trial was cancelled was below the limit for
        readmission, although the upstream had not responded.
        """
        service = manifest.Service('s', manifest.KIND_SHARED, '/s/')
        service.balancer = 'random'
        self.upstreams.apply_service(service)
        self._eject_and_wait_for_trial()
        for _ in range(20):
            sent_at = self.clock.now()
            if self.upstreams.pick(()) == 'u0':
                self.upstreams.note_sent('u0', sent_at)
                self.upstreams.note_ended(
                    'u0', sent_at, USUAL_LATENCY_SECONDS, True, lost_race=True
                )
            self._tick_for(0.5)
        self.upstreams.pick(())
        self.assertNotIn('u0', {self.upstreams.pick(()) for _ in range(200)})

    def test_changed_balancer_takes_effect(self):
        """Guards against a new manifest that has no effect.

        The balancer of the first manifest was used until the router
        restarted.
        """
        service = manifest.Service('s', manifest.KIND_SHARED, '/s/')
        service.balancer = 'round_robin'
        self.upstreams.apply_service(service)
        chosen = [self.upstreams.pick(()) for _ in range(12)]
        self.assertEqual(chosen[:6], chosen[6:])
        self.assertEqual(self.names, sorted(chosen[:6]))

    def test_long_transfers_do_not_eject_their_upstream(self):
        """Guards against the ejection of an upstream in a long transfer."""
        sent_at = self.clock.now()
        self.upstreams.note_sent('u0', sent_at)
        self.upstreams.note_response_started('u0', sent_at)
        self.upstreams.note_sent('u1', None)
        self._tick_for(1.0)
        self.assertEqual(set(self.names), self._picks())

    def test_ended_attempt_no_longer_counts_as_unanswered(self):
        """Guards against an upstream that an ended attempt keeps ejected."""
        sent_at = self.clock.now()
        self.upstreams.note_sent('u0', sent_at)
        self.upstreams.note_ended('u0', sent_at, None, True)
        self._tick_for(1.0)
        self.assertEqual(set(self.names), self._picks())
