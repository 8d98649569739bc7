"""Selects the upstream and the dispatching router of a request."""

from bramleysill_kernel.common import refusals
from bramleysill_kernel.config.manifest import KIND_KEYED
from bramleysill_kernel.load.balancer import Candidate
from bramleysill_kernel.load.balancer import balancers
from bramleysill_kernel.load.outliers import OutlierDetector

# Weight of one response in the exponentially weighted average of latency.
LATENCY_EWMA_WEIGHT = 0.2


class SharedUpstreams:
    """The eligible upstreams of one shared service.

    Counts requests in flight and averages latencies as this router observes
    them, ejects outliers, and picks an upstream with the service's balancer.
    """

    __slots__ = (
        '_balancer',
        '_balancer_name',
        '_clock',
        '_detector',
        '_candidates',
        '_rng',
        '_trials',
        '_awaiting_response',
    )

    def __init__(self, service, clock, rng):
        self._balancer = None
        self._balancer_name = ''
        self._detector = OutlierDetector(clock, rng)
        self._candidates = {}
        self._rng = rng
        self._trials = set()
        self._clock = clock
        # Send times of the attempts without a response head, by upstream.
        self._awaiting_response = {}
        self.apply_service(service)

    def apply_service(self, service):
        """Use the balancer that the newest manifest names."""
        if service.balancer != self._balancer_name:
            self._balancer_name = service.balancer
            self._balancer = balancers.get(service.balancer)(self._rng)

    def set_upstreams(self, upstreams):
        """Replace the eligible upstreams; keep the state of known ones."""
        for upstream in upstreams:
            if upstream.name not in self._candidates:
                self._candidates[upstream.name] = Candidate(
                    upstream.name, slots=upstream.slots
                )
        names = {u.name for u in upstreams}
        for name in set(self._candidates) - names:
            del self._candidates[name]
            self._awaiting_response.pop(name, None)
        self._detector.set_upstreams(names)

    def pick(self, excluded):
        """Return the name of an upstream, or None if none is usable.

        An ejected upstream that is due for a trial is picked first.
        """
        # Only hedges and retries exclude upstreams. They are late already,
        # so they must not be used as trials of ejected upstreams.
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
        """Record an attempt that was sent; see `Locator.note_sent`."""
        candidate = self._candidates.get(name)
        if candidate is not None:
            candidate.in_flight += 1
            if sent_at is not None:
                self._awaiting_response.setdefault(name, []).append(sent_at)

    def note_response_started(self, name, sent_at):
        """Record that the response of an attempt has started."""
        waiting = self._awaiting_response.get(name, ())
        if sent_at in waiting:
            waiting.remove(sent_at)

    def note_ended(self, name, sent_at, seconds, ok, lost_race=False):
        """Record the end of an attempt; see `Locator.note_ended`."""
        self.note_response_started(name, sent_at)
        if seconds is None:
            self._remove_in_flight(name)
            return
        trial = name in self._trials
        self._trials.discard(name)
        # A trial that was cancelled because the other attempt won would have
        # taken longer than the measured time, so it is not a success.
        succeeded = ok and not (trial and lost_race)
        self._detector.note_result(name, seconds, succeeded, trial=trial)
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
        """Evaluate outliers and eject or readmit upstreams."""
        now = self._clock.now()
        for name in self._candidates:
            waiting = self._awaiting_response.get(name)
            age = now - min(waiting) if waiting else 0.0
            self._detector.note_oldest_attempt(name, age)
        self._detector.tick()
        for name, candidate in self._candidates.items():
            candidate.ejected = self._detector.is_ejected(name)


class Locator:
    """Finds the upstream and the dispatching router of each target.

    The upstream of a keyed service is the owner of the key; that of a shared
    service is picked by its balancer.
    """

    __slots__ = ('_name', '_state', '_clock', '_rng', '_by_service')

    def __init__(self, name, state, clock, rng):
        self._name = name
        self._state = state
        self._clock = clock
        self._rng = rng
        self._by_service = {}

    def locate(self, target, excluded):
        """Return (upstream, unit, fence, router); raises a Refusal.

        `excluded` holds names of upstreams that earlier attempts went to. A
        shared service has no units: its unit is empty and its fence is 0.
        """
        if target.service.kind == KIND_KEYED:
            return self._locate_owner(target)
        return self._locate_shared(target, excluded)

    def _locate_owner(self, target):
        service = target.service.name
        location = self._state.route(service, target.key)
        if location is None:
            raise refusals.NoState(
                'the router has not received the ownership table yet',
                'locate',
                self._name,
                retry_after=1,
            )
        if not location.owner:
            raise refusals.OwnerLost(
                f'unit {location.unit} has no owner',
                'locate',
                service,
                retry_after=1,
            )
        if not location.dispatcher:
            raise refusals.NotDispatcher(
                'no router is the dispatcher of the owner',
                'locate',
                location.owner,
                retry_after=1,
            )
        return (
            location.owner,
            location.unit,
            location.fence,
            location.dispatcher,
        )

    def _locate_shared(self, target, excluded):
        service = target.service
        upstreams = self.shared_upstreams(service.name)
        name = upstreams.pick(excluded) if upstreams is not None else None
        router = self._state.dispatcher_of(name) if name else ''
        if not router:
            raise refusals.NotDispatcher(
                'no upstream of the service has a dispatcher',
                'locate',
                service.name,
                retry_after=1,
            )
        return name, '', 0, router

    def shared_upstreams(self, service):
        """Return the SharedUpstreams of a service, or None if unknown."""
        return self._by_service.get(service)

    def note_sent(self, service, upstream, sent_at):
        """Record an attempt that was sent to an upstream.

        `sent_at` is the time on the router's clock, or None for a request
        with a body: a long upload would look like a frozen upstream.
        """
        upstreams = self._by_service.get(service)
        if upstreams is not None:
            upstreams.note_sent(upstream, sent_at)

    def note_response_started(self, service, upstream, sent_at):
        """Record that the response of an attempt has started.

        From here on the attempt doesn't count as waiting for its response, so
        that a long download doesn't look like a frozen upstream.
        """
        upstreams = self._by_service.get(service)
        if upstreams is not None:
            upstreams.note_response_started(upstream, sent_at)

    def note_ended(
        self, service, upstream, sent_at, seconds, ok, lost_race=False
    ):
        """Record the end of an attempt after `seconds`.

        `seconds` is None for a cancelled attempt whose duration tells
        nothing about the upstream's latency. `lost_race` is true if the
        attempt was cancelled because another attempt of its request won.
        """
        upstreams = self._by_service.get(service)
        if upstreams is not None:
            upstreams.note_ended(upstream, sent_at, seconds, ok, lost_race)

    def on_state_changed(self):
        """Apply changes of the manifest, the drains and the dispatchers."""
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
