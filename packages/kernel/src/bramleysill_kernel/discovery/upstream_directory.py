"""Directory of registered upstreams that tells which of them may be used.

Entries come from the store. If an entry disappears shortly after an outage of
the store, its lease may have expired only because the upstream could not
renew it. Such an entry is kept for `REREGISTRATION_SECONDS` and removed if
the upstream has not registered again by then.
"""

import collections

# Upstreams whose entries expired during an outage register again within about
# two seconds of its end. After that, a missing upstream has left.
REREGISTRATION_SECONDS = 2.2
# The entry of an upstream that has left is kept for releases, because it has
# the address. The time is longer than any hold of keys.
LEFT_ENTRY_RETENTION_SECONDS = 15.0


class UpstreamEntry:
    """The registration of an upstream.

    `upstream` is its id and `incarnation` the start time of its process,
    which tells apart processes with the same id. `cold_until` is the time in
    seconds at which its slow start ends.
    """

    __slots__ = (
        'upstream',
        'incarnation',
        'service',
        'host',
        'port',
        'failure_domain',
        'slots',
        'draining',
        'cold_until',
    )

    def __init__(
        self,
        upstream,
        incarnation,
        service,
        host,
        port,
        failure_domain,
        slots,
        draining,
        cold_until,
    ):
        self.upstream = upstream
        self.incarnation = incarnation
        self.service = service
        self.host = host
        self.port = port
        self.failure_domain = failure_domain
        self.slots = slots
        self.draining = draining
        self.cold_until = cold_until

    @property
    def address(self):
        """Return (host, port)."""
        return self.host, self.port


class UpstreamDirectory:
    """All known upstreams by id, and the evacuated failure domains."""

    __slots__ = (
        'entries',
        'evacuated',
        'serial',
        '_clock',
        '_timings',
        '_evacuated_until',
        '_by_service',
        '_by_address',
        '_leaving',
        '_missing_until',
        '_store_recovered_at',
        '_unconfirmed',
        '_departures',
    )

    def __init__(self, clock, timings):
        self.entries = {}
        self.evacuated = set()
        # Incremented by each change, so that callers can cache results.
        self.serial = 0
        self._clock = clock
        self._timings = timings
        self._evacuated_until = {}
        # Entries by service, None until they are asked for after a change.
        self._by_service = None
        # The ids of the entries with an address.
        self._by_address = collections.defaultdict(set)
        # Upstreams that drain or have left, and the time until which they are
        # used: {upstream: (entry, until)}.
        self._leaving = {}
        self._missing_until = {}
        self._store_recovered_at = None
        # Entries of a restored store whose processes had left, and when they
        # count if they are still there: {upstream: (entry, at)}.
        self._unconfirmed = {}
        # The incarnations of the processes that have said that they leave,
        # by upstream.
        self._departures = {}

    def note_departure(self, upstream, incarnation):
        """Record that a process has said that it leaves.

        This counts whatever its entry says. Returns whether it is new.
        """
        if self._departures.get(upstream, -1) >= incarnation:
            return False
        known = self.last_known(upstream)
        if known is None or known.incarnation > incarnation:
            return False
        self._departures[upstream] = incarnation
        entry = self.entries.get(upstream)
        if entry is not None and entry.incarnation == incarnation:
            self.put(entry)
        return True

    def departures(self):
        """Return the processes that leave, as (upstream, incarnation)."""
        return set(self._departures.items())

    def note_store_recovered(self):
        """Keep entries that disappear shortly after a store outage."""
        self._store_recovered_at = self._clock.now()

    def put(self, entry):
        """Add or replace an entry."""
        self._missing_until.pop(entry.upstream, None)
        self._unconfirmed.pop(entry.upstream, None)
        self._drop_older_process(entry)
        if self._departures.get(entry.upstream) == entry.incarnation:
            entry.draining = True
        if entry.draining:
            self._note_leaving(entry)
        else:
            self._leaving.pop(entry.upstream, None)
        self._forget_address(self.entries.get(entry.upstream))
        self.entries[entry.upstream] = entry
        self._by_address[entry.address].add(entry.upstream)
        self._note_change()

    def put_from_copy(self, entry):
        """Add an entry of a store that was restored from an older copy.

        What was known of the same process stays true: that it drains, or that
        it has left. An entry that has left counts only if the store still has
        it when entries of ended processes have been removed.
        """
        known = self.last_known(entry.upstream)
        if known is None or known.incarnation < entry.incarnation:
            self.put(entry)
            return
        if known.incarnation > entry.incarnation:
            return
        entry.draining = entry.draining or known.draining
        if entry.upstream in self.entries:
            self.put(entry)
            return
        at = self._clock.now() + self._timings.silent_entry
        self._unconfirmed[entry.upstream] = entry, at

    def remove(self, upstream):
        """Remove an entry, with a delay shortly after an outage."""
        self._unconfirmed.pop(upstream, None)
        if upstream not in self.entries:
            return
        now = self._clock.now()
        recovered = self._store_recovered_at
        if recovered is not None and now < recovered + REREGISTRATION_SECONDS:
            self._missing_until[upstream] = recovered + REREGISTRATION_SECONDS
            return
        self._drop(upstream)

    def tick(self):
        """Remove missing upstreams that did not register again in time.

        Returns their ids.
        """
        now = self._clock.now()
        for entry, at in list(self._unconfirmed.values()):
            if now >= at:
                self.put(entry)
        expired = [u for u, at in self._missing_until.items() if now >= at]
        for upstream in expired:
            self._drop(upstream)
        self._discard_left_entries(now)
        return expired

    def set_evacuated(self, domains):
        """Set the failure domains whose upstreams get no new work."""
        if domains == self.evacuated:
            return
        self.evacuated = set(domains)
        end = self._clock.now() + self._timings.leaving_grace
        self._evacuated_until = {
            d: self._evacuated_until.get(d, end) for d in domains
        }
        self._note_change()

    def of_service(self, service):
        """Return the entries of a service."""
        if self._by_service is None:
            self._by_service = collections.defaultdict(list)
            for entry in self.entries.values():
                self._by_service[entry.service].append(entry)
        return self._by_service.get(service, ())

    def usable(self, service):
        """Return the entries of a service that may get new work.

        Missing entries are used only if there are no others. After an outage
        of the store all entries may be missing, but if only this router was
        cut off from the store, a missing upstream has left.
        """
        found = [
            e for e in self.of_service(service) if self.accepts_new_work(e)
        ]
        if not self._missing_until:
            return found
        registered = [
            e for e in found if e.upstream not in self._missing_until
        ]
        return registered or found

    def accepts_new_work(self, entry):
        """Return whether an upstream may get new work."""
        return (
            not entry.draining and entry.failure_domain not in self.evacuated
        )

    def get(self, upstream):
        """Return an entry, or None."""
        return self.entries.get(upstream)

    def owner_entry(self, upstream, incarnation):
        """Return the entry to send requests for owned keys to, or None.

        An owner that leaves, or whose failure domain is evacuated, is still
        used for `leaving_grace` seconds while its keys move.
        """
        entry = self.entries.get(upstream)
        leaving = self._leaving.get(upstream)
        if leaving is not None:
            entry = leaving[0]
            if self._clock.now() >= leaving[1]:
                return None
        if entry is None or entry.incarnation != incarnation:
            return None
        end = self._evacuated_until.get(entry.failure_domain)
        if end is not None and self._clock.now() >= end:
            return None
        return entry

    def last_known(self, upstream):
        """Return the entry of an upstream, even if it has left recently."""
        entry = self.entries.get(upstream)
        if entry is None and upstream in self._leaving:
            entry = self._leaving[upstream][0]
        return entry

    def _drop_older_process(self, entry):
        # Two live processes can't share an address, so an entry with the same
        # address and an older incarnation belongs to an ended process.
        for upstream in list(self._by_address.get(entry.address, ())):
            other = self.entries[upstream]
            if (
                upstream != entry.upstream
                and other.incarnation < entry.incarnation
            ):
                self._drop(upstream)

    def _drop(self, upstream):
        self._missing_until.pop(upstream, None)
        entry = self.entries.pop(upstream, None)
        if entry is not None:
            self._forget_address(entry)
            self._note_leaving(entry)
            self._note_change()

    def _note_leaving(self, entry):
        end = self._clock.now() + self._timings.leaving_grace
        self._leaving.setdefault(entry.upstream, (entry, end))

    def _discard_left_entries(self, now):
        old = [
            upstream
            for upstream, (_, end) in self._leaving.items()
            if now > end + LEFT_ENTRY_RETENTION_SECONDS
            and upstream not in self.entries
        ]
        for upstream in old:
            del self._leaving[upstream]
        ended = [
            upstream
            for upstream, incarnation in self._departures.items()
            if self._has_ended(upstream, incarnation)
        ]
        for upstream in ended:
            del self._departures[upstream]

    def _has_ended(self, upstream, incarnation):
        known = self.last_known(upstream)
        return known is None or known.incarnation > incarnation

    def _forget_address(self, entry):
        if entry is None:
            return
        upstreams = self._by_address[entry.address]
        upstreams.discard(entry.upstream)
        if not upstreams:
            del self._by_address[entry.address]

    def _note_change(self):
        self.serial += 1
        self._by_service = None
