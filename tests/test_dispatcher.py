"""Tests of the dispatcher of one upstream."""

import random

import testtools

from bramleysill_kernel.config import manifest
from bramleysill_router.attempts import RequestHead
from bramleysill_router.dispatch_context import DispatchContext
from bramleysill_router.dispatcher import UpstreamDispatcher
from tests.test_exchange import FakeLoop


class _Agent:
    """Holds the role of every upstream under a lease that never expires."""

    name = 'r1'
    lease_deadline = float('inf')

    def __init__(self):
        self.allowed = True

    def may_dispatch(self, upstream):
        return self.allowed

    def generation_of(self, upstream):
        return (1, 1)


class _State:
    """A router's state with a manifest and without ownership tables."""

    def __init__(self, found):
        self.manifest = found

    def units_of(self, upstream):
        return {}


class _Sink:
    """Keeps the refusal of an attempt."""

    def __init__(self):
        self.refused = None

    def on_admitted(self):
        pass

    def on_refused(self, refusal):
        self.refused = refusal


class _Conn:
    """A connection that records what is sent and never responds."""

    buffered = 0
    sent_bytes = 1

    def __init__(self):
        self.data = b''

    def request(self, data, sink, head_only=False, complete=True):
        self.data += data
        self.sink = sink

    def end_request(self):
        pass

    def abort(self):
        pass


class UpstreamDispatcherTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        service = manifest.Service('s', manifest.KIND_SHARED, '/s/')
        upstream = manifest.Upstream('u1', 's', 'a', '127.0.0.1', 1)
        service.upstreams.append(upstream)
        declared = manifest.Manifest(
            'r', 'c', services={'s': service}, upstreams={'u1': upstream}
        )
        self.agent = _Agent()
        self.loop = FakeLoop()
        context = DispatchContext(
            self.loop,
            random.Random(1),
            self.agent,
            _State(declared),
            lambda message: None,
            None,
        )
        self.dispatcher = UpstreamDispatcher(context, upstream, service)
        self.conns = []
        self.sweeps = 0
        self.closes = 0
        self.dispatcher._pool = self
        self.dispatcher._control = self

    # The fake pool and the fake control calls.

    def take(self):
        self.conns.append(_Conn())
        return self.conns[-1]

    def sweep(self):
        self.sweeps += 1

    def close(self):
        self.closes += 1

    def cancel(self, request_id, done):
        pass

    def probe(self, done):
        pass

    def _submit(self, number, key=''):
        head = RequestHead(
            f'id-{number}', 's', 'u1', '', 0, 'POST', '/s/k', [], 0,
            self.loop.now() + 5.0, False, 'c', 1, key, 'k',
        )  # fmt: skip
        sink = _Sink()
        return self.dispatcher.submit(head, sink), sink

    def test_idle_connections_of_both_pools_are_closed(self):
        """Guards against idle connections for control calls that stay open.

        The fake is both the pool for requests and the one for control calls.
        """
        self.dispatcher.tick()
        self.assertEqual(2, self.sweeps)
        self.dispatcher.close()
        self.assertEqual(2, self.closes)

    def test_key_of_a_cancelled_queued_request_can_be_used_again(self):
        """Guards against an idempotency key that stays in progress forever.

        A caller disconnected while its request was queued, and every retry
        was refused as in progress although nothing had been sent.
        """
        self._submit(1, 'first')
        queued, _ = self._submit(2, 'second')
        self.assertEqual(1, len(self.conns))
        queued.cancel()
        _, sink = self._submit(3, 'second')
        self.assertIsNone(sink.refused)

    def test_key_of_a_cancelled_running_request_stays_unknown(self):
        """Guards against a request that runs twice after a cancellation."""
        running, _ = self._submit(1, 'first')
        running.cancel()
        _, sink = self._submit(2, 'first')
        self.assertEqual('key_outcome_unknown', sink.refused.code)
        self.assertEqual('unknown', sink.refused.outcome)

    def test_running_key_is_in_progress(self):
        """Guards against a retry that runs in parallel with the first."""
        self._submit(1, 'first')
        _, sink = self._submit(2, 'first')
        self.assertEqual('key_in_progress', sink.refused.code)

    def test_expired_lease_refuses_queued_requests(self):
        """Guards against sending queued requests after the role has ended."""
        self._submit(1)
        _, queued = self._submit(2)
        self.agent.allowed = False
        self.dispatcher.tick()
        self.assertEqual('no_authority', queued.refused.code)
        self.assertEqual('not_run', queued.refused.outcome)
        self.assertEqual(1, len(self.conns))
