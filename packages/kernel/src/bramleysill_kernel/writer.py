"""Makes the next value of a table from ready moves and hot keys."""

from bramleysill_kernel import hot_units
from bramleysill_kernel import ownership
from bramleysill_kernel import placement


class Writer:
    """Writes what is ready, one compare-and-swap per service at a time.

    A change of a service's layout assigns keys to other units. All units of
    the service are stopped first, and every fence of the new table is above
    every fence of the old one.
    """

    __slots__ = ('_tables', '_board', '_losses', '_hot', '_remaps')

    def __init__(self, tables, board, losses, hot):
        self._tables = tables
        self._board = board
        self._losses = losses
        self._hot = hot
        self._remaps = {}

    def settle(self):
        """Drop the moves that accepted tables have done."""
        for service in self._tables.services():
            self._board.drop_completed(self._tables.get(service))

    def moving(self, service):
        """Return the targets of units on their way, as a dict."""
        return {
            unit: move.target or move.source
            for (name, unit), move in self._board.pending.items()
            if name == service
        }

    def remapping(self, service):
        """Tell whether a service's units are being stopped for a layout."""
        return service in self._remaps

    def remap(self, service, planner):
        """Stop all units if the layout changes; tell whether it does."""
        table = self._tables.get(service)
        wanted = planner.layout(service)
        if table.layout == wanted:
            self._remaps.pop(service, None)
            return False
        self._remaps[service] = wanted
        for unit, held in table.units():
            move = placement.Move(unit, held.owner, held.owner)
            free = not held.owner or self._losses.lost(held.owner)
            self._board.add(service, move, held.fence, True, free)
        return True

    def write(self, service, planner):
        """Return the write that is due, if any."""
        if not self._tables.is_writable(service):
            return []
        accepted = self._tables.get(service)
        if service in self._remaps:
            return self._write_remapped(service, accepted, planner)
        ready = self._board.ready_moves(service)
        edits = self._edits(accepted, planner)
        if not ready and not edits:
            return []
        table = accepted.copy()
        for edit, shard, key in edits:
            if edit(table, shard, key) and edit is hot_units.merge:
                self._hot.forget(service, key)
        self._assign(table, ready, planner)
        if table.encode() == accepted.encode():
            return []
        return self._tables.write(table)

    def _assign(self, table, ready, planner):
        service = planner.manifest.services[table.service]
        eligible = planner.eligible(service, table)
        again = set()
        for move in ready:
            if move.target and move.target in eligible.get(move.unit, ()):
                table.assign(move.unit, move.target)
            else:
                again.add(move.unit)
        if not again:
            return
        moving = self.moving(table.service)
        targets = planner.retarget(table, again, moving)
        for unit in again:
            # Without another upstream the owner keeps the stopped unit,
            # under a fence that it can be granted again.
            owner = targets.get(unit, table.get(unit).owner)
            table.assign(unit, owner)

    def _edits(self, table, planner):
        """Return splits and folds of keys whose units are not moving."""
        service = planner.manifest.services[table.service]
        declared = [s.key for s in service.singles]
        found = []
        for key in self._hot.keys_to_split(table, declared):
            shard = str(planner.space(table).shard_of(key))
            if not self._board.has(table.service, shard):
                found.append((hot_units.split, shard, key))
        for key in self._hot.keys_to_merge(table, declared):
            shard = str(planner.space(table).shard_of(key))
            entry = ownership.SINGLE_KEY_PREFIX + key
            if self._board.has(table.service, shard):
                continue
            if self._board.has(table.service, entry):
                continue
            if table.get(entry).owner == table.get(shard).owner:
                found.append((hot_units.merge, shard, key))
            else:
                self._fetch(table, entry, shard)
        return found

    def _fetch(self, table, entry, shard):
        """Move an entry to its shard's owner, ahead of folding it back."""
        held = table.get(entry)
        move = placement.Move(entry, held.owner, table.get(shard).owner)
        self._board.add(table.service, move, held.fence)

    def _write_remapped(self, service, accepted, planner):
        stopped = {
            unit
            for (name, unit), move in self._board.pending.items()
            if name == service and move.ready
        }
        if any(unit not in stopped for unit, _ in accepted.units()):
            return []
        if len(self._board.ready_moves(service)) < len(stopped):
            return []
        fence = accepted.highest_fence() + 1
        table = planner.make_table(service)
        for unit, held in list(table.units()):
            owner = self._former_owner(accepted, table, unit, held)
            table.put(unit, ownership.Assignment(owner, fence))
        table.version = accepted.version
        del self._remaps[service]
        return self._tables.write(table)

    def _former_owner(self, old, new, unit, held):
        """Keep owners of partitions whose shards have not changed."""
        if unit.startswith(ownership.SINGLE_KEY_PREFIX):
            return held.owner
        before = {row[0]: row for row in old.layout}
        for name, _, _, base, shards in new.layout:
            if base <= int(unit) < base + shards:
                row = before.get(name)
                if row is None or row[4] != shards:
                    return held.owner
                former = old.shards[row[3] + int(unit) - base].owner
                usable = self._losses.usable(former)
                return former if usable else held.owner
        return held.owner
