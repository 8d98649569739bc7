"""Header fields that a router adds, removes or forwards."""

from bramleysill_net.http_headers import end_to_end_fields

REQUEST_ID = 'sill-request-id'
TIMEOUT_MS = 'sill-timeout-ms'
IDEMPOTENCY_KEY = 'idempotency-key'
REPEATABLE = 'sill-repeatable'
NOT_RUN = 'sill-not-run'

_REPLACED_REQUEST_FIELDS = frozenset(
    (
        'content-length',
        'expect',
        'host',
        TIMEOUT_MS,
        REQUEST_ID,
        REPEATABLE,
        'sill-unit',
        'sill-fence',
    )
)
_REMOVED_RESPONSE_FIELDS = {
    'content-length',
    'sill-clock-ms',
    'sill-load',
    'sill-state',
    NOT_RUN,
    REQUEST_ID,
    'sill-reason',
}


def forwarded_request_fields(headers):
    """Return the caller's fields that are forwarded to the upstream."""
    return end_to_end_fields(headers, _REPLACED_REQUEST_FIELDS)


def forwarded_response_fields(headers):
    """Return the upstream's fields that are forwarded to the caller."""
    return end_to_end_fields(headers, _REMOVED_RESPONSE_FIELDS)


def encode_upstream_request(head, host, timeout_ms):
    """Return the encoded head of a request to an upstream."""
    lines = [
        f'{head.method} {head.target} HTTP/1.1',
        f'Host: {host}',
        f'Sill-Request-Id: {head.request_id}',
        f'Sill-Timeout-Ms: {timeout_ms}',
    ]
    if head.unit:
        lines.append(f'Sill-Unit: {head.unit}')
        lines.append(f'Sill-Fence: {head.fence}')
    for name, value in head.headers:
        lines.append(f'{name}: {value}')
    if head.length < 0:
        lines.append('Transfer-Encoding: chunked')
    elif head.length or head.method in ('POST', 'PUT', 'PATCH'):
        lines.append(f'Content-Length: {head.length}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')
