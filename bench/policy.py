"""Compares the kernel's policies with simpler ones in a simulation.

`python -m bench.policy [SEED]` prints ratios and marks missed targets. It
measures the quality of decisions, not the speed of the product.
"""

from collections import deque
import sys

from bench.policy_simulation import SERVICE_SECONDS
from bench.policy_simulation import SLOTS_PER_UPSTREAM
from bench.policy_simulation import TAIL_TIMEOUT_SECONDS
from bench.policy_simulation import SimulatedEntry
from bench.policy_simulation import SimulatedUpstream
from bench.policy_simulation import Simulation
from bramleysill_kernel.common.exceptions import OUTCOME_NOT_RUN
from bramleysill_kernel.load.admission import ADMITTED
from bramleysill_kernel.load.admission import QUEUED
from bramleysill_kernel.load.admission import Admission
from bramleysill_kernel.load.queueing import WorkItem
from bramleysill_kernel.load.retries import RetryPolicy
from bramleysill_kernel.load.slow_start import SlowStart

SEED = 20261204

TAIL_UPSTREAMS = 6
TAIL_ENTRIES = 4
TAIL_UTILIZATION = 0.5
TAIL_SECONDS = 30.0
SLOWDOWN_START_SECONDS = 5.0
MAX_TAIL_RATIO = 1.5
FREEZE_SECONDS = 1.0
FREEZE_INTERVAL_SECONDS = 5.0

GOODPUT_SECONDS = 20.0
MIN_GOODPUT_RATIO = 0.95
LOAD_FACTORS = (1, 2, 5)


def _quantile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def _schedule_slowdown(sim, upstreams, mode):
    """Schedule the slowdown of two random upstreams.

    In the mode `two`, the same two are slowed tenfold until the end; in
    `turns`, another two are chosen every three seconds; in `freeze`, two are
    frozen for one second of every five.
    """
    names = list(upstreams)
    if mode == 'none':
        return

    def slow_two():
        slowed = sim.rng.sample(names, 2)
        for name in names:
            upstreams[name].slowdown = 10.0 if name in slowed else 1.0

    def freeze():
        for name in sim.rng.sample(names, 2):
            upstreams[name].freeze(FREEZE_SECONDS)

    if mode == 'freeze':
        sim.after(SLOWDOWN_START_SECONDS, freeze)
        sim.after(
            SLOWDOWN_START_SECONDS, sim.every, FREEZE_INTERVAL_SECONDS, freeze
        )
        return
    sim.after(SLOWDOWN_START_SECONDS, slow_two)
    if mode == 'turns':
        sim.after(SLOWDOWN_START_SECONDS, sim.every, 3.0, slow_two)


def measure_tail(balancer, outliers, hedging, mode, seed=SEED):
    """Simulate a policy with slowed upstreams.

    Returns p50 and p99 in ms after the start of the slowdown, and the share
    of requests that were hedged.
    """
    sim = Simulation(seed)
    upstreams = {}
    for number in range(TAIL_UPSTREAMS):
        name = f'u{number}'
        upstreams[name] = SimulatedUpstream(
            sim, name, lambda w, ok: w.id[0].entry.note_end(w, ok)
        )
    entries = [
        SimulatedEntry(sim, upstreams, balancer, outliers, hedging)
        for _ in range(TAIL_ENTRIES)
    ]
    capacity = TAIL_UPSTREAMS * SLOTS_PER_UPSTREAM / SERVICE_SECONDS
    rate = capacity * TAIL_UTILIZATION / TAIL_ENTRIES
    for entry in entries:
        sim.schedule_arrivals(rate, entry.start_request, TAIL_SECONDS)
    _schedule_slowdown(sim, upstreams, mode)
    sim.run(TAIL_SECONDS + 2 * TAIL_TIMEOUT_SECONDS)
    durations = [
        seconds
        for entry in entries
        for began, seconds in entry.latencies
        if began >= SLOWDOWN_START_SECONDS
    ]
    total = sum(len(entry.latencies) for entry in entries)
    return {
        'p50_ms': _quantile(durations, 0.5) * 1000,
        'p99_ms': _quantile(durations, 0.99) * 1000,
        'hedged': sum(entry.hedges_sent for entry in entries) / total,
    }


TAIL_MODES = ('none', 'two', 'turns', 'freeze')
TAIL_POLICIES = {
    'round_robin': ('round_robin', False, False),
    'random': ('random', False, False),
    'least_in_flight': ('least_in_flight', False, False),
    'least_time': ('least_time', False, False),
    'least_time+outliers+hedging': ('least_time', True, True),
    'power_of_two': ('power_of_two', False, False),
    'power_of_two+outliers': ('power_of_two', True, False),
    'power_of_two+outliers+hedging': ('power_of_two', True, True),
}


def compare_tails(seed):
    """Compare the p99 of the policies in all modes of slowdown."""
    rows = {}
    for name, policy in TAIL_POLICIES.items():
        rows[name] = {m: measure_tail(*policy, m, seed) for m in TAIL_MODES}
    best_p99 = rows['power_of_two+outliers+hedging']['none']['p99_ms']
    for row in rows.values():
        for mode in TAIL_MODES[1:]:
            slowed = row[mode]['p99_ms']
            row[f'{mode}_ratio'] = slowed / row['none']['p99_ms']
            row[f'{mode}_to_best'] = slowed / best_p99
    return rows


class UnboundedFifo:
    """Baseline with slots and an unbounded queue, without deadlines."""

    def __init__(self, slots):
        self.slots = slots
        self.in_flight = 0
        self._queue = deque()

    def offer(self, work):
        if self.in_flight < self.slots:
            return self._start(work)
        self._queue.append(work)
        return QUEUED

    def _start(self, work):
        self.in_flight += 1
        work.state = 'running'
        return ADMITTED

    def finished(self, work, result, state=''):
        self.in_flight -= 1
        if not self._queue:
            return []
        work = self._queue.popleft()
        self._start(work)
        return [work]

    def cancel(self, work):
        pass

    def tick(self):
        return []

    def take_dropped(self):
        return ()


def measure_goodput(load, fifo, seed=SEED):
    """Simulate one upstream under load from fair and unfair callers.

    Returns the responses per second that met their deadline. One of ten
    callers, the greedy one, sends half of the requests; `modest_share` is the
    share of the other callers' requests whose response came in time.
    """
    sim = Simulation(seed)
    in_time = {'greedy': 0, 'modest': 0}
    offered = {'greedy': 0, 'modest': 0}

    def end(work, ok):
        if ok and sim.clock.now() <= work.deadline:
            in_time[work.id] += 1

    baseline = UnboundedFifo(SLOTS_PER_UPSTREAM) if fifo else None
    upstream = SimulatedUpstream(sim, 'u', end, baseline)

    def arrive():
        greedy = sim.rng.random() < 0.5
        kind = 'greedy' if greedy else 'modest'
        offered[kind] += 1
        deadline = sim.clock.now() + sim.rng.uniform(0.05, 0.5)
        caller = 'g' if greedy else f'm{sim.rng.randrange(9)}'
        upstream.offer(WorkItem(kind, 's', deadline=deadline, caller=caller))

    rate = load * SLOTS_PER_UPSTREAM / SERVICE_SECONDS
    sim.schedule_arrivals(rate, arrive, GOODPUT_SECONDS)
    sim.run(GOODPUT_SECONDS)
    total = in_time['greedy'] + in_time['modest']
    return {
        'goodput': total / GOODPUT_SECONDS,
        'modest_share': in_time['modest'] / offered['modest'],
    }


def compare_goodput(seed):
    """Compare goodput under overload with an unbounded FIFO queue."""
    rows = {
        name: {
            load: measure_goodput(load, name == 'fifo', seed)
            for load in LOAD_FACTORS
        }
        for name in ('admission', 'fifo')
    }
    best = max(r['goodput'] for row in rows.values() for r in row.values())
    for row in rows.values():
        for result in row.values():
            result['of_best'] = result['goodput'] / best
    return rows


COLD_KINDS = ('announced', 'restart', 'unnoticed')
COLD_START_SECONDS = 5.0
COLD_SECONDS = 5.0
COLD_FACTOR = 5.0


def measure_cold_start(kind, slow_start, seed=SEED):
    """Simulate an upstream that becomes cold, that is, slow for a while.

    In the kind `announced`, responses report the state cold; in `restart`,
    work in flight is lost and responses report cold; in `unnoticed`, responses
    are slow but report warm. Of the results, `most` is the highest number of
    requests in flight after a send while the upstream is cold, `over` counts
    the sends above the bound, and `over_known` those after the first sign, a
    response that reports cold or a lost connection.
    """
    sim = Simulation(seed)
    bound = 1 if slow_start else SLOTS_PER_UPSTREAM
    admission = Admission(
        'u',
        sim.clock,
        SLOTS_PER_UPSTREAM,
        SlowStart(sim.clock, SLOTS_PER_UPSTREAM, bound),
    )
    upstream = SimulatedUpstream(sim, 'u', lambda w, ok: None, admission)
    counts = {'most': 0, 'over': 0, 'over_known': 0, 'over_seconds': 0.0}

    def on_send():
        now = sim.clock.now()
        if COLD_START_SECONDS <= now < COLD_START_SECONDS + COLD_SECONDS:
            counts['most'] = max(counts['most'], admission.in_flight)
            if admission.in_flight > 1:
                counts['over'] += 1
                counts['over_known'] += upstream.cold_reported
                counts['over_seconds'] = now - COLD_START_SECONDS

    def set_cold(factor, state):
        upstream.slowdown, upstream.reported_state = factor, state

    def go_cold():
        reported_state = 'warm' if kind == 'unnoticed' else 'cold'
        set_cold(COLD_FACTOR, reported_state)
        if kind == 'restart':
            upstream.restart()

    def arrive():
        deadline = sim.clock.now() + 0.5
        upstream.offer(WorkItem('w', 's', deadline=deadline))

    upstream.on_send = on_send
    sim.after(COLD_START_SECONDS, go_cold)
    sim.after(COLD_START_SECONDS + COLD_SECONDS, set_cold, 1.0, 'warm')
    sim.schedule_arrivals(
        0.6 * SLOTS_PER_UPSTREAM / SERVICE_SECONDS, arrive, 15.0
    )
    sim.run(15.0)
    counts['warm_again'] = admission.limit == SLOTS_PER_UPSTREAM
    return counts


def compare_cold_starts(seed):
    """Compare the work sent to a cold upstream with and without a bound."""
    return {
        name: {k: measure_cold_start(k, on, seed) for k in COLD_KINDS}
        for name, on in (('slow_start', True), ('none', False))
    }


OUTAGE_SECONDS = 10.0
OUTAGE_REQUESTS_PER_S = 200.0


def measure_amplification(policy, seed=SEED):
    """Return the attempts per new request while all attempts fail."""
    sim = Simulation(seed)
    counts = {'new': 0, 'attempts': 0}
    budget = RetryPolicy(sim.clock, sim.rng)

    def attempt(deadline, attempts_made):
        counts['attempts'] += 1
        if policy == 'fixed':
            wait = 0.01 if attempts_made < 4 else None
        else:
            wait = budget.delay(OUTCOME_NOT_RUN, True, deadline, attempts_made)
        if wait is not None:
            sim.after(wait, attempt, deadline, attempts_made + 1)

    def arrive():
        counts['new'] += 1
        budget.note_request()
        attempt(sim.clock.now() + 1.0, 1)

    sim.schedule_arrivals(OUTAGE_REQUESTS_PER_S, arrive, OUTAGE_SECONDS)
    sim.run(OUTAGE_SECONDS + 2.0)
    return counts['attempts'] / counts['new']


def run(seed=SEED):
    """Run all comparisons; return their results."""
    return {
        'tail': compare_tails(seed),
        'goodput': compare_goodput(seed),
        'cold': compare_cold_starts(seed),
        'amplification': {
            p: measure_amplification(p, seed) for p in ('budget', 'fixed')
        },
    }


def _verdict(value, target, at_most):
    met = value <= target if at_most else value >= target
    if met:
        return 'met'
    return f'MISSED by {abs(value / target - 1):.1%}'


def _print_tail(rows):
    print('p99 with 2 of 6 upstreams slowed tenfold against none slowed')
    print(
        f'{"policy":32}{"none ms":>9}{"two":>8}{"turns":>8}'
        f'{"freeze":>8}{"hedged":>8}'
    )
    for name, row in rows.items():
        print(
            f'{name:32}{row["none"]["p99_ms"]:9.1f}'
            f'{row["two_ratio"]:7.2f}x{row["turns_ratio"]:7.2f}x'
            f'{row["freeze_ratio"]:7.2f}x'
            f'{row["two"]["hedged"]:8.1%}'
        )
    chosen = rows['power_of_two+outliers+hedging']
    for mode in TAIL_MODES[1:]:
        verdict = _verdict(chosen[f'{mode}_ratio'], MAX_TAIL_RATIO, True)
        print(f'target {MAX_TAIL_RATIO}x, {mode}: {verdict}')


def _print_goodput(rows):
    print('\ngoodput against the best, and share of modest callers served')
    for name, row in rows.items():
        cells = [
            f'{load}x {r["of_best"]:6.1%} ({r["modest_share"]:6.1%})'
            for load, r in row.items()
        ]
        print(f'{name:12}' + '  '.join(cells))
    worst = min(r['of_best'] for r in rows['admission'].values())
    print(f'target 95%: {_verdict(worst, MIN_GOODPUT_RATIO, False)}')


def _print_cold(rows):
    print('\nmost work sent to a cold upstream (its bound is 1)')
    for name, row in rows.items():
        for kind, seen in row.items():
            print(
                f'{name:12}{kind:12}most {seen["most"]}, '
                f'{seen["over"]} sends above the bound, '
                f'{seen["over_known"]} after the first sign, the last '
                f'{seen["over_seconds"] * 1000:.0f} ms after the onset, '
                f'warm again: {seen["warm_again"]}'
            )


def main(args=()):
    """Print all comparisons; the only argument is the seed."""
    seed = int(args[0]) if args else SEED
    print(f'seed {seed}')
    results = run(seed)
    _print_tail(results['tail'])
    _print_goodput(results['goodput'])
    _print_cold(results['cold'])
    print('\nattempts per new request during an outage')
    for name, value in results['amplification'].items():
        print(f'{name:12}{value:.2f}')


if __name__ == '__main__':
    main(sys.argv[1:])
