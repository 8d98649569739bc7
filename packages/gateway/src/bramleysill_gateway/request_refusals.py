"""The refusals of a request, with when to come back.

`limit(seconds)` bounds a Retry-After by the time that the caller has left.
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


def owner_gone(message, peer, limit):
    """The key has no owner that can be used."""
    return refusals.OwnerLost(
        message,
        'find_owner',
        peer,
        retry_after=limit(OWNER_GONE_RETRY_AFTER_SECONDS),
    )


def no_upstream(service, limit):
    """No upstream of a shared service can be used."""
    return refusals.OwnerLost(
        'no upstream of the service can be used',
        'choose',
        service,
        retry_after=limit(NO_UPSTREAM_RETRY_AFTER_SECONDS),
    )


def keys_moving(owned, limit):
    """The keys have not arrived at their new owner in time."""
    return refusals.OwnerMoving(
        f'keys {owned.first}-{owned.last} are on the move',
        'hold',
        owned.owner,
        retry_after=limit(SHORT_RETRY_AFTER_SECONDS),
    )


def in_slow_start(upstream, limit):
    """The upstream may not get more requests in this second."""
    return refusals.Overloaded(
        'the upstream is in slow start',
        'slow_start',
        upstream,
        retry_after=limit(SLOW_START_RETRY_AFTER_SECONDS),
    )


def not_admitted(upstream, judgement, limit):
    """The upstream is too busy, or was unreachable a moment ago."""
    kind = refusals.Overloaded
    message = f'the wait would be {judgement.expected:.2f} s'
    if judgement.verdict is Verdict.REFUSE_DOWN:
        kind = refusals.UpstreamUnreachable
        message = 'the upstream was unreachable a moment ago'
    return kind(
        message, 'admit', upstream, retry_after=limit(judgement.retry_after)
    )


def after_attempts(last, service, step, timed_out, limit):
    """No further attempt follows `last`, which is None if none was made."""
    if last is None or last.fate is Fate.NOT_RUN:
        reason = last.reason if last else 'no upstream was found in time'
        return refusals.UpstreamShed(
            f'not run: {reason}',
            step,
            last.peer.entry.upstream if last else service,
            retry_after=limit(SHORT_RETRY_AFTER_SECONDS),
        )
    kind = refusals.DeadlineUnknown if timed_out else refusals.ConnectionLost
    return kind(
        f'the outcome is unknown: {last.reason}',
        step,
        last.peer.entry.upstream,
    )
