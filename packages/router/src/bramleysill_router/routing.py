"""Maps a caller's request to a service, a route, a key and a deadline."""

from urllib.parse import unquote

from bramleysill_kernel.common import refusals
from bramleysill_router import headers

# Methods whose requests may be repeated if they match no route.
_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_HEADER_KEY_PREFIX = 'header '
MAX_KEY_BYTES = 512


class RequestTarget:
    """The service, key and route of a request, and the rules for it.

    `repeatable` is true if it may run again after an unknown outcome;
    `timeout` is in seconds.
    """

    __slots__ = (
        'service',
        'key',
        'route',
        'repeatable',
        'priority',
        'timeout',
        'idempotency_key',
    )

    def __init__(self, service, key, route, repeatable, priority, timeout):
        self.service = service
        self.key = key
        self.route = route
        self.repeatable = repeatable
        self.priority = priority
        self.timeout = timeout
        self.idempotency_key = ''


def find_target(manifest, req):
    """Return the RequestTarget of a request; raises a Refusal."""
    path, _, _ = req.target.partition('?')
    service = manifest.service_for_path(path)
    if service is None:
        raise refusals.UnknownService(
            f'the path {path[:80]!r} matches no service', 'route'
        )
    key, suffix = _extract_key(service, path, req)
    route = service.route_for(req.method, suffix)
    repeatable = req.method in _SAFE_METHODS
    priority = 1
    if route is not None:
        repeatable = route.repeatable
        priority = route.priority
    if req.header(headers.REPEATABLE).lower() == 'no':
        repeatable = False
    timeout = _parse_timeout(service, req)
    target = RequestTarget(service, key, route, repeatable, priority, timeout)
    target.idempotency_key = req.header(headers.IDEMPOTENCY_KEY)
    if 0 <= service.max_body_bytes < req.length:
        raise refusals.BodyTooLarge(
            f'the body of {req.length} bytes exceeds the limit of '
            f'{service.max_body_bytes} bytes',
            'route',
        )
    return target


def _extract_key(service, path, req):
    rest = path[len(service.path) :]
    first, _, suffix = rest.partition('/')
    key = unquote(first)
    if service.key.startswith(_HEADER_KEY_PREFIX):
        key = req.header(
            service.key[len(_HEADER_KEY_PREFIX) :].strip().lower()
        )
        suffix = rest
    if service.kind != 'keyed':
        return key, suffix
    if not key or len(key.encode()) > MAX_KEY_BYTES:
        raise refusals.BadRequest(
            f'the key is empty or longer than {MAX_KEY_BYTES} bytes',
            'route',
            hint='Send the key after the path of the service.',
        )
    return key, suffix


def _parse_timeout(service, req):
    text = req.header(headers.TIMEOUT_MS)
    if not text:
        return service.timeout
    if not text.isdecimal():
        raise refusals.BadRequest(
            f'{headers.TIMEOUT_MS} is not a whole number: {text[:20]!r}',
            'route',
            hint='Send the timeout in whole milliseconds.',
        )
    return min(int(text) / 1000, service.timeout)
