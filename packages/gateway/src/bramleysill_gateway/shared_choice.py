"""Chooses the upstream of a shared service, and counts the choices."""

from bramleysill_kernel.load import choice_policies


class SharedChoice:
    """Chooses among the upstreams that the directory lists as usable.

    `name` is that of the policy, and `failure_domain` that of this router.
    """

    __slots__ = (
        'name',
        'failure_domain',
        '_loop',
        '_state',
        '_upstreams',
        '_metrics',
        '_policy',
    )

    def __init__(
        self, loop, rng, failure_domain, state, upstreams, metrics, name
    ):
        self.name = name
        self.failure_domain = failure_domain
        self._loop = loop
        self._state = state
        self._upstreams = upstreams
        self._metrics = metrics
        self._policy = choice_policies.choice_policies.get(name)(rng)

    def choose(self, service, now, failed, excluded, objective):
        """Return the upstream to send to, or None.

        Upstreams that have failed the request and upstreams in slow start
        are used only if there are no others; the peers in `excluded` are not
        used. `objective` is the route's latency objective in seconds, or the
        time left if that is less.
        """
        peers = [
            peer
            for peer in self._usable(service)
            if not peer.replaced and peer not in excluded
        ]
        untried = [p for p in peers if p.entry.upstream not in failed]
        peers = untried or peers
        warm = [p for p in peers if p.cold_until <= now]
        found = None
        if warm:
            found = self._choose_among(warm, now, objective)
        if found is None:
            cold = [p for p in peers if p.cold_until > now]
            found = self._choose_among(cold, now, objective)
        return found[0] if found else None

    def note_choice(self, exchange, peer, now):
        """Count a send to an upstream of a shared service.

        Returns the age of the upstream's load report in seconds.
        """
        age = peer.load.report_age(now)
        if not exchange.service.keyed:
            self._metrics.note_report_age(exchange.service.name, age)
        return age

    def count_full_refusal(self, exchange, peer, refused_by):
        """Count a refusal because an upstream is full.

        `refused_by` is `upstream` or `router`. Returns how many others of a
        shared service have a free slot, as far as this router knows.
        """
        service = exchange.service
        if service.keyed:
            return 0
        now = self._loop.now()
        free = sum(
            choice_policies.has_capacity(
                other.load, now, exchange.route.objective
            )
            for other in self._usable(service)
            if other is not peer
            and not other.replaced
            and other.cold_until <= now
        )
        others = 'free' if free else 'full'
        self._metrics.full_refusals[service.name, refused_by, others] += 1
        return free

    def seconds_until_open(self, service, now):
        """Return when the first upstream accepts requests again, or 0."""
        closed = [
            peer.load.closed_until - now for peer in self._usable(service)
        ]
        return max(0.0, min(closed, default=0.0))

    def _usable(self, service):
        entries = self._state.directory.usable(service.name)
        return [self._upstreams.peer(entry) for entry in entries]

    def _choose_among(self, peers, now, objective):
        return self._policy.choose(
            [(p, p.load) for p in peers],
            now,
            self.failure_domain,
            objective,
        )
