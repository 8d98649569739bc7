"""Keeps the configuration, upstreams and owners that are read from the store.

A document that can't be decoded is logged, counted and ignored. The last
valid configuration stays in use; an upstream whose entry can't be decoded is
removed.
"""

import typing

from bramleysill_gateway.prefix_watch import PrefixWatch
from bramleysill_kernel.common.exceptions import SillError
from bramleysill_kernel.discovery.upstream_directory import UpstreamDirectory
from bramleysill_kernel.load.shared_limits import KnownRouters
from bramleysill_kernel.ranges.key_ranges import FIRST_ERA
from bramleysill_kernel.ranges.key_ranges import RangeTable
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning

LEADER_KEY = 'leader'
TABLES_PREFIX = 'keys/'
ROUTERS_PREFIX = 'nodes/'
HOLDS_PREFIX = 'holds/'
UNKNOWN_ERA = 0
# After the store was restored, the operator has written again within this
# time what the store has lost.
OPERATOR_REWRITE_SECONDS = 3.0


class TableVersion(typing.NamedTuple):
    """The order of the tables of a service, over all eras of the store."""

    era: int
    revision: int


NO_VERSION = TableVersion(UNKNOWN_ERA, 0)


class CellState:
    """The latest state of the cell: all routers and upstreams of the store.

    Calls `on_tables_changed()` after each change of owners.
    """

    def __init__(self, loop, rng, timings, store, adapter, metrics):
        self.config = None
        self.directory = UpstreamDirectory(loop, timings)
        # RangeTable by service.
        self.tables = {}
        # StoredItem of the leader key, or None.
        self.leader_item = None
        self.routers = KnownRouters(loop)
        self.on_tables_changed = lambda: None
        # Called when the store was restored from an older copy.
        self.on_restored = lambda: None
        # The era that the store names in its replies; 0 before the first one.
        # It rises when the store comes back from an older copy of itself.
        self.store_era = UNKNOWN_ERA
        # When the first reply of this era was received, in seconds.
        self.era_seen_at = 0.0
        self.adapter = adapter
        self._loop = loop
        self._adapter = adapter
        self._metrics = metrics
        self._table_versions = {}
        # Evacuations that a restored store has lost, until they are written
        # again: {domain: until}.
        self._lost_evacuations = {}

        def watch(prefix, on_change):
            watch = PrefixWatch(
                loop,
                rng,
                timings,
                store,
                prefix,
                on_change,
                self._on_store_recovered,
            )
            watch.another_watch_retries = lambda: self._another_watch_retries(
                watch
            )
            return watch

        # Keys written by the operator, by upstreams and by routers.
        self.operator_watch = watch(
            adapter.operator_prefix, self._on_operator_item
        )
        self.upstream_watch = watch(
            adapter.upstream_prefix, self._on_upstream_item
        )
        self.own_watch = watch(adapter.own_prefix, self._on_own_item)
        # How recent the configuration and the registered routers are.
        self.config_freshness = self.operator_watch.freshness
        self.own_freshness = self.own_watch.freshness
        self._watches = (
            self.operator_watch,
            self.upstream_watch,
            self.own_watch,
        )

    def start(self):
        """Start watching the store."""
        for watch in self._watches:
            watch.start()

    def watch_store(self):
        """Watch the store at once, as the leader, who gets no feeds."""
        for watch in self._watches:
            watch.end_feed()

    def read_routers(self):
        """Read the registered routers now, not at the end of the feed."""
        self.own_watch.end_feed()

    def stop(self):
        """Stop all watches."""
        for watch in self._watches:
            watch.stop()

    def tick(self):
        """Remove upstreams that did not register again after an outage."""
        for upstream in self.directory.tick():
            log_event(
                'upstream_removed', upstream=upstream, reason='no_return'
            )
        if self._lost_evacuations:
            self._apply_evacuations()

    @property
    def synced(self):
        """Return whether all prefixes were listed at least once."""
        return all(watch.synced for watch in self._watches)

    def missing_state(self):
        """Return which state required to serve is missing, or ''."""
        if self.config is None:
            return 'no configuration was received'
        if not self.synced:
            return 'the first listing of the store is not complete'
        for service in self.config.services.values():
            if service.keyed and service.name not in self.tables:
                return 'no owner table was received'
        return ''

    def note_store_era(self, era):
        """Record the era that a reply of the store names.

        In a new era, what the store has is older than what is known. It is
        read anew, and the known state stays in use until then.
        """
        if era <= self.store_era:
            return
        log_event(
            'store_era_changed',
            era=era,
            previous=self.store_era,
            revisions=','.join(str(w.revision) for w in self._watches),
        )
        was_restored = self.store_era != UNKNOWN_ERA
        self.store_era = era
        self.era_seen_at = self._loop.now()
        if was_restored:
            self._read_restored_store()

    def _read_restored_store(self):
        self.leader_item = None
        until = self._loop.now() + OPERATOR_REWRITE_SECONDS
        self._lost_evacuations = dict.fromkeys(self.directory.evacuated, until)
        self.directory.note_store_recovered()
        self.routers.note_store_recovered()
        for watch in self._watches:
            watch.restart()
        self.on_restored()

    @property
    def was_restored(self):
        """Return whether the store has ever lost what it had confirmed."""
        return self.store_era > FIRST_ERA

    @property
    def own_era(self):
        """Return the era of this router's keys in the store."""
        return max(self.store_era, FIRST_ERA)

    def own_key(self, name):
        """Return the store key of the leader or of a table in this era.

        Each era has keys of its own. A restored store gives revisions out
        again, so that a late write of a former leader could meet its
        conditions by chance.
        """
        if not self.was_restored:
            return f'{self._adapter.own_prefix}{name}'
        return f'{self._adapter.own_prefix}{self.own_era}/{name}'

    def former_keys(self):
        """Return the keys of the leader and of tables of earlier eras."""
        return [
            key
            for key in self.own_watch.items
            if self._parse_own_key(key)[0] < self.own_era
            and not self._parse_own_key(key)[1].startswith(ROUTERS_PREFIX)
        ]

    def has_table_of_this_era(self):
        """Return whether a leader of this era has written a table."""
        return any(
            version.era == self.own_era
            for version in self._table_versions.values()
        )

    def adopt_table(self, service, table, version):
        """Use a table if its TableVersion is newer than the known one."""
        if version <= self._table_versions.get(service, NO_VERSION):
            return
        self._table_versions[service] = version
        self.tables[service] = table
        self.on_tables_changed()

    def _on_store_recovered(self):
        self.directory.note_store_recovered()
        self.routers.note_store_recovered()
        for watch in self._watches:
            watch.retry_now()

    def _another_watch_retries(self, watch):
        """Return whether an earlier watch retries often during an outage."""
        lost = [w for w in self._watches if not w.reachable]
        return lost[0] is not watch

    def _on_operator_item(self, item):
        if item.key == self._adapter.config_key:
            if item.value is not None:
                self._apply_config(item)
        elif item.key.startswith(self._adapter.evacuation_prefix):
            if self.operator_watch.listed:
                domain = item.key[len(self._adapter.evacuation_prefix) :]
                self._lost_evacuations.pop(domain, None)
            self._apply_evacuations()

    def _apply_evacuations(self):
        prefix = self._adapter.evacuation_prefix
        domains = {
            key[len(prefix) :]
            for key in self.operator_watch.items
            if key.startswith(prefix)
        }
        now = self._loop.now()
        domains.update(
            d for d, at in self._lost_evacuations.items() if now < at
        )
        if domains == self.directory.evacuated:
            return
        log_event(
            'evacuation_changed',
            domains=','.join(sorted(domains)) or 'none',
            revision=self.operator_watch.revision,
        )
        self.directory.set_evacuated(domains)

    def _apply_config(self, item):
        try:
            config = self._adapter.decode_config(item.value)
        except SillError as exc:
            self._reject_document(item, exc)
            return
        if self.config is not None and config.version < self.config.version:
            log_warning(
                'config_ignored',
                version=config.version,
                current_version=self.config.version,
            )
            return
        self.config = config
        log_event(
            'config_applied',
            version=config.version,
            revision=item.revision,
            routes=len(config.routes),
        )
        for route, kind in config.unknown_kinds.items():
            self._metrics.events['route_kind_unknown'] += 1
            log_warning(
                'route_kind_unknown',
                route=route,
                kind=kind,
                version=config.version,
            )
        if config.organisations is not None:
            self._note_unusable_keys(config)

    def _note_unusable_keys(self, config):
        for name, count in config.organisations.unusable_keys.items():
            self._metrics.events['api_key_unusable'] += count
            log_warning(
                'api_key_unusable',
                organisation=name,
                keys=count,
                version=config.version,
            )

    def _on_upstream_item(self, item):
        upstream = item.key[len(self._adapter.upstream_prefix) :]
        if item.value is None:
            self._remove_upstream(upstream, item, 'removed')
            return
        now = self._loop.now()
        try:
            entry = self._adapter.decode_upstream(upstream, item.value, now)
        except SillError as exc:
            self._reject_document(item, exc)
            self._remove_upstream(upstream, item, 'unreadable')
            return
        old = self.directory.get(upstream)
        if self.upstream_watch.listed:
            self.directory.put(entry)
        else:
            self.directory.put_from_copy(entry)
        is_changed = old is None or (old.incarnation, old.draining) != (
            entry.incarnation,
            entry.draining,
        )
        # The first listing of some hundred entries is one line of its own.
        if is_changed and self.upstream_watch.synced:
            log_event(
                'upstream_updated',
                upstream=upstream,
                incarnation=entry.incarnation,
                service=entry.service,
                draining=entry.draining,
                cold_seconds=max(0.0, entry.cold_until - now),
                revision=item.revision,
            )

    def _remove_upstream(self, upstream, item, reason):
        if self.directory.get(upstream) is not None:
            log_event(
                'upstream_removed',
                upstream=upstream,
                reason=reason,
                revision=item.revision,
            )
        self.directory.remove(upstream)

    def _parse_own_key(self, key):
        """Return (era, name) of a key; the first era isn't in its keys."""
        name = key[len(self._adapter.own_prefix) :]
        era, _, rest = name.partition('/')
        if era.isascii() and era.isdecimal():
            return int(era), rest
        return FIRST_ERA, name

    def _on_own_item(self, item):
        era, name = self._parse_own_key(item.key)
        if name == LEADER_KEY:
            if item.key == self.own_key(LEADER_KEY):
                self.leader_item = None if item.value is None else item
        elif name.startswith(ROUTERS_PREFIX):
            self._on_router_item(name[len(ROUTERS_PREFIX) :], item)
        elif name.startswith(TABLES_PREFIX) and item.value is not None:
            version = TableVersion(era, item.revision)
            self._on_table_item(name[len(TABLES_PREFIX) :], item, version)

    def _on_router_item(self, name, item):
        if item.value is None:
            self.routers.remove(name)
        else:
            self.routers.add(name, item.value.decode(errors='replace'))

    def _on_table_item(self, service, item, version):
        if version <= self._table_versions.get(service, NO_VERSION):
            return
        try:
            table = RangeTable.decode(item.value)
        except SillError as exc:
            self._reject_document(item, exc)
            return
        self.adopt_table(service, table, version)

    def _reject_document(self, item, exc):
        self._metrics.events['document_rejected'] += 1
        log_warning(
            'document_rejected',
            key=item.key,
            revision=item.revision,
            error=exc,
        )
