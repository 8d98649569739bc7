"""Checks across the sections of a manifest, one function per rule.

A check takes a ParsedManifest and adds the problems that it finds to it.
Options whose text could not be parsed are missing from a section's values.
A check therefore looks only at the values that are present, so that it does
not report the consequence of another problem.
"""

import dataclasses

from bramleysill_kernel.common.registry import Registry
from bramleysill_kernel.config import manifest_options
from bramleysill_kernel.config.ini_reader import Problem
from bramleysill_kernel.config.ini_reader import closest_match
from bramleysill_kernel.config.ini_reader import quote
from bramleysill_kernel.config.manifest import KIND_KEYED
from bramleysill_kernel.config.manifest_options import section_kinds

manifest_checks = Registry('manifest check')

# Name of the partition of the keys that no range covers.
DEFAULT_PARTITION = 'default'


@dataclasses.dataclass(slots=True)
class ManifestSection:
    """A section with its parsed values.

    `lines` maps the options that are present in the text to their lines.
    """

    kind: str
    names: tuple
    line: int
    values: dict
    lines: dict

    @property
    def title(self):
        """Return the header without its brackets."""
        return ' '.join((self.kind, *self.names))

    @property
    def service(self):
        """Return the name of the section's service, or None."""
        if self.kind == 'upstream':
            return self.values.get('service')
        return self.names[0] if self.names else None

    def line_of(self, option):
        """Return the line of an option, or of the header if it is not set."""
        return self.lines.get(option, self.line)


class ParsedManifest:
    """The parsed sections of a manifest and the problems found so far."""

    __slots__ = ('file', 'sections', 'problems')

    def __init__(self, file, problems):
        self.file = file
        self.sections = []
        self.problems = problems

    def add_problem(self, line, what, write):
        """Add a problem, with the correction to `write`."""
        self.problems.append(Problem(self.file, line, what, write))

    def sections_of(self, kind, service=None):
        """Return the sections of a kind, optionally of one service."""
        return [
            s
            for s in self.sections
            if s.kind == kind and service in (None, s.service)
        ]

    def sections_by_name(self, kind):
        """Return the sections of a kind, by name."""
        return {s.names[0]: s for s in self.sections_of(kind) if s.names}


@manifest_checks.register('sections_present')
def _check_sections_present(parsed):
    if not parsed.sections_of('manifest'):
        parsed.add_problem(
            1, 'section [manifest] is missing', 'add it with `region`'
        )
    if not parsed.sections_of('service'):
        parsed.add_problem(
            1, 'no service is declared', 'write a section `[service NAME]`'
        )


def _check_reference(parsed, known, kind, name, line):
    if name in known:
        return
    near = closest_match(name, known)
    write = f'write `{near}`, or ' if near else ''
    parsed.add_problem(
        line,
        f'{kind} {quote(name)} is not declared',
        f'{write}add a section `[{kind} {name}]`',
    )


def _references(section):
    """Yield the kind, name and line of each section referred to."""
    kind = section_kinds.get(section.kind)
    for part, name in zip(kind.names, section.names, strict=True):
        if part == 'service':
            yield part, name, section.line
    for option in kind.options:
        if option.references and option.name in section.values:
            value = section.values[option.name]
            names = value if isinstance(value, tuple) else (value,)
            for name in names:
                yield option.references, name, section.line_of(option.name)


@manifest_checks.register('references')
def _check_references(parsed):
    known = {
        kind: parsed.sections_by_name(kind) for kind in section_kinds.names()
    }
    for section in parsed.sections:
        for kind, name, line in _references(section):
            _check_reference(parsed, known[kind], kind, name, line)


@manifest_checks.register('unused')
def _check_unused(parsed):
    upstreams = parsed.sections_of('upstream')
    used = {u.values.get('failure_domain') for u in upstreams}
    for name, section in parsed.sections_by_name('failure_domain').items():
        if name not in used and None not in used:
            parsed.add_problem(
                section.line,
                f'failure domain {quote(name)} has no upstream',
                'remove the section, or name it in an upstream',
            )
    served = {u.service for u in upstreams}
    for name, section in parsed.sections_by_name('service').items():
        if name not in served and None not in served:
            parsed.add_problem(
                section.line,
                f'service {quote(name)} has no upstream',
                f'add an upstream with `service = {name}`',
            )


def _check_unique(parsed, pairs, describe, write):
    """Report each value that an earlier section already uses."""
    seen = {}
    for section, option, value in pairs:
        first = seen.setdefault(value, section)
        if first is not section:
            parsed.add_problem(
                section.line_of(option),
                f'{describe(value)} is already used in [{first.title}] on '
                f'line {first.line_of(option)}',
                write,
            )


def _sections_with(parsed, kind, option):
    for section in parsed.sections_of(kind):
        if option in section.values:
            yield section, option, section.values[option]


@manifest_checks.register('unique_values')
def _check_unique_values(parsed):
    _check_unique(
        parsed,
        _sections_with(parsed, 'upstream', 'address'),
        lambda a: f'address {a[0]} port {a[1]}',
        'write the address of this upstream',
    )
    _check_unique(
        parsed,
        _sections_with(parsed, 'service', 'path'),
        lambda path: f'path `{path}`',
        'write another path prefix',
    )


@manifest_checks.register('unique_routes')
def _check_unique_routes(parsed):
    pairs = []
    for section in parsed.sections_of('route'):
        if 'suffix' in section.values:
            for method in section.values.get('methods', ()):
                value = (section.service, method, section.values['suffix'])
                pairs.append((section, 'methods', value))
    _check_unique(
        parsed,
        pairs,
        lambda v: f'method {v[1]} with suffix {quote(v[2])}',
        'write each method and suffix of a service in one route',
    )


@manifest_checks.register('slots')
def _check_slots(parsed):
    for section in parsed.sections_of('upstream'):
        slots = section.values.get('slots', 0)
        connections = section.values.get('connections', slots)
        if slots > connections:
            parsed.add_problem(
                section.line_of('connections'),
                f'{slots} slots exceed the {connections} connections',
                f'write `connections = {slots}` or more, or fewer slots',
            )


@manifest_checks.register('keyed_only')
def _check_keyed_only(parsed):
    services = parsed.sections_by_name('service')
    for section in parsed.sections_of('range') + parsed.sections_of('key'):
        service = services.get(section.service)
        if service is None or 'kind' not in service.values:
            continue
        if service.values['kind'] != KIND_KEYED:
            parsed.add_problem(
                section.line,
                f'service {quote(section.service)} is shared, so its keys '
                'have no owners',
                'remove the section, or write `kind = keyed` in the service',
            )


@manifest_checks.register('owners')
def _check_owners(parsed):
    upstreams = parsed.sections_by_name('upstream')
    for section in parsed.sections_of('range') + parsed.sections_of('key'):
        for name in section.values.get('upstreams', ()):
            upstream = upstreams.get(name)
            if upstream is None or upstream.service is None:
                continue
            if upstream.service != section.service:
                parsed.add_problem(
                    section.line_of('upstreams'),
                    f'upstream {quote(name)} belongs to service '
                    f'{quote(upstream.service)}',
                    f'write upstreams of service {quote(section.service)}',
                )


@manifest_checks.register('single_keys')
def _check_single_keys(parsed):
    services = parsed.sections_by_name('service')
    for section in parsed.sections_of('key'):
        service = services.get(section.service)
        if service is None or service.values.get('key') != 'path':
            continue
        if '/' in section.names[1]:
            parsed.add_problem(
                section.line,
                f'key {quote(section.names[1])} is more than one path segment',
                'write a key without `/`, as it appears in the path',
            )


def _range_bounds(section):
    """Return (first, last) of a range, or None if one is missing."""
    first = section.values.get('first')
    last = section.values.get('last')
    if first is None or last is None:
        return None
    return first, last


@manifest_checks.register('range_form')
def _check_range_form(parsed):
    for section in parsed.sections_of('range'):
        if section.names[1] == DEFAULT_PARTITION:
            parsed.add_problem(
                section.line,
                f'range name `{DEFAULT_PARTITION}` is reserved',
                'write another name',
            )
        bounds = _range_bounds(section)
        if bounds and bounds[1] and bounds[0] >= bounds[1]:
            parsed.add_problem(
                section.line_of('last'),
                f'last {quote(bounds[1])} is not after first '
                f'{quote(bounds[0])}',
                'write a `last` after `first`, or leave it empty',
            )


def _ranges_overlap(one, other):
    """Return whether two ranges overlap, given in order of first key."""
    return not one[1] or other[0] < one[1]


def _report_overlaps(parsed, ranges):
    widest = ranges[0]
    for section in ranges[1:]:
        if _ranges_overlap(_range_bounds(widest), _range_bounds(section)):
            parsed.add_problem(
                section.line_of('first'),
                f'range {quote(section.names[1])} overlaps range '
                f'{quote(widest.names[1])} on line {widest.line}',
                'write ranges in which each `first` is at or after the '
                '`last` of the preceding range',
            )
        end, widest_end = _range_bounds(section)[1], _range_bounds(widest)[1]
        if widest_end and (not end or end > widest_end):
            widest = section


@manifest_checks.register('range_overlap')
def _check_range_overlap(parsed):
    for service in parsed.sections_by_name('service'):
        ranges = [
            s for s in parsed.sections_of('range', service) if _range_bounds(s)
        ]
        ranges.sort(key=lambda s: (_range_bounds(s)[0], s.line))
        if ranges:
            _report_overlaps(parsed, ranges)


@manifest_checks.register('shard_count')
def _check_shard_count(parsed):
    limit = manifest_options.MAX_SHARDS_PER_SERVICE
    for name, section in parsed.sections_by_name('service').items():
        parts = [section, *parsed.sections_of('range', name)]
        total = sum(s.values.get('shards', 0) for s in parts)
        if total > limit and section.values.get('shards', 0) <= limit:
            parsed.add_problem(
                section.line_of('shards'),
                f'service {quote(name)} and its ranges have {total} shards',
                f'write shard counts with a sum of at most {limit}',
            )
