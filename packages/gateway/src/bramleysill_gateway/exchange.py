"""Handles one request from its header to the end of its response.

The exchange buffers the body, selects an upstream and sends the request. It
retries a failed attempt if the request was certainly not run or its route is
idempotent. Every request ends in exactly one response, refusal or closed
connection, and in one log line.
"""

import math

from bramleysill_gateway import request_refusals
from bramleysill_gateway.attempt import NOT_RUN_STATUSES
from bramleysill_gateway.attempt import Attempt
from bramleysill_gateway.exchange_log import ExchangeLog
from bramleysill_gateway.limit_wait import LimitWait
from bramleysill_gateway.owner_search import OwnerSearch
from bramleysill_gateway.request_body import RequestBody
from bramleysill_kernel.common import refusals
from bramleysill_kernel.common.bounded_values import parse_milliseconds
from bramleysill_kernel.common.problems import to_problem
from bramleysill_kernel.load.retry_rules import AttemptOutcome
from bramleysill_kernel.load.retry_rules import may_retry
from bramleysill_kernel.load.send_policy import Action
from bramleysill_net.http_headers import end_to_end_fields

# Reading from the caller pauses while more request bytes than this wait to be
# sent to the upstream.
MAX_UNSENT_REQUEST_BYTES = 256 << 10
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
        'key',
        'request_id',
        'dropped_response_headers',
        'finished',
        'received_at',
        'config_version',
        'owned_range',
        'peer',
        'expected_seconds',
        'report_age',
        'refused_conns',
        '_deadline',
        '_caller_deadline',
        '_body',
        '_streaming_request',
        '_log',
        '_attempt',
        '_attempt_count',
        '_owner_search',
        '_deadline_timer',
        '_connect_timer',
        '_dispatch_timer',
        '_last_failure',
        '_failed_upstreams',
        '_dispatched',
        '_limit_wait',
    )

    def __init__(self, frontend, stream, req, route, service, version):
        # A pipelined request may have waited for its turn.
        now = req.arrived_at
        adapter = frontend.adapter
        self.frontend = frontend
        self.stream = stream
        self.req = req
        self.route = route
        self.service = service
        self.request_id = req.header(adapter.request_id)
        self.key = None
        self.dropped_response_headers = frontend.dropped_response_headers
        self.finished = False
        self.received_at = now
        self.config_version = version
        # Until when the caller waits; None if it has not told.
        self._caller_deadline = self._read_caller_deadline(now)
        self._deadline = now + route.max_wait
        if self._caller_deadline is not None:
            self._deadline = min(self._deadline, self._caller_deadline)
        self._body = RequestBody(req)
        self._streaming_request = False
        self._log = ExchangeLog(self)
        self._attempt = None
        self._attempt_count = 0
        self._connect_timer = None
        self._dispatch_timer = None
        # The last failed attempt; it determines the final refusal.
        self._last_failure = None
        # Upstreams that have failed this request.
        self._failed_upstreams = set()
        # Key range, upstream and estimated response time of the last attempt.
        self.owned_range = None
        self.peer = None
        self.expected_seconds = 0.0
        # Age of the upstream's load report at the last send, in seconds.
        self.report_age = math.inf
        # Connections on which an upstream has refused this request.
        self.refused_conns = []
        self._dispatched = False
        self._limit_wait = LimitWait(self)
        self._owner_search = OwnerSearch(self, now)
        stream.on_drained = self._on_caller_drained
        self._deadline_timer = frontend.loop.scheduler.call_at(
            self._deadline + DEADLINE_SLACK_SECONDS, self._on_deadline
        )

    def _read_caller_deadline(self, now):
        text = self.req.header(self.frontend.adapter.time_left_ms)
        seconds = parse_milliseconds(text)
        return None if seconds is None else now + seconds

    # Events from the caller.

    def on_body(self, data):
        """Buffer a chunk of the request body, or send it on."""
        if self.finished:
            return
        self._body.add_size(data)
        if self._body.size > self.frontend.max_body_bytes:
            self.refuse(
                refusals.BodyTooLarge(
                    'the request body is too large', 'receive'
                )
            )
            return
        if self._streaming_request:
            self._attempt.write(self._body.encode(data))
            if self._attempt.unsent_bytes > MAX_UNSENT_REQUEST_BYTES:
                self.stream.pause()
            return
        self._body.buffer(data)
        if self._body.exceeds_buffer and not self._dispatched:
            self._dispatched = True
            self.dispatch()

    def on_end(self):
        """Handle the end of the request body."""
        self._body.complete = True
        if self.finished:
            return
        if self._streaming_request:
            self._attempt.end(self._body.encode_end())
        if not self._dispatched:
            self._dispatched = True
            self.dispatch()

    def on_abort(self, exc):
        """Cancel the attempt: the caller has closed its connection."""
        if self.finished:
            return
        self._finish('caller_left', 0)
        if self._attempt is not None:
            self._attempt.cancel('caller_left')
            self._log.cancelled(self._attempt)

    def time_left(self, now):
        """Return the seconds until the deadline."""
        return self._deadline - now

    # Dispatch.

    def dispatch(self):
        """Send the request to an upstream, delay it or refuse it."""
        if self.finished or self._attempt is not None:
            return
        now = self.frontend.loop.now()
        if now >= self._deadline:
            self._on_deadline()
            return
        if self.service.keyed:
            self._dispatch_keyed(now)
        else:
            self._dispatch_shared(now)

    def _dispatch_keyed(self, now):
        if self.key is None:
            self.key = self.frontend.key_of(self.req)
            self.frontend.note_key(self)
        peer = self._owner_search.find_peer(now)
        if peer is not None:
            self._send_if_admitted(peer, now)

    def _dispatch_shared(self, now):
        frontend = self.frontend
        full_peers = self._limit_wait.full_peers
        peer = self._limit_wait.permitted_peer() or frontend.choose_upstream(
            self.service,
            now,
            self._failed_upstreams,
            full_peers,
            min(self.route.objective, self.time_left(now)),
        )
        if peer is None and full_peers:
            self.refuse_limited(full_peers)
            return
        if peer is None:
            self.give_up(
                request_refusals.no_upstream(
                    self.service.name,
                    frontend.seconds_until_open(self.service, now),
                    self.bound_retry_after,
                )
            )
            return
        self._send_if_admitted(peer, now)

    def _send_if_admitted(self, peer, now):
        """Send the request to an upstream that has room for it in time."""
        decision = self.frontend.check_admission(peer, now, self)
        if decision.action is Action.WAIT:
            self._wait_until(now + decision.retry_after)
            return
        if decision.action is not Action.SEND:
            self._refuse_not_admitted(peer, decision)
            return
        if not self._limit_wait.may_send(peer, now, decision.expected_seconds):
            return
        if not self._passes_slow_start(peer, now):
            self._refuse_slow_start(peer)
            return
        self.expected_seconds = decision.expected_seconds
        self._send(peer, now)

    def refuse_limited(self, peers):
        """Refuse the request until the first of the upstreams has room."""
        now = self.frontend.loop.now()
        peer = min(peers, key=lambda peer: peer.limit_room_at)
        self.give_up(
            request_refusals.limit_reached(
                peer.entry.upstream,
                peer.limit_room_at - now,
                self.bound_retry_after,
            )
        )

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

    def _wait_until(self, at):
        """Dispatch the request later, and read no more of its body until."""
        self.pause_body()

        def dispatch():
            self.resume_body()
            self.dispatch()

        self.call_at(at, dispatch)

    def pause_body(self):
        """Stop reading a body that is too large to be buffered."""
        if self._body.exceeds_buffer:
            self.stream.pause()

    def resume_body(self):
        """Read on after `pause_body`."""
        if self._body.exceeds_buffer:
            self.stream.resume()

    def _passes_slow_start(self, peer, now):
        if peer.cold_until <= now:
            return True
        return self.frontend.take_slow_start_slot(peer, self.service)

    def _send(self, peer, now):
        if self._attempt_count:
            if not self.frontend.take_retry(self.service):
                self.give_up(self._refusal_after_attempts('retry_budget'))
                return
        else:
            self.frontend.note_request(self)
        self._attempt_count += 1
        attempt = Attempt(
            self, peer, self.frontend.adapter, self.frontend.loop
        )
        self._attempt = attempt
        self.peer = peer
        self.report_age = self.frontend.note_choice(self, peer, now)
        self._streaming_request = not self._body.complete
        head = self._encode_head(peer.entry, now)
        attempt.start(head + self._body.encode_buffered(), self._body.complete)
        if self._attempt is attempt and not attempt.connected:
            at = min(now + CONNECT_TIMEOUT_SECONDS, self._deadline)
            self._connect_timer = self.frontend.loop.scheduler.call_at(
                at, lambda: self._check_connected(attempt)
            )

    def _encode_head(self, entry, now):
        adapter = self.frontend.adapter
        req = self.req
        left = max(1, int((self._deadline - now) * 1000))
        lines = [f'{req.method} {req.target} HTTP/1.1']
        kept = end_to_end_fields(
            req.headers, self.frontend.dropped_request_headers
        )
        lines += [f'{name}: {value}' for name, value in kept]
        if self.request_id:
            lines.append(f'{adapter.request_id_header}: {self.request_id}')
        lines.append(f'{adapter.time_left_ms_header}: {left}')
        lines.append(f'{adapter.expected_upstream_header}: {entry.upstream}')
        lines += self._body.framing_headers()
        return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')

    def _check_connected(self, attempt):
        if self._attempt is not attempt or attempt.connected:
            return
        attempt.peer.load.note_unreachable(self.frontend.loop.now())
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
        others_free = 0
        if attempt.status == 421 and self.service.keyed:
            self.frontend.note_stale_owner(self.service.name, self.owned_range)
        elif (
            attempt.response_complete
            and attempt.outcome is AttemptOutcome.NOT_RUN
        ):
            attempt.peer.load.note_full(now)
            if attempt.status != 421:
                others_free = self.frontend.note_full(
                    self, attempt.peer, 'upstream'
                )
        self._log.failed(attempt, self._attempt_count, others_free)
        self._failed_upstreams.add(attempt.peer.entry.upstream)
        left = self._deadline - now
        if self._streaming_request or not may_retry(
            self.route, attempt.outcome, self._attempt_count, left
        ):
            self.give_up(self._refusal_after_attempts('no_more_attempts'))
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
        if self._streaming_request and not self.finished:
            self.stream.resume()

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
            self._last_failure = attempt
            self._log.failed(attempt, self._attempt_count)
        self.give_up(self._refusal_after_attempts('deadline', timed_out=True))

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
        return request_refusals.after_attempts(
            self._last_failure,
            self.service.name,
            step,
            timed_out,
            self.bound_retry_after,
        )

    def _refuse_slow_start(self, peer):
        self.give_up(
            request_refusals.in_slow_start(
                peer.entry.upstream, self.bound_retry_after
            )
        )

    def _refuse_not_admitted(self, peer, decision):
        if decision.action is Action.REFUSE_BUSY:
            self.frontend.note_full(self, peer, 'router')
        self.give_up(
            request_refusals.not_admitted(
                peer.entry.upstream, decision, self.bound_retry_after
            )
        )

    def bound_retry_after(self, seconds):
        """Return a Retry-After of at most a third of the time left.

        Callers ignore a longer one.
        """
        left = self._deadline - self.frontend.loop.now()
        return max(0.05, min(seconds, left / 3))

    def give_up(self, refusal):
        """Refuse the request without a false claim that it has not run.

        Some statuses tell the caller that its request has not run. They are
        replaced if the last attempt may have run it.
        """
        last = self._last_failure
        may_have_run = (
            last is not None and last.outcome is AttemptOutcome.UNKNOWN
        )
        if may_have_run and refusal.status in NOT_RUN_STATUSES:
            refusal = self._refusal_after_attempts('retry')
        self.refuse(refusal)

    def refuse(self, refusal):
        """Log a refusal and send it to the caller."""
        if self.finished:
            return
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel(refusal.code)
        self._log.refused(refusal, self._attempt_count)
        self._finish(refusal.code, refusal.status)
        status, headers, body = to_problem(
            refusal, self.request_id, whole_seconds=False
        )
        self.stream.send(status, headers, body)

    def _finish(self, outcome, status):
        self.finished = True
        self._body.clear()
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
