"""Compare-and-swap writes of ownership tables by the coordinator.

A coordinator *adopts* each table before it uses it: it reads the table and
writes it back with only the term changed. This increments the version, so a
write by a former coordinator that is still in flight fails. A missing table
is created.

Every write carries a write id. After any result other than `ok` the value is
read back. If it has this write id, the write took effect. If it has the old
version, the same value is sent again, since at most one of the two writes can
take effect. Otherwise another coordinator has written the table.
"""

import dataclasses

from bramleysill_kernel.common import effects
from bramleysill_kernel.units import ownership

RETRY_DELAY_SECONDS = 0.2

READING = 'reading'
WRITING = 'writing'
RESOLVING = 'resolving'
READY = 'ready'


def table_key(cell, service):
    """Return the store key of a service's table.

    The last part is the number of the block; a cell has only block 0.
    """
    return f'cell/{cell}/table/{service}/0'


@dataclasses.dataclass(slots=True)
class AcceptedTable:
    """A table version that the store has accepted, to be sent to routers.

    `units` holds the units that changed since version `base`. It is None if
    the whole table has to be sent, after its adoption or a change of layout.
    """

    service: str
    version: int
    base: int = 0
    units: dict | None = None


class _TableState:
    """The accepted table of one service and the operation in progress.

    `step` is one of the constants above: the table is read for its adoption,
    written, read back after a write with an uncertain result, or adopted with
    no operation in progress.
    """

    __slots__ = (
        'step',
        'accepted',
        'pending',
        'make_initial',
        'retry_at',
        'request_pending',
    )

    def __init__(self, make_initial):
        self.step = READING
        self.accepted = None
        self.pending = None
        self.make_initial = make_initial
        self.retry_at = 0.0
        self.request_pending = False


class TableRepository:
    """Adopts and writes all tables during the term of one coordinator.

    `superseded` becomes true when a table with a newer term is read.
    """

    __slots__ = (
        'superseded',
        '_cell',
        '_term',
        '_writer_id',
        '_clock',
        '_op_ids',
        '_states',
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
        self._states = {}
        self._pending_requests = {}
        self._newly_accepted = []

    def adopt(self, service, make_initial):
        """Start to adopt a table; `make_initial()` creates a missing one."""
        self._states[service] = _TableState(make_initial)

    def adoption_started(self, service):
        """Return whether the adoption of a service's table has started."""
        return service in self._states

    def get(self, service):
        """Return the accepted table or None; callers must not modify it."""
        state = self._states.get(service)
        return state.accepted if state else None

    def services(self):
        """Return the services that have an accepted table."""
        return [s for s, state in self._states.items() if state.accepted]

    def versions(self):
        """Return the accepted version of each table."""
        return {s: self.get(s).version for s in self.services()}

    def is_writable(self, service):
        """Return whether the table is adopted and no write is pending."""
        state = self._states.get(service)
        return state is not None and state.step == READY

    def take_newly_accepted(self):
        """Return the tables accepted since the last call and clear them."""
        accepted, self._newly_accepted = self._newly_accepted, []
        return accepted

    def write(self, table):
        """Write a modified copy of a table that `is_writable`."""
        state = self._states[table.service]
        self._prepare(state, table)
        return self._send(state, table.service)

    def tick(self):
        """Return the store reads and writes that are due."""
        now = self._clock.now()
        out = []
        for service, state in self._states.items():
            if (
                state.request_pending
                or state.step == READY
                or now < state.retry_at
            ):
                continue
            if state.step == WRITING:
                out.extend(self._send(state, service))
            else:
                out.extend(self._read(state, service))
        return out

    def on_store_reply(self, op, reply):
        """Handle the reply to a store effect; return the next effects.

        Returns None if the effect is not one of this object.
        """
        request = self._pending_requests.pop(op, None)
        if request is None:
            return None
        service, was_read = request
        state = self._states[service]
        state.request_pending = False
        if was_read:
            return self._on_read(state, service, reply)
        return self._on_written(state, service, reply)

    def _prepare(self, state, table):
        table.term = self._term
        table.write_id = f'{self._writer_id}/{next(self._op_ids)}'
        state.pending = table
        state.step = WRITING

    def _read(self, state, service):
        op = next(self._op_ids)
        state.request_pending = True
        self._pending_requests[op] = (service, True)
        return [effects.StoreRead(op, table_key(self._cell, service))]

    def _send(self, state, service):
        """Write the pending table if the store still has its version."""
        op = next(self._op_ids)
        state.request_pending = True
        self._pending_requests[op] = (service, False)
        return [
            effects.StoreWrite(
                op,
                table_key(self._cell, service),
                state.pending.encode(),
                state.pending.version,
            )
        ]

    def _on_written(self, state, service, reply):
        if reply.result == effects.RESULT_OK:
            self._accept(state, service, reply.version)
            return []
        state.step = RESOLVING
        if reply.result == effects.RESULT_CONFLICT:
            return self._read(state, service)
        state.retry_at = self._clock.now() + RETRY_DELAY_SECONDS
        return []

    def _on_read(self, state, service, reply):
        if reply.result == effects.RESULT_UNKNOWN:
            state.retry_at = self._clock.now() + RETRY_DELAY_SECONDS
            return []
        stored = None
        if reply.result == effects.RESULT_OK:
            stored = ownership.OwnershipTable.decode(
                reply.value, reply.version
            )
            if stored.term > self._term:
                self.superseded = True
                return []
        if state.step == RESOLVING:
            return self._resolve(state, service, stored)
        self._prepare(state, stored or state.make_initial())
        return self._send(state, service)

    def _resolve(self, state, service, stored):
        pending = state.pending
        if stored is not None and stored.write_id == pending.write_id:
            self._accept(state, service, stored.version)
            return []
        version = stored.version if stored else 0
        if version == pending.version:
            state.step = WRITING
            return self._send(state, service)
        # A former coordinator wrote the table before this one had adopted it.
        self._prepare(state, stored or state.make_initial())
        return self._send(state, service)

    def _accept(self, state, service, version):
        before, table = state.accepted, state.pending
        table.version = version
        change = AcceptedTable(service, version)
        if before is not None and before.layout == table.layout:
            change.base = before.version
            change.units = changed_units(before, table)
        state.accepted = table
        state.pending = None
        state.step = READY
        self._newly_accepted.append(change)


def changed_units(before, after):
    """Return the units that differ between two tables.

    The result maps each unit to its new owner and fence, or to None if its
    entry was removed.
    """
    old = {u: (a.owner, a.fence) for u, a in before.units()}
    new = {u: (a.owner, a.fence) for u, a in after.units()}
    changed = {u: v for u, v in new.items() if old.get(u) != v}
    changed.update(dict.fromkeys(old.keys() - new.keys()))
    return changed
