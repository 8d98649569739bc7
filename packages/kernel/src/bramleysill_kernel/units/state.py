"""The state of the cell that a router holds, updated part by part.

Every router has one `RouterState`. The process passes each `StateUpdate` to
`RouterAgent.on_state`, which passes it on to `RouterState.apply`, and replies
to a `StateRequest` with `make_update()`.

Each part has its own version, and a part that is not newer is ignored: the
manifest and each table by their versions, and the dispatchers, members,
candidates and drained upstreams together by (term, serial). An update of the
last group is also ignored until the tables have the versions that it names,
so that a router never acts as a dispatcher with an outdated table.
"""

import dataclasses

from bramleysill_kernel.common.exceptions import SillError
from bramleysill_kernel.common.messages import StateUpdate
from bramleysill_kernel.common.messages import TableUpdate
from bramleysill_kernel.units import ownership

PART_MANIFEST = 'manifest'
PART_DISPATCHERS = 'dispatchers'
PART_TABLE = 'table/'


@dataclasses.dataclass(slots=True)
class Target:
    """Where requests for a key are sent.

    `dispatcher` is empty if the owner has no dispatcher.
    """

    unit: str
    owner: str
    fence: int
    dispatcher: str


class RouterState:
    """The newest known manifest, tables, dispatchers and members.

    `parse(text, file, version)` returns a Manifest; the process passes
    `manifest_parser.parse_manifest`. `manifest_error` is the error of the
    last manifest that could not be parsed, until the process has logged it.
    """

    __slots__ = (
        'manifest',
        'tables',
        'dispatchers',
        'members',
        'candidates',
        'drained',
        'term',
        'serial',
        'min_term',
        'coordinator',
        'manifest_error',
        '_parse_manifest',
        '_spaces',
        '_units_by_owner',
    )

    def __init__(self, parse=None):
        self.manifest = None
        self.tables = {}
        self.dispatchers = {}
        self.members = {}
        self.candidates = []
        self.drained = frozenset()
        self.term = 0
        self.serial = 0
        self.min_term = 0
        self.coordinator = ''
        self.manifest_error = None
        self._parse_manifest = parse
        self._spaces = {}
        self._units_by_owner = {}

    def apply(self, update):
        """Apply the parts that are newer; return the set of their names.

        Parts are named `manifest`, `dispatchers` and `table/SERVICE`.
        """
        changed = set()
        if self._apply_manifest(update):
            changed.add(PART_MANIFEST)
        for table in update.tables:
            if self._apply_table(table):
                changed.add(PART_TABLE + table.service)
        if self._apply_roles(update):
            changed.add(PART_DISPATCHERS)
        return changed

    def raise_min_term(self, term):
        """Ignore dispatchers and members of older terms from now on."""
        self.min_term = max(self.min_term, term)

    def set_manifest(self, manifest):
        """Set the manifest if it is newer; return whether it was."""
        if self.manifest and manifest.version <= self.manifest.version:
            return False
        self.manifest = manifest
        return True

    def set_table(self, table):
        """Set a table that the store has accepted, if it is newer.

        Returns whether it was newer.
        """
        known = self.tables.get(table.service)
        if known is not None and table.version <= known.version:
            return False
        self.tables[table.service] = table
        self._spaces.pop(table.service, None)
        self._units_by_owner.pop(table.service, None)
        return True

    def _apply_manifest(self, update):
        if not update.manifest_text or self._parse_manifest is None:
            return False
        version = update.manifest_version
        if self.manifest and version <= self.manifest.version:
            return False
        try:
            parsed = self._parse_manifest(
                update.manifest_text, 'manifest', version
            )
        except SillError as exc:
            self.manifest_error = exc
            return False
        return self.set_manifest(parsed)

    def _apply_table(self, update):
        known = self.tables.get(update.service)
        known_version = known.version if known else 0
        if update.version <= known_version:
            return False
        if update.data:
            table = ownership.OwnershipTable.decode(
                update.data, update.version
            )
            return self.set_table(table)
        if known is None or update.base != known_version:
            return False
        for unit, value in update.units.items():
            if value is None:
                known.remove(unit)
            else:
                known.put(unit, ownership.Assignment(*value))
        known.version = update.version
        self._units_by_owner.pop(update.service, None)
        return True

    def _apply_roles(self, update):
        if update.term < self.min_term:
            return False
        if (update.term, update.serial) <= (self.term, self.serial):
            return False
        for service, version in update.table_versions.items():
            if self.table_version(service) < version:
                return False
        self.term = update.term
        self.serial = update.serial
        self.raise_min_term(update.term)
        self.coordinator = update.coordinator
        self.dispatchers = {
            u: tuple(role) for u, role in update.dispatchers.items()
        }
        self.members = dict(update.members)
        self.candidates = list(update.candidates)
        self.drained = frozenset(update.drained)
        return True

    def table_version(self, service):
        """Return the version of a service's table, 0 if unknown."""
        table = self.tables.get(service)
        return table.version if table else 0

    def versions(self):
        """Return the versions of all parts, as sent in heartbeats."""
        versions = {'term': self.term, 'serial': self.serial}
        versions['manifest'] = self.manifest.version if self.manifest else 0
        for name, table in self.tables.items():
            versions[PART_TABLE + name] = table.version
        return versions

    def dispatcher_of(self, upstream):
        """Return the router that dispatches to an upstream, or ''."""
        role = self.dispatchers.get(upstream)
        return role[0] if role else ''

    def generation_of(self, upstream):
        """Return the generation (term, n) of an upstream's dispatcher.

        It is (0, 0) if the upstream has none.
        """
        role = self.dispatchers.get(upstream)
        return (role[1], role[2]) if role else (0, 0)

    def unit_of(self, service, key):
        """Return the unit of a key, or None if there is no table."""
        table = self.tables.get(service)
        if table is None or not table.layout:
            return None
        return table.unit_of(self._space(table), key)

    def route(self, service, key):
        """Return the Target of a key, or None if there is no table."""
        unit = self.unit_of(service, key)
        if unit is None:
            return None
        assignment = self.tables[service].get(unit)
        return Target(
            unit,
            assignment.owner,
            assignment.fence,
            self.dispatcher_of(assignment.owner),
        )

    def units_of(self, upstream):
        """Return the units of an upstream as a dict of unit to fence."""
        manifest = self.manifest
        known = manifest.upstreams.get(upstream) if manifest else None
        if known is None or known.service not in self.tables:
            return {}
        return self._owner_index(known.service).get(upstream, {})

    def make_update(self):
        """Return the complete state, the reply to a StateRequest."""
        tables = [full_table(t) for t in self.tables.values()]
        return StateUpdate(
            coordinator=self.coordinator,
            term=self.term,
            serial=self.serial,
            manifest_version=self.manifest.version if self.manifest else 0,
            manifest_text=self.manifest.text if self.manifest else '',
            tables=tables,
            dispatchers=dict(self.dispatchers),
            members=dict(self.members),
            candidates=list(self.candidates),
            drained=sorted(self.drained),
            table_versions={t.service: t.version for t in tables},
        )

    def _space(self, table):
        space = self._spaces.get(table.service)
        if space is None:
            space = ownership.KeySpace.from_layout(table.service, table.layout)
            self._spaces[table.service] = space
        return space

    def _owner_index(self, service):
        index = self._units_by_owner.get(service)
        if index is None:
            index = {}
            for unit, assignment in self.tables[service].units():
                index.setdefault(assignment.owner, {})[unit] = assignment.fence
            self._units_by_owner[service] = index
        return index


def full_table(table):
    """Return a TableUpdate with the complete table."""
    return TableUpdate(table.service, 0, table.version, data=table.encode())
