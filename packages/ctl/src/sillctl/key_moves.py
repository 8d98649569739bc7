"""Predicts the share of keys that change owner with a new manifest.

With an ownership table, the placement method of the service plans the moves
from the current owners. Without a table, or if the shards are renumbered, the
share is an estimate: owners are computed for both manifests by weighted
rendezvous hashing over the eligible upstreams.
"""

import importlib
import math
import random

from bramleysill_kernel.common.hashing import rendezvous_score
from bramleysill_kernel.config.manifest import KIND_KEYED
from bramleysill_kernel.units.ownership import NO_OWNER
from bramleysill_kernel.units.ownership import KeySpace
from sillctl.ownership_view import is_current

SAMPLE_COUNT = 4096
RANDOM_SEED = 1
# Number of bits of a hash that a float represents exactly.
FLOAT_EXACT_BITS = 53
HASH_BITS = 64
DEFAULT_PARTITION = 'default'
METHOD_ESTIMATE = 'estimate'
PLACEMENT_MODULE = 'bramleysill_kernel.units.placement'


def find_placement(name):
    """Return a placement method; None if the kernel has no such module."""
    try:
        module = importlib.import_module(PLACEMENT_MODULE)
    except ModuleNotFoundError:
        return None
    return module.placements.get(name)


def _eligible_upstreams(manifest, service, partition):
    names = manifest.eligible(service.name)
    if partition.eligible:
        names = [n for n in names if n in partition.eligible]
    return tuple(names)


def _weighted_score(upstream, item):
    """Return weight / -ln(u), where u is the score scaled into (0, 1)."""
    score = rendezvous_score(upstream.name, item) >> (
        HASH_BITS - FLOAT_EXACT_BITS
    )
    return upstream.weight / -math.log((score + 0.5) / (1 << FLOAT_EXACT_BITS))


def _partition_owners(manifest, service, partition):
    names = _eligible_upstreams(manifest, service, partition)
    upstreams = [manifest.upstreams[n] for n in names]
    owners = []
    for shard in range(partition.shard_count):
        scores = {
            u.name: _weighted_score(u, f'{partition.name}/{shard}')
            for u in upstreams
        }
        owners.append(max(scores, key=scores.get, default=NO_OWNER))
    return owners


def _owners_by_partition(manifest, service):
    """Return lists of the owners of the shards, by name of partition."""
    return {
        partition.name: _partition_owners(manifest, service, partition)
        for partition in KeySpace(service).partitions
    }


def _moved_share(before, after):
    """Return the share of a partition's keys that change owner.

    With equal numbers of shards, the share is exact. Otherwise it is taken
    from a fixed sample of hashes.
    """
    if len(before) == len(after):
        hashes = range(len(before))
    else:
        rng = random.Random(RANDOM_SEED)
        hashes = [rng.getrandbits(HASH_BITS) for _ in range(SAMPLE_COUNT)]
    moved = sum(
        before[h % len(before)] != after[h % len(after)] for h in hashes
    )
    return moved / len(hashes)


def _is_renumbered(old, new, name):
    """Return whether a shard number refers to other keys than before."""
    layouts = [
        [
            (p.first_key, p.end_key, p.first_shard, p.shard_count)
            for p in space.partitions
        ]
        for space in (KeySpace(m.services[name]) for m in (old, new))
    ]
    return layouts[0] != layouts[1]


def _estimated_shares(old, new, name):
    """Return the moved share by partition, from computed owners.

    A new partition is compared with the default partition of the old manifest.
    """
    before = _owners_by_partition(old, old.services[name])
    after = _owners_by_partition(new, new.services[name])
    return {
        partition: _moved_share(
            before.get(partition, before[DEFAULT_PARTITION]), owners
        )
        for partition, owners in after.items()
    }


def _planned_shares(plan, new, name, table):
    """Return the moved share by partition, planned from current owners."""
    service = new.services[name]
    space = KeySpace(service)
    eligible = {
        p.name: _eligible_upstreams(new, service, p) for p in space.partitions
    }
    units_by_owner, eligible_by_unit, partition_by_unit = {}, {}, {}
    for shard, assignment in enumerate(table.shards):
        unit = str(shard)
        partition_by_unit[unit] = space.partition_of_shard(shard).name
        eligible_by_unit[unit] = eligible[partition_by_unit[unit]]
        units_by_owner.setdefault(assignment.owner, []).append(unit)
    moves = plan(
        units_by_owner=units_by_owner,
        eligible_by_unit=eligible_by_unit,
        weights={u.name: u.weight for u in service.upstreams},
        loads={},
        max_moves=len(partition_by_unit),
        rng=random.Random(RANDOM_SEED),
    )
    moved = [partition_by_unit[m.unit] for m in moves]
    return {
        p.name: moved.count(p.name) / p.shard_count for p in space.partitions
    }


def _service_moves(old, new, name, table):
    service = new.services[name]
    space = KeySpace(service)
    is_renumbered = _is_renumbered(old, new, name)
    plan = find_placement(service.placement)
    has_table = table is not None and is_current(table, service)
    if plan and has_table and not is_renumbered:
        method = service.placement
        shares = _planned_shares(plan, new, name, table)
    else:
        method = METHOD_ESTIMATE
        shares = _estimated_shares(old, new, name)
    moved = sum(shares[p.name] * p.shard_count for p in space.partitions)
    return {
        'share': moved / space.shard_count,
        'partitions': shares,
        'method': method,
        'is_renumbered': is_renumbered,
    }


def predict_moves(old, new, tables):
    """Return the predicted moves of each keyed service of both manifests.

    `tables` maps service names to the current ownership tables. Partitions
    are weighted by their number of shards, since the number of keys in each
    is not known here.
    """
    return {
        name: _service_moves(old, new, name, tables.get(name))
        for name, service in new.services.items()
        if service.kind == KIND_KEYED
        and name in old.services
        and old.services[name].kind == KIND_KEYED
    }
