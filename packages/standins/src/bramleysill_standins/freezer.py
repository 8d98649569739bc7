"""Freezes an upstream for a time, like a process stopped by SIGSTOP.

The clock continues and received bytes stay in the kernel. Callbacks that are
due during the freeze run at its end.
"""


class Freezer:
    """Suspends the connections, the listener and callbacks of an upstream."""

    __slots__ = ('_app', '_until_ms', '_deferred')

    def __init__(self, app):
        self._app = app
        self._until_ms = None
        self._deferred = []

    def run_or_defer(self, callback):
        """Run a callback now, or at the end of a freeze in progress."""
        if self._until_ms is None:
            callback()
        else:
            self._deferred.append(callback)

    def freeze(self, until_ms):
        """Freeze until the upstream's clock reaches a time.

        A freeze in progress is never shortened.
        """
        app = self._app
        self._until_ms = max(until_ms, self._until_ms or 0.0)
        for server in app.server_conns:
            server.conn.pause()
        if app.listener is not None:
            app.loop.poller.unwatch(app.listener)
        app.schedule(self._until_ms, self._unfreeze)

    def _unfreeze(self):
        app = self._app
        if self._until_ms is None or app.clock_ms() < self._until_ms:
            return
        self._until_ms = None
        deferred, self._deferred = self._deferred, []
        for callback in deferred:
            callback()
        for server in list(app.server_conns):
            server.conn.resume()
        if app.listener is not None:
            app.loop.poller.watch(app.listener, True, False)
