"""Refusals as RFC 9457 problem documents."""

import json
import math

CONTENT_TYPE = 'application/problem+json'
TYPE_PREFIX = 'urn:bramleysill:problem:'


def to_problem(refusal, request_id, whole_seconds=True):
    """Return the (status, headers, body) of the response to a refused caller.

    `outcome` is `not_run` only if the request certainly did not run.
    Retry-After is in whole seconds, as RFC 9110 requires, unless callers are
    known to accept fractions.
    """
    document = {
        'type': TYPE_PREFIX + refusal.code,
        'title': refusal.message,
        'status': refusal.status,
        'code': refusal.code,
        'step': refusal.step,
        'peer': refusal.peer,
        'outcome': refusal.outcome,
        'request_id': request_id,
    }
    headers = [('Content-Type', CONTENT_TYPE)]
    if refusal.retry_after is not None:
        text = f'{refusal.retry_after:.2f}'
        if whole_seconds:
            text = str(max(1, math.ceil(refusal.retry_after)))
        headers.append(('Retry-After', text))
    if refusal.status == 401:
        # RFC 9110 requires a challenge with this status.
        headers.append(('WWW-Authenticate', 'Bearer'))
    body = json.dumps(document, separators=(',', ':')).encode()
    return refusal.status, headers, body
