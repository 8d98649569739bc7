"""Grants, which permit an upstream to run requests for its units.

The router that dispatches to an upstream uses one `GrantIssuer` for it:

* Every 0.3 s, and whenever the units of the upstream change, it calls
  `make_grant(units)` with `RouterState.units_of(upstream)` and posts the
  result as JSON. If the result is None, no clock reading is known or nothing
  may be granted; then it sends `GET /.sill/health`.
* It passes `clock_ms` and `epoch` of every response of the upstream, with the
  time of arrival, to `on_response(clock_ms, epoch, received_at)`. It calls
  `on_granted(body, barred)` when the response to a grant has status 200.
* It keeps the issuer while `RouterAgent.may_dispatch` is true. If it is
  assigned the role again later, it creates a new issuer.
* The response to a grant may list units as `barred`: a former dispatcher has
  released them, but a new owner was never written. They are handled like the
  unit of a `Release`. So is a unit that the upstream refuses with `no_grant`
  or `stale_fence` although it has confirmed the grant.
* On `Release` it calls `stop(unit, fence)`, waits until no request for the
  unit is in flight (for a single key, none for its former shard either) and
  posts `/.sill/release`. It sends `Released` when the upstream has confirmed
  the release and `may_confirm(unit, fence)` is true, or when
  `unit_grants_expire_at(unit)` has passed. It ignores a Release for a unit
  that is missing from its table. It repeats `Released` every second for all
  units in `stopped(units)`, because the message or the coordinator may have
  been lost. The unit is granted again only with a higher fence.
* On `Suspend` it calls `suspend(term)`. When `grants_expire_at` has passed, it
  sends `Lapsed` with `generation` and repeats it every 0.5 s. A newer
  generation of the role (`set_role`) ends the suspension.

Nothing is granted to an upstream that does not check authority. Instead the
dispatcher calls `note_sent()` for each request that it sends and
`note_finished()` for each that ends.

`GrantTable` implements the side of the upstream. The simulated upstream uses
it, so that tests run the logic that a real upstream has to implement.
"""

from bramleysill_kernel.common import lease
from bramleysill_kernel.units.ownership import SINGLE_KEY_PREFIX

MS_PER_SECOND = 1000.0

REASON_NO_GRANT = 'no_grant'
REASON_STALE_FENCE = 'stale_fence'
REASON_EXPIRED = 'expired'


class GrantIssuer:
    """Issues the grants of one upstream, on its dispatcher.

    `agent` is the RouterAgent; no grant outlasts its `lease_deadline`.
    `settle` is the time in seconds to wait after the last request that was
    sent to an upstream without authority checks (setting `settle_s`).
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
        '_settle_seconds',
        '_epoch',
        '_clock_ms',
        '_clock_read_at',
        '_last_sent_at',
        '_grants_expire_at',
        '_unit_grants_expire_at',
        '_stopped_fences',
        '_stopped_grants_expire_at',
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
        self._settle_seconds = settle
        self._epoch = ''
        self._clock_ms = 0
        self._clock_read_at = None
        self._last_sent_at = lease.NEVER
        self._grants_expire_at = lease.NEVER
        self._unit_grants_expire_at = {}
        self._stopped_fences = {}
        self._stopped_grants_expire_at = {}
        self._confirmed = {}

    def set_role(self, generation):
        """Set the generation of the role; a newer one ends a suspension."""
        if generation > self.generation:
            self.generation = tuple(generation)
            self.suspended = False

    def on_response(self, clock_ms, epoch, received_at=None):
        """Record a reading of the upstream's clock, in milliseconds.

        A new epoch means that the upstream has restarted and has no grants.
        A reading that is not newer than the last one is ignored.
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

        `units` maps the units of the upstream to their fences; stopped units
        are left out. The grant expires within the lease of this router.
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
        bound = self._clock_read_at + length * (
            1.0 + lease.MAX_CLOCK_RATE_ERROR
        )
        if bound <= now:
            return None
        granted = self._grantable(units)
        self._grants_expire_at = max(self._grants_expire_at, bound)
        for unit in granted:
            self._unit_grants_expire_at[unit] = bound
        return {
            'dispatcher': self.dispatcher,
            'generation': list(self.generation),
            'until_clock_ms': int(self._clock_ms + length * MS_PER_SECOND),
            'epoch': self._epoch,
            'units': granted,
        }

    def on_granted(self, body, barred=None):
        """Record that the upstream has confirmed a grant.

        `barred` maps each unit that the upstream refuses with its current
        fence, because another dispatcher has released it, to that fence.
        """
        if body['epoch'] == self._epoch:
            self._confirmed = dict(body['units'])
        for unit in barred or ():
            self._confirmed.pop(unit, None)

    def may_run(self, unit, fence):
        """Return whether a request for the unit may be sent now."""
        if self.suspended or fence <= self._stopped_fences.get(unit, 0):
            return False
        if not self._agent.may_dispatch(self.upstream):
            return False
        return not self._authority or self._confirmed.get(unit) == fence

    def stop(self, unit, fence):
        """Stop granting a unit and sending its requests, up to a fence."""
        if fence > self._stopped_fences.get(unit, 0):
            self._stopped_fences[unit] = fence
            self._stopped_grants_expire_at[unit] = self._grants_expire_at

    def may_confirm(self, unit, fence):
        """Return whether the upstream's confirmation of a release suffices.

        The upstream runs requests for a single key under the fence of its
        shard until it has been granted the entry of the key.
        """
        if not unit.startswith(SINGLE_KEY_PREFIX):
            return True
        return self._confirmed.get(unit) == fence

    def stopped(self, units):
        """Return the stopped units whose fence has not increased since.

        `units` maps the upstream's units to their fences in the table. Units
        with a higher fence there are no longer stopped.
        """
        self._stopped_fences = {
            u: f
            for u, f in self._stopped_fences.items()
            if units.get(u, 0) <= f
        }
        return {
            u: f for u, f in self._stopped_fences.items() if units.get(u) == f
        }

    def suspend(self, term):
        """Stop issuing grants, so that all expire by `grants_expire_at`.

        A delayed Suspend, whose term is older than the role's, is ignored.
        """
        if term >= self.generation[0]:
            self.suspended = True

    def note_sent(self):
        """Record that a request was sent to the upstream."""
        self.in_flight += 1
        self._last_sent_at = self._clock.now()

    def note_finished(self):
        """Record that a request is known to have ended."""
        self.in_flight -= 1

    @property
    def grants_expire_at(self):
        """The time when all grants have expired, in seconds on this clock.

        For an upstream without authority checks, it is `settle` seconds after
        the last request was sent if requests are in flight, and otherwise in
        the past.
        """
        if self._authority:
            return self._grants_expire_at
        if self.in_flight > 0:
            return lease.grantor_deadline(
                self._last_sent_at, self._settle_seconds
            )
        return lease.NEVER

    def unit_grants_expire_at(self, unit):
        """Return the time when the grants of a stopped unit have expired.

        For a single key this includes the grants of its shard.
        """
        if self._authority:
            if unit.startswith(SINGLE_KEY_PREFIX):
                return self._stopped_grants_expire_at.get(unit, lease.NEVER)
            return self._unit_grants_expire_at.get(unit, lease.NEVER)
        return self.grants_expire_at

    def _grantable(self, units):
        return {
            unit: fence
            for unit, fence in units.items()
            if fence > self._stopped_fences.get(unit, 0)
        }


class GrantTable:
    """The units that an upstream may run, and until when.

    Times are in milliseconds on the monotonic clock of the upstream. The
    table keeps the lowest accepted fence of each unit, so that a delayed
    grant cannot restore a unit that has been released.
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

        A grant with an older generation or another epoch is refused with
        409. One of the same generation that expires earlier than the current
        grant arrived out of order; it is ignored and returns 200.
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
        """Return '' if a request may run now, otherwise the reason."""
        granted_fence = self.units.get(unit)
        if granted_fence is None:
            return REASON_NO_GRANT
        if now_ms >= self.until_ms:
            return REASON_EXPIRED
        if granted_fence != fence:
            return REASON_STALE_FENCE
        return ''

    def barred(self, units):
        """Return the given units whose fence is too low to be accepted."""
        return {
            unit: fence
            for unit, fence in units.items()
            if fence < self._min_fences.get(unit, 0)
        }

    def release(self, unit, fence):
        """Stop a unit and reject grants up to this fence from now on."""
        self._min_fences[unit] = max(fence + 1, self._min_fences.get(unit, 0))
        if self.units.get(unit, fence + 1) <= fence:
            del self.units[unit]
