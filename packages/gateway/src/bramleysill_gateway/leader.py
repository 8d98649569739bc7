"""Takes part in the leader election, and leads while elected."""

from bramleysill_gateway.cell_state import LEADER_KEY
from bramleysill_gateway.coordinators import Coordinators
from bramleysill_gateway.leader_key import LeaderKeyReader
from bramleysill_gateway.leader_key import encode_leader
from bramleysill_gateway.replaced_lease import ReplacedLease
from bramleysill_kernel.common.store_types import Condition
from bramleysill_kernel.common.store_types import Put
from bramleysill_kernel.common.store_types import StoredItem
from bramleysill_kernel.common.store_types import StoreOutcome
from bramleysill_kernel.election.leadership import Leadership
from bramleysill_kernel.election.leadership import is_preferred_leader
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning

# A write to the store may delete this many keys.
MAX_DELETED_KEYS = 32
# If the last confirmed renewal was sent longer ago, the store counts as down.
# The rest of the leader lease is used to extend the holds.
RENEWAL_TIMEOUT_SECONDS = 1.3
# If it is longer ago than this, or if this many renewals in a row were
# refused, another router is asked to lead.
# By then two renewals have had no reply.
TAKEOVER_AFTER_SECONDS = 1.15
TAKEOVER_AFTER_REFUSALS = 2
# A leader that was elected within this time does not ask for it unless it is
# refused: where all are slow, the next leader is too. Moves of keys then wait
# for the rest of its lease, but no router trusts its feeds for that long.
MIN_TERM_SECONDS = 5.0
# A refused renewal is sent again after this time.
REFUSED_RENEWAL_DELAY_SECONDS = 0.15
# After these ends of a term nobody else can lead yet.
REASONS_TO_TRUST_OWNERS = ('lease_over', 'store_restored')


class LeaderElection:
    """One router's candidacy for the leader key, and its work as leader."""

    def __init__(
        self, loop, rng, cfg, address, store, state, limits, on_departure
    ):
        self.leadership = Leadership(
            loop, cfg.timings.leader_lease, is_preferred_leader(cfg)
        )
        self._timings = cfg.timings
        self._loop = loop
        self._rng = rng
        self._store = store
        self._state = state
        self._adapter = state.adapter
        self._leader_key_value = encode_leader(cfg.name, address)
        self.coordinators = Coordinators(
            loop,
            cfg.timings,
            store,
            state,
            self.leadership,
            limits,
            on_departure,
        )
        self._campaigning = False
        self._renew_at = 0.0
        self._last_renewal_sent_at = 0.0
        # Lease of the leader key, or 0. It is kept after it has expired, since
        # the store may pause leases while it is down.
        self._lease = 0
        self._former_keys_removed = False
        # Called with the former leader, as (name, address), and the new
        # leader key when this router is elected.
        self.on_elected = lambda former, item: None
        self._name = cfg.name
        self._former_leader = None
        self._refused_renewals = 0
        self._replaced_lease = ReplacedLease(loop, store)
        self._leader_key_reader = LeaderKeyReader()

    @property
    def key(self):
        """Return the name of the leader key in the store."""
        return self._state.own_key(LEADER_KEY)

    @property
    def last_renewal_sent_at(self):
        """Return when the last confirmed renewal of the lease was sent."""
        return self._last_renewal_sent_at

    def seconds_since_renewal(self):
        """Return the seconds since the last confirmed renewal was sent."""
        return self._loop.now() - self._last_renewal_sent_at

    def current_leader(self):
        """Return (name, peer address) of the leader, or None."""
        return self._leader_key_reader.read(self._state.leader_item)

    def note_report(self, message):
        """Use a router's report of requests and service times, as leader."""
        if self.leadership.leading:
            self.coordinators.note_report(message)

    def tick(self):
        """Renew, campaign or coordinate; called every tick of the process."""
        leadership = self.leadership
        if leadership.leading and not leadership.is_valid():
            self._step_down('lease_over')
        self._check_leader_key()
        if leadership.leading:
            self._renew()
            if self._replaced_lease.lease:
                self._replaced_lease.end(self._on_replaced_lease_ended)
                return
            self.coordinators.tick()
            self._remove_former_keys()
            return
        self._note_leader()
        self._renew_paused_lease()
        key_is_free = (
            self._state.own_watch.listed
            and self._state.leader_item is None
            and self._loop.now() >= self._first_campaign_at()
        )
        if leadership.may_campaign(key_is_free) and not self._campaigning:
            self._campaign()

    def is_refused(self):
        """Return whether the store does not renew the lease of this leader."""
        if not self.leadership.is_valid():
            return False
        if self._refused_renewals >= TAKEOVER_AFTER_REFUSALS:
            return True
        term = self._loop.now() - self.leadership.became_leader_at
        return (
            term > MIN_TERM_SECONDS
            and self.seconds_since_renewal() > TAKEOVER_AFTER_SECONDS
        )

    def take_over(self, item):
        """Replace the leader whose key is `item`; it has asked for that."""
        leadership = self.leadership
        if leadership.leading or self._campaigning:
            return
        if leadership.campaigning_disabled or not self._state.own_watch.listed:
            return
        log_event('takeover_started', revision=item.revision)
        self._replaced_lease.lease = item.lease
        self._campaign(item.revision)

    def yield_to(self, item):
        """Stop leading: another router's leader key is in the store."""
        if (
            self.leadership.leading
            and item.revision > self.leadership.key_revision
        ):
            self._step_down('taken_over')

    def _note_leader(self):
        leader = self.current_leader()
        if leader is not None and leader[0] != self._name:
            self._former_leader = leader

    def _on_replaced_lease_ended(self):
        # Grants of the leader before count until its lease would be over by
        # its own clock.
        self.coordinators.former_leader_until = (
            self._loop.now() + self._timings.leader_lease
        )

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
        if self.coordinators.know_owners():
            return 0.0
        return state.era_seen_at + self._timings.leader_lease

    def resign(self):
        """Give up the leader key and campaign no more; for shutdown."""
        self.leadership.campaigning_disabled = True
        if self.leadership.leading:
            self._step_down('shutdown')

    def sweep(self):
        """Drop connections and service times of removed upstreams."""
        self.coordinators.sweep()

    # Campaign.

    def _campaign(self, replaced_revision=0):
        """Write the leader key; it must be free or have this revision."""
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
            self._write_key(reply.lease, replaced_revision)

        self._store.open_lease(seconds, on_lease)

    def _write_key(self, lease, replaced_revision):
        era = self._state.own_era

        def on_written(reply):
            if era != self._state.own_era:
                return
            if not reply.ok:
                self._campaign_failed(reply)
                return
            self._become_leader(lease, reply.revision)

        self._store.write(
            [Condition(self.key, replaced_revision)],
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
            return
        self._replaced_lease.forget()

    def _become_leader(self, lease, revision):
        self._campaigning = False
        self._lease = lease
        self.leadership.become_leader(lease, revision)
        self._renew_at = self._loop.now() + self._timings.leader_renewal
        self._last_renewal_sent_at = self._loop.now()
        log_event(
            'leader_elected',
            lease=lease,
            revision=revision,
            valid=self.leadership.valid_until - self._loop.now(),
        )
        self._refused_renewals = 0
        self._replaced_lease.end_at_once()
        self._state.watch_store()
        if self._former_leader is not None:
            item = StoredItem(
                self.key, self._leader_key_value, revision, lease
            )
            self.on_elected(self._former_leader, item)

    def _check_leader_key(self):
        """Step down, or resume leading, according to the leader key."""
        item = self._state.leader_item
        leadership = self.leadership
        if item is not None and item.lease not in (self._lease, 0):
            self.coordinators.note_other_leader()
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
        self.coordinators.end_term(reason in REASONS_TO_TRUST_OWNERS)
        self._former_keys_removed = False
        self._replaced_lease.forget()
        key_revision = self.leadership.key_revision
        lease = self.leadership.resign()
        # Keep an expired lease: the store may have paused it.
        self._lease = lease if reason == 'lease_over' else 0
        self.leadership.delay_next_attempt(self._rng)
        if lease and reason == 'shutdown':
            self._give_up_key(lease, key_revision)

    def _give_up_key(self, lease, key_revision):
        """Remove the leader key, and leave the holds to the next leader."""
        puts = [
            Put(self._state.own_key(name), value, 0)
            for name, value in self.coordinators.holds_records()
        ]
        if not puts:
            self._store.end_lease(lease, _ignore_reply)
            return

        def on_written(reply):
            if reply.outcome is not StoreOutcome.NO_REPLY:
                self._store.end_lease(lease, _ignore_reply)

        # The next leader is elected after it can read the record.
        condition = Condition(self.key, key_revision)
        self._store.write([condition], puts, [self.key], on_written)

    # Renewal.

    def _renew(self):
        now = self._loop.now()
        self.coordinators.note_renewals(
            now - self._last_renewal_sent_at > RENEWAL_TIMEOUT_SECONDS
        )
        if now < self._renew_at:
            return
        self._renew_at = now + self._timings.leader_renewal
        lease = self.leadership.lease

        def on_renewed(reply):
            self._on_renewed(lease, now, reply)

        self._store.renew_lease(lease, on_renewed)

    def _on_renewed(self, lease, sent_at, reply):
        if lease != self.leadership.lease:
            return
        if reply.ok:
            self._refused_renewals = 0
            self.leadership.extend(sent_at, reply.lease_seconds)
            self._last_renewal_sent_at = max(
                self._last_renewal_sent_at, sent_at
            )
        elif reply.outcome is StoreOutcome.MISSING:
            self._step_down('lease_ended')
        else:
            if reply.outcome is StoreOutcome.REFUSED:
                self._refused_renewals += 1
                self._renew_at = (
                    self._loop.now() + REFUSED_RENEWAL_DELAY_SECONDS
                )
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
        self._renew_at = now + self._timings.leader_renewal
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

    def _remove_former_keys(self):
        """Remove the keys of earlier eras once all tables are in this one."""
        if self._former_keys_removed:
            return
        if not self.coordinators.have_renewed_fences():
            return
        keys = self._state.former_keys()[:MAX_DELETED_KEYS]
        self._former_keys_removed = True
        if keys:
            condition = Condition(self.key, self.leadership.key_revision)
            self._store.write([condition], (), keys, _ignore_reply)


def _ignore_reply(reply):
    """Ignore the reply: a lease that is not ended expires by itself."""
