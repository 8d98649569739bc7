"""Runs one request of a caller: its attempts and its response."""

from bramleysill_kernel.common import refusals
from bramleysill_kernel.common.exceptions import OUTCOME_NOT_RUN
from bramleysill_kernel.common.exceptions import OUTCOME_UNKNOWN
from bramleysill_kernel.common.exceptions import Refusal
from bramleysill_kernel.common.problems import to_problem
from bramleysill_router import headers
from bramleysill_router.attempts import WINDOW_BYTES
from bramleysill_router.attempts import RequestHead
from bramleysill_router.hedged import HedgedAttempt
from bramleysill_router.logs import log_request

# Bytes of a request's body that are buffered, so that a request that was not
# run can be sent again.
REPLAY_BUFFER_BYTES = 64 * 1024
# How long a request is held while its key moves; see design section 5.1.
MAX_HOLD_SECONDS = 2.0
HOLD_RETRY_INTERVAL_SECONDS = 0.05
# The dispatcher reports the outcome at the deadline. The entry waits this much
# longer, because the report takes time to arrive.
DEADLINE_MARGIN_SECONDS = 0.25

# Refusals of requests that were not run because ownership or a role is
# changing. Retrying them puts no load on an upstream, so they are exempt from
# the retry budget.
HELD_CODES = frozenset(
    ('owner_moving', 'not_dispatcher', 'no_authority', 'owner_lost')
)

_SUBMITTING = 'submitting'
_ADMITTED = 'admitted'
_ENDED = 'ended'


class Exchange:
    """A caller's request: receives its body and the responses of attempts.

    The body is buffered until an attempt is admitted, at most
    REPLAY_BUFFER_BYTES plus one read, so that a request that was not run can
    be sent to another upstream. From then on the body streams, and reading
    from the caller pauses while WINDOW_BYTES or more are buffered.
    """

    __slots__ = (
        'started_at',
        'deadline',
        'finished',
        '_entry',
        '_stream',
        '_req',
        '_request_id',
        '_hold_until',
        '_target',
        '_attempt',
        '_retry_timer',
        '_deadline_timer',
        '_attempt_count',
        '_replay_buffer',
        '_submitted_bytes',
        '_body_size',
        '_body_complete',
        '_streaming',
        '_upstream',
        '_excluded',
        '_headers',
        '_attempt_started_at',
        '_awaiting_response_since',
        '_hedge_policy',
        '_phase',
        '_submitted_complete',
        '_may_have_run',
    )

    def __init__(self, entry, stream, req, request_id):
        self.started_at = entry.loop.now()
        self.deadline = self.started_at
        self.finished = False
        self._entry = entry
        self._stream = stream
        self._req = req
        self._request_id = request_id
        self._hold_until = self.started_at + MAX_HOLD_SECONDS
        self._target = None
        self._attempt = None
        self._retry_timer = None
        self._deadline_timer = None
        self._attempt_count = 0
        self._replay_buffer = bytearray()
        self._submitted_bytes = 0
        self._body_size = 0
        self._body_complete = not req.has_body
        self._streaming = False
        self._upstream = ''
        self._excluded = ()
        self._headers = None
        self._attempt_started_at = None
        self._awaiting_response_since = None
        self._hedge_policy = None
        self._phase = _ENDED
        self._submitted_complete = False
        self._may_have_run = False
        stream.on_drained = self._on_caller_drained

    # The request and its body.

    def start(self, target):
        """Start the request.

        The first attempt of a request with a body starts once the body is
        complete or fills the replay buffer.
        """
        self._target = target
        self.deadline = self.started_at + target.timeout
        self._headers = headers.forwarded_request_fields(self._req.headers)
        self._entry.retry_budgets.note_request(target.service)
        self._hedge_policy = self._entry.hedge_policies.policy_for(
            target, self._req
        )
        if self._hedge_policy is not None:
            self._hedge_policy.note_request()
        self._schedule_deadline_check()
        if self._body_complete:
            self._start_attempt()

    def on_body(self, data):
        """Forward or buffer a piece of the caller's body."""
        if self.finished:
            return
        self._body_size += len(data)
        if self._body_size > self._target.service.max_body_bytes:
            self._refuse_oversized_body()
            return
        self._extend_deadline()
        if self._streaming:
            self._attempt.write(data)
            if self._attempt.buffered >= WINDOW_BYTES:
                self._stream.pause()
            return
        self._replay_buffer += data
        if len(self._replay_buffer) >= REPLAY_BUFFER_BYTES:
            self._stream.pause()
            self._start_first_attempt()

    def on_end(self):
        """Record that the caller's body is complete."""
        if self.finished or self._body_complete:
            return
        self._body_complete = True
        if self._streaming:
            self._attempt.end()
        else:
            self._start_first_attempt()

    def on_abort(self, exc):
        """Cancel the request of a caller that has disconnected.

        Also called if the rest of the body is malformed.
        """
        if not self.finished:
            self._cancel_attempt()
            self._finish('caller_left')

    # Attempts.

    def retry_now(self):
        """Start the pending retry at once, after a change of state."""
        if self._retry_timer is not None and not self.finished:
            self._retry_timer.cancel()
            self._start_attempt()

    def _start_first_attempt(self):
        if self._attempt is None and self._retry_timer is None:
            self._start_attempt()

    def _start_attempt(self):
        self._retry_timer = None
        self._entry.waiting.discard(self)
        if self.finished:
            return
        try:
            location = self._entry.locator.locate(self._target, self._excluded)
        except Refusal as exc:
            self.on_refused(exc)
            return
        self._upstream, unit, fence, router = location
        self._attempt_count += 1
        self._submitted_bytes = len(self._replay_buffer)
        self._submitted_complete = self._body_complete
        head = self._make_head(unit, fence)
        # A local dispatcher may admit or refuse the attempt before submit
        # returns; the phase records which of the two happened.
        self._phase = _SUBMITTING
        if self._hedge_policy is not None:
            attempt = self._submit_hedged(router, head)
        else:
            attempt = self._submit(router, head)
        if self._phase == _ENDED:
            return
        self._attempt = attempt
        if self._phase == _ADMITTED:
            self._stream_body()

    def _submit(self, router, head):
        now = self._entry.loop.now()
        self._attempt_started_at = now
        self._awaiting_response_since = None if self._req.has_body else now
        self._entry.locator.note_sent(
            self._target.service.name,
            self._upstream,
            self._awaiting_response_since,
        )
        return self._entry.submit(
            router, head, self, bytes(self._replay_buffer), self._body_complete
        )

    def _submit_hedged(self, router, head):
        # A hedged attempt reports its sub-attempts to the locator itself.
        attempt = HedgedAttempt(
            self._entry,
            self._target,
            self._excluded,
            head,
            self,
            self._hedge_policy,
        )
        attempt.start(router)
        return attempt

    def _make_head(self, unit, fence):
        req = self._req
        target = self._target
        length = req.length
        if req.chunked:
            length = len(self._replay_buffer) if self._body_complete else -1
        return RequestHead(
            self._request_id,
            target.service.name,
            self._upstream,
            unit,
            fence,
            req.method,
            req.target,
            self._headers,
            length,
            self.deadline,
            target.repeatable,
            self._stream.peer.rpartition(':')[0],
            target.priority,
            target.idempotency_key,
            target.key,
            target.route.name if target.route is not None else '',
        )

    def _report_attempt_end(self, ok):
        if self._attempt_started_at is None:
            return
        seconds = self._entry.loop.now() - self._attempt_started_at
        self._attempt_started_at = None
        self._entry.locator.note_ended(
            self._target.service.name,
            self._upstream,
            self._awaiting_response_since,
            seconds,
            ok,
        )

    def _cancel_attempt(self):
        self._report_attempt_end(False)
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel()

    # The sink of attempts.

    def on_admitted(self):
        """Stream the rest of the body once the request has a slot."""
        self._phase = _ADMITTED
        if self._attempt is not None:
            self._stream_body()

    def _stream_body(self):
        attempt = self._attempt
        if self._streaming or self.finished:
            return
        if self._submitted_complete:
            return
        self._streaming = True
        rest = bytes(self._replay_buffer[self._submitted_bytes :])
        self._replay_buffer.clear()
        if rest:
            attempt.write(rest)
        if self._body_complete:
            attempt.end()
        elif attempt.buffered < WINDOW_BYTES:
            self._stream.resume()

    def on_upstream_changed(self, name):
        """Record that a hedged attempt has switched to another upstream."""
        if name != self._upstream:
            self._excluded = (*self._excluded, self._upstream)
            self._upstream = name

    def on_drain(self):
        """Resume reading from the caller if the buffer has room again."""
        attempt = self._attempt
        if self.finished or attempt is None:
            return
        self._extend_deadline()
        if self._streaming and attempt.buffered < WINDOW_BYTES:
            self._stream.resume()

    def on_response_head(self, status, fields, length):
        """Forward the head of the response to the caller."""
        if self.finished:
            return
        if self._attempt_started_at is not None:
            self._entry.locator.note_response_started(
                self._target.service.name,
                self._upstream,
                self._awaiting_response_since,
            )
        fields = headers.forwarded_response_fields(fields)
        fields.append(('Sill-Request-Id', self._request_id))
        self._stream.start(status, fields, length)

    def on_response_body(self, data):
        """Forward a piece of the response's body to the caller."""
        if self.finished:
            return
        self._extend_deadline()
        self._stream.write(data)
        if self._stream.buffered >= WINDOW_BYTES and self._attempt:
            self._attempt.pause()

    def on_response_end(self):
        """Finish the request after a complete response."""
        self._phase = _ENDED
        if self.finished:
            return
        self._attempt = None
        self._report_attempt_end(True)
        self._finish('ok')
        self._stream.end()

    def on_refused(self, refusal):
        """Handle a failed attempt: hold, retry or refuse the request."""
        self._phase = _ENDED
        self._attempt = None
        self._report_attempt_end(False)
        if refusal.outcome != OUTCOME_NOT_RUN:
            self._may_have_run = True
        if self.finished:
            return
        if self._stream.started:
            # The head has been sent, so only an aborted connection shows the
            # caller that the response is incomplete.
            self._finish('answer_cut')
            self._stream.abort()
            return
        delay = self._retry_delay(refusal)
        if delay is None:
            self.refuse(refusal)
            return
        now = self._entry.loop.now()
        self._entry.waiting.add(self)
        self._retry_timer = self._entry.loop.scheduler.call_at(
            now + delay, self._start_attempt
        )

    def refuse(self, refusal):
        """Respond to the caller with a problem document."""
        if self.finished:
            return
        if self._may_have_run:
            # An earlier attempt may have run, even if the last one has not.
            refusal.outcome = OUTCOME_UNKNOWN
            if refusal.status in refusals.NOT_RUN_STATUSES:
                refusal = refusals.ConnectionLost(
                    f'the request may have run: {refusal.message}',
                    refusal.step,
                    refusal.peer,
                )
        self._finish(refusal.code, refusal)
        if self._stream.started:
            # The caller has a part of a response that doesn't go on.
            self._stream.abort()
            return
        status, fields, body = to_problem(refusal, self._request_id)
        fields.append(('Sill-Request-Id', self._request_id))
        self._stream.send(status, fields, body)

    # Internal.

    def _retry_delay(self, refusal):
        if self._streaming:
            return None
        now = self._entry.loop.now()
        if refusal.outcome == OUTCOME_NOT_RUN and refusal.code in HELD_CODES:
            until = min(self._hold_until, self.deadline)
            return HOLD_RETRY_INTERVAL_SECONDS if now < until else None
        if self._target.service.kind != 'keyed' and self._upstream:
            self._excluded = (*self._excluded, self._upstream)
        return self._entry.retry_budgets.delay(
            self._target.service,
            refusal,
            self._target.repeatable,
            self._attempt_count,
            self.deadline,
        )

    def _refuse_oversized_body(self):
        outcome = OUTCOME_UNKNOWN if self._attempt else OUTCOME_NOT_RUN
        self._cancel_attempt()
        limit = self._target.service.max_body_bytes
        self.refuse(
            refusals.BodyTooLarge(
                f'the body exceeds the limit of {limit} bytes',
                'receive',
                outcome=outcome,
            )
        )

    def _on_caller_drained(self):
        if self._attempt is not None and not self.finished:
            self._attempt.resume()

    def _schedule_deadline_check(self):
        when = self.deadline + DEADLINE_MARGIN_SECONDS
        self._deadline_timer = self._entry.loop.scheduler.call_at(
            when, self._on_deadline
        )

    def _extend_deadline(self):
        # A transfer may last longer than the request's timeout as long as it
        # makes progress.
        timeout = self._target.timeout
        self.deadline = self._entry.loop.now() + timeout

    def _on_deadline(self):
        if self.finished:
            return
        if self._entry.loop.now() < self.deadline + DEADLINE_MARGIN_SECONDS:
            self._schedule_deadline_check()
            return
        attempted = self._attempt is not None
        self._cancel_attempt()
        if self._stream.started:
            self._finish('answer_cut')
            self._stream.abort()
            return
        cls = refusals.DeadlineNotRun
        if attempted:
            cls = refusals.DeadlineUnknown
        self.refuse(
            cls('no response before the deadline', 'wait', self._upstream)
        )

    def _finish(self, code, refusal=None):
        self.finished = True
        for timer in (self._retry_timer, self._deadline_timer):
            if timer is not None:
                timer.cancel()
        entry = self._entry
        entry.waiting.discard(self)
        entry.active.discard(self)
        service = self._target.service.name if self._target else ''
        seconds = entry.loop.now() - self.started_at
        entry.metrics.observe(service, code, seconds)
        log_request(
            role='entry',
            request_id=self._request_id,
            service=service,
            upstream=self._upstream,
            code=code,
            attempts=self._attempt_count,
            ms=seconds * 1000,
            step=refusal.step if refusal else '',
            peer=refusal.peer if refusal else '',
        )
