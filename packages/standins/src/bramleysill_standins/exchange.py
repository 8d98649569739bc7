"""One request at the upstream stand-in, from its head to the response."""

import hashlib
import json
import time

from bramleysill_standins.download import Download
from bramleysill_standins.fences import OK
from bramleysill_standins.ledger import LOOKUP
from bramleysill_standins.ledger import LedgerEntry
from bramleysill_standins.serving import JSON_TYPE

# A refused request with a body of up to this size gets its response after the
# body, so that the connection can be reused. For a larger body, the response
# is sent at once.
MAX_DRAINED_BODY_BYTES = 65536


class Exchange:
    """A request in a slot, which takes effect at the end of its service time.

    The authority to run it is checked on arrival and again at that time.
    """

    __slots__ = (
        'app',
        'stream',
        'req',
        'target',
        'request_id',
        'unit',
        'fence',
        'service',
        'key',
        'effect',
        '_deadline_ms',
        '_digest',
        '_size',
        '_timer',
        '_in_slot',
        '_refusal',
        '_idempotency',
    )

    def __init__(self, app, stream, req, target):
        self.app = app
        self.stream = stream
        self.req = req
        self.target = target
        self.request_id = req.header('sill-request-id')
        self.unit = req.header('sill-unit')
        self.fence = _parse_number(req.header('sill-fence'))
        self._split_path()
        timeout = _parse_number(req.header('sill-timeout-ms'))
        self._deadline_ms = app.clock_ms() + timeout if timeout else None
        self._digest = hashlib.sha256()
        self._size = 0
        self._timer = None
        self._in_slot = False
        self._refusal = None
        self._idempotency = req.header('idempotency-key')

    def _split_path(self):
        parts = [p for p in self.target.path.split('/') if p]
        self.service = parts[0] if parts else ''
        self.key = parts[1] if len(parts) > 1 else ''
        default = LOOKUP if self.req.method in ('GET', 'HEAD') else 'update'
        self.effect = '/'.join(parts[2:]) or default

    def admit(self):
        """Acquire a slot, or refuse the request."""
        app = self.app
        reason = self._check_authority()
        if reason == OK and app.faults.leaving:
            reason = 'leaving'
        if reason == OK and not app.capacity_model.start(app.clock_ms()):
            reason = 'shed'
        if reason != OK:
            self._refuse(reason)
            return
        self._in_slot = True
        app.running.add(self)

    # Called by the HTTP server.

    def on_body(self, data):
        """Count and hash a piece of the body."""
        self._digest.update(data)
        self._size += len(data)

    def on_end(self):
        """Start the service time unless the request is refused or replayed."""
        if self._refusal is not None:
            self._send_refusal()
            return
        if self._replay_response():
            return
        now_ms = self.app.clock_ms()
        wait_ms = self.app.wait_ms(now_ms)
        ends_at_ms = now_ms + wait_ms + self.app.service_ms(now_ms)
        self._timer = self.app.call_when_unfrozen(
            ends_at_ms, self._take_effect
        )

    def on_abort(self, exc):
        """Cancel the request of a caller that has disconnected."""
        if self._in_slot and self.req.has_body and self._timer is None:
            self.app.ledger.cut_off += 1
        self._release_slot(ran=False)

    def cancel(self):
        """Abort the request and its connection, without a response."""
        self._release_slot(ran=False)
        self.stream.abort()

    # Internal.

    def _check_authority(self):
        if self.app.fences is None:
            return OK
        clock_ms = self.app.clock_ms()
        return self.app.fences.check(self.unit, self.fence, clock_ms)

    def _release_slot(self, ran):
        if self._timer is not None:
            self._timer.cancel()
        if not self._in_slot:
            return
        self._in_slot = False
        self.app.running.discard(self)
        self.app.capacity_model.finish(self.app.clock_ms(), ran)
        self.app.run_idle_callbacks()

    def _refuse(self, reason):
        self.app.ledger.refused[reason] += 1
        self._refusal = reason
        if self.req.chunked or self.req.length > MAX_DRAINED_BODY_BYTES:
            self._send_refusal()

    def _send_refusal(self):
        shed = self._refusal in ('shed', 'leaving')
        headers = self.app.report_headers()
        headers.append(('Sill-Not-Run', '1'))
        headers.append(('Sill-Reason', self._refusal))
        self.stream.send(503 if shed else 409, headers)

    def _replay_response(self):
        body = self.app.stored_responses.get(
            (self.target.path, self._idempotency)
        )
        if not self._idempotency or body is None:
            return False
        self._release_slot(ran=False)
        headers = [JSON_TYPE, *self.app.report_headers()]
        headers.append(('Sill-Replayed', '1'))
        self.stream.send(200, headers, body)
        return True

    def _take_effect(self):
        expired = (
            self._deadline_ms is not None
            and self.app.clock_ms() > self._deadline_ms
        )
        reason = 'expired' if expired else self._check_authority()
        if reason != OK:
            self._release_slot(ran=False)
            self.app.ledger.refused[reason] += 1
            self._refusal = reason
            self._send_refusal()
            return
        if self._replay_response():
            return
        self._record()
        self._respond()

    def _record(self):
        ledger = self.app.ledger
        ledger.record(
            LedgerEntry(
                request_id=self.request_id,
                call_id=self.req.header('x-call-id'),
                unit=self.unit,
                fence=self.fence,
                method=self.req.method,
                path=self.target.path,
                idempotency_key=self._idempotency,
                service=self.service,
                key=self.key,
                effect=self.effect,
                clock_ms=self.app.clock_ms(),
                host_ms=time.monotonic() * 1000.0,
            )
        )
        if self.req.has_body:
            digest = self._digest.hexdigest()
            ledger.store_upload(self.target.path, digest, self._size)

    def _respond(self):
        if self.app.faults.take_lost_response():
            self.cancel()
            return
        size = _parse_number(self.target.query.get('bytes', ''))
        if self.req.method == 'GET' and size:
            self._download(size)
            return
        body = json.dumps(self._result()).encode()
        if self.app.remember and self._idempotency:
            key = (self.target.path, self._idempotency)
            self.app.stored_responses[key] = body
        self._release_slot(ran=True)
        self.stream.send(200, [JSON_TYPE, *self._headers()], body)

    def _download(self, size):
        download = Download(
            self.stream,
            self.key,
            size,
            self.app.run_or_defer,
            lambda: self._release_slot(ran=True),
        )
        download.start(self._headers(), size)

    def _headers(self):
        echo = [
            ('X-Key', self.key),
            ('X-Call-Id', self.req.header('x-call-id')),
            ('Sill-Request-Id', self.request_id),
        ]
        return self.app.report_headers() + echo

    def _result(self):
        result = {
            'upstream': self.app.name,
            'key': self.key,
            'effect': self.effect,
            'request_id': self.request_id,
            'call_id': self.req.header('x-call-id'),
        }
        if self.req.has_body:
            result['sha256'] = self._digest.hexdigest()
            result['bytes'] = self._size
        return result


def _parse_number(text):
    return int(text) if text.isdecimal() else 0
