"""Builds the next version of a table from ready moves and hot keys."""

from bramleysill_kernel.units import hot_units
from bramleysill_kernel.units import ownership
from bramleysill_kernel.units import placement


class TableBuilder:
    """Builds tables and starts their writes, one at a time per service.

    A change of a service's layout maps keys to other units. Therefore all
    units of the service are stopped before it, and every fence of the new
    table is higher than every fence of the old one.
    """

    __slots__ = (
        '_tables',
        '_unit_moves',
        '_losses',
        '_hot_units',
        '_new_layouts',
    )

    def __init__(self, tables, unit_moves, losses, hot_unit_records):
        self._tables = tables
        self._unit_moves = unit_moves
        self._losses = losses
        self._hot_units = hot_unit_records
        self._new_layouts = {}

    def drop_completed_moves(self):
        """Drop the moves that are complete in the accepted tables."""
        for service in self._tables.services():
            self._unit_moves.drop_completed(self._tables.get(service))

    def units_moving(self, service):
        """Return the units that are being moved, with their new owners."""
        return {
            unit: move.target or move.source
            for (name, unit), move in self._unit_moves.pending.items()
            if name == service
        }

    def is_remapping(self, service):
        """Return whether units are being stopped to change the layout."""
        return service in self._new_layouts

    def remap(self, service, planner):
        """Stop all units if the manifest declares another layout.

        Returns whether it does. The units are stopped as urgent moves to
        their present owners.
        """
        table = self._tables.get(service)
        wanted = planner.layout(service)
        if table.layout == wanted:
            self._new_layouts.pop(service, None)
            return False
        self._new_layouts[service] = wanted
        for unit, assignment in table.units():
            move = placement.Move(unit, assignment.owner, assignment.owner)
            stopped = not assignment.owner or self._losses.lost(
                assignment.owner
            )
            self._unit_moves.add(
                service, move, assignment.fence, True, stopped
            )
        return True

    def write(self, service, planner):
        """Return the effects that write a service's table, if it changes."""
        if not self._tables.is_writable(service):
            return []
        accepted = self._tables.get(service)
        if service in self._new_layouts:
            return self._write_remapped(service, accepted, planner)
        ready = self._unit_moves.ready_moves(service)
        edits = self._hot_key_edits(accepted, planner)
        if not ready and not edits:
            return []
        table = accepted.copy()
        for edit, shard, key in edits:
            if edit(table, shard, key) and edit is hot_units.merge:
                self._hot_units.forget(service, key)
        self._assign(table, ready, planner)
        if table.encode() == accepted.encode():
            return []
        return self._tables.write(table)

    def _assign(self, table, ready, planner):
        service = planner.manifest.services[table.service]
        eligible = planner.eligible(service, table)
        unassigned = set()
        for move in ready:
            if move.target and move.target in eligible.get(move.unit, ()):
                table.assign(move.unit, move.target)
            else:
                unassigned.add(move.unit)
        if not unassigned:
            return
        moving = self.units_moving(table.service)
        targets = planner.retarget(table, unassigned, moving)
        for unit in unassigned:
            # If no other upstream can own the stopped unit, its owner keeps
            # it. The new fence allows the owner to be granted it again.
            owner = targets.get(unit, table.get(unit).owner)
            table.assign(unit, owner)

    def _hot_key_edits(self, table, planner):
        """Return the splits and merges to make, as (edit, shard, key).

        Keys whose units are being moved are left out.
        """
        service = planner.manifest.services[table.service]
        declared = [s.key for s in service.singles]
        found = []
        for key in self._hot_units.keys_to_split(table, declared):
            shard = str(planner.space(table).shard_of(key))
            if not self._unit_moves.has(table.service, shard):
                found.append((hot_units.split, shard, key))
        for key in self._hot_units.keys_to_merge(table, declared):
            shard = str(planner.space(table).shard_of(key))
            entry = ownership.SINGLE_KEY_PREFIX + key
            if self._unit_moves.has(table.service, shard):
                continue
            if self._unit_moves.has(table.service, entry):
                continue
            if table.get(entry).owner == table.get(shard).owner:
                found.append((hot_units.merge, shard, key))
            else:
                self._move_to_shard_owner(table, entry, shard)
        return found

    def _move_to_shard_owner(self, table, entry, shard):
        """Move an entry to its shard's owner, so that it can be merged."""
        assignment = table.get(entry)
        move = placement.Move(entry, assignment.owner, table.get(shard).owner)
        self._unit_moves.add(table.service, move, assignment.fence)

    def _write_remapped(self, service, accepted, planner):
        stopped = {
            unit
            for (name, unit), move in self._unit_moves.pending.items()
            if name == service and move.ready
        }
        if any(unit not in stopped for unit, _ in accepted.units()):
            return []
        if len(self._unit_moves.ready_moves(service)) < len(stopped):
            return []
        fence = accepted.highest_fence() + 1
        table = planner.make_table(service)
        for unit, assignment in list(table.units()):
            owner = self._owner_in_new_layout(
                accepted, table, unit, assignment
            )
            table.put(unit, ownership.Assignment(owner, fence))
        table.version = accepted.version
        del self._new_layouts[service]
        return self._tables.write(table)

    def _owner_in_new_layout(self, old, new, unit, assignment):
        """Return the owner of a unit in the table of the new layout.

        It is the owner in `assignment`, except that a partition with an
        unchanged number of shards keeps the former owners that are usable.
        """
        if unit.startswith(ownership.SINGLE_KEY_PREFIX):
            return assignment.owner
        before = {row[0]: row for row in old.layout}
        for name, _, _, base, shards in new.layout:
            if base <= int(unit) < base + shards:
                row = before.get(name)
                if row is None or row[4] != shards:
                    return assignment.owner
                former = old.shards[row[3] + int(unit) - base].owner
                usable = self._losses.usable(former)
                return former if usable else assignment.owner
        return assignment.owner
