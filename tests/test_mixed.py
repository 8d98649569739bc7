"""Tests that a broken-off response never looks complete to a caller.

A response without a length ends with its connection. If the upstream breaks
it off while the upload is still being written, the error of the connection may
be reported to the write only, and the read then finds a clean end.
"""

import itertools
import random

from bramleysill_net.conn import Conn
from bramleysill_net.conn import Listener
from bramleysill_router.entry import Entry
from bramleysill_router.metrics import Metrics
from bramleysill_router.remote_attempt import RemoteAttempt
from bramleysill_router.remote_attempt import StreamDemultiplexer
from bramleysill_router.retry_budgets import RetryBudgets
from tests.dispatch_helpers import DispatchTestCase
from tests.gateway_helpers import REQUEST_ID_HEADER
from tests.gateway_helpers import SIGNATURE_LINE
from tests.gateway_helpers import TIMEOUT_SECONDS
from tests.gateway_helpers import GatewayTestCase
from tests.test_conn import RecordingProtocol

# More than a router buffers of a body, so that the rest is streamed.
FIRST_PART_BYTES = 1536 << 10
NEXT_PART_BYTES = 16384
UPLOAD_BYTES = 4 << 20
IDLE_SECONDS = 0.05
MAX_BODY_BYTES = 8 << 20
HEAD = (
    f'HTTP/1.1 200 OK\r\n{REQUEST_ID_HEADER}: r1\r\n{SIGNATURE_LINE}'
).encode()


class _Upstream:
    """Discards what it reads; `conns` are its connections."""

    def __init__(self, loop):
        self.conns = []
        self.received = 0
        self.listener = Listener(loop, '127.0.0.1', 0, self._accept)

    def _accept(self, conn):
        self.conns.append(conn)
        protocol = RecordingProtocol()
        protocol.on_data = self._count
        return protocol

    def _count(self, data):
        self.received += len(data)


class UploadTests:
    """Starts uploads to a router, whose address is `address`."""

    def add_mixed_upstream(self):
        self.upstream = _Upstream(self.loop)
        self.addCleanup(self.upstream.listener.close)

    def run_until(self, done):
        self.assertTrue(self.loop.run_until(done, TIMEOUT_SECONDS))

    def connect(self):
        caller = RecordingProtocol()
        caller.conn = Conn.connect(self.loop, *self.address, caller)
        self.addCleanup(caller.conn.abort)
        return caller

    def send_whole_request(self):
        """Send a request without a body; return its caller."""
        caller = self.connect()
        before = self.upstream.received
        head = (
            f'POST {self.path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
            f'{REQUEST_ID_HEADER}: r1\r\nContent-Length: 0\r\n\r\n'
        )
        caller.conn.write(head.encode())
        self.run_until(lambda: self.upstream.received > before)
        return caller

    def start_upload(self, version='1.1'):
        """Send the head and a part of an upload; return its caller."""
        caller = self.connect()
        head = (
            f'POST {self.path} HTTP/{version}\r\nHost: h\r\n'
            f'{REQUEST_ID_HEADER}: r1\r\n'
            f'Content-Length: {UPLOAD_BYTES}\r\n\r\n'
        )
        before = self.upstream.received
        caller.conn.write(head.encode() + b'x' * FIRST_PART_BYTES)
        self.run_until(
            lambda: self.upstream.received > before + FIRST_PART_BYTES
        )
        return caller

    def in_one_poll(self, callback):
        """Call back between two polls; the loop sees all events at once."""
        self.loop.scheduler.call_at(self.loop.now(), callback)


class GatewayUploadTestCase(UploadTests, GatewayTestCase):
    """Base of tests of uploads through a gateway."""

    path = '/write/'

    def setUp(self):
        super().setUp()
        self.state.config.limits.body_bytes = MAX_BODY_BYTES
        self.add_mixed_upstream()
        self.register_upstream('u1', self.upstream)
        self.address = self.listener.address


class HiddenResetTest(GatewayUploadTestCase):
    """An upstream resets while the upload is written."""

    def wait_for_head(self):
        """Wait until the router has read the head of the response."""
        (exchange,) = self.frontend.active_exchanges
        self.run_until(lambda: exchange._attempt.status)
        # Events are reported in the order in which they occur only if an
        # earlier poll has reported none for their sockets.
        self.loop.run_until(lambda: False, IDLE_SECONDS)

    def test_reset_reported_to_a_write(self):
        """Guards against part of a response that is passed on as complete.

        The write to the upstream takes the error from the socket, so that the
        read after it found the end of the data and no error.
        """
        caller = self.start_upload()
        self.upstream.conns[0].write(HEAD + b'\r\npart')
        self.wait_for_head()

        def break_off():
            caller.conn.write(b'x' * NEXT_PART_BYTES)
            self.upstream.conns[0].abort()

        self.in_one_poll(break_off)
        self.run_until(lambda: caller.data)
        self.assertTrue(caller.data.startswith(b'HTTP/1.1 502 '), caller.data)


class ProcessEndTest(GatewayUploadTestCase):
    """The router ends while callers are connected to it."""

    def _end_process(self):
        self.frontend.connections.abort_unfinished()

    def test_response_in_progress_is_reset(self):
        """Guards against a FIN that completes it for an HTTP/1.0 caller."""
        caller = self.start_upload(version='1.0')
        self.upstream.conns[0].write(HEAD + b'\r\n' + b'y' * (256 << 10))
        self.run_until(lambda: caller.data)
        self._end_process()
        self.run_until(lambda: caller.closes)
        self.assertIsInstance(caller.closes[0], ConnectionResetError)

    def test_sent_response_is_not_discarded(self):
        """Guards against a reset that overtakes a refusal.

        The connection lingers, as the upload is not complete.
        """
        self.state.config.limits.body_bytes = FIRST_PART_BYTES
        caller = self.connect()
        caller.conn.pause()
        caller.conn.write(
            b'POST /write/ HTTP/1.1\r\nHost: h\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            b'%x\r\n' % UPLOAD_BYTES + b'x' * (FIRST_PART_BYTES + 1)
        )
        self.run_until(lambda: self.frontend.connections)
        (server,) = self.frontend.connections
        self.run_until(lambda: server._closing)
        self._end_process()
        self.assertFalse(server.conn.closed)

    def test_idle_connection_stays(self):
        caller = self.connect()
        self.run_until(lambda: len(self.frontend.connections))
        self._end_process()
        self.assertFalse(self.loop.run_until(lambda: caller.closes, 0.05))


class BrokenOffTests(UploadTests):
    """An upstream breaks off its response during an upload.

    Guards against part of a response that is passed on as complete. The
    caller gets 502 or, once its response has begun, a reset.
    """

    LENGTH_FIELDS = (
        b'',
        b'Content-Length: 8388608\r\n',
        b'Transfer-Encoding: chunked\r\n',
    )
    # More than 128 KiB are streamed to the caller.
    SENT_BYTES = (0, 64 << 10, 3 << 20)
    ENDS = ('reset', 'fin')

    def _respond(self, length_field, size):
        """Send `size` bytes of a response, as far as the router reads."""
        conn = self.upstream.conns[-1]
        body = b'y' * size
        if b'chunked' in length_field and body:
            body = b'%x\r\n%b\r\n' % (size, body)
        conn.write(HEAD + length_field + b'\r\n' + body)
        self.loop.run_until(lambda: not conn.buffered, IDLE_SECONDS)

    def _end(self, end):
        conn = self.upstream.conns[-1]
        if end == 'reset':
            conn.abort()
        else:
            conn.close()

    def _check(self, caller, case):
        caller.conn.resume()
        self.run_until(lambda: caller.closes)
        status = bytes(caller.data[:13])
        if status != b'HTTP/1.1 502 ':
            self.assertIn(status, (b'', b'HTTP/1.1 200 '), case)
            self.assertIsInstance(caller.closes[0], OSError, case)

    def _cases(self):
        return itertools.product(
            self.LENGTH_FIELDS, self.SENT_BYTES, self.ENDS
        )

    def test_caller_waits(self):
        for case in self._cases():
            caller = self.start_upload()
            self._respond(*case[:2])
            self._end(case[2])
            self._check(caller, case)

    def test_caller_goes_on_writing(self):
        for case in self._cases():
            caller = self.start_upload()
            self._respond(*case[:2])

            def end(caller=caller, how=case[2]):
                caller.conn.write(b'x' * NEXT_PART_BYTES)
                self._end(how)

            self.in_one_poll(end)
            self._check(caller, case)

    def test_caller_does_not_read(self):
        for case in self._cases():
            caller = self.start_upload()
            caller.conn.pause()
            self._respond(*case[:2])
            self._end(case[2])
            self.loop.run_until(lambda: False, IDLE_SECONDS)
            self._check(caller, case)

    def test_whole_request_was_sent(self):
        """Only a FIN then ends a response without a length."""
        for case in self._cases():
            if case[0] == b'' and case[2] == 'fin':
                continue
            caller = self.send_whole_request()
            self._respond(*case[:2])
            self._end(case[2])
            self._check(caller, case)

    def test_caller_speaks_http_1_0(self):
        """Guards against a clean end, which completes such a response."""
        for case in self._cases():
            caller = self.start_upload(version='1.0')
            self._respond(*case[:2])
            self._end(case[2])
            self._check(caller, case)


class BrokenOffTest(BrokenOffTests, GatewayUploadTestCase):
    """The caller is connected to a gateway."""


class _Link:
    """A link to another router of the same loop."""

    ready = True
    router = 'r2'

    def __init__(self, loop):
        self.loop = loop
        self.streams = {}
        self.peer_streams = {}
        self.next_stream = 1
        self.peer = None
        self.demultiplexer = None

    def send(self, message):
        peer = self.peer
        self.loop.scheduler.call_at(
            self.loop.now(),
            lambda: peer.demultiplexer.on_stream(peer, message),
        )


class _Locator:
    """Finds the only upstream, whose dispatcher is at the other router."""

    def locate(self, target, excluded):
        return 'u1', '', 0, 'r2'

    def note_sent(self, service, upstream, since):
        pass

    def note_response_started(self, service, upstream, since):
        pass

    def note_ended(self, service, upstream, since, seconds, ok):
        pass


class BrokenOffBehindALinkTest(BrokenOffTests, DispatchTestCase):
    """The caller is connected to a router without the dispatcher."""

    path = '/s/k'

    def setUp(self):
        super().setUp()
        self.add_mixed_upstream()
        self.dispatch_to(self.upstream.listener)
        service = self.dispatcher_state.manifest.services['s']
        service.max_body_bytes = MAX_BODY_BYTES
        self.link, far = _Link(self.loop), _Link(self.loop)
        self.link.peer, far.peer = far, self.link
        now = self.loop.now
        self.link.demultiplexer = StreamDemultiplexer(None, now)
        far.demultiplexer = StreamDemultiplexer(self.dispatcher.submit, now)
        entry = Entry(
            self.loop,
            'r1',
            self.dispatcher_state,
            _Locator(),
            self._submit,
            RetryBudgets(self.loop, random.Random(1)),
            Metrics(),
        )
        listener = Listener(self.loop, '127.0.0.1', 0, entry.accept)
        self.addCleanup(listener.close)
        self.address = listener.address

    def _submit(self, router, head, sink, body, body_complete):
        now = self.loop.now()
        return RemoteAttempt(self.link, head, sink, now, body, body_complete)
