"""The upstreams that may be given keys, and those that have ended.

An upstream that answered no grant is avoided for a while; it would keep its
new keys from being served until their hold had run out.
"""

from bramleysill_kernel.range_planner import Capacity

# An upstream that answered no grant gets no keys for this time, unless it
# answers one before.
GRANT_FAILURE_BACKOFF_SECONDS = 6.0


class OwnerPool:
    """Possible owners of the keys of one service.

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
        # Upstreams that did not take a grant, with the end of the pause.
        self._backoff_until = {}
        # Processes that have ended, as (upstream, life).
        self._ended = set()

    def record_process_end(self, item):
        """The process that owned a range has ended."""
        self._ended.add((item.owner, item.incarnation))

    def has_ended(self, item):
        """Tell whether the process that owns a range is known to be gone."""
        return (item.owner, item.incarnation) in self._ended

    def record_grant_success(self, upstream):
        """An upstream has taken a grant."""
        self._backoff_until.pop(upstream, None)

    def record_grant_failure(self, upstream):
        """An upstream has not taken a grant."""
        self._backoff_until[upstream] = (
            self._clock.now() + GRANT_FAILURE_BACKOFF_SECONDS
        )

    def discard_expired_backoffs(self):
        """Forget the pauses that are over."""
        now = self._clock.now()
        self._backoff_until = {
            upstream: until
            for upstream, until in self._backoff_until.items()
            if until > now
        }

    def capacities(self):
        """Return the Capacity of each upstream that may take keys.

        Upstreams in slow start are used only if there is no other.
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
