"""Builds the refusals of a request, with their Retry-After.

`bound(seconds)` limits a Retry-After by the time left to the caller.
"""

from bramleysill_kernel.common import refusals
from bramleysill_kernel.load.send_policy import Action
from bramleysill_kernel.load.token_leases import QuotaAction

# A failed owner is replaced once its hold has expired. Callers retry before
# that, possibly at another router.
NO_OWNER_RETRY_AFTER_SECONDS = 0.5
# A slow start lasts some seconds. Each router may send a part of the requests
# that the upstream accepts; another router may have some of its part left.
SLOW_START_RETRY_AFTER_SECONDS = 0.4
NO_UPSTREAM_RETRY_AFTER_SECONDS = 0.3
# Keys that are being moved and upstreams that were full become available
# within a fraction of a second.
SHORT_RETRY_AFTER_SECONDS = 0.15
# Another router may have a recent configuration, and this one asks again in
# about this time.
CONFIG_STALE_RETRY_AFTER_SECONDS = 0.3
MIN_RETRY_AFTER_SECONDS = 0.05


def bound_retry_after(seconds, time_left):
    """Return a Retry-After of at most a third of the time left.

    Callers ignore a longer one.
    """
    return max(MIN_RETRY_AFTER_SECONDS, min(seconds, time_left / 3))


def unauthenticated():
    """Refuse a request without a valid API key."""
    return refusals.Unauthenticated(
        'the route requires an API key', 'identify'
    )


def config_stale(time_left):
    """Refuse a request whose API key may have been revoked."""
    return refusals.ConfigStale(
        'the configuration may be too old to accept API keys',
        'identify',
        retry_after=bound_retry_after(
            CONFIG_STALE_RETRY_AFTER_SECONDS, time_left
        ),
    )


def no_owner(message, peer, bound):
    """Refuse a request whose key has no available owner."""
    return refusals.OwnerLost(
        message,
        'find_owner',
        peer,
        retry_after=bound(NO_OWNER_RETRY_AFTER_SECONDS),
    )


def no_upstream(service, seconds, bound):
    """Refuse a request to a shared service without usable upstreams.

    One of them will accept requests again in `seconds`, if that is known.
    """
    return refusals.OwnerLost(
        'no upstream of the service is available',
        'choose',
        service,
        retry_after=bound(max(seconds, NO_UPSTREAM_RETRY_AFTER_SECONDS)),
    )


def keys_moving(owned_range, seconds, bound):
    """Refuse a request whose keys don't reach their new owner in time.

    They should reach it in `seconds`, if that is known.
    """
    return refusals.OwnerMoving(
        f'keys {owned_range.first}-{owned_range.last} are being moved',
        'hold',
        owned_range.owner,
        retry_after=bound(max(seconds, SHORT_RETRY_AFTER_SECONDS)),
    )


def in_slow_start(upstream, bound):
    """Refuse a request over the limit of an upstream in slow start."""
    return refusals.Overloaded(
        'the slow-start limit of the upstream is reached',
        'slow_start',
        upstream,
        retry_after=bound(SLOW_START_RETRY_AFTER_SECONDS),
    )


def limit_reached(upstream, seconds, bound):
    """Refuse a request for which the limit of an upstream has no room.

    There should be room in `seconds`.
    """
    return refusals.Overloaded(
        'the limit that the upstream has named is reached',
        'limit',
        upstream,
        retry_after=bound(seconds),
    )


def over_quota(organisation, decision, bound):
    """Refuse a request for which the organisation has no token.

    `decision` is the QuotaDecision.
    """
    retry_after = bound(decision.retry_after)
    if decision.action is QuotaAction.REFUSE:
        return refusals.QuotaExceeded(
            'the request quota of the organisation is used up',
            'quota',
            organisation,
            retry_after=retry_after,
        )
    return refusals.QuotaUnavailable(
        'the router that keeps the request quota could not be asked',
        'quota',
        organisation,
        retry_after=retry_after,
    )


def upstream_memory(upstream, seconds, bound):
    """Refuse a request whose body an upstream may not hold as well.

    There should be room in `seconds`.
    """
    return refusals.Overloaded(
        'the upstream was lost while it held as many bytes',
        'upstream_memory',
        upstream,
        retry_after=bound(seconds),
    )


def not_admitted(upstream, decision, bound):
    """Refuse a request to a busy or unreachable upstream."""
    refusal_class = refusals.Overloaded
    message = f'the response would take {decision.expected_seconds:.2f} s'
    if decision.action is Action.REFUSE_DOWN:
        refusal_class = refusals.UpstreamUnreachable
        message = 'the upstream was unreachable at the last attempt'
    return refusal_class(
        message, 'admit', upstream, retry_after=bound(decision.retry_after)
    )


def not_run(last_failure, service, step, bound):
    """Refuse a request that is not retried and that no upstream has run.

    `last_failure` is its last attempt, or None if there was none.
    """
    reason = 'no upstream was available before the deadline'
    peer = service
    if last_failure is not None:
        reason = last_failure.reason
        peer = last_failure.peer.entry.upstream
    return refusals.UpstreamShed(
        f'the request was not run: {reason}',
        step,
        peer,
        retry_after=bound(SHORT_RETRY_AFTER_SECONDS),
    )


def may_have_run(attempt, step, timed_out=False):
    """Refuse a request that is not retried and may have run in an attempt."""
    refusal_class = (
        refusals.DeadlineUnknown if timed_out else refusals.ConnectionLost
    )
    return refusal_class(
        f'the request may have run: {attempt.reason}',
        step,
        attempt.peer.entry.upstream,
    )
