"""Refusals of a caller's request, one class for each code.

Callers see the codes, so they stay as they are.
"""

from bramleysill_kernel.common.exceptions import OUTCOME_UNKNOWN
from bramleysill_kernel.common.exceptions import Refusal
from bramleysill_kernel.common.registry import Registry

# Statuses that promise the caller that its request has not run and never
# will.
NOT_RUN_STATUSES = (408, 421, 429, 503)

refusals = Registry('refusal')


def _refusal(name, code, status, doc, outcome=None):
    attrs = {'code': code, 'status': status, '__doc__': doc}
    if outcome is not None:
        attrs['outcome'] = outcome
    cls = type(name, (Refusal,), attrs)
    return refusals.register(code)(cls)


BadRequest = _refusal(
    'BadRequest', 'bad_request', 400, 'The request is malformed.'
)
Unauthenticated = _refusal(
    'Unauthenticated',
    'unauthenticated',
    401,
    'The request has no valid API key.',
)
ConfigStale = _refusal(
    'ConfigStale',
    'config_stale',
    503,
    'The configuration may be too old to accept API keys.',
)
UnknownService = _refusal(
    'UnknownService', 'unknown_service', 404, 'No service has this path.'
)
UnknownKey = _refusal(
    'UnknownKey', 'unknown_key', 404, 'No partition covers this key.'
)
BodyTooLarge = _refusal(
    'BodyTooLarge', 'body_too_large', 413, 'The body exceeds the limit.'
)
HeadTooLarge = _refusal(
    'HeadTooLarge', 'head_too_large', 431, 'The header exceeds the limit.'
)
NoState = _refusal(
    'NoState', 'no_state', 503, 'The router has no configuration yet.'
)
OwnerLost = _refusal(
    'OwnerLost', 'owner_lost', 503, 'The key has no live owner now.'
)
OwnerMoving = _refusal(
    'OwnerMoving', 'owner_moving', 503, 'The key is being moved.'
)
NotDispatcher = _refusal(
    'NotDispatcher', 'not_dispatcher', 503, 'The dispatcher has changed.'
)
NoAuthority = _refusal(
    'NoAuthority', 'no_authority', 503, 'The router lease has expired.'
)
Overloaded = _refusal(
    'Overloaded', 'overloaded', 503, 'The queue cannot meet the deadline.'
)
UpstreamShed = _refusal(
    'UpstreamShed', 'upstream_shed', 503, 'The upstream shed the request.'
)
UpstreamUnreachable = _refusal(
    'UpstreamUnreachable',
    'upstream_unreachable',
    503,
    'No connection to the upstream could be made.',
)
DeadlineNotRun = _refusal(
    'DeadlineNotRun',
    'deadline_not_run',
    504,
    'The deadline passed before the request was sent.',
)
DeadlineUnknown = _refusal(
    'DeadlineUnknown',
    'deadline_unknown',
    504,
    'The deadline passed after the request was sent.',
    OUTCOME_UNKNOWN,
)
ConnectionLost = _refusal(
    'ConnectionLost',
    'connection_lost',
    502,
    'The connection was lost after the request was sent.',
    OUTCOME_UNKNOWN,
)
MemoryFull = _refusal(
    'MemoryFull',
    'memory_full',
    503,
    'The router holds as many bytes for requests as it may.',
)
ShuttingDown = _refusal(
    'ShuttingDown', 'shutting_down', 503, 'The router is shutting down.'
)
KeyInProgress = _refusal(
    'KeyInProgress',
    'key_in_progress',
    409,
    'A request with this idempotency key is running.',
    OUTCOME_UNKNOWN,
)
KeyOutcomeUnknown = _refusal(
    'KeyOutcomeUnknown',
    'key_outcome_unknown',
    409,
    'It is not known whether the request with this key ran.',
    OUTCOME_UNKNOWN,
)
KeyMismatch = _refusal(
    'KeyMismatch',
    'key_mismatch',
    422,
    'The idempotency key was used for another request.',
)
QuotaExceeded = _refusal(
    'QuotaExceeded',
    'quota_exceeded',
    429,
    'The organisation has used up its quota.',
)
QuotaUnavailable = _refusal(
    'QuotaUnavailable',
    'quota_unavailable',
    503,
    'The router that keeps the quota could not be asked.',
)
