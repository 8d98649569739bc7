"""Upstreams that may be assigned keys, and processes that have ended.

An upstream that did not accept a grant gets no new keys for a while. If it
were assigned any, they might go unserved until their hold had expired.
"""

from bramleysill_kernel.ranges.range_planner import Capacity

# An upstream that did not accept a grant gets no keys for this time, unless
# it accepts one earlier.
GRANT_FAILURE_BACKOFF_SECONDS = 6.0


class OwnerPool:
    """Candidate owners for the keys of one service.

    `capacity_of(entry)` returns the requests/s that an upstream can serve.
    """

    __slots__ = (
        '_service',
        '_clock',
        '_directory',
        '_capacity_of',
        '_backoff_until',
        '_ended',
    )

    def __init__(self, service, clock, directory, capacity_of):
        self._service = service
        self._clock = clock
        self._directory = directory
        self._capacity_of = capacity_of
        # End of the backoff of upstreams that did not accept a grant.
        self._backoff_until = {}
        # Processes known to have ended, as (upstream, incarnation).
        self._ended = set()

    def record_process_end(self, item):
        """Record that the process that owns a range has ended."""
        self._ended.add((item.owner, item.incarnation))

    def has_ended(self, item):
        """Return whether the owner's process is known to have ended."""
        return (item.owner, item.incarnation) in self._ended

    def may_keep(self, item):
        """Return whether the owner of a range can serve it from now on."""
        entry = self._directory.get(item.owner)
        if entry is None or entry.incarnation != item.incarnation:
            return False
        if entry.service != self._service:
            return False
        if not self._directory.accepts_new_work(entry):
            return False
        return not self.has_ended(item)

    def record_grant_success(self, upstream):
        """Record that an upstream has accepted a grant."""
        self._backoff_until.pop(upstream, None)

    def record_grant_failure(self, upstream):
        """Record that an upstream has not accepted a grant."""
        self._backoff_until[upstream] = (
            self._clock.now() + GRANT_FAILURE_BACKOFF_SECONDS
        )

    def discard_expired_backoffs(self):
        """Remove the backoffs that have expired."""
        now = self._clock.now()
        self._backoff_until = {
            upstream: until
            for upstream, until in self._backoff_until.items()
            if until > now
        }

    def capacities(self):
        """Return the Capacity of each upstream that may be assigned keys.

        Upstreams in slow start are used only if there are no others.
        """
        now = self._clock.now()
        usable = self._directory.usable(self._service)
        reachable = [e for e in usable if self._is_reachable(e, now)]
        warm = [e for e in reachable if e.cold_until <= now]
        return [
            Capacity(e.upstream, e.incarnation, self._capacity_of(e))
            for e in (warm or reachable)
        ]

    def _is_reachable(self, entry, now):
        if (entry.upstream, entry.incarnation) in self._ended:
            return False
        return now >= self._backoff_until.get(entry.upstream, 0.0)
