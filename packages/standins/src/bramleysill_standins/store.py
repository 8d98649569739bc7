"""Stand-in for the platform's key-value service and VM list.

`python -m bramleysill_standins.store --port N` serves the calls of
docs/platform-protocol.md on loopback. In addition, `PUT /v1/vms` with a JSON
list sets the VM list, because the protocol has no call for that.
"""

import json

import fire

from bramleysill_net.loop import Loop
from bramleysill_standins.call_rates import CallRates
from bramleysill_standins.kv_state import Conflict
from bramleysill_standins.kv_state import KvState
from bramleysill_standins.kv_state import LeaseNotFound
from bramleysill_standins.serving import BodySink
from bramleysill_standins.serving import ConnTracker
from bramleysill_standins.serving import Target
from bramleysill_standins.serving import listen
from bramleysill_standins.serving import print_address
from bramleysill_standins.serving import send_json
from bramleysill_standins.store_faults import StoreFaults

MAX_VALUE_BYTES = 1 << 20
# Duration of each call; calls to the platform's store take milliseconds.
CALL_MS = 2.0
WRITE_KINDS = (
    'kv_put',
    'kv_delete',
    'lease_create',
    'lease_renew',
    'lease_end',
)
_KV = '/v1/kv/'
_WATCH = '/v1/watch/'
_LEASES = '/v1/leases'


class Reply:
    """A reply that is sent now or after a delay."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(self, status, body=b'', version=None):
        self.status = status
        self.headers = []
        if version is not None:
            self.headers.append(('X-Version', str(version)))
        self.body = body


class StoreApp(ConnTracker):
    """The store: its state, faults, counters and pending watches."""

    def __init__(self, loop, call_ms=0.0):
        super().__init__(loop)
        self.call_ms = call_ms
        self.state = KvState(self._on_change)
        self.faults = StoreFaults()
        self.counters = CallRates()
        self.vms = []
        self._watchers = {}

    def on_request(self, stream, req):
        """Return the sink that buffers the body and then runs the call."""
        target = Target(req.target)
        call = Call(self, stream, req.method, target)
        sink = BodySink(stream, call.run, MAX_VALUE_BYTES)
        sink.abort_callback = call.cancel
        return sink

    def now_ms(self):
        """Return the store's clock in milliseconds."""
        return self.loop.now() * 1000.0

    def watch(self, key, notify):
        """Call `notify` once, at the next change of a key."""
        self._watchers.setdefault(key, []).append(notify)

    def unwatch(self, key, notify):
        """Cancel a pending watch."""
        waiting = self._watchers.get(key, [])
        if notify in waiting:
            waiting.remove(notify)
        if not waiting:
            self._watchers.pop(key, None)

    def expire_at(self, deadline_ms):
        """Expire leases once the clock reaches a deadline."""
        self.loop.scheduler.call_at(
            deadline_ms / 1000.0, lambda: self.state.expire(self.now_ms())
        )

    def _on_change(self, key):
        for notify in self._watchers.pop(key, []):
            notify()


class Call:
    """One call to the store."""

    __slots__ = ('app', 'stream', 'method', 'target', '_has_replied', '_timer')

    def __init__(self, app, stream, method, target):
        self.app = app
        self.stream = stream
        self.method = method
        self.target = target
        self._has_replied = False
        self._timer = None

    def cancel(self):
        """Cancel the call and its watch after the caller has disconnected."""
        self._has_replied = True
        self._cancel_watch()

    def run(self, body):
        """Run the call and reply, or start its watch."""
        if self._run_control(body):
            return
        if self.app.faults.down:
            self.app.counters.totals['dropped'] += 1
            self.stream.abort()
            return
        kind, handler = self._find_handler()
        now_ms = self.app.now_ms()
        self.app.counters.record(kind, kind in WRITE_KINDS, now_ms)
        try:
            reply = handler(body)
        except ValueError as exc:
            reply = Reply(400, str(exc).encode())
        except Conflict as exc:
            self.app.counters.totals['conflicts'] += 1
            reply = Reply(409, version=exc.version)
        except LeaseNotFound:
            reply = Reply(410)
        if reply is not None:
            self._reply(kind, reply)

    def _run_control(self, body):
        """Run a control call; return False for any other call."""
        path = self.target.path
        if path == '/v1/counters':
            send_json(self.stream, 200, self.app.counters.as_dict())
        elif path == '/v1/faults':
            self._set_faults()
        elif path == '/v1/vms' and self.method == 'PUT':
            self.app.vms = json.loads(body)
            self.stream.send(200, [])
        else:
            return False
        return True

    def _set_faults(self):
        target = self.target
        try:
            self.app.faults.set(
                target.query.get('mode', 'none'),
                target.int_param('delay_ms', 100),
                target.int_param('count', 1),
            )
        except ValueError as exc:
            self.stream.send(400, [], str(exc).encode())
            return
        self.stream.send(200, [])

    def _find_handler(self):
        path, method = self.target.path, self.method
        handlers = {}
        if path.startswith(_KV):
            handlers = {
                'GET': ('kv_get', self._get),
                'PUT': ('kv_put', self._put),
                'DELETE': ('kv_delete', self._delete),
            }
        elif path.startswith(_WATCH):
            handlers = {'GET': ('watch', self._watch)}
        elif path == _LEASES:
            handlers = {'POST': ('lease_create', self._create_lease)}
        elif path.startswith(_LEASES + '/'):
            handlers = {
                'POST': ('lease_renew', self._renew_lease),
                'DELETE': ('lease_end', self._end_lease),
            }
        elif path == '/v1/vms':
            handlers = {'GET': ('vms', self._list_vms)}
        return handlers.get(method, ('unknown', lambda body: Reply(404)))

    def _key(self, prefix=_KV):
        return self.target.path[len(prefix) :]

    def _lease_id(self):
        return self.target.path[len(_LEASES) + 1 :]

    def _get(self, body):
        return self._read_value(self._key())

    def _read_value(self, key):
        self.app.state.expire(self.app.now_ms())
        entry = self.app.state.get(key)
        if entry is None:
            return Reply(404, version=0)
        return Reply(200, entry.value, entry.version)

    def _put(self, body):
        version = self.app.state.put(
            self._key(),
            body,
            self.target.int_param('expected'),
            self.target.query.get('lease'),
            self.app.now_ms(),
        )
        return Reply(200, version=version)

    def _delete(self, body):
        expected = self.target.int_param('expected')
        self.app.state.delete(self._key(), expected, self.app.now_ms())
        return Reply(200)

    def _create_lease(self, body):
        ttl_ms = self.target.int_param('ttl_ms', 1000)
        lease_id = self.app.state.create_lease(ttl_ms, self.app.now_ms())
        self.app.expire_at(self.app.now_ms() + ttl_ms)
        return Reply(201, lease_id.encode())

    def _renew_lease(self, body):
        now_ms = self.app.now_ms()
        lease = self.app.state.renew_lease(self._lease_id(), now_ms)
        self.app.expire_at(lease.deadline_ms)
        return Reply(200)

    def _end_lease(self, body):
        self.app.state.end_lease(self._lease_id())
        return Reply(200)

    def _list_vms(self, body):
        return Reply(200, json.dumps(self.app.vms).encode())

    def _watch(self, body):
        key = self._key(_WATCH)
        if self.app.state.version(key) != self.target.int_param('after'):
            return self._read_value(key)
        wait = self.target.int_param('wait_ms', 1000) / 1000.0
        scheduler = self.app.loop.scheduler
        deadline = self.app.loop.now() + wait
        self._timer = scheduler.call_at(deadline, self._on_watch_timeout)
        self.app.watch(key, self._on_watched_change)
        return None

    def _cancel_watch(self):
        """Cancel the pending watch, if this call has one."""
        if self._timer is not None:
            self._timer.cancel()
            self.app.unwatch(self._key(_WATCH), self._on_watched_change)

    def _on_watched_change(self):
        self._cancel_watch()
        self._reply('watch', self._read_value(self._key(_WATCH)))

    def _on_watch_timeout(self):
        self._cancel_watch()
        self._reply('watch', Reply(304))

    def _reply(self, kind, reply):
        if self._has_replied:
            return
        self._has_replied = True
        if kind in WRITE_KINDS and self.app.faults.take_lost_reply():
            self.app.counters.totals['lost_answers'] += 1
            self.stream.abort()
            return
        delay = (self.app.call_ms + self.app.faults.delay_ms) / 1000.0
        if not delay:
            self._send(reply)
            return
        deadline = self.app.loop.now() + delay
        self.app.loop.scheduler.call_at(deadline, lambda: self._send(reply))

    def _send(self, reply):
        if self.app.faults.down:
            self.stream.abort()
            return
        self.stream.send(reply.status, reply.headers, reply.body)


def main(port=0, call_ms=CALL_MS):
    """Serve the store on loopback until the process is terminated.

    Args:
      port: Port to listen on; 0 picks a free one.
      call_ms: Duration of each call in milliseconds.
    """
    loop = Loop()
    app = StoreApp(loop, call_ms)
    print_address(listen(loop, app, port))
    loop.run()


if __name__ == '__main__':
    fire.Fire(main)
