"""Tests of the upstream stand-in, on a manual clock."""

import hashlib
import json

import testtools

from bramleysill_standins import ledger
from bramleysill_standins.capacity_model import CapacityModel
from bramleysill_standins.fences import FenceTable
from bramleysill_standins.pattern import iter_pattern
from bramleysill_standins.stepped import ManualLoop
from bramleysill_standins.stepped import SteppedCaller
from bramleysill_standins.upstream import Limits
from bramleysill_standins.upstream import UpstreamApp
from tests.http_helpers import ledger_entry


def _grant(generation, units, until=900, epoch='e'):
    return {
        'dispatcher': 'd',
        'generation': generation,
        'until_clock_ms': until,
        'epoch': epoch,
        'units': units,
    }


class FenceTableTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = FenceTable('e')
        self.table.apply(_grant([1, 1], {'3': 5, '4': 1}), 0)

    def test_check_gives_the_reason(self):
        """Guards against a request that runs without authority."""
        for unit, fence, now_ms, reason in (
            ('3', 5, 899, ''),
            ('3', 5, 900, 'expired'),
            ('3', 4, 0, 'stale_fence'),
            ('3', 6, 0, 'stale_fence'),
            ('9', 5, 0, 'no_grant'),
        ):
            self.assertEqual(reason, self.table.check(unit, fence, now_ms))

    def test_older_grants_are_refused(self):
        """Guards against a late grant that reverts a newer one."""
        self.assertTrue(self.table.apply(_grant([2, 0], {'4': 1}), 0))
        self.assertFalse(self.table.apply(_grant([1, 9], {'3': 5}), 0))
        other = _grant([3, 0], {'3': 5}, epoch='x')
        self.assertFalse(self.table.apply(other, 0))
        self.assertEqual('no_grant', self.table.check('3', 5, 0))

    def test_fences_never_go_back(self):
        """Guards against a unit that is granted again under an old fence."""
        self.table.apply(_grant([1, 2], {'3': 4}), 0)
        self.assertEqual('no_grant', self.table.check('3', 4, 0))
        self.table.release('4', 1)
        self.table.apply(_grant([1, 3], {'4': 1}), 0)
        self.assertEqual('no_grant', self.table.check('4', 1, 0))
        self.table.apply(_grant([1, 4], {'4': 2}), 0)
        self.assertEqual('', self.table.check('4', 2, 0))


class LedgerCheckTest(testtools.TestCase):
    def test_two_owners_are_found(self):
        """Guards against a check of single ownership that can't fail."""
        good = {
            'a': [ledger_entry(1, 1), ledger_entry(9, 3)],
            'b': [ledger_entry(5, 2)],
        }
        self.assertEqual([], ledger.keys_with_two_owners(good))
        for bad in (
            {'a': [ledger_entry(1, 1)], 'b': [ledger_entry(2, 1)]},
            {'a': [ledger_entry(2, 1)], 'b': [ledger_entry(1, 2)]},
            {'a': [ledger_entry(1, 2), ledger_entry(2, 1)]},
        ):
            self.assertEqual(1, len(ledger.keys_with_two_owners(bad)))

    def test_repeated_effects_are_found(self):
        """Guards against an opening that two upstreams recorded."""
        twice = {
            'a': [ledger_entry(1, 1, 'x')],
            'b': [ledger_entry(2, 2, 'x')],
        }
        self.assertEqual(['x'], ledger.repeated_effects(twice, 'openings'))
        self.assertEqual([], ledger.repeated_effects(twice, 'handovers'))


class CapacityModelTest(testtools.TestCase):
    def test_warms_up_by_time_and_work(self):
        """Guards against an upstream that warms up without any requests."""
        model = CapacityModel(4, 1, 1000)
        self.assertEqual(1, model.safe_in_flight(5000))
        for _ in range(20):
            model.start(0)
            model.finish(0, True)
        self.assertEqual(
            (1, 4), (model.safe_in_flight(0), model.safe_in_flight(1000))
        )
        self.assertEqual(2.0, model.service_ms(1000, 2.0))
        self.assertEqual(8.0, model.service_ms(0, 2.0))

    def test_collapses_under_too_much_work_while_cold(self):
        """Guards against overload while cold that has no effect."""
        model = CapacityModel(4, 1, 1000)
        taken = [model.start(0) for _ in range(5)]
        self.assertEqual([True] * 4 + [False], taken)
        self.assertEqual((1, 4), (model.collapses, model.cold_max_in_flight))
        self.assertEqual(32.0, model.service_ms(0, 2.0))


class UpstreamHttpTest(testtools.TestCase):
    def _start(self, checked=False, **options):
        limits = Limits(warmup_ms=0, connections=6)
        self.loop = ManualLoop()
        self.app = UpstreamApp(self.loop, 'u', limits, checked, **options)
        self.caller = SteppedCaller(self.app)
        self.loop.advance(0.01)

    def _send(self, path, body=b'', caller=None, **fields):
        headers = [(k.replace('_', '-'), v) for k, v in fields.items()]
        method = 'POST' if body else 'GET'
        return (caller or self.caller).send(method, path, body, headers)

    def _fault(self, query, caller=None):
        self._send(f'/.sill/faults?mode={query}', b'{}', caller)

    def _grant(self, for_ms):
        until = self.app.clock_ms() + for_ms
        grant = _grant([1, 1], {'3': 1}, until, self.app.epoch)
        response = self._send('/.sill/grants', json.dumps(grant).encode())
        self.assertEqual(200, response[0])

    def _reason(self, response):
        status, headers, _ = response
        self.assertEqual('1', headers['Sill-Not-Run'])
        return status, headers['Sill-Reason']

    def _check_expired(self):
        reason = self._reason(self.caller.answer())
        self.assertEqual(((409, 'expired'), []), (reason, self._ran()))

    def _ran(self):
        return [entry.request_id for entry in self.app.ledger.entries]

    def test_request_runs_for_the_service_time(self):
        """Guards against an effect before the service time is over."""
        self._start()
        self._send('/ledger/K', Sill_Request_Id='r', X_Call_Id='c')
        self.loop.advance(0.0019)
        self.assertIsNone(self.caller.answer())
        self.assertEqual([], self._ran())
        self.loop.advance(0.0002)
        status, headers, body = self.caller.answer()
        found = json.loads(body)
        self.assertEqual(
            (200, 'K', 'c'), (status, found['key'], found['call_id'])
        )
        self.assertIn('Sill-Clock-Ms', headers)
        self.assertEqual(['r'], self._ran())

    def test_more_than_slots_are_shed(self):
        """Guards against more running requests than slots."""
        self._start()
        callers = [SteppedCaller(self.app) for _ in range(5)]
        self.loop.advance(0.01)
        responses = [self._send('/a/K', caller=c) for c in callers]
        self.assertEqual([None] * 4, responses[:4])
        self.assertEqual((503, 'shed'), self._reason(responses[4]))
        self.assertEqual(4, self.app.capacity_model.max_in_flight)

    def test_connections_are_limited(self):
        """Guards against a connection beyond the limit."""
        self._start()
        callers = [SteppedCaller(self.app) for _ in range(6)]
        closed = [caller.conn.closed for caller in callers]
        self.assertEqual([False] * 5 + [True], closed)

    def test_authority_is_checked_when_the_effect_is_due(self):
        """Guards against an effect after the end of the grant."""
        self._start(checked=True)
        self._grant(1)
        fields = {'Sill_Unit': '3', 'Sill_Fence': '1'}
        self.assertIsNone(self._send('/ledger/K', **fields))
        self.loop.advance(0.003)
        self._check_expired()

    def test_release_waits_for_an_idle_unit(self):
        """Guards against a release that is confirmed too early."""
        self._start(checked=True)
        self._grant(9000)
        self._send('/ledger/K', Sill_Unit='3', Sill_Fence='1')
        other = SteppedCaller(self.app)
        release = b'{"unit": "3", "fence": 1}'
        self.assertIsNone(self._send('/.sill/release', release, other))
        self.loop.advance(0.003)
        self.assertEqual(200, other.answer()[0])
        self.assertEqual(409, self.caller.answer()[0])

    def test_upload_is_stored_completely_or_not_at_all(self):
        """Guards against an incomplete upload that counts as stored."""
        self._start()
        body = b'x' * 1000
        self._send('/intake/a', body)
        self.loop.advance(0.003)
        digest = hashlib.sha256(body).hexdigest()
        found = json.loads(self.caller.answer()[2])
        self.assertEqual((digest, 1000), (found['sha256'], found['bytes']))
        head = (
            b'PUT /intake/b HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n'
        )
        self.caller.server.on_data(head + b'abc')
        self.caller.conn.abort()
        self.loop.advance(1)
        self.assertEqual(['/intake/a'], list(self.app.ledger.uploads))
        self.assertEqual(
            (1, 0),
            (self.app.ledger.cut_off, self.app.capacity_model.in_flight),
        )

    def test_download_waits_for_the_caller(self):
        """Guards against a download that is buffered completely."""
        self._start()
        conn = self.caller.conn
        write = conn.write

        def buffering_write(data):
            write(data)
            conn.buffered += len(data)

        conn.write = buffering_write
        self._send('/intake/s?bytes=1000000')
        self.loop.advance(0.003)
        self.assertLess(conn.buffered, 400000)
        while conn.buffered:
            conn.buffered = 0
            self.caller.server.on_drain()
        expected = b''.join(iter_pattern('s', 1000000))
        self.assertEqual(expected, self.caller.answer()[2])
        self.assertEqual(0, self.app.capacity_model.in_flight)

    def test_cancelled_request_does_not_run(self):
        """Guards against a request that runs after its cancellation."""
        self._start()
        self._send('/ledger/K', Sill_Request_Id='r')
        control = SteppedCaller(self.app)

        def cancel(request_id):
            body = json.dumps({'request_id': request_id}).encode()
            response = self._send('/.sill/cancel', body, control)
            return json.loads(response[2])['state']

        self.assertEqual('cancelled', cancel('r'))
        self.loop.advance(1)
        self.assertEqual([], self._ran())
        self._send(
            '/ledger/K', caller=SteppedCaller(self.app), Sill_Request_Id='s'
        )
        self.loop.advance(1)
        self.assertEqual(('done', 'unknown'), (cancel('s'), cancel('t')))

    def test_deadline_is_kept(self):
        """Guards against a request that runs after its deadline."""
        self._start()
        self._fault('slow&factor=10')
        self._send('/ledger/K', Sill_Timeout_Ms='5')
        self.loop.advance(0.03)
        self._check_expired()

    def test_idempotency_key_runs_once(self):
        """Guards against a retried opening that runs twice."""
        self._start(remember=True)
        bodies = []
        for _ in range(2):
            path = '/ledger/K/openings'
            self._send(path, b'x', Idempotency_Key='i')
            self.loop.advance(0.003)
            bodies.append(self.caller.answer()[2])
        self.assertEqual(bodies[0], bodies[1])
        self.assertEqual(1, len(self.app.ledger.entries))

    def test_freeze_holds_everything_but_the_clock(self):
        """Guards against a freeze that runs work or stops the clock."""
        self._start()
        self._send('/ledger/K', Sill_Request_Id='r')
        control = SteppedCaller(self.app)
        self._fault('freeze&ms=500', control)
        self.assertFalse(self.caller.conn.reading)
        before = self.app.clock_ms()
        self.loop.advance(0.499)
        self.assertEqual([], self._ran())
        self.assertGreater(self.app.clock_ms(), before + 498)
        self.loop.advance(0.002)
        self.assertEqual(['r'], self._ran())
        self.assertTrue(self.caller.conn.reading)

    def test_other_faults(self):
        """Guards against faults without an effect."""
        self._start()
        epoch = self.app.epoch
        self._fault('cold')
        self.assertNotEqual(epoch, self.app.epoch)
        self._fault('mislead&load=0.25')
        self._fault('leaving')
        response = self._send('/ledger/K')
        self.assertEqual((503, 'leaving'), self._reason(response))
        self.assertEqual('0.250', response[1]['Sill-Load'])
        self._fault('none')
        self._fault('lose_answer')
        self._send('/ledger/K', Sill_Request_Id='r')
        self.loop.advance(0.003)
        self.assertEqual((True, ['r']), (self.caller.conn.closed, self._ran()))
