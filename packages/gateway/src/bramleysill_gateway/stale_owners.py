"""Remembers owners that have denied holding their keys."""

# An owner that has denied holding a key is tried again after this time, or
# after this multiple of the service time, or as soon as the owner table
# changes.
MIN_STALE_OWNER_SECONDS = 0.12
STALE_OWNER_SERVICE_TIMES = 0.5


class StaleOwners:
    """Ranges whose owner is not to be tried for a moment.

    `service_seconds(service)` returns the usual service time.
    """

    __slots__ = ('_loop', '_service_seconds', '_stale_until')

    def __init__(self, loop, service_seconds):
        self._loop = loop
        self._service_seconds = service_seconds
        # By service, first key and fence of the range.
        self._stale_until = {}

    def note(self, service, owned_range):
        """Record that the owner of a range has denied holding it."""
        # The owner ends the work that it has before its keys move on.
        seconds = max(
            MIN_STALE_OWNER_SECONDS,
            self._service_seconds(service) * STALE_OWNER_SERVICE_TIMES,
        )
        key = service, owned_range.first, owned_range.fence
        self._stale_until[key] = self._loop.now() + seconds

    def is_stale(self, service, owned_range):
        """Return whether the owner recently denied holding a range."""
        key = service, owned_range.first, owned_range.fence
        until = self._stale_until.get(key)
        return until is not None and self._loop.now() < until

    def take_expired(self):
        """Forget the owners to try again; return whether there were any."""
        now = self._loop.now()
        expired = [k for k, until in self._stale_until.items() if now >= until]
        for key in expired:
            del self._stale_until[key]
        return bool(expired)

    def clear(self):
        """Forget all of them."""
        self._stale_until.clear()
