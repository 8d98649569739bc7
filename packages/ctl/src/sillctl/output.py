"""Output of the commands, as text or as one JSON document."""

import json

import jinja2

_DIFFERENCE_MACRO = """\
{%- macro manifest_difference(difference) -%}
{%- for title in difference.added %}
+ [{{ title }}]
{%- endfor %}
{%- for title in difference.removed %}
- [{{ title }}]
{%- endfor %}
{%- for item in difference.changed %}
~ [{{ item.section }}] {{ item.option }}: {{ item.old }} -> {{ item.new }}
{%- endfor %}
{%- endmacro -%}
"""

_MOVES_MACRO = """\
{%- macro key_moves(moves) -%}
{%- for service, move in moves.items() %}
{{ service }}: about {{ '%.1f' % (move.share * 100) }}% of the keys would \
move ({{ move.method }})
{%- if move.is_renumbered %}
{{ service }}: its shards are renumbered, so any unit may get other keys
{%- endif %}
{%- endfor %}
{%- endmacro -%}
"""

_TEMPLATES = {
    'check': """\
{{ file }}: valid; region {{ region }}, cell {{ cell }}, \
{{ failure_domains }} failure domains, {{ services }} services, \
{{ upstreams }} upstreams""",
    'diff': """\
{{ file }} compared with version {{ version }} by {{ author }}
{%- if store_error %}
The stored manifest is invalid: {{ store_error }}
{%- endif %}
{%- if is_equal %}
No differences.
{%- endif %}
{{- manifest_difference(difference) }}
{{- key_moves(moves) }}""",
    'apply': """\
{% if is_written -%}
{{ file }} was written as version {{ version }}, write id {{ write_id }}
{%- else -%}
{{ file }} is identical to version {{ version }}; nothing was written
{%- endif %}
{{- manifest_difference(difference) }}
{{- key_moves(moves) }}""",
    'drain': """\
{{ kind }} {{ name }} {{ 'is drained' if is_changed else 'was already drained'\
 }}; drains are at version {{ version }}""",
    'restore': """\
{{ kind }} {{ name }} \
{{ 'is restored' if is_changed else 'was not drained by sillctl' }}; \
drains are at version {{ version }}
{%- if drained_by %}
It is still drained by {{ drained_by }}
{%- endif %}""",
    'owner': """\
owner  {{ owner or 'none; requests are refused with owner_lost' }}
fence  {{ fence }}
unit   {{ unit }}
reason {{ reason }}
{%- if drained_by %}
drained by {{ drained_by }}; its units are being moved
{%- endif %}
table  version {{ table_version }}, term {{ term }}
{%- if not is_current %}
The table is older than the manifest; the owner may change soon.
{%- endif %}""",
    'explain': """\
router   {{ router }}, failure domain {{ failure_domain }}, \
configuration {{ 'none' if config is none else config }}, policy {{ policy }}
route    {% if route -%}
{{ route.name }}: {{ route.host }}{{ route.prefix }}, \
priority {{ route.priority }}, {{ route.repeatability }}, \
objective {{ route.objective }} s, longest wait {{ route.max_wait }} s
{%- else %}none{% endif %}
{%- if refusal %}
refused  {{ refusal }}
{%- endif %}
{%- for service in services %}
service  {{ service.service }}, weight {{ service.weight }}, \
{% if not service.keyed -%}
shared
{%- elif service.key is none -%}
divided by key
{%- else -%}
key {{ service.key }}, owner {{ service.owner or 'none' }}, \
fence {{ service.fence }}
{%- endif %}
  {{ service.outcome }}
{%- if service.upstream is defined %} {{ service.upstream }}: \
expected {{ service.expected_seconds }} s, \
allowed {{ service.allowed_seconds }} s{% endif %}
{%- if service.reason %} ({{ service.reason }}){% endif %}
{%- if service.get('retry_after') %}, \
again in {{ service.retry_after }} s{% endif %}
{%- for c in service.get('candidates', []) %}
  {{ c.upstream }}  {{ c.state }}, \
{% if c.share is defined %}{{ '%.0f' % (c.share * 100) }}% of choices, \
{% endif %}{{ c.failure_domain }}, \
{{ c.expected_requests }} requests for {{ c.slots }} slots \
({{ c.own_requests }} own), slowdown {{ c.slowdown }}, \
{% if c.report_age is none %}no report{% else -%}
report {{ c.report_age }} s old{% endif %}
{%- if c.limit is not none %}, limit {{ c.limit }}/s{% endif %}
{%- endfor %}
{%- endfor %}""",
    'status': """\
store     {{ store }}
manifest  {% if manifest.version -%}
version {{ manifest.version }} by {{ manifest.author }}, \
region {{ manifest.region }}, cell {{ manifest.cell }}
{%- else %}none{% endif %}
{%- if manifest.error %}
          invalid: {{ manifest.error }}
{%- endif %}
leader    {% if leader -%}
{{ leader.holder }}, term {{ leader.term }}, \
candidates {{ leader.candidates | join(', ') }}
{%- else %}none recorded{% endif %}
lease     {% if lease -%}
held{% if lease.value %} by {{ lease.value }}{% endif %}
{%- else %}not held{% endif %}
{%- for service, table in tables.items() %}
table     {{ service }}: {% if not table -%}
none
{%- elif table.error -%}
{{ table.error }}
{%- else -%}
version {{ table.version }}, term {{ table.term }}, {{ table.units }} units, \
imbalance {{ 'unknown' if table.imbalance is none else table.imbalance }}, \
{{ table.without_owner }} without owner, \
{{ table.on_drained }} on drained upstreams
{%- endif %}
{%- endfor %}
drains    {% if drains.failure_domains or drains.upstreams -%}
version {{ drains.version }}
{%- for name in drains.failure_domains %}
          failure_domain {{ name }}
{%- endfor %}
{%- for name in drains.upstreams %}
          upstream {{ name }}
{%- endfor %}
{%- else %}none{% endif %}
{%- if router is not none %}
router    {{ router | tojson(indent=2) }}
{%- endif %}""",
}

_ENVIRONMENT = jinja2.Environment(
    undefined=jinja2.StrictUndefined, autoescape=False
)


class Document:
    """The result of a command, rendered by `str()`."""

    __slots__ = ('_command', '_fields', '_as_json')

    def __init__(self, command, fields, as_json):
        self._command = command
        self._fields = fields
        self._as_json = as_json

    def __str__(self):
        if self._as_json:
            return to_json(self._command, self._fields)
        source = _DIFFERENCE_MACRO + _MOVES_MACRO + _TEMPLATES[self._command]
        return _ENVIRONMENT.from_string(source).render(self._fields)


def to_json(command, fields):
    """Return the result of a command as a JSON document."""
    return json.dumps({'command': command, **fields}, indent=2, default=str)


def error_fields(exc):
    """Return the fields of an error in a JSON document."""
    fields = {
        'code': exc.code,
        'message': exc.message,
        'step': exc.step,
        'peer': exc.peer,
        'hint': exc.hint,
    }
    for problem in getattr(exc, 'problems', ()):
        fields.setdefault('problems', []).append(
            {
                'file': problem.file,
                'line': problem.line,
                'what': problem.what,
                'write': problem.write,
            }
        )
    for name in ('version', 'expected', 'winner', 'difference'):
        if hasattr(exc, name):
            fields[name] = getattr(exc, name)
    return fields


def error_text(exc):
    """Return the text of an error, with its hint."""
    lines = [str(problem) for problem in getattr(exc, 'problems', ())]
    lines.append(str(exc))
    if hasattr(exc, 'difference'):
        source = _DIFFERENCE_MACRO + '{{ manifest_difference(difference) }}'
        template = _ENVIRONMENT.from_string(source)
        lines.append('Changes that your file makes to the current version:')
        text = template.render(difference=exc.difference).strip()
        lines.append(text or 'None.')
    return '\n'.join([*lines, exc.hint])
