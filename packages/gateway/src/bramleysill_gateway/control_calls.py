"""Sends grants and releases to upstreams, and tables to the store."""

from bramleysill_gateway.cell_state import LEADER_KEY
from bramleysill_gateway.cell_state import TABLES_PREFIX
from bramleysill_gateway.cell_state import TableVersion
from bramleysill_gateway.control_client import ControlClient
from bramleysill_kernel.common.call_outcome import CallOutcome
from bramleysill_kernel.common.exceptions import SillError
from bramleysill_kernel.common.store_types import Condition
from bramleysill_kernel.common.store_types import Put
from bramleysill_kernel.common.store_types import StoreOutcome
from bramleysill_kernel.ranges.hold_ledger import CALL_TIMEOUT_SECONDS
from bramleysill_kernel.ranges.key_ranges import RangeTable
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning

# An upstream responds to a release after the requests for its keys have ended.
RELEASE_TIMEOUT_SECONDS = 1.5
# Grants and releases name their upstream. Only another process that uses its
# address responds with this status, possibly without its own id.
REPLACED_STATUS = 421
# Only these statuses mean that an upstream has not accepted a grant. After
# another one, such as 500, it may hold the keys.
GRANT_REFUSED_STATUSES = (400, 409)


class ControlCalls:
    """Does the I/O of all range coordinators while this router leads."""

    def __init__(self, loop, store, adapter, leadership, state, on_departure):
        self._loop = loop
        self._store = store
        self._adapter = adapter
        self._leadership = leadership
        self._state = state
        self._on_departure = on_departure
        self._clients = {}

    def grant(self, entry, key_range, hold, handover, done, any_process=False):
        """Grant keys to an upstream, if this router still leads.

        The grant is not sent if it might reach the next process of the
        upstream with a fence of the former one, unless `any_process` is set.
        """
        if not self._leadership.is_valid():
            done(CallOutcome.REFUSED)
            return
        client = self._client(entry)
        if not client.may_grant(key_range.fence, any_process):
            log_event(
                'grant_needs_fence',
                upstream=entry.upstream,
                incarnation=entry.incarnation,
                fence=key_range.fence,
            )
            done(CallOutcome.NEEDS_FENCE)
            return
        data = self._adapter.encode_grant(entry, key_range, hold, handover)

        def on_response(response):
            self._note_departure(entry, response)
            result = _grant_result(response)
            if result is not CallOutcome.OK:
                log_warning(
                    'grant_failed',
                    upstream=entry.upstream,
                    first=key_range.first,
                    last=key_range.last,
                    fence=key_range.fence,
                    status=response.status,
                    result=result.value,
                )
            done(result)

        client.grant(data, CALL_TIMEOUT_SECONDS, on_response)

    def release(self, entry, key_range, done):
        """Ask an upstream to release keys; calls `done(result, handover)`."""
        if not self._leadership.is_valid():
            done(CallOutcome.REFUSED, '')
            return
        data = self._adapter.encode_release(entry, key_range)
        started_at = self._loop.now()

        def on_response(response):
            self._note_departure(entry, response)
            result = CallOutcome.NO_RESPONSE
            if response.status == 200:
                result = CallOutcome.OK
            elif response.status == REPLACED_STATUS:
                result = CallOutcome.REPLACED
            handover = response.headers.get(self._adapter.handover, '')
            log_event(
                'keys_released',
                upstream=entry.upstream,
                first=key_range.first,
                last=key_range.last,
                fence=key_range.fence,
                result=result.value,
                status=response.status,
                seconds=self._loop.now() - started_at,
            )
            done(result, handover)

        self._client(entry).release(
            data, RELEASE_TIMEOUT_SECONDS, self._adapter.handover, on_response
        )

    def write_table(self, service, table, revision, done):
        """Write a table if this router leads and the stored one is unchanged.

        Calls `done(result, table, revision)` with the table that is stored
        afterwards; after a conflict it is the one of another writer.
        """
        era = self._state.own_era
        key = self._state.own_key(f'{TABLES_PREFIX}{service}')
        value = table.encode()
        started_at = self._loop.now()
        conditions = [
            Condition(
                self._state.own_key(LEADER_KEY),
                self._leadership.key_revision,
            ),
            Condition(key, revision),
        ]

        def on_written(reply):
            if era != self._state.own_era:
                done(CallOutcome.NO_RESPONSE, None, 0)
                return
            if reply.ok:
                log_event(
                    'table_written',
                    service=service,
                    ranges=len(table.ranges),
                    fence=table.next_fence,
                    revision=reply.revision,
                    seconds=self._loop.now() - started_at,
                )
                self._state.adopt_table(
                    service, table, TableVersion(era, reply.revision)
                )
                done(CallOutcome.OK, table, reply.revision)
                return
            log_warning(
                'table_write_failed',
                service=service,
                outcome=reply.outcome.value,
                revision=revision,
            )
            if reply.outcome is StoreOutcome.REFUSED:
                done(CallOutcome.REFUSED, None, 0)
                return
            self._read_back(service, key, value, done)

        self._store.write(conditions, [Put(key, value)], (), on_written)

    def read_table(self, service, done):
        """Read a table; calls `done(ok, table, revision)`.

        The table is None if none is stored.
        """
        key = self._state.own_key(f'{TABLES_PREFIX}{service}')

        def on_reply(reply):
            if reply.outcome is StoreOutcome.MISSING:
                done(True, None, 0)
                return
            if not reply.ok:
                done(False, None, 0)
                return
            item = reply.items[0]
            try:
                table = RangeTable.decode(item.value)
            except SillError as exc:
                log_warning('document_rejected', key=key, error=exc)
                done(False, None, 0)
                return
            done(True, table, item.revision)

        self._store.read(key, on_reply)

    def close(self):
        """Abort all calls and close the connections."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def sweep(self):
        """Close the connections to upstreams that are no longer known."""
        known = {
            (e.upstream, e.incarnation, e.address)
            for e in self._state.directory.entries.values()
        }
        for key in set(self._clients) - known:
            if self._state.directory.last_known(key[0]) is None:
                self._clients.pop(key).close()

    def _read_back(self, service, key, value, done):
        """Read the stored table after a write that was not confirmed."""
        era = self._state.own_era

        def on_reply(reply):
            if not reply.ok or era != self._state.own_era:
                done(CallOutcome.NO_RESPONSE, None, 0)
                return
            item = reply.items[0]
            try:
                stored = RangeTable.decode(item.value)
            except SillError as exc:
                log_warning('document_rejected', key=key, error=exc)
                done(CallOutcome.NO_RESPONSE, None, 0)
                return
            self._state.adopt_table(
                service, stored, TableVersion(era, item.revision)
            )
            is_written = item.value == value
            result = CallOutcome.OK if is_written else CallOutcome.CONFLICT
            done(result, stored, item.revision)

        self._store.read(key, on_reply)

    def _note_departure(self, entry, response):
        leaving = response.headers.get(self._adapter.leaving, '')
        if (
            leaving == self._adapter.leaving_value
            and response.status != REPLACED_STATUS
        ):
            self._on_departure(entry)

    def _client(self, entry):
        key = entry.upstream, entry.incarnation, entry.address
        client = self._clients.get(key)
        if client is None:
            client = self._clients[key] = ControlClient(
                self._loop, entry, self._leadership.is_valid
            )
        return client


def _grant_result(response):
    if response.status == 200:
        return CallOutcome.OK
    if response.status == REPLACED_STATUS:
        return CallOutcome.REPLACED
    if response.status in GRANT_REFUSED_STATUSES or not response.sent:
        return CallOutcome.REFUSED
    return CallOutcome.NO_RESPONSE
