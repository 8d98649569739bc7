"""What changes between two manifests."""

import dataclasses

# Lists of a service that are sections of their own in the sheet.
_PARTS = ('routes', 'ranges', 'singles', 'upstreams', 'objective')


def _fields(item, without=()):
    return {
        f.name: getattr(item, f.name)
        for f in dataclasses.fields(item)
        if f.name not in without
    }


def _sections(manifest):
    """Return the options of each section by its header."""
    if manifest is None:
        return {}
    found = {'manifest': {'region': manifest.region, 'cell': manifest.cell}}
    for domain in manifest.failure_domains.values():
        found[f'failure_domain {domain.name}'] = _fields(domain)
    for upstream in manifest.upstreams.values():
        found[f'upstream {upstream.name}'] = _fields(upstream)
    for service in manifest.services.values():
        found[f'service {service.name}'] = _fields(service, _PARTS)
        found.update(_service_parts(service))
    return found


def _service_parts(service):
    found = {}
    for route in service.routes:
        found[f'route {service.name} {route.name}'] = _fields(route)
    for rng in service.ranges:
        found[f'range {service.name} {rng.name}'] = _fields(rng)
    for single in service.singles:
        found[f'key {service.name} {single.key}'] = _fields(single)
    if service.objective is not None:
        found[f'objective {service.name}'] = _fields(service.objective)
    return found


def _written(value):
    if isinstance(value, tuple):
        return ', '.join(value)
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    return str(value)


def difference(old, new):
    """Return what changes from one manifest to another.

    Either may be None. The result has the lists `added` and `removed` of
    section headers and `changed`, with `section`, `option`, `old`, `new`.
    """
    before, after = _sections(old), _sections(new)
    changed = []
    for title in sorted(before.keys() & after.keys()):
        for option, value in after[title].items():
            if value != before[title][option]:
                changed.append(
                    {
                        'section': title,
                        'option': option,
                        'old': _written(before[title][option]),
                        'new': _written(value),
                    }
                )
    return {
        'added': sorted(after.keys() - before.keys()),
        'removed': sorted(before.keys() - after.keys()),
        'changed': changed,
    }


def is_empty(found):
    """Tell whether a difference holds nothing."""
    return not any(found.values())
