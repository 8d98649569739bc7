"""The platform's store in a session, and a router's client of it."""

import itertools
import json

from bramleysill_kernel import effects
from tests.sessions import lines

DELAY_SECONDS = 0.002
WATCH_SECONDS = 10.0

_UNKNOWN = effects.RESULT_UNKNOWN
_ROUTINE = (effects.StoreRead, effects.StoreRenew)


class SessionStore:
    """Compare-and-swap, leases and watches, with scripted faults."""

    def __init__(self, loop, recorder):
        self.loop = loop
        self.recorder = recorder
        self.values = {}
        self.versions = {}
        self.vms = []
        self.down = False
        # Writes to this key take effect without an answer.
        self.lose_answer_of = ''
        self._leases = {}
        self._watches = {}
        self._ids = itertools.count(1)

    def go_down(self):
        """Answer nothing from now on; waiting watches end."""
        self.down = True
        watches, self._watches = self._watches, {}
        for callback, loop, _, _ in watches.values():
            _later(loop, callback, _UNKNOWN, b'', 0)

    def run(self, effect):
        """Carry out a call; return its answer."""
        lose = getattr(effect, 'key', None) == self.lose_answer_of
        if self.down:
            return effects.StoreAnswer(effect.op, _UNKNOWN)
        answer = _CALLS[type(effect)](self, effect)
        if lose and isinstance(effect, effects.StoreWrite):
            self.lose_answer_of = ''
            return effects.StoreAnswer(effect.op, _UNKNOWN)
        return answer

    def watch(self, key, after, loop, callback):
        """Call back with the version that differs from `after`."""
        if self.down:
            _later(loop, callback, _UNKNOWN, b'', 0)
            return
        number = next(self._ids)
        self._watches[number] = (callback, loop, key, after)
        if self._version(key) != after:
            self._notify(key)
            return

        def expired():
            if self._watches.pop(number, None):
                _later(loop, callback, effects.RESULT_OK, None, after)

        self.loop.call_later(WATCH_SECONDS, expired)

    def _version(self, key):
        return self.versions[key] if key in self.values else 0

    def _notify(self, key):
        version = self._version(key)
        for number, found in list(self._watches.items()):
            callback, loop, watched, after = found
            if watched != key or after == version:
                continue
            del self._watches[number]
            self.recorder.message(
                'store', loop.name, 'watch', key=key, version=version
            )
            value = self.values.get(key, b'')
            _later(loop, callback, effects.RESULT_OK, value, version)

    def _read(self, effect):
        if effect.key not in self.values:
            return effects.StoreAnswer(effect.op, effects.RESULT_MISSING)
        value, version = self.values[effect.key], self._version(effect.key)
        result = effects.RESULT_OK
        return effects.StoreAnswer(effect.op, result, value, version)

    def _write(self, effect):
        have = self._version(effect.key)
        op = effect.op
        if effect.expected != have:
            result = effects.RESULT_CONFLICT
            return effects.StoreAnswer(op, result, version=have)
        if effect.lease:
            if effect.lease not in self._leases:
                return effects.StoreAnswer(op, effects.RESULT_MISSING)
            self._leases[effect.lease][2].append(effect.key)
        version = self.versions.get(effect.key, 0) + 1
        self.versions[effect.key] = version
        self.values[effect.key] = effect.value
        self._notify(effect.key)
        result = effects.RESULT_OK
        return effects.StoreAnswer(op, result, version=version)

    def _lease(self, effect):
        name = f'lease-{next(self._ids)}'
        end = self.loop.now() + effect.ttl
        self._leases[name] = [end, effect.ttl, []]
        self.loop.call_at(end, lambda: self._expire(name))
        result = effects.RESULT_OK
        return effects.StoreAnswer(effect.op, result, name.encode())

    def _renew(self, effect):
        held = self._leases.get(effect.lease)
        if held is None:
            return effects.StoreAnswer(effect.op, effects.RESULT_MISSING)
        held[0] = self.loop.now() + held[1]
        self.loop.call_at(held[0], lambda: self._expire(effect.lease))
        return effects.StoreAnswer(effect.op, effects.RESULT_OK)

    def _end_lease(self, effect):
        self._remove(effect.lease)
        return effects.StoreAnswer(effect.op, effects.RESULT_OK)

    def _expire(self, name):
        held = self._leases.get(name)
        if held is not None and held[0] <= self.loop.now():
            for key in held[2]:
                self.recorder.note(f'store: the lease of {key} has expired')
            self._remove(name)

    def _remove(self, name):
        held = self._leases.pop(name, None)
        for key in held[2] if held else ():
            self.values.pop(key, None)


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
        """Carry out a store effect; `callback(StoreAnswer)` runs once."""
        self._record(effect)
        store = self._store

        def arrived():
            answer = store.run(effect)
            self._record_answer(effect, answer)
            _later(self._loop, callback, answer)

        store.loop.call_later(DELAY_SECONDS, arrived)

    def watch(self, key, after, callback):
        """Wait for a version other than `after`."""
        self._store.loop.call_later(
            DELAY_SECONDS,
            lambda: self._store.watch(key, after, self._loop, callback),
        )

    def list_vms(self, callback):
        """Fetch the list of VMs."""
        vms = [{'name': name, 'state': 'live'} for name in self._store.vms]
        data = None if self._store.down else json.dumps(vms).encode()
        _later(self._loop, callback, data)

    def _record(self, effect):
        kind = type(effect).__name__
        fields = {}
        if isinstance(effect, effects.StoreWrite):
            fields = lines.store_fields(effect.key, effect.value)
            fields = {'expected': effect.expected, **fields}
        key = getattr(effect, 'key', '')
        if key:
            fields = {'key': key, **fields}
            kind += ':' + key if isinstance(effect, effects.StoreRead) else ''
        self._store.recorder.message(
            self._loop.name, 'store', kind, self._routine(effect), **fields
        )

    def _record_answer(self, effect, answer):
        kind = type(effect).__name__.replace('Store', 'Answer')
        if isinstance(effect, effects.StoreRead):
            kind += ':' + effect.key
        fields = {'result': answer.result}
        if answer.version:
            fields['version'] = answer.version
        self._store.recorder.message(
            'store', self._loop.name, kind, self._routine(effect), **fields
        )

    def _routine(self, effect):
        # During an outage every kind of call is repeated without effect.
        return isinstance(effect, _ROUTINE) or self._store.down


def _later(loop, callback, *args):
    loop.call_later(DELAY_SECONDS, lambda: callback(*args))
