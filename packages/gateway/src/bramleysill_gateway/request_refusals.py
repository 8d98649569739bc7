"""The refusals of a request, with when to come back.

`bound(seconds)` bounds a Retry-After by the time that the caller has left.
"""

from bramleysill_kernel import refusals
from bramleysill_kernel.retry_rules import Fate
from bramleysill_kernel.send_policy import Verdict

# An owner that is gone is replaced after its hold; the caller comes back in
# the meantime, to another router.
OWNER_GONE_RETRY_AFTER_SECONDS = 0.5
# A slow start lasts some seconds, and other routers may have room for it.
SLOW_START_RETRY_AFTER_SECONDS = 0.4
NO_UPSTREAM_RETRY_AFTER_SECONDS = 0.3
# Keys on the move, and upstreams that were full, are available again soon.
SHORT_RETRY_AFTER_SECONDS = 0.15


def owner_gone(message, peer, bound):
    """The key has no owner that can be used."""
    return refusals.OwnerLost(
        message,
        'find_owner',
        peer,
        retry_after=bound(OWNER_GONE_RETRY_AFTER_SECONDS),
    )


def no_upstream(service, bound):
    """No upstream of a shared service can be used."""
    return refusals.OwnerLost(
        'no upstream of the service can be used',
        'choose',
        service,
        retry_after=bound(NO_UPSTREAM_RETRY_AFTER_SECONDS),
    )


def keys_moving(owned_range, bound):
    """The keys have not arrived at their new owner in time."""
    return refusals.OwnerMoving(
        f'keys {owned_range.first}-{owned_range.last} are on the move',
        'hold',
        owned_range.owner,
        retry_after=bound(SHORT_RETRY_AFTER_SECONDS),
    )


def in_slow_start(upstream, bound):
    """The upstream may not get more requests in this second."""
    return refusals.Overloaded(
        'the upstream is in slow start',
        'slow_start',
        upstream,
        retry_after=bound(SLOW_START_RETRY_AFTER_SECONDS),
    )


def not_admitted(upstream, decision, bound):
    """The upstream is too busy, or was unreachable a moment ago."""
    kind = refusals.Overloaded
    message = f'the wait would be {decision.expected:.2f} s'
    if decision.verdict is Verdict.REFUSE_DOWN:
        kind = refusals.UpstreamUnreachable
        message = 'the upstream was unreachable a moment ago'
    return kind(
        message, 'admit', upstream, retry_after=bound(decision.retry_after)
    )


def after_attempts(last_failure, service, step, timed_out, bound):
    """No further attempt follows `last_failure`; None if none was made."""
    if last_failure is None or last_failure.fate is Fate.NOT_RUN:
        reason = (
            last_failure.reason
            if last_failure
            else 'no upstream was found in time'
        )
        return refusals.UpstreamShed(
            f'not run: {reason}',
            step,
            last_failure.peer.entry.upstream if last_failure else service,
            retry_after=bound(SHORT_RETRY_AFTER_SECONDS),
        )
    kind = refusals.DeadlineUnknown if timed_out else refusals.ConnectionLost
    return kind(
        f'the outcome is unknown: {last_failure.reason}',
        step,
        last_failure.peer.entry.upstream,
    )
