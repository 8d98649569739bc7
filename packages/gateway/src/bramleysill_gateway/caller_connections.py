"""The connections of callers, and which of them are idle for too long."""

from bramleysill_net.http_server import HttpServerConn

# Pipelined requests of a connection that run side by side. Their responses
# are held in memory until it is their turn.
MAX_PIPELINED_REQUESTS = 4
# Added to the idle timeout that callers are promised, so that a connection is
# not closed while a request is in transit.
IDLE_CLOSE_MARGIN_SECONDS = 1.0


class _IdleTime:
    """Since when a caller connection is idle, as seen by periodic checks."""

    __slots__ = ('_since', '_request_count', '_unsent')

    def __init__(self, now):
        self._since = now
        self._request_count = 0
        self._unsent = 0

    def since(self, server, now):
        """Return since when the connection is idle; `now` if it was used.

        It is used while the caller reads the rest of a response.
        """
        seen = server.request_count, server.conn.buffered
        busy = not server.idle and not server.awaits_reader
        if busy or seen != (self._request_count, self._unsent):
            self._request_count, self._unsent = seen
            self._since = now
        return self._since


class CallerConnections:
    """The HttpServerConns of all callers; iterating yields them.

    `handler` gets their requests. It passes `on_disconnect` on to `remove`.
    """

    __slots__ = ('_loop', '_handler', '_idle_times')

    def __init__(self, loop, handler):
        self._loop = loop
        self._handler = handler
        # The _IdleTime of each connection.
        self._idle_times = {}

    def __iter__(self):
        return iter(self._idle_times)

    def __len__(self):
        return len(self._idle_times)

    def accept(self, conn):
        """Return the protocol of a new caller connection."""
        # Nothing is started for a caller that has left.
        conn.close_with_peer()
        server = HttpServerConn(conn, self._handler, MAX_PIPELINED_REQUESTS)
        self._idle_times[server] = _IdleTime(self._loop.now())
        return server

    def remove(self, server):
        """Remove a connection that has closed."""
        self._idle_times.pop(server, None)

    def sweep(self, idle_timeout_seconds):
        """Close the connections that exceed the promised idle timeout."""
        now = self._loop.now()
        timeout = idle_timeout_seconds + IDLE_CLOSE_MARGIN_SECONDS
        for server, idle_time in list(self._idle_times.items()):
            if now < idle_time.since(server, now) + timeout:
                continue
            if server.conn.buffered:
                # The caller has stopped reading; a close would wait for it.
                server.conn.abort()
            else:
                server.conn.close()

    def close_idle(self):
        """Close the connections without a request in progress."""
        for server in list(self._idle_times):
            if server.idle:
                server.conn.close()

    def abort_unfinished(self):
        """Reset the connections with responses that have not been sent."""
        for server in list(self._idle_times):
            server.abort_unfinished()

    def count_unsent_responses(self):
        """Return the number of connections with unsent response bytes."""
        return sum(1 for server in self._idle_times if server.conn.buffered)
