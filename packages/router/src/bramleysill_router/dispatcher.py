"""The dispatcher role for one upstream: admission, sending and grants."""

from bramleysill_kernel import idempotency
from bramleysill_kernel import refusals
from bramleysill_kernel.admission import ADMITTED
from bramleysill_kernel.admission import QUEUED
from bramleysill_kernel.admission import RESULT_CANCELLED
from bramleysill_kernel.admission import Admission
from bramleysill_kernel.exceptions import OUTCOME_NOT_RUN
from bramleysill_kernel.grants import GrantIssuer
from bramleysill_kernel.health import UpstreamHealth
from bramleysill_kernel.idempotency import IdempotencyMemory
from bramleysill_kernel.messages import UPSTREAM_SUSPECT
from bramleysill_kernel.messages import UpstreamReport
from bramleysill_router.authority import Authority
from bramleysill_router.grant_queue import GrantQueue
from bramleysill_router.job import Job
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_request
from bramleysill_router.recording import NO_RECORDING
from bramleysill_router.recording import Recording
from bramleysill_router.recording import refusal_for_key
from bramleysill_router.unit_rates import UnitRates
from bramleysill_router.upstream_control import UpstreamControl
from bramleysill_router.upstream_pool import UpstreamPool

# Connections that are kept for grants, probes and cancellations.
CONTROL_CONNECTIONS = 4
# Weight of one tick of 50 ms in the reported load, an average over about
# 10 s: single readings differ between equally loaded upstreams, and the
# coordinator moved units to and fro because of it.
LOAD_WEIGHT = 0.005


class UpstreamDispatcher:
    """Sends all work of this router to one upstream.

    Work is sent only while the router holds the dispatcher role under a
    valid lease, and for a keyed service only for units that are granted.
    """

    __slots__ = (
        'upstream',
        'service',
        'admission',
        'health',
        'authority',
        'memory',
        '_context',
        '_pool',
        '_control',
        '_jobs',
        '_waiting',
        '_host',
        '_address',
        '_rates',
        '_load',
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
        keeper = GrantIssuer(
            upstream.name,
            context.agent,
            loop,
            service.authority,
            service.settle,
        )
        self.authority = Authority(self, keeper, context, self._control)
        self.memory = IdempotencyMemory(loop)
        self._jobs = {}
        self._waiting = GrantQueue()
        self._rates = UnitRates(loop.now())
        self._load = 0.0
        self._condition = self.health.condition

    def now(self):
        """Return the monotonic clock in seconds."""
        return self._context.loop.now()

    # Requests.

    def submit(self, head, sink):
        """Start an attempt; returns the Job."""
        recording = NO_RECORDING
        refusal = self._check(head)
        recorded = None
        if refusal is None and head.idempotency_key and not head.repeatable:
            recording, recorded, refusal = self._begin_key(head)
        job = Job(self, head, sink, recording)
        if refusal is not None:
            job.refuse(refusal)
        elif recorded is not None:
            job.answer(recorded)
        else:
            self._admit(job)
        return job

    def _check(self, head):
        name = self.upstream.name
        if not self._context.agent.may_dispatch(name):
            return refusals.NotDispatcher(
                'this router is not the dispatcher now', 'dispatch', name
            )
        if not head.unit:
            return None
        place = self._context.state.route(head.service, head.key)
        known = place is not None and place.owner == name
        if not known or (place.unit, place.fence) != (head.unit, head.fence):
            return refusals.OwnerMoving(
                f'unit {head.unit} has another owner or fence',
                'dispatch',
                name,
                retry_after=1,
            )
        self._rates.note(head.unit)
        return None

    def _begin_key(self, head):
        scope = head.unit or head.service
        fingerprint = f'{head.method} {head.target}'
        key = head.idempotency_key
        state, entry = self.memory.begin(scope, key, fingerprint)
        if state == idempotency.NEW:
            return Recording(self.memory, scope, key), None, None
        if state == idempotency.DONE and entry.result is not None:
            return NO_RECORDING, entry.result, None
        refusal = refusal_for_key(state, self.upstream.name)
        return NO_RECORDING, None, refusal

    def _admit(self, job):
        head = job.head
        if head.unit and not self.authority.may_run(head.unit, head.fence):
            self.authority.renew()
            self._waiting.add(job, self.now())
            return
        offered = self.admission.offer(job.work)
        if offered is ADMITTED:
            self._start(job)
        elif offered is not QUEUED:
            job.refuse(offered)
        self._answer_dropped()

    def _start(self, job):
        head = job.head
        allowed = self._context.agent.may_dispatch(self.upstream.name)
        if head.unit:
            allowed = self.authority.may_run(head.unit, head.fence)
        conn = self._pool.take() if allowed else None
        if conn is None:
            self._refuse_unsent(job, allowed)
            return
        self._jobs[job] = None
        self.authority.note_sent()
        job.start(conn, self._host, self.now())

    def _refuse_unsent(self, job, allowed):
        name = self.upstream.name
        if allowed:
            refusal = refusals.Overloaded(
                'no free connection', 'connect', name, retry_after=1
            )
        else:
            refusal = refusals.NoAuthority(
                'the grant or lease has lapsed', 'dispatch', name
            )
        self._finish_work(job, RESULT_CANCELLED)
        job.refuse(refusal)

    # Called by jobs.

    def note_fields(self, fields):
        """Learn from the fields of an answer; returns its Sill-State."""
        state = ''
        for name, value in fields:
            if name == 'sill-state':
                state = value
        return state

    def job_done(self, job, result):
        """A job has ended at the upstream."""
        if self._jobs.pop(job, self) is self:
            return
        self.authority.note_finished()
        self.health.note_answer(job.answered or result == 'shed', job.state)
        self._finish_work(job, result)
        log_request(
            role='dispatcher',
            request_id=job.head.request_id,
            upstream=self.upstream.name,
            unit=job.head.unit,
            fence=job.head.fence,
            result=result,
        )

    def job_cancelled(self, job):
        """A job's caller has left, or its deadline has passed."""
        if self._waiting.remove(job):
            job.withdraw()
            return
        log_request(
            role='dispatcher',
            request_id=job.head.request_id,
            upstream=self.upstream.name,
            unit=job.head.unit,
            result='cancelled',
            state=job.work.state,
            buffered=job.buffered,
            in_flight=self.admission.in_flight,
        )
        self.admission.cancel(job.work)
        if job not in self._jobs:
            job.withdraw()
            return
        job.refuse(
            refusals.DeadlineUnknown(
                'cancelled while running', 'upstream', self.upstream.name
            )
        )
        job.abort()

        def cancelled(status, document):
            # The slot is free only when the upstream says so; without an
            # answer the admission waits for its own bound.
            if status == 200 and self._jobs.pop(job, self) is not self:
                self.authority.note_finished()
                self._finish_work(job, RESULT_CANCELLED)

        self._control.cancel(job.head.request_id, cancelled)

    def _finish_work(self, job, result):
        started = self.admission.finished(job.work, result, job.state)
        self._start_all(started)
        self._answer_dropped()
        if self.authority.releasing:
            self.authority.check_releases()

    def _start_all(self, works):
        for work in works:
            self._start(work.id)

    def _answer_dropped(self):
        for work, refusal in self.admission.take_dropped():
            work.id.refuse(refusal)

    # Called by the process.

    def tick(self):
        """Deadlines, queue, probes and idle connections."""
        now = self.now()
        self._expire_running(now)
        self._refuse_moving(self._waiting.take_late(now))
        if not self._context.agent.may_dispatch(self.upstream.name):
            self._refuse_queued()
        self._start_all(self.admission.tick())
        self._answer_dropped()
        if self.health.probe_due() and self._probing():
            self.health.probe_sent()
            self._control.probe(self._on_probe)
        work = self.admission.in_flight + self.admission.queued
        load = work / self.upstream.slots
        self._load += LOAD_WEIGHT * (load - self._load)
        self._pool.sweep()
        self.memory.tick()
        self.authority.tick()
        self.apply_condition()

    def _follow_manifest(self):
        """Follow changed limits and timeouts of the declaration.

        A changed address is not followed: the server at the old one may hold
        grants. sillctl refuses such a sheet.
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
        """Follow a new table: renew the grant, look at what waits for it."""
        self._follow_manifest()
        self.authority.renew()
        self._refuse_moving(
            self._waiting.take_moved(
                lambda job: self._check(job.head) is not None
            )
        )

    def on_granted(self):
        """A grant was confirmed: go on with requests that waited for it."""
        for job in self._waiting.take_granted(self.authority.may_run):
            self._admit(job)

    def hold(self, unit):
        """Stop a unit and hand its unsent requests back to the entries."""
        self.admission.hold(unit)
        queued = [work.id for work in self.admission.withdraw(unit)]
        self._refuse_moving(queued + self._waiting.take_unit(unit))

    def is_idle(self, unit):
        """Tell whether no request of a unit is at the upstream."""
        return self.admission.idle(unit)

    def is_busy(self):
        """Tell whether any request is at the upstream."""
        return self.admission.in_flight > 0

    def is_unused(self):
        """Tell whether this object can be dropped."""
        held = self._context.agent.may_dispatch(self.upstream.name)
        return not held and not self._jobs and not self.is_busy()

    def close(self):
        """Close idle connections."""
        self._pool.close()

    def report(self):
        """Return what the coordinator wants to know of the upstream."""
        rate, hot = self._rates.take(self.now())
        return UpstreamReport(
            self.upstream.name,
            self.health.condition,
            self._load,
            rate,
            self.admission.slow_start.cold,
            hot,
        )

    # Internal.

    def _expire_running(self, now):
        for job in [j for j in self._jobs if j.deadline <= now]:
            if job.running:
                job.expire()

    def _refuse_queued(self):
        name = self.upstream.name
        for work in self.admission.withdraw_all():
            work.id.refuse(
                refusals.NoAuthority(
                    'the router lease has lapsed', 'dispatch', name
                )
            )

    def _refuse_moving(self, jobs):
        for job in jobs:
            job.refuse(self._moving(job.head.unit))

    def _moving(self, unit):
        if self.authority.keeper.suspended:
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

    def _probing(self):
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
        """Bound the work of an upstream that may be lost."""
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
        self._answer_dropped()
