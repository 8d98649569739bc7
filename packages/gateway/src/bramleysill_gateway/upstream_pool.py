"""Pools HTTP connections to one upstream process."""

from bramleysill_net.http_client import HttpClientConn

# Idle timeout assumed for an upstream that announces none.
DEFAULT_IDLE_TIMEOUT_SECONDS = 4.0
# A connection is reused for only this fraction of the announced idle timeout.
# If the upstream closed it while a request is in transit, it would be unknown
# whether the request has run.
IDLE_REUSE_FRACTION = 0.6
# A connection on which so many requests were refused is not used again.
MAX_REFUSED_IDS = 256
# A connection is closed if the upstream's TCP has not acknowledged what was
# sent for this long. An upstream that only keeps its window closed is not.
UNACKNOWLEDGED_TIMEOUT_MS = 1000


class UpstreamPool:
    """Idle connections to one upstream process."""

    __slots__ = ('in_use', '_loop', '_address', '_idle', '_reuse_seconds')

    def __init__(self, loop, address):
        self.in_use = 0
        self._loop = loop
        self._address = address
        self._idle = []
        self._reuse_seconds = (
            DEFAULT_IDLE_TIMEOUT_SECONDS * IDLE_REUSE_FRACTION
        )

    def acquire(self, request_id, settles=False):
        """Return (connection, whether it is reused).

        A connection on which a request with this id was refused is not
        reused. `settles` is for a new one, see HttpClientConn.
        """
        self.in_use += 1
        conn = self._take_idle(request_id)
        if conn is not None:
            return conn, True
        conn = HttpClientConn(
            self._loop,
            *self._address,
            on_idle=self._on_idle,
            unacknowledged_timeout_ms=UNACKNOWLEDGED_TIMEOUT_MS,
            settles=settles,
        )
        return conn, False

    def note_refused(self, conn, request_id):
        """Record that the upstream has refused a request on a connection.

        It may write the refusal again, with the same id.
        """
        conn.refused_ids.add(request_id)
        if len(conn.refused_ids) >= MAX_REFUSED_IDS:
            conn.close_after_response()

    def _take_idle(self, request_id):
        """Return an idle connection, or None."""
        now = self._loop.now()
        kept = []
        found = None
        while self._idle and found is None:
            conn, idle_until = self._idle.pop()
            if conn.closed:
                continue
            if now >= idle_until:
                conn.close()
            elif request_id in conn.refused_ids:
                kept.append((conn, idle_until))
            else:
                found = conn
        self._idle.extend(reversed(kept))
        return found

    def release(self):
        """Record that the attempt on a connection has ended."""
        self.in_use -= 1

    def note_idle_timeout(self, seconds):
        """Set the idle timeout that the upstream has announced."""
        self._reuse_seconds = seconds * IDLE_REUSE_FRACTION

    def sweep(self):
        """Close connections that were idle for too long."""
        now = self._loop.now()
        for conn, idle_until in self._idle:
            if now >= idle_until and not conn.closed:
                conn.close()
        self._idle = [p for p in self._idle if not p[0].closed]

    def close(self):
        """Close all idle connections."""
        for conn, _ in self._idle:
            conn.close()
        self._idle.clear()

    def _on_idle(self, conn):
        self._idle.append((conn, self._loop.now() + self._reuse_seconds))
