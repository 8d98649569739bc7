"""An HTTP/1.1 client connection, used for upstreams and the store.

Requests on a connection are not pipelined. A connection is reused only if both
halves of its exchange are complete. Otherwise bytes of the response could be
taken for the response to a later request, or the server would read a later
request where the rest of a body is due.
"""

import httptools

from bramleysill_kernel.load.receive_budget import UPSTREAM
from bramleysill_kernel.load.receive_budget import Reservation
from bramleysill_net.conn import Conn
from bramleysill_net.response_errors import InvalidResponse
from bramleysill_net.response_errors import InvalidStatus
from bramleysill_net.response_errors import ResponseTooLarge

# Statuses by RFC 9110, section 15; all others are no status. 101 is not one
# either here, as no request asks for another protocol.
INTERIM_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)
SWITCHING_PROTOCOLS = 101
# Also limits chunk extensions, trailers and interim responses: anything that
# is received without a byte of the response's body.
MAX_RESPONSE_HEAD_BYTES = 65536
MAX_RESPONSE_HEADERS = 100
# More than this of a head is reserved in the process's ReceiveBudget.
UNRESERVED_HEAD_BYTES = 4096
# Size of the colon, the space and the line end of a header field.
FIELD_SEPARATOR_BYTES = 4
# Added to the time that a connection takes to be established; the server needs
# some of it to accept the connection.
SETTLE_MARGIN_SECONDS = 0.002
MAX_SETTLE_SECONDS = 0.05
# The head and the start of the body are sent in one write up to this size;
# larger bodies are not copied.
MAX_JOINED_REQUEST_BYTES = 16384
# Limit for the bodies of responses that belong to earlier requests.
MAX_DISCARDED_BODY_BYTES = 1 << 20


class HttpClientConn:
    """One connection to a server.

    `request` starts an exchange. Its sink receives the response through
    `on_head(status, headers, length)`, `on_body(data)` and `on_end()`, or
    a single `on_failure(exc)` if the exchange fails: an InvalidResponse for
    bytes that are no response, and otherwise an OSError. The callbacks
    `on_idle(conn)` and `on_closed(conn)` notify the connection pool.

    With `settles`, a new connection sends nothing until a server that resets
    connections over its limit would have done so. Such a reset then proves
    that the request has not run.

    A sink may have a method `on_request_sent()`, called before the first byte
    of the request is sent, and a method `accepts(status, headers)`. If that
    returns False, the response belongs to an earlier request on this
    connection; it is discarded, and the next response is read instead. A sink
    that raises ResponseTooLarge fails the exchange.

    What a connection holds of a head is reserved in `loop.receive_budget`, for
    its `source`. Trailers are discarded.
    """

    __slots__ = (
        'conn',
        'connected',
        'busy',
        'sent_bytes',
        'responding',
        'refused_ids',
        '_sink',
        '_parser',
        '_headers',
        '_head_bytes',
        '_unparsed_bytes',
        '_discarded_bytes',
        '_body_parts',
        '_reservation',
        '_on_idle',
        '_on_closed',
        '_head_only',
        '_request_complete',
        '_response_complete',
        '_unsent',
        '_read_until_close',
        '_in_body',
        '_reusable',
        '_closes_after_response',
        '_discarding',
        '_has_extra_response',
        '_settles',
        '_settled',
        '_started_at',
    )

    def __init__(
        self,
        loop,
        host,
        port,
        on_idle=None,
        on_closed=None,
        unacknowledged_timeout_ms=0,
        settles=False,
        source=UPSTREAM,
    ):
        self.connected = False
        self.busy = False
        self.sent_bytes = 0
        # Whether the server has sent anything since the last request.
        self.responding = False
        # Ids of requests that the server has refused here; kept by the pool.
        self.refused_ids = set()
        self._sink = None
        self._parser = None
        self._headers = []
        # Size of the header fields in `_headers`.
        self._head_bytes = 0
        # Bytes received since the last complete head or byte of a body.
        self._unparsed_bytes = 0
        self._discarded_bytes = 0
        # Parts of the body in the data that is being parsed.
        self._body_parts = []
        self._reservation = Reservation(loop.receive_budget, source)
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._head_only = False
        self._request_complete = True
        self._response_complete = False
        self._unsent = []
        self._read_until_close = False
        self._in_body = False
        self._reusable = False
        self._closes_after_response = False
        self._discarding = False
        self._has_extra_response = False
        self._settles = settles
        self._settled = False
        self._started_at = loop.now()
        self.conn = Conn.connect(loop, host, port, self)
        if unacknowledged_timeout_ms:
            self.conn.set_unacknowledged_timeout(unacknowledged_timeout_ms)

    @property
    def closed(self):
        """Return whether the connection is closed."""
        return self.conn.closed

    @property
    def buffered(self):
        """Return the number of bytes that the kernel has not accepted yet."""
        return self.conn.buffered + sum(len(d) for d in self._unsent)

    def request(self, data, sink, head_only=False, complete=True, body=()):
        """Send an encoded request; `sink` receives the response.

        `data` is the head with all, part or none of the body, and `body` are
        chunks that follow it. If they are not `complete`, `write` sends the
        rest and `end_request` follows. `head_only` means that the response
        has no body, as for HEAD.
        """
        self.busy = True
        self._sink = sink
        self._clear_headers()
        self._unparsed_bytes = 0
        self._discarded_bytes = 0
        self._body_parts.clear()
        self._head_only = head_only
        self._request_complete = complete
        self._response_complete = False
        self._read_until_close = False
        self._in_body = False
        self._discarding = False
        self._has_extra_response = False
        self.sent_bytes = 0
        self.responding = False
        self._parser = httptools.HttpResponseParser(self)
        # The previous exchange may have ended while reading was paused.
        self.conn.resume()
        if body and len(data) + len(body[0]) <= MAX_JOINED_REQUEST_BYTES:
            # One packet and one call for a small request.
            data += body[0]
            body = body[1:]
        self.write(data)
        for chunk in body:
            self.write(chunk)

    def write(self, data):
        """Send part of the request, or queue it until connected."""
        if self._settled:
            # From here on the bytes count as sent: any part of them may reach
            # the server.
            if not self.sent_bytes:
                self._notify_sent()
            self.sent_bytes += len(data)
            self.conn.write(data)
        else:
            self._unsent.append(data)

    def end_request(self):
        """Record that the whole request was written."""
        self._request_complete = True

    def close_after_response(self):
        """Use the connection for no other request after this one."""
        self._closes_after_response = True

    def set_read_size(self, size):
        """Read at most this many bytes at once."""
        self.conn.max_read_bytes = size

    def pause(self):
        """Pause reading the response."""
        self.conn.pause()

    def resume(self):
        """Resume reading the response."""
        self.conn.resume()

    def abort(self):
        """Reset the connection without notifying the sink."""
        self._sink = None
        self._reservation.close()
        self.conn.abort()

    def abort_exchange(self):
        """Reset the connection and fail the exchange in progress."""
        self._fail_exchange(TimeoutError('the call was aborted'))
        self.conn.abort()

    def close(self):
        """Close an idle connection."""
        self._sink = None
        self.conn.close()

    # Called by the connection.

    def on_connect(self):
        """Send the data that was queued while connecting."""
        self.connected = True
        if not self._settles:
            self._send_queued()
            return
        loop = self.conn.loop
        delay = loop.now() - self._started_at + SETTLE_MARGIN_SECONDS
        loop.scheduler.call_at(
            loop.now() + min(delay, MAX_SETTLE_SECONDS), self._finish_settling
        )

    def on_data(self, data):
        """Parse part of the response."""
        if self._sink is None:
            # The server sent data without a request in progress.
            self.conn.abort()
            return
        self.responding = True
        try:
            self._parse(data)
        except InvalidResponse as exc:
            self._fail_exchange(exc)
            self.conn.abort()
            return
        if self._response_complete and not self.conn.closed:
            self._finish_exchange()

    def on_drain(self):
        """Notify the sink that more of the request's body may be sent."""
        sink = self._sink
        if sink is not None and hasattr(sink, 'on_request_drain'):
            sink.on_request_drain()

    def on_close(self, exc):
        """Fail the exchange, or end a response delimited by the close."""
        if exc is None and self._is_ended_by_close():
            sink, self._sink = self._sink, None
            if sink is not None:
                sink.on_end()
        else:
            self._fail_exchange(
                exc or ConnectionResetError('the server closed the connection')
            )
        self._reservation.close()
        if self._on_closed is not None:
            self._on_closed(self)

    # Called by the parser.

    def on_message_begin(self):
        """Detect a response beyond the one that the request asked for."""
        if self._response_complete:
            self._has_extra_response = True

    def on_header(self, name, value):
        """Collect a header field, unless it is a trailer."""
        if self._has_extra_response or self._in_body:
            return
        if len(self._headers) >= MAX_RESPONSE_HEADERS:
            raise InvalidResponse(
                f'the response has over {MAX_RESPONSE_HEADERS} header fields'
            )
        self._head_bytes += len(name) + len(value) + FIELD_SEPARATOR_BYTES
        self._headers.append(
            (name.decode('latin-1').lower(), value.decode('latin-1'))
        )

    def on_headers_complete(self):
        """Pass the head of a final response to the sink."""
        status = self._parser.get_status_code()
        if self._has_extra_response or _is_interim(status):
            return
        if not self._is_accepted(status):
            self._discarding = True
            return
        self._in_body = True
        self._unparsed_bytes = 0
        length = None
        for name, value in self._headers:
            if name == 'content-length' and value.isdecimal():
                length = int(value)
        chunked = any(k == 'transfer-encoding' for k, _ in self._headers)
        if status in (204, 304) or self._head_only:
            length = 0
        elif length is None and not chunked:
            self._read_until_close = True
        self._sink.on_head(status, self._headers, length)
        if self._head_only:
            # The parser would wait for the body that the head may announce.
            self._complete_response()

    def on_body(self, data):
        """Collect part of the body for the sink."""
        if self._response_complete:
            self._has_extra_response = True
        if self._has_extra_response:
            return
        if self._discarding:
            self._discard_body(data)
            return
        self._unparsed_bytes = 0
        self._body_parts.append(data)

    def on_message_complete(self):
        """Complete the response, unless it was interim (1xx) or discarded."""
        if self._has_extra_response:
            return
        if _is_interim(self._parser.get_status_code()) or self._discarding:
            self._clear_headers()
            self._discarding = False
            return
        if not self._response_complete:
            self._complete_response()

    # Internal.

    def _complete_response(self):
        self._response_complete = True
        # Read here: the parser resets it after its callback.
        self._reusable = self._parser.should_keep_alive()

    def _notify_sent(self):
        sink = self._sink
        if sink is not None and hasattr(sink, 'on_request_sent'):
            sink.on_request_sent()

    def _is_ended_by_close(self):
        """Return whether the close of the connection ends the response.

        The close of a server that has not taken the whole request doesn't
        tell whether it has ended the response or broken it off: a process
        that fails during an upload may close with a FIN, too.
        """
        if not self._read_until_close or not self._in_body:
            return False
        is_sent = self._request_complete and not self._unsent
        return is_sent and not self.conn.closed_early

    def _finish_settling(self):
        if self.conn.closed:
            return
        self._send_queued()
        if not self.conn.buffered:
            self.on_drain()

    def _send_queued(self):
        self._settled = True
        unsent, self._unsent = self._unsent, []
        for data in unsent:
            self.write(data)
        if not self.busy and self._on_idle is not None:
            self._on_idle(self)

    def _parse(self, data):
        """Parse received bytes; raises InvalidResponse."""
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            if not self._response_complete:
                self._deliver_body()
                # httptools wraps the exception that a callback raised.
                if isinstance(exc.__context__, InvalidResponse):
                    raise exc.__context__
                raise InvalidResponse(str(exc)) from exc
            # The bytes after the response belong to no request.
            self._has_extra_response = True
        self._deliver_body()
        if not self._response_complete:
            self._check_unparsed_bytes()

    def _deliver_body(self):
        """Pass what was parsed of the body to the sink, as one chunk.

        Each chunk takes more memory than its bytes, here and where it is sent
        on. A server may send a body in chunks of one byte.
        """
        parts, self._body_parts = self._body_parts, []
        if not parts or self._sink is None:
            return
        data = parts[0] if len(parts) == 1 else b''.join(parts)
        self._sink.on_body(data)

    def _check_unparsed_bytes(self):
        # The parser buffers a status line or header field of any size before
        # it reports it, so the bytes are counted as they arrive.
        if self._unparsed_bytes > MAX_RESPONSE_HEAD_BYTES:
            raise ResponseTooLarge('the response head or trailer is too large')
        # Fields of an unfinished head are in both numbers.
        held = self._head_bytes + self._unparsed_bytes
        if not self._reservation.resize(max(0, held - UNRESERVED_HEAD_BYTES)):
            raise ResponseTooLarge('no memory is left for the response head')

    def _clear_headers(self):
        self._headers = []
        self._head_bytes = 0

    def _discard_body(self, data):
        self._unparsed_bytes -= len(data)
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BODY_BYTES:
            raise InvalidResponse(
                'the responses to earlier requests are too large'
            )

    def _is_accepted(self, status):
        accepts = getattr(self._sink, 'accepts', None)
        return accepts is None or accepts(status, self._headers)

    def _finish_exchange(self):
        sink, self._sink = self._sink, None
        self.busy = False
        self._reservation.close()
        if not self._request_complete or self.buffered:
            # The server has responded before it has read the request.
            self.conn.abort()
        elif not self._may_reuse():
            self.conn.close()
        elif self._on_idle is not None:
            # Called before on_end, so that a request started there can reuse
            # this connection instead of opening another.
            self._on_idle(self)
        if sink is not None:
            sink.on_end()

    def _may_reuse(self):
        if self._closes_after_response or self._has_extra_response:
            return False
        return self._reusable

    def _fail_exchange(self, exc):
        sink, self._sink = self._sink, None
        self.busy = False
        self._reservation.close()
        if sink is not None:
            sink.on_failure(exc)


def _is_interim(status):
    """Return whether a final response follows; raises InvalidStatus."""
    if status in FINAL_STATUSES:
        return False
    if status not in INTERIM_STATUSES or status == SWITCHING_PROTOCOLS:
        raise InvalidStatus(f'the status {status:03} is invalid')
    return True


def encode_request(method, target, host, headers=(), body=None):
    """Return the bytes of a request with its complete body."""
    lines = [f'{method} {target} HTTP/1.1', f'Host: {host}']
    lines += [f'{k}: {v}' for k, v in headers]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return head.encode('latin-1') + (body or b'')
