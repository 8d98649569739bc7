"""Tests of sillctl's store clients and of its compare-and-swap writes."""

import http.server
import threading

import testtools

from bramleysill_kernel.common import exceptions
from sillctl import store_clients
from sillctl import store_writes
from sillctl.exceptions import OutcomeUnknown
from sillctl.exceptions import StoreNotReached
from sillctl.store_clients import StoreValue


class FakeStore:
    """An in-memory store with fault injection.

    `on_write` is called once, before the next write, to simulate another
    writer. `lose` makes the next write fail with a lost `request` or a lost
    `reply`. `failing_reads` is the number of reads that will fail.
    """

    def __init__(self):
        self.values = {}
        self.writes = 0
        self.pauses = 0
        self.on_write = None
        self.lose = ''
        self.failing_reads = 0

    def read(self, key):
        if self.failing_reads:
            self.failing_reads -= 1
            raise exceptions.StoreUnavailable('down', 'read', 'memory')
        return self.values.get(key, StoreValue(b'', 0))

    def write(self, key, data, expected):
        self.writes += 1
        hook, self.on_write = self.on_write, None
        if hook:
            hook()
        lose, self.lose = self.lose, ''
        if lose != 'request':
            self.put(key, data, expected)
        if lose:
            raise exceptions.StoreUnavailable('lost', 'write', 'memory')
        return self.values[key].version

    def put(self, key, data, expected=None):
        """Write as another client; without `expected`, over any version."""
        version = self.values.get(key, StoreValue(b'', 0)).version
        if expected is not None and expected != version:
            raise exceptions.StoreConflict(key, version)
        self.values[key] = StoreValue(data, version + 1)

    def pause(self):
        self.pauses += 1


class CompareAndSwapTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = FakeStore()
        self.store.put('k', b'old')

    def _swap(self):
        return store_writes.compare_and_swap(
            self.store, 'k', b'mine', 1, lambda d: d == b'mine'
        )

    def test_a_lost_reply_is_found_by_its_write_id(self):
        """Guards against a second write after a lost reply."""
        self.store.lose = 'reply'
        self.store.failing_reads = 1
        self.assertEqual((2, 1), (self._swap(), self.store.writes))

    def test_a_lost_request_is_not_reported_as_failed(self):
        """Guards against a write that takes effect but was called failed."""
        self.store.lose = 'request'
        self.assertRaises(OutcomeUnknown, self._swap)
        self.assertEqual((1, 2), (self.store.writes, self.store.pauses))

    def test_a_store_that_stays_down_leaves_the_outcome_unknown(self):
        """Guards against a success that no read has confirmed."""
        self.store.lose = 'reply'
        self.store.failing_reads = 9
        self.assertRaises(OutcomeUnknown, self._swap)

    def test_the_next_version_by_another_writer_is_a_conflict(self):
        """Guards against taking another writer's value for this write's."""
        self.store.on_write = lambda: self.store.put('k', b'other')
        self.store.lose = 'request'
        self.assertRaises(exceptions.StoreConflict, self._swap)

    def test_a_later_version_after_a_lost_reply_is_unknown(self):
        """Guards against a replaced write that is reported as failed."""
        self.store.lose = 'reply'
        read = self.store.read

        def replaced(key):
            self.store.read = read
            self.store.put(key, b'other')
            return read(key)

        self.store.read = replaced
        self.assertRaises(OutcomeUnknown, self._swap)

    def test_a_conflict_with_the_own_write_is_a_success(self):
        """Guards against a request that an intermediary sent twice."""
        self.store.on_write = lambda: self.store.put('k', b'mine')
        self.assertEqual(2, self._swap())


class _Handler(http.server.BaseHTTPRequestHandler):
    """Serves a FakeStore with the store's HTTP protocol."""

    def log_message(self, *args):
        pass

    def do_GET(self):
        value = self.server.store.read(self.path)
        self._reply(200 if value.version else 404, value)

    def do_PUT(self):
        data = self.rfile.read(int(self.headers['Content-Length']))
        path, _, query = self.path.partition('?expected=')
        try:
            self.server.store.put(path, data, int(query))
        except exceptions.StoreConflict as exc:
            self._reply(409, StoreValue(b'', exc.version))
            return
        if self.server.loses_replies:
            self.close_connection = True
            return
        self._reply(200, self.server.store.read(path))

    def _reply(self, status, value):
        self.send_response(self.server.status or status)
        self.send_header('X-Version', str(value.version))
        self.send_header('Content-Length', str(len(value.data)))
        self.end_headers()
        self.wfile.write(value.data)


class HttpStoreTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        server = http.server.HTTPServer(('127.0.0.1', 0), _Handler)
        server.store = FakeStore()
        server.loses_replies = False
        server.status = 0
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        self.addCleanup(server.server_close)
        self.addCleanup(thread.join)
        self.addCleanup(server.shutdown)
        self.server = server
        self.address = f'127.0.0.1:{server.server_port}'
        self.client = store_clients.open_store(self.address)

    def test_versions_follow_the_protocol(self):
        """Guards against a client that ignores or confuses versions."""
        self.assertEqual(0, self.client.read('a/b').version)
        self.assertEqual(1, self.client.write('a/b', b'x', 0))
        self.assertEqual(StoreValue(b'x', 1), self.client.read('a/b'))
        exc = self.assertRaises(
            exceptions.StoreConflict, self.client.write, 'a/b', b'y', 0
        )
        self.assertEqual(1, exc.version)

    def test_a_lost_reply_is_not_a_failed_write(self):
        """Guards against a write that is repeated or reported as failed."""
        self.server.loses_replies = True
        exc = self.assertRaises(
            exceptions.StoreUnavailable, self.client.write, 'k', b'x', 0
        )
        self.assertNotIsInstance(exc, StoreNotReached)
        self.assertEqual(1, self.client.read('k').version)

    def test_an_unexpected_status_is_an_error(self):
        """Guards against an error response that is taken for a value."""
        for status, cls in (
            (400, exceptions.StoreError),
            (500, exceptions.StoreUnavailable),
        ):
            self.server.status = status
            self.assertRaises(cls, self.client.read, 'k')
            self.assertRaises(cls, self.client.write, f'k{status}', b'', 0)

    def test_a_refused_connection_sent_nothing(self):
        """Guards against an unknown outcome although nothing was sent."""
        self.server.shutdown()
        self.server.server_close()
        self.assertRaises(StoreNotReached, self.client.write, 'k', b'', 0)

    def test_a_bad_address_is_a_settings_error(self):
        """Guards against a traceback for a mistyped address."""
        for address in ('', 'x', ':1', 'x:', 'x:0', 'x:70000', 'ftp://x:1'):
            self.assertRaises(
                exceptions.SettingsError, store_clients.open_store, address
            )
