"""Keeps a router's knowledge of the store provably recent.

A feed names the age of the leader's knowledge when it was sent. It may have
been buffered since, so that it proves nothing here. A follower therefore asks
the leader, which answers with the age of its own knowledge, and only the time
at which the follower has sent its request counts. If that does not suffice,
the follower reads the configuration from the store.
"""

from bramleysill_kernel.common import messages
from bramleysill_kernel.discovery import freshness_schedule
from bramleysill_kernel.discovery.freshness import may_use_keys
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning

# Reads of many routers spread over this fraction of their interval.
READ_SPREAD = 0.2


class FreshnessExchange:
    """This router's requests and replies; set `links` before the first tick.

    `needs_own()` tells whether this router must know the registered routers
    as of a second ago, for `state.own_freshness`.
    """

    def __init__(self, loop, rng, cfg, state, store, leader, metrics):
        self.links = None
        self.needs_own = lambda: False
        self._loop = loop
        self._rng = rng
        self._cfg = cfg
        self._state = state
        self._store = store
        self._leader = leader
        self._metrics = metrics
        self._started_at = loop.now()
        self._requests = freshness_schedule.SentRequests(
            loop, rng.getrandbits(31)
        )
        self._last_request_at = 0.0
        self._read_at = 0.0
        self._reading = False
        self._keys_accepted = False
        self._watches = {
            watch.prefix: watch
            for watch in (state.operator_watch, state.own_watch)
        }
        state.operator_watch.longest_wait = self._longest_config_wait
        state.own_watch.longest_wait = self._longest_own_wait

    def tick(self):
        """Ask the leader and read the store when that is due."""
        now = self._loop.now()
        bounds = self._cfg.bounds
        freshness = self._state.config_freshness
        interval = freshness_schedule.request_interval(
            bounds, freshness, self.needs_own()
        )
        if interval is not None and now >= self._last_request_at + interval:
            self._last_request_at = now
            self._ask_leader()
        uptime = now - self._started_at
        if now >= self._read_at and freshness_schedule.must_read(
            bounds, freshness, uptime, self._state.operator_watch.listed
        ):
            self._read_config(now)
        self._note_acceptance()

    def on_request(self, link, message):
        """Answer a follower, as a leader whose lease is valid."""
        if not self._leader.leadership.is_valid():
            return
        rows = [
            messages.FreshnessRow(
                watch.prefix, watch.last_change, watch.freshness.age()
            )
            for watch in self._watches.values()
            if watch.listed and watch.freshness.as_of is not None
        ]
        link.send(
            messages.FreshnessReply(
                message.number, self._state.store_era, rows
            )
        )

    def on_reply(self, message):
        """Use the reply of the leader for what this router has applied."""
        sent_at = self._requests.take(message.number)
        if sent_at is None or message.era != self._state.store_era:
            return
        for row in message.rows:
            watch = self._watches.get(row.prefix)
            if watch is None or not watch.listed:
                continue
            # A change that hasn't arrived here may be a revoked key.
            if row.revision > watch.revision:
                continue
            if not watch.freshness.note_leader_reply(sent_at, row.age):
                self._metrics.events['freshness_reply_invalid'] += 1
                log_warning(
                    'freshness_reply_invalid', prefix=row.prefix, age=row.age
                )

    def _ask_leader(self):
        leader = self._leader.current_leader()
        if leader is None or leader[0] == self._cfg.name:
            return
        number = self._requests.add()
        self.links.send(leader[0], messages.FreshnessRequest(number))

    def _read_config(self, now):
        if self._reading:
            return
        self._reading = True
        spread = self._rng.uniform(1.0, 1.0 + READ_SPREAD)
        self._read_at = now + spread * freshness_schedule.read_interval(
            self._cfg.bounds
        )
        self._metrics.events['config_read'] += 1
        era = self._state.store_era

        def on_reply(reply):
            self._reading = False
            # An item of another era has a revision that can't be compared.
            if reply.ok and era == self._state.store_era:
                self._on_config(now, reply.items)

        self._store.read(self._state.adapter.config_key, on_reply)

    def _on_config(self, sent_at, items):
        watch = self._state.operator_watch
        age = watch.freshness.age()
        for item in items:
            watch.apply_item(item)
            known = watch.items.get(item.key)
            if known is None or known.revision < item.revision:
                return
            watch.freshness.note_store_reply(sent_at)
            log_event('config_read', revision=item.revision, age=age)

    def _note_acceptance(self):
        """Log when requests with keys begin to be refused or accepted."""
        if not self._cfg.bounds.strict_revoke:
            return
        freshness = self._state.config_freshness
        accepted = may_use_keys(freshness, self._cfg.bounds)
        if accepted == self._keys_accepted:
            return
        self._keys_accepted = accepted
        if accepted:
            log_event('keys_accepted', age=freshness.age())
            return
        self._metrics.events['keys_refused'] += 1
        log_warning(
            'keys_refused',
            age=freshness.age(),
            revision=self._state.operator_watch.revision,
        )

    def _longest_config_wait(self):
        return freshness_schedule.longest_config_wait(
            self._cfg.bounds, self._leader.leadership.leading
        )

    def _longest_own_wait(self):
        config = self._state.config
        return freshness_schedule.longest_own_wait(
            self.needs_own(),
            self._leader.leadership.leading,
            None if config is None else config.organisations,
        )
