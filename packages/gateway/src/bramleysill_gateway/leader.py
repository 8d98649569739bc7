"""Takes part in the leader election and runs coordinators while leading."""

import json

from bramleysill_gateway.cell_state import LEADER_KEY
from bramleysill_gateway.cell_state import TableVersion
from bramleysill_gateway.control_calls import ControlCalls
from bramleysill_kernel.former_term import FormerTerm
from bramleysill_kernel.key_loads import KeyLoads
from bramleysill_kernel.key_loads import UpstreamServiceTimes
from bramleysill_kernel.key_ranges import ALL_KEYS
from bramleysill_kernel.key_ranges import RangeTable
from bramleysill_kernel.key_ranges import first_fence
from bramleysill_kernel.leadership import RENEW_INTERVAL_SECONDS
from bramleysill_kernel.leadership import Leadership
from bramleysill_kernel.leadership import is_preferred_leader
from bramleysill_kernel.range_coordinator import RangeCoordinator
from bramleysill_kernel.rate_pacer import paced_rate
from bramleysill_kernel.store_types import Condition
from bramleysill_kernel.store_types import Put
from bramleysill_kernel.store_types import StoreOutcome
from bramleysill_kernel.upstream_load import INITIAL_SERVICE_SECONDS
from bramleysill_kernel.upstream_load import MIN_SERVICE_SECONDS
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning

# A write to the store may delete this many keys.
MAX_DELETED_KEYS = 32
# If the last confirmed renewal was sent longer ago, the store counts as down.
# The rest of the leader lease is used to extend the holds.
RENEWAL_TIMEOUT_SECONDS = 0.9


class LeaderElection:
    """One router's candidacy for the leader key, and its work as leader."""

    def __init__(self, loop, rng, cfg, address, store, state, limits):
        self.leadership = Leadership(
            loop, cfg.timings.leader_lease, is_preferred_leader(cfg)
        )
        self._limits = limits
        self._timings = cfg.timings
        self._loop = loop
        self._rng = rng
        self._store = store
        self._state = state
        self._adapter = state.adapter
        self._leader_key_value = json.dumps(
            {'router': cfg.name, 'address': address}
        ).encode()
        self._calls = ControlCalls(
            loop, store, state.adapter, self.leadership, state
        )
        self._coordinators = {}
        self._key_loads = {}
        self._service_times = UpstreamServiceTimes()
        self._starting_services = set()
        self._campaigning = False
        self._renew_at = 0.0
        self._last_renewal_sent_at = 0.0
        # Lease of the leader key, or 0. It is kept after it has expired, since
        # the store may pause leases while it is down.
        self._lease = 0
        # The FormerTerm of this router, None if another has led since.
        self._former_term = None
        self._former_keys_removed = False
        # The StoredItem decoded last, and the address from it.
        self._decoded_item = None
        self._leader_address = None

    @property
    def key(self):
        """Return the name of the leader key in the store."""
        return self._state.own_key(LEADER_KEY)

    def seconds_since_renewal(self):
        """Return the seconds since the last confirmed renewal was sent."""
        return self._loop.now() - self._last_renewal_sent_at

    def current_leader(self):
        """Return (name, peer address) of the leader, or None."""
        item = self._state.leader_item
        if item is not self._decoded_item:
            self._decoded_item = item
            self._leader_address = self._decode_address(item)
        return self._leader_address

    def _decode_address(self, item):
        if item is None:
            return None
        try:
            document = json.loads(item.value)
            return document['router'], document['address']
        except (ValueError, KeyError, TypeError) as exc:
            log_warning('document_rejected', key=self.key, error=exc)
            return None

    def note_report(self, message):
        """Add a router's report of requests by key and of service times."""
        if not self.leadership.leading:
            return
        counts = dict(zip(message.keys, message.counts, strict=True))
        self._key_loads_of(message.service).add(counts)
        for row in zip(
            message.upstreams,
            message.answers,
            message.busy_times,
            strict=True,
        ):
            self._service_times.add(*row)

    def _capacity(self, entry):
        """Return the capacity of an upstream in requests per second."""
        seconds = self._service_times.service_time(entry.upstream)
        if seconds is None:
            seconds = self._service_times.mean() or INITIAL_SERVICE_SECONDS
        capacity = entry.slots / max(seconds, MIN_SERVICE_SECONDS)
        limit = self._limits.rate(entry.upstream, entry.incarnation)
        return capacity if limit is None else min(capacity, paced_rate(limit))

    def tick(self):
        """Renew, campaign or coordinate; called every tick of the process."""
        leadership = self.leadership
        if leadership.leading and not leadership.is_valid():
            self._step_down('lease_over')
        self._check_leader_key()
        if leadership.leading:
            self._renew()
            self._run_coordinators()
            self._remove_former_keys()
            return
        self._renew_paused_lease()
        key_is_free = (
            self._state.own_watch.listed
            and self._state.leader_item is None
            and self._loop.now() >= self._first_campaign_at()
        )
        if leadership.may_campaign(key_is_free) and not self._campaigning:
            self._campaign()

    def on_store_restored(self):
        """Stop leading: the lease and the leader key belong to the past."""
        if self.leadership.leading:
            self._step_down('store_restored')
        self.leadership.resign()
        self._lease = 0
        self._campaigning = False

    def _first_campaign_at(self):
        """Return when this router may campaign in this era of the store.

        A leader of the era before may not know of its end until its lease is
        over. Only the last leader itself need not wait.
        """
        state = self._state
        if not state.was_restored or state.has_table_of_this_era():
            return 0.0
        if self._knows_owners():
            return 0.0
        return state.era_seen_at + self._timings.leader_lease

    def _knows_owners(self):
        return self._former_term is not None and (
            self._former_term.knows_owners(self._state.era_seen_at)
        )

    def resign(self):
        """Give up the leader key and campaign no more; for shutdown."""
        self.leadership.campaigning_disabled = True
        if self.leadership.leading:
            self._step_down('shutdown')

    def sweep(self):
        """Drop connections and service times of removed upstreams."""
        self._calls.sweep()
        self._service_times.keep_only(self._state.directory.entries)

    # Campaign.

    def _campaign(self):
        self._campaigning = True
        sent_at = self._loop.now()
        seconds = self.leadership.lease_seconds
        era = self._state.own_era

        def on_lease(reply):
            if era != self._state.own_era:
                return
            if not reply.ok:
                self._campaign_failed(reply)
                return
            self._lease = reply.lease
            self.leadership.extend(sent_at, reply.lease_seconds)
            self._write_key(reply.lease)

        self._store.open_lease(seconds, on_lease)

    def _write_key(self, lease):
        era = self._state.own_era

        def on_written(reply):
            if era != self._state.own_era:
                return
            if not reply.ok:
                self._campaign_failed(reply)
                return
            self._become_leader(lease, reply.revision)

        self._store.write(
            [Condition(self.key, 0)],
            [Put(self.key, self._leader_key_value, lease)],
            (),
            on_written,
        )

    def _campaign_failed(self, reply):
        self._campaigning = False
        self.leadership.delay_next_attempt(self._rng)
        lease, self._lease = self._lease, 0
        if reply.outcome is not StoreOutcome.NO_REPLY and lease:
            self._store.end_lease(lease, _ignore_reply)
        elif lease:
            # The key may have been written; it expires with its lease.
            self.leadership.next_attempt_at += self.leadership.lease_seconds
            self._lease = lease

    def _become_leader(self, lease, revision):
        self._campaigning = False
        self._lease = lease
        self.leadership.become_leader(lease, revision)
        self._renew_at = self._loop.now() + RENEW_INTERVAL_SECONDS
        self._last_renewal_sent_at = self._loop.now()
        log_event(
            'leader_elected',
            lease=lease,
            revision=revision,
            valid=self.leadership.valid_until - self._loop.now(),
        )

    def _check_leader_key(self):
        """Step down, or resume leading, according to the leader key."""
        item = self._state.leader_item
        leadership = self.leadership
        if item is not None and item.lease not in (self._lease, 0):
            self._former_term = None
        if leadership.leading:
            if item is not None and item.revision > leadership.key_revision:
                self._step_down('replaced')
            return
        # The key may belong to this router although the reply to its write was
        # lost, or although the lease was not renewed during an outage.
        ours = item is not None and self._lease and item.lease == self._lease
        valid = self._loop.now() < leadership.valid_until
        if ours and valid and not leadership.campaigning_disabled:
            self._become_leader(item.lease, item.revision)

    def _step_down(self, reason):
        log_event(
            'leader_stopped',
            reason=reason,
            revision=self.leadership.key_revision,
        )
        self._former_term = self._make_former_term(reason)
        self._former_keys_removed = False
        lease = self.leadership.resign()
        # Keep an expired lease: the store may have paused it.
        self._lease = lease if reason == 'lease_over' else 0
        self._coordinators.clear()
        self._starting_services.clear()
        self._calls.close()
        self.leadership.delay_next_attempt(self._rng)
        if lease and reason == 'shutdown':
            self._store.end_lease(lease, _ignore_reply)

    def _make_former_term(self, reason):
        """Return the FormerTerm, or None if another may lead already."""
        if reason not in ('lease_over', 'store_restored'):
            return None
        return FormerTerm(
            self.leadership.valid_until,
            {
                service: sorted(coordinator.unconfirmed_spans)
                for service, coordinator in self._coordinators.items()
            },
            {
                service: coordinator.settled_at
                for service, coordinator in self._coordinators.items()
            },
        )

    # Renewal.

    def _renew(self):
        now = self._loop.now()
        is_overdue = now - self._last_renewal_sent_at > RENEWAL_TIMEOUT_SECONDS
        for coordinator in self._coordinators.values():
            if is_overdue and not coordinator.store_unresponsive:
                log_warning(
                    'lease_renewal_overdue',
                    seconds_left=self._lease_seconds_left(),
                )
                coordinator.extend_holds()
            coordinator.store_unresponsive = is_overdue
        if now < self._renew_at:
            return
        self._renew_at = now + RENEW_INTERVAL_SECONDS
        lease = self.leadership.lease

        def on_renewed(reply):
            self._on_renewed(lease, now, reply)

        self._store.renew_lease(lease, on_renewed)

    def _on_renewed(self, lease, sent_at, reply):
        if lease != self.leadership.lease:
            return
        if reply.ok:
            self.leadership.extend(sent_at, reply.lease_seconds)
            self._last_renewal_sent_at = max(
                self._last_renewal_sent_at, sent_at
            )
        elif reply.outcome is StoreOutcome.MISSING:
            self._step_down('lease_ended')
        else:
            log_warning(
                'lease_not_renewed',
                outcome=reply.outcome.value,
                seconds_left=self._lease_seconds_left(),
            )

    def _renew_paused_lease(self):
        """Renew the former lease after an outage of the store.

        This succeeds only if the store has paused the lease. The key is still
        bound to it then, so no other router has led in the meantime.
        """
        item = self._state.leader_item
        now = self._loop.now()
        if not self._lease or self._campaigning or now < self._renew_at:
            return
        if item is None or item.lease != self._lease:
            return
        self._renew_at = now + RENEW_INTERVAL_SECONDS
        lease = self._lease
        era = self._state.own_era

        def on_renewed(reply):
            if era != self._state.own_era:
                return
            if lease != self._lease or self.leadership.campaigning_disabled:
                return
            if reply.ok:
                self.leadership.extend(now, reply.lease_seconds)
            elif reply.outcome is StoreOutcome.MISSING:
                self._lease = 0

        self._store.renew_lease(lease, on_renewed)

    def _lease_seconds_left(self):
        return self.leadership.valid_until - self._loop.now()

    # Coordinators.

    def _run_coordinators(self):
        config = self._state.config
        if config is None:
            return
        keyed = {s.name for s in config.services.values() if s.keyed}
        for service in set(self._coordinators) - keyed:
            del self._coordinators[service]
        for service in keyed:
            coordinator = self._coordinators.get(service)
            if coordinator is None:
                self._start_coordinator(service)
            else:
                coordinator.tick()

    def _start_coordinator(self, service):
        if service in self._starting_services:
            return
        if not self._state.upstream_watch.synced:
            return
        self._starting_services.add(service)
        term = self.leadership.key_revision

        def on_table(ok, table, revision):
            if term != self.leadership.key_revision:
                return
            self._starting_services.discard(service)
            if not ok:
                return
            if table is not None:
                version = TableVersion(self._state.own_era, revision)
                self._state.adopt_table(service, table, version)
            settled_at = None
            if table is None and self._state.was_restored:
                table = self._remembered_table(service)
                if self._knows_owners():
                    settled_at = self._former_term.keys_settle_at(service)
            self._coordinators[service] = self._make_coordinator(
                service, table, revision, settled_at
            )

        self._calls.read_table(service, on_table)

    def _make_coordinator(self, service, table, revision, settled_at):
        coordinator = RangeCoordinator(
            service,
            self._loop,
            self._timings,
            self._calls,
            self._state.directory,
            self._key_loads_of(service),
            self._capacity,
        )
        former_leader_until = 0.0
        if self._state.was_restored:
            former_leader_until = (
                self._state.era_seen_at + self._timings.leader_lease
            )
        coordinator.start(
            table,
            revision,
            first_fence(self._state.own_era),
            former_leader_until,
            settled_at,
        )
        return coordinator

    def _remembered_table(self, service):
        """Return the table that this router knows from before the restore.

        The keys whose owner may have changed since are unsettled in it.
        """
        table = self._state.tables.get(service)
        unsettled = [ALL_KEYS]
        if table is None:
            table = RangeTable.empty()
        elif self._knows_owners():
            unsettled = self._former_term.unconfirmed.get(service, [])
        log_event(
            'table_remembered',
            service=service,
            ranges=len(table.ranges),
            unsettled=sum(last - first + 1 for first, last in unsettled),
        )
        return table.with_unsettled(unsettled)

    def _remove_former_keys(self):
        """Remove the keys of earlier eras once all tables are in this one."""
        coordinators = self._coordinators.values()
        if self._former_keys_removed or not coordinators:
            return
        if not all(c.has_renewed_fences for c in coordinators):
            return
        keys = self._state.former_keys()[:MAX_DELETED_KEYS]
        self._former_keys_removed = True
        if keys:
            condition = Condition(self.key, self.leadership.key_revision)
            self._store.write([condition], (), keys, _ignore_reply)

    def _key_loads_of(self, service):
        loads = self._key_loads.get(service)
        if loads is None:
            loads = self._key_loads[service] = KeyLoads(self._loop)
        return loads


def _ignore_reply(reply):
    """Ignore the reply: a lease that is not ended expires by itself."""
