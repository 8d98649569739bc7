"""The coordinator's writes of ownership tables.

A table is *adopted* before use: it is read and sealed, that is, written back
with only the term changed, so that a write by an older coordinator that is
still in flight fails on the version. A missing table is created.

Every write carries a write id. After any answer but `ok` the value is read
back: the own write id means that the write took effect; the old version means
that the same value may be sent again, since at most one of the two can take
effect; anything else is another coordinator's write.
"""

import dataclasses

from bramleysill_kernel import effects
from bramleysill_kernel import ownership

RETRY_SECONDS = 0.2

READING = 'reading'
WRITING = 'writing'
RESOLVING = 'resolving'
READY = 'ready'


def table_key(cell, service):
    """Return the store key of a service's table; a cell has one block."""
    return f'cell/{cell}/table/{service}/0'


@dataclasses.dataclass(slots=True)
class AcceptedTable:
    """A write that the store has accepted, or a table as adopted.

    `units` holds the changed units since `base`, or is None if the whole
    table has to be distributed.
    """

    service: str
    version: int
    base: int = 0
    units: dict | None = None


class _TableState:
    """Where the table of one service stands."""

    __slots__ = (
        'step',
        'accepted',
        'pending',
        'make_initial',
        'retry_at',
        'request_pending',
    )

    def __init__(self, make):
        self.step = READING
        self.accepted = None
        self.pending = None
        self.make_initial = make
        self.retry_at = 0.0
        self.request_pending = False


class TableRepository:
    """Adopts and writes the tables of one coordinator's term.

    `superseded` becomes true when a table of a newer term is found.
    """

    __slots__ = (
        'superseded',
        '_cell',
        '_term',
        '_writer_id',
        '_clock',
        '_op_ids',
        '_slots',
        '_pending_requests',
        '_newly_accepted',
    )

    def __init__(self, cell, term, writer, clock, ops):
        self.superseded = False
        self._cell = cell
        self._term = term
        self._writer_id = writer
        self._clock = clock
        self._op_ids = ops
        self._slots = {}
        self._pending_requests = {}
        self._newly_accepted = []

    def adopt(self, service, make):
        """Begin to adopt a table; `make()` returns the initial one."""
        self._slots[service] = _TableState(make)

    def adopted(self, service):
        """Tell whether adoption of a service has begun."""
        return service in self._slots

    def get(self, service):
        """Return the accepted table, or None; do not change it."""
        slot = self._slots.get(service)
        return slot.accepted if slot else None

    def services(self):
        """Return the services whose tables are accepted."""
        return [s for s, slot in self._slots.items() if slot.accepted]

    def versions(self):
        """Return the accepted version of each table."""
        return {s: self.get(s).version for s in self.services()}

    def is_writable(self, service):
        """Tell whether the table can be written now."""
        slot = self._slots.get(service)
        return slot is not None and slot.step == READY

    def take_newly_accepted(self):
        """Return what was accepted since the last call."""
        news, self._newly_accepted = self._newly_accepted, []
        return news

    def write(self, table):
        """Start to write a changed copy of an idle service's table."""
        slot = self._slots[table.service]
        self._prepare(slot, table)
        return self._send(slot, table.service)

    def tick(self):
        """Return the reads and writes that are due."""
        now = self._clock.now()
        out = []
        for service, slot in self._slots.items():
            if (
                slot.request_pending
                or slot.step == READY
                or now < slot.retry_at
            ):
                continue
            if slot.step == WRITING:
                out.extend(self._send(slot, service))
            else:
                out.extend(self._read(slot, service))
        return out

    def on_store_answer(self, op, answer):
        """Take an answer; return effects, or None if it is not for this."""
        asked = self._pending_requests.pop(op, None)
        if asked is None:
            return None
        service, was_read = asked
        slot = self._slots[service]
        slot.request_pending = False
        if was_read:
            return self._on_read(slot, service, answer)
        return self._on_written(slot, service, answer)

    def _prepare(self, slot, table):
        table.term = self._term
        table.write_id = f'{self._writer_id}/{next(self._op_ids)}'
        slot.pending = table
        slot.step = WRITING

    def _read(self, slot, service):
        op = next(self._op_ids)
        slot.request_pending = True
        self._pending_requests[op] = (service, True)
        return [effects.StoreRead(op, table_key(self._cell, service))]

    def _send(self, slot, service):
        """Send the pending table at the version that it was made from."""
        op = next(self._op_ids)
        slot.request_pending = True
        self._pending_requests[op] = (service, False)
        return [
            effects.StoreWrite(
                op,
                table_key(self._cell, service),
                slot.pending.encode(),
                slot.pending.version,
            )
        ]

    def _on_written(self, slot, service, answer):
        if answer.result == effects.RESULT_OK:
            self._accept(slot, service, answer.version)
            return []
        slot.step = RESOLVING
        if answer.result == effects.RESULT_CONFLICT:
            return self._read(slot, service)
        slot.retry_at = self._clock.now() + RETRY_SECONDS
        return []

    def _on_read(self, slot, service, answer):
        if answer.result == effects.RESULT_UNKNOWN:
            slot.retry_at = self._clock.now() + RETRY_SECONDS
            return []
        found = None
        if answer.result == effects.RESULT_OK:
            found = ownership.OwnershipTable.decode(
                answer.value, answer.version
            )
            if found.term > self._term:
                self.superseded = True
                return []
        if slot.step == RESOLVING:
            return self._resolve(slot, service, found)
        self._prepare(slot, found or slot.make_initial())
        return self._send(slot, service)

    def _resolve(self, slot, service, found):
        pending = slot.pending
        if found is not None and found.write_id == pending.write_id:
            self._accept(slot, service, found.version)
            return []
        version = found.version if found else 0
        if version == pending.version:
            slot.step = WRITING
            return self._send(slot, service)
        # An older coordinator's write came before the seal.
        self._prepare(slot, found or slot.make_initial())
        return self._send(slot, service)

    def _accept(self, slot, service, version):
        before, table = slot.accepted, slot.pending
        table.version = version
        news = AcceptedTable(service, version)
        if before is not None and before.layout == table.layout:
            news.base = before.version
            news.units = changed_units(before, table)
        slot.accepted = table
        slot.pending = None
        slot.step = READY
        self._newly_accepted.append(news)


def changed_units(before, after):
    """Return unit -> (owner, fence), or None for a removed entry."""
    old = {u: (a.owner, a.fence) for u, a in before.units()}
    new = {u: (a.owner, a.fence) for u, a in after.units()}
    changed = {u: v for u, v in new.items() if old.get(u) != v}
    changed.update(dict.fromkeys(old.keys() - new.keys()))
    return changed
