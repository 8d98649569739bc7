"""Hedged requests: second attempts for safe reads at shared services.

`HedgedAttempt` combines up to two attempts and presents them to the
`Exchange` as one; see `attempts` for the interface. If no response head has
arrived when the policy's delay has passed, a second attempt, the hedge, goes
to another upstream. The first response head with a status below
_MIN_FAILURE_STATUS wins, and the other attempt is cancelled. The exchange
receives a refusal only when no attempt is open.
"""

import copy

from bramleysill_kernel.common.exceptions import OUTCOME_NOT_RUN
from bramleysill_kernel.common.exceptions import OUTCOME_UNKNOWN
from bramleysill_kernel.common.exceptions import Refusal
from bramleysill_kernel.config.manifest import KIND_SHARED
from bramleysill_kernel.load.hedging import Hedge
from bramleysill_kernel.load.hedging import HedgePolicy

_HEDGED_METHODS = frozenset(('GET', 'HEAD'))
# The lowest status that counts as a failure of the upstream. Such a response
# is dropped while the other attempt may still succeed.
_MIN_FAILURE_STATUS = 500


class HedgePolicies:
    """Holds one HedgePolicy for each service with `hedge = yes`."""

    __slots__ = ('_policies',)

    def __init__(self):
        self._policies = {}

    def policy_for(self, target, req):
        """Return the policy for a request, or None if it is not hedged."""
        service = target.service
        if not service.hedge or service.kind != KIND_SHARED:
            return None
        if req.method not in _HEDGED_METHODS or req.has_body:
            return None
        if not target.repeatable or target.idempotency_key:
            return None
        return self._policies.setdefault(service.name, HedgePolicy())


class _SubAttempt:
    """One of the two attempts: the sink of its events and its state."""

    __slots__ = (
        'upstream',
        'attempt',
        'sent_at',
        'finished',
        '_hedged_attempt',
    )

    def __init__(self, hedged_attempt, upstream, sent_at):
        self.upstream = upstream
        self.attempt = None
        self.sent_at = sent_at
        self.finished = False
        self._hedged_attempt = hedged_attempt

    def on_admitted(self):
        """Report that the request has a slot."""
        if not self.finished:
            self._hedged_attempt.sub_attempt_admitted()

    def on_drain(self):
        """Ignore the event; hedged requests have no body."""

    def on_response_head(self, status, fields, length):
        """Report the head of the response."""
        if not self.finished:
            self._hedged_attempt.sub_attempt_responded(
                self, status, fields, length
            )

    def on_response_body(self, data):
        """Report a piece of the response's body."""
        if not self.finished:
            self._hedged_attempt.sub_attempt_body(data)

    def on_response_end(self):
        """Report that the response is complete."""
        if not self.finished:
            self._hedged_attempt.sub_attempt_ended(self)

    def on_refused(self, refusal):
        """Report that the attempt ended without a complete response."""
        if not self.finished:
            self._hedged_attempt.sub_attempt_refused(self, refusal)


class HedgedAttempt:
    """An attempt that is hedged by a second one; `sink` is the exchange.

    `head` is the RequestHead of the first attempt. The start and the end of
    each attempt are reported to the locator from here.
    """

    __slots__ = (
        'buffered',
        '_entry',
        '_target',
        '_excluded',
        '_head',
        '_sink',
        '_policy',
        '_hedge',
        '_open_attempts',
        '_winner',
        '_timer',
        '_may_have_run',
    )

    def __init__(self, entry, target, excluded, head, sink, policy):
        # The request has no body.
        self.buffered = 0
        self._entry = entry
        self._target = target
        self._excluded = (*excluded, head.upstream)
        self._head = head
        self._sink = sink
        self._policy = policy
        self._hedge = None
        self._open_attempts = []
        self._winner = None
        self._timer = None
        self._may_have_run = False

    def start(self, router):
        """Start the first attempt; it may end before this returns."""
        delay = self._policy.delay()
        if delay is not None:
            loop = self._entry.loop
            self._timer = loop.scheduler.call_at(
                loop.now() + delay, self._send_hedge
            )
        self._submit(router, self._head)

    # The attempt interface, called by the exchange.

    def write(self, data):
        """Ignore a piece of the body; hedged requests have none."""

    def end(self):
        """Ignore the end of the body; hedged requests have none."""

    def cancel(self):
        """Cancel all open attempts."""
        self._stop_timer()
        for sub_attempt in list(self._open_attempts):
            self._cancel_attempt(
                sub_attempt, self._elapsed(sub_attempt), False
            )

    def pause(self):
        """Pause reading the winner's response."""
        if self._winner is not None and self._winner.attempt is not None:
            self._winner.attempt.pause()

    def resume(self):
        """Resume reading the winner's response."""
        if self._winner is not None and self._winner.attempt is not None:
            self._winner.attempt.resume()

    # Called by the sub-attempts.

    def sub_attempt_admitted(self):
        """Report to the exchange that an attempt has a slot."""
        self._sink.on_admitted()

    def sub_attempt_responded(self, sub_attempt, status, fields, length):
        """Forward the first successful response; cancel the other attempt.

        A failure is forwarded only if no other attempt is open.
        """
        locator = self._entry.locator
        locator.note_response_started(
            self._target.service.name,
            sub_attempt.upstream,
            sub_attempt.sent_at,
        )
        succeeded = status < _MIN_FAILURE_STATUS
        winner, losers = self._hedge.note_result(sub_attempt, succeeded)
        if winner is None:
            # The failure is dropped, because the other attempt may still
            # succeed.
            self._may_have_run = True
            self._cancel_attempt(
                sub_attempt, self._elapsed(sub_attempt), False
            )
            return
        self._stop_timer()
        self._winner = sub_attempt
        elapsed = self._elapsed(sub_attempt)
        if sub_attempt.upstream == self._head.upstream:
            self._policy.note_latency(elapsed)
        else:
            self._entry.metrics.events['hedge_won'] += 1
        for loser in losers:
            self._end_loser(loser, elapsed)
        self._sink.on_upstream_changed(sub_attempt.upstream)
        self._sink.on_response_head(status, fields, length)

    def sub_attempt_body(self, data):
        """Forward a piece of the winner's response."""
        self._sink.on_response_body(data)

    def sub_attempt_ended(self, sub_attempt):
        """Report that the winner's response is complete."""
        self._end_attempt(sub_attempt, self._elapsed(sub_attempt), True)
        self._sink.on_response_end()

    def sub_attempt_refused(self, sub_attempt, refusal):
        """Forward a refusal if no other attempt is open."""
        self._end_attempt(sub_attempt, self._elapsed(sub_attempt), False)
        if refusal.outcome != OUTCOME_NOT_RUN:
            self._may_have_run = True
        if self._open_attempts:
            self._hedge.note_result(sub_attempt, False)
            return
        self._stop_timer()
        if self._may_have_run:
            refusal.outcome = OUTCOME_UNKNOWN
        self._sink.on_refused(refusal)

    # Internal.

    def _submit(self, router, head):
        now = self._entry.loop.now()
        sub_attempt = _SubAttempt(self, head.upstream, now)
        if self._hedge is None:
            self._hedge = Hedge(sub_attempt)
        else:
            self._hedge.add(sub_attempt)
        self._open_attempts.append(sub_attempt)
        self._entry.locator.note_sent(
            self._target.service.name, head.upstream, now
        )
        attempt = self._entry.submit(router, head, sub_attempt, b'', True)
        if not sub_attempt.finished:
            sub_attempt.attempt = attempt

    def _send_hedge(self):
        self._timer = None
        if not self._policy.take():
            return
        try:
            location = self._entry.locator.locate(self._target, self._excluded)
        except Refusal:
            return
        upstream, unit, fence, router = location
        if upstream in self._excluded:
            return
        head = copy.copy(self._head)
        head.upstream = upstream
        head.unit = unit
        head.fence = fence
        self._entry.metrics.events['hedge_sent'] += 1
        self._sink.on_upstream_changed(upstream)
        self._submit(router, head)

    def _elapsed(self, sub_attempt):
        return self._entry.loop.now() - sub_attempt.sent_at

    def _end_loser(self, sub_attempt, winner_elapsed):
        elapsed = self._elapsed(sub_attempt)
        if sub_attempt.upstream == self._head.upstream:
            self._policy.note_latency(elapsed)
        # If the loser ran for a shorter time than the winner, its elapsed time
        # would make its upstream look faster than it is.
        seconds = elapsed if elapsed > winner_elapsed else None
        self._cancel_attempt(sub_attempt, seconds, True, lost_race=True)

    def _cancel_attempt(self, sub_attempt, seconds, ok, lost_race=False):
        self._end_attempt(sub_attempt, seconds, ok, lost_race)
        if sub_attempt.attempt is not None:
            sub_attempt.attempt.cancel()

    def _end_attempt(self, sub_attempt, seconds, ok, lost_race=False):
        sub_attempt.finished = True
        self._open_attempts.remove(sub_attempt)
        self._entry.locator.note_ended(
            self._target.service.name,
            sub_attempt.upstream,
            sub_attempt.sent_at,
            seconds,
            ok,
            lost_race,
        )

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
