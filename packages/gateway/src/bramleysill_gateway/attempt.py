"""One request on a connection to one upstream.

The attempt tells its exchange how it ended: with a whole answer, with a
stream that has begun, or with a failure and what is known of its fate.
Answers are collected up to a limit, so that a broken answer can be replaced
by another attempt; larger answers are passed on as they arrive.
"""

from bramleysill_kernel.retry_rules import AttemptOutcome
from bramleysill_net.http_headers import end_to_end_fields
from bramleysill_net.http_headers import first_value
from bramleysill_net.http_headers import keep_alive_timeout

# Answers up to this size are collected before they are passed on.
COLLECTED_BYTES = 128 << 10
# Statuses that promise the caller that its request has not run.
PROMISES_NOT_RUN = (408, 421, 429, 503)
# What a slow caller may leave unread before the upstream is held back.
MAX_UNREAD_BYTES = 256 << 10


class Attempt:
    """The exchange gets `on_answer`, `on_stream_*` or `on_failed` once."""

    __slots__ = (
        'peer',
        'fate',
        'reason',
        'status',
        'answered',
        '_exchange',
        '_adapter',
        '_loop',
        '_conn',
        '_reused',
        '_sent_at',
        '_backlog',
        '_headers',
        '_pieces',
        '_size',
        '_length',
        '_usable',
        '_streaming',
        '_over',
    )

    def __init__(self, exchange, peer, adapter, loop):
        self.peer = peer
        self.fate = AttemptOutcome.NOT_RUN
        self.reason = ''
        self.status = 0
        # Whether a whole answer, usable or not, has been received.
        self.answered = False
        self._exchange = exchange
        self._adapter = adapter
        self._loop = loop
        self._conn = None
        self._reused = False
        self._sent_at = 0.0
        self._backlog = 0.0
        self._headers = []
        self._pieces = []
        self._size = 0
        self._length = None
        self._usable = False
        self._streaming = False
        self._over = False

    def start(self, head, body):
        """Send a request's head and what is there of its body."""
        now = self._loop.now()
        self._sent_at = now
        self._backlog = self.peer.load.backlog(now)
        self.peer.load.in_flight += 1
        self._conn, self._reused = self.peer.pool.take()
        data = b''.join((head, *body))
        self._conn.request(data, self)

    def write(self, data):
        """Send a further piece of the body."""
        if not self._over:
            self._conn.write(data)

    @property
    def connected(self):
        """Tell whether the connection to the upstream stands."""
        return self._conn.connected

    @property
    def unsent(self):
        """Return the bytes of the request that are not sent yet."""
        return self._conn.buffered

    @property
    def streaming(self):
        """Tell whether a part of the answer went to the caller."""
        return self._streaming

    def cancel(self, reason):
        """Give up: the upstream sees its connection close.

        Returns what is known of the request's fate.
        """
        if not self._over:
            if self._conn.sent_bytes:
                self.fate = AttemptOutcome.UNKNOWN
            self.reason = reason
            self._end()
            self._conn.abort()
        return self.fate

    # Called by the connection.

    def accepts(self, status, headers):
        """Tell whether an answer is the one to this request.

        Only what an upstream says before it reads a request has no id.
        """
        answer_id = first_value(headers, self._adapter.request_id)
        if not answer_id and not first_value(headers, self._adapter.signature):
            return True
        return answer_id == self._exchange.request_id

    def on_head(self, status, headers, length):
        """Judge an answer by its head."""
        self.status = status
        self._headers = headers
        self._length = length
        self._note_load(headers)
        adapter = self._adapter
        signed = first_value(headers, adapter.signature)
        if first_value(headers, adapter.not_run) or status == 421:
            self.reason = f'not_run_{status}'
            self._check_upstream(headers)
        elif not signed:
            self._conclude_unknown(f'unsigned_{status}')
        elif first_value(headers, 'content-encoding'):
            self._conclude_unknown('encoded')
        elif status in PROMISES_NOT_RUN:
            # These promise the caller that its request has not run, which
            # the upstream did not say.
            self._conclude_unknown(f'status_{status}')
        else:
            self.fate = AttemptOutcome.UNKNOWN
            self._usable = True
            if length is not None and length > COLLECTED_BYTES:
                self._begin_stream()

    def on_body(self, data):
        """Collect or pass on a piece of the answer."""
        if not self._usable:
            return
        if self._streaming:
            if self._exchange.on_stream_data(data) > MAX_UNREAD_BYTES:
                self._conn.pause()
            return
        self._pieces.append(data)
        self._size += len(data)
        if self._size > COLLECTED_BYTES:
            self._begin_stream()

    def on_end(self):
        """The answer is complete."""
        seconds = self._loop.now() - self._sent_at
        self.answered = True
        if self._usable:
            self.peer.load.note_answer(
                self._loop.now(), seconds, self._backlog
            )
        idle = keep_alive_timeout(self._headers)
        if idle is not None:
            self.peer.pool.note_idle_timeout(idle)
        self._end()
        if not self._usable:
            self._exchange.on_failed(self)
        elif self._streaming:
            self._exchange.on_stream_end()
        else:
            self._exchange.on_answer(
                self.status, self._answer_headers(), b''.join(self._pieces)
            )

    def on_failure(self, exc):
        """The connection ended before the answer was complete."""
        if self._over:
            return
        if self._conn.sent_bytes:
            self.fate = AttemptOutcome.UNKNOWN
        else:
            self.fate = AttemptOutcome.NOT_RUN
        self.reason = str(exc)
        if not self._conn.connected:
            self.reason = f'connect: {exc}'
            self.peer.load.note_unreachable(self._loop.now())
        elif isinstance(exc, TimeoutError):
            self.peer.load.note_unreachable(self._loop.now())
        elif not self._reused and not self.status:
            self.peer.load.note_connection_limit(self._loop.now())
        self._end()
        if self._streaming:
            self._exchange.on_stream_broken(self)
        else:
            self._exchange.on_failed(self)

    def on_request_drain(self):
        """The upstream has taken what was written of the body."""
        self._exchange.on_upload_drained()

    def resume(self):
        """The caller has read what was passed on."""
        if not self._over and self._streaming:
            self._conn.resume()

    # Internal.

    def _check_upstream(self, headers):
        answered = first_value(headers, self._adapter.upstream_id)
        if answered and answered != self.peer.entry.upstream:
            self.reason = f'replaced_by_{answered}'
            self.peer.replaced = True

    def _conclude_unknown(self, reason):
        self.fate = AttemptOutcome.UNKNOWN
        self.reason = reason

    def _begin_stream(self):
        self._streaming = True
        self._exchange.on_stream_start(
            self.status, self._answer_headers(), self._length
        )
        pieces, self._pieces = self._pieces, []
        for data in pieces:
            self._exchange.on_stream_data(data)

    def _answer_headers(self):
        return end_to_end_fields(self._headers, self._exchange.answer_drops)

    def _note_load(self, headers):
        adapter = self._adapter
        value = first_value(headers, adapter.load)
        if value:
            report = adapter.parse_load(value)
            if report is not None:
                self.peer.load.note_report(self._loop.now(), report)
        cold = first_value(headers, adapter.cold_ms)
        if cold.isdecimal() and int(cold):
            until = self._loop.now() + int(cold) / 1000
            self.peer.cold_until = max(self.peer.cold_until, until)

    def _end(self):
        self._over = True
        self.peer.load.in_flight -= 1
        self.peer.pool.done()
