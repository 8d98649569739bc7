"""Renders the burn report as text, HTML or JSON."""

import datetime
import json

import jinja2

from sillctl.plots import service_plots

NO_DATA = 'no data'
# Shares above this one and below 1 would be rounded to 100%.
MAX_SHARE_BELOW_ALL = 0.9999
# Units of time in seconds, the longest first.
_TIME_UNITS = ((86400, 'days'), (3600, 'h'), (60, 'min'), (1, 's'))


def duration(seconds):
    """Format a duration, such as `2.5 h`; zero and None are no data."""
    if seconds is None or seconds <= 0:
        return NO_DATA
    for size, unit in _TIME_UNITS:
        if seconds >= size:
            return f'{round(seconds / size, 1):g} {unit}'
    return f'{seconds:.1f} s'


def rate(value):
    """Format a burn rate."""
    return NO_DATA if value is None else f'{value:.2f}'


def percent(value):
    """Format a ratio as a percentage; only 1 gives 100%."""
    if value is None:
        return NO_DATA
    if value < 1.0:
        value = min(value, MAX_SHARE_BELOW_ALL)
    return f'{value * 100:.4g}%'


def utc_time(seconds):
    """Format a time, in seconds since the epoch, in UTC."""
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.strftime('%Y-%m-%dT%H:%M:%SZ')


def counts(found):
    """Format counts by name, without those that are zero."""
    parts = [f'{name} {value:g}' for name, value in found.items() if value]
    return ', '.join(parts)


def coverage(window):
    """Format the time and the routers that a window's data covers."""
    known = window['routers_known']
    text = duration(window['covered_s'])
    if window['covered_s'] and not window['is_full']:
        text += f' of {window["window"]}'
    if window['covered_s'] and window['routers'] < known:
        text += f', {window["routers"]} of {known} routers'
    return text


_TEXT_TEMPLATE = """\
burn report at {{ now | utc_time }}
{%- if is_partial %}
Some routers did not respond; their counts since then are missing.
{%- endif %}
{%- if malformed_lines %}
{{ malformed_lines }} malformed lines of recorded snapshots were skipped.
{%- endif %}
{%- if not routers %}
No data: there are no snapshots of any router.
{%- endif %}
{%- for router in routers %}
router    {{ router.router }}: {{ router.state }}
{%- if router.state != 'answers' and router.last_answer_s is not none -%}
, last response {{ router.last_answer_s | duration }} ago
{%- endif %}
{%- if router.restarts %}, {{ router.restarts }} restarts{% endif %}
{%- if router.error %}: {{ router.error }}{% endif %}
{%- endfor %}
{%- for service in services %}

service   {{ service.service }}: {{ service.state }}
{%- if service.objective %}
objective {{ service.objective.availability | percent }} successful, \
{{ service.objective.latency_ratio | percent }} within \
{{ '%g' % service.objective.latency_ms }} ms
{%- if service.objective.measured_ms is none %} (latency: no data)
{%- elif service.objective.measured_ms != service.objective.latency_ms %} \
(slow responses are counted above \
{{ '%g' % service.objective.measured_ms }} ms, the nearest lower bound)
{%- endif %}
budget    {{ 'left' if service.budget.is_full else 'left at most' }}: \
availability {{ service.budget.availability_left | percent }}, \
latency {{ service.budget.latency_left | percent }}; \
covers {{ service.budget | coverage }}
{%- else %}
objective none declared
{%- endif %}
window    {{ '%10s %8s %8s %8s %8s  %s' % \
('requests', 'failed', 'burn', 'slow', 'burn', 'covers') }}
{%- for w in service.windows %}
{{ '%-9s' % w.window }} {{ '%10d %8d %8s %8d %8s  %s' % \
(w.requests, w.failed, w.burn | rate, w.slow, w.latency_burn | rate, \
w | coverage) }}
{%- if w.failed %}
          failed: {{ w.causes | counts }}
{%- endif %}
{%- if w.unavailable_keys %}
          unavailable keys: {{ '%d' % w.unavailable_keys }} requests
{%- endif %}
{%- if w.units.get('without_owner') or w.units.get('moving') %}
          most units at once: {{ w.units | counts }}
{%- endif %}
{%- endfor %}
{%- endfor %}
{%- for w in unattributed if w.causes %}

no service, {{ w.window }}: {{ w.causes | counts }}
{%- endfor %}
{%- for domain in failure_domains %}

failure domain {{ domain.failure_domain }}: \
{{ 'out' if domain.is_out else 'in' }}
{%- for window, moves in domain.moves.items() if moves | counts %}
          {{ window }}: {{ moves | counts }}
{%- endfor %}
{%- endfor %}"""

_HTML_TEMPLATE = """\
<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<title>Burn report</title>
<style>
body { font: 14px sans-serif; max-width: 720px; margin: 2em auto; }
table { border-collapse: collapse; width: 100%; }
td, th { border-bottom: 1px solid #ccc; padding: 3px 6px; text-align: right; }
td:first-child, th:first-child, td:last-child, th:last-child {
  text-align: left; }
svg { display: block; margin: 8px 0; }
svg text { font: 11px sans-serif; }
.burn { fill: #2b6cb0; stroke: #2b6cb0; }
.latency_burn { fill: #d97706; stroke: #d97706; }
polyline { stroke-width: 1.5; }
polyline.burn, polyline.latency_burn { fill: none; }
.limit { stroke: #c53030; stroke-dasharray: 4 3; }
.axis { stroke: #666; }
.warning { background: #fff3cd; padding: 6px; }
</style></head><body>
<h1>Burn report</h1>
<p>{{ now | utc_time }}. Availability is shown in blue and latency in orange.
The dashed line is a burn rate of 1, at which the budget lasts exactly for its
period.</p>
{% if is_partial -%}
<p class="warning">Some routers did not respond; their counts since then are
missing.</p>
{% endif -%}
{% if malformed_lines -%}
<p class="warning">{{ malformed_lines }} malformed lines of recorded snapshots
were skipped.</p>
{% endif -%}
{% if not routers -%}
<p class="warning">No data: there are no snapshots of any router.</p>
{% endif -%}
{% macro frame(p, top, limit, is_clipped) -%}
<line class="axis" x1="{{ p.margin }}" x2="{{ p.width - p.margin }}"
 y1="{{ p.zero_y }}" y2="{{ p.zero_y }}"/>
<line class="limit" x1="{{ p.margin }}" x2="{{ p.width - p.margin }}"
 y1="{{ limit }}" y2="{{ limit }}"/>
<text x="4" y="{{ limit + 4 }}">burn 1</text>
<text x="4" y="{{ p.margin / 2 + 4 }}">{{ '%.3g' % top }}
{{- ' or more' if is_clipped }}</text>
{%- endmacro %}
{% for service in services %}
<h2>{{ service.service }}: {{ service.state }}</h2>
{% if service.objective -%}
<p>Objective: {{ service.objective.availability | percent }} successful,
{{ service.objective.latency_ratio | percent }} within
{{ '%g' % service.objective.latency_ms }} ms, counted at
{{ '%g ms' % service.objective.measured_ms
   if service.objective.measured_ms is not none else 'no bound: no data' }}.
Budget left{{ '' if service.budget.is_full else ' at most' }}:
availability {{ service.budget.availability_left | percent }},
latency {{ service.budget.latency_left | percent }};
covers {{ service.budget | coverage }}.</p>
{% set p = plots[service.service] -%}
<svg width="{{ p.width }}" height="{{ p.height }}" role="img"
 aria-label="burn rate by window">
{{ frame(p, p.bar_top, p.bar_limit_y, false) }}
{% for kind, bars in p.bars.items() %}{% for b in bars -%}
<rect class="{{ kind }}" x="{{ b.x }}" y="{{ b.y }}" width="{{ b.width }}"
 height="{{ b.height }}"/>
<text x="{{ b.x }}" y="{{ b.y - 4 }}">{{ b.label }}</text>
{% endfor %}{% endfor -%}
{% for b in p.bars.burn -%}
<text x="{{ b.x }}" y="{{ p.height - 6 }}">
{{- service.windows[loop.index0].window }}</text>
{% endfor -%}
</svg>
{% if service.timeline -%}
<svg width="{{ p.width }}" height="{{ p.height }}" role="img"
 aria-label="burn rate over time">
{{ frame(p, p.line_top, p.line_limit_y, p.is_clipped) }}
{% for kind, lines in p.lines.items() %}{% for line in lines -%}
{% if line | length == 1 -%}
<circle class="{{ kind }}" cx="{{ line[0][0] }}" cy="{{ line[0][1] }}" r="2"/>
{% else -%}
<polyline class="{{ kind }}" points="
{%- for x, y in line %}{{ x }},{{ y }} {% endfor %}"/>
{% endif -%}
{% endfor %}{% endfor -%}
<text x="{{ p.margin }}" y="{{ p.height - 6 }}">
{{- service.timeline[0].at | utc_time }}</text>
<text x="{{ p.width - p.margin }}" y="{{ p.height - 6 }}" text-anchor="end">
{{- service.timeline[-1].at | utc_time }}</text>
</svg>
{% endif -%}
{% else -%}
<p>No objective is declared.</p>
{% endif -%}
<table><tr><th>window</th><th>requests</th><th>failed</th><th>burn</th>
<th>slow</th><th>latency burn</th><th>unavailable keys</th><th>covers</th></tr>
{% for w in service.windows -%}
<tr><td>{{ w.window }}</td><td>{{ '%d' % w.requests }}</td>
<td>{{ '%d' % w.failed }}</td><td>{{ w.burn | rate }}</td>
<td>{{ '%d' % w.slow }}</td><td>{{ w.latency_burn | rate }}</td>
<td>{{ '%d' % w.unavailable_keys }}</td><td>{{ w | coverage }}</td></tr>
{% endfor -%}
</table>
{% set last = service.windows[-1] -%}
{% if last.failed -%}
<h3>Causes of failures, {{ last | coverage }}</h3>
<table><tr><th>code</th><th>requests</th><th>share of failures</th></tr>
{% for code, value in last.causes.items() if value -%}
<tr><td>{{ code }}</td><td>{{ '%d' % value }}</td>
<td>{{ (value / last.failed) | percent }}</td></tr>
{% endfor -%}
</table>
{% endif -%}
{% endfor -%}
{% if failure_domains -%}
<h2>Failure domains</h2>
<table><tr><th>name</th><th>now</th><th>moves</th></tr>
{% for domain in failure_domains -%}
<tr><td>{{ domain.failure_domain }}</td>
<td>{{ 'out' if domain.is_out else 'in' }}</td>
<td>{% for window, moves in domain.moves.items() if moves | counts -%}
{{ window }}: {{ moves | counts }}; {% endfor %}</td></tr>
{% endfor -%}
</table>
{% endif -%}
<h2>Routers</h2>
<table><tr><th>router</th><th>restarts</th><th>state</th></tr>
{% for router in routers -%}
<tr><td>{{ router.router }}</td><td>{{ router.restarts }}</td>
<td>{{ router.state }}{% if router.error %}: {{ router.error }}{% endif %}
</td></tr>
{% endfor -%}
</table>
{% for w in unattributed if w.causes -%}
<p>No service, {{ w.window }}: {{ w.causes | counts }}</p>
{% endfor -%}
</body></html>
"""


def _environment(autoescape):
    environment = jinja2.Environment(
        undefined=jinja2.StrictUndefined, autoescape=autoescape
    )
    for function in (duration, rate, percent, utc_time, counts, coverage):
        environment.filters[function.__name__] = function
    return environment


def to_text(report):
    """Return the report as text for a terminal."""
    return _environment(False).from_string(_TEXT_TEMPLATE).render(report)


def to_html(report):
    """Return the report as an HTML page without external references."""
    plots = {s['service']: service_plots(s) for s in report['services']}
    template = _environment(True).from_string(_HTML_TEMPLATE)
    return template.render(report, plots=plots)


class ReportDocument:
    """The result of `sillctl report`, rendered by `str()`."""

    __slots__ = ('_report', '_as_json')

    def __init__(self, report, as_json):
        self._report = report
        self._as_json = as_json

    def __str__(self):
        if self._as_json:
            document = {'command': 'report', **self._report}
            return json.dumps(document, indent=2)
        return to_text(self._report)
