"""Serves the load balancer's readiness checks and the metrics."""

from bramleysill_net.http_server import HttpServerConn

METRICS_PATH = '/metrics'


class Readiness:
    """Handler of the readiness port and the metrics port.

    `not_ready_reason()` returns why this router can't serve requests, or ''.
    """

    def __init__(self, path, not_ready_reason, metrics):
        self._path = path
        self._not_ready_reason = not_ready_reason
        self._metrics = metrics

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
        path = req.target.partition('?')[0]
        if path == METRICS_PATH:
            body, fields = self._metrics.render(())
            stream.send(200, list(fields.items()), body)
        elif path != self._path:
            stream.send(404, [], b'')
        else:
            reason = self._not_ready_reason()
            status = 503 if reason else 200
            stream.send(status, [], reason.encode())
