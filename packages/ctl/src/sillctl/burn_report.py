"""Burn rates and remaining error budgets of services, from router metrics.

The burn rate is the ratio of failed requests divided by the ratio that the
objective allows: at 1, the budget lasts exactly for its period. A window
without requests has no burn rate, which is None and never 0.
"""

import collections
import math

from sillctl import snapshots as metric_names
from sillctl.outcomes import UNAVAILABLE_CODES
from sillctl.outcomes import is_eligible
from sillctl.outcomes import is_failure
from sillctl.windows import FULL_COVERAGE_RATIO
from sillctl.windows import Window
from sillctl.windows import make_histories

WINDOWS = (
    Window('5 min', 300),
    Window('1 h', 3600),
    Window('6 h', 6 * 3600),
    Window('3 days', 3 * 86400),
)
# The manifest declares no period; the factors of the alerts assume 30 days.
BUDGET_WINDOW = Window('30 days', 30 * 86400)
# Number of steps into which the timeline divides the longest window's data.
TIMELINE_STEPS = 60
# A router is reported as vanished if its newest response is older than twice
# the interval of its snapshots, within these bounds.
MIN_VANISHED_AFTER_SECONDS = 60.0
MAX_VANISHED_AFTER_SECONDS = 7200.0
VANISHED_AFTER_INTERVALS = 2
# Tolerates rounding when bounds are compared: 50 ms must match 0.05.
BOUND_TOLERANCE_SECONDS = 1e-9

STATE_ANSWERS = 'answers'
STATE_VANISHED = 'vanished'
STATE_NO_DATA = 'no data'
STATE_BURNING = 'burning'
STATE_MET = 'met'
STATE_PARTIAL = 'met, but some routers are missing'

_MS_PER_SECOND = 1000.0


class WindowTotals:
    """A service's requests in one window, added up over all routers.

    `codes` counts requests by outcome code. Of the `measured` requests, `slow`
    took longer than `bound_seconds`: the highest bucket bound that is not
    above the objective. `covered_seconds` is the longest time that the
    snapshots of a router cover.
    """

    __slots__ = (
        'codes',
        'measured',
        'slow',
        'bound_seconds',
        'covered_seconds',
        'routers',
    )

    def __init__(self):
        self.codes = collections.Counter()
        self.measured = 0.0
        self.slow = 0.0
        self.bound_seconds = None
        self.covered_seconds = 0.0
        self.routers = 0

    def add(self, increase, service, limit_seconds):
        """Add the counts of one router.

        `limit_seconds` is the latency objective in seconds, or None.
        """
        self.routers += 1
        self.covered_seconds = max(
            self.covered_seconds, increase.covered_seconds
        )
        buckets = {}
        for (name, labels), value in increase.counts.items():
            fields = dict(labels)
            if fields.get('service') != service:
                continue
            if name == metric_names.REQUESTS_METRIC:
                self.codes[fields['code']] += value
            elif name == metric_names.LATENCY_METRIC:
                buckets[float(fields['le'])] = value
        self._add_latency(buckets, limit_seconds)

    def _add_latency(self, buckets, limit_seconds):
        if limit_seconds is None or math.inf not in buckets:
            return
        bounds = [
            b for b in buckets if b <= limit_seconds + BOUND_TOLERANCE_SECONDS
        ]
        if not bounds:
            return
        bound = max(bounds)
        self.bound_seconds = (
            bound
            if self.bound_seconds is None
            else min(bound, self.bound_seconds)
        )
        self.measured += buckets[math.inf]
        self.slow += buckets[math.inf] - buckets[bound]

    @property
    def eligible_count(self):
        """Return the number of requests that the objective includes."""
        return sum(n for code, n in self.codes.items() if is_eligible(code))

    def failures(self):
        """Return the number of failed requests, by code."""
        found = {c: n for c, n in self.codes.items() if is_failure(c)}
        return dict(sorted(found.items(), key=lambda i: (-i[1], i[0])))


def burn_rate(bad, total, objective_ratio):
    """Return bad / total as a multiple of the allowed ratio, or None."""
    if not total:
        return None
    return (bad / total) / (1.0 - objective_ratio)


def make_report(snapshots, services, now):
    """Return the burn report as a dict.

    `services` maps names to objectives or None; `now` is in seconds since
    the epoch. Services that occur only in the metrics are added without an
    objective.
    """
    histories = make_histories(s for s in snapshots if s.at <= now)
    declared = dict(services)
    for name in _measured_services(histories):
        declared.setdefault(name, None)
    routers = [_router_fields(h, now) for h in histories.values()]
    return {
        'now': now,
        'is_partial': any(r['state'] != STATE_ANSWERS for r in routers),
        'routers': routers,
        'services': [
            _service_fields(name, objective, histories, now)
            for name, objective in sorted(declared.items())
        ],
        'unattributed': [
            _unattributed(window, histories, now) for window in WINDOWS
        ],
        'failure_domains': _domain_fields(histories, now),
    }


def _measured_services(histories):
    found = set()
    for history in histories.values():
        last = history.last_response()
        for name, labels in last.counters() if last else ():
            if name == metric_names.REQUESTS_METRIC:
                found.add(dict(labels)['service'])
    return found - {''}


def _router_fields(history, now):
    last = history.last_response()
    age = now - last.at if last else None
    state = STATE_ANSWERS
    if last is None:
        state = STATE_NO_DATA
    elif (
        age > _max_response_age_seconds(history)
        or last is not history.snapshots[-1]
    ):
        state = STATE_VANISHED
    increase = history.increase(BUDGET_WINDOW, now)
    return {
        'router': history.router,
        'state': state,
        'last_answer_s': age,
        'restarts': increase.restarts if increase else 0,
        'error': history.snapshots[-1].error,
    }


def _max_response_age_seconds(history):
    """Return how old a router's newest response may be, in seconds.

    The limit depends on the interval between its last two responses.
    """
    times = [s.at for s in history.snapshots if s.samples is not None][-2:]
    allowed = VANISHED_AFTER_INTERVALS * (times[-1] - times[0])
    return min(
        max(MIN_VANISHED_AFTER_SECONDS, allowed), MAX_VANISHED_AFTER_SECONDS
    )


def _window_totals(window, histories, now, service, limit_seconds):
    totals = WindowTotals()
    for history in histories.values():
        increase = history.increase(window, now)
        if increase is not None:
            totals.add(increase, service, limit_seconds)
    return totals


def _service_fields(name, objective, histories, now):
    limit_seconds = (
        objective.latency_ms / _MS_PER_SECOND if objective else None
    )
    windows, window_totals = [], []
    for window in (*WINDOWS, BUDGET_WINDOW):
        totals = _window_totals(window, histories, now, name, limit_seconds)
        fields = _window_fields(window, totals, objective, len(histories))
        fields['units'] = _max_units(window, histories, now, name)
        windows.append(fields)
        window_totals.append(totals)
    budget = windows.pop()
    return {
        'service': name,
        'objective': _objective_fields(objective, window_totals),
        'state': _service_state(windows, objective),
        'budget': {
            **budget,
            'availability_left': _budget_left(budget, 'burn'),
            'latency_left': _budget_left(budget, 'latency_burn'),
        },
        'windows': windows,
        'timeline': _timeline(histories, now, name, objective),
    }


def _timeline(histories, now, name, objective):
    """Return burn rates over time as dicts; rates without data are None."""
    if objective is None:
        return []
    start = now - WINDOWS[-1].seconds
    times = [s.at for h in histories.values() for s in h.snapshots]
    start = min((at for at in times if at >= start), default=now)
    step = Window('step', (now - start) / TIMELINE_STEPS)
    found = []
    for number in range(1, TIMELINE_STEPS + 1 if step.seconds else 0):
        at = start + number * step.seconds
        limit_seconds = objective.latency_ms / _MS_PER_SECOND
        totals = _window_totals(step, histories, at, name, limit_seconds)
        fields = _window_fields(step, totals, objective, len(histories))
        chosen = {k: fields[k] for k in ('burn', 'latency_burn')}
        found.append({'at': at, **chosen})
    return found


def _objective_fields(objective, window_totals):
    if objective is None:
        return None
    bounds = [
        t.bound_seconds for t in window_totals if t.bound_seconds is not None
    ]
    return {
        'availability': objective.availability,
        'latency_ms': objective.latency_ms,
        'latency_ratio': objective.latency_ratio,
        'measured_ms': min(bounds) * _MS_PER_SECOND if bounds else None,
    }


def _window_fields(window, totals, objective, router_count):
    failures = totals.failures()
    failed = sum(failures.values())
    burn = latency_burn = None
    if objective is not None:
        burn = burn_rate(failed, totals.eligible_count, objective.availability)
        latency_burn = burn_rate(
            totals.slow, totals.measured, objective.latency_ratio
        )
    return {
        'window': window.name,
        'seconds': window.seconds,
        'covered_s': totals.covered_seconds,
        'is_full': totals.covered_seconds
        >= FULL_COVERAGE_RATIO * window.seconds,
        'routers': totals.routers,
        'routers_known': router_count,
        'requests': totals.eligible_count,
        'failed': failed,
        'burn': burn,
        'measured': totals.measured,
        'slow': totals.slow,
        'latency_burn': latency_burn,
        'causes': failures,
        'unavailable_keys': sum(failures.get(c, 0) for c in UNAVAILABLE_CODES),
    }


def _budget_left(budget, field):
    """Return an upper bound of the remaining share of the budget.

    Time that no snapshot covers is counted without failures, so the real share
    may be lower. It is negative if the budget is overspent.
    """
    if budget[field] is None:
        return None
    known = min(1.0, budget['covered_s'] / budget['seconds'])
    return 1.0 - budget[field] * known


def _service_state(windows, objective):
    if objective is None:
        return 'no objective'
    rates = [w['burn'] for w in windows] + [w['latency_burn'] for w in windows]
    known = [rate for rate in rates if rate is not None]
    if any(rate > 1.0 for rate in known):
        return STATE_BURNING
    # A service without data in the shortest window must not be shown as met.
    if windows[0]['burn'] is None or windows[0]['latency_burn'] is None:
        return STATE_NO_DATA
    if windows[0]['routers'] < windows[0]['routers_known']:
        return STATE_PARTIAL
    return STATE_MET


def _max_units(window, histories, now, service):
    """Return the highest unit counts in a window's snapshots, by condition."""
    highest = {}
    for history in histories.values():
        for snapshot in history.snapshots:
            if not now - window.seconds <= snapshot.at <= now:
                continue
            for labels, value in snapshot.gauges(metric_names.UNITS_METRIC):
                if labels['service'] == service:
                    condition = labels['condition']
                    highest[condition] = max(highest.get(condition, 0), value)
    return highest


def _unattributed(window, histories, now):
    """Return the failures of requests that matched no service."""
    totals = _window_totals(window, histories, now, '', None)
    return {
        'window': window.name,
        'covered_s': totals.covered_seconds,
        'causes': totals.failures(),
    }


def _domain_fields(histories, now):
    """Return the state of each failure domain and its moves by window.

    All routers count the same moves, so the highest count is used instead of
    the sum.
    """
    found = {}
    for history in histories.values():
        last = history.last_response()
        for labels, value in (
            last.gauges(metric_names.DOMAIN_OUT_METRIC) if last else ()
        ):
            fields = _domain_entry(found, labels['failure_domain'])
            fields['is_out'] = fields['is_out'] or bool(value)
        for window in WINDOWS:
            increase = history.increase(window, now)
            _add_moves(found, window, increase.counts if increase else {})
    return [found[name] for name in sorted(found)]


def _domain_entry(found, name):
    return found.setdefault(
        name,
        {
            'failure_domain': name,
            'is_out': False,
            'moves': {window.name: {} for window in WINDOWS},
        },
    )


def _add_moves(found, window, counts):
    for (name, labels), value in counts.items():
        if name == metric_names.DOMAIN_MOVES_METRIC:
            fields = dict(labels)
            moves = _domain_entry(found, fields['failure_domain'])['moves']
            highest = moves[window.name]
            highest[fields['move']] = max(
                highest.get(fields['move'], 0), value
            )
