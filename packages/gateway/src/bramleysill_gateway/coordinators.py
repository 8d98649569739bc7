"""Runs the range coordinators of keyed services while this router leads."""

from bramleysill_gateway.cell_state import HOLDS_PREFIX
from bramleysill_gateway.cell_state import TableVersion
from bramleysill_gateway.control_calls import ControlCalls
from bramleysill_gateway.holds_record import decode_holds
from bramleysill_gateway.holds_record import encode_holds
from bramleysill_kernel.load.rate_pacer import paced_rate
from bramleysill_kernel.load.upstream_load import INITIAL_SERVICE_SECONDS
from bramleysill_kernel.load.upstream_load import MIN_SERVICE_SECONDS
from bramleysill_kernel.ranges.former_term import FormerTerm
from bramleysill_kernel.ranges.key_loads import KeyLoads
from bramleysill_kernel.ranges.key_loads import UpstreamServiceTimes
from bramleysill_kernel.ranges.key_ranges import ALL_KEYS
from bramleysill_kernel.ranges.key_ranges import RangeTable
from bramleysill_kernel.ranges.key_ranges import first_fence
from bramleysill_kernel.ranges.range_coordinator import RangeCoordinator
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning


class Coordinators:
    """The coordinators by service, and what they need from this router.

    `leadership` is the Leadership of this router and `limits` the NamedLimits.
    `on_departure(entry)` is called when an upstream says that it leaves.
    """

    def __init__(
        self, loop, timings, store, state, leadership, limits, on_departure
    ):
        self.calls = ControlCalls(
            loop, store, state.adapter, leadership, state, on_departure
        )
        self._loop = loop
        self._timings = timings
        self._state = state
        self._leadership = leadership
        self._limits = limits
        self._coordinators = {}
        self._starting_services = set()
        self._key_loads = {}
        self._service_times = UpstreamServiceTimes()
        # The FormerTerm of this router, None if another has led since.
        self._former_term = None
        # By service, the FormerHolds of the last leader that is known, which
        # may be this router, and those that this router left when its last
        # term ended.
        self._former_holds = {}
        self.final_holds = {}
        # The revision of the leader key in the last term of this router.
        self._final_key_revision = 0
        # The era of the store in which the coordinators were started.
        self._term_era = 0
        # Until when the leader before this one may still send grants.
        self.former_leader_until = 0.0

    def note_report(self, message):
        """Add a router's report of requests by key and of service times."""
        counts = dict(zip(message.keys, message.counts, strict=True))
        self._key_loads_of(message.service).add(counts)
        for row in zip(
            message.upstreams,
            message.responses,
            message.busy_times,
            strict=True,
        ):
            self._service_times.add(*row)

    def tick(self):
        """Run a coordinator for each keyed service of the configuration."""
        config = self._state.config
        if config is None:
            return
        keyed = {s.name for s in config.services.values() if s.keyed}
        for service in set(self._coordinators) - keyed:
            del self._coordinators[service]
        for service in keyed:
            coordinator = self._coordinators.get(service)
            if coordinator is None:
                self._start(service)
            else:
                coordinator.tick()

    def range_notices(self):
        """Yield (service, paused ranges, busy ranges) of each service."""
        for service, coordinator in self._coordinators.items():
            yield service, coordinator.paused_ranges(), coordinator.busy_ranges

    def note_renewals(self, are_overdue):
        """Extend the holds of all keys once renewals of the lease are late."""
        for coordinator in self._coordinators.values():
            if are_overdue and not coordinator.store_unresponsive:
                log_warning(
                    'lease_renewal_overdue',
                    seconds_left=self._leadership.valid_until
                    - self._loop.now(),
                )
                coordinator.extend_holds()
            coordinator.store_unresponsive = are_overdue

    def have_renewed_fences(self):
        """Return whether all tables of this term are in the store."""
        coordinators = self._coordinators.values()
        return bool(coordinators) and all(
            c.has_renewed_fences for c in coordinators
        )

    def end_term(self, is_certain):
        """Stop all coordinators.

        `is_certain` tells whether this router may know all owners later,
        because nobody else can lead yet.
        """
        self._former_term = self._make_former_term() if is_certain else None
        # Calls that are aborted count as unanswered.
        self.calls.close()
        # If the store was restored, its present era is not that of the term.
        self.final_holds = {
            service: coordinator.former_holds(self._term_era)
            for service, coordinator in self._coordinators.items()
            if coordinator.has_renewed_fences
        }
        self._final_key_revision = self._leadership.key_revision
        # This router may be the next leader. If another one leads before, the
        # table will show it.
        self._former_holds.update(self.final_holds)
        self._coordinators.clear()
        self._starting_services.clear()
        self.former_leader_until = 0.0

    def use_former_holds(self, service, former):
        """Use the FormerHolds of the last term; return whether they count."""
        if former.era != self._state.own_era:
            return False
        self._former_holds[service] = former
        coordinator = self._coordinators.get(service)
        return coordinator is not None and coordinator.use_former_holds(former)

    def holds_records(self):
        """Return (name, record) of the holds that the last term has left."""
        now = self._loop.now()
        return [
            (HOLDS_PREFIX + service, encode_holds(former, now))
            for service, former in self.final_holds.items()
            if former.era == self._state.own_era
        ]

    def note_other_leader(self):
        """Record that another router has led, and may have moved keys."""
        self._former_term = None

    def know_owners(self):
        """Return whether this router knows the owners of the former era."""
        return self._former_term is not None and (
            self._former_term.knows_owners(self._state.era_seen_at)
        )

    def sweep(self):
        """Drop connections and service times of removed upstreams."""
        self.calls.sweep()
        self._service_times.keep_only(self._state.directory.entries)

    def _make_former_term(self):
        items = self._coordinators.items()
        return FormerTerm(
            self._leadership.valid_until,
            {service: sorted(c.unconfirmed_spans) for service, c in items},
            {service: c.settled_at for service, c in items},
        )

    def _capacity(self, entry):
        """Return the capacity of an upstream in requests per second."""
        seconds = self._service_times.service_time(entry.upstream)
        if seconds is None:
            seconds = self._service_times.mean() or INITIAL_SERVICE_SECONDS
        capacity = entry.slots / max(seconds, MIN_SERVICE_SECONDS)
        limit = self._limits.rate(entry.upstream, entry.incarnation)
        return capacity if limit is None else min(capacity, paced_rate(limit))

    def _key_loads_of(self, service):
        loads = self._key_loads.get(service)
        if loads is None:
            loads = self._key_loads[service] = KeyLoads(self._loop)
        return loads

    # Start of a coordinator.

    def _start(self, service):
        if service in self._starting_services:
            return
        if not self._state.upstream_watch.synced:
            return
        self._starting_services.add(service)
        term = self._leadership.key_revision

        def on_table(ok, table, revision):
            if term != self._leadership.key_revision:
                return
            self._starting_services.discard(service)
            if not ok:
                return
            if table is not None:
                version = TableVersion(self._state.own_era, revision)
                self._state.adopt_table(service, table, version)
            self._coordinators[service] = self._make(service, table, revision)

        self.calls.read_table(service, on_table)

    def _make(self, service, table, revision):
        coordinator = RangeCoordinator(
            service,
            self._loop,
            self._timings,
            self.calls,
            self._state.directory,
            self._key_loads_of(service),
            self._capacity,
        )
        self._term_era = self._state.own_era
        former_leader_until = self.former_leader_until
        settled_at = None
        if self._state.was_restored:
            former_leader_until = max(
                former_leader_until,
                self._state.era_seen_at + self._timings.leader_lease,
            )
            if table is None:
                table = self._remembered_table(service)
                settled_at = self._remembered_settled_at(service)
        coordinator.start(
            table,
            revision,
            first_fence(self._state.own_era),
            former_leader_until,
            settled_at,
        )
        self._use_known_holds(coordinator)
        return coordinator

    def _use_known_holds(self, coordinator):
        """Use what this router knows of the holds of the last term."""
        service = coordinator.service
        # Under the same leader key nobody else can have written a table. The
        # last write of this router may have been carried out without a reply.
        has_same_key = (
            self._leadership.key_revision == self._final_key_revision
        )
        is_last = has_same_key and service in self.final_holds
        known = self.final_holds if is_last else self._former_holds
        former = known.get(service)
        if self._use_holds(coordinator, former, is_last, 'memory'):
            return
        self._use_holds(
            coordinator, self._read_record(service), False, 'store'
        )

    def _use_holds(self, coordinator, former, is_last, source):
        if former is None or former.era != self._state.own_era:
            return False
        used = coordinator.use_former_holds(former, is_last)
        log_event(
            'former_holds_known',
            service=coordinator.service,
            used=used,
            source=source,
        )
        return used

    def _read_record(self, service):
        """Return the FormerHolds that the last leader has left, or None."""
        key = self._state.own_key(HOLDS_PREFIX + service)
        item = self._state.own_watch.items.get(key)
        if item is None:
            return None
        return decode_holds(item.value, self._loop.now())

    def _remembered_table(self, service):
        """Return the table that this router knows from before the restore.

        The keys whose owner may have changed since are unsettled in it.
        """
        table = self._state.tables.get(service)
        unsettled = [ALL_KEYS]
        if table is None:
            table = RangeTable.empty()
        elif self.know_owners():
            unsettled = self._former_term.uncertain_spans(service)
        log_event(
            'table_remembered',
            service=service,
            ranges=len(table.ranges),
            unsettled=sum(last - first + 1 for first, last in unsettled),
        )
        return table.with_unsettled(unsettled)

    def _remembered_settled_at(self, service):
        """Return when unsettled keys may be granted, None if unknown."""
        if not self.know_owners():
            return None
        return self._former_term.keys_settle_at(service)
