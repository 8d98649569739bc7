"""Grants: an upstream's right to run requests of its units.

The dispatcher of an upstream drives one `GrantIssuer` per upstream:

* Every 0.3 s, and whenever the upstream's units change, it calls
  `make_grant(units)` with `RouterState.units_of(upstream)`. A result of None
  means that no clock reading is known or nothing may be granted; then it
  sends `GET /.sill/health`. Otherwise it posts the result as JSON.
* It passes `clock_ms` and `epoch` of every answer of the upstream to
  `on_answer(clock_ms, epoch)`, together with the time of arrival, and
  `on_granted(body)` for a grant that was answered with 200.
* It keeps the object while `RouterAgent.may_dispatch` is true and makes a new
  one when the role is named again after that.
* The answer to a grant may name units as `barred`: a former dispatcher has
  released them and their new owner was never written. They are treated like
  units of a `Release`, and so is a unit that the upstream refuses with
  `no_grant` or `stale_fence` although its grant was confirmed.
* On `Release` it calls `stop(unit, fence)`, waits until no request of the
  unit is in flight (for a single key also those of its former shard), posts
  `/.sill/release`, and sends `Released` when that is confirmed and
  `may_confirm(unit, fence)` is true, or when `unit_lapse_bound(unit)` has
  passed. A Release of a unit that its table does not know is ignored. It
  repeats `Released` for everything in `stopped(units)` every second, because
  a message or a coordinator may have been lost; the unit is served again
  only under a higher fence.
* On `Suspend` it calls `suspend(term)` and sends `Lapsed` with `generation`
  when `lapse_bound` has passed, and again every 0.5 s. A new generation of
  the role (`set_role`) ends the suspension.

For an upstream that does not check authority nothing is granted; the
dispatcher reports each send with `note_sent()` and each end with
`note_finished()`.

`GrantTable` is the upstream's side. The stand-in upstream uses it, so that
tests exercise the same logic that an upstream has to implement.
"""

from bramleysill_kernel import lease
from bramleysill_kernel.ownership import SINGLE_KEY_PREFIX

MS_PER_SECOND = 1000.0

REASON_NO_GRANT = 'no_grant'
REASON_STALE_FENCE = 'stale_fence'
REASON_EXPIRED = 'expired'


class GrantIssuer:
    """The dispatcher's side of the grants of one upstream.

    `agent` is the RouterAgent, whose `lease_deadline` bounds every grant.
    """

    __slots__ = (
        'upstream',
        'dispatcher',
        'generation',
        'suspended',
        'in_flight',
        '_agent',
        '_clock',
        '_authority',
        '_settle',
        '_epoch',
        '_clock_ms',
        '_clock_read_at',
        '_last_send',
        '_lapse_bound',
        '_unit_lapse_bounds',
        '_stopped_fences',
        '_stopped_lapse_bounds',
        '_confirmed',
    )

    def __init__(self, upstream, agent, clock, authority=True, settle=30.0):
        self.upstream = upstream
        self.dispatcher = agent.name
        self.generation = (0, 0)
        self.suspended = False
        self.in_flight = 0
        self._agent = agent
        self._clock = clock
        self._authority = authority
        self._settle = settle
        self._epoch = ''
        self._clock_ms = 0
        self._clock_read_at = None
        self._last_send = lease.NEVER
        self._lapse_bound = lease.NEVER
        self._unit_lapse_bounds = {}
        self._stopped_fences = {}
        self._stopped_lapse_bounds = {}
        self._confirmed = {}

    def set_role(self, generation):
        """Take the role under a generation; a newer one ends suspension."""
        if generation > self.generation:
            self.generation = tuple(generation)
            self.suspended = False

    def on_answer(self, clock_ms, epoch, received_at=None):
        """Take a reading of the upstream's clock, in milliseconds.

        A change of epoch means that the upstream restarted without grants.
        Older readings that arrive late are ignored.
        """
        if received_at is None:
            received_at = self._clock.now()
        if epoch != self._epoch:
            self._epoch = epoch
            self._confirmed = {}
        elif clock_ms <= self._clock_ms:
            return
        self._clock_ms = clock_ms
        self._clock_read_at = received_at

    def make_grant(self, units):
        """Return the body of POST /.sill/grants, or None.

        `units` maps the upstream's units to fences. Stopped units are left
        out. The grant ends within this router's lease.
        """
        now = self._clock.now()
        if (
            not self._authority
            or self.suspended
            or self._clock_read_at is None
        ):
            return None
        if not self._agent.may_dispatch(self.upstream):
            return None
        length = lease.nested_length(
            self._clock_read_at,
            self._agent.lease_deadline,
            lease.GRANT_SECONDS,
        )
        bound = self._clock_read_at + length * (1.0 + lease.CLOCK_RATE_ERROR)
        if bound <= now:
            return None
        granted = self._grantable(units)
        self._lapse_bound = max(self._lapse_bound, bound)
        for unit in granted:
            self._unit_lapse_bounds[unit] = bound
        return {
            'dispatcher': self.dispatcher,
            'generation': list(self.generation),
            'until_clock_ms': int(self._clock_ms + length * MS_PER_SECOND),
            'epoch': self._epoch,
            'units': granted,
        }

    def on_granted(self, body, barred=None):
        """Note that the upstream confirmed a grant.

        `barred` maps units that the upstream refuses under their present
        fence, because another dispatcher has released them, to that fence.
        """
        if body['epoch'] == self._epoch:
            self._confirmed = dict(body['units'])
        for unit in barred or ():
            self._confirmed.pop(unit, None)

    def may_run(self, unit, fence):
        """Tell whether a request of the unit may be sent now."""
        if self.suspended or fence <= self._stopped_fences.get(unit, 0):
            return False
        if not self._agent.may_dispatch(self.upstream):
            return False
        return not self._authority or self._confirmed.get(unit) == fence

    def stop(self, unit, fence):
        """Stop granting and running a unit up to this fence."""
        if fence > self._stopped_fences.get(unit, 0):
            self._stopped_fences[unit] = fence
            self._stopped_lapse_bounds[unit] = self._lapse_bound

    def may_confirm(self, unit, fence):
        """Tell whether the upstream's own confirmation of a stop suffices.

        A single key is run under its shard's fence until the upstream has
        been granted the key's entry.
        """
        if not unit.startswith(SINGLE_KEY_PREFIX):
            return True
        return self._confirmed.get(unit) == fence

    def stopped(self, units):
        """Return stopped units that the table still gives this fence."""
        self._stopped_fences = {
            u: f
            for u, f in self._stopped_fences.items()
            if units.get(u, 0) <= f
        }
        return {
            u: f for u, f in self._stopped_fences.items() if units.get(u) == f
        }

    def suspend(self, term):
        """Stop granting anything; see `lapse_bound`.

        A Suspend of an older term than the role's came late and is ignored.
        """
        if term >= self.generation[0]:
            self.suspended = True

    def note_sent(self):
        """Note a request sent to the upstream."""
        self.in_flight += 1
        self._last_send = self._clock.now()

    def note_finished(self):
        """Note the confirmed end of a request."""
        self.in_flight -= 1

    @property
    def lapse_bound(self):
        """Time from which no grant is valid, in seconds on this clock."""
        if self._authority:
            return self._lapse_bound
        if self.in_flight > 0:
            return lease.grantor_deadline(self._last_send, self._settle)
        return lease.NEVER

    def unit_lapse_bound(self, unit):
        """Time from which a stopped unit is not granted any more.

        For a single key this includes grants of its shard.
        """
        if self._authority:
            if unit.startswith(SINGLE_KEY_PREFIX):
                return self._stopped_lapse_bounds.get(unit, lease.NEVER)
            return self._unit_lapse_bounds.get(unit, lease.NEVER)
        return self.lapse_bound

    def _grantable(self, units):
        return {
            unit: fence
            for unit, fence in units.items()
            if fence > self._stopped_fences.get(unit, 0)
        }


class GrantTable:
    """The upstream's side: which units it may run, and until when.

    Times are in milliseconds on the upstream's monotonic clock. A released
    fence stays barred, so that a grant which was delayed on its way cannot
    bring the unit back.
    """

    __slots__ = ('epoch', 'generation', 'until_ms', 'units', '_min_fences')

    def __init__(self, epoch):
        self.epoch = epoch
        self.generation = (0, 0)
        self.until_ms = -1
        self.units = {}
        self._min_fences = {}

    def apply(self, command, now_ms):
        """Apply the body of POST /.sill/grants; return 200 or 409.

        A grant with an older generation or another epoch is refused. One
        that ends earlier than the present one and has the same generation
        was overtaken on its way; it is accepted without effect.
        """
        generation = tuple(command['generation'])
        if command['epoch'] != self.epoch or generation < self.generation:
            return 409
        until_ms = command['until_clock_ms']
        if generation == self.generation and until_ms < self.until_ms:
            return 200
        self.generation = generation
        self.until_ms = until_ms
        self.units = {
            unit: fence
            for unit, fence in command['units'].items()
            if fence >= self._min_fences.get(unit, 0)
        }
        for unit, fence in self.units.items():
            self._min_fences[unit] = fence
        return 200

    def check(self, unit, fence, now_ms):
        """Return '' if a request may run now, else the reason it may not."""
        granted_fence = self.units.get(unit)
        if granted_fence is None:
            return REASON_NO_GRANT
        if now_ms >= self.until_ms:
            return REASON_EXPIRED
        if granted_fence != fence:
            return REASON_STALE_FENCE
        return ''

    def barred(self, units):
        """Return those of the units that stay refused under their fence."""
        return {
            unit: fence
            for unit, fence in units.items()
            if fence < self._min_fences.get(unit, 0)
        }

    def release(self, unit, fence):
        """Stop a unit and bar its fence and all lower ones."""
        self._min_fences[unit] = max(fence + 1, self._min_fences.get(unit, 0))
        if self.units.get(unit, fence + 1) <= fence:
            del self.units[unit]
