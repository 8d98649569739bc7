"""One caller's request, from its head to the end of its answer.

The exchange collects the body, finds an upstream, sends the request, and
repeats it where that is certain or harmless. Every request ends in exactly
one answer, refusal or closed connection, with one log line.
"""

from bramleysill_gateway import request_refusals
from bramleysill_gateway.attempt import PROMISES_NOT_RUN
from bramleysill_gateway.attempt import Attempt
from bramleysill_gateway.request_body import RequestBody
from bramleysill_kernel import refusals
from bramleysill_kernel.problems import to_problem
from bramleysill_kernel.retry_rules import AttemptOutcome
from bramleysill_kernel.retry_rules import may_retry
from bramleysill_kernel.send_policy import Action
from bramleysill_net.http_headers import end_to_end_fields
from bramleysill_router.logs import log_event

# What an upstream may leave unread before the caller is held back.
MAX_UNSENT_BYTES = 256 << 10
# An answer that is on its way at the deadline still counts.
DEADLINE_SLACK_SECONDS = 0.05
# A connection to an upstream that does not stand by then is given up.
CONNECT_SECONDS = 0.5
# Keys that move are waited for; a move takes this long at most as a rule.
HOLD_SECONDS = 0.35
# Ends that are logged here; a refusal has a line of its own.
LOGGED_ENDS = ('answered', 'answer_broken', 'caller_left')
# Pause before the same upstream is tried again after it was full.
FULL_PAUSE_SECONDS = 0.03


class Exchange:
    """A request in progress; `gateway` has the shared parts."""

    __slots__ = (
        'gateway',
        'stream',
        'req',
        'route',
        'service',
        'key',
        'request_id',
        'answer_drops',
        'finished',
        'received_at',
        '_config_version',
        '_deadline',
        '_body',
        '_passing_on',
        '_attempt',
        '_attempts',
        '_held_until',
        '_waiting',
        '_timer',
        '_connect_timer',
        '_pause_timer',
        '_last',
        '_failed_upstreams',
        '_owned',
        '_peer',
        '_expected',
        '_started',
    )

    def __init__(self, gateway, stream, req, route, service, version):
        now = gateway.loop.now()
        adapter = gateway.adapter
        self.gateway = gateway
        self.stream = stream
        self.req = req
        self.route = route
        self.service = service
        self.request_id = req.header(adapter.request_id)
        self.key = None
        self.answer_drops = gateway.answer_drops
        self.finished = False
        self.received_at = now
        self._config_version = version
        self._deadline = now + self._time_limit()
        self._body = RequestBody(req)
        self._passing_on = False
        self._attempt = None
        self._attempts = 0
        self._held_until = now + HOLD_SECONDS
        self._waiting = False
        self._connect_timer = None
        self._pause_timer = None
        # The failed attempt before, which decides the final answer.
        self._last = None
        # Upstreams that have failed this request.
        self._failed_upstreams = set()
        # What decided the last send: range, upstream, expected seconds.
        self._owned = None
        self._peer = None
        self._expected = 0.0
        self._started = False
        stream.on_drained = self._on_caller_drained
        self._timer = gateway.loop.scheduler.call_at(
            self._deadline + DEADLINE_SLACK_SECONDS, self._on_deadline
        )

    def _time_limit(self):
        """Return the seconds that the caller or the route allows."""
        text = self.req.header(self.gateway.adapter.time_left_ms)
        limit = self.route.max_wait
        if text.isdecimal():
            limit = min(limit, int(text) / 1000)
        return limit

    # From the caller.

    def on_body(self, data):
        """Take a piece of the request's body."""
        if self.finished:
            return
        self._body.count(data)
        if self._body.size > self.gateway.body_limit:
            self.refuse(
                refusals.BodyTooLarge('the body is too large', 'receive')
            )
            return
        if self._passing_on:
            self._attempt.write(data)
            if self._attempt.unsent > MAX_UNSENT_BYTES:
                self.stream.pause()
            return
        self._body.keep(data)
        if self._body.is_large and not self._started:
            self._started = True
            self.dispatch()

    def on_end(self):
        """The request is complete."""
        self._body.complete = True
        if not self.finished and not self._started:
            self._started = True
            self.dispatch()

    def on_abort(self, exc):
        """The caller has left."""
        if self.finished:
            return
        self._close('caller_left', 0)
        if self._attempt is not None:
            self._attempt.cancel('caller_left')

    def time_left(self, now):
        """Return the seconds until the deadline."""
        return self._deadline - now

    # Dispatch.

    def dispatch(self):
        """Send the request to an upstream, hold it or refuse it."""
        if self.finished or self._attempt is not None:
            return
        self._waiting = False
        now = self.gateway.loop.now()
        if now >= self._deadline:
            self._on_deadline()
            return
        if self.service.keyed:
            self._dispatch_keyed(now)
        else:
            self._dispatch_shared(now)

    def _dispatch_keyed(self, now):
        gateway = self.gateway
        if self.key is None:
            self.key = gateway.key_of(self.req)
            gateway.note_key(self)
        table = gateway.state.tables.get(self.service.name)
        if table is None:
            self._refuse_lost('no table of owners')
            return
        owned = table.find(self.key)
        entry = gateway.state.directory.owner_entry(owned.owner, owned.life)
        if entry is None:
            self._refuse_lost('the owner is gone', owned)
            return
        if gateway.is_stale(self.service.name, owned):
            self._hold(now, owned)
            return
        peer = gateway.upstreams.peer(entry)
        if peer.replaced:
            self._refuse_lost('another process has the address', owned)
            return
        if not self._may_enter_cold(peer, now):
            self._refuse_cold(peer)
            return
        judgement = gateway.judge(peer, now, self)
        if judgement.action is not Action.SEND:
            self._refuse_judged(peer, judgement)
            return
        self._owned = owned
        self._expected = judgement.expected_seconds
        self._send(peer, now)

    def _dispatch_shared(self, now):
        gateway = self.gateway
        peer = gateway.choose(
            self.service, now, self._failed_upstreams, self.route.objective
        )
        if peer is None:
            self._give_up(
                request_refusals.no_upstream(
                    self.service.name, self._retry_after
                )
            )
            return
        judgement = gateway.judge(peer, now, self)
        if judgement.action is not Action.SEND:
            self._refuse_judged(peer, judgement)
            return
        if not self._may_enter_cold(peer, now):
            self._refuse_cold(peer)
            return
        self._expected = judgement.expected_seconds
        self._send(peer, now)

    def _may_enter_cold(self, peer, now):
        if peer.cold_until <= now:
            return True
        return self.gateway.take_cold(peer, self.service)

    def _send(self, peer, now):
        if self._attempts:
            if not self.gateway.take_retry(self.service):
                self._give_up(self._refusal_of_last('retry_budget'))
                return
        else:
            self.gateway.note_request(self)
        self._attempts += 1
        attempt = Attempt(self, peer, self.gateway.adapter, self.gateway.loop)
        self._attempt = attempt
        self._peer = peer
        self._passing_on = not self._body.complete
        attempt.start(self._head(peer.entry, now), self._body.pieces)
        if self._attempt is attempt and not attempt.connected:
            at = min(now + CONNECT_SECONDS, self._deadline)
            self._connect_timer = self.gateway.loop.scheduler.call_at(
                at, lambda: self._check_connected(attempt)
            )

    def _head(self, entry, now):
        adapter = self.gateway.adapter
        req = self.req
        left = max(1, int((self._deadline - now) * 1000))
        lines = [f'{req.method} {req.target} HTTP/1.1']
        kept = end_to_end_fields(req.headers, self.gateway.request_drops)
        lines += [f'{name}: {value}' for name, value in kept]
        if self.request_id:
            lines.append(f'{adapter.request_id_header}: {self.request_id}')
        lines.append(f'{adapter.time_left_ms_header}: {left}')
        lines.append(f'{adapter.expected_upstream_header}: {entry.upstream}')
        lines += self._body.framing()
        return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')

    def _check_connected(self, attempt):
        if self._attempt is not attempt or attempt.connected:
            return
        attempt.peer.load.note_unreachable(self.gateway.loop.now())
        attempt.cancel('connect_timeout')
        self.on_failed(attempt)

    # From the attempt.

    def on_answer(self, status, headers, body):
        """A whole answer has arrived."""
        self._attempt = None
        if self.finished:
            return
        self._close('answered', status)
        self.stream.send(status, headers, body)

    def on_failed(self, attempt):
        """An attempt brought no usable answer."""
        self._attempt = None
        self._last = attempt
        if self.finished:
            return
        now = self.gateway.loop.now()
        self._log_attempt(attempt)
        if attempt.status == 421 and self.service.keyed:
            self.gateway.note_stale(self.service.name, self._owned)
        elif attempt.answered and attempt.fate is AttemptOutcome.NOT_RUN:
            attempt.peer.load.note_full(now)
        self._failed_upstreams.add(attempt.peer.entry.upstream)
        left = self._deadline - now
        if self._passing_on or not may_retry(
            self.route, attempt.fate, self._attempts, left
        ):
            self._give_up(self._refusal_of_last('no_more_attempts'))
            return
        if self.service.keyed and attempt.status != 421:
            self._pause(now)
            return
        self.dispatch()

    def _pause(self, now):
        """Try the same owner again in a moment."""
        self._pause_timer = self.gateway.loop.scheduler.call_at(
            now + FULL_PAUSE_SECONDS, self.dispatch
        )

    def on_stream_start(self, status, headers, length):
        """A large answer begins; it can't be replaced any more."""
        self.stream.start(status, headers, length)

    def on_stream_data(self, data):
        """Pass a piece on; return the bytes that the caller has not read."""
        if self.finished:
            return 0
        self.stream.write(data)
        return self.stream.buffered

    def on_stream_end(self):
        """A large answer is complete."""
        attempt, self._attempt = self._attempt, None
        if self.finished:
            return
        self._close('answered', attempt.status)
        self.stream.end()

    def on_stream_broken(self, attempt):
        """A large answer ended early; the caller must see that it did."""
        self._attempt = None
        if self.finished:
            return
        self._log_attempt(attempt)
        self._close('answer_broken', attempt.status)
        self.stream.abort()

    def on_upload_drained(self):
        """The upstream has taken the body so far."""
        if self._passing_on and not self.finished:
            self.stream.resume()

    def _on_caller_drained(self):
        if self._attempt is not None:
            self._attempt.resume()

    # Ends.

    def _on_deadline(self):
        if self.finished:
            return
        attempt = self._attempt
        if attempt is not None:
            if attempt.streaming:
                # The answer is being delivered; it may end late.
                return
            attempt.cancel('deadline')
            self._attempt = None
            self._last = attempt
            self._log_attempt(attempt)
        self._give_up(self._refusal_of_last('deadline', timed_out=True))

    def _refusal_of_last(self, step, timed_out=False):
        return request_refusals.after_attempts(
            self._last, self.service.name, step, timed_out, self._retry_after
        )

    def _hold(self, now, owned):
        """Wait for the keys to arrive at their new owner."""
        if now >= min(self._held_until, self._deadline):
            self._give_up(
                request_refusals.keys_moving(owned, self._retry_after)
            )
            return
        self._waiting = True
        self.gateway.wait_for_table(self)
        self._pause_timer = self.gateway.loop.scheduler.call_at(
            min(self._held_until, self._deadline), self._on_hold_over
        )

    def _on_hold_over(self):
        if self._waiting:
            self.dispatch()

    def _refuse_lost(self, message, owned=None):
        peer = owned.owner if owned else self.service.name
        self._give_up(
            request_refusals.owner_gone(message, peer, self._retry_after)
        )

    def _refuse_cold(self, peer):
        self._give_up(
            request_refusals.slow_start(peer.entry.upstream, self._retry_after)
        )

    def _refuse_judged(self, peer, judgement):
        self._give_up(
            request_refusals.not_admitted(
                peer.entry.upstream, judgement, self._retry_after
            )
        )

    def _retry_after(self, seconds):
        """Return when to come back; later than a third is not honoured."""
        left = self._deadline - self.gateway.loop.now()
        return max(0.05, min(seconds, left / 3))

    def _give_up(self, refusal):
        """Answer with a refusal that tells what happened to the request."""
        last = self._last
        may_have_run = last is not None and last.fate is AttemptOutcome.UNKNOWN
        if may_have_run and refusal.status in PROMISES_NOT_RUN:
            refusal = self._refusal_of_last('retry')
        self.refuse(refusal)

    def refuse(self, refusal):
        """End with a refusal."""
        if self.finished:
            return
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel(refusal.code)
        log_event(
            'request_refused',
            id=self.request_id,
            code=refusal.code,
            status=refusal.status,
            step=refusal.step,
            peer=refusal.peer,
            reason=refusal.message,
            retry_after=refusal.retry_after or 0.0,
            attempts=self._attempts,
            config=self._config_version,
            key=-1 if self.key is None else self.key,
            age=self.gateway.loop.now() - self.received_at,
        )
        self._close(refusal.code, refusal.status)
        status, headers, body = to_problem(
            refusal, self.request_id, whole_seconds=False
        )
        self.stream.send(status, headers, body)

    def _close(self, outcome, status):
        self.finished = True
        self._body.drop()
        for timer in (self._timer, self._connect_timer, self._pause_timer):
            if timer is not None:
                timer.cancel()
        now = self.gateway.loop.now()
        self.gateway.on_finished(self, outcome, now - self.received_at)
        if outcome in LOGGED_ENDS:
            self._log_end(outcome, status, now - self.received_at)

    def _log_end(self, outcome, status, seconds):
        peer = self._peer
        log_event(
            'request_done',
            id=self.request_id,
            outcome=outcome,
            status=status,
            route=self.route.name,
            service=self.service.name,
            upstream=peer.entry.upstream if peer else '',
            key=-1 if self.key is None else self.key,
            fence=self._owned.fence if self._owned else 0,
            attempts=self._attempts,
            expected=self._expected,
            config=self._config_version,
            seconds=seconds,
        )

    def _log_attempt(self, attempt):
        log_event(
            'attempt_failed',
            id=self.request_id,
            upstream=attempt.peer.entry.upstream,
            fate=attempt.fate.value,
            reason=attempt.reason,
            attempt=self._attempts,
            backlog=attempt.peer.load.backlog(self.gateway.loop.now()),
        )
