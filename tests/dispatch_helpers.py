"""A dispatcher of one upstream, over loopback."""

import random

import testtools

from bramleysill_kernel.config import manifest
from bramleysill_net.loop import Loop
from bramleysill_router.attempts import RequestHead
from bramleysill_router.dispatch_context import DispatchContext
from bramleysill_router.dispatcher import UpstreamDispatcher

TIMEOUT_SECONDS = 10.0
CHUNKED = -1


class _Agent:
    """Holds the role of every upstream under a lease that never expires."""

    name = 'r1'
    lease_deadline = float('inf')

    def may_dispatch(self, upstream):
        return True

    def generation_of(self, upstream):
        return (1, 1)


class _State:
    def __init__(self, declared):
        self.manifest = declared

    def units_of(self, upstream):
        return {}


class AttemptSink:
    """Keeps how an attempt has ended."""

    def __init__(self):
        self.status = 0
        self.size = 0
        self.ended = False
        self.refused = None

    def on_admitted(self):
        pass

    def on_drain(self):
        pass

    def on_response_head(self, status, fields, length):
        self.status = status

    def on_response_body(self, data):
        self.size += len(data)

    def on_response_end(self):
        self.ended = True

    def on_refused(self, refusal):
        self.refused = refusal


class DispatchTestCase(testtools.TestCase):
    """Base of tests that send requests through a dispatcher."""

    def setUp(self):
        super().setUp()
        self.loop = Loop()

    def dispatch_to(self, listener):
        """Create the dispatcher of the upstream at a listener."""
        self.addCleanup(listener.close)
        service = manifest.Service('s', manifest.KIND_SHARED, '/s/')
        declared = manifest.Upstream('u1', 's', 'a', *listener.address)
        service.upstreams.append(declared)
        found = manifest.Manifest(
            'r', 'c', services={'s': service}, upstreams={'u1': declared}
        )
        self.dispatcher_state = _State(found)
        context = DispatchContext(
            self.loop,
            random.Random(1),
            _Agent(),
            self.dispatcher_state,
            lambda message: None,
            None,
        )
        self.dispatcher = UpstreamDispatcher(context, declared, service)
        self.addCleanup(self.dispatcher.close)

    def submit(self, length=0, method='POST', timeout_seconds=60.0):
        """Start a request; return its attempt and AttemptSink."""
        deadline = self.loop.now() + timeout_seconds
        head = RequestHead(
            'id-1', 's', 'u1', '', 0, method, '/s/k', [], length,
            deadline, False, 'c', 1, '', 'k',
        )  # fmt: skip
        sink = AttemptSink()
        return self.dispatcher.submit(head, sink), sink

    def wait_for(self, done):
        """Run the loop until `done()` is true."""
        self.assertTrue(self.loop.run_until(done, TIMEOUT_SECONDS))
