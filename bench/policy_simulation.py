"""Simulates upstreams and entry routers on a manual clock.

There are a few upstreams with slots, each behind the kernel's `Admission`, and
a few entry routers that observe only their own requests. It is not a whole
cluster. All runs in one process, with one seed per scenario.
"""

import heapq
import random

from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.load.admission import ADMITTED
from bramleysill_kernel.load.admission import QUEUED
from bramleysill_kernel.load.admission import RESULT_CANCELLED
from bramleysill_kernel.load.admission import RESULT_LOST
from bramleysill_kernel.load.admission import RESULT_OK
from bramleysill_kernel.load.admission import Admission
from bramleysill_kernel.load.balancer import Candidate
from bramleysill_kernel.load.balancer import balancers
from bramleysill_kernel.load.hedging import Hedge
from bramleysill_kernel.load.hedging import HedgePolicy
from bramleysill_kernel.load.outliers import OutlierDetector
from bramleysill_kernel.load.queueing import WorkItem
from bramleysill_kernel.load.slow_start import SlowStart

SLOTS_PER_UPSTREAM = 4
SERVICE_SECONDS = 0.005
SERVICE_SIGMA = 0.5
TICK_INTERVAL_SECONDS = 0.02
TAIL_TIMEOUT_SECONDS = 1.0


class Simulation:
    """A manual clock and a queue of events in order of time."""

    def __init__(self, seed):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self._events = []
        self._seq = 0

    def after(self, seconds, step, *args):
        """Schedule `step(*args)` after a number of seconds."""
        self._seq += 1
        event = (self.clock.now() + seconds, self._seq, step, args)
        heapq.heappush(self._events, event)

    def every(self, seconds, step):
        """Schedule `step()` periodically."""

        def repeat():
            step()
            self.after(seconds, repeat)

        self.after(seconds, repeat)

    def schedule_arrivals(self, rate, step, until):
        """Schedule `step()` as a Poisson process of `rate` per second."""

        def next_arrival():
            if self.clock.now() < until:
                self.after(self.rng.expovariate(rate), next_arrival)
                step()

        self.after(self.rng.expovariate(rate), next_arrival)

    def run(self, until):
        """Run the events up to a reading of the clock."""
        while self._events and self._events[0][0] <= until:
            time, _, step, args = heapq.heappop(self._events)
            self.clock.advance(time - self.clock.now())
            step(*args)

    def service_time(self):
        """Return a log-normal service time with mean SERVICE_SECONDS."""
        mu = -(SERVICE_SIGMA**2) / 2
        return SERVICE_SECONDS * self.rng.lognormvariate(mu, SERVICE_SIGMA)


class SimulatedUpstream:
    """An upstream behind the admission control of its dispatcher.

    `slowdown` multiplies the service times. Responses report `reported_state`;
    `cold_reported` is set by the first response that reports cold and by a
    restart. No work ends before `frozen_until`. `on_end(work, ok)` is called
    when a work item ends, unless it was cancelled, and `on_send()`, if set,
    before each send.
    """

    def __init__(self, sim, name, on_end, admission=None):
        self.sim = sim
        self.name = name
        self.slowdown = 1.0
        self.reported_state = ''
        self.cold_reported = False
        self.frozen_until = 0.0
        self.on_end = on_end
        self.on_send = None
        self.admission = admission or Admission(
            name,
            sim.clock,
            SLOTS_PER_UPSTREAM,
            SlowStart(sim.clock, SLOTS_PER_UPSTREAM, SLOTS_PER_UPSTREAM),
        )
        sim.every(TICK_INTERVAL_SECONDS, self._tick)

    def offer(self, work):
        """Offer a work item; `on_end` reports its end."""
        result = self.admission.offer(work)
        if result is ADMITTED:
            self._send([work])
        elif result is not QUEUED:
            self.on_end(work, False)
        self._end_dropped()

    def _send(self, works):
        for work in works:
            if self.on_send:
                self.on_send()
            seconds = self.sim.service_time() * self.slowdown
            self.sim.after(seconds, self._respond, work, self.reported_state)

    def freeze(self, seconds):
        """Delay all responses for a time, as a paused process does."""
        self.frozen_until = self.sim.clock.now() + seconds

    def _respond(self, work, state):
        frozen_for = self.frozen_until - self.sim.clock.now()
        if frozen_for > 0:
            self.sim.after(frozen_for, self._respond, work, state)
            return
        if work.state != 'running':
            return
        self.cold_reported |= state == 'cold'
        self._send(self.admission.finished(work, RESULT_OK, state))
        self._end_dropped()
        self.on_end(work, True)

    def cancel(self, work):
        """Cancel a work item; the upstream confirms after 1 ms."""
        self.admission.cancel(work)
        self.sim.after(0.001, self._confirm_cancellation, work)

    def _confirm_cancellation(self, work):
        self._send(self.admission.finished(work, RESULT_CANCELLED))
        self._end_dropped()

    def restart(self):
        """Fail all work in flight, as a restart of the upstream does."""
        self.cold_reported = True
        for work in list(self.admission._running):
            self._send(self.admission.finished(work, RESULT_LOST))
            self.on_end(work, False)

    def _tick(self):
        self._send(self.admission.tick())
        self._end_dropped()

    def _end_dropped(self):
        for work, _ in self.admission.take_dropped():
            self.on_end(work, False)


class _Request:
    """A request of a caller and its attempts."""

    __slots__ = ('entry', 'began_at', 'hedge', 'tried', 'works')

    def __init__(self, entry, began_at):
        self.entry = entry
        self.began_at = began_at
        self.hedge = None
        self.tried = []
        self.works = {}


class SimulatedEntry:
    """An entry router that uses only its own observations."""

    def __init__(self, sim, upstreams, balancer, outliers, hedging):
        self.sim = sim
        self.upstreams = upstreams
        self.candidates = {
            name: Candidate(name, slots=SLOTS_PER_UPSTREAM)
            for name in upstreams
        }
        self.balancer = balancers.get(balancer)(sim.rng)
        self.outliers = None
        self.hedges = HedgePolicy() if hedging else None
        self.hedges_sent = 0
        self.latencies = []
        self.sent_at = {name: {} for name in upstreams}
        sim.every(0.1, self._decay_stale_latencies)
        if outliers:
            self.outliers = OutlierDetector(sim.clock, sim.rng, upstreams)
            sim.every(TICK_INTERVAL_SECONDS, self._evaluate)

    def _decay_stale_latencies(self):
        for candidate in self.candidates.values():
            candidate.decay_stale_latency(self.sim.clock.now())

    def _evaluate(self):
        now = self.sim.clock.now()
        for name, works in self.sent_at.items():
            if works:
                oldest = next(iter(works.values()))
                self.outliers.note_oldest_attempt(name, now - oldest)
        self.outliers.tick()
        for name, candidate in self.candidates.items():
            candidate.ejected = self.outliers.is_ejected(name)

    def start_request(self):
        """Start one request of a caller and schedule its hedge."""
        request = _Request(self, self.sim.clock.now())
        first = self._attempt(request)
        request.hedge = Hedge(first)
        if self.hedges:
            self.hedges.note_request()
            if self.hedges.delay() is not None:
                self.sim.after(self.hedges.delay(), self._hedge, request)
        self._offer(first)

    def _hedge(self, request):
        if request.hedge.winner is None and self.hedges.take():
            self.hedges_sent += 1
            second = self._attempt(request)
            request.hedge.add(second)
            self._offer(second)

    def _choose(self, request):
        for name in self.outliers.trial_names() if self.outliers else ():
            if not request.tried and self.outliers.take_trial(name):
                return name, True
        candidates = list(self.candidates.values())
        return self.balancer.pick(candidates, request.tried).name, False

    def _attempt(self, request):
        name, trial = self._choose(request)
        request.tried.append(name)
        self.candidates[name].in_flight += 1
        now = self.sim.clock.now()
        deadline = request.began_at + TAIL_TIMEOUT_SECONDS
        work = WorkItem((request, name, trial, now), 's', deadline=deadline)
        self.sent_at[name][work] = now
        return work

    def _offer(self, work):
        self.upstreams[work.id[1]].offer(work)

    def note_end(self, work, ok):
        """Record the end of an attempt."""
        request, name, trial, began = work.id
        latency = self.sim.clock.now() - began
        self._observe(name, latency, ok, trial, work)
        if self.hedges and ok and name == request.tried[0]:
            self.hedges.note_latency(latency)
        winner, losers = request.hedge.note_result(work, ok)
        if winner is None:
            return
        now = self.sim.clock.now()
        duration = now - request.began_at if ok else TAIL_TIMEOUT_SECONDS
        self.latencies.append((request.began_at, duration))
        for loser in losers:
            self._cancel(loser)

    def _cancel(self, work):
        request, name, trial, began = work.id
        latency = self.sim.clock.now() - began
        if name == request.tried[0]:
            self.hedges.note_latency(latency)
        self._observe(name, latency, True, trial, work)
        self.upstreams[name].cancel(work)

    def _observe(self, name, latency, ok, trial, work):
        self.sent_at[name].pop(work, None)
        candidate = self.candidates[name]
        candidate.in_flight -= 1
        candidate.note_response(latency, self.sim.clock.now())
        if self.outliers:
            self.outliers.note_result(name, latency, ok, trial)
