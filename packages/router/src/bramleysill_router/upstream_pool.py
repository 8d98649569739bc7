"""A pool of connections to one upstream."""

from bramleysill_net.http_client import HttpClientConn

MAX_IDLE_SECONDS = 30.0


class UpstreamPool:
    """Reuses idle connections and opens new ones up to a limit.

    A connection that is aborted counts against the limit until the operating
    system has closed it, which happens at once on this side.
    """

    __slots__ = ('host', 'port', 'limit', '_loop', '_idle', '_open')

    def __init__(self, loop, host, port, limit):
        self._loop = loop
        self.host = host
        self.port = port
        self.limit = limit
        self._idle = {}
        self._open = set()

    @property
    def size(self):
        """Return the number of open connections."""
        return len(self._open)

    def take(self):
        """Return a connection for one exchange, or None at the limit."""
        while self._idle:
            conn, _ = self._idle.popitem()
            if not conn.closed:
                return conn
        if len(self._open) >= self.limit:
            return None
        conn = HttpClientConn(
            self._loop, self.host, self.port, self._on_idle, self._on_closed
        )
        self._open.add(conn)
        return conn

    def sweep(self):
        """Close connections that were idle for over MAX_IDLE_SECONDS."""
        oldest = self._loop.now() - MAX_IDLE_SECONDS
        for conn, since in list(self._idle.items()):
            if since < oldest:
                conn.close()

    def close(self):
        """Close all idle connections."""
        for conn in list(self._idle):
            conn.close()

    def _on_idle(self, conn):
        self._idle[conn] = self._loop.now()

    def _on_closed(self, conn):
        self._idle.pop(conn, None)
        self._open.discard(conn)
