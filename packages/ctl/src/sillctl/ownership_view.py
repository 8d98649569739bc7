"""Views of the stored ownership tables: of one key and of a service."""

from bramleysill_kernel.common.exceptions import SillError
from bramleysill_kernel.common.exceptions import StoreError
from bramleysill_kernel.config.manifest import KIND_KEYED
from bramleysill_kernel.units.ownership import NO_OWNER
from bramleysill_kernel.units.ownership import SINGLE_KEY_PREFIX
from bramleysill_kernel.units.ownership import KeySpace
from bramleysill_kernel.units.ownership import OwnershipTable
from sillctl.exceptions import NotFound

# Number of a block of shards in the store key of its table. A service has a
# single block, since docs/manifest.md limits its shards.
TABLE_BLOCK = 0


def table_key(cell, service):
    """Return the store key of a service's ownership table."""
    return f'cell/{cell}/table/{service}/{TABLE_BLOCK}'


def load_table(store, cell, service):
    """Return a service's ownership table, or None if there is none.

    Raises StoreError if the value is malformed.
    """
    key = table_key(cell, service)
    value = store.read(key)
    if not value.version:
        return None
    try:
        return OwnershipTable.decode(value.data, value.version)
    except SillError as exc:
        raise StoreError(exc.message, 'decode', key) from exc


def key_space_of(table, service):
    """Return the key space for which the owners of a table were assigned.

    A table that stores its layout may be older than the manifest; keys are
    then looked up in the layout of the table.
    """
    layout = getattr(table, 'layout', None)
    if layout:
        return KeySpace.from_layout(service.name, layout)
    return KeySpace(service)


def is_current(table, service):
    """Return whether a table has the shards that its service declares."""
    layouts = [
        [
            (p.first_key, p.end_key, p.first_shard, p.shard_count)
            for p in space.partitions
        ]
        for space in (key_space_of(table, service), KeySpace(service))
    ]
    count = KeySpace(service).shard_count
    return layouts[0] == layouts[1] and len(table.shards) == count


def keyed_service(manifest, name):
    """Return a keyed service by name; raises NotFound."""
    service = manifest.services.get(name)
    if service is None:
        known = ', '.join(manifest.services)
        raise NotFound(
            f'no service {name!r}; known services: {known}', 'owner'
        )
    if service.kind != KIND_KEYED:
        raise NotFound(
            f'service {name} is shared, so its keys have no owners', 'owner'
        )
    return service


def drained_by(manifest, drains, name):
    """Return why an upstream is drained, or an empty string.

    `manifest` must not have the stored drains applied.
    """
    upstream = manifest.upstreams.get(name)
    if upstream is None:
        return 'the manifest does not declare it'
    domain = manifest.failure_domains[upstream.failure_domain]
    causes = (
        (upstream.drained, f'upstream {name} in the manifest'),
        (domain.drained, f'failure domain {domain.name} in the manifest'),
        (name in drains.upstreams, f'upstream {name} by sillctl drain'),
        (
            domain.name in drains.failure_domains,
            f'failure domain {domain.name} by sillctl drain',
        ),
    )
    return ', '.join(text for applies, text in causes if applies)


def _assignment_reason(service, space, unit, key):
    """Return the rule that assigns a key to its unit, as text."""
    partition = space.partition_of(key)
    if not unit.startswith(SINGLE_KEY_PREFIX):
        if partition.name == space.partitions[-1].name:
            return 'default partition, which no range covers'
        bounds = f'from {partition.first_key!r} to {partition.end_key!r}'
        return f'range {partition.name} ({bounds}; empty is unbounded)'
    if any(single.key == key for single in service.singles):
        return 'single key that the manifest declares'
    return 'hot key with its own entry in the table'


def owner_of(manifest, drains, table, service, key):
    """Return a key's owner, and how it is assigned, as a dict."""
    space = key_space_of(table, service)
    unit = table.unit_of(space, key)
    assignment = table.get(unit)
    if assignment is None:
        raise NotFound(
            f'the table has no unit {unit}: it is older than the manifest',
            'owner',
            service.name,
            'Wait until the coordinator has updated the table, then retry.',
        )
    has_owner = assignment.owner != NO_OWNER
    return {
        'service': service.name,
        'key': key,
        'unit': unit,
        'owner': assignment.owner,
        'fence': assignment.fence,
        'partition': space.partition_of(key).name,
        'reason': _assignment_reason(service, space, unit, key),
        'drained_by': (
            drained_by(manifest, drains, assignment.owner) if has_owner else ''
        ),
        'table_version': table.version,
        'term': table.term,
        'is_current': is_current(table, service),
    }


def _units_by_owner(table, service):
    """Return the number of units by owner, NO_OWNER included."""
    counts = {u.name: 0 for u in service.upstreams}
    for _, assignment in table.units():
        counts[assignment.owner] = counts.get(assignment.owner, 0) + 1
    return counts


def _imbalance(manifest, names, counts):
    """Return the highest units-to-weight ratio divided by the mean."""
    weights = [manifest.upstreams[n].weight for n in names]
    total = sum(counts[n] for n in names)
    if not total:
        return None
    mean = total / sum(weights)
    ratios = [counts[n] / w for n, w in zip(names, weights, strict=True)]
    return round(max(ratios) / mean, 3)


def table_summary(manifest, table, service):
    """Return the version and the distribution of units of a table.

    `manifest` must have the drains applied. `imbalance` is the highest ratio
    of units to weight among the eligible upstreams, divided by the mean; 1 is
    an even distribution.
    """
    counts = _units_by_owner(table, service)
    without_owner = counts.pop(NO_OWNER, 0)
    eligible = manifest.eligible(service.name)
    on_drained = sum(n for name, n in counts.items() if name not in eligible)
    return {
        'version': table.version,
        'term': table.term,
        'units': sum(counts.values()) + without_owner,
        'without_owner': without_owner,
        'on_drained': on_drained,
        'imbalance': _imbalance(manifest, eligible, counts),
        'error': '',
    }


def _keyed_services(manifest):
    services = manifest.services.values()
    return [s for s in services if s.kind == KIND_KEYED]


def load_tables(store, manifest):
    """Return the existing ownership tables, by name of keyed service."""
    tables = {
        s.name: load_table(store, manifest.cell, s.name)
        for s in _keyed_services(manifest)
    }
    return {name: table for name, table in tables.items() if table}


def table_summaries(store, manifest):
    """Return a summary of each ownership table, by name of keyed service."""
    summaries = {}
    for service in _keyed_services(manifest):
        try:
            table = load_table(store, manifest.cell, service.name)
        except StoreError as exc:
            summaries[service.name] = {'error': str(exc)}
            continue
        summaries[service.name] = (
            table_summary(manifest, table, service) if table else None
        )
    return summaries
