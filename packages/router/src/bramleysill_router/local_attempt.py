"""An attempt at an upstream that this router dispatches for."""

from bramleysill_kernel.common import refusals
from bramleysill_kernel.common.exceptions import OUTCOME_NOT_RUN
from bramleysill_kernel.load.admission import RESULT_LOST
from bramleysill_kernel.load.admission import RESULT_OK
from bramleysill_kernel.load.admission import RESULT_SHED
from bramleysill_kernel.load.queueing import WorkItem
from bramleysill_net.response_errors import ResponseTooLarge
from bramleysill_net.response_sinks import MAX_SKIPPED_BODY_BYTES
from bramleysill_router import headers

_NOT_RUN_STATUSES = frozenset((409, 503))
_STALE_REASONS = frozenset(('no_grant', 'stale_fence'))


class LocalAttempt:
    """A request at an upstream, from its admission to the end of the response.

    The dispatcher calls `start` when the request is admitted; from then on
    the attempt holds a slot and an upstream connection. It gives the slot
    back with `dispatcher.attempt_done` once the upstream has finished.
    """

    __slots__ = (
        'head',
        'work',
        'deadline',
        'sent_at',
        'response_started',
        'state',
        '_dispatcher',
        '_sink',
        '_conn',
        '_pending_body',
        '_pending_bytes',
        '_body_complete',
        '_not_run_reason',
        '_skipped_bytes',
        '_finished',
        '_recording',
    )

    def __init__(self, dispatcher, head, sink, recording):
        self.head = head
        self.deadline = head.deadline
        self.sent_at = 0.0
        self.response_started = False
        self.state = ''
        # The admission returns WorkItems; their id is the attempt.
        self.work = WorkItem(
            id=self,
            service=head.service,
            unit=head.unit,
            fence=head.fence,
            deadline=head.deadline,
            caller=head.caller,
            priority=head.priority,
            repeatable=head.repeatable,
            route=head.route,
        )
        self._dispatcher = dispatcher
        self._sink = sink
        self._conn = None
        self._pending_body = []
        self._pending_bytes = 0
        self._body_complete = head.length == 0
        self._not_run_reason = None
        # Bytes of the body of a response that tells of a request not run.
        self._skipped_bytes = 0
        self._finished = False
        self._recording = recording

    # The attempt interface, called by the entry.

    @property
    def buffered(self):
        """Return the bytes of the body that are not yet sent upstream."""
        if self._conn is not None:
            return self._pending_bytes + self._conn.buffered
        return self._pending_bytes

    def write(self, data):
        """Send or buffer a piece of the request's body."""
        if self._finished:
            return
        if self._conn is None:
            self._pending_body.append(data)
            self._pending_bytes += len(data)
        else:
            self._extend_deadline()
            self._conn.write(self._encode_body(data))

    def end(self):
        """End the request's body."""
        if self._finished:
            return
        self._body_complete = True
        if self._conn is None:
            return
        if self.head.length < 0:
            self._conn.write(b'0\r\n\r\n')
        self._conn.end_request()

    def cancel(self):
        """Cancel at the entry's request, whether queued or running."""
        self._sink = None
        if not self._finished:
            self._dispatcher.attempt_cancelled(self)

    def pause(self):
        """Pause reading the response."""
        if self._conn is not None and not self._finished:
            self._conn.pause()

    def resume(self):
        """Resume reading the response."""
        if self._conn is not None and not self._finished:
            self._conn.resume()

    # Called by the dispatcher.

    @property
    def running(self):
        """Return whether the request was sent and is not finished."""
        return self._conn is not None and not self._finished

    def start(self, conn, host, now):
        """Send the request on a connection."""
        self._conn = conn
        self.sent_at = now
        timeout_ms = max(1, int((self.deadline - now) * 1000))
        pieces = [headers.encode_upstream_request(self.head, host, timeout_ms)]
        pieces += [self._encode_body(d) for d in self._pending_body]
        if self._body_complete and self.head.length < 0:
            pieces.append(b'0\r\n\r\n')
        self._pending_body.clear()
        self._pending_bytes = 0
        conn.request(
            b''.join(pieces),
            self,
            self.head.method == 'HEAD',
            self._body_complete,
        )
        if self._sink is not None:
            self._sink.on_admitted()

    def refuse(self, refusal):
        """End the attempt with a refusal."""
        self._finished = True
        self._recording.refused(refusal)
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.on_refused(refusal)

    def replay(self, recorded):
        """Respond with the recorded response of the same idempotency key."""
        self._finished = True
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.on_response_head(
                recorded.status, recorded.fields, len(recorded.body)
            )
            if recorded.body:
                sink.on_response_body(recorded.body)
            sink.on_response_end()

    def expire(self):
        """Refuse and cancel a running request whose deadline has passed."""
        self.refuse(
            refusals.DeadlineUnknown(
                'the upstream did not respond before the deadline',
                'upstream',
                self.head.upstream,
            )
        )
        self._dispatcher.attempt_cancelled(self)

    def withdraw(self):
        """Drop an attempt that was cancelled before anything was sent."""
        self._finished = True
        self._sink = None
        self._recording.not_run()

    def abort(self):
        """Close the connection, which also cancels the work."""
        self._finished = True
        self._sink = None
        if self._conn is not None:
            self._conn.abort()

    # The sink of the upstream connection.

    def on_head(self, status, fields, length):
        """Forward the head of the response, unless the request was not run."""
        self._extend_deadline()
        self.state = self._dispatcher.find_sill_state(fields)
        if status in _NOT_RUN_STATUSES:
            values = dict(fields)
            if values.get(headers.NOT_RUN) == '1':
                self._not_run_reason = values.get('sill-reason', 'shed')
                # Responses name no request: a second copy of the refusal
                # would be taken for the response to the next one.
                self._conn.close_after_response()
                return
        self.response_started = True
        self._recording.note_head(status, fields)
        if self._sink is not None:
            self._sink.on_response_head(status, fields, length)

    def on_body(self, data):
        """Forward a piece of the response."""
        if self._not_run_reason is not None:
            self._skip_body(data)
            return
        self._extend_deadline()
        self._recording.note_body(data)
        if self._sink is not None:
            self._sink.on_response_body(data)

    def on_end(self):
        """Finish after a complete response and free the slot."""
        if self._finished:
            return
        if self._not_run_reason is not None:
            self._refuse_not_run()
            return
        self._finished = True
        self._recording.done()
        self._dispatcher.attempt_done(self, RESULT_OK)
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.on_response_end()

    def on_request_drain(self):
        """Report that more of the body can be written."""
        self._extend_deadline()
        if self._sink is not None:
            self._sink.on_drain()

    def on_failure(self, exc):
        """Refuse: the connection failed before the response was complete."""
        if self._finished:
            return
        if self._not_run_reason is not None:
            self._refuse_not_run()
            return
        sent = self._conn.sent_bytes
        peer = self.head.upstream
        if sent == 0:
            refusal = refusals.UpstreamUnreachable(
                f'{exc}', 'connect', peer, retry_after=1
            )
        else:
            refusal = refusals.ConnectionLost(f'{exc}', 'upstream', peer)
        self._dispatcher.attempt_done(self, RESULT_LOST)
        self.refuse(refusal)

    # Internal.

    def _extend_deadline(self):
        # Progress of a transfer extends its deadline, as in Exchange, but by
        # the timeout of the service and not of the request.
        timeout = self._dispatcher.service.timeout
        if self.response_started or self.head.length:
            self.deadline = self._dispatcher.now() + timeout

    def _encode_body(self, data):
        # An empty chunk would end the body.
        if self.head.length < 0 and data:
            return b'%x\r\n' % len(data) + data + b'\r\n'
        return data

    def _skip_body(self, data):
        self._skipped_bytes += len(data)
        if self._skipped_bytes > MAX_SKIPPED_BODY_BYTES:
            raise ResponseTooLarge('the body is too long to be skipped')

    def _refuse_not_run(self):
        reason = self._not_run_reason
        cls = refusals.UpstreamShed
        if reason in _STALE_REASONS:
            cls = refusals.OwnerMoving
        self._dispatcher.attempt_done(self, RESULT_SHED)
        self.refuse(
            cls(
                f'the upstream did not run the request: {reason}',
                'upstream',
                self.head.upstream,
                outcome=OUTCOME_NOT_RUN,
                retry_after=1,
            )
        )
