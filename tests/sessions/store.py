"""The simulated store of a session and clients that record their calls."""

from bramleysill_kernel.common import effects
from bramleysill_router.store_client import HttpStoreClient
from bramleysill_standins.store import CALL_MS
from bramleysill_standins.store import StoreApp
from tests.sessions import message_fields

PORT = 7999
_ROUTINE_EFFECTS = (effects.StoreRead, effects.StoreRenew)


class SessionStore(StoreApp):
    """A simulated store that can lose the reply to a write of one key."""

    def __init__(self, loop, recorder):
        super().__init__(loop, CALL_MS)
        self.recorder = recorder
        self.lose_reply_for = ''

    def _on_change(self, key):
        if self.state.get(key) is None:
            self.recorder.note(f'store: {key} is deleted with its lease')
        if key == self.lose_reply_for:
            self.lose_reply_for = ''
            self.faults.set('lose_answer')
        super()._on_change(key)


class StoreLink(HttpStoreClient):
    """The store client of one process, which records calls and replies."""

    def __init__(self, recorder, loop):
        super().__init__(loop, ('127.0.0.1', PORT))
        self._recorder = recorder

    def execute(self, effect, callback):
        fields = {}
        if isinstance(effect, effects.StoreWrite):
            value_fields = message_fields.store_fields(
                effect.key, effect.value
            )
            fields = {
                'key': effect.key,
                'expected': effect.expected,
                **value_fields,
            }
        kind = type(effect).__name__
        if isinstance(effect, effects.StoreRead):
            kind += ':' + effect.key
        # During an outage all kinds of calls are repeated without effect.
        routine = isinstance(effect, _ROUTINE_EFFECTS) or not self.reachable
        name = self._loop.name
        self._recorder.message(name, 'store', kind, routine, **fields)

        def on_reply(reply):
            reply_fields = {'result': reply.result}
            if reply.version:
                reply_fields['version'] = reply.version
            reply_kind = kind.replace('Store', 'Answer')
            self._recorder.message(
                'store', name, reply_kind, routine, **reply_fields
            )
            callback(reply)

        super().execute(effect, on_reply)

    def watch(self, key, after, callback):
        def on_change(result, value, version):
            if result == effects.RESULT_OK and version != after:
                name = self._loop.name
                self._recorder.message('store', name, f'Watch:{key} {version}')
            callback(result, value, version)

        super().watch(key, after, on_change)
