"""Replays load patterns on the choice of an upstream, for each policy.

`python -m bench.even_load` prints a table with all policies; a cell has
busiest over mean (requests per slot and speed), and mean and p99 wait for a
slot in ms. `--details POLICY` also prints the mean response time, the median
age of the report at the choice, and shares of requests: sent outside the
router's failure domain, refused by a full upstream while another had a free
slot, refused by the router, and that although an upstream had one.

Routers and upstreams are stepped on a manual clock through the kernel's
decisions only: the choice, the admission and the estimates.
"""

import concurrent.futures
import heapq
import itertools
import math
import random

import fire

from bramleysill_kernel.config.routing_config import Repeatability
from bramleysill_kernel.config.routing_config import Route
from bramleysill_kernel.load.choice_policies import choice_policies
from bramleysill_kernel.load.send_policy import Action
from bramleysill_kernel.load.send_policy import decide
from bramleysill_kernel.load.service_load import ServiceLoad
from bramleysill_kernel.load.upstream_load import LoadReport
from bramleysill_kernel.load.upstream_load import ServiceTime
from bramleysill_kernel.load.upstream_load import UpstreamLoad

ROUTER_COUNTS = (3, 12, 80, 195)
PROCESSES = 3
WARM_UP_SECONDS = 2.0
SERVICE_SECONDS = 0.15
SERVICE_SIGMA = 0.5
SPEEDS = (0.5, 1.6)
SLOTS = (3, 6)
# Neighbours on the machine change the speed with each request.
SLOWDOWN_SIGMA = 0.2
# With it, the busiest upstream gets 2.4 times the mean with `least_time`; 2.97
# were measured in the whole system.
UTILISATION = 0.4
BURST_FACTOR = 1.9
DOMAINS = 5
SLOW_FACTOR = 3.0
TURN_SECONDS = 0.4
OBJECTIVE_SECONDS = 1.0
TIME_LEFT_SECONDS = 3.0
MAX_ATTEMPTS = 2
# The time, after the warm-up, when something changes, and when it ends.
CHANGE_SECONDS = 2.0
CHANGE_END_SECONDS = 4.0

ROUTE = Route(
    'r',
    'h',
    '/',
    Repeatability.IDEMPOTENT,
    TIME_LEFT_SECONDS,
    OBJECTIVE_SECONDS,
    1,
    MAX_ATTEMPTS,
    [],
)


class Upstream:
    """Slots and a queue with a bound; the entry of its directory, too."""

    def __init__(self, index, rng, slots):
        self.index = index
        # Half of the domains have a third of the upstreams.
        self.failure_domain = (0, 1, 2, 2, 3, 3, 4, 4)[index % 8]
        self.slots = slots or rng.randint(*SLOTS)
        self.queue_bound = 4 * self.slots
        self.speed = rng.uniform(*SPEEDS)
        self.slow = 1.0
        self.up = True
        self.running = 0
        self.queue = []
        self.served = 0

    def report(self, rng):
        slowdown = (
            self.slow / self.speed * rng.lognormvariate(0.0, SLOWDOWN_SIGMA)
        )
        return LoadReport(self.running, len(self.queue), self.slots, slowdown)


class Router:
    """The estimates of one router, and its policy."""

    def __init__(self, index, upstreams, policy, rng):
        # Most routers are in the domains with the fewest upstreams.
        self.failure_domain = (0, 0, 1, 1, 2, 3, 4)[index % 7]
        self.policy = choice_policies.get(policy)(rng)
        self.service_time = ServiceTime(SERVICE_SECONDS)
        self.service_load = ServiceLoad()
        self.loads = [self.make_load(u) for u in upstreams]

    def make_load(self, upstream):
        return UpstreamLoad(
            upstream.slots,
            self.service_time,
            self.service_load,
        )


class Replay:
    """One load pattern with one policy."""

    def __init__(
        self,
        policy,
        pattern,
        routers,
        upstreams=45,
        seed=1,
        seconds=10.0,
        utilisation=UTILISATION,
        slots=0,
    ):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.upstreams = [
            Upstream(i, self.rng, slots) for i in range(upstreams)
        ]
        self.active = list(self.upstreams)
        self.routers = [
            Router(i, self.upstreams, policy, self.rng) for i in range(routers)
        ]
        self.end = WARM_UP_SECONDS + seconds
        self.reports_lost = False
        self.waits = []
        self.seconds = []
        self.ages = []
        self.requests = self.remote = self.sends = 0
        self.full = self.refused = self.needless = 0
        capacity = sum(u.slots * u.speed for u in self.upstreams)
        self.rate = utilisation * capacity / SERVICE_SECONDS
        PATTERNS[pattern](self)
        self.push(0.0, self.arrive)

    def push(self, delay, action, *args):
        event = (self.now + delay, next(self.order), action, args)
        heapq.heappush(self.events, event)

    def during_change(self, start, end):
        self.push(WARM_UP_SECONDS + CHANGE_SECONDS, start)
        self.push(WARM_UP_SECONDS + CHANGE_END_SECONDS, end)

    def run(self):
        while self.events:
            self.now, _, action, args = heapq.heappop(self.events)
            if self.now > self.end:
                break
            action(*args)
        return self

    @property
    def counted(self):
        return self.now >= WARM_UP_SECONDS

    def arrive(self):
        self.push(self.rng.expovariate(self.rate), self.arrive)
        self.requests += self.counted
        self.dispatch(self.rng.choice(self.routers), ())

    def has_free_slot(self):
        return any(u.up and u.running < u.slots for u in self.active)

    def dispatch(self, router, failed):
        """Choose as the frontend does, then send or refuse."""
        candidates = [
            (u, router.loads[u.index])
            for u in self.active
            if u.index not in failed
        ]
        found = router.policy.choose(
            candidates, self.now, router.failure_domain, OBJECTIVE_SECONDS
        )
        if found is None:
            self.refuse()
            return
        upstream, load = found
        if (
            decide(load, self.now, TIME_LEFT_SECONDS, ROUTE).action
            is not Action.SEND
        ):
            self.refuse()
            return
        if self.counted:
            self.sends += 1
            self.remote += upstream.failure_domain != router.failure_domain
            if load.reported_at is not None:
                self.ages.append(self.now - load.reported_at)
        self.send(router, upstream, load, failed)

    def refuse(self):
        if self.counted:
            self.refused += 1
            self.needless += self.has_free_slot()

    def send(self, router, upstream, load, failed):
        tried = (*failed, upstream.index)
        if not upstream.up:
            load.note_unreachable(self.now)
        elif (
            upstream.running >= upstream.slots
            and len(upstream.queue) >= upstream.queue_bound
        ):
            if self.counted:
                self.full += self.has_free_slot()
            load.in_flight += 1
            load.note_report(self.now, upstream.report(self.rng))
            load.in_flight -= 1
            load.note_full(self.now)
        else:
            backlog = load.backlog(self.now)
            load.in_flight += 1
            upstream.queue.append((load, self.now, backlog))
            self.begin(upstream)
            return
        if len(tried) < MAX_ATTEMPTS:
            self.dispatch(router, tried)

    def begin(self, upstream):
        while upstream.queue and upstream.running < upstream.slots:
            load, sent_at, backlog = upstream.queue.pop(0)
            upstream.running += 1
            if self.counted:
                self.waits.append(self.now - sent_at)
                upstream.served += 1
            mean = SERVICE_SECONDS * math.exp(-(SERVICE_SIGMA**2) / 2)
            work = self.rng.lognormvariate(math.log(mean), SERVICE_SIGMA)
            self.push(
                work * upstream.slow / upstream.speed,
                self.finish,
                upstream,
                load,
                sent_at,
                backlog,
            )

    def finish(self, upstream, load, sent_at, backlog):
        upstream.running -= 1
        self.begin(upstream)
        if not self.reports_lost:
            load.note_report(self.now, upstream.report(self.rng))
        load.note_response(self.now, self.now - sent_at, backlog)
        if self.counted:
            self.seconds.append(self.now - sent_at)
        load.in_flight -= 1

    def ratio(self):
        """Return the busiest upstream over the mean, weighted by speed."""
        loads = [u.served / u.slots / u.speed for u in self.active]
        weight = sum(u.slots * u.speed for u in self.active)
        return max(loads) / (sum(u.served for u in self.active) / weight)

    def row(self):
        waits = sorted(self.waits) or [0.0]
        ages = sorted(self.ages) or [0.0]
        return {
            'ratio': self.ratio(),
            'mean_wait': sum(waits) / len(waits),
            'p99_wait': waits[int(len(waits) * 0.99)],
            'mean_resp': sum(self.seconds) / max(1, len(self.seconds)),
            'age': ages[len(ages) // 2],
            'remote': self.remote / max(1, self.sends),
            'full': self.full / max(1, self.requests),
            'needless': self.needless / max(1, self.requests),
            'refused': self.refused / max(1, self.requests),
        }


def steady(replay):
    """Leave everything as it is."""


def burst(replay):
    """Send nearly twice as much for two seconds."""

    def scale(factor):
        replay.rate *= factor

    replay.during_change(
        lambda: scale(BURST_FACTOR), lambda: scale(1 / BURST_FACTOR)
    )


def one_slow(replay):
    """Slow one upstream down for two seconds."""

    def set_slow(factor):
        replay.upstreams[2].slow = factor

    replay.during_change(lambda: set_slow(SLOW_FACTOR), lambda: set_slow(1.0))


def fifth_slow(replay):
    """Slow a fifth of the upstreams down, another one each 400 ms."""

    def turn(step):
        for upstream in replay.upstreams:
            slow = upstream.index % 5 == step % 5
            upstream.slow = SLOW_FACTOR if slow else 1.0
        replay.push(TURN_SECONDS, turn, step + 1)

    replay.push(0.0, turn, 0)


def new_one(replay):
    """Add an upstream of which no router has a report."""
    late = replay.active.pop()
    replay.push(WARM_UP_SECONDS, replay.active.append, late)


def returning(replay):
    """Lose an upstream with its requests; it returns after two seconds."""
    upstream = replay.upstreams[2]

    def set_up(up):
        upstream.up = up

    replay.during_change(lambda: set_up(False), lambda: set_up(True))


def reports_lost(replay):
    """Leave out all load reports for a second."""

    def set_lost(lost):
        replay.reports_lost = lost

    replay.push(WARM_UP_SECONDS + CHANGE_SECONDS, set_lost, True)
    replay.push(WARM_UP_SECONDS + CHANGE_SECONDS + 1.0, set_lost, False)


PATTERNS = {
    f.__name__: f
    for f in (
        steady,
        burst,
        one_slow,
        fifth_slow,
        new_one,
        returning,
        reports_lost,
    )
}


def measure(case):
    """Return the figures of one (policy, pattern, routers, seed, seconds)."""
    policy, pattern, routers, seed, seconds = case
    replay = Replay(policy, pattern, routers, seed=seed, seconds=seconds)
    return replay.run().row()


def main(seconds=10.0, seed=1, patterns='', policies='', details=''):
    """Print the results of all policies for each pattern and routers.

    Args:
        seconds: length of a replay after its warm-up.
        seed: seed of all random numbers.
        patterns: names divided by slashes, all if empty.
        policies: names divided by slashes, all if empty.
        details: the policy of which all columns are printed.
    """
    chosen = policies.split('/') if policies else choice_policies.names()
    if details:
        chosen = [details]
    combinations = [
        (pattern, routers)
        for pattern in (patterns.split('/') if patterns else PATTERNS)
        for routers in ROUTER_COUNTS
    ]
    cases = [
        (policy, *combination, seed, seconds)
        for combination in combinations
        for policy in chosen
    ]
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        rows = list(pool.map(measure, cases))
    print_row('pattern', 'routers', *(DETAIL_NAMES if details else chosen))
    print_row(*['---'] * (2 + len(DETAIL_NAMES if details else chosen)))
    for index, combination in enumerate(combinations):
        found = rows[index * len(chosen) : (index + 1) * len(chosen)]
        cells = map(format_details if details else format_short, found)
        print_row(*combination, *cells)


def print_row(*cells):
    """Print a row of a Markdown table."""
    print('|', ' | '.join(map(str, cells)), '|', flush=True)


def format_short(row):
    """Return busiest over mean, then mean and p99 wait in ms."""
    mean, p99 = row['mean_wait'] * 1e3, row['p99_wait'] * 1e3
    return f'{row["ratio"]:.2f}, {mean:.0f}, {p99:.0f}'


DETAIL_NAMES = (
    'busiest/mean, mean wait, p99 wait',
    'mean response ms',
    'report age ms',
    'other domain',
    'full',
    'refused',
    'needless',
)


def format_details(row):
    """Return the other columns, too."""
    cells = [
        format_short(row),
        f'{row["mean_resp"] * 1e3:.0f}',
        f'{row["age"] * 1e3:.0f}',
        f'{row["remote"]:.0%}',
        *(f'{row[name]:.2%}' for name in ('full', 'refused', 'needless')),
    ]
    return ' | '.join(cells)


if __name__ == '__main__':
    fire.Fire(main)
