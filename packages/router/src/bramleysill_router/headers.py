"""Header fields that are added, removed or passed on by a router."""

REQUEST_ID = 'sill-request-id'
TIMEOUT_MS = 'sill-timeout-ms'
IDEMPOTENCY_KEY = 'idempotency-key'
REPEATABLE = 'sill-repeatable'
NOT_RUN = 'sill-not-run'

# Fields of one hop, which are never forwarded (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_REPLACED = frozenset(
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
_DROP_REQUEST = _HOP_BY_HOP | _REPLACED
_DROP_RESPONSE = _HOP_BY_HOP | {
    'content-length',
    'sill-clock-ms',
    'sill-load',
    'sill-state',
    NOT_RUN,
    REQUEST_ID,
    'sill-reason',
}


def _named_by_connection(headers):
    for name, value in headers:
        if name == 'connection':
            return {part.strip().lower() for part in value.split(',')}
    return ()


def forwarded_request(headers):
    """Return the caller's fields that go on to the upstream."""
    extra = _named_by_connection(headers)
    return [
        pair
        for pair in headers
        if pair[0] not in _DROP_REQUEST and pair[0] not in extra
    ]


def forwarded_response(headers):
    """Return the upstream's fields that go on to the caller."""
    return [pair for pair in headers if pair[0] not in _DROP_RESPONSE]


def upstream_request(head, host, timeout_ms):
    """Return the bytes of a request's head as sent to an upstream."""
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
