"""Chooses the upstream and the dispatcher of a request."""

from bramleysill_kernel import refusals
from bramleysill_kernel.balancer import Candidate
from bramleysill_kernel.balancer import balancers
from bramleysill_kernel.manifest import KIND_KEYED
from bramleysill_kernel.outliers import OutlierDetector

# Weight of one observation in the moving average of latency.
LATENCY_EWMA_WEIGHT = 0.2


class SharedUpstreams:
    """The upstreams of one shared service as this router observes them."""

    __slots__ = (
        '_balancer',
        '_balancer_name',
        '_clock',
        '_detector',
        '_candidates',
        '_rng',
        '_trials',
        '_unanswered',
    )

    def __init__(self, service, clock, rng):
        self._balancer = None
        self._balancer_name = ''
        self._detector = OutlierDetector(clock, rng)
        self._candidates = {}
        self._rng = rng
        self._trials = set()
        self._clock = clock
        # When the attempts without an answer head were sent, by upstream.
        self._unanswered = {}
        self.apply_service(service)

    def apply_service(self, service):
        """Take the balancer that the newest manifest names."""
        if service.balancer != self._balancer_name:
            self._balancer_name = service.balancer
            self._balancer = balancers.get(service.balancer)(self._rng)

    def set_upstreams(self, upstreams):
        """Take the eligible upstreams of the newest manifest."""
        for upstream in upstreams:
            if upstream.name not in self._candidates:
                self._candidates[upstream.name] = Candidate(
                    upstream.name, slots=upstream.slots
                )
        names = {u.name for u in upstreams}
        for name in set(self._candidates) - names:
            del self._candidates[name]
            self._unanswered.pop(name, None)
        self._detector.set_upstreams(names)

    def pick(self, excluded):
        """Return the name of an upstream, or None without any."""
        # A second attempt or a retry is late already and tries nothing out.
        trials = () if excluded else self._detector.trial_names()
        for name in trials:
            usable = name in self._candidates
            if usable and self._detector.take_trial(name):
                self._trials.add(name)
                return name
        chosen = self._balancer.pick(
            list(self._candidates.values()), exclude=excluded
        )
        return chosen.name if chosen is not None else None

    def note_sent(self, name, sent_at):
        """An attempt was sent; see `Locator.begin`."""
        candidate = self._candidates.get(name)
        if candidate is not None:
            candidate.in_flight += 1
            if sent_at is not None:
                self._unanswered.setdefault(name, []).append(sent_at)

    def note_answer_started(self, name, sent_at):
        """The answer of an attempt has begun."""
        waiting = self._unanswered.get(name, ())
        if sent_at in waiting:
            waiting.remove(sent_at)

    def note_ended(self, name, sent_at, seconds, ok, lost=False):
        """An attempt has ended; see `Locator.end`."""
        self.note_answer_started(name, sent_at)
        if seconds is None:
            self._remove_in_flight(name)
            return
        trial = name in self._trials
        self._trials.discard(name)
        # A trial that lost to a later attempt would have taken longer than it
        # was waited for; it must not count as a good one.
        good = ok and not (trial and lost)
        self._detector.note_answer(name, seconds, good, trial=trial)
        candidate = self._remove_in_flight(name)
        if candidate is not None and ok:
            old = candidate.latency or seconds
            candidate.latency = old + LATENCY_EWMA_WEIGHT * (seconds - old)

    def _remove_in_flight(self, name):
        candidate = self._candidates.get(name)
        if candidate is not None:
            candidate.in_flight = max(0, candidate.in_flight - 1)
        return candidate

    def tick(self):
        """Evaluate outliers."""
        now = self._clock.now()
        for name in self._candidates:
            waiting = self._unanswered.get(name)
            age = now - min(waiting) if waiting else 0.0
            self._detector.note_waiting(name, age)
        self._detector.tick()
        for name, candidate in self._candidates.items():
            candidate.ejected = self._detector.is_ejected(name)


class Locator:
    """Finds (upstream, unit, fence, router) for a target."""

    __slots__ = ('_name', '_state', '_clock', '_rng', '_by_service')

    def __init__(self, name, state, clock, rng):
        self._name = name
        self._state = state
        self._clock = clock
        self._rng = rng
        self._by_service = {}

    def locate(self, target, excluded):
        """Return upstream, unit, fence and router; raises a Refusal."""
        if target.service.kind == KIND_KEYED:
            return self._locate_owner(target)
        return self._locate_shared(target, excluded)

    def _locate_owner(self, target):
        service = target.service.name
        place = self._state.route(service, target.key)
        if place is None:
            raise refusals.NoState(
                'no ownership table yet', 'locate', self._name, retry_after=1
            )
        if not place.owner:
            raise refusals.OwnerLost(
                f'unit {place.unit} has no owner',
                'locate',
                service,
                retry_after=1,
            )
        if not place.dispatcher:
            raise refusals.NotDispatcher(
                'the owner has no dispatcher now',
                'locate',
                place.owner,
                retry_after=1,
            )
        return place.owner, place.unit, place.fence, place.dispatcher

    def _locate_shared(self, target, excluded):
        service = target.service
        upstreams = self.shared_upstreams(service.name)
        name = upstreams.pick(excluded) if upstreams is not None else None
        router = self._state.dispatcher_of(name) if name else ''
        if not router:
            raise refusals.NotDispatcher(
                'no upstream of the service has a dispatcher now',
                'locate',
                service.name,
                retry_after=1,
            )
        return name, '', 0, router

    def shared_upstreams(self, service):
        """Return the SharedChoice of a shared service, or None."""
        return self._by_service.get(service)

    def note_sent(self, service, upstream, sent_at):
        """An attempt was sent at a reading of the clock.

        `sent_at` is None for a request with a body: a long upload would
        look like a frozen upstream.
        """
        upstreams = self._by_service.get(service)
        if upstreams is not None:
            upstreams.note_sent(upstream, sent_at)

    def note_answer_started(self, service, upstream, sent_at):
        """The answer has begun; a long download is not a frozen upstream."""
        upstreams = self._by_service.get(service)
        if upstreams is not None:
            upstreams.note_answer_started(upstream, sent_at)

    def note_ended(self, service, upstream, sent_at, seconds, ok, lost=False):
        """An attempt has ended after `seconds`.

        None stands for a cancelled attempt that says nothing of its latency.
        `lost` tells that it was cancelled because another one won.
        """
        upstreams = self._by_service.get(service)
        if upstreams is not None:
            upstreams.note_ended(upstream, sent_at, seconds, ok, lost)

    def on_state_changed(self):
        """Follow the newest manifest, drains and dispatchers."""
        manifest = self._state.manifest
        if manifest is None:
            return
        for service in manifest.services.values():
            if service.kind == KIND_KEYED:
                continue
            upstreams = self._by_service.get(service.name)
            if upstreams is None:
                upstreams = SharedUpstreams(service, self._clock, self._rng)
                self._by_service[service.name] = upstreams
            upstreams.apply_service(service)
            upstreams.set_upstreams(
                [
                    manifest.upstreams[name]
                    for name in manifest.eligible(service.name)
                    if name not in self._state.drained
                    and self._state.dispatcher_of(name)
                ]
            )

    def tick(self):
        """Evaluate outliers of all shared services."""
        for upstreams in self._by_service.values():
            upstreams.tick()
