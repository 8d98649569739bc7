"""Tests of the HTTP client connection, over loopback."""

import socket
import time

import testtools

from bramleysill_kernel.load.receive_budget import STORE
from bramleysill_kernel.load.receive_budget import UPSTREAM
from bramleysill_kernel.load.receive_budget import ReceiveBudget
from bramleysill_net.conn import Listener
from bramleysill_net.http_calls import HttpCallClient
from bramleysill_net.http_client import MAX_RESPONSE_HEADERS
from bramleysill_net.http_client import MAX_SETTLE_SECONDS
from bramleysill_net.http_client import HttpClientConn
from bramleysill_net.http_client import encode_request
from bramleysill_net.http_server import HttpServerConn
from bramleysill_net.loop import Loop
from bramleysill_net.response_sinks import ResponseCollector

TIMEOUT_SECONDS = 10.0


class _BodyCounter:
    def __init__(self, stream):
        self.stream = stream
        self.size = 0

    def on_body(self, data):
        self.size += len(data)

    def on_end(self):
        self.stream.send(200, [], str(self.size).encode())

    def on_abort(self, exc):
        pass


class _UploadHandler:
    def on_request(self, stream, req):
        return _BodyCounter(stream)

    def on_disconnect(self, server):
        pass

    def on_bad_request(self, stream, status, reason):
        stream.send(status, [], reason.encode())


class _DrainSink(ResponseCollector):
    """Counts the calls of on_request_drain."""

    def __init__(self, callback):
        super().__init__(callback)
        self.drains = 0

    def on_request_drain(self):
        self.drains += 1


class HttpClientConnTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = Loop()
        listener = Listener(
            self.loop,
            '127.0.0.1',
            0,
            lambda conn: HttpServerConn(conn, _UploadHandler()),
        )
        self.addCleanup(listener.close)
        self.address = listener.address
        self.events = []

    def _conn(self):
        conn = HttpClientConn(
            self.loop,
            *self.address,
            lambda c: self.events.append('idle'),
            lambda c: self.events.append('closed'),
        )
        self.addCleanup(conn.abort)
        return conn

    def _exchange(self, conn, sink=None):
        responses = []

        def on_response(status, headers, body):
            self.events.append('response')
            responses.append((status, body))

        sink = sink or ResponseCollector(on_response)
        sink._callback = on_response
        conn.request(encode_request('GET', '/', 'x'), sink)
        self.assertTrue(
            self.loop.run_until(lambda: responses, TIMEOUT_SECONDS)
        )
        return responses[0]

    def test_connection_is_idle_before_on_end(self):
        """Guards against a new connection for each queued request.

        The dispatcher starts the next request inside `on_end`, so the
        connection must be back in the pool by then.
        """
        conn = self._conn()
        self._exchange(conn)
        self._exchange(conn)
        self.assertEqual(['idle', 'response'] * 2, self.events)
        self.assertFalse(conn.closed)

    def test_drain_is_reported_after_connecting(self):
        """Guards against an upload that waits forever for a drain.

        Bytes written while connecting may be sent at once, so that the send
        buffer never fills; completing the connect must count as a drain.
        """
        sink = _DrainSink(None)
        self._exchange(self._conn(), sink)
        self.assertEqual(1, sink.drains)

    def test_paused_connection_resumes_on_the_next_request(self):
        """Guards against a reused connection that never reads a response.

        With a slow caller, the connection may be paused when the last bytes
        of the previous response have already been read.
        """
        conn = self._conn()
        self._exchange(conn)
        conn.pause()
        self.assertEqual((200, b'0'), self._exchange(conn))


class _ScriptedServer:
    """A server that sends the next prepared bytes after each read."""

    def __init__(self, conn, responses):
        self.conn = conn
        self.responses = responses

    def on_connect(self):
        pass

    def on_data(self, data):
        if self.responses:
            self.conn.write(self.responses.pop(0))

    def on_drain(self):
        pass

    def on_close(self, exc):
        pass


class _NumberedResponse(ResponseCollector):
    """Accepts only a response with the number of its request."""

    def __init__(self, callback, number):
        super().__init__(callback)
        self.number = number

    def accepts(self, status, headers):
        return dict(headers).get('number') == self.number


def _encode_response(number, body):
    return b'HTTP/1.1 200 OK\r\nNumber: %b\r\nContent-Length: %d\r\n\r\n%b' % (
        number,
        len(body),
        body,
    )


class ScriptedServerTestCase(testtools.TestCase):
    """Base of tests with a server that sends prepared bytes."""

    def setUp(self):
        super().setUp()
        self.loop = Loop()
        self.script = []
        listener = Listener(
            self.loop,
            '127.0.0.1',
            0,
            lambda conn: _ScriptedServer(conn, self.script),
        )
        self.addCleanup(listener.close)
        self.address = listener.address


class ExtraResponsesTest(ScriptedServerTestCase):
    """A faulty server sends more responses than requests."""

    def setUp(self):
        super().setUp()
        self.conn = HttpClientConn(self.loop, *self.address)
        self.addCleanup(self.conn.abort)

    def _exchange(self, number):
        responses = []
        sink = _NumberedResponse(
            lambda *response: responses.append(response), number
        )
        self.conn.request(encode_request('GET', '/', 'x'), sink)
        self.assertTrue(
            self.loop.run_until(lambda: responses, TIMEOUT_SECONDS)
        )
        return responses[0]

    def test_headers_of_an_extra_response_are_not_mixed_in(self):
        """Guards against header fields of an extra response.

        A second response in the same segment was parsed into the header list
        that the sink had already received.
        """
        self.script += [
            _encode_response(b'1', b'mine') + _encode_response(b'0', b'extra')
        ]
        status, headers, body = self._exchange('1')
        self.assertEqual(
            (200, '1', b'mine'), (status, headers['number'], body)
        )
        self.assertTrue(self.conn.closed)

    def test_bytes_after_a_response_do_not_void_it(self):
        """Guards against losing a complete response to bytes that follow."""
        self.script += [_encode_response(b'1', b'mine') + b'\x00no response']
        status, _, body = self._exchange('1')
        self.assertEqual((200, b'mine'), (status, body))
        self.assertTrue(self.conn.closed)

    def test_response_to_an_earlier_request_is_dropped(self):
        """Guards against a late response passed to a later request."""
        self.script += [
            _encode_response(b'0', b'late') + _encode_response(b'1', b'mine')
        ]
        status, headers, body = self._exchange('1')
        self.assertEqual(
            (200, '1', b'mine'), (status, headers['number'], body)
        )

    def test_connection_that_dropped_a_response_is_reused(self):
        """Guards against a connection that is closed without need."""
        self.script += [
            _encode_response(b'0', b'late') + _encode_response(b'1', b'mine'),
            _encode_response(b'2', b'next'),
        ]
        self._exchange('1')
        self.assertEqual(b'next', self._exchange('2')[2])


class EarlyResponseTest(testtools.TestCase):
    """A server responds before it has read the whole request.

    Guards against reusing the connection: the server read the next request
    where the rest of the body was due.
    """

    BODY_BYTES = 16 << 20

    def setUp(self):
        super().setUp()
        self.loop = Loop()
        self.server = None
        listener = Listener(self.loop, '127.0.0.1', 0, self._accept)
        self.addCleanup(listener.close)
        self.idle = []
        self.conn = HttpClientConn(
            self.loop, *listener.address, on_idle=self.idle.append
        )
        self.addCleanup(self.conn.abort)
        self.responses = []

    def _accept(self, conn):
        self.server = _ScriptedServer(conn, [])
        return self.server

    def _start(self, body, complete):
        head = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n'
        self.conn.request(
            head % self.BODY_BYTES + body,
            ResponseCollector(lambda *found: self.responses.append(found)),
            complete=complete,
        )
        self.loop.run_until(
            lambda: self.conn.connected and self.server, TIMEOUT_SECONDS
        )

    def _respond(self):
        self.server.conn.write(_encode_response(b'1', b'early'))
        self.loop.run_until(lambda: self.responses, TIMEOUT_SECONDS)
        self.assertEqual(200, self.responses[0][0])

    def test_half_sent_request_closes_the_connection(self):
        self._start(b'x' * 1000, complete=False)
        self._respond()
        self.assertTrue(self.conn.closed)
        self.assertEqual([], self.idle)

    def test_unsent_bytes_close_the_connection(self):
        self._start(b'x' * self.BODY_BYTES, complete=True)
        self.server.conn.pause()
        self._respond()
        self.assertTrue(self.conn.closed)
        self.assertEqual([], self.idle)

    def test_connection_is_reused_after_the_whole_request(self):
        self._start(b'x' * 1000, complete=False)
        self.conn.write(b'x' * (self.BODY_BYTES - 1000))
        self.loop.run_until(lambda: not self.conn.buffered, TIMEOUT_SECONDS)
        self.conn.end_request()
        self._respond()
        self.assertFalse(self.conn.closed)
        self.assertEqual([self.conn], self.idle)


class ResponseEndedByCloseTest(testtools.TestCase):
    """A server ends a response without a length with a FIN.

    Guards against a partial response that looks complete: a server that fails
    during an upload ends its response in the same way.
    """

    PART = b'HTTP/1.1 200 OK\r\n\r\npart'
    # Bytes of the body, bytes sent of it, and whether the response counts.
    CASES = (
        (0, 0, True),
        (1000, 1000, True),
        (1000, 100, False),
        (16 << 20, 16 << 20, False),
    )

    def _exchange(self, length, sent, settles=False):
        loop = Loop()
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        address = listener.getsockname()
        conn = HttpClientConn(loop, *address, settles=settles)
        self.addCleanup(conn.abort)
        responses = []
        conn.request(
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n'
            % length,
            ResponseCollector(lambda *found: responses.append(found)),
            complete=length == sent,
            body=[b'x' * sent],
        )
        peer, _ = listener.accept()
        self.addCleanup(peer.close)
        if settles:
            # The connection then settles for the longest time.
            time.sleep(MAX_SETTLE_SECONDS)
        else:
            loop.run_until(lambda: conn.sent_bytes > sent, TIMEOUT_SECONDS)
        peer.send(self.PART)
        peer.shutdown(socket.SHUT_WR)
        loop.run_until(lambda: responses, TIMEOUT_SECONDS)
        return responses[0][0]

    def test_response_counts_once_the_request_was_taken(self):
        for length, sent, is_complete in self.CASES:
            status = self._exchange(length, sent)
            self.assertEqual(200 if is_complete else 0, status, (length, sent))

    def test_response_to_a_request_that_was_not_sent(self):
        """Guards against a response before a new connection has settled."""
        self.assertEqual(0, self._exchange(0, 0, settles=True))


class OddResponseTest(ScriptedServerTestCase):
    """A faulty server sends a response that is legal but out of measure."""

    def _start(self, response, sink=None):
        self.script.append(response)
        responses = []
        conn = HttpClientConn(self.loop, *self.address)
        self.addCleanup(conn.abort)
        sink = sink or ResponseCollector(
            lambda *response: responses.append(response)
        )
        conn.request(encode_request('GET', '/', 'x'), sink)
        return conn, responses

    def _exchange(self, response):
        _, responses = self._start(response)
        self.assertTrue(
            self.loop.run_until(lambda: responses, TIMEOUT_SECONDS)
        )
        return responses[0]

    def _with_fields(self, count):
        fields = b''.join(b'F%d: 1\r\n' % number for number in range(count))
        return b'HTTP/1.1 204 -\r\n' + fields + b'\r\n'

    def test_number_of_header_fields_is_limited(self):
        """Guards against fields of 4 bytes that take 170 bytes each."""
        limit = MAX_RESPONSE_HEADERS
        self.assertEqual(204, self._exchange(self._with_fields(limit))[0])
        self.assertEqual(0, self._exchange(self._with_fields(limit + 1))[0])

    def test_trailers_are_not_headers(self):
        """Guards against a trailer that passes for a field of the head."""
        status, headers, body = self._exchange(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'4\r\nbody\r\n0\r\nServer-Leaving: 1\r\n\r\n'
        )
        self.assertEqual((200, b'body'), (status, body))
        self.assertNotIn('server-leaving', headers)

    def test_unfinished_heads_share_one_bound(self):
        """Guards against a bound for each connection only."""
        self.loop.receive_budget = budget = ReceiveBudget(200000)
        head = b'HTTP/1.1 200 OK\r\nX-Long: ' + b'x' * 40000
        found = [self._start(head) for _ in range(20)]
        self.loop.run_until(
            lambda: budget.refused and not self.script, TIMEOUT_SECONDS
        )
        failed = [responses for _, responses in found if responses]
        # Half of the budget holds the heads of two connections.
        self.assertEqual(18, len(failed))
        self.assertLessEqual(budget.held, budget.limit(UPSTREAM))
        for conn, _ in found:
            conn.abort()
        self.assertEqual(0, budget.held)

    def test_held_head_counts_until_the_end_of_the_response(self):
        """Guards against heads that aren't counted while a body streams."""
        budget = self.loop.receive_budget
        head = b'HTTP/1.1 200 OK\r\nX-Long: ' + b'x' * 40000
        conn, _ = self._start(head + b'\r\n\r\nbody')
        self.loop.run_until(lambda: budget.held, TIMEOUT_SECONDS)
        self.assertGreater(budget.held, 30000)
        conn.abort()
        self.assertEqual(0, budget.held)

    def test_small_chunks_of_one_read_are_joined(self):
        """Guards against a message to another router for each byte."""
        sink = _PartCounter()
        self._start(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            + b'1\r\nx\r\n' * 5000,
            sink,
        )
        self.loop.run_until(lambda: sink.size == 5000, TIMEOUT_SECONDS)
        self.assertEqual(5000, sink.size)
        # Far fewer than the chunks; a read may end anywhere.
        self.assertLess(sink.parts, 10)


class _PartCounter:
    """A sink that counts the parts in which it gets a body."""

    def __init__(self):
        self.parts = 0
        self.size = 0

    def on_head(self, status, headers, length):
        pass

    def on_body(self, data):
        self.parts += 1
        self.size += len(data)

    def on_end(self):
        pass

    def on_failure(self, exc):
        pass


class TimeoutTest(testtools.TestCase):
    def test_timeout_does_not_complete_a_response_without_length(self):
        """Guards against a partial response that looks complete.

        The end of such a response is the close of its connection, which the
        timeout of the call causes too.
        """
        loop = Loop()
        script = [b'HTTP/1.1 200 OK\r\n\r\npartial']
        listener = Listener(
            loop, '127.0.0.1', 0, lambda conn: _ScriptedServer(conn, script)
        )
        self.addCleanup(listener.close)
        client = HttpCallClient(loop, *listener.address, STORE, 1 << 20)
        self.addCleanup(client.close)
        results = []
        client.call(encode_request('GET', '/', 'x'), 0.1, results.append)
        self.assertTrue(loop.run_until(lambda: results, TIMEOUT_SECONDS))
        self.assertEqual(0, results[0].status)
