"""Decides whether a process may hold more bytes for its callers.

Load pattern that it answers: many callers upload slowly or read slowly at the
same time, so that each request holds its buffers for seconds instead of
milliseconds. Without a common bound the buffers add up until the process is
killed, and all requests in progress are lost. The budget refuses the requests
at its limit before their bodies are read. Requests of the less urgent class
are refused at a lower limit, so that short urgent ones still find room.
"""

import math

# Requests with this priority or a lower number are urgent.
MAX_URGENT_PRIORITY = 1
# The less urgent class is refused once this share of the budget is held.
LESS_URGENT_SHARE = 0.75
# Resident memory of a process after its start.
PROCESS_BYTES = 46_000_000
# Share of the remaining memory that may be held for callers. The rest is for
# what is not counted: connections (about 10 KB each), the configuration and
# its routes, copies that live for one callback, and fragmentation.
BUDGET_SHARE = 0.5
# Budget of a process with hardly more memory than it needs itself. With less,
# it would refuse everything.
MIN_BUDGET_BYTES = 4 << 20
# Share of the budget that may wait to be sent to one other router. It is not
# reserved: a message for all routers is one object in many send queues.
LINK_SHARE = 0.25
# The rate at which bytes are released is measured over at least this time.
MIN_RATE_SECONDS = 0.2
# Bounds of the estimated time until there is room.
MIN_ROOM_SECONDS = 0.1
MAX_ROOM_SECONDS = 1.5
# The budget counts as refusing for this long after a refusal, so that a load
# near the limit is reported once and not with each request.
REFUSING_SECONDS = 3.0
# Kinds of held bytes.
REQUEST = 'request'
RESPONSE = 'response'
KINDS = (REQUEST, RESPONSE)


def budget_bytes(memory_mb):
    """Return the budget of a process, or None without a memory limit.

    `memory_mb` is the limit of the platform in megabytes, or None.
    """
    if memory_mb is None:
        return None
    rest = memory_mb * 1_000_000 - PROCESS_BYTES
    return max(MIN_BUDGET_BYTES, int(rest * BUDGET_SHARE))


def max_link_bytes(total):
    """Return how much may be unsent on one link of a process with a budget."""
    return int(total * LINK_SHARE)


class MemoryBudget:
    """The bytes reserved by kind; their sum never exceeds `total`.

    With `total` None everything is granted and counted.
    """

    __slots__ = (
        'total',
        'refused',
        '_clock',
        '_held',
        '_held_by_kind',
        '_refusing_until',
        '_released',
        '_measured_at',
        '_release_rate',
    )

    def __init__(self, clock, total=None):
        self.total = total
        # Number of requests refused since the start.
        self.refused = 0
        self._clock = clock
        self._held = 0
        self._held_by_kind = dict.fromkeys(KINDS, 0)
        self._refusing_until = -math.inf
        # Bytes released since the last measurement of the rate, its time, and
        # the rate in bytes/s.
        self._released = 0
        self._measured_at = clock.now()
        self._release_rate = 0.0

    @property
    def held(self):
        """Return the number of reserved bytes."""
        return self._held

    def held_by_kind(self):
        """Return {kind: reserved bytes}."""
        return dict(self._held_by_kind)

    def limit(self, priority):
        """Return up to which sum a priority may reserve bytes."""
        if self.total is None:
            return math.inf
        if priority <= MAX_URGENT_PRIORITY:
            return self.total
        return int(self.total * LESS_URGENT_SHARE)

    def reserve(self, size, priority, kind=REQUEST):
        """Reserve bytes and return True, or return False without effect."""
        if self._held + size > self.limit(priority):
            return False
        self._held += size
        self._held_by_kind[kind] += size
        return True

    def release(self, size, kind=REQUEST):
        """Release bytes that were reserved for the same kind."""
        if size > self._held_by_kind[kind]:
            raise ValueError(f'{size} bytes of kind {kind} are not reserved')
        self._held -= size
        self._held_by_kind[kind] -= size
        self._released += size

    def refuse(self, size, priority):
        """Record that a request is refused; return its Retry-After.

        That is the time after which `size` bytes should be free, in seconds.
        """
        self.refused += 1
        now = self._clock.now()
        self._refusing_until = now + REFUSING_SECONDS
        missing = self._held + size - self.limit(priority)
        self.measure_release_rate()
        rate = self._release_rate
        seconds = missing / rate if rate > 0.0 else MAX_ROOM_SECONDS
        return min(MAX_ROOM_SECONDS, max(MIN_ROOM_SECONDS, seconds))

    def is_refusing(self):
        """Return whether a request was refused a moment ago."""
        return self._clock.now() < self._refusing_until

    def measure_release_rate(self):
        """Measure how fast bytes are released; called every second or so.

        A refusal measures as well, since a burst fills the budget faster.
        """
        now = self._clock.now()
        seconds = now - self._measured_at
        if seconds >= MIN_RATE_SECONDS:
            self._release_rate = self._released / seconds
            self._released = 0
            self._measured_at = now
