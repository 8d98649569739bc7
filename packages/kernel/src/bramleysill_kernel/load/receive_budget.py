"""Decides whether a process may hold more bytes of unfinished messages.

Load pattern that it answers: faulty upstreams respond to many calls with bytes
without end. Each connection has a limit of its own, but their sum grows with
the number of connections, until the process is killed and all requests in
progress are lost. The budget is one bound for all connections of a process:
heads of responses, bodies of control calls, and frames of peer links. Bodies
of callers' requests and responses have a budget of their own, MemoryBudget.

Example::

    budget = ReceiveBudget(budget_bytes(200))
    reservation = Reservation(budget, UPSTREAM)
    if not reservation.resize(len(buffer)):
        conn.abort()
"""

from bramleysill_kernel.load.memory_budget import PROCESS_BYTES

# Sources of unfinished messages.
UPSTREAM = 'upstream'
STORE = 'store'
PEER = 'peer'
SOURCES = (UPSTREAM, STORE, PEER)

# Budget of a process without a memory limit.
DEFAULT_BYTES = 64 << 20
# Share of the memory beyond that of the process itself. It is taken from the
# half that MemoryBudget leaves free.
BUDGET_SHARE = 0.125
# Budget of a process with hardly more memory than it needs itself. A page of
# the store and a frame of a peer fit in.
MIN_BYTES = 4 << 20
# Upstreams may hold only this share, so that faulty ones can't keep the
# process from talking to the store and to other routers.
UPSTREAM_SHARE = 0.5


def budget_bytes(memory_mb):
    """Return the budget of a process in bytes.

    `memory_mb` is the limit of the platform in megabytes, or None.
    """
    if memory_mb is None:
        return DEFAULT_BYTES
    rest = memory_mb * 1_000_000 - PROCESS_BYTES
    return max(MIN_BYTES, int(rest * BUDGET_SHARE))


class ReceiveBudget:
    """The bytes reserved by source; their sum never exceeds `total`.

    `refused` counts the reservations that were not made.
    """

    __slots__ = ('total', 'refused', '_held', '_held_by_source')

    def __init__(self, total=DEFAULT_BYTES):
        self.total = total
        self.refused = 0
        self._held = 0
        self._held_by_source = dict.fromkeys(SOURCES, 0)

    @property
    def held(self):
        """Return the number of reserved bytes."""
        return self._held

    def held_by_source(self):
        """Return {source: reserved bytes}."""
        return dict(self._held_by_source)

    def limit(self, source):
        """Return how many bytes a source may hold."""
        if source == UPSTREAM:
            return int(self.total * UPSTREAM_SHARE)
        return self.total

    def reserve(self, size, source):
        """Reserve bytes and return True, or return False without effect."""
        held = self._held_by_source[source]
        if self._held + size > self.total or held + size > self.limit(source):
            self.refused += 1
            return False
        self._held += size
        self._held_by_source[source] += size
        return True

    def release(self, size, source):
        """Release bytes that were reserved for the same source."""
        if size > self._held_by_source[source]:
            raise ValueError(f'{size} bytes of {source} are not reserved')
        self._held -= size
        self._held_by_source[source] -= size


class Reservation:
    """What one connection has reserved in a ReceiveBudget; `size` in bytes."""

    __slots__ = ('size', '_budget', '_source')

    def __init__(self, budget, source):
        self.size = 0
        self._budget = budget
        self._source = source

    def resize(self, size):
        """Change the reservation to `size`; return whether there was room.

        Without room it stays as it is. A smaller size always succeeds.
        """
        if size > self.size:
            if not self._budget.reserve(size - self.size, self._source):
                return False
        elif size < self.size:
            self._budget.release(self.size - size, self._source)
        self.size = size
        return True

    def close(self):
        """Release everything."""
        self.resize(0)
