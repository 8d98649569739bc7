"""Sends one request to one upstream and receives the response.

The attempt reports to its exchange: a complete response, a streamed response,
or a failure and whether the request may have run. Responses are buffered up to
a limit, so that a request whose response breaks off can be retried; larger
responses are streamed as they arrive.
"""

from bramleysill_kernel.common.bounded_values import parse_milliseconds
from bramleysill_kernel.common.refusals import NOT_RUN_STATUSES
from bramleysill_net.chunk_buffer import ChunkBuffer
from bramleysill_net.http_headers import end_to_end_fields
from bramleysill_net.http_headers import first_value
from bramleysill_net.http_headers import keep_alive_seconds

# Responses up to this size are buffered before they are sent on.
MAX_BUFFERED_RESPONSE_BYTES = 128 << 10


class Attempt:
    """One try of a request; reports its end to `exchange` once.

    It calls `on_response` or `on_failed`, or `on_stream_start` and later
    `on_stream_end` or `on_stream_broken`.
    """

    __slots__ = (
        'peer',
        'reason',
        'status',
        'response_complete',
        'sent_at',
        '_responded_at',
        '_exchange',
        '_adapter',
        '_loop',
        '_conn',
        '_reused',
        '_backlog',
        '_counted_bytes',
        '_headers',
        '_chunks',
        '_skipped_bytes',
        '_length',
        '_received_bytes',
        '_usable',
        '_says_not_run',
        '_streaming',
        '_ended',
    )

    def __init__(self, exchange, peer, adapter, loop):
        self.peer = peer
        self.reason = ''
        self.status = 0
        # Whether a complete response, usable or not, was received.
        self.response_complete = False
        self._exchange = exchange
        self._adapter = adapter
        self._loop = loop
        self._conn = None
        self._reused = False
        # When the attempt was started, in seconds of the loop's clock.
        self.sent_at = 0.0
        # When the head of the response arrived.
        self._responded_at = 0.0
        self._backlog = 0.0
        # Bytes of the body that count as held by the upstream.
        self._counted_bytes = 0
        self._headers = []
        self._chunks = ChunkBuffer()
        # Bytes of the body of an unusable response.
        self._skipped_bytes = 0
        self._length = None
        self._received_bytes = 0
        self._usable = False
        # Whether the head says that the upstream has not run the request.
        self._says_not_run = False
        self._streaming = False
        self._ended = False

    def start(self, head, chunks, complete):
        """Send the encoded header and the chunks received of the body.

        If the body is not `complete`, `write` and `end` send the rest.
        """
        now = self._loop.now()
        self.sent_at = now
        self._backlog = self.peer.load.backlog(now)
        self.peer.load.in_flight += 1
        self.peer.requests_sent += 1
        self._count_bytes()
        self._conn, self._reused = self.peer.pool.acquire(
            self._exchange.request_id,
            self.peer.load.resets_connections(now),
        )
        self._conn.set_read_size(self._exchange.memory.first_read_size)
        self._conn.request(
            head,
            self,
            head_only=self._exchange.req.method == 'HEAD',
            complete=complete,
            body=chunks,
        )

    def write(self, data):
        """Send another chunk of the body."""
        if not self._ended:
            self._count_bytes()
            self._conn.write(data)

    def end(self, data):
        """Send the bytes that end the body."""
        if not self._ended:
            self._conn.write(data)
            self._conn.end_request()

    @property
    def outcome(self):
        """Return the AttemptOutcome, as far as it is known."""
        return self._exchange.run_record.outcome_of(self)

    @property
    def connected(self):
        """Return whether the connection to the upstream is established."""
        return self._conn.connected

    @property
    def unsent_bytes(self):
        """Return the number of bytes in the send buffer."""
        return self._conn.buffered

    @property
    def streaming(self):
        """Return whether streaming the response to the caller has begun."""
        return self._streaming

    def cancel(self, reason):
        """Abort the connection."""
        if not self._ended:
            self.reason = reason
            self._end()
            self._conn.abort()

    # Callbacks of the connection.

    def on_request_sent(self):
        """Record that the first bytes of the request are sent."""
        self._exchange.run_record.note_sent(self)

    def accepts(self, status, headers):
        """Return whether a response belongs to this request.

        Upstreams leave out the request id and the signature only in a
        response sent before the request was read.
        """
        response_id = first_value(headers, self._adapter.request_id)
        if not response_id and not first_value(
            headers, self._adapter.signature
        ):
            return True
        return response_id == self._exchange.request_id

    def on_head(self, status, headers, length):
        """Decide from the header whether a response is usable."""
        self.status = status
        self._responded_at = self._loop.now()
        self._headers = headers
        self._length = length
        self._note_load(headers)
        if self._is_from_own_process(headers):
            self._note_availability(headers)
        adapter = self._adapter
        signed = first_value(headers, adapter.signature)
        refused = first_value(headers, adapter.not_run) or (
            not signed and self._is_misdirected(headers)
        )
        if refused and not self._is_certainly_own(headers):
            self.reason = f'unidentified_{status}'
        elif refused:
            self._says_not_run = True
            self.reason = f'not_run_{status}'
            self.peer.pool.note_refused(self._conn, self._exchange.request_id)
            self._check_upstream_id(headers)
        elif not signed:
            self.reason = f'unsigned_{status}'
        elif first_value(headers, 'content-encoding'):
            self.reason = 'encoded'
        elif status in NOT_RUN_STATUSES:
            # The upstream did not set the header that says so.
            self.reason = f'status_{status}'
        else:
            self._usable = True
            if length is not None and length > MAX_BUFFERED_RESPONSE_BYTES:
                self._start_streaming()

    def on_body(self, data):
        """Buffer or forward a chunk of the response."""
        if not self._usable:
            self._skip_body(data)
            return
        self._received_bytes += len(data)
        if self._streaming:
            self._read_on(self._exchange.on_stream_data(data))
            return
        self._chunks.append(data)
        held = self._chunks.size
        if held > MAX_BUFFERED_RESPONSE_BYTES or not self._read_on(held):
            self._start_streaming()

    def on_end(self):
        """Report the complete response to the exchange."""
        self.response_complete = True
        if self._says_not_run:
            self._exchange.run_record.note_not_run(self)
        if self._usable:
            # A long body or a slow caller takes no time of the upstream.
            seconds = self._responded_at - self.sent_at
            self.peer.load.note_response(
                self._loop.now(), seconds, self._backlog
            )
        idle = keep_alive_seconds(self._headers)
        if idle is not None:
            self.peer.pool.note_idle_timeout(idle)
        self._end()
        if not self._usable:
            self._exchange.on_failed(self)
        elif self._streaming:
            self._exchange.on_stream_end()
        else:
            self._exchange.on_response(
                self.status, self._response_headers(), self._chunks.join()
            )

    def on_failure(self, exc):
        """Report a connection that ended before the response did."""
        if self._ended:
            return
        self.reason = str(exc)
        if self._conn.connected:
            self.peer.in_flight_bytes.note_broken()
            if isinstance(exc, TimeoutError):
                self.peer.load.note_unreachable(self._loop.now())
            elif not self._reused and not self._conn.responding:
                # A connection over the limit is reset without a response.
                self.peer.load.note_connection_limit(self._loop.now())
        else:
            self.reason = f'connect: {exc}'
            self.peer.note_unreachable(self._loop.now())
        self._end()
        if self._streaming:
            self._exchange.on_stream_broken(self)
        else:
            self._exchange.on_failed(self)

    def on_request_drain(self):
        """Report that the send buffer is empty."""
        self._exchange.on_request_drained()

    def resume(self):
        """Resume reading: the caller has read what was forwarded."""
        if not self._ended and self._streaming and self._read_on(0):
            self._conn.resume()

    # Internal.

    def _is_certainly_own(self, headers):
        """Return whether a response can't belong to an earlier request.

        Without a request id that is certain only on a new connection.
        """
        response_id = first_value(headers, self._adapter.request_id)
        return bool(response_id) or not self._reused

    def _is_from_own_process(self, headers):
        """Return whether the process that was meant has sent a response.

        Another process that uses its address responds with 421.
        """
        if self.status != 421:
            return self._is_certainly_own(headers)
        upstream_id = first_value(headers, self._adapter.upstream_id)
        return upstream_id == self.peer.entry.upstream

    def _is_misdirected(self, headers):
        """Return whether another process than the one meant has responded.

        It doesn't run the request. A 421 that names no process, or the one
        that was meant, proves nothing without the header for "not run".
        """
        upstream_id = first_value(headers, self._adapter.upstream_id)
        return self.status == 421 and upstream_id not in (
            '',
            self.peer.entry.upstream,
        )

    def _note_availability(self, headers):
        """Record that the upstream leaves, or wants no requests for a time."""
        adapter = self._adapter
        frontend = self._exchange.frontend
        if first_value(headers, adapter.leaving) == adapter.leaving_value:
            frontend.note_departure(self.peer)
        retry_after = first_value(headers, adapter.retry_after)
        if self.status != 503 or not retry_after:
            return
        seconds = adapter.parse_retry_after(retry_after)
        if seconds is None:
            self.peer.note_malformed_retry_after(retry_after)
        elif seconds:
            frontend.note_retry_after(self.peer, seconds)

    def _check_upstream_id(self, headers):
        upstream_id = first_value(headers, self._adapter.upstream_id)
        if upstream_id and upstream_id != self.peer.entry.upstream:
            self.reason = f'replaced_by_{upstream_id}'
            self.peer.replaced = True
            self.peer.note_gone()

    def _skip_body(self, data):
        """Skip the body of an unusable response, unless it is too large."""
        self._skipped_bytes += len(data)
        if self._skipped_bytes <= MAX_BUFFERED_RESPONSE_BYTES or self._ended:
            return
        self._end()
        self._conn.abort()
        self._exchange.on_failed(self)

    def _start_streaming(self):
        self._streaming = True
        self._exchange.on_stream_start(
            self.status, self._response_headers(), self._length
        )
        held = 0
        for data in self._chunks.take():
            held = self._exchange.on_stream_data(data)
        self._read_on(held)

    def _read_on(self, held):
        """Set how much to read next; return false if that is nothing.

        `held` bytes of the response wait for the caller. If reading must not
        go on, it is paused until the caller has read them.
        """
        remaining = None
        if self._length is not None:
            remaining = max(0, self._length - self._received_bytes)
        size = self._exchange.memory.response_read_size(held, remaining)
        if size:
            self._conn.set_read_size(size)
        elif self._streaming:
            self._conn.pause()
        return size > 0

    def _response_headers(self):
        return end_to_end_fields(
            self._headers, self._exchange.dropped_response_headers
        )

    def _note_load(self, headers):
        adapter = self._adapter
        value = first_value(headers, adapter.load)
        if value:
            self._note_report(value)
        self._note_limit(first_value(headers, adapter.limit))
        cold_seconds = parse_milliseconds(
            first_value(headers, adapter.cold_ms)
        )
        if cold_seconds:
            until = self._loop.now() + cold_seconds
            self.peer.cold_until = max(self.peer.cold_until, until)

    def _note_report(self, value):
        report = self._adapter.parse_load(value)
        plausible = report is not None and self.peer.load.note_report(
            self._loop.now(), report
        )
        if not plausible:
            self._exchange.frontend.note_odd_report(self.peer, value)

    def _count_bytes(self):
        """Count what the upstream has to hold of the body."""
        size = self._exchange.body_size
        self.peer.in_flight_bytes.add(size - self._counted_bytes)
        self._counted_bytes = size

    def _note_limit(self, value):
        """Record the limit that the upstream names, or that it names none.

        Only a response to a request that ran shows that there is none; a
        malformed value shows nothing.
        """
        rate = None
        if value:
            rate = self._adapter.parse_limit(value)
            if rate is None:
                self.peer.note_malformed_limit(value)
                return
        elif not first_value(self._headers, self._adapter.signature):
            return
        self.peer.note_limit(rate)

    def _end(self):
        self._ended = True
        self.peer.load.in_flight -= 1
        self.peer.in_flight_bytes.remove(self._counted_bytes)
        self.peer.pool.release()
