"""The dispatcher of one upstream: admits and sends requests, renews grants."""

from bramleysill_kernel.common import refusals
from bramleysill_kernel.common.exceptions import OUTCOME_NOT_RUN
from bramleysill_kernel.common.messages import UPSTREAM_SUSPECT
from bramleysill_kernel.common.messages import UpstreamReport
from bramleysill_kernel.load import idempotency
from bramleysill_kernel.load.admission import ADMITTED
from bramleysill_kernel.load.admission import QUEUED
from bramleysill_kernel.load.admission import RESULT_CANCELLED
from bramleysill_kernel.load.admission import Admission
from bramleysill_kernel.load.health import UpstreamHealth
from bramleysill_kernel.load.idempotency import IdempotencyCache
from bramleysill_kernel.units.grants import GrantIssuer
from bramleysill_router.authority import Authority
from bramleysill_router.grant_queue import GrantQueue
from bramleysill_router.local_attempt import LocalAttempt
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_request
from bramleysill_router.recording import NO_RECORDING
from bramleysill_router.recording import Recording
from bramleysill_router.recording import refusal_for_key
from bramleysill_router.unit_rates import UnitRates
from bramleysill_router.upstream_control import UpstreamControl
from bramleysill_router.upstream_pool import UpstreamPool

# How many of the connections to an upstream are reserved for grants, probes
# and cancellations.
CONTROL_CONNECTIONS = 4
# Weight of one tick of 50 ms in the reported load, which averages over about
# 10 s. Single readings differ between equally loaded upstreams and made the
# coordinator move units back and forth.
LOAD_EWMA_WEIGHT = 0.005


class UpstreamDispatcher:
    """Sends the requests that this router dispatches to one upstream.

    They are sent only while the router holds the dispatcher role under a
    valid lease, and for a keyed service only for units that are granted.
    """

    __slots__ = (
        'upstream',
        'service',
        'admission',
        'health',
        'authority',
        'idempotency_cache',
        '_context',
        '_pool',
        '_control',
        '_running',
        '_grant_queue',
        '_host',
        '_address',
        '_unit_rates',
        '_average_load',
        '_condition',
    )

    def __init__(self, context, upstream, service):
        loop = context.loop
        self.upstream = upstream
        self.service = service
        self._context = context
        self._host = f'{upstream.host}:{upstream.port}'
        self._address = (upstream.host, upstream.port)
        self._pool = UpstreamPool(
            loop,
            upstream.host,
            upstream.port,
            upstream.connections - CONTROL_CONNECTIONS,
        )
        control_pool = UpstreamPool(
            loop, upstream.host, upstream.port, CONTROL_CONNECTIONS
        )
        self._control = UpstreamControl(loop, control_pool)
        self.admission = Admission(
            upstream.name, loop, upstream.slots, settle=service.settle
        )
        self.health = UpstreamHealth(loop, context.rng)
        grant_issuer = GrantIssuer(
            upstream.name,
            context.agent,
            loop,
            service.authority,
            service.settle,
        )
        self.authority = Authority(self, grant_issuer, context, self._control)
        self.idempotency_cache = IdempotencyCache(loop)
        self._running = {}
        self._grant_queue = GrantQueue()
        self._unit_rates = UnitRates(loop.now())
        self._average_load = 0.0
        self._condition = self.health.condition

    def now(self):
        """Return the time on the monotonic clock in seconds."""
        return self._context.loop.now()

    # Requests.

    def submit(self, head, sink):
        """Start an attempt; return the LocalAttempt."""
        recording = NO_RECORDING
        refusal = self._check(head)
        recorded = None
        if refusal is None and head.idempotency_key and not head.repeatable:
            recording, recorded, refusal = self._begin_idempotent(head)
        attempt = LocalAttempt(self, head, sink, recording)
        if refusal is not None:
            attempt.refuse(refusal)
        elif recorded is not None:
            attempt.replay(recorded)
        else:
            self._admit(attempt)
        return attempt

    def _check(self, head):
        name = self.upstream.name
        if not self._context.agent.may_dispatch(name):
            return refusals.NotDispatcher(
                'this router is not the dispatcher of the upstream',
                'dispatch',
                name,
            )
        if not head.unit:
            return None
        location = self._context.state.route(head.service, head.key)
        known = location is not None and location.owner == name
        if not known or (location.unit, location.fence) != (
            head.unit,
            head.fence,
        ):
            return refusals.OwnerMoving(
                f'unit {head.unit} has another owner or fence than requested',
                'dispatch',
                name,
                retry_after=1,
            )
        self._unit_rates.note_request(head.unit)
        return None

    def _begin_idempotent(self, head):
        scope = head.unit or head.service
        fingerprint = f'{head.method} {head.target}'
        key = head.idempotency_key
        state, entry = self.idempotency_cache.begin(scope, key, fingerprint)
        if state == idempotency.NEW:
            return Recording(self.idempotency_cache, scope, key), None, None
        if state == idempotency.DONE and entry.result is not None:
            return NO_RECORDING, entry.result, None
        refusal = refusal_for_key(state, self.upstream.name)
        return NO_RECORDING, None, refusal

    def _admit(self, attempt):
        head = attempt.head
        if head.unit and not self.authority.may_run(head.unit, head.fence):
            self.authority.renew()
            self._grant_queue.add(attempt, self.now())
            return
        offered = self.admission.offer(attempt.work)
        if offered is ADMITTED:
            self._start(attempt)
        elif offered is not QUEUED:
            attempt.refuse(offered)
        self._refuse_dropped()

    def _start(self, attempt):
        head = attempt.head
        allowed = self._context.agent.may_dispatch(self.upstream.name)
        if head.unit:
            allowed = self.authority.may_run(head.unit, head.fence)
        conn = self._pool.take() if allowed else None
        if conn is None:
            self._refuse_unsent(attempt, allowed)
            return
        self._running[attempt] = None
        self.authority.note_sent()
        attempt.start(conn, self._host, self.now())

    def _refuse_unsent(self, attempt, allowed):
        name = self.upstream.name
        if allowed:
            refusal = refusals.Overloaded(
                'all connections to the upstream are in use',
                'connect',
                name,
                retry_after=1,
            )
        else:
            refusal = refusals.NoAuthority(
                'the grant of the unit or the router lease has expired',
                'dispatch',
                name,
            )
        self._finish_work(attempt, RESULT_CANCELLED)
        attempt.refuse(refusal)

    # Called by attempts.

    def find_sill_state(self, fields):
        """Return the Sill-State of a response, or an empty string."""
        state = ''
        for name, value in fields:
            if name == 'sill-state':
                state = value
        return state

    def attempt_done(self, attempt, result):
        """Free the slot of an attempt that has ended at the upstream."""
        if self._running.pop(attempt, self) is self:
            return
        self.authority.note_finished()
        self.health.note_result(
            attempt.response_started or result == 'shed', attempt.state
        )
        self._finish_work(attempt, result)
        log_request(
            role='dispatcher',
            request_id=attempt.head.request_id,
            upstream=self.upstream.name,
            unit=attempt.head.unit,
            fence=attempt.head.fence,
            result=result,
        )

    def attempt_cancelled(self, attempt):
        """Stop an attempt whose caller has left or whose deadline passed."""
        if self._grant_queue.remove(attempt):
            attempt.withdraw()
            return
        log_request(
            role='dispatcher',
            request_id=attempt.head.request_id,
            upstream=self.upstream.name,
            unit=attempt.head.unit,
            result='cancelled',
            state=attempt.work.state,
            buffered=attempt.buffered,
            in_flight=self.admission.in_flight,
        )
        self.admission.cancel(attempt.work)
        if attempt not in self._running:
            attempt.withdraw()
            return
        attempt.refuse(
            refusals.DeadlineUnknown(
                'the request was cancelled while running',
                'upstream',
                self.upstream.name,
            )
        )
        attempt.abort()

        def on_reply(status, document):
            # The slot is free only once the upstream confirms that the work
            # has stopped. Without a reply, the admission frees the slot
            # after its own time limit.
            if status == 200 and self._running.pop(attempt, self) is not self:
                self.authority.note_finished()
                self._finish_work(attempt, RESULT_CANCELLED)

        self._control.cancel(attempt.head.request_id, on_reply)

    def _finish_work(self, attempt, result):
        started = self.admission.finished(attempt.work, result, attempt.state)
        self._start_all(started)
        self._refuse_dropped()
        if self.authority.releasing:
            self.authority.check_releases()

    def _start_all(self, items):
        for work in items:
            self._start(work.id)

    def _refuse_dropped(self):
        for work, refusal in self.admission.take_dropped():
            work.id.refuse(refusal)

    # Called by the process.

    def tick(self):
        """Apply deadlines, drive the queue, probe, close idle connections."""
        now = self.now()
        self._expire_running(now)
        self._refuse_moving(self._grant_queue.take_expired(now))
        if not self._context.agent.may_dispatch(self.upstream.name):
            self._refuse_queued()
        self._start_all(self.admission.tick())
        self._refuse_dropped()
        if self.health.is_probe_due() and self._may_probe():
            self.health.note_probe_sent()
            self._control.probe(self._on_probe)
        requests = self.admission.in_flight + self.admission.queued
        load = requests / self.upstream.slots
        self._average_load += LOAD_EWMA_WEIGHT * (load - self._average_load)
        self._pool.sweep()
        self._control.sweep()
        self.idempotency_cache.tick()
        self.authority.tick()
        self.apply_condition()

    def _apply_manifest(self):
        """Apply changed limits and timeouts of the upstream's declaration.

        A changed address is ignored, because the server at the old address
        may hold grants. sillctl refuses a manifest that changes one.
        """
        manifest = self._context.state.manifest
        declared = manifest.upstreams.get(self.upstream.name)
        if declared is None or declared is self.upstream:
            return
        if (declared.host, declared.port) != self._address:
            log_event('address_change_ignored', upstream=declared.name)
        self.upstream = declared
        self.service = manifest.services[declared.service]
        self._pool.limit = declared.connections - CONTROL_CONNECTIONS
        if declared.slots != self.admission.slots:
            self._start_all(self.admission.set_slots(declared.slots))

    def on_state_changed(self):
        """Apply a new manifest or table.

        Renews the grant and refuses requests that wait for a grant of a unit
        that has moved.
        """
        self._apply_manifest()
        self.authority.renew()
        self._refuse_moving(
            self._grant_queue.take_moved(
                lambda attempt: self._check(attempt.head) is not None
            )
        )

    def on_granted(self):
        """Admit the requests that waited for a grant, now confirmed."""
        for attempt in self._grant_queue.take_granted(self.authority.may_run):
            self._admit(attempt)

    def hold(self, unit):
        """Stop a unit and refuse its unsent requests, which entries retry."""
        self.admission.hold(unit)
        queued = [work.id for work in self.admission.withdraw(unit)]
        self._refuse_moving(queued + self._grant_queue.take_unit(unit))

    def is_idle(self, unit):
        """Return whether no request of a unit is at the upstream."""
        return self.admission.is_idle(unit)

    def is_busy(self):
        """Return whether any request is at the upstream."""
        return self.admission.in_flight > 0

    def is_unused(self):
        """Return whether the role has ended and no request is running."""
        held = self._context.agent.may_dispatch(self.upstream.name)
        return not held and not self._running and not self.is_busy()

    def close(self):
        """Close idle connections."""
        self._pool.close()
        self._control.close()

    def report(self):
        """Return the UpstreamReport for the coordinator."""
        rate, hot = self._unit_rates.take(self.now())
        return UpstreamReport(
            self.upstream.name,
            self.health.condition,
            self._average_load,
            rate,
            self.admission.slow_start.cold,
            hot,
        )

    # Internal.

    def _expire_running(self, now):
        for attempt in [a for a in self._running if a.deadline <= now]:
            if attempt.running:
                attempt.expire()

    def _refuse_queued(self):
        name = self.upstream.name
        for work in self.admission.withdraw_all():
            work.id.refuse(
                refusals.NoAuthority(
                    'the router lease has expired', 'dispatch', name
                )
            )

    def _refuse_moving(self, attempts):
        for attempt in attempts:
            attempt.refuse(self._moving_refusal(attempt.head.unit))

    def _moving_refusal(self, unit):
        if self.authority.grant_issuer.suspended:
            return refusals.OwnerLost(
                f'the owner of unit {unit} is lost',
                'dispatch',
                self.upstream.name,
                retry_after=1,
            )
        return refusals.OwnerMoving(
            f'unit {unit} is being moved',
            'dispatch',
            self.upstream.name,
            outcome=OUTCOME_NOT_RUN,
            retry_after=1,
        )

    def _may_probe(self):
        return self._context.agent.may_dispatch(self.upstream.name)

    def _on_probe(self, status, document):
        state = str(document.get('state', ''))
        epoch = str(document.get('epoch', ''))
        self.health.note_probe(status == 200, state, epoch)
        if status == 200:
            self.admission.note_alive()
            self.admission.note_epoch(epoch)
        self.apply_condition()

    def apply_condition(self):
        """Log a changed condition; limit a suspect upstream to one request."""
        condition = self.health.condition
        if condition != self._condition:
            self._condition = condition
            log_event(
                'upstream_condition',
                upstream=self.upstream.name,
                condition=condition,
            )
        bound = 1 if condition == UPSTREAM_SUSPECT else None
        self._start_all(self.admission.restrict(bound))
        self._refuse_dropped()
