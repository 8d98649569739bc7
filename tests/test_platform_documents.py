"""Tests of the decoding of the platform's documents and headers."""

import json
import tomllib

import testtools

from bramleysill_kernel.common.exceptions import SettingsError
from bramleysill_kernel.config.routing_config import Repeatability
from bramleysill_kernel.ranges.key_ranges import KeyRange
from bramleysill_platform import documents
from bramleysill_platform import fields
from bramleysill_platform import settings
from bramleysill_platform import upstream_calls
from tests.range_fakes import make_entry

NOW = 100.0

CONFIG = {
    'version': 'r7',
    'routes': {
        'lookup': {
            'host': 'A.example',
            'prefix': '/ledger/',
            'kind': 'idempotent',
            'timeout': '1200ms',
            'slo_latency': '400ms',
            'priority': 2,
            'traffic_split': [
                {'service': 'ledger', 'weight': 90},
                {'service': 'intake', 'weight': 10},
            ],
            'max_attempts': 2,
        },
        'record': {
            'host': 'a.example',
            'prefix': '/ledger/record/',
            'kind': 'non_idempotent',
            'timeout': '1.5s',
            'service': 'ledger',
        },
    },
    'services': {
        'ledger': {
            'health_check_path': '/health',
            'max_connections': 130,
            'warmup': '3s',
            'warmup_per_s': 10.0,
            'sharded': True,
            'warm': '5s',
        },
        'intake': {'health_check_path': '/health', 'max_connections': 130},
    },
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 67108864,
        'header_timeout': '3000ms',
        'idle_timeout': '15000ms',
    },
}

ENTRY = {
    'service': 'ledger',
    'address': '10.0.0.9:8080',
    'zone': 'tw-a',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'warmup_left': '1500ms',
    'sequence': 4,
    'born': 1764800000000,
}

SETTINGS = """
[self]
node = "front-1"
ip = "10.1.0.35"
zone = "tw-a"
[self.limits]
cpu_share = 0.5
cores = 2
link_mbps = 100.0
[network]
internal_port_range = [7660, 7675]
[network.listen]
front = "10.1.0.35:8144"
ready = "10.1.0.35:8140"
[network.zones]
tw-a = "tw"
[provider]
heartbeat = "870ms"
[provider.provider]
address = "10.200.1.7:8142"
ttl_min = "1000ms"
[terms.bounds]
reuse_after = "2s"
drain = "2000ms"
grace = "6s"
contact = "3000ms"
config_apply = "2000ms"
retry_budget_ratio = 0.2
budget_window = "10s"
retry_budget_extra = 64
cold_over = 1.5
cold_slack = 5
evacuation = "5000ms"
hold_max = "10000ms"
"""


def _encode(document):
    return json.dumps(document).encode()


def decode(**changes):
    return documents.decode_config(_encode({**CONFIG, **changes}))


def _entry(**changes):
    document = {**ENTRY, **changes}
    document = {k: v for k, v in document.items() if v is not None}
    return documents.decode_upstream('i-1', _encode(document), NOW)


def _service_change(**changes):
    services = CONFIG['services']
    ledger = {**services['ledger'], **changes}
    return {'services': {**services, 'ledger': ledger}}


class ConfigTest(testtools.TestCase):
    def test_the_longest_prefix_is_matched(self):
        """Guards against a write that is routed as a lookup."""
        config = decode()
        self.assertEqual(
            'record', config.match('a.example', '/ledger/record/1').name
        )
        self.assertEqual(
            'lookup', config.match('A.example:80', '/ledger/1?x=/').name
        )
        self.assertIsNone(config.match('a.example', '/ledger'))
        self.assertIsNone(config.match('b.example', '/ledger/1'))

    def test_fields_have_units(self):
        """Guards against milliseconds that are taken as seconds."""
        config = decode()
        route = config.match('a.example', '/ledger/1')
        self.assertEqual((1.2, 0.4), (route.max_wait, route.objective))
        self.assertIs(Repeatability.IDEMPOTENT, route.repeatability)
        self.assertEqual([90.0, 10.0], [s.weight for s in route.services])
        ledger = config.services['ledger']
        self.assertTrue(ledger.keyed)
        self.assertEqual(
            (3.0, 5.0), (ledger.slow_start_seconds, ledger.key_warmup_seconds)
        )
        self.assertEqual(15.0, config.limits.idle_timeout_seconds)

    def test_an_unreadable_configuration_is_refused_as_a_whole(self):
        """Guards against a configuration that is applied in part."""
        for changes in (
            {'version': 7},
            {'version': 'x7'},
            {'routes': []},
            {'limits': None},
            {'routes': {'r': {**CONFIG['routes']['record'], 'kind': 1}}},
            {'routes': {'r': {**CONFIG['routes']['record'], 'kind': ''}}},
            {'routes': {'r': {**CONFIG['routes']['record'], 'service': 'x'}}},
            {
                'routes': {
                    'r': {**CONFIG['routes']['record'], 'timeout': '-1s'}
                }
            },
            {'routes': {'r': {**CONFIG['routes']['record'], 'timeout': 1500}}},
            _service_change(health_check_path=1),
            _service_change(health_check_path=['/']),
        ):
            self.assertRaises(fields.FieldError, decode, **changes)
        for data in (b'', b'[1]', b'\xff', b'{"version":'):
            self.assertRaises(fields.FieldError, documents.decode_config, data)


class RouteKindTest(testtools.TestCase):
    def _repeatability(self, kind):
        routes = {
            'new': {
                **CONFIG['routes']['record'],
                'host': 'b.example',
                'kind': kind,
            }
        }
        config = decode(routes={**CONFIG['routes'], **routes})
        route = config.match('b.example', '/ledger/record/1')
        return config, route.repeatability

    def test_a_download_is_idempotent(self):
        """Guards against a cell that refuses the configuration for a kind."""
        config, repeatability = self._repeatability('download')
        self.assertIs(Repeatability.IDEMPOTENT, repeatability)
        self.assertEqual({}, config.unknown_kinds)

    def test_requests_of_an_unknown_kind_run_at_most_once(self):
        """Guards against one new value that takes all routes out.

        The strictest reading is the only one that no kind forbids.
        """
        config, repeatability = self._repeatability('stream')
        self.assertIs(Repeatability.AT_MOST_ONCE, repeatability)
        self.assertEqual({'new': 'stream'}, config.unknown_kinds)
        self.assertEqual(3, len(config.routes))


class UpstreamEntryTest(testtools.TestCase):
    def test_the_slow_start_is_converted_to_a_deadline(self):
        """Guards against a slow start that ends later each time it is used."""
        entry = _entry()
        self.assertEqual(NOW + 1.5, entry.cold_until)
        self.assertEqual(('10.0.0.9', 8080), entry.address)
        self.assertEqual(1764800000000, entry.incarnation)

    def test_malformed_entries_are_rejected(self):
        """Guards against requests to something that isn't an upstream."""
        for changes in (
            {'service': None},
            {'address': '10.0.0.9'},
            {'address': 8080},
            {'address': '10.0.0.9:99999'},
            {'slots': True},
            {'slots': 0},
            {'slots': '4'},
            {'state': 'sleeping'},
            {'sequence': None},
            {'born': '1764800000000'},
            {'born': 1.5},
            {'warmup_left': 1500},
            {'zone': ''},
        ):
            self.assertRaises(fields.FieldError, _entry, **changes)


class UpstreamCallsTest(testtools.TestCase):
    def test_a_load_header_is_read(self):
        """Guards against a percentage that is taken as a factor."""
        report = upstream_calls.parse_load('3,1,8,250')
        self.assertEqual(
            (3, 1, 8, 2.5),
            (report.running, report.waiting, report.slots, report.slowdown),
        )
        self.assertIsNone(upstream_calls.parse_load('3,0,8').slowdown)

    def test_malformed_load_headers_are_ignored(self):
        """Guards against an upstream that seems idle but isn't."""
        for value in ('', '1,2', 'a,b,c', '-1,0,4', '1,0,0', '1,0,4,0'):
            self.assertIsNone(upstream_calls.parse_load(value))

    def test_keys_are_read(self):
        """Guards against a key beyond the key space."""
        self.assertEqual(65535, upstream_calls.parse_key('65535'))
        for value in ('', '65536', '-1', '1e3', '0000001', '²', '٣'):
            self.assertIsNone(upstream_calls.parse_key(value), value)

    def test_a_grant_names_its_upstream(self):
        """Guards against a grant that another process accepts."""
        data = upstream_calls.encode_grant(
            make_entry('u1'), KeyRange(5, 9, 12, 'u1', 1), 3.0, 'h'
        ).decode()
        self.assertIn('X-Bramleysill-Expect-Instance: u1\r\n', data)
        body = json.loads(data.partition('\r\n\r\n')[2])
        self.assertEqual(
            {
                'from': 5,
                'to': 9,
                'fence': 12,
                'hold_time': '3000ms',
                'handover': 'h',
            },
            body,
        )


class SettingsTest(testtools.TestCase):
    def test_settings_are_read(self):
        """Guards against a process that listens on the wrong address."""
        cfg = settings.decode_settings(tomllib.loads(SETTINGS))
        self.assertEqual(('10.1.0.35', 8144), cfg.listen.callers)
        self.assertEqual(('10.1.0.35', 7660), cfg.listen.peer)
        self.assertEqual(1.0, cfg.cores)
        self.assertEqual(6.0, cfg.bounds.shutdown_grace)
        self.assertEqual([], cfg.differences(cfg))

    def test_memory_limit_is_optional(self):
        """Guards against a budget where the platform names no limit."""
        cfg = settings.decode_settings(tomllib.loads(SETTINGS))
        self.assertIsNone(cfg.memory_mb)
        text = SETTINGS.replace('cores = 2\n', 'cores = 2\nmemory_mb = 160\n')
        cfg = settings.decode_settings(tomllib.loads(text))
        self.assertEqual(160.0, cfg.memory_mb)
        for value in ('"160"', '-1', 'true', 'nan'):
            malformed = text.replace('memory_mb = 160', f'memory_mb = {value}')
            self.assertRaises(
                fields.FieldError,
                settings.decode_settings,
                tomllib.loads(malformed),
            )

    def test_a_missing_bound_is_an_error(self):
        """Guards against a bound that is silently zero."""
        text = SETTINGS.replace('grace = "6s"\n', '')
        exc = self.assertRaises(
            fields.FieldError, settings.decode_settings, tomllib.loads(text)
        )
        self.assertIn('grace', str(exc))

    def test_a_malformed_range_of_ports_is_an_error(self):
        """Guards against a process that listens on a digit of a port."""
        for value in ('"7660"', '7660', '[]', '["7660", "7675"]', '[true]'):
            text = SETTINGS.replace('[7660, 7675]', value)
            exc = self.assertRaises(
                fields.FieldError,
                settings.decode_settings,
                tomllib.loads(text),
            )
            self.assertIn('internal_port_range', str(exc))

    def test_an_unreadable_file_is_an_error(self):
        """Guards against a process that starts without settings."""
        self.assertRaises(
            SettingsError, settings.read_settings, '/nonexistent'
        )
