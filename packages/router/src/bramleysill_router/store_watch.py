"""A watch of one store key that continues after failed calls."""

from bramleysill_kernel.common import effects

# Delay after a failed call, so that a store that recovers is not overloaded.
RETRY_DELAY_SECONDS = 0.3


class StoreWatch:
    """Calls `on_value(value, version)` for each new version of the key.

    If the key is deleted, that is reported once as an empty value with
    version 0.
    """

    __slots__ = ('_loop', '_store', '_key', '_on_value', '_version', '_active')

    def __init__(self, loop, store, key, on_value):
        self._loop = loop
        self._store = store
        self._key = key
        self._on_value = on_value
        self._version = None
        self._active = False

    def start(self):
        """Read the key, then watch it for changes."""
        self._active = True
        self._read()

    def stop(self):
        """Stop reporting changes."""
        self._active = False

    def _read(self):
        effect = effects.StoreRead(0, self._key)

        def on_reply(reply):
            self._on_result(reply.result, reply.value, reply.version)

        self._store.execute(effect, on_reply)

    def _watch(self):
        if self._active:
            self._store.watch(self._key, self._version, self._on_result)

    def _on_result(self, result, value, version):
        if not self._active:
            return
        if result == effects.RESULT_UNKNOWN:
            self._retry()
            return
        if version != self._version and value is not None:
            first = self._version is None
            self._version = version
            if version or not first:
                self._on_value(value, version)
        self._loop.scheduler.call_at(self._loop.now(), self._watch)

    def _retry(self):
        retry = self._read if self._version is None else self._watch
        self._loop.scheduler.call_at(
            self._loop.now() + RETRY_DELAY_SECONDS, retry
        )
