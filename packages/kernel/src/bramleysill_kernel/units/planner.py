"""Planning of unit owners from the manifest and the usable upstreams."""

from bramleysill_kernel.units import losses as losses_module
from bramleysill_kernel.units import ownership
from bramleysill_kernel.units import placement

# Maximum number of balancing moves in one plan, over all upstreams.
MAX_BALANCING_MOVES = 64


class Planner:
    """Plans the moves of units under one manifest.

    `drained` is the set of upstreams that receive no new work.
    """

    __slots__ = ('manifest', 'drained', '_losses', '_rng', '_spaces')

    def __init__(self, manifest, drained, losses, rng):
        self.manifest = manifest
        self.drained = drained
        self._losses = losses
        self._rng = rng
        self._spaces = {}

    def make_table(self, service_name):
        """Return a new table in which every unit has an initial owner."""
        service = self.manifest.services[service_name]
        space = ownership.KeySpace(service)
        table = ownership.OwnershipTable(service_name, space.shard_count)
        table.layout = space.layout()
        for single in service.singles:
            unit = ownership.SINGLE_KEY_PREFIX + single.key
            table.put(unit, ownership.Assignment())
        units = [unit for unit, _ in table.units()]
        eligible = self.eligible(service, table)
        owners = placement.initial_owners(
            units, eligible, self._weights(service), self._rng
        )
        for unit in units:
            table.assign(unit, owners.get(unit, ownership.NO_OWNER))
        return table

    def layout(self, service_name):
        """Return the layout that the manifest declares for a service."""
        return ownership.KeySpace(
            self.manifest.services[service_name]
        ).layout()

    def space(self, table):
        """Return the key space of the layout that a table was stored with."""
        cached = self._spaces.get(table.service)
        if cached is None or cached[0] != table.layout:
            space = ownership.KeySpace.from_layout(table.service, table.layout)
            cached = self._spaces[table.service] = (table.layout, space)
        return cached[1]

    def usable(self, upstream):
        """Return whether units may be assigned to an upstream."""
        return upstream not in self.drained and self._losses.usable(upstream)

    def eligible(self, service, table):
        """Return a dict of each unit to the tuple of its usable upstreams."""
        usable = self._usable_of([u.name for u in service.upstreams])
        ranges = {
            r.name: self._usable_of(r.upstreams) if r.upstreams else usable
            for r in service.ranges
        }
        eligible = {}
        for part in self.space(table).partitions:
            names = ranges.get(part.name, usable)
            for shard in range(
                part.first_shard, part.first_shard + part.shard_count
            ):
                eligible[str(shard)] = names
        singles = {
            s.key: self._usable_of(s.upstreams) for s in service.singles
        }
        for key in table.singles:
            unit = ownership.SINGLE_KEY_PREFIX + key
            part = self.space(table).partition_of(key)
            names = ranges.get(part.name, usable)
            eligible[unit] = singles.get(key, names)
        return eligible

    def _usable_of(self, names):
        return tuple(n for n in names if self.usable(n))

    def _weights(self, service):
        return {u.name: u.weight for u in service.upstreams}

    def plan(self, table, moving):
        """Return the moves to start for a table.

        `moving` maps units that are already being moved to their targets.
        Units of an upstream that is being probed or suspended keep their
        owner until it is known whether the upstream is lost.
        """
        service = self.manifest.services[table.service]
        eligible = self.eligible(service, table)
        by_owner = {}
        for unit, assignment in table.units():
            owner = assignment.owner
            if unit in moving:
                owner = moving[unit]
                eligible[unit] = ()
            elif self._is_probed_or_suspended(owner):
                eligible[unit] = ()
            by_owner.setdefault(owner, []).append(unit)
        method = placement.placements.get(service.placement)
        return method(
            by_owner,
            eligible,
            self._weights(service),
            self._losses.loads(),
            MAX_BALANCING_MOVES,
            self._rng,
        )

    def _is_probed_or_suspended(self, owner):
        condition = self._losses.conditions.get(owner)
        return condition is not None and condition.phase in (
            losses_module.PROBING,
            losses_module.SUSPENDED,
        )

    def retarget(self, table, units, moving):
        """Return a dict of new targets for units that have been stopped.

        All other units keep their owners or the targets in `moving`.
        """
        service = self.manifest.services[table.service]
        eligible = self.eligible(service, table)
        by_owner = {}
        for unit, assignment in table.units():
            if unit in units:
                by_owner.setdefault(ownership.NO_OWNER, []).append(unit)
                continue
            eligible[unit] = ()
            by_owner.setdefault(moving.get(unit, assignment.owner), []).append(
                unit
            )
        method = placement.placements.get(service.placement)
        moves = method(
            by_owner, eligible, self._weights(service), {}, 0, self._rng
        )
        return {m.unit: m.target for m in moves}
