"""The admin HTTP server: metrics, health, readiness and status."""

import json

from circuits.web import Controller
from circuits.web import Server

JSON_TYPE = 'application/json'


class AdminController(Controller):
    """Serves /metrics, /healthz, /readyz and /status.

    `/healthz` responds with 200 as long as the event loop runs. `/readyz`
    responds with 200 if the router can serve callers now, else with 503 and
    the reason.
    """

    channel = '/'

    def __init__(self, process):
        super().__init__()
        self._process = process

    def index(self):
        """List the paths that this server offers."""
        return self._json({'pages': ['metrics', 'healthz', 'readyz']})

    def metrics(self):
        """Return the metrics in the Prometheus format that Accept requests."""
        accept = self.request.headers.get('Accept', '')
        body, fields = self._process.metrics.render((accept,))
        for name, value in fields.items():
            self.response.headers[name] = value
        return body.decode()

    def healthz(self):
        """Report that the event loop runs."""
        return self._json({'status': 'alive'})

    def readyz(self):
        """Report whether callers can be served, and if not, why."""
        reason = self._process.not_ready_reason()
        if reason:
            self.response.status = 503
            return self._json({'status': 'not ready', 'reason': reason})
        return self._json({'status': 'ready'})

    def status(self):
        """Return the state of this router for `sillctl status`."""
        return self._json(self._process.status())

    def _json(self, document):
        self.response.headers['Content-Type'] = JSON_TYPE
        return json.dumps(document, indent=1) + '\n'


def serve_admin(loop, address, process):
    """Start the admin server on the event loop."""
    server = Server(address).register(loop)
    AdminController(process).register(server)
    return server
