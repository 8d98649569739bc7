"""Compares ways in which routers keep the limit of one upstream together.

Callers arrive at random at one upstream with a limit, at two and a half times
the limit, each through a random router. A refused caller does not return. The
ways differ in who decides:

- `alone`: each router applies the whole limit.
- `shares`: each router has its share, in whole requests per window.
- `pacing`: one router decides for all (`rate_pacer`).

Printed are the requests sent, relative to the limit, and the most in any
window, relative to what the limit allows there. The run is in simulated time
and gives the same figures each time.

    python -m bench.limits
"""

import collections
import random

from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.common.registry import Registry
from bramleysill_kernel.load.named_limits import NamedLimits
from bramleysill_kernel.load.rate_pacer import UpstreamPacers
from bramleysill_kernel.load.shared_limits import USED_SHARE_OF_LIMIT
from bramleysill_kernel.load.shared_limits import share_of_total

ROUTER_COUNTS = (12, 64, 1700)
LIMIT_PER_SECOND = 5.0
DEMAND_FACTOR = 2.5
SECONDS = 400.0
WINDOW_SECONDS = 4.0
# Time that a request may wait for its turn.
MAX_WAIT_SECONDS = 0.3
SEED = 20261204
UPSTREAM = 'u1'
INCARNATION = 1

ways = Registry('way')


class _Window:
    """Permits a number of requests in each window."""

    def __init__(self, clock, total):
        self._clock = clock
        self._total = total
        self._times = collections.deque()

    def take(self):
        now = self._clock.now()
        while self._times and self._times[0] <= now - WINDOW_SECONDS:
            self._times.popleft()
        if len(self._times) >= self._total:
            return None
        self._times.append(now)
        return 0.0


@ways.register('alone')
def _alone(clock, routers):
    total = int(LIMIT_PER_SECOND * WINDOW_SECONDS * USED_SHARE_OF_LIMIT)
    windows = {router: _Window(clock, total) for router in routers}
    return lambda router: windows[router].take()


@ways.register('shares')
def _shares(clock, routers):
    total = int(LIMIT_PER_SECOND * WINDOW_SECONDS * USED_SHARE_OF_LIMIT)
    each, rest = divmod(total, len(routers))
    ranked = sorted(
        routers, key=lambda r: -share_of_total(rest, UPSTREAM, r, routers)
    )
    windows = {
        router: _Window(clock, each + (1 if rank < rest else 0))
        for rank, router in enumerate(ranked)
    }
    return lambda router: windows[router].take()


@ways.register('pacing')
def _pacing(clock, routers):
    limits = NamedLimits(clock)
    pacers = UpstreamPacers(clock, limits)

    def take(router):
        limits.observe(UPSTREAM, INCARNATION, LIMIT_PER_SECOND)
        decision = pacers.take(UPSTREAM, INCARNATION, MAX_WAIT_SECONDS)
        return decision.delay if decision.permitted else None

    return take


def _most_in_window(times):
    """Return the most of the sorted times in any window."""
    most = 0
    window = collections.deque()
    for at in times:
        window.append(at)
        while window[0] <= at - WINDOW_SECONDS:
            window.popleft()
        most = max(most, len(window))
    return most


def measure(make_way, router_count):
    """Return (share of the limit used, most in a window by its allowance)."""
    clock = ManualClock()
    rng = random.Random(SEED)
    routers = [f'r{number}' for number in range(router_count)]
    take = make_way(clock, routers)
    sent = []
    while clock.now() < SECONDS:
        clock.advance(rng.expovariate(LIMIT_PER_SECOND * DEMAND_FACTOR))
        delay = take(rng.choice(routers))
        if delay is not None:
            sent.append(clock.now() + delay)
    allowed = LIMIT_PER_SECOND * WINDOW_SECONDS
    used = len(sent) / (LIMIT_PER_SECOND * SECONDS)
    return used, _most_in_window(sorted(sent)) / allowed


def run():
    """Print a row for each way and number of routers; return the rows."""
    rows = []
    for name in ('alone', 'shares', 'pacing'):
        for count in ROUTER_COUNTS:
            used, most = measure(ways.get(name), count)
            rows.append(
                {'way': name, 'routers': count, 'used': used, 'most': most}
            )
            print(f'{name:8} {count:5} routers: {used:.2f} {most:.2f}')
    return rows


if __name__ == '__main__':
    run()
