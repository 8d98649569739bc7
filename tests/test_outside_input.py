"""Tests of odd input from upstreams, operators, callers and other writers.

An input that can't be used raises a SillError or is ignored. Nothing that one
entry says ends a process, or keeps a router from following the others.
"""

import json
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import testtools

from bramleysill_gateway.cell_state import CellState
from bramleysill_kernel.common.exceptions import SillError
from bramleysill_kernel.ranges.key_ranges import RangeTable
from bramleysill_net.conn import Conn
from bramleysill_net.loop import Loop
from bramleysill_platform import documents
from bramleysill_platform import fields
from bramleysill_platform import upstream_calls
from bramleysill_platform.adapter import PlatformAdapter
from bramleysill_router.metrics import Metrics
from bramleysill_wire import codec
from tests.bounds import make_timings
from tests.gateway_helpers import TIMEOUT_SECONDS
from tests.gateway_helpers import GatewayTestCase
from tests.gateway_helpers import signed_response
from tests.store_fakes import ManualLoop
from tests.store_fakes import ScriptedStore
from tests.store_fakes import make_item
from tests.store_fakes import make_reply
from tests.test_platform_documents import CONFIG
from tests.test_platform_documents import ENTRY

HUGE = 10**400
# More digits than `int` converts by default.
HUGE_TEXT = '9' * 5000
DEEP = b'[' * 100000


def _entry(upstream='i-1', **changes):
    data = json.dumps({**ENTRY, **changes}).encode()
    return documents.decode_upstream(upstream, data, 100.0)


class OddEntryTest(testtools.TestCase):
    def test_numbers_are_bounded(self):
        """Guards against a planner that fails on each plan (OverflowError)."""
        for changes in (
            {'slots': HUGE},
            {'slots': 1 << 20},
            {'born': HUGE},
            {'sequence': HUGE},
            {'warmup_left': '1e300s'},
            {'warmup_left': f'{HUGE_TEXT}s'},
            {'warmup_left': '1_0s'},
        ):
            self.assertRaises(fields.FieldError, _entry, **changes)

    def test_an_address_is_a_literal(self):
        """Guards against a name lookup, which blocks the only loop."""
        for address in (
            'host.example:80',
            'localhost:80',
            '10.0.0.300:80',
            '10.0.0:80',
            '::1:80',
            '\ud800:80',
            '10.0.0.9:٨٠',
            '10.0.0.9:0',
            '10.0.0.9:65536',
            f'10.0.0.9:{HUGE_TEXT}',
        ):
            self.assertRaises(fields.FieldError, _entry, address=address)

    def test_an_id_can_be_written_in_a_header(self):
        """Guards against an id that ends the header in which it is sent."""
        for upstream in ('', 'a b', 'a\r\nb', '\ud800', 'ü', 'a' * 300):
            self.assertRaises(fields.FieldError, _entry, upstream)

    def test_deep_nesting_is_refused(self):
        """Guards against a RecursionError in the loop."""
        self.assertRaises(
            fields.FieldError, documents.decode_upstream, 'i-1', DEEP, 0.0
        )


class OddConfigurationTest(testtools.TestCase):
    def _decode(self, **route):
        record = {**CONFIG['routes']['record'], **route}
        data = json.dumps({**CONFIG, 'routes': {'r': record}}).encode()
        return documents.decode_config(data)

    def test_numbers_are_finite(self):
        """Guards against an error that is none of ours, and ends the watch."""
        for weight in (HUGE, float('inf'), float('nan'), -1):
            split = [{'service': 'ledger', 'weight': weight}]
            self.assertRaises(
                fields.FieldError, self._decode, traffic_split=split
            )
        self.assertRaises(fields.FieldError, self._decode, max_attempts=HUGE)
        data = json.dumps({**CONFIG, 'version': f'r{HUGE_TEXT}'}).encode()
        self.assertRaises(fields.FieldError, documents.decode_config, data)


class OddTableTest(testtools.TestCase):
    def test_an_odd_table_is_a_typed_error(self):
        """Guards against a leader that never starts to coordinate."""
        row = [0, 65535, 1, 'u1', 1]
        for data in (
            DEEP,
            json.dumps(
                {
                    'format': 1,
                    'next_fence': 9,
                    'ranges': [row],
                    'settles_in': HUGE,
                }
            ).encode(),
            b'{"format":1,"next_fence":9,"ranges":[["0",65535,1,"u",1]]}',
            b'{"format":1,"next_fence":9,"ranges":null}',
            b'{"format":1,"next_fence":9,"ranges":[]}',
            b'[]',
        ):
            self.assertRaises(SillError, RangeTable.decode, data)


class OddHeaderTest(testtools.TestCase):
    def test_a_load_is_bounded(self):
        """Guards against an overflow in the estimate of the load."""
        for value in (
            f'{HUGE},0,4',
            f'0,0,{HUGE}',
            f'{HUGE_TEXT},0,4',
            '0,0,4,1e300',
            '٣,0,4',
        ):
            self.assertIsNone(upstream_calls.parse_load(value))


class OddRequestTest(GatewayTestCase):
    def test_a_huge_number_in_a_header_is_ignored(self):
        """Guards against a reset connection instead of a response."""
        self.add_upstream(
            'u1',
            lambda i: signed_response(
                i, extra=f'X-Bramleysill-Warmup-Ms: {HUGE_TEXT}\r\n'
            ),
        )
        for left in (HUGE_TEXT, str(HUGE), '-1', 'x'):
            self.assertEqual(200, self.request('/read/x', left)[0])


class FollowingTest(testtools.TestCase):
    def _start(self):
        loop = ManualLoop()
        store = ScriptedStore()
        state = CellState(
            loop,
            random.Random(1),
            make_timings(),
            store,
            PlatformAdapter(),
            Metrics(),
        )
        state.upstream_watch.start()
        return loop, store, state

    def _item(self, upstream, revision, **changes):
        data = json.dumps({**ENTRY, **changes}).encode()
        return make_item(f'servers/{upstream}', revision, data)

    def test_an_entry_that_fails_does_not_end_the_watch(self):
        """Guards against a router that follows no upstream after one entry."""
        loop, store, state = self._start()
        store.reply_to_list(make_reply(5, self._item('i-1', 3)))
        loop.advance(1.0)
        decode = state._adapter.decode_upstream

        def fail_once(upstream, data, now):
            if upstream == 'i-2':
                raise OverflowError('a fault that nobody has thought of')
            return decode(upstream, data, now)

        state._adapter.decode_upstream = fail_once
        store.reply_to_watch(
            make_reply(9, self._item('i-2', 8), self._item('i-3', 9))
        )
        loop.advance(1.0)
        self.assertEqual({'i-1', 'i-3'}, set(state.directory.entries))
        self.assertEqual(1, len(store.watches))
        self.assertEqual(9, store.watches[0][0])

    def test_an_entry_that_fails_does_not_end_the_listing(self):
        """Guards against a router that is never ready."""
        _, store, state = self._start()
        state._adapter.decode_upstream = lambda *args: 1 / 0
        store.reply_to_list(make_reply(5, self._item('i-1', 3)))
        self.assertTrue(state.upstream_watch.synced)


class ConnectTest(testtools.TestCase):
    def test_an_address_that_can_not_be_used_fails_the_connection(self):
        """Guards against an exception in the caller, and a name lookup."""
        loop = Loop()
        for host, port in (
            ('localhost', 80),
            ('10.0.0.300', 80),
            ('\ud800', 80),
            ('127.0.0.1', 99999),
            ('127.0.0.1', -1),
        ):
            protocol = _Protocol()
            Conn.connect(loop, host, port, protocol)
            loop.run_until(lambda p=protocol: p.closed, TIMEOUT_SECONDS)
            self.assertIsInstance(protocol.closed[0], OSError)


class _Protocol:
    def __init__(self):
        self.closed = []

    def on_close(self, exc):
        self.closed.append(exc)


_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([HUGE, -HUGE, 0])
    | st.floats()
    | st.text(max_size=8),
    lambda item: (
        st.lists(item, max_size=3)
        | st.dictionaries(st.text(max_size=4), item, max_size=3)
    ),
    max_leaves=6,
)


def _returns_or_raises_sill_error(decode, *args):
    try:
        decode(*args)
    except SillError:
        pass


class FuzzTest(testtools.TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.sampled_from(sorted(ENTRY)), _JSON)
    def test_any_field_of_an_entry(self, name, value):
        """Guards against errors that only their decoder knows."""
        _returns_or_raises_sill_error(lambda: _entry(**{name: value}))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.sampled_from(sorted(CONFIG)), _JSON)
    def test_any_part_of_a_configuration(self, name, value):
        """Guards against errors that only their decoder knows."""
        data = json.dumps({**CONFIG, name: value}).encode()
        _returns_or_raises_sill_error(documents.decode_config, data)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.sampled_from(sorted(CONFIG['routes']['lookup'])), _JSON)
    def test_any_field_of_a_route(self, name, value):
        """Guards against errors that only their decoder knows."""
        lookup = {**CONFIG['routes']['lookup'], name: value}
        data = json.dumps({**CONFIG, 'routes': {'r': lookup}}).encode()
        _returns_or_raises_sill_error(documents.decode_config, data)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(_JSON, _JSON)
    def test_any_table(self, ranges, settles_in):
        """Guards against errors that only their decoder knows."""
        document = {
            'format': 1,
            'next_fence': 5,
            'ranges': ranges,
            'settles_in': settles_in,
        }
        data = json.dumps(document).encode()
        _returns_or_raises_sill_error(RangeTable.decode, data)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_frame_of_a_peer(self, data):
        """Guards against a link whose error ends more than the link."""
        _returns_or_raises_sill_error(codec.decode, data)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.text(max_size=30))
    def test_any_header(self, value):
        """Guards against an error in the middle of a response."""
        upstream_calls.parse_load(value)
        upstream_calls.parse_limit(value)
        upstream_calls.parse_key(value)
