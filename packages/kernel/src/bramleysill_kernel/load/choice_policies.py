"""Selects the upstream of a shared service for one attempt.

Load reports arrive with responses and are up to some seconds old, and dozens
of routers choose at once. docs/design/even-load.md compares the variants;
`python -m bench.even_load` measures them.

A policy is made with a random generator. `choose(candidates, now, own_domain,
objective)` returns one of the candidates, or None if none can take a request.
Candidates are (entry, load) pairs that may get the request; `own_domain` is
the failure domain of the router and `objective` the latency objective of the
request in seconds.

Example::

    policy = choice_policies.get(DEFAULT_POLICY)(random.Random())
    chosen = policy.choose(candidates, now, 'domain-1', 0.4)
"""

from itertools import accumulate

from bramleysill_kernel.common.registry import Registry

choice_policies = Registry('choice policy')

# Responses are faster with it where upstreams have free slots: it prefers fast
# upstreams, and passes requests to few that hang or fail.
DEFAULT_POLICY = 'least_time'

# An upstream in another failure domain must be faster by this share of the
# latency objective: the links between failure domains are narrow and the
# first to be cut, and a request with a long objective loses little by waiting.
REMOTE_PENALTY_SHARE_OF_OBJECTIVE = 0.05
# Load of the own failure domain relative to the others up to which all
# requests stay there, and from which they are spread over all domains. Higher
# values save bytes between domains and make the load less even.
EQUAL_DOMAIN_LOAD = 1.0
MAX_OWN_DOMAIN_LOAD = 1.2
# Added to both loads, in requests per slot: at a low load the ratio of two
# small numbers would move all requests to and fro.
DOMAIN_LOAD_OFFSET = 0.1
# Candidates that are compared. With one, the estimates are not used; with
# more, routers with the same reports prefer the same few upstreams.
SAMPLES = 3
# Spare slots that `spare_capacity` assumes at a full upstream.
MIN_SPARE_SLOTS = 0.05
# An upstream that is slow or has a queue counts as full if the response is
# expected after this share of the objective. It is the least share of the
# admission (`send_policy`), which would refuse the request.
MAX_SHARE_OF_OBJECTIVE = 0.7
# An upstream without a report for this time gets at most this multiple of the
# requests that the router usually has at an upstream, and one at least, while
# there are others. The estimate could otherwise fall behind without an end.
REPORT_LOSS_SECONDS = 1.0
MAX_UNREPORTED_FACTOR = 2.0


@choice_policies.register('least_time')
class LeastTime:
    """The candidate that should respond first; ties go to a random one.

    All routers with the same reports choose the same upstream.
    """

    __slots__ = ('_rng',)

    def __init__(self, rng):
        self._rng = rng

    def choose(self, candidates, now, own_domain, objective):
        """Return the candidate with the least expected time, or None."""
        best = None
        best_cost = 0.0
        remote_penalty = objective * REMOTE_PENALTY_SHARE_OF_OBJECTIVE
        start = self._rng.randrange(len(candidates)) if candidates else 0
        for offset in range(len(candidates)):
            entry, load = candidates[(start + offset) % len(candidates)]
            if load.is_down(now) or load.is_closed(now):
                continue
            cost = load.expected_response_seconds(now)
            if entry.failure_domain != own_domain:
                cost += remote_penalty
            if now < load.full_until:
                cost += load.service_time(now)
            if best is None or cost < best_cost:
                best = (entry, load)
                best_cost = cost
        return best


class _Sampling:
    """Base of policies that draw random candidates in proportion to capacity.

    `_pick` chooses among candidates of which none is full.
    """

    __slots__ = ('_rng',)

    def __init__(self, rng):
        self._rng = rng

    def choose(self, candidates, now, own_domain, objective):
        """Return a random candidate that favours idle ones, or None."""
        open_ones = [
            c
            for c in candidates
            if now >= c[1].down_until and now >= c[1].closed_until
        ]
        if not open_ones:
            return None
        group = self._prefer_own_domain(open_ones, own_domain)
        found = self._pick(group, now)
        if not is_full(found[1], now, objective):
            return found
        free = [c for c in open_ones if not is_full(c[1], now, objective)]
        if free:
            return self._pick(free, now)
        return min(
            open_ones, key=lambda c: c[1].expected_response_seconds(now)
        )

    def _prefer_own_domain(self, candidates, own_domain):
        own, others = [], []
        for candidate in candidates:
            is_own = candidate[0].failure_domain == own_domain
            (own if is_own else others).append(candidate)
        if not own or not others:
            return candidates
        share = own_domain_share(mean_load(own), mean_load(others))
        return own if self._rng.random() < share else candidates

    def _draw(self, candidates, count):
        weights = [load.capacity for _, load in candidates]
        return self._rng.choices(
            candidates, cum_weights=list(accumulate(weights)), k=count
        )


@choice_policies.register('three_choices')
class ThreeChoices(_Sampling):
    """The least loaded of three candidates drawn by their capacity.

    The older the reports, the more the estimates approach the mean of the
    service, and the more the choice approaches a draw by capacity.
    """

    __slots__ = ()

    def _pick(self, candidates, now):
        drawn = self._draw(candidates, SAMPLES)
        return min(drawn, key=lambda c: load_of(c[1], now))


@choice_policies.register('capacity')
class Capacity(_Sampling):
    """A candidate drawn in proportion to its capacity."""

    __slots__ = ()

    def _pick(self, candidates, now):
        return self._draw(candidates, 1)[0]


@choice_policies.register('spare_capacity')
class SpareCapacity(_Sampling):
    """A candidate drawn in proportion to its estimated spare capacity."""

    __slots__ = ()

    def _pick(self, candidates, now):
        weights = [
            max(MIN_SPARE_SLOTS, load.slots - load.balanced_backlog(now))
            / load.usual_slowdown
            for _, load in candidates
        ]
        return self._rng.choices(candidates, weights)[0]


def load_of(load, now):
    """Return the estimated requests at an upstream for its capacity now.

    The new request is not counted: idle upstreams are equal, so that the
    draw by capacity decides and not the number of slots.
    """
    return load.balanced_backlog(now) / load.slots * load.slowdown(now)


def is_full(load, now, objective):
    """Return whether a request should rather go to another upstream."""
    if now < load.full_until:
        return True
    if load.in_flight and load.report_age(now) > REPORT_LOSS_SECONDS:
        usual = load.service_load.usual_own() * load.slots
        if load.in_flight >= max(1.0, MAX_UNREPORTED_FACTOR * usual):
            return True
    if load.expected_wait_seconds(now) <= 0.0 and not load.is_slow(now):
        return False
    expected = load.expected_response_seconds(now)
    return expected > objective * MAX_SHARE_OF_OBJECTIVE


def has_capacity(load, now, objective):
    """Return whether an upstream probably has a free slot."""
    return (
        not load.is_down(now)
        and not load.is_closed(now)
        and not is_full(load, now, objective)
        and load.balanced_backlog(now) + 1 <= load.slots
    )


def mean_load(candidates):
    """Return the last known requests per slot; None without any report.

    Reports are not aged here: over some upstreams their errors cancel out.
    """
    known = [load for _, load in candidates if load.reported_at is not None]
    if not known:
        return None
    requests = sum([load.last_known_requests for load in known])
    return requests / sum([load.slots for load in known])


def own_domain_share(inside, outside):
    """Return the share of requests that should stay in the own domain.

    `inside` and `outside` are requests per slot, or None if not known. If
    only one is known, requests are spread to learn the other.
    """
    if inside is None and outside is None:
        return 1.0
    if inside is None or outside is None:
        return 0.0
    ratio = (inside + DOMAIN_LOAD_OFFSET) / (outside + DOMAIN_LOAD_OFFSET)
    span = MAX_OWN_DOMAIN_LOAD - EQUAL_DOMAIN_LOAD
    share = (MAX_OWN_DOMAIN_LOAD - ratio) / span
    return min(1.0, max(0.0, share))
