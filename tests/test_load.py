"""Tests of the load generator against stand-ins on one loop."""

import collections
import itertools
import random

import testtools

from bramleysill_net.loop import Loop
from bramleysill_standins import load
from bramleysill_standins import serving
from bramleysill_standins.arrivals import arrivals
from bramleysill_standins.key_pickers import key_pickers
from bramleysill_standins.tally import Unavailability
from bramleysill_standins.upstream import Limits
from bramleysill_standins.upstream import UpstreamApp

TIMEOUT_SECONDS = 30


class ScriptedApp(serving.ConnTracker):
    """Responds to every request by calling a function."""

    def __init__(self, loop, respond):
        super().__init__(loop)
        self._respond = respond

    def on_request(self, stream, req):
        return serving.BodySink(
            stream, lambda body: self._respond(stream, req), 9999
        )


def _refuse(stream, req):
    problem = {'code': 'owner_lost', 'outcome': 'not_run'}
    serving.send_json(stream, 503, problem, [('Retry-After', '0')])


def _respond_for_another(stream, req):
    serving.send_json(
        stream, 200, {'key': req.target[8:], 'call_id': 'another'}
    )


def _respond_twice(stream, req):
    key, call_id = req.target[8:], req.header('x-call-id')
    conn = stream._server_conn.conn
    serving.send_json(stream, 200, {'key': key, 'call_id': call_id})
    conn.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')


class LoadTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = Loop()

    def _upstream(self):
        limits = Limits(slots=100, warmup_ms=0)
        return UpstreamApp(self.loop, 'u', limits, checked=False)

    def _run(self, apps, kinds, closed=None, **options):
        routers = [
            ('127.0.0.1', serving.listen(self.loop, a, 0)) for a in apps
        ]
        for app in apps:
            self.addCleanup(app.listener.close)
        if closed is not None:
            closed.listener.close()
        weights = load.parse_weights(kinds)
        cfg = load.Settings(1000, 0.05, weights, 5, 7, 'constant', **options)
        generator = load.LoadGenerator(self.loop, routers, cfg)
        self.addCleanup(generator.pool.close)
        generator.start()
        done = self.loop.run_until(generator.is_done, TIMEOUT_SECONDS)
        self.assertTrue(done)
        return load.report(generator)

    def test_responses_are_checked_and_counted(self):
        """Guards against correct responses that are counted as wrong."""
        app = self._upstream()
        found = self._run(
            [app], 'lookup=4,opening=1,handover=1,upload=1,download=1'
        )
        self.assertEqual(50, found['sent'])
        self.assertEqual(50, sum(found['outcomes'].values()))
        self.assertTrue(all(n.endswith(' ok') for n in found['outcomes']))
        self.assertEqual([], found['mixed_up'])
        uploads = [item['sha256'] for item in app.ledger.uploads.values()]
        for digest in found['acknowledged']['upload'].values():
            self.assertIn(digest, uploads)

    def test_response_for_another_request_is_noticed(self):
        """Guards against a check of the content that can't fail."""
        app = ScriptedApp(self.loop, _respond_for_another)
        found = self._run([app], 'lookup=1')
        self.assertEqual(50, len(found['mixed_up']))

    def test_second_response_is_noticed(self):
        """Guards against an extra response that the next request gets."""
        found = self._run([ScriptedApp(self.loop, _respond_twice)], 'lookup=1')
        self.assertEqual({'lookup ok': 50}, found['outcomes'])
        self.assertEqual([], found['mixed_up'])
        self.assertGreater(found['unsolicited'], 0)

    def test_refusals_are_retried_and_counted(self):
        """Guards against retries without a limit, or that are not counted."""
        app = ScriptedApp(self.loop, _refuse)
        found = self._run([app], 'opening=1', retries=2)
        self.assertEqual({'opening 503 owner_lost': 150}, found['outcomes'])
        self.assertEqual(100, found['retries'])
        self.assertEqual(50, len(found['not_run']))

    def test_closed_router_is_left_out(self):
        """Guards against requests that fail at a router that is down."""
        down = ScriptedApp(self.loop, _refuse)
        found = self._run([self._upstream(), down], 'lookup=1', down)
        self.assertEqual({'lookup ok': 50}, found['outcomes'])
        self.assertGreater(found['failed_connects'], 0)


class TallyTest(testtools.TestCase):
    def test_unavailable_time_spans_failures(self):
        """Guards against an outage that counts for one request only."""
        times = Unavailability()
        times.record_success('a', 0.0, 0.1)
        times.record_failure('a', 1.0)
        times.record_failure('a', 2.0)
        times.record_success('a', 3.0, 3.5)
        self.assertEqual(2.5, times.longest)
        times.record_failure('b', 3.0)
        times.finish(9.0)
        self.assertEqual((6.0, 'b'), (times.longest, times.longest_key))

    def test_arrivals_keep_the_rate(self):
        """Guards against a generator that sends at another rate."""
        for name, low, high in (('constant', 100, 100), ('poisson', 90, 110)):
            times = arrivals.get(name)(100.0, random.Random(3))
            last = list(itertools.islice(times, 10001))[-1]
            self.assertTrue(low <= 10000 / last <= high, name)

    def test_hot_keys_take_most_requests_and_change(self):
        """Guards against a load without hot keys."""
        rng, keys = random.Random(5), key_pickers.get('zipf')(1000)
        counts = collections.Counter(keys.pick(rng, 0) for _ in range(5000))
        self.assertGreater(counts[0], 500)
        self.assertNotIn(0, {keys.pick(rng, 61) for _ in range(9)})

    def test_addresses_and_weights(self):
        """Guards against misread options."""
        self.assertEqual([('::1', 2)], load.parse_routers('::1:2'))
        weights = load.parse_weights('lookup=8,upload')
        self.assertEqual({'lookup': 8.0, 'upload': 1.0}, weights)
