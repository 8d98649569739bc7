"""Control calls to one upstream, as upstream-protocol.md describes them."""

import json

from bramleysill_kernel.load.receive_budget import UPSTREAM
from bramleysill_kernel.load.receive_budget import Reservation
from bramleysill_net.http_client import encode_request
from bramleysill_net.response_sinks import ResponseCollector

CONTROL_TIMEOUT_SECONDS = 0.5
# The longest document lists the units that a grant doesn't include.
MAX_DOCUMENT_BYTES = 1 << 20


class UpstreamControl:
    """Sends grants, releases, probes and cancellations.

    Each callback is called with (status, document). A status of 0 means that
    there was no reply; the document is empty if the body is not a JSON
    object.
    """

    __slots__ = ('_loop', '_pool', '_host')

    def __init__(self, loop, pool):
        self._loop = loop
        self._pool = pool
        self._host = f'{pool.host}:{pool.port}'

    def probe(self, callback):
        """Request the upstream's health."""
        self._call('GET', '/.sill/health', None, callback)

    def grant(self, body, callback):
        """Post a grant made by GrantIssuer."""
        self._call('POST', '/.sill/grants', body, callback)

    def release(self, unit, fence, callback):
        """Request that the upstream stops serving a unit."""
        body = {'unit': unit, 'fence': fence}
        self._call('POST', '/.sill/release', body, callback, None)

    def warm(self, unit):
        """Request that the upstream loads a unit's state."""
        self._call('POST', '/.sill/warm', {'unit': unit}, _ignore_reply, None)

    def cancel(self, request_id, callback):
        """Request that the upstream cancels a running request."""
        body = {'request_id': request_id}
        self._call('POST', '/.sill/cancel', body, callback)

    def sweep(self):
        """Close connections that were idle for long."""
        self._pool.sweep()

    def close(self):
        """Close the idle connections."""
        self._pool.close()

    def _call(self, method, target, body, callback, timeout=0.0):
        conn = self._pool.take()
        if conn is None:
            callback(0, {})
            return
        data = None if body is None else json.dumps(body).encode()
        timeout_seconds = timeout or CONTROL_TIMEOUT_SECONDS
        timer = self._loop.scheduler.call_at(
            self._loop.now() + timeout_seconds, conn.abort_exchange
        )

        def done(status, headers, content):
            timer.cancel()
            callback(status, _parse_document(content))

        reservation = Reservation(self._loop.receive_budget, UPSTREAM)
        conn.request(
            encode_request(method, target, self._host, (), data),
            ResponseCollector(done, MAX_DOCUMENT_BYTES, reservation),
        )


def _ignore_reply(status, document):
    pass


def _parse_document(content):
    try:
        document = json.loads(content)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}
