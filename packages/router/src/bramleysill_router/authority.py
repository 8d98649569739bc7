"""Grants and releases of the units of one upstream.

An upstream that checks authority serves a unit only while it holds a grant of
the unit from its dispatcher. The `Authority` sends these grants and releases
units that move to another owner. It sends no more grants once the coordinator
has suspended the upstream. The rules are in
`bramleysill_kernel.units.grants`; this module does the I/O for them.
"""

from bramleysill_kernel.common import messages
from bramleysill_kernel.units.ownership import SINGLE_KEY_PREFIX
from bramleysill_router.logs import log_event

GRANT_RENEW_INTERVAL_SECONDS = 0.3
# `Released` and `Lapsed` are sent again at this interval, because the
# coordinator may not have received them.
REPORT_REPEAT_INTERVAL_SECONDS = 1.0


class Authority:
    """Renews the grants of an upstream and carries out releases.

    The dispatcher calls `may_run(unit, fence)` directly before it sends a
    request.
    """

    __slots__ = (
        'grant_issuer',
        'releasing',
        '_dispatcher',
        '_context',
        '_control',
        '_next_grant_at',
        '_awaiting_reply',
        '_next_repeat_at',
        '_expiry_reported',
    )

    def __init__(self, dispatcher, grant_issuer, context, control):
        self.grant_issuer = grant_issuer
        # Units that are being released, as {unit: (fence, requested)};
        # `requested` is true while a release call to the upstream is open.
        self.releasing = {}
        self._dispatcher = dispatcher
        self._context = context
        self._control = control
        self._next_grant_at = 0.0
        self._awaiting_reply = False
        self._next_repeat_at = 0.0
        self._expiry_reported = False

    def may_run(self, unit, fence):
        """Return whether a request for a unit may be sent now."""
        return self.grant_issuer.may_run(unit, fence)

    def note_sent(self):
        """Record that a request was sent."""
        self.grant_issuer.note_sent()

    def note_finished(self):
        """Record that a request has ended."""
        self.grant_issuer.note_finished()

    def renew(self):
        """Send a grant now, for example after units have changed owner."""
        self._next_grant_at = 0.0
        self.tick()

    def tick(self):
        """Renew the grant and repeat `Released` and `Lapsed`, when due."""
        now = self._context.loop.now()
        generation = self._context.agent.generation_of(
            self.grant_issuer.upstream
        )
        if generation is not None:
            self.grant_issuer.set_role(generation)
        if now >= self._next_grant_at and not self._awaiting_reply:
            self._next_grant_at = now + GRANT_RENEW_INTERVAL_SECONDS
            self._send_grant()
        if self.releasing:
            self.check_releases()
        if now >= self._next_repeat_at:
            self._next_repeat_at = now + REPORT_REPEAT_INTERVAL_SECONDS
            self._repeat_released()
        self._report_expiry(now)

    def release(self, message):
        """Stop a unit; send `Released` once none of its requests runs."""
        unit, fence = message.unit, message.fence
        if unit in self.releasing:
            return
        self._stop_unit(unit, fence)
        self.check_releases()

    def _stop_unit(self, unit, fence):
        self.grant_issuer.stop(unit, fence)
        self._dispatcher.hold(unit)
        self.releasing[unit] = (fence, False)

    def suspend(self, term):
        """Stop renewing grants; send `Lapsed` once the last has expired."""
        self.grant_issuer.suspend(term)
        self._expiry_reported = False

    def warm(self, unit):
        """Request that the upstream loads a unit's state."""
        if self._dispatcher.service.authority:
            self._control.warm(unit)

    def check_releases(self):
        """Continue the releases of units that have become idle."""
        for unit, (fence, requested) in list(self.releasing.items()):
            if requested or not self._is_idle(unit):
                continue
            if not self._dispatcher.service.authority:
                self._finish_release(unit, fence)
                continue
            self.releasing[unit] = (fence, True)
            self._request_release(unit, fence)

    def _is_idle(self, unit):
        if not self._dispatcher.is_idle(unit):
            return False
        if not unit.startswith(SINGLE_KEY_PREFIX):
            return True
        # Requests for a single key may still run under its former shard.
        key = unit[len(SINGLE_KEY_PREFIX) :]
        shard = self._context.state.shard_unit(
            self._dispatcher.service.name, key
        )
        return shard is None or self._dispatcher.is_idle(shard)

    def _request_release(self, unit, fence):
        def on_reply(status, document):
            if unit not in self.releasing:
                return
            now = self._context.loop.now()
            confirmed = status == 200 and self.grant_issuer.may_confirm(
                unit, fence
            )
            if confirmed or now >= self.grant_issuer.unit_grants_expire_at(
                unit
            ):
                self._finish_release(unit, fence)
            else:
                self.releasing[unit] = (fence, False)

        self._control.release(unit, fence, on_reply)

    def _finish_release(self, unit, fence):
        del self.releasing[unit]
        self._dispatcher.admission.unhold(unit)
        self._send_released(unit, fence)

    def _send_released(self, unit, fence):
        self._context.send_to_coordinator(
            messages.Released(
                self._dispatcher.service.name,
                unit,
                fence,
                self.grant_issuer.upstream,
            )
        )

    def _send_grant(self, may_read_clock=True):
        dispatcher = self._dispatcher
        if (
            not dispatcher.service.authority
            or dispatcher.service.kind != 'keyed'
        ):
            return
        if not self._context.agent.may_dispatch(self.grant_issuer.upstream):
            return
        units = self._context.state.units_of(self.grant_issuer.upstream)
        body = self.grant_issuer.make_grant(units)
        if body is None:
            if may_read_clock and not self.grant_issuer.suspended:
                self._read_clock()
            return
        self._awaiting_reply = True

        def on_reply(status, document):
            self._awaiting_reply = False
            self._on_grant_reply(status, document, body)

        self._control.grant(body, on_reply)

    def _read_clock(self):
        self._awaiting_reply = True
        sent_at = self._context.loop.now()

        def on_reply(status, document):
            self._awaiting_reply = False
            self._dispatcher.health.note_result(status == 200)
            if status == 200 and self._apply_clock(document):
                elapsed = self._context.loop.now() - sent_at
                if elapsed < GRANT_RENEW_INTERVAL_SECONDS:
                    self._send_grant(may_read_clock=False)

        self._control.probe(on_reply)

    def _on_grant_reply(self, status, document, body):
        dispatcher = self._dispatcher
        dispatcher.health.note_result(status in (200, 409))
        if status == 200:
            barred = _barred_units(document)
            self.grant_issuer.on_granted(body, barred)
            self._apply_clock(document)
            self._release_barred(barred)
            dispatcher.admission.note_alive()
            dispatcher.on_granted()
        elif status == 409:
            # The upstream has restarted or has a grant of a newer generation.
            log_event(
                'grant_refused',
                upstream=self.grant_issuer.upstream,
                generation=self.grant_issuer.generation,
            )
            self._read_clock()

    def _release_barred(self, barred):
        # A former dispatcher released these units, but their next owner was
        # never stored. The coordinator continues the move once it receives
        # `Released` again.
        units = self._context.state.units_of(self.grant_issuer.upstream)
        for unit, fence in barred.items():
            if units.get(unit) == fence and unit not in self.releasing:
                self._stop_unit(unit, fence)
        self.check_releases()

    def _apply_clock(self, document):
        try:
            clock_ms = int(document['clock_ms'])
            epoch = str(document['epoch'])
        except (KeyError, TypeError, ValueError):
            return False
        self.grant_issuer.on_response(clock_ms, epoch)
        self._dispatcher.admission.note_epoch(epoch)
        return True

    def _repeat_released(self):
        units = self._context.state.units_of(self.grant_issuer.upstream)
        for unit, fence in self.grant_issuer.stopped(units).items():
            if unit not in self.releasing:
                self._send_released(unit, fence)
        self._expiry_reported = False

    def _report_expiry(self, now):
        if not self.grant_issuer.suspended or self._expiry_reported:
            return
        if now > self.grant_issuer.grants_expire_at:
            self._expiry_reported = True
            self._context.send_to_coordinator(
                messages.Lapsed(
                    self.grant_issuer.upstream, self.grant_issuer.generation
                )
            )


def _barred_units(document):
    """Return {unit: fence} of the units that the upstream refuses."""
    barred = document.get('barred')
    if not isinstance(barred, dict):
        return {}
    return {str(u): f for u, f in barred.items() if isinstance(f, int)}
