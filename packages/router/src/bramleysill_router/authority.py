"""Grants, releases and suspensions of one upstream."""

from bramleysill_kernel import messages
from bramleysill_kernel.ownership import SINGLE_KEY_PREFIX
from bramleysill_router.logs import log_event

GRANT_INTERVAL_SECONDS = 0.3
REPEAT_SECONDS = 1.0


class Authority:
    """Keeps an upstream's grants alive and carries out releases.

    `may_run(unit, fence)` is asked directly before a request is sent.
    """

    __slots__ = (
        'keeper',
        'releasing',
        '_owner',
        '_context',
        '_control',
        '_next_grant',
        '_granting',
        '_next_repeat',
        '_lapsed_told',
    )

    def __init__(self, owner, keeper, context, control):
        self.keeper = keeper
        # Units that are being released, with their fences and the step.
        self.releasing = {}
        self._owner = owner
        self._context = context
        self._control = control
        self._next_grant = 0.0
        self._granting = False
        self._next_repeat = 0.0
        self._lapsed_told = False

    def may_run(self, unit, fence):
        """Tell whether a request of a unit may be sent now."""
        return self.keeper.may_run(unit, fence)

    def note_sent(self):
        """A request was sent."""
        self.keeper.note_sent()

    def note_finished(self):
        """A request has ended."""
        self.keeper.note_finished()

    def renew(self):
        """Renew the grant now, for example after a change of owner."""
        self._next_grant = 0.0
        self.tick()

    def tick(self):
        """Renew the grant and repeat what may have been lost."""
        now = self._context.loop.now()
        generation = self._context.agent.generation(self.keeper.upstream)
        if generation is not None:
            self.keeper.set_role(generation)
        if now >= self._next_grant and not self._granting:
            self._next_grant = now + GRANT_INTERVAL_SECONDS
            self._grant()
        if self.releasing:
            self.check_releases()
        if now >= self._next_repeat:
            self._next_repeat = now + REPEAT_SECONDS
            self._repeat()
        self._tell_lapsed(now)

    def release(self, message):
        """Stop a unit; `Released` is sent when nothing of it runs."""
        unit, fence = message.unit, message.fence
        if unit in self.releasing:
            return
        self._stop(unit, fence)
        self.check_releases()

    def _stop(self, unit, fence):
        self.keeper.stop(unit, fence)
        self._owner.hold(unit)
        self.releasing[unit] = (fence, False)

    def suspend(self, term):
        """Stop renewing; `Lapsed` is sent when the grant has run out."""
        self.keeper.suspend(term)
        self._lapsed_told = False

    def warm(self, unit):
        """Have the upstream load a unit."""
        if self._owner.service.authority:
            self._control.warm(unit)

    def check_releases(self):
        """Go on with releases whose units have become idle."""
        for unit, (fence, asked) in list(self.releasing.items()):
            if asked or not self._is_idle(unit):
                continue
            if not self._owner.service.authority:
                self._released(unit, fence)
                continue
            self.releasing[unit] = (fence, True)
            self._ask_release(unit, fence)

    def _is_idle(self, unit):
        if not self._owner.is_idle(unit):
            return False
        if not unit.startswith(SINGLE_KEY_PREFIX):
            return True
        # Requests of a single key may still run under its former shard.
        key = unit[len(SINGLE_KEY_PREFIX) :]
        shard = self._context.state.shard_unit(self._owner.service.name, key)
        return shard is None or self._owner.is_idle(shard)

    def _ask_release(self, unit, fence):
        def answered(status, document):
            if unit not in self.releasing:
                return
            now = self._context.loop.now()
            confirmed = status == 200 and self.keeper.may_confirm(unit, fence)
            if confirmed or now >= self.keeper.unit_lapse_bound(unit):
                self._released(unit, fence)
            else:
                self.releasing[unit] = (fence, False)

        self._control.release(unit, fence, answered)

    def _released(self, unit, fence):
        del self.releasing[unit]
        self._owner.admission.unhold(unit)
        self._send_released(unit, fence)

    def _send_released(self, unit, fence):
        self._context.send(
            messages.Released(
                self._owner.service.name, unit, fence, self.keeper.upstream
            )
        )

    def _grant(self, may_read=True):
        owner = self._owner
        if not owner.service.authority or owner.service.kind != 'keyed':
            return
        if not self._context.agent.may_dispatch(self.keeper.upstream):
            return
        units = self._context.state.units_of(self.keeper.upstream)
        body = self.keeper.make_grant(units)
        if body is None:
            if may_read and not self.keeper.suspended:
                self._read_clock()
            return
        self._granting = True

        def answered(status, document):
            self._granting = False
            self._on_granted(status, document, body)

        self._control.grant(body, answered)

    def _read_clock(self):
        self._granting = True
        sent_at = self._context.loop.now()

        def answered(status, document):
            self._granting = False
            self._owner.health.note_answer(status == 200)
            if status == 200 and self._take_clock(document):
                waited = self._context.loop.now() - sent_at
                if waited < GRANT_INTERVAL_SECONDS:
                    self._grant(may_read=False)

        self._control.probe(answered)

    def _on_granted(self, status, document, body):
        owner = self._owner
        owner.health.note_answer(status in (200, 409))
        if status == 200:
            barred = _barred_units(document)
            self.keeper.on_granted(body, barred)
            self._take_clock(document)
            self._release_barred(barred)
            owner.admission.note_alive()
            owner.on_granted()
        elif status == 409:
            # The upstream restarted or knows a newer dispatcher.
            log_event(
                'grant_refused',
                upstream=self.keeper.upstream,
                generation=self.keeper.generation,
            )
            self._read_clock()

    def _release_barred(self, barred):
        # A former dispatcher released these units and their next owner was
        # never written; the coordinator moves on when it hears so again.
        units = self._context.state.units_of(self.keeper.upstream)
        for unit, fence in barred.items():
            if units.get(unit) == fence and unit not in self.releasing:
                self._stop(unit, fence)
        self.check_releases()

    def _take_clock(self, document):
        try:
            clock_ms = int(document['clock_ms'])
            epoch = str(document['epoch'])
        except (KeyError, TypeError, ValueError):
            return False
        self.keeper.on_answer(clock_ms, epoch)
        self._owner.admission.note_epoch(epoch)
        return True

    def _repeat(self):
        units = self._context.state.units_of(self.keeper.upstream)
        for unit, fence in self.keeper.stopped(units).items():
            if unit not in self.releasing:
                self._send_released(unit, fence)
        self._lapsed_told = False

    def _tell_lapsed(self, now):
        if not self.keeper.suspended or self._lapsed_told:
            return
        if now > self.keeper.lapse_bound:
            self._lapsed_told = True
            self._context.send(
                messages.Lapsed(self.keeper.upstream, self.keeper.generation)
            )


def _barred_units(document):
    barred = document.get('barred')
    if not isinstance(barred, dict):
        return {}
    return {str(u): f for u, f in barred.items() if isinstance(f, int)}
