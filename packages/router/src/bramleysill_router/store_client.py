"""Clients of the platform's key-value store, one plug-in per protocol.

A client carries out the kernel's store effects and calls back with a
StoreEffectReply. Its result is `unknown` if no reply arrives before the
deadline.
"""

import urllib.parse

from bramleysill_kernel.common import effects
from bramleysill_kernel.common.lease import STORE_CALL_TIMEOUT_SECONDS
from bramleysill_kernel.common.registry import Registry
from bramleysill_kernel.load.receive_budget import STORE
from bramleysill_kernel.load.receive_budget import Reservation
from bramleysill_net.http_client import HttpClientConn
from bramleysill_net.http_client import encode_request
from bramleysill_net.response_sinks import ResponseCollector

WATCH_WAIT_SECONDS = 10.0
# How much longer than the wait of the store a watch call may take.
WATCH_TIMEOUT_MARGIN_SECONDS = 2.0
MAX_IDLE_CONNECTIONS = 4
# A value and the list of VMs are much smaller.
MAX_BODY_BYTES = 2 << 20

store_clients = Registry('store client')


def _quote_key(key):
    return urllib.parse.quote(key, safe='/')


@store_clients.register('http')
class HttpStoreClient:
    """Client for the HTTP protocol of docs/platform-protocol.md.

    `calls` counts the calls by kind, because the platform limits their rate.
    `reachable` is true if the store has replied to the last call.
    """

    __slots__ = ('_loop', '_host', '_port', '_idle', 'calls', 'reachable')

    def __init__(self, loop, address):
        self._loop = loop
        self._host, self._port = address
        self._idle = []
        self.calls = {}
        self.reachable = False

    def execute(self, effect, callback):
        """Carry out a store effect; call `callback(StoreEffectReply)` once."""
        kind = type(effect)
        method, target, body = _REQUEST_BUILDERS[kind](effect)

        def on_reply(status, headers, data):
            callback(_make_store_reply(effect.op, kind, status, headers, data))

        self._call(method, target, body, on_reply, STORE_CALL_TIMEOUT_SECONDS)

    def watch(self, key, after, callback):
        """Wait until the key has a version other than `after`.

        Calls `callback(result, value, version)`. The result is `unknown` if
        no reply arrived in time. If nothing changed during the wait it is
        `ok`, with the value None and the version `after`. A key that does not
        exist has the result `missing` and version 0.
        """
        wait_ms = int(WATCH_WAIT_SECONDS * 1000)
        query = f'?after={after}&wait_ms={wait_ms}'
        target = f'/v1/watch/{_quote_key(key)}{query}'

        def on_reply(status, headers, data):
            if status == 304:
                callback(effects.RESULT_OK, None, after)
            elif status == 200:
                version = int(headers['x-version'])
                callback(effects.RESULT_OK, data, version)
            elif status == 404:
                callback(effects.RESULT_MISSING, b'', 0)
            else:
                callback(effects.RESULT_UNKNOWN, b'', 0)

        timeout = WATCH_WAIT_SECONDS + WATCH_TIMEOUT_MARGIN_SECONDS
        self._call('GET', target, None, on_reply, timeout)

    def list_vms(self, callback):
        """Fetch the platform's list of VMs.

        Calls `callback(data)` with JSON bytes, or None if the call failed.
        """

        def on_reply(status, headers, data):
            callback(data if status == 200 else None)

        self._call(
            'GET', '/v1/vms', None, on_reply, STORE_CALL_TIMEOUT_SECONDS
        )

    def _call(self, method, target, body, callback, timeout):
        kind = method if '/watch/' not in target else 'WATCH'
        self.calls[kind] = self.calls.get(kind, 0) + 1
        conn = self._acquire_conn()
        deadline = self._loop.now() + timeout
        timer = self._loop.scheduler.call_at(deadline, conn.abort_exchange)

        def done(status, headers, data):
            timer.cancel()
            self.reachable = status != 0
            callback(status, headers, data)

        host = f'{self._host}:{self._port}'
        data = encode_request(method, target, host, (), body)
        reservation = Reservation(self._loop.receive_budget, STORE)
        conn.request(
            data, ResponseCollector(done, MAX_BODY_BYTES, reservation)
        )

    def _acquire_conn(self):
        while self._idle:
            conn = self._idle.pop()
            if not conn.closed:
                return conn
        return HttpClientConn(
            self._loop,
            self._host,
            self._port,
            self._release_conn,
            self._remove_conn,
            source=STORE,
        )

    def _release_conn(self, conn):
        if conn in self._idle:
            return
        if len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(conn)
        else:
            conn.close()

    def _remove_conn(self, conn):
        if conn in self._idle:
            self._idle.remove(conn)


def _read_request(effect):
    return 'GET', f'/v1/kv/{_quote_key(effect.key)}', None


def _write_request(effect):
    target = f'/v1/kv/{_quote_key(effect.key)}?expected={effect.expected}'
    if effect.lease:
        target += f'&lease={effect.lease}'
    return 'PUT', target, effect.value


def _lease_request(effect):
    return 'POST', f'/v1/leases?ttl_ms={int(effect.ttl * 1000)}', b''


def _renew_request(effect):
    return 'POST', f'/v1/leases/{effect.lease}', b''


def _end_lease_request(effect):
    return 'DELETE', f'/v1/leases/{effect.lease}', None


_REQUEST_BUILDERS = {
    effects.StoreRead: _read_request,
    effects.StoreWrite: _write_request,
    effects.StoreLease: _lease_request,
    effects.StoreRenew: _renew_request,
    effects.StoreEndLease: _end_lease_request,
}


def _make_store_reply(op, kind, status, headers, data):
    version = int(headers.get('x-version', '0'))
    if status in (200, 201):
        return effects.StoreEffectReply(op, effects.RESULT_OK, data, version)
    if status == 409:
        return effects.StoreEffectReply(
            op, effects.RESULT_CONFLICT, b'', version
        )
    if status in (404, 410):
        return effects.StoreEffectReply(op, effects.RESULT_MISSING)
    return effects.StoreEffectReply(op, effects.RESULT_UNKNOWN)
