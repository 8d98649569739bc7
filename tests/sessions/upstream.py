"""A simulated upstream that checks authority with the GrantTable."""

import json

from bramleysill_kernel.grants import GrantTable
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
        self.up = upstream
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
        up = self.up
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
        up.record('in', self.peer, name, routine, **fields)
        status, answer = getattr(self, '_' + name)(body)
        answer |= {'clock_ms': up.clock_ms(), 'epoch': up.table.epoch}
        state = {'state': answer['state']} if 'state' in answer else {}
        kind = f'{name}-answer'
        up.record('out', self.peer, kind, routine, status=status, **state)
        self.stream.send(status, [], json.dumps(answer).encode())

    def _health(self, body):
        return 200, {'state': self.up.state, 'load': 0.0}

    def _grants(self, body):
        status = self.up.table.apply(body, self.up.clock_ms())
        return status, {'barred': self.up.table.barred(body['units'])}

    def _release(self, body):
        self.up.table.release(body['unit'], body['fence'])
        return 200, {}

    def _warm(self, body):
        return 200, {}

    def _cancel(self, body):
        run = self.up.running.pop(body['request_id'], None)
        return 200, {'state': 'cancelled' if run else 'unknown'}


class _ServiceRequest(_RequestHandler):
    def __init__(self, up, stream, req):
        super().__init__(up, stream, req)
        self.id = req.header('sill-request-id')
        self.unit = req.header('sill-unit')
        self.fence = int(req.header('sill-fence') or 0)
        self.key = req.header('idempotency-key')
        fields = {'id': self.id, 'unit': self.unit, 'fence': self.fence}
        if self.key:
            fields['idempotency_key'] = self.key
        up.record('in', self.peer, f'{req.method} {req.target}', **fields)

    def on_end(self):
        up = self.up
        if self._refuse_if_unauthorized():
            return
        up.running[self.id] = self
        up.max_running = max(up.max_running, len(up.running))
        if up.state == 'cold' and len(up.running) > COLD_SLOTS:
            up.overload_count += 1
        up.loop.call_later(up.service_seconds, self._finish)

    def on_abort(self, exc):
        if self.up.running.pop(self.id, None):
            self.up.recorder.note(f'{self.up.loop.name}: {self.id} aborted')

    def _refuse_if_unauthorized(self):
        now_ms = self.up.clock_ms()
        reason = self.up.table.check(self.unit, self.fence, now_ms)
        if reason:
            self._send(409, [('Sill-Not-Run', '1'), ('Sill-Reason', reason)])
        return reason

    def _finish(self):
        up = self.up
        if up.running.pop(self.id, None) is not self:
            return
        # The request takes effect now, so the grant is checked again.
        if self._refuse_if_unauthorized():
            return
        up.completed.append((self.req.method, self.req.target, self.key))
        effect = (up.loop.now(), self.unit, self.fence, up.loop.name)
        up.effects.append(effect)
        if up.lose_next_response and self.req.method == 'POST':
            up.lose_next_response = False
            up.recorder.note(f'{up.loop.name}: {self.id} ran, answer lost')
            self.stream.abort()
            return
        text = f'{up.loop.name} ran {self.req.method} {self.req.target}'
        if self.body:
            text += f' of {len(self.body)} bytes'
        self._send(200, [('Sill-State', up.state)], text.encode())

    def _send(self, status, headers, body=b''):
        up = self.up
        headers = [*headers, ('Sill-Clock-Ms', str(up.clock_ms()))]
        fields = {k.lower(): v for k, v in headers if 'Clock' not in k}
        up.record(
            'out', self.peer, 'answer', id=self.id, status=status, **fields
        )
        self.stream.send(status, headers, body)
