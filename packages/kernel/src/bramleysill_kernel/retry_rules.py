"""What is known after a failed attempt, and whether to try again.

An attempt that certainly did not run may be repeated for every kind of
request. One that may have run is repeated only if the route says that its
requests are idempotent.
"""

import enum

# Less time than this is not worth another attempt, in seconds.
MIN_ATTEMPT_SECONDS = 0.02


class AttemptOutcome(enum.Enum):
    """What is known of an attempt that brought no usable answer."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


def may_retry(route, outcome, attempts, time_left):
    """Tell whether a failed attempt may be followed by another."""
    if attempts >= route.max_attempts:
        return False
    if time_left < MIN_ATTEMPT_SECONDS:
        return False
    return outcome is AttemptOutcome.NOT_RUN or route.repeatable
