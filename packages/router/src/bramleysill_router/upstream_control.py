"""Control calls of a dispatcher to one upstream; see upstream-protocol.md."""

import json

from bramleysill_net.http_client import WholeAnswer
from bramleysill_net.http_client import encode_request

CONTROL_TIMEOUT_SECONDS = 0.5


class UpstreamControl:
    """Sends grants, releases, probes and cancellations.

    Each callback gets (status, document); status 0 means no answer. The
    document is empty if the body is not a JSON object.
    """

    __slots__ = ('_loop', '_pool', '_host')

    def __init__(self, loop, pool):
        self._loop = loop
        self._pool = pool
        self._host = f'{pool.host}:{pool.port}'

    def probe(self, callback):
        """Ask for the upstream's health."""
        self._call('GET', '/.sill/health', None, callback)

    def grant(self, body, callback):
        """Post a grant made by GrantIssuer."""
        self._call('POST', '/.sill/grants', body, callback)

    def release(self, unit, fence, callback):
        """Have the upstream stop a unit."""
        body = {'unit': unit, 'fence': fence}
        self._call('POST', '/.sill/release', body, callback, None)

    def warm(self, unit):
        """Have the upstream load a unit's state."""
        self._call('POST', '/.sill/warm', {'unit': unit}, _ignore, None)

    def cancel(self, request_id, callback):
        """Cancel a request."""
        body = {'request_id': request_id}
        self._call('POST', '/.sill/cancel', body, callback)

    def _call(self, method, target, body, callback, timeout=0.0):
        conn = self._pool.take()
        if conn is None:
            callback(0, {})
            return
        data = None if body is None else json.dumps(body).encode()
        wait = timeout or CONTROL_TIMEOUT_SECONDS
        timer = self._loop.scheduler.call_at(
            self._loop.now() + wait, conn.abort_exchange
        )

        def done(status, headers, content):
            timer.cancel()
            callback(status, _parse(content))

        conn.request(
            encode_request(method, target, self._host, (), data),
            WholeAnswer(done),
        )


def _ignore(status, document):
    pass


def _parse(content):
    try:
        document = json.loads(content)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}
