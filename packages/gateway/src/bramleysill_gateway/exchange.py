"""Handles one request from its header to the end of its response.

The exchange buffers the body, selects an upstream and sends the request. It
retries a failed attempt if the request was certainly not run or its route is
idempotent. Every request ends in exactly one response, refusal or closed
connection, and in one log line.
"""

import math

from bramleysill_gateway import request_refusals
from bramleysill_gateway.attempt import Attempt
from bramleysill_gateway.exchange_log import ExchangeLog
from bramleysill_gateway.peer_selection import PeerSelection
from bramleysill_gateway.quota_hold import QuotaHold
from bramleysill_gateway.request_head import encode_head
from bramleysill_gateway.run_record import RunRecord
from bramleysill_gateway.upload import Upload
from bramleysill_kernel.common import refusals
from bramleysill_kernel.common.exceptions import OUTCOME_UNKNOWN
from bramleysill_kernel.common.problems import to_problem
from bramleysill_kernel.load.retry_rules import AttemptOutcome
from bramleysill_kernel.load.retry_rules import may_retry

# Added to the deadline, so that a response already in transit is accepted.
DEADLINE_SLACK_SECONDS = 0.05
# An attempt fails if its connection is not established within this time.
CONNECT_TIMEOUT_SECONDS = 0.5
# Outcomes logged as request_done; refusals log request_refused instead.
LOGGED_OUTCOMES = ('answered', 'answer_broken', 'caller_left')
# Delay before a retry at the same owner, for example after it was full.
OWNER_RETRY_DELAY_SECONDS = 0.03


class Exchange:
    """A request in progress; `frontend` holds the state all requests share."""

    __slots__ = (
        'frontend',
        'stream',
        'req',
        'route',
        'service',
        'organisation',
        'key',
        'request_id',
        'dropped_response_headers',
        'finished',
        'received_at',
        'config_version',
        'owned_range',
        'peer',
        'report_age',
        'dropped_fields',
        'memory',
        'run_record',
        '_deadline',
        '_caller_deadline',
        '_upload',
        '_has_memory',
        '_log',
        '_attempt',
        '_attempt_count',
        '_selection',
        '_deadline_timer',
        '_connect_timer',
        '_dispatch_timer',
        '_dispatching',
        '_dispatch_due',
        '_last_failure',
        '_failed_upstreams',
        '_quota',
    )

    def __init__(
        self,
        frontend,
        stream,
        req,
        route,
        service,
        version,
        organisation=None,
        dropped_fields=frozenset(),
    ):
        # A pipelined request may have waited for its turn.
        now = req.arrived_at
        adapter = frontend.adapter
        self.frontend = frontend
        self.stream = stream
        self.req = req
        self.route = route
        self.service = service
        # The Organisation that holds the key of the request, or None.
        self.organisation = organisation
        # Further fields of the caller that are not forwarded.
        self.dropped_fields = dropped_fields
        self.request_id = req.header(adapter.request_id)
        self.key = None
        self.dropped_response_headers = frontend.dropped_response_headers
        self.finished = False
        self.received_at = now
        self.config_version = version
        # Until when the caller waits; None if it has not told.
        self._caller_deadline, self._deadline = frontend.deadlines(req, route)
        # The RequestMemory of this request; see `check_memory`.
        self.memory, self._has_memory = frontend.memory.open(
            req, route.priority
        )
        self._upload = Upload(self, self.memory)
        self._log = ExchangeLog(self)
        self._attempt = None
        self._attempt_count = 0
        self.run_record = RunRecord()
        self._connect_timer = None
        self._dispatch_timer = None
        # Whether `dispatch` is running, and whether it was called again.
        self._dispatching = False
        self._dispatch_due = False
        # The last failed attempt.
        self._last_failure = None
        # Upstreams that have failed this request.
        self._failed_upstreams = set()
        # Key range and upstream of the last attempt.
        self.owned_range = None
        self.peer = None
        # Age of the upstream's load report at the last send, in seconds.
        self.report_age = math.inf
        self._quota = QuotaHold(self)
        self._selection = PeerSelection(self, now)
        stream.on_drained = self._on_caller_drained
        stream.on_flushed = self.memory.close
        self._deadline_timer = frontend.loop.scheduler.call_at(
            self._deadline + DEADLINE_SLACK_SECONDS, self._on_deadline
        )

    def check_memory(self):
        """Refuse the request if the router has no memory for it."""
        if not self._has_memory:
            refusal = self.frontend.memory.refuse(
                self.memory, self.bound_retry_after
            )
            self.refuse(refusal)

    # Events from the caller.

    def on_body(self, data):
        """Buffer a chunk of the request body, or send it on."""
        if self.finished:
            return
        size = self._upload.body.size + len(data)
        if size > self.frontend.max_body_bytes:
            self.refuse(
                refusals.BodyTooLarge(
                    'the request body is too large', 'receive'
                )
            )
            return
        self._upload.on_data(data)

    def on_end(self):
        """Handle the end of the request body."""
        self._upload.on_end()

    def on_abort(self, exc):
        """Cancel the attempt: the caller has closed its connection."""
        if self.finished:
            return
        self._finish('caller_left', 0)
        if self._attempt is not None:
            self._attempt.cancel('caller_left')
            self._log.cancelled(self._attempt)

    @property
    def body_size(self):
        """Return the length of the body, as far as it is known."""
        return self._upload.size

    @property
    def expected_seconds(self):
        """Return the estimated response time of the last attempt."""
        return self._selection.expected_seconds

    def time_left(self, now):
        """Return the seconds until the deadline."""
        return self._deadline - now

    # Dispatch.

    def dispatch(self):
        """Send the request to an upstream, delay it or refuse it.

        A call during another one, as by a decision that comes at once, takes
        its turn after it, so that no two of them send the request.
        """
        self._dispatch_due = True
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._dispatch_due:
                self._dispatch_due = False
                self._dispatch_once()
        finally:
            self._dispatching = False

    def _dispatch_once(self):
        if self.finished or self._attempt is not None:
            return
        now = self.frontend.loop.now()
        if now >= self._deadline:
            self._on_deadline()
            return
        if not self._quota.may_dispatch(now):
            return
        peer = self._selection.find_peer(now, self._failed_upstreams)
        if peer is not None:
            self._send(peer, now)
        self._quota.release_unused()

    def dispatch_at(self, at):
        """Dispatch the request at a later time, in seconds."""
        self.call_at(at, self.dispatch)

    def call_at(self, at, callback):
        """Call back at a time, or at the deadline if that is earlier.

        This replaces an earlier call that has not been made yet.
        """
        if self._dispatch_timer is not None:
            self._dispatch_timer.cancel()
        self._dispatch_timer = self.frontend.loop.scheduler.call_at(
            min(at, self._deadline), callback
        )

    def _send(self, peer, now):
        if self._attempt_count:
            if not self.frontend.take_retry(self.service):
                self.refuse(self._refusal_after_attempts('retry_budget'))
                return
        else:
            self.frontend.note_request(self)
        self._attempt_count += 1
        attempt = Attempt(
            self, peer, self.frontend.adapter, self.frontend.loop
        )
        self._attempt = attempt
        self._quota.note_sent()
        self.peer = peer
        self.report_age = self.frontend.choice.note_choice(self, peer, now)
        framing = self._upload.body.framing_headers()
        self._upload.start(
            attempt,
            encode_head(self, peer.entry, self._deadline - now, framing),
        )
        if self._attempt is attempt and not attempt.connected:
            at = min(now + CONNECT_TIMEOUT_SECONDS, self._deadline)
            self._connect_timer = self.frontend.loop.scheduler.call_at(
                at, lambda: self._check_connected(attempt)
            )

    def _check_connected(self, attempt):
        if self._attempt is not attempt or attempt.connected:
            return
        attempt.peer.note_unreachable(self.frontend.loop.now())
        attempt.cancel('connect_timeout')
        self.on_failed(attempt)

    # Events from the attempt.

    def on_response(self, status, headers, body):
        """Send a complete response to the caller."""
        self._attempt = None
        if self.finished:
            return
        self._finish('answered', status)
        self.stream.send(status, headers, body)

    def on_failed(self, attempt):
        """Retry or refuse after an attempt without a usable response."""
        self._attempt = None
        self._last_failure = attempt
        if self.finished:
            return
        now = self.frontend.loop.now()
        # An attempt uses up its own token only. Whether the request may be
        # sent again depends on all its attempts.
        self._quota.note_failed(attempt.outcome)
        others_free = 0
        if attempt.status == 421 and self.service.keyed:
            self.frontend.stale_owners.note(
                self.service.name, self.owned_range
            )
        elif (
            attempt.response_complete
            and attempt.outcome is AttemptOutcome.NOT_RUN
        ):
            attempt.peer.load.note_full(now)
            if attempt.status != 421:
                others_free = self.frontend.choice.count_full_refusal(
                    self, attempt.peer, 'upstream'
                )
        self._log.failed(attempt, self._attempt_count, others_free)
        self._failed_upstreams.add(attempt.peer.entry.upstream)
        left = self._deadline - now
        if self._upload.streaming or not may_retry(
            self.route, self.run_record.outcome, self._attempt_count, left
        ):
            self.refuse(self._refusal_after_attempts('no_more_attempts'))
            return
        if self.service.keyed and attempt.status != 421:
            self.dispatch_at(now + OWNER_RETRY_DELAY_SECONDS)
            return
        self.dispatch()

    def on_stream_start(self, status, headers, length):
        """Start streaming a response; no retry is possible after this."""
        self.stream.start(status, headers, length)

    def on_stream_data(self, data):
        """Forward a chunk; return the bytes that the caller has not read."""
        if self.finished:
            return 0
        self.stream.write(data)
        return self.stream.buffered

    def on_stream_end(self):
        """End a streamed response that is complete."""
        attempt, self._attempt = self._attempt, None
        if self.finished:
            return
        self._finish('answered', attempt.status)
        self.stream.end()

    def on_stream_broken(self, attempt):
        """Abort a streamed response, so that the caller detects the loss."""
        self._attempt = None
        if self.finished:
            return
        self._log.failed(attempt, self._attempt_count)
        self._finish('answer_broken', attempt.status)
        self.stream.abort()

    def on_request_drained(self):
        """Resume reading the body: the send buffer upstream is empty."""
        if not self.finished:
            self._upload.on_drained()

    def _on_caller_drained(self):
        if self._attempt is not None:
            self._attempt.resume()

    # Outcomes.

    def _on_deadline(self):
        if self.finished:
            return
        attempt = self._attempt
        if attempt is not None:
            if attempt.streaming:
                self._limit_stream()
                return
            attempt.cancel('deadline')
            self._attempt = None
            self._quota.note_failed(attempt.outcome)
            self._last_failure = attempt
            self._log.failed(attempt, self._attempt_count)
        self.refuse(self._refusal_after_attempts('deadline', timed_out=True))

    def _limit_stream(self):
        """Let a streamed response go on while the caller waits for it.

        It may outlast the route's time limit, but not the caller's.
        """
        if self._caller_deadline is None:
            return
        end = self._caller_deadline + DEADLINE_SLACK_SECONDS
        now = self.frontend.loop.now()
        if now < end:
            self._deadline_timer = self.frontend.loop.scheduler.call_at(
                end, self._on_deadline
            )
            return
        attempt = self._attempt
        attempt.cancel('deadline')
        self.on_stream_broken(attempt)

    def _refusal_after_attempts(self, step, timed_out=False):
        attempt = self.run_record.last_that_may_have_run
        if attempt is not None:
            return request_refusals.may_have_run(attempt, step, timed_out)
        return request_refusals.not_run(
            self._last_failure, self.service.name, step, self.bound_retry_after
        )

    def bound_retry_after(self, seconds):
        """Return a Retry-After that fits into the time left."""
        left = self._deadline - self.frontend.loop.now()
        return request_refusals.bound_retry_after(seconds, left)

    def refuse(self, refusal):
        """Log a refusal and send it to the caller.

        Some statuses tell the caller that its request has not run and never
        will. They are replaced if it may have run.
        """
        if self.finished:
            return
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel(refusal.code)
            self._log.failed(attempt, self._attempt_count)
        attempt = self.run_record.last_that_may_have_run
        if attempt is not None:
            refusal.outcome = OUTCOME_UNKNOWN
            if refusal.status in refusals.NOT_RUN_STATUSES:
                refusal = request_refusals.may_have_run(attempt, 'retry')
        self._log.refused(refusal, self._attempt_count)
        self._finish(refusal.code, refusal.status)
        if self.stream.started:
            # The caller has a part of a response that doesn't go on.
            self.stream.abort()
            return
        status, headers, body = to_problem(
            refusal, self.request_id, whole_seconds=False
        )
        self.stream.send(status, headers, body)

    def _finish(self, outcome, status):
        self.finished = True
        self._quota.finish()
        self._upload.close()
        for timer in (
            self._deadline_timer,
            self._connect_timer,
            self._dispatch_timer,
        ):
            if timer is not None:
                timer.cancel()
        now = self.frontend.loop.now()
        self.frontend.on_finished(self, outcome, now - self.received_at)
        if outcome in LOGGED_OUTCOMES:
            self._log.done(outcome, status, self._attempt_count)
