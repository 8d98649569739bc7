"""Prometheus alert rules, generated from the objectives of a manifest.

Each burn-rate alert combines a long window, so that a short disturbance does
not fire it, with a short window, so that it resolves soon after its cause
ends.
"""

import yaml

from sillctl.outcomes import CALLER_ERROR_CODES
from sillctl.outcomes import OK

_MS_PER_SECOND = 1000.0


class BurnRateAlert:
    """An alert that fires if both windows burn faster than `factor`."""

    __slots__ = ('name', 'factor', 'long_window', 'short_window', 'severity')

    def __init__(self, name, factor, long_window, short_window, severity):
        self.name = name
        self.factor = factor
        self.long_window = long_window
        self.short_window = short_window
        self.severity = severity


# At these factors, 2% of a 30-day budget is spent in 1 h, 5% in 6 h and 10%
# in 3 days.
BURN_RATE_ALERTS = (
    BurnRateAlert('fast', 14.4, '1h', '5m', 'page'),
    BurnRateAlert('medium', 6.0, '6h', '30m', 'page'),
    BurnRateAlert('slow', 1.0, '3d', '6h', 'ticket'),
)
# With a loose objective, a factor times the allowed failure ratio can exceed
# 1, which no ratio of requests can. A complete outage must still fire.
MAX_THRESHOLD_RATIO = 0.99
# How long a service must be without requests before an alert fires, since
# nothing shows then that it works.
NO_DATA_DURATION = '5m'


def alert_rules(objectives, bounds):
    """Return the text of a rule file.

    `objectives` maps service names to objectives; `bounds` are the upper
    bounds of the latency buckets in seconds. The latency rules use the
    highest bound that is not above the objective. They are omitted if there
    is none.
    """
    groups = []
    for service, objective in sorted(objectives.items()):
        rules = list(_availability_rules(service, objective))
        bound = _latency_bound(objective.latency_ms / _MS_PER_SECOND, bounds)
        if bound is not None:
            rules += _latency_rules(service, objective, bound)
        rules.append(_no_data_rule(service))
        groups.append({'name': f'bramleysill-{service}', 'rules': rules})
    return yaml.safe_dump({'groups': groups}, sort_keys=False, width=10_000)


def _latency_bound(limit, bounds):
    return max((b for b in bounds if b <= limit + 1e-9), default=None)


def _sum_rate(metric, labels, window):
    return f'sum(rate({metric}{{{labels}}}[{window}]))'


def _availability_rules(service, objective):
    service_label = f'service="{service}"'
    caller_codes = '|'.join(sorted(CALLER_ERROR_CODES))
    metric = 'bramleysill_requests_total'
    failed_labels = f'{service_label},code!~"{OK}|{caller_codes}"'
    total_labels = f'{service_label},code!~"{caller_codes}"'

    def ratio(window):
        failed = _sum_rate(metric, failed_labels, window)
        return f'({failed} / {_sum_rate(metric, total_labels, window)})'

    allowed = 1.0 - objective.availability
    summary = f'{service} fails more requests than its objective allows'
    yield from _burn_rules('Availability', service, ratio, allowed, summary)


def _latency_rules(service, objective, bound):
    service_label = f'service="{service}"'
    metric = 'bramleysill_latency_seconds_bucket'

    def ratio(window):
        fast = _sum_rate(metric, f'{service_label},le="{bound}"', window)
        total = _sum_rate(metric, f'{service_label},le="+Inf"', window)
        return f'(1 - {fast} / {total})'

    allowed = 1.0 - objective.latency_ratio
    summary = f'{service} responds more slowly than its objective allows'
    yield from _burn_rules('Latency', service, ratio, allowed, summary)


def _burn_rules(kind, service, ratio, allowed, summary):
    for alert in BURN_RATE_ALERTS:
        threshold = f'{min(alert.factor * allowed, MAX_THRESHOLD_RATIO):.6g}'
        yield {
            'alert': f'Bramleysill{kind}{alert.name.capitalize()}Burn',
            'expr': f'{ratio(alert.long_window)} > {threshold} and '
            f'{ratio(alert.short_window)} > {threshold}',
            'labels': {'severity': alert.severity, 'service': service},
            'annotations': {
                'summary': f'{summary} (burn rate above {alert.factor:g} '
                f'over {alert.long_window} and {alert.short_window})',
                'action': 'Run `sillctl report` to see what burns the budget.',
            },
        }


def _no_data_rule(service):
    metric = f'bramleysill_requests_total{{service="{service}"}}'
    return {
        'alert': 'BramleysillNoData',
        'expr': f'absent({metric}) or sum(rate({metric}[5m])) == 0',
        'for': NO_DATA_DURATION,
        'labels': {'severity': 'ticket', 'service': service},
        'annotations': {
            'summary': f'No requests of {service} are counted',
            'action': 'Check that routers run and that their admin ports '
            'are scraped.',
        },
    }
