"""Decides whether a failed attempt is retried, and after which delay.

The entry router keeps one `RetryPolicy` per service. It calls
`note_request()` for each first attempt and `delay(...)` after each failed one.
`delay` returns the time to wait before the next attempt, or None if the
failure is to be returned to the caller. It takes a token from the budget, so
it must be called once per failure and its result followed.

An attempt with outcome `unknown` may have run; it is retried only if the
request is repeatable. An attempt with outcome `not_run` is retried in any
case. The budget limits the additional load in an outage: retries are at most
`ratio` times the first attempts, plus `min_per_second`, plus a burst.

Example::

    policy = RetryPolicy(clock, rng, ratio=service.retry_ratio)
    policy.note_request()
    wait = policy.delay(OUTCOME_NOT_RUN, repeatable=True, deadline=9.0)
"""

from bramleysill_kernel.common.exceptions import OUTCOME_NOT_RUN
from bramleysill_kernel.common.exceptions import OUTCOME_UNKNOWN

DEFAULT_RATIO = 0.1
# Without this, a service with few requests would hardly ever earn a token.
DEFAULT_MIN_RETRIES_PER_SECOND = 1.0
# Maximum number of saved tokens; at the start of an outage, at most this many
# retries are sent beyond the ratio.
DEFAULT_BURST = 10.0
DEFAULT_MAX_ATTEMPTS = 3
BASE_DELAY_SECONDS = 0.005
MAX_DELAY_SECONDS = 0.5


class RetryPolicy:
    """Retry decisions and retry budget of one service."""

    __slots__ = (
        'ratio',
        'min_per_second',
        'burst',
        'max_attempts',
        'tokens',
        '_clock',
        '_rng',
        '_refilled_at',
    )

    def __init__(
        self,
        clock,
        rng,
        ratio=DEFAULT_RATIO,
        min_per_second=DEFAULT_MIN_RETRIES_PER_SECOND,
        burst=DEFAULT_BURST,
        max_attempts=DEFAULT_MAX_ATTEMPTS,
    ):
        self.ratio = ratio
        self.min_per_second = min_per_second
        self.burst = burst
        self.max_attempts = max_attempts
        self.tokens = burst
        self._clock = clock
        self._rng = rng
        self._refilled_at = clock.now()

    def note_request(self):
        """Record a first attempt, which adds `ratio` tokens."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def _refill(self, now):
        earned = (now - self._refilled_at) * self.min_per_second
        self.tokens = min(self.burst, self.tokens + earned)
        self._refilled_at = now

    def delay(
        self,
        outcome,
        repeatable,
        deadline,
        attempts=1,
        expected=0.0,
        retry_after=None,
    ):
        """Return the seconds to wait before another attempt, or None.

        `attempts` is the number made so far, `expected` the usual duration of
        an attempt and `retry_after` the delay that the refusal asked for; both
        are in seconds. `deadline` is a reading of the clock.
        """
        if not self._is_allowed(outcome, repeatable, attempts):
            return None
        now = self._clock.now()
        wait = self._backoff(attempts) + (retry_after or 0.0)
        if now + wait + expected >= deadline:
            return None
        self._refill(now)
        if self.tokens < 1.0:
            return None
        self.tokens -= 1.0
        return wait

    def _is_allowed(self, outcome, repeatable, attempts):
        if attempts >= self.max_attempts:
            return False
        if outcome == OUTCOME_NOT_RUN:
            return True
        return outcome == OUTCOME_UNKNOWN and repeatable

    def _backoff(self, attempts):
        longest = min(MAX_DELAY_SECONDS, BASE_DELAY_SECONDS * 2**attempts)
        return self._rng.uniform(0.0, longest)
