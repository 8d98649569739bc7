"""Load balancing over the upstreams of a shared service.

The entry router keeps one balancer per shared service, selected by
`Service.balancer`, and one `Candidate` per eligible upstream. It increments
`in_flight` when it sends a request, decrements it when the attempt ends,
reports each latency with `note_response` and calls `decay_stale_latency` about
every 100 ms. It sets `ejected` from `outliers.OutlierDetector` and `cold` from
the responses of the upstream. `pick` is called for each attempt; a retry or a
hedge passes the names already tried as `exclude`.

Example::

    balancer = balancers.get('power_of_two')(random.Random())
    chosen = balancer.pick(candidates)
    second = balancer.pick(candidates, exclude=(chosen.name,))
"""

from bramleysill_kernel.common.registry import Registry

balancers = Registry('balancer')

# Weight of one response in the moving average of a candidate's latency.
LATENCY_WEIGHT = 0.1
# A candidate with a high average latency gets few requests, and so no newer
# samples. After this time without a response its average decays until the
# candidate is tried again.
STALE_LATENCY_SECONDS = 0.5
STALE_DECAY_FACTOR = 0.8
# A cold upstream is weighted as if it had this share of its slots.
COLD_SLOT_SHARE = 0.25


class Candidate:
    """One upstream of a shared service, as the entry router observes it."""

    __slots__ = (
        'name',
        'in_flight',
        'slots',
        'latency',
        'ejected',
        'cold',
        'responded_at',
    )

    def __init__(
        self,
        name,
        in_flight=0,
        slots=4,
        latency=0.0,
        ejected=False,
        cold=False,
    ):
        self.name = name
        self.in_flight = in_flight
        self.slots = slots
        self.latency = latency
        self.ejected = ejected
        self.cold = cold
        self.responded_at = 0.0

    def note_response(self, latency, now):
        """Record the latency of an attempt in seconds, and the time."""
        if self.latency:
            self.latency += LATENCY_WEIGHT * (latency - self.latency)
        else:
            self.latency = latency
        self.responded_at = now

    def decay_stale_latency(self, now):
        """Reduce the latency if there was no response for some time.

        A candidate with requests in flight that does not respond may be
        frozen, so it keeps its latency.
        """
        if (
            not self.in_flight
            and now - self.responded_at > STALE_LATENCY_SECONDS
        ):
            self.latency *= STALE_DECAY_FACTOR


def eligible(candidates, exclude=()):
    """Return the candidates to choose from.

    Ejected ones are used only if no others are left: an upstream that is slow
    or fails sometimes is better than a refusal.
    """
    if not exclude:
        usable = [c for c in candidates if not c.ejected]
        return usable or list(candidates)
    rest = [c for c in candidates if c.name not in exclude]
    return [c for c in rest if not c.ejected] or rest


def expected_time(candidate):
    """Return a measure of the time that a new request would take.

    It is only good for comparing candidates; it is not in seconds.
    """
    slots = candidate.slots
    if candidate.cold:
        slots = max(1.0, slots * COLD_SLOT_SHARE)
    load = (candidate.in_flight + 1) / slots
    # Up to its slots an upstream works in parallel, so a partly used one is
    # only a little slower than an idle one.
    return (1 + load) * (candidate.latency or 1e-3)


@balancers.register('power_of_two')
class PowerOfTwo:
    """Picks the better of two random candidates by load and latency."""

    __slots__ = ('_rng',)

    def __init__(self, rng):
        self._rng = rng

    def pick(self, candidates, exclude=()):
        """Return a candidate, or None if all are excluded."""
        usable = eligible(candidates, exclude)
        count = len(usable)
        if count < 2:
            return usable[0] if usable else None
        first = int(self._rng.random() * count)
        second = int(self._rng.random() * (count - 1))
        if second >= first:
            second += 1
        one, two = usable[first], usable[second]
        return one if expected_time(one) <= expected_time(two) else two


@balancers.register('round_robin')
class RoundRobin:
    """Picks the eligible candidates in turn."""

    __slots__ = ('_next',)

    def __init__(self, rng):
        self._next = 0

    def pick(self, candidates, exclude=()):
        """Return a candidate, or None if all are excluded."""
        usable = eligible(candidates, exclude)
        if not usable:
            return None
        self._next += 1
        return usable[self._next % len(usable)]


@balancers.register('random')
class RandomChoice:
    """Picks a random eligible candidate."""

    __slots__ = ('_rng',)

    def __init__(self, rng):
        self._rng = rng

    def pick(self, candidates, exclude=()):
        """Return a candidate, or None if all are excluded."""
        usable = eligible(candidates, exclude)
        return self._rng.choice(usable) if usable else None


@balancers.register('least_in_flight')
class LeastInFlight:
    """Picks the candidate with the least requests per slot; ties at random."""

    __slots__ = ('_rng',)

    def __init__(self, rng):
        self._rng = rng

    def pick(self, candidates, exclude=()):
        """Return a candidate, or None if all are excluded."""
        usable = eligible(candidates, exclude)
        if not usable:
            return None
        least = min(c.in_flight / c.slots for c in usable)
        return self._rng.choice(
            [c for c in usable if c.in_flight / c.slots == least]
        )


@balancers.register('least_time')
class LeastTime:
    """Picks the candidate with the least expected time; ties at random.

    Unlike `power_of_two`, it can't draw a pair of two slow candidates, but it
    scans all of them.
    """

    __slots__ = ('_rng',)

    def __init__(self, rng):
        self._rng = rng

    def pick(self, candidates, exclude=()):
        """Return a candidate, or None if all are excluded."""
        usable = eligible(candidates, exclude)
        if not usable:
            return None
        times = [(expected_time(c), self._rng.random(), c) for c in usable]
        return min(times)[2]
