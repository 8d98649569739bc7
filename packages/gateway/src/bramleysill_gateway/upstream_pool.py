"""Connections for callers' requests, by upstream process."""

from bramleysill_net.http_client import HttpClientConn

# An upstream that announces no idle timeout is taken to have this one.
DEFAULT_IDLE_SECONDS = 4.0
# Part of the announced idle timeout for which a connection is used again; a
# request that crosses the upstream's close may or may not have run.
USED_SHARE_OF_IDLE = 0.6
# Unacknowledged bytes end a connection after this time.
SILENT_PEER_MS = 1000


class UpstreamPool:
    """Idle connections to one upstream process."""

    __slots__ = ('in_use', '_loop', '_address', '_idle', '_idle_seconds')

    def __init__(self, loop, address):
        self.in_use = 0
        self._loop = loop
        self._address = address
        self._idle = []
        self._idle_seconds = DEFAULT_IDLE_SECONDS * USED_SHARE_OF_IDLE

    def take(self):
        """Return (connection, whether it was used before)."""
        self.in_use += 1
        now = self._loop.now()
        while self._idle:
            conn, idle_until = self._idle.pop()
            if conn.closed:
                continue
            if now < idle_until:
                return conn, True
            conn.close()
        conn = HttpClientConn(
            self._loop,
            *self._address,
            on_idle=self._on_idle,
            peer_timeout_ms=SILENT_PEER_MS,
        )
        return conn, False

    def done(self):
        """The exchange on a connection has ended."""
        self.in_use -= 1

    def note_idle_timeout(self, seconds):
        """The upstream closes connections that idle so long."""
        self._idle_seconds = seconds * USED_SHARE_OF_IDLE

    def sweep(self):
        """Close the connections that have been idle too long."""
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
        self._idle.append((conn, self._loop.now() + self._idle_seconds))
