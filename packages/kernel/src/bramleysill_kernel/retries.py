"""When a failed attempt may be repeated, and after which delay.

The entry router keeps one `RetryPolicy` per service. It calls
`note_request()` for each fresh request and `delay(...)` after each failed
attempt; a number is the time to wait before the next attempt, None means
that the failure goes to the caller. `delay` takes a token from the budget, so
it is called once per failure and its answer is followed.

An attempt with outcome `unknown` may have run; it is repeated only if the
request is repeatable. An attempt with outcome `not_run` may be repeated in
any case. The budget bounds the amplification of an outage: retries are at
most `ratio` times the fresh requests plus `floor` per second plus a burst.

Example::

    policy = RetryPolicy(clock, rng, ratio=service.retry_ratio)
    policy.note_request()
    wait = policy.delay(OUTCOME_NOT_RUN, repeatable=True, deadline=9.0)
"""

from bramleysill_kernel.exceptions import OUTCOME_NOT_RUN
from bramleysill_kernel.exceptions import OUTCOME_UNKNOWN

DEFAULT_RATIO = 0.1
# A service with few requests would never earn a token otherwise.
DEFAULT_MIN_RETRIES_PER_SECOND = 1.0
# Tokens that may be saved up; an outage starts with at most this many
# retries beyond the ratio.
DEFAULT_BURST = 10.0
DEFAULT_MAX_ATTEMPTS = 3
BASE_DELAY_SECONDS = 0.005
MAX_DELAY_SECONDS = 0.5


class RetryPolicy:
    """Retry decisions and the budget of one service; times in seconds."""

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
        """Record a fresh request, which earns a part of a retry."""
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

        `attempts` counts those made so far, `expected` is the usual time of
        an attempt and `retry_after` what the refusal asked for.
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
