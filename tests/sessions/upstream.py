"""A simulated upstream that checks authority with the GrantTable."""

import json

from bramleysill_kernel.units.grants import GrantTable
from bramleysill_net.http_server import HttpServerConn
from tests.sessions import message_fields

SERVICE_SECONDS = 0.02
# Number of requests that a cold upstream can run at the same time.
COLD_SLOTS = 1


class SessionUpstream:
    """Runs each request for a fixed time and lists the completed ones."""

    def __init__(self, loop, recorder, offset):
        self.loop = loop
        self.recorder = recorder
        self.state = 'warm'
        self.lose_next_response = False
        self.service_seconds = SERVICE_SECONDS
        self.completed = []
        self.effects = []
        # Number of requests beyond COLD_SLOTS that ran while cold.
        self.overload_count = 0
        self.max_running = 0
        self.running = {}
        self._offset = offset
        self._starts = 0
        self.start()

    def start(self):
        self._starts += 1
        self.table = GrantTable(f'{self.loop.name}/{self._starts}')
        self.running = {}

    def clock_ms(self):
        return round((self.loop.now() + self._offset) * 1000)

    def accept(self, conn):
        return HttpServerConn(conn, self)

    def on_disconnect(self, server):
        """Do nothing: there is no state of connections."""

    def on_request(self, stream, req):
        if req.target.startswith('/.sill/'):
            return _ControlRequest(self, stream, req)
        return _ServiceRequest(self, stream, req)

    def record(self, direction, peer, kind, routine=False, **fields):
        pair = (
            (peer, self.loop.name)
            if direction == 'in'
            else (self.loop.name, peer)
        )
        self.recorder.message(*pair, kind, routine, **fields)


class _RequestHandler:
    """Receives a request and its body."""

    def __init__(self, upstream, stream, req):
        self.upstream = upstream
        self.stream = stream
        self.req = req
        self.peer = stream.peer
        self.body = b''

    def on_body(self, data):
        self.body += data

    def on_abort(self, exc):
        """Do nothing: a control request leaves no state."""


class _ControlRequest(_RequestHandler):
    def on_end(self):
        upstream = self.upstream
        name = self.req.target.rpartition('/')[2]
        body = json.loads(self.body) if self.body else {}
        routine = name in ('health', 'grants')
        fields = {'unit': body['unit']} if 'unit' in body else {}
        if 'request_id' in body:
            fields = {'id': body['request_id']}
        if name == 'grants':
            units = [f'{u}/{f}' for u, f in body['units'].items()]
            generation = ':'.join(str(n) for n in body['generation'])
            fields = {
                'generation': generation,
                'units': message_fields.join_names(units),
            }
        upstream.record('in', self.peer, name, routine, **fields)
        status, response = getattr(self, '_' + name)(body)
        response |= {
            'clock_ms': upstream.clock_ms(),
            'epoch': upstream.table.epoch,
        }
        state = {'state': response['state']} if 'state' in response else {}
        kind = f'{name}-answer'
        upstream.record(
            'out', self.peer, kind, routine, status=status, **state
        )
        self.stream.send(status, [], json.dumps(response).encode())

    def _health(self, body):
        return 200, {'state': self.upstream.state, 'load': 0.0}

    def _grants(self, body):
        status = self.upstream.table.apply(body, self.upstream.clock_ms())
        return status, {'barred': self.upstream.table.barred(body['units'])}

    def _release(self, body):
        self.upstream.table.release(body['unit'], body['fence'])
        return 200, {}

    def _warm(self, body):
        return 200, {}

    def _cancel(self, body):
        run = self.upstream.running.pop(body['request_id'], None)
        return 200, {'state': 'cancelled' if run else 'unknown'}


class _ServiceRequest(_RequestHandler):
    def __init__(self, upstream, stream, req):
        super().__init__(upstream, stream, req)
        self.id = req.header('sill-request-id')
        self.unit = req.header('sill-unit')
        self.fence = int(req.header('sill-fence') or 0)
        self.key = req.header('idempotency-key')
        fields = {'id': self.id, 'unit': self.unit, 'fence': self.fence}
        if self.key:
            fields['idempotency_key'] = self.key
        upstream.record(
            'in', self.peer, f'{req.method} {req.target}', **fields
        )

    def on_end(self):
        upstream = self.upstream
        if self._refuse_if_unauthorized():
            return
        upstream.running[self.id] = self
        upstream.max_running = max(upstream.max_running, len(upstream.running))
        if upstream.state == 'cold' and len(upstream.running) > COLD_SLOTS:
            upstream.overload_count += 1
        upstream.loop.call_later(upstream.service_seconds, self._finish)

    def on_abort(self, exc):
        if self.upstream.running.pop(self.id, None):
            self.upstream.recorder.note(
                f'{self.upstream.loop.name}: {self.id} aborted'
            )

    def _refuse_if_unauthorized(self):
        now_ms = self.upstream.clock_ms()
        reason = self.upstream.table.check(self.unit, self.fence, now_ms)
        if reason:
            self._send(409, [('Sill-Not-Run', '1'), ('Sill-Reason', reason)])
        return reason

    def _finish(self):
        upstream = self.upstream
        if upstream.running.pop(self.id, None) is not self:
            return
        # The request takes effect now, so the grant is checked again.
        if self._refuse_if_unauthorized():
            return
        upstream.completed.append((self.req.method, self.req.target, self.key))
        effect = (
            upstream.loop.now(),
            self.unit,
            self.fence,
            upstream.loop.name,
        )
        upstream.effects.append(effect)
        if upstream.lose_next_response and self.req.method == 'POST':
            upstream.lose_next_response = False
            upstream.recorder.note(
                f'{upstream.loop.name}: {self.id} ran, answer lost'
            )
            self.stream.abort()
            return
        text = f'{upstream.loop.name} ran {self.req.method} {self.req.target}'
        if self.body:
            text += f' of {len(self.body)} bytes'
        self._send(200, [('Sill-State', upstream.state)], text.encode())

    def _send(self, status, headers, body=b''):
        upstream = self.upstream
        headers = [*headers, ('Sill-Clock-Ms', str(upstream.clock_ms()))]
        fields = {k.lower(): v for k, v in headers if 'Clock' not in k}
        upstream.record(
            'out', self.peer, 'answer', id=self.id, status=status, **fields
        )
        self.stream.send(status, headers, body)
