"""The platform's store in a session, and a router's client of it."""

import json

from bramleysill_kernel import effects
from bramleysill_standins.kv_state import Conflict
from bramleysill_standins.kv_state import KvState
from bramleysill_standins.kv_state import LeaseGone
from tests.sessions import lines

DELAY_SECONDS = 0.002
WATCH_SECONDS = 10.0

_UNKNOWN = effects.RESULT_UNKNOWN
_ROUTINE = (effects.StoreRead, effects.StoreRenew)


class SessionStore:
    """The stand-in's keys and leases, with watches and scripted faults."""

    def __init__(self, loop, recorder):
        self.loop = loop
        self.recorder = recorder
        self.state = KvState(self._notify)
        self.vms = []
        self.down = False
        # The next write to this key takes effect without an answer.
        self.lose_answer_of = ''
        self._watches = []

    def now_ms(self):
        return round(self.loop.now() * 1000)

    def go_down(self):
        self.down = True
        watches, self._watches = self._watches, []
        for _, _, loop, callback in watches:
            _later(loop, callback, _UNKNOWN, b'', 0)

    def run(self, effect):
        if self.down:
            return effects.StoreAnswer(effect.op, _UNKNOWN)
        self.state.expire(self.now_ms())
        try:
            found = _CALLS[type(effect)](self, effect)
        except Conflict as exc:
            found = (effects.RESULT_CONFLICT, b'', exc.version)
        except LeaseGone:
            found = (effects.RESULT_MISSING,)
        is_write = isinstance(effect, effects.StoreWrite)
        if is_write and effect.key == self.lose_answer_of:
            self.lose_answer_of = ''
            found = (_UNKNOWN,)
        return effects.StoreAnswer(effect.op, *found)

    def watch(self, key, after, loop, callback):
        """Call back with the version that differs from `after`."""
        if self.down:
            _later(loop, callback, _UNKNOWN, b'', 0)
            return
        waiting = (key, after, loop, callback)
        self._watches.append(waiting)
        if self.state.version(key) != after:
            self._notify(key)
            return

        def expired():
            if waiting in self._watches:
                self._watches.remove(waiting)
                _later(loop, callback, effects.RESULT_OK, None, after)

        self.loop.call_later(WATCH_SECONDS, expired)

    def _notify(self, key):
        entry = self.state.get(key)
        version = entry.version if entry else 0
        if not entry:
            self.recorder.note(f'store: {key} is gone with its lease')
        for waiting in list(self._watches):
            watched, after, loop, callback = waiting
            if watched != key or after == version:
                continue
            self._watches.remove(waiting)
            self.recorder.message(
                'store', loop.name, 'watch', key=key, version=version
            )
            value = entry.value if entry else b''
            _later(loop, callback, effects.RESULT_OK, value, version)

    def _read(self, effect):
        entry = self.state.get(effect.key)
        if entry is None:
            return (effects.RESULT_MISSING,)
        return effects.RESULT_OK, entry.value, entry.version

    def _write(self, effect):
        lease = effect.lease or None
        args = (effect.key, effect.value, effect.expected, lease)
        version = self.state.put(*args, self.now_ms())
        return effects.RESULT_OK, b'', version

    def _lease(self, effect):
        ttl_ms = round(effect.ttl * 1000)
        name = self.state.create_lease(ttl_ms, self.now_ms())
        self._expire_later(ttl_ms)
        return effects.RESULT_OK, name.encode()

    def _renew(self, effect):
        lease = self.state.renew_lease(effect.lease, self.now_ms())
        self._expire_later(lease.ttl_ms)
        return (effects.RESULT_OK,)

    def _end_lease(self, effect):
        self.state.end_lease(effect.lease)
        return (effects.RESULT_OK,)

    def _expire_later(self, ttl_ms):
        self.loop.call_later(
            ttl_ms / 1000, lambda: self.state.expire(self.now_ms())
        )


_CALLS = {
    effects.StoreRead: SessionStore._read,
    effects.StoreWrite: SessionStore._write,
    effects.StoreLease: SessionStore._lease,
    effects.StoreRenew: SessionStore._renew,
    effects.StoreEndLease: SessionStore._end_lease,
}


class StoreLink:
    """A process's way to the store; the interface of HttpStoreClient."""

    def __init__(self, store, loop):
        self.calls = {}
        self.reachable = True
        self._store = store
        self._loop = loop

    def execute(self, effect, callback):
        self._record(effect)
        store = self._store

        def arrived():
            answer = store.run(effect)
            self._record_answer(effect, answer)
            _later(self._loop, callback, answer)

        store.loop.call_later(DELAY_SECONDS, arrived)

    def watch(self, key, after, callback):
        self._store.loop.call_later(
            DELAY_SECONDS,
            lambda: self._store.watch(key, after, self._loop, callback),
        )

    def list_vms(self, callback):
        vms = [{'name': name, 'state': 'live'} for name in self._store.vms]
        data = None if self._store.down else json.dumps(vms).encode()
        _later(self._loop, callback, data)

    def _record(self, effect):
        kind, fields = self._kind(effect), {}
        if isinstance(effect, effects.StoreWrite):
            shown = lines.store_fields(effect.key, effect.value)
            fields = {'key': effect.key, 'expected': effect.expected, **shown}
        self._message(effect, kind, self._loop.name, 'store', fields)

    def _record_answer(self, effect, answer):
        kind = self._kind(effect).replace('Store', 'Answer')
        fields = {'result': answer.result}
        if answer.version:
            fields['version'] = answer.version
        self._message(effect, kind, 'store', self._loop.name, fields)

    def _kind(self, effect):
        kind = type(effect).__name__
        if isinstance(effect, effects.StoreRead):
            kind += ':' + effect.key
        return kind

    def _message(self, effect, kind, sender, receiver, fields):
        # During an outage every kind of call is repeated without effect.
        routine = isinstance(effect, _ROUTINE) or self._store.down
        recorder = self._store.recorder
        recorder.message(sender, receiver, kind, routine, **fields)


def _later(loop, callback, *args):
    loop.call_later(DELAY_SECONDS, lambda: callback(*args))
