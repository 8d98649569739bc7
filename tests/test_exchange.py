"""Tests of a caller's request over its attempts."""

import heapq

import testtools

from bramleysill_kernel.common import refusals
from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.config import manifest
from bramleysill_net.http_server import HttpRequest
from bramleysill_router.exchange import REPLAY_BUFFER_BYTES
from bramleysill_router.exchange import Exchange
from bramleysill_router.hedged import HedgePolicies
from bramleysill_router.metrics import Metrics
from bramleysill_router.routing import find_target


class _Timer:
    def __init__(self, callback):
        self.callback = callback

    def cancel(self):
        self.callback = None


class FakeLoop(ManualClock):
    """A loop whose timers run when the clock is advanced."""

    def __init__(self):
        super().__init__()
        self.scheduler = self
        self._timers = []

    def call_at(self, deadline, callback):
        timer = _Timer(callback)
        entry = (deadline, len(self._timers), timer)
        heapq.heappush(self._timers, entry)
        return timer

    def advance(self, seconds):
        until = self.now() + seconds
        while self._timers and self._timers[0][0] <= until:
            deadline, _, timer = heapq.heappop(self._timers)
            super().advance(max(0.0, deadline - self.now()))
            if timer.callback is not None:
                timer.callback()
        super().advance(until - self.now())


class RecordingStream:
    """A caller's stream that records how it was used."""

    peer = '127.0.0.1:5'
    buffered = 0

    def __init__(self):
        self.started = False
        self.sent = None
        self.ended = False
        self.paused = False
        self.aborted = False
        self.on_drained = None

    def start(self, status, headers, length=None):
        self.started = True
        self.sent = status

    def send(self, status, headers, body=b''):
        self.sent = (status, dict(headers), body)

    def write(self, data):
        pass

    def end(self):
        self.ended = True

    def abort(self):
        self.aborted = True

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False


class _Attempt:
    """An attempt that records its body and its cancellation."""

    buffered = 0

    def __init__(self, head, body, complete):
        self.head = head
        self.body = body
        self.complete = complete
        self.cancelled = False

    def write(self, data):
        self.body += data

    def end(self):
        self.complete = True

    def cancel(self):
        self.cancelled = True


class RecordingEntry:
    """A fake of the entry, the locator and the retry budgets."""

    def __init__(self):
        self.loop = FakeLoop()
        self.metrics = Metrics()
        self.waiting = set()
        self.active = set()
        self.locator = self
        self.retry_budgets = self
        self.hedge_policies = HedgePolicies()
        self.attempts = []
        self.during_submit = None
        self.allowed_retries = 1

    def note_sent(self, service, upstream, sent_at):
        pass

    def note_response_started(self, service, upstream, sent_at):
        pass

    def note_ended(self, service, upstream, sent_at, seconds, ok):
        pass

    def note_request(self, service):
        pass

    def delay(self, service, refusal, repeatable, attempts, deadline):
        if refusal.outcome != 'not_run' and not repeatable:
            return None
        if attempts > self.allowed_retries:
            return None
        return 0.01

    def locate(self, target, excluded):
        return f'u{len(self.attempts)}', '', 0, 'r1'

    def submit(self, router, head, sink, body, complete):
        attempt = _Attempt(head, body, complete)
        self.attempts.append(attempt)
        if self.during_submit is not None:
            self.during_submit(sink)
        return attempt


class ExchangeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.entry = RecordingEntry()
        self.stream = RecordingStream()
        service = manifest.Service('s', manifest.KIND_SHARED, '/s/')
        service.timeout = 5.0
        service.max_body_bytes = 10 * REPLAY_BUFFER_BYTES
        self.manifest = manifest.Manifest('r', 'c', services={'s': service})

    def _start(self, method='GET', length=0, chunked=False):
        headers = [('host', 'x')]
        req = HttpRequest(method, '/s/k', headers, length, chunked, False)
        exchange = Exchange(self.entry, self.stream, req, 'id-1')
        self.entry.active.add(exchange)
        exchange.start(find_target(self.manifest, req))
        return exchange

    def test_admission_during_submit_is_not_missed(self):
        """Guards against a body that stalls at a local dispatcher.

        It happened if the dispatcher admitted the request before submit
        returned: the rest of the body was never sent.
        """
        self.entry.during_submit = lambda sink: sink.on_admitted()
        exchange = self._start('POST', 3 * REPLAY_BUFFER_BYTES)
        exchange.on_body(b'x' * REPLAY_BUFFER_BYTES)
        exchange.on_body(b'y' * REPLAY_BUFFER_BYTES)
        exchange.on_body(b'z' * REPLAY_BUFFER_BYTES)
        exchange.on_end()
        attempt = self.entry.attempts[0]
        self.assertEqual(3 * REPLAY_BUFFER_BYTES, len(attempt.body))
        self.assertTrue(attempt.complete)
        self.assertFalse(self.stream.paused)

    def test_body_that_ends_before_admission_is_ended(self):
        """Guards against a chunked upload that is never ended."""
        exchange = self._start('POST', chunked=True)
        exchange.on_body(b'x' * REPLAY_BUFFER_BYTES)
        exchange.on_end()
        self.assertFalse(self.entry.attempts[0].complete)
        exchange.on_admitted()
        self.assertTrue(self.entry.attempts[0].complete)

    def test_refusal_during_submit_ends_the_attempt(self):
        """Guards against body bytes that are written to an ended attempt."""
        refusal = refusals.UpstreamShed('shed', 's', 'u', retry_after=1)
        self.entry.during_submit = lambda sink: sink.on_refused(refusal)
        exchange = self._start()
        self.entry.during_submit = None
        self.entry.loop.advance(0.02)
        self.assertEqual(2, len(self.entry.attempts))
        exchange.on_response_head(200, [], 0)
        exchange.on_response_end()
        self.assertTrue(self.stream.ended)

    def test_body_is_sent_again_after_not_run(self):
        """Guards against a retry that loses the body."""
        exchange = self._start('POST', 5)
        exchange.on_body(b'hello')
        exchange.on_end()
        exchange.on_refused(refusals.UpstreamShed('shed', 's', 'u'))
        self.entry.loop.advance(0.02)
        bodies = [a.body for a in self.entry.attempts]
        self.assertEqual([b'hello', b'hello'], bodies)

    def test_unknown_outcome_of_a_post_is_not_repeated(self):
        """Guards against a POST that runs twice."""
        exchange = self._start('POST', 5)
        exchange.on_body(b'hello')
        exchange.on_end()
        exchange.on_refused(refusals.ConnectionLost('lost', 's', 'u'))
        self.entry.loop.advance(1.0)
        self.assertEqual(1, len(self.entry.attempts))
        status, _, body = self.stream.sent
        self.assertEqual(502, status)
        self.assertIn(b'"outcome":"unknown"', body)

    def test_retry_does_not_hide_an_unknown_outcome(self):
        """Guards against reporting not_run if an earlier attempt may have run.

        In the demo, a lookup lost its link after it had run, and the retry
        was refused with not_dispatcher and outcome not_run.
        """
        exchange = self._start()
        exchange.on_refused(refusals.ConnectionLost('lost', 's', 'u'))
        self.entry.loop.advance(0.02)
        exchange.on_refused(refusals.UpstreamShed('shed', 's', 'u'))
        status, _, body = self.stream.sent
        self.assertIn(b'"outcome":"unknown"', body)
        # 503 would promise that the request has not run.
        self.assertEqual(502, status)

    def test_incomplete_response_closes_the_connection(self):
        """Guards against a partial response that looks complete."""
        exchange = self._start()
        exchange.on_response_head(200, [], 100)
        exchange.on_response_body(b'part')
        exchange.on_refused(refusals.ConnectionLost('lost', 's', 'u'))
        self.assertTrue(self.stream.aborted)

    def test_oversized_body_during_a_response_closes_the_connection(self):
        """Guards against a caller that waits for the rest for ever."""
        exchange = self._start('POST', chunked=True)
        exchange.on_body(b'x' * REPLAY_BUFFER_BYTES)
        exchange.on_admitted()
        exchange.on_response_head(200, [], 100)
        exchange.on_body(b'x' * (10 * REPLAY_BUFFER_BYTES))
        self.assertTrue(self.entry.attempts[0].cancelled)
        self.assertTrue(self.stream.aborted)

    def test_disconnected_caller_cancels_its_attempt(self):
        """Guards against a slot that a disconnected caller keeps."""
        exchange = self._start()
        exchange.on_abort(None)
        self.assertTrue(self.entry.attempts[0].cancelled)
        self.assertEqual(set(), self.entry.active)

    def test_late_response_after_the_deadline_is_dropped(self):
        """Guards against a response that reaches the next request."""
        exchange = self._start()
        self.entry.loop.advance(6.0)
        status, _, body = self.stream.sent
        self.assertEqual(504, status)
        self.assertIn(b'"outcome":"unknown"', body)
        exchange.on_response_head(200, [], 0)
        exchange.on_response_end()
        self.assertFalse(self.stream.started)

    def test_request_of_a_moving_key_is_held_then_refused_as_not_run(self):
        """Guards against a refusal in a short move and a hold without end."""
        moving = refusals.OwnerMoving('moving', 's', 'u', retry_after=1)
        self.entry.during_submit = lambda sink: sink.on_refused(moving)
        self._start()
        self.entry.loop.advance(1.9)
        self.assertIsNone(self.stream.sent)
        self.entry.loop.advance(0.3)
        status, headers, body = self.stream.sent
        self.assertEqual((503, '1'), (status, headers['Retry-After']))
        self.assertIn(b'"outcome":"not_run"', body)
