"""Tests of the store stand-in: its state, and its calls without sockets."""

import json

import testtools

from bramleysill_standins import kv_state
from bramleysill_standins.stepped import ManualLoop
from bramleysill_standins.stepped import SteppedCaller
from bramleysill_standins.store import StoreApp


class KvStateTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.changed = []
        self.state = kv_state.KvState(self.changed.append)

    def test_compare_and_swap(self):
        """Guards against two concurrent writers that both succeed."""
        self.assertEqual(1, self.state.put('k', b'a', 0, None, 0))
        exc = self.assertRaises(
            kv_state.Conflict, self.state.put, 'k', b'b', 0, None, 0
        )
        self.assertEqual(1, exc.version)
        self.assertEqual(2, self.state.put('k', b'b', 1, None, 0))
        self.assertEqual(b'b', self.state.get('k').value)

    def test_versions_continue_after_removal(self):
        """Guards against one version for two values of a key."""
        self.state.put('k', b'a', 0, None, 0)
        self.state.delete('k', 1, 0)
        self.assertEqual(0, self.state.version('k'))
        self.assertEqual(2, self.state.put('k', b'b', 0, None, 0))

    def test_lease_removes_its_keys(self):
        """Guards against a leader whose key outlives its lease."""
        lease = self.state.create_lease(100, 0)
        self.state.put('k', b'a', 0, lease, 0)
        self.state.renew_lease(lease, 90)
        self.state.expire(189)
        self.assertEqual(1, self.state.version('k'))
        self.state.expire(190)
        self.assertEqual(['k', 'k'], self.changed)
        self.assertEqual(0, self.state.version('k'))
        gone, put = kv_state.LeaseNotFound, self.state.put
        self.assertRaises(gone, self.state.renew_lease, lease, 191)
        self.assertRaises(gone, put, 'k', b'b', 0, lease, 191)

    def test_lease_keeps_keys_that_were_rewritten(self):
        """Guards against an old lease that deletes a newer value."""
        lease = self.state.create_lease(100, 0)
        self.state.put('k', b'a', 0, lease, 0)
        self.state.put('k', b'b', 1, None, 0)
        self.state.expire(200)
        self.assertEqual(b'b', self.state.get('k').value)


class StoreHttpTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = ManualLoop()
        self.app = StoreApp(self.loop)
        self.caller = SteppedCaller(self.app)

    def _put(self, expected, key='a/b', query=''):
        path = f'/v1/kv/{key}?expected={expected}{query}'
        return self.caller.send('PUT', path, b'v')

    def test_calls_of_the_protocol_page(self):
        """Guards against statuses that differ from platform-protocol.md."""
        self.assertEqual('1', self._put(0)[1]['X-Version'])
        status, headers, _ = self._put(0)
        self.assertEqual((409, '1'), (status, headers['X-Version']))
        self.assertEqual(410, self._put(1, query='&lease=gone')[0])
        status, headers, body = self.caller.send('GET', '/v1/kv/a/b')
        self.assertEqual((200, '1'), (status, headers['X-Version']))
        self.assertEqual(b'v', body)
        for method, path, status in (
            ('DELETE', '/v1/kv/a/b?expected=7', 409),
            ('DELETE', '/v1/kv/a/b?expected=1', 200),
            ('GET', '/v1/kv/a/b', 404),
            ('PUT', '/v1/kv/a/b?expected=x', 400),
            ('POST', '/v1/leases?ttl_ms=50', 201),
            ('POST', '/v1/leases/lease-1', 200),
            ('DELETE', '/v1/leases/lease-1', 200),
            ('POST', '/v1/leases/lease-1', 410),
            ('GET', '/v1/vms', 200),
            ('GET', '/v1/other', 404),
        ):
            self.assertEqual(status, self.caller.send(method, path)[0], path)

    def test_value_over_the_limit_is_refused(self):
        """Guards against a value that the platform would refuse."""
        body = b'x' * ((1 << 20) + 1)
        reply = self.caller.send('PUT', '/v1/kv/k?expected=0', body)
        self.assertEqual(413, reply[0])
        self.assertEqual(404, self.caller.send('GET', '/v1/kv/k')[0])

    def test_watch_ends_with_a_change_or_the_wait(self):
        """Guards against a watch that misses a change or never ends."""
        watcher = SteppedCaller(self.app)
        path = '/v1/watch/a/b?wait_ms=500&after='
        self.assertIsNone(watcher.send('GET', path + '0'))
        self._put(0)
        self.assertEqual((200, b'v'), watcher.answer()[::2])
        self.assertEqual(200, watcher.send('GET', path + '0')[0])
        self.assertIsNone(watcher.send('GET', path + '1'))
        self.loop.advance(0.499)
        self.assertIsNone(watcher.answer())
        self.loop.advance(0.002)
        self.assertEqual(304, watcher.answer()[0])

    def test_watch_of_a_leased_key_ends_with_the_lease(self):
        """Guards against an expired lease that watchers aren't told of."""
        self.caller.send('POST', '/v1/leases?ttl_ms=100')
        self._put(0, 'k', '&lease=lease-1')
        watcher = SteppedCaller(self.app)
        watcher.send('GET', '/v1/watch/k?wait_ms=9000&after=1')
        self.loop.advance(0.101)
        status, headers, _ = watcher.answer()
        self.assertEqual((404, '0'), (status, headers['X-Version']))

    def test_watch_of_a_disconnected_caller_is_dropped(self):
        """Guards against watches of closed connections that accumulate."""
        watcher = SteppedCaller(self.app)
        watcher.send('GET', '/v1/watch/k?after=0')
        watcher.conn.abort()
        self.assertEqual({}, self.app._watchers)
        self.assertEqual(200, self._put(0, 'k')[0])

    def test_write_with_a_lost_reply_takes_effect(self):
        """Guards against a lost reply whose write is lost as well."""
        self.caller.send('POST', '/v1/faults?mode=lose_answer&count=1')
        self.assertIsNone(self._put(0))
        self.assertTrue(self.caller.conn.closed)
        self.caller = SteppedCaller(self.app)
        self.assertEqual(409, self._put(0)[0])

    def test_down_and_slow(self):
        """Guards against an outage with replies, or one without an end."""
        caller = SteppedCaller(self.app)
        caller.send('POST', '/v1/faults?mode=down')
        self.assertIsNone(self._put(0))
        self.assertTrue(self.caller.conn.closed)
        caller.send('POST', '/v1/faults?mode=slow&delay_ms=200')
        self.caller = SteppedCaller(self.app)
        self.assertIsNone(self._put(0))
        self.loop.advance(0.201)
        self.assertEqual(200, self.caller.answer()[0])
        caller.send('POST', '/v1/faults?mode=none')
        self.assertEqual(200, self._put(1)[0])

    def test_counters_count_each_call(self):
        """Guards against calls that are missing from the peak rates."""
        self._put(0)
        self._put(0)
        self.caller.send('GET', '/v1/kv/a/b')
        self.loop.advance(1.001)
        self._put(1)
        found = json.loads(self.caller.send('GET', '/v1/counters')[2])
        counts = {'kv_put': 3, 'conflicts': 1, 'kv_get': 1}
        counts.update(peak_reads_per_second=1, peak_writes_per_second=2)
        self.assertEqual(counts, found)
