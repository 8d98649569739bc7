"""A pool of keep-alive connections to several routers.

It stands in for the platform's load balancer: it sends calls round robin and
skips a router for a while after a connection to it has failed.
"""

import collections

from bramleysill_standins.client_conn import CallerConn

# A router is skipped for this long after a connection to it has failed.
ROUTER_RETRY_DELAY_SECONDS = 1.0


class PendingCall:
    """A call with its callback and, once it is sent, its connection."""

    __slots__ = ('call', 'done', 'caller_conn')

    def __init__(self, call, done):
        self.call = call
        self.done = done
        self.caller_conn = None


class CallerPool:
    """Sends calls over at most `max_conns` connections to each router."""

    def __init__(self, loop, routers, max_conns):
        self.loop = loop
        self.max_conns = max_conns
        self.failed_connects = 0
        # Connections on which bytes arrived that belong to no request.
        self.unsolicited = 0
        self._routers = collections.deque(routers)
        self._idle = {router: [] for router in routers}
        self._open_counts = collections.Counter()
        self._down_until = {}
        self._queued = collections.deque()
        self._in_flight = {}

    def send(self, call, done):
        """Send a call; `done(response, exc)` is called once.

        Returns a PendingCall, which can be passed to `abort`.
        """
        pending = PendingCall(call, done)
        if not self._dispatch(pending):
            self._queued.append(pending)
        return pending

    def abort(self, pending):
        """Abort a call; `done` gets neither a response nor an error."""
        if pending.caller_conn is not None:
            pending.caller_conn.abort()
        elif pending in self._queued:
            self._queued.remove(pending)
            pending.done(None, None)

    def close(self):
        """Close all idle connections."""
        for conns in self._idle.values():
            for caller_conn in list(conns):
                caller_conn.abort()

    def _dispatch(self, pending):
        for _ in range(len(self._routers)):
            router = self._routers[0]
            self._routers.rotate(-1)
            if self._down_until.get(router, 0.0) > self.loop.now():
                continue
            caller_conn = self._acquire(router)
            if caller_conn is not None:
                self._send_on(caller_conn, pending)
                return True
        return False

    def _acquire(self, router):
        while self._idle[router]:
            caller_conn = self._idle[router].pop()
            if not caller_conn.conn.closed:
                return caller_conn
        if self._open_counts[router] >= self.max_conns:
            return None
        self._open_counts[router] += 1
        return CallerConn(self.loop, router, self._on_done, self._on_closed)

    def _send_on(self, caller_conn, pending):
        pending.caller_conn = caller_conn
        self._in_flight[caller_conn] = pending
        caller_conn.send(pending.call)

    def _on_done(self, caller_conn, response, exc):
        pending = self._in_flight.pop(caller_conn)
        pending.caller_conn = None
        if response is None and exc is not None and not caller_conn.connected:
            self._retry_elsewhere(caller_conn, pending)
            return
        if response is not None and caller_conn.reusable:
            self._idle[caller_conn.address].append(caller_conn)
        pending.done(response, exc)
        self._dispatch_queued()

    def _retry_elsewhere(self, caller_conn, pending):
        # The connection was never established, so nothing was sent and another
        # router can run the call.
        self.failed_connects += 1
        until = self.loop.now() + ROUTER_RETRY_DELAY_SECONDS
        self._down_until[caller_conn.address] = until
        self.loop.scheduler.call_at(until, self._dispatch_queued)
        self._queued.appendleft(pending)
        self._dispatch_queued()

    def _on_closed(self, caller_conn):
        router = caller_conn.address
        self._open_counts[router] -= 1
        self.unsolicited += 1 if caller_conn.unsolicited else 0
        if caller_conn in self._idle[router]:
            self._idle[router].remove(caller_conn)
        self._dispatch_queued()

    def _dispatch_queued(self):
        while self._queued:
            pending = self._queued.popleft()
            if not self._dispatch(pending):
                self._queued.appendleft(pending)
                return
