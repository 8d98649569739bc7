"""Tests that an upstream reads back the body that a caller has sent."""

import hypothesis
from hypothesis import strategies
import testtools

from bramleysill_gateway.request_body import RequestBody
from bramleysill_net.conn import Listener
from bramleysill_net.http_client import HttpClientConn
from bramleysill_net.http_server import HttpServerConn
from bramleysill_net.request_parser import BODY
from bramleysill_net.request_parser import END
from bramleysill_net.request_parser import HEAD
from bramleysill_net.request_parser import HttpRequest
from bramleysill_net.request_parser import RequestParser
from bramleysill_net.response_sinks import ResponseCollector
from tests.gateway_helpers import NOT_RUN_LINE
from tests.gateway_helpers import REQUEST_ID_HEADER
from tests.gateway_helpers import TIMEOUT_SECONDS
from tests.gateway_helpers import GatewayTestCase
from tests.gateway_helpers import signed_response
from tests.gateway_helpers import unsigned_response

# Larger than what an exchange buffers, so that the body is streamed.
UPLOAD_BYTES = 1536 << 10
MAX_BODY_BYTES = 8 << 20
CHUNK_BYTES = 16384
# A recorded HTTP transfer; it could be taken for chunk framing.
RECORDED_TRANSFER = (
    b'4\r\ntext\r\n0\r\n\r\nPOST /read/x HTTP/1.1\r\nHost: h\r\n'
    b'Content-Length: 3\r\n\r\nabc'
)


class RequestBodyTest(testtools.TestCase):
    """Guards against a body whose framing differs from its head."""

    @hypothesis.given(
        chunks=strategies.lists(strategies.binary(max_size=40), max_size=8),
        is_chunked=strategies.booleans(),
        sent_after=strategies.integers(0, 8),
    )
    def test_body_reads_back(self, chunks, is_chunked, sent_after):
        length = sum(len(data) for data in chunks)
        req = HttpRequest('POST', '/', [], length, is_chunked, False)
        body = RequestBody(req)
        sent = b''
        for number, data in enumerate(chunks):
            if number == sent_after:
                sent = self._start(body)
            body.add_size(data)
            if number < sent_after:
                body.buffer(data)
            else:
                sent += body.encode(data)
        body.complete = True
        sent = (sent or self._start(body)) + body.encode_end()
        parser = RequestParser()
        parser.feed(sent)
        kinds = [kind for kind, _ in parser.events if kind != BODY]
        self.assertEqual([HEAD, END], kinds)
        found = b''.join(v for kind, v in parser.events if kind == BODY)
        self.assertEqual(b''.join(chunks), found)

    def _start(self, body):
        lines = ['POST / HTTP/1.1', 'Host: h', *body.framing_headers()]
        head = '\r\n'.join(lines) + '\r\n\r\n'
        return head.encode() + b''.join(body.encode_buffered())


class _RecordingUpstream:
    """An upstream that records the complete bodies that it receives."""

    def __init__(self, loop):
        self.bodies = []
        self.rejected = []
        self.listener = Listener(
            loop, '127.0.0.1', 0, lambda conn: HttpServerConn(conn, self)
        )

    def on_request(self, stream, req):
        return _RecordedUpload(self, stream, req)

    def on_bad_request(self, stream, status, reason):
        self.rejected.append(reason)
        stream.send(status, [])

    def on_disconnect(self, server):
        pass


class _RecordedUpload:
    def __init__(self, upstream, stream, req):
        self._upstream = upstream
        self._stream = stream
        self._id = req.header(REQUEST_ID_HEADER.lower())
        self._parts = []

    def on_body(self, data):
        self._parts.append(data)

    def on_end(self):
        self._upstream.bodies.append(b''.join(self._parts))
        headers = [
            (REQUEST_ID_HEADER, self._id),
            ('X-Bramleysill-Response-Signature', 's'),
        ]
        self._stream.send(200, headers)

    def on_abort(self, exc):
        pass


class StreamedUploadTest(GatewayTestCase):
    """Guards against uploads above the buffer limit that lose their framing.

    The upstream took the first bytes of the file for chunk sizes, and ran a
    request that stood in the file.
    """

    def setUp(self):
        super().setUp()
        self.state.config.limits.body_bytes = MAX_BODY_BYTES
        self.upstream = _RecordingUpstream(self.loop)
        self.addCleanup(self.upstream.listener.close)
        self.register_upstream('u1', self.upstream)

    @property
    def _body(self):
        return RECORDED_TRANSFER.ljust(UPLOAD_BYTES, b'\xff')

    def _upload(self, framing, parts, end=b''):
        responses = []
        conn = HttpClientConn(self.loop, *self.listener.address)
        self.addCleanup(conn.abort)
        head = (
            'POST /write/1 HTTP/1.1\r\nHost: h\r\n'
            f'{REQUEST_ID_HEADER}: r1\r\n{framing}\r\n\r\n'
        )
        conn.request(
            head.encode(),
            ResponseCollector(lambda *response: responses.append(response)),
        )
        for data in parts:
            conn.write(data)
        conn.write(end)
        return conn, responses

    def _parts(self):
        body = self._body
        return [
            body[start : start + CHUNK_BYTES]
            for start in range(0, len(body), CHUNK_BYTES)
        ]

    def _chunks(self):
        return [b'%x\r\n%b\r\n' % (len(d), d) for d in self._parts()]

    def _wait_for_response(self, responses):
        self.assertTrue(
            self.loop.run_until(lambda: responses, TIMEOUT_SECONDS)
        )
        return responses[0][0]

    def test_chunked_upload_arrives_whole(self):
        _, responses = self._upload(
            'Transfer-Encoding: chunked', self._chunks(), b'0\r\n\r\n'
        )
        self.assertEqual(200, self._wait_for_response(responses))
        self.assertEqual([self._body], self.upstream.bodies)
        self.assertEqual([], self.upstream.rejected)

    def test_upload_with_a_length_arrives_whole(self):
        _, responses = self._upload(
            f'Content-Length: {UPLOAD_BYTES}', self._parts()
        )
        self.assertEqual(200, self._wait_for_response(responses))
        self.assertEqual([self._body], self.upstream.bodies)

    def test_upload_that_breaks_off_is_never_complete(self):
        conn, _ = self._upload('Transfer-Encoding: chunked', self._chunks())
        self.loop.run_until(lambda: self.frontend.active_exchanges, 1.0)
        conn.abort()
        self.loop.run_until(lambda: not self.frontend.active_exchanges, 1.0)
        self.loop.run_until(lambda: self.upstream.bodies, 0.1)
        self.assertEqual([], self.upstream.bodies)

    def test_upload_over_the_size_limit_is_refused(self):
        self.state.config.limits.body_bytes = UPLOAD_BYTES - 1
        _, responses = self._upload(
            'Transfer-Encoding: chunked', self._chunks(), b'0\r\n\r\n'
        )
        self.assertEqual(413, self._wait_for_response(responses))
        self.loop.run_until(lambda: self.upstream.bodies, 0.1)
        self.assertEqual([], self.upstream.bodies)

    def test_malformed_chunk_size_never_completes_an_upload(self):
        chunks = [*self._chunks(), b'-5\r\nxxxxx\r\n']
        _, responses = self._upload(
            'Transfer-Encoding: chunked', chunks, b'0\r\n\r\n'
        )
        self.assertEqual(400, self._wait_for_response(responses))
        self.loop.run_until(lambda: self.upstream.bodies, 0.1)
        self.assertEqual([], self.upstream.bodies)


class EarlyRefusalTest(GatewayTestCase):
    """Guards against a connection that is reused with half an upload on it.

    An upstream that turns an upload away before it has read the body found
    the next caller's request where the rest of the body was due.
    """

    def test_next_request_has_a_connection_of_its_own(self):
        self.state.config.limits.body_bytes = MAX_BODY_BYTES
        refusal = unsigned_response(503, NOT_RUN_LINE)
        upstream = self.add_upstream('u1', lambda request_id: refusal)
        conn = HttpClientConn(self.loop, *self.listener.address)
        self.addCleanup(conn.abort)
        responses = []
        conn.request(
            f'POST /write/1 HTTP/1.1\r\nHost: h\r\n{REQUEST_ID_HEADER}: r1\r\n'
            f'Content-Length: {2 * UPLOAD_BYTES}\r\n\r\n'.encode(),
            ResponseCollector(lambda *response: responses.append(response)),
        )
        conn.write(b'x' * UPLOAD_BYTES)
        self.loop.run_until(lambda: responses, TIMEOUT_SECONDS)
        self.assertEqual(503, responses[0][0])
        upstream.make_response = signed_response
        self.assertEqual(200, self.request('/write/2', body=b'short')[0])
        self.assertTrue(upstream.requests[1].startswith('POST /write/2 '))


class StreamedBufferTest(GatewayTestCase):
    def test_chunks_are_freed_when_streaming_begins(self):
        """Guards against 1 MiB of each upload that nobody can use any more.

        A streamed request is not retried, so what was buffered is only
        needed until it is sent.
        """
        self.state.config.limits.body_bytes = MAX_BODY_BYTES
        self.add_upstream('u1', lambda request_id: 'no_response')
        conn = HttpClientConn(self.loop, *self.listener.address)
        self.addCleanup(conn.abort)
        conn.request(
            f'POST /write/1 HTTP/1.1\r\nHost: h\r\n{REQUEST_ID_HEADER}: r1\r\n'
            f'Content-Length: {2 * UPLOAD_BYTES}\r\n\r\n'.encode(),
            ResponseCollector(lambda *response: None),
        )
        conn.write(b'x' * UPLOAD_BYTES)

        def is_streaming():
            uploads = [e._upload for e in self.frontend.active_exchanges]
            return any(upload.streaming for upload in uploads)

        self.assertTrue(self.loop.run_until(is_streaming, TIMEOUT_SECONDS))
        (exchange,) = self.frontend.active_exchanges
        self.assertEqual([], exchange._upload.body.encode_buffered())


class UploadOverTheLimitTest(GatewayTestCase):
    """A chunked upload exceeds its limit while its response is streamed."""

    def test_the_caller_notices(self):
        """Guards against a caller that waits for the rest for ever."""
        self.state.config.limits.body_bytes = 2 * UPLOAD_BYTES
        self.add_upstream(
            'u1', lambda i: signed_response(i, 'x' * UPLOAD_BYTES)[:-1]
        )
        conn = HttpClientConn(self.loop, *self.listener.address)
        self.addCleanup(conn.abort)
        responses = []
        collector = ResponseCollector(lambda *r: responses.append(r))
        conn.request(
            f'POST /write/1 HTTP/1.1\r\nHost: h\r\n{REQUEST_ID_HEADER}: r1\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode(),
            collector,
            complete=False,
        )
        chunk = b'%x\r\n%b\r\n' % (UPLOAD_BYTES, b'x' * UPLOAD_BYTES)
        conn.write(chunk)
        self.assertTrue(
            self.loop.run_until(lambda: collector._status, TIMEOUT_SECONDS)
        )
        conn.write(chunk + chunk)
        self.loop.run_until(lambda: responses, 0.5)
        self.assertEqual([0], [response[0] for response in responses])
