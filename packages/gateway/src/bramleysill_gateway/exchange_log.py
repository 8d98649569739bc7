"""Writes the log lines about one request."""

import math

from bramleysill_router.logs import log_event


class ExchangeLog:
    """The log lines of an exchange; `attempts` is the number of sends."""

    __slots__ = ('_exchange',)

    def __init__(self, exchange):
        self._exchange = exchange

    def done(self, outcome, status, attempts):
        """Log the end of a request that was not refused."""
        exchange = self._exchange
        peer = exchange.peer
        owned_range = exchange.owned_range
        log_event(
            'request_done',
            id=exchange.request_id,
            outcome=outcome,
            status=status,
            route=exchange.route.name,
            service=exchange.service.name,
            upstream=peer.entry.upstream if peer else '',
            key=self._key(),
            fence=owned_range.fence if owned_range else 0,
            attempts=attempts,
            expected=exchange.expected_seconds,
            report_age=self._report_age(),
            config=exchange.config_version,
            seconds=self._age(),
        )

    def refused(self, refusal, attempts):
        """Log a refusal by this router."""
        exchange = self._exchange
        log_event(
            'request_refused',
            id=exchange.request_id,
            code=refusal.code,
            status=refusal.status,
            step=refusal.step,
            peer=refusal.peer,
            reason=refusal.message,
            retry_after=refusal.retry_after or 0.0,
            attempts=attempts,
            config=exchange.config_version,
            key=self._key(),
            age=self._age(),
        )

    def failed(self, attempt, attempts, others_free=0):
        """Log an attempt without a usable response.

        `others_free` is the number of other upstreams with a free slot if the
        upstream was full.
        """
        log_event(
            'attempt_failed',
            id=self._exchange.request_id,
            upstream=attempt.peer.entry.upstream,
            outcome=attempt.outcome.value,
            reason=attempt.reason,
            attempt=attempts,
            backlog=attempt.peer.load.backlog(self._now()),
            report_age=self._report_age(),
            others_free=others_free,
        )

    def cancelled(self, attempt):
        """Log an attempt that was cancelled because the caller has left."""
        log_event(
            'attempt_cancelled',
            id=self._exchange.request_id,
            upstream=attempt.peer.entry.upstream,
            sent_seconds=self._now() - attempt.sent_at,
            caller_read=self._exchange.stream.reading,
        )

    def _key(self):
        key = self._exchange.key
        return -1 if key is None else key

    def _report_age(self):
        age = self._exchange.report_age
        return -1.0 if age == math.inf else age

    def _age(self):
        return self._now() - self._exchange.received_at

    def _now(self):
        return self._exchange.frontend.loop.now()
