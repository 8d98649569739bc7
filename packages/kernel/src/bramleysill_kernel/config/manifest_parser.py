"""Parses the INI text of a manifest.

All problems of the text are reported at once::

    try:
        manifest = parse_manifest(text, 'hsinchu.ini')
    except ManifestError as exc:
        for problem in exc.problems:
            print(problem)
"""

from bramleysill_kernel.common.exceptions import ManifestError
from bramleysill_kernel.common.registry import Registry
from bramleysill_kernel.config import manifest
from bramleysill_kernel.config import manifest_options
from bramleysill_kernel.config.ini_reader import Problem
from bramleysill_kernel.config.ini_reader import closest_match
from bramleysill_kernel.config.ini_reader import quote
from bramleysill_kernel.config.ini_reader import read_ini
from bramleysill_kernel.config.manifest_checks import ManifestSection
from bramleysill_kernel.config.manifest_checks import ParsedManifest
from bramleysill_kernel.config.manifest_checks import manifest_checks
from bramleysill_kernel.config.manifest_options import section_kinds
from bramleysill_kernel.config.manifest_values import NAME_PATTERN
from bramleysill_kernel.config.manifest_values import SAFE_METHODS
from bramleysill_kernel.config.manifest_values import OptionValueError
from bramleysill_kernel.config.manifest_values import format_value
from bramleysill_kernel.config.manifest_values import parse_value

__all__ = ('Problem', 'options_table', 'parse_manifest', 'option_texts')

PERCENT = 100.0

_builders = Registry('section builder')


def _check_header(parsed, section):
    """Return the SectionKind of a section, or None if it is not valid."""
    if section.kind not in section_kinds.names():
        near = closest_match(section.kind, section_kinds.names())
        known = ', '.join(section_kinds.names())
        write = f'write `{near}`' if near else f'write one of: {known}'
        parsed.add_problem(
            section.line, f'section {quote(section.kind)} is unknown', write
        )
        return None
    kind = section_kinds.get(section.kind)
    if len(section.names) != len(kind.names):
        parsed.add_problem(
            section.line,
            f'section [{section.title}] has {len(section.names)} names',
            f'write `{kind.header}`',
        )
        return None
    return kind


def _check_names(parsed, section, kind):
    for part, name in zip(kind.names, section.names, strict=True):
        if part == 'name' and not NAME_PATTERN.fullmatch(name):
            parsed.add_problem(
                section.line,
                f'{quote(name)} is not a valid name',
                'write 1 to 64 characters of A-Z a-z 0-9 _ . -',
            )


def _check_unknown_options(parsed, section, kind):
    known = [option.name for option in kind.options]
    for name, option in section.options.items():
        if name in known:
            continue
        near = closest_match(name, known)
        write = (
            f'write `{near}`' if near else f'write one of: {", ".join(known)}'
        )
        parsed.add_problem(
            option.line,
            f'option {quote(name)} is unknown in [{section.title}]',
            write,
        )


def _option_value(parsed, section, option):
    """Return an option's parsed value or its default.

    Raises OptionValueError if the text is invalid, or missing although the
    option is required.
    """
    written = section.options.get(option.name)
    if written is not None:
        return parse_value(written.value, option)
    if option.required:
        raise OptionValueError(
            f'[{section.title}] has no option `{option.name}`',
            f'write `{option.name} = ...`: {option.description}',
        )
    return option.default


def _convert_section(parsed, section, kind):
    converted = ManifestSection(
        section.kind, section.names, section.line, {}, {}
    )
    for name, option in section.options.items():
        converted.lines[name] = option.line
    for option in kind.options:
        try:
            value = _option_value(parsed, section, option)
        except OptionValueError as exc:
            parsed.add_problem(
                converted.line_of(option.name), exc.what, exc.write
            )
        else:
            converted.values[option.name] = value
    return converted


def _parse_section(parsed, section):
    kind = _check_header(parsed, section)
    if kind is None:
        return
    _check_names(parsed, section, kind)
    _check_unknown_options(parsed, section, kind)
    converted = _convert_section(parsed, section, kind)
    if not section.duplicate:
        parsed.sections.append(converted)


def _check_size(parsed, text):
    size = len(text.encode(errors='replace'))
    limit = manifest_options.MAX_TEXT_BYTES
    if size > limit:
        parsed.add_problem(
            1,
            f'the manifest has {size} bytes, more than the store accepts',
            f'write at most {limit} bytes; remove comments or split the cell',
        )


@_builders.register('failure_domain')
def _build_failure_domain(result, section):
    domain = manifest.FailureDomain(section.names[0], **section.values)
    result.failure_domains[domain.name] = domain


@_builders.register('service')
def _build_service(result, section):
    values = dict(section.values)
    values['authority'] = values['authority'] == 'checked'
    values['settle'] = values.pop('settle_s')
    timeout_ms = values.pop('timeout_ms')
    values['timeout'] = timeout_ms / manifest_options.MS_PER_SECOND
    service = manifest.Service(section.names[0], **values)
    result.services[service.name] = service


@_builders.register('upstream')
def _build_upstream(result, section):
    values = dict(section.values)
    host, port = values.pop('address')
    upstream = manifest.Upstream(
        section.names[0], host=host, port=port, **values
    )
    result.upstreams[upstream.name] = upstream
    result.services[upstream.service].upstreams.append(upstream)


@_builders.register('route')
def _build_route(result, section):
    service, name = section.names
    values = dict(section.values)
    if values['repeatable'] is None:
        safe = set(values['methods']) <= set(SAFE_METHODS)
        values['repeatable'] = safe
    route = manifest.Route(name, service, **values)
    result.services[service].routes.append(route)


@_builders.register('objective')
def _build_objective(result, section):
    result.services[section.service].objective = manifest.Objective(
        section.service,
        section.values['availability'] / PERCENT,
        section.values['latency_ms'],
        section.values['latency_percentile'] / PERCENT,
    )


@_builders.register('range')
def _build_range(result, section):
    service, name = section.names
    rng = manifest.KeyRange(name, service, **section.values)
    result.services[service].ranges.append(rng)


@_builders.register('key')
def _build_key(result, section):
    service, key = section.names
    single = manifest.SingleKey(service, key, section.values['upstreams'])
    result.services[service].singles.append(single)


def _build_manifest(parsed, version, text):
    head = parsed.sections_of('manifest')[0].values
    result = manifest.Manifest(
        head['region'],
        head['cell'] or head['region'],
        version=version,
        text=text,
    )
    # Services are built before the sections that refer to them, whatever the
    # order of the text.
    order = ('failure_domain', 'service', 'upstream', 'route', 'objective')
    for kind in (*order, 'range', 'key'):
        for section in parsed.sections_of(kind):
            _builders.get(kind)(result, section)
    return result


def _parse_sections(text, file):
    """Return the ParsedManifest of a text; raises ManifestError."""
    sections, problems = read_ini(text, file)
    parsed = ParsedManifest(file, problems)
    _check_size(parsed, text)
    for section in sections:
        _parse_section(parsed, section)
    for name in manifest_checks.names():
        manifest_checks.get(name)(parsed)
    if parsed.problems:
        parsed.problems.sort(key=lambda p: p.line)
        raise ManifestError(parsed.problems, file)
    return parsed


def parse_manifest(text, file='manifest.ini', version=0):
    """Return the Manifest of an INI text.

    `file` is the name in messages, `version` the store's version of the text.
    Raises ManifestError with all problems, in order of their lines.
    """
    return _build_manifest(_parse_sections(text, file), version, text)


def option_texts(text, file='manifest.ini'):
    """Return the text of each option by name, by section header.

    Omitted options have the text of their default. Raises ManifestError.
    """
    return {
        section.title: {
            option.name: format_value(section.values[option.name], option)
            for option in section_kinds.get(section.kind).options
        }
        for section in _parse_sections(text, file).sections
    }


def options_table():
    """Return the documentation of all sections and options in Markdown."""
    lines = []
    for name in section_kinds.names():
        kind = section_kinds.get(name)
        lines += [f'### `{kind.header}`', '', kind.description, '']
        lines += ['| option | type | default | unit | limits | meaning |']
        lines += ['|---|---|---|---|---|---|']
        lines += [_option_row(option) for option in kind.options] + ['']
    return '\n'.join(lines)


def _option_row(option):
    limits = ' or '.join(option.choices)
    if option.high:
        limits = f'{option.low:,} to {option.high:,}'
    default = (
        'required' if option.required else format_value(option.default, option)
    )
    if option.default is None:
        default = 'by method'
    cells = (
        f'`{option.name}`',
        option.type,
        default or 'empty',
        option.unit,
        limits,
        option.description,
    )
    return f'| {" | ".join(cells)} |'
