"""Serves readiness checks, the metrics and explanations of requests."""

import json

from bramleysill_net.http_server import HttpServerConn

METRICS_PATH = '/metrics'
EXPLAIN_PATH = '/explain'


class Readiness:
    """Handler of the readiness port and the metrics port.

    `not_ready_reason()` returns why this router can't serve requests, or ''.
    `explain(query)` returns a dict or raises ValueError; None if the port
    answers no questions.
    """

    def __init__(self, path, not_ready_reason, metrics, explain=None):
        self._path = path
        self._not_ready_reason = not_ready_reason
        self._metrics = metrics
        self._explain = explain

    def accept(self, conn):
        """Return the protocol of a new connection."""
        return HttpServerConn(conn, self)

    def on_disconnect(self, server):
        """Do nothing: connections have no state here."""

    def on_bad_request(self, stream, status, reason):
        """Refuse a request that can't be parsed."""
        stream.send(status, [], reason.encode())

    def on_request(self, stream, req):
        """Respond without waiting for a request body."""
        path, _, query = req.target.partition('?')
        if path == METRICS_PATH:
            body, fields = self._metrics.render(())
            stream.send(200, list(fields.items()), body)
        elif path == EXPLAIN_PATH and self._explain is not None:
            self._send_explanation(stream, query)
        elif path != self._path:
            stream.send(404, [], b'')
        else:
            reason = self._not_ready_reason()
            status = 503 if reason else 200
            stream.send(status, [], reason.encode())

    def _send_explanation(self, stream, query):
        try:
            found = self._explain(query)
        except ValueError as exc:
            stream.send(
                400, [('Content-Type', 'text/plain')], str(exc).encode()
            )
            return
        body = json.dumps(found).encode()
        stream.send(200, [('Content-Type', 'application/json')], body)
