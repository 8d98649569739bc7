"""Control calls of the upstream protocol, below /.sill/."""

import json

from bramleysill_standins.serving import send_json

# Time that an upstream spends on each health probe, as measured in Hsinchu.
PROBE_COST_MS = 6.0


class Control:
    """Handles the control calls of one upstream."""

    __slots__ = ('app', '_handlers')

    def __init__(self, app):
        self.app = app
        self._handlers = {
            ('GET', '/.sill/health'): self._health,
            ('POST', '/.sill/grants'): self._grants,
            ('POST', '/.sill/release'): self._release,
            ('POST', '/.sill/warm'): self._warm,
            ('POST', '/.sill/cancel'): self._cancel,
            ('GET', '/.sill/ledger'): self._ledger,
            ('POST', '/.sill/faults'): self._faults,
        }

    def run(self, stream, method, target, body):
        """Run one control call and respond to it."""
        handler = self._handlers.get((method, target.path))
        if handler is None:
            stream.send(404, [])
            return
        try:
            handler(stream, target, body)
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            send_json(stream, 400, {'error': repr(exc)})

    def _health(self, stream, target, body):
        ready_ms = self.app.occupy(PROBE_COST_MS)
        self.app.call_when_unfrozen(
            ready_ms, lambda: self._send_health(stream)
        )

    def _send_health(self, stream):
        app = self.app
        value = {
            'state': app.state(),
            'load': app.reported_load(),
            'clock_ms': int(app.clock_ms()),
            'epoch': app.epoch,
        }
        send_json(stream, 200, value, app.report_headers())

    def _grants(self, stream, target, body):
        if self.app.fences is None:
            stream.send(404, [])
            return
        now_ms = self.app.clock_ms()
        command = json.loads(body)
        accepted = self.app.fences.apply(command, now_ms)
        barred = self.app.fences.find_barred(command['units'])
        self._send_clock(stream, 200 if accepted else 409, {'barred': barred})

    def _send_clock(self, stream, status, extra=None):
        clock_ms = int(self.app.clock_ms())
        value = {'clock_ms': clock_ms, 'epoch': self.app.epoch}
        value.update(extra or {})
        send_json(stream, status, value, self.app.report_headers())

    def _release(self, stream, target, body):
        command = json.loads(body)
        unit, fence = str(command['unit']), int(command['fence'])
        if self.app.fences is not None:
            self.app.fences.release(unit, fence)
        self.app.call_when_idle(unit, lambda: self._send_clock(stream, 200))

    def _warm(self, stream, target, body):
        # Only validates the call: a stand-in has nothing to warm.
        str(json.loads(body)['unit'])
        self._send_clock(stream, 200)

    def _cancel(self, stream, target, body):
        request_id = str(json.loads(body)['request_id'])
        state = self.app.cancel(request_id)
        send_json(stream, 200, {'state': state}, self.app.report_headers())

    def _ledger(self, stream, target, body):
        app = self.app
        value = {'name': app.name, 'clock_ms': app.clock_ms()}
        value.update(app.ledger.as_dict())
        value.update(app.capacity_model.as_dict())
        value['refused_connections'] = app.refused_connections
        send_json(stream, 200, value)

    def _faults(self, stream, target, body):
        mode = target.query.get('mode', 'none')
        self.app.faults.set(mode, target.query)
        self.app.capacity_model.slow_factor = self.app.faults.slow_factor
        stream.send(200, [])
        if mode == 'freeze':
            self.app.freeze(float(target.query.get('ms', 1000)))
        elif mode == 'cold':
            self.app.make_cold()
