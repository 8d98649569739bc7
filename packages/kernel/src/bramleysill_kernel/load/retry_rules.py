"""The outcome of a failed attempt, and whether it may be retried.

An attempt that certainly did not run may be retried for any request. One that
may have run is retried only if the route declares its requests idempotent.
"""

import enum

# With less time left, another attempt is not worthwhile.
MIN_ATTEMPT_SECONDS = 0.02


class AttemptOutcome(enum.Enum):
    """What is known of an attempt without a usable response."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


def may_retry(route, outcome, attempts, time_left):
    """Return whether a failed attempt may be followed by another."""
    if attempts >= route.max_attempts:
        return False
    if time_left < MIN_ATTEMPT_SECONDS:
        return False
    return outcome is AttemptOutcome.NOT_RUN or route.repeatable
