"""Tests of organisations and API keys in the configuration and settings."""

import tomllib

import testtools

from bramleysill_platform import fields
from bramleysill_platform import settings
from tests.test_platform_documents import CONFIG
from tests.test_platform_documents import SETTINGS
from tests.test_platform_documents import decode

KEY = 'k-acme-1'
TENANTS = {
    'acme': {
        'api_keys': [KEY, 'k-acme-2'],
        'priority': 3,
        'rate_per_s': 158,
        'burst': 40,
    },
    'small': {'api_keys': ['k-small']},
}


def _table(**tenants):
    return decode(tenants={**TENANTS, **tenants}).organisations


class OrganisationsTest(testtools.TestCase):
    def test_a_key_finds_its_organisation(self):
        """Guards against requests that count for another organisation."""
        table = _table()
        acme = table.find('k-acme-2')
        self.assertIs(table.find(KEY), acme)
        self.assertEqual(
            ('acme', 3, 158.0, 40.0),
            (acme.name, acme.priority, acme.rate, acme.burst),
        )
        small = table.find('k-small')
        self.assertEqual(
            (None, 0.0, 0.0), (small.priority, small.rate, small.burst)
        )
        self.assertEqual((True, False), (acme.limited, small.limited))
        for unknown in ('k-acme', 'K-ACME-1', '', 'k' * 5000, 'k\xe9y', 'k 1'):
            self.assertIsNone(table.find(unknown))

    def test_no_key_is_kept(self):
        """Guards against keys in the memory of a process."""
        table = _table()
        for value in (*table._by_digest, *table.by_name):
            self.assertNotIn('k-acme', repr(value))

    def test_without_the_table_there_are_no_organisations(self):
        """Guards against a cell without tenants that asks for keys."""
        self.assertIsNone(decode().organisations)
        self.assertEqual(0, len(decode(tenants={}).organisations))

    def test_a_malformed_table_is_refused_without_showing_keys(self):
        """Guards against keys in the log line of a refused document."""
        for tenants in (
            [],
            None,
            {'a': [KEY]},
            {'a': {}},
            {'a': {'api_keys': KEY}},
            {'a': {'api_keys': [KEY, 1]}},
            {'a': {'api_keys': [KEY], 'priority': -1}},
            {'a': {'api_keys': [KEY], 'priority': True}},
            {'a': {'api_keys': [KEY], 'rate_per_s': KEY}},
            {'a': {'api_keys': [KEY], 'burst': -1}},
            {'a\r\nX: 1': {'api_keys': [KEY]}},
            {'\xe9': {'api_keys': [KEY]}},
            {'': {'api_keys': [KEY]}},
            {'a': {'api_keys': [KEY]}, 'b': {'api_keys': ['x', KEY]}},
        ):
            exc = self.assertRaises(fields.FieldError, decode, tenants=tenants)
            self.assertNotIn(KEY, str(exc))

    def test_a_key_that_no_request_can_carry_is_left_out(self):
        """Guards against one odd key that keeps out a whole configuration."""
        keys = ['', 'with space', 'k\xe9y', 'k\n', 'k' * 5000, 'good', 'good']
        table = _table(odd={'api_keys': keys})
        self.assertEqual('odd', table.find('good').name)
        self.assertEqual({'odd': 5}, table.unusable_keys)

    def test_a_route_may_be_public(self):
        """Guards against routes that are public unless they say otherwise."""
        record = CONFIG['routes']['record']
        routes = {**CONFIG['routes'], 'record': {**record, 'public': True}}
        config = decode(routes=routes)
        self.assertTrue(config.match('a.example', '/ledger/record/1').public)
        self.assertFalse(config.match('a.example', '/ledger/1').public)


class BoundsTest(testtools.TestCase):
    def _bounds(self, text=''):
        return settings.decode_settings(tomllib.loads(SETTINGS + text)).bounds

    def test_bounds_may_be_absent(self):
        """Guards against settings of before that are refused."""
        bounds = self._bounds()
        self.assertFalse(bounds.strict_revoke)
        self.assertEqual(
            (5.0, 5.0, 0.1, 20.0),
            (
                bounds.revoke,
                bounds.quota_window,
                bounds.quota_over,
                bounds.quota_slack,
            ),
        )

    def test_bounds_are_read(self):
        """Guards against milliseconds that are taken as seconds."""
        bounds = self._bounds(
            'strict_revoke = true\nrevoke = "4500ms"\nquota_window = "4s"\n'
            'quota_over = 0.2\nquota_slack = 7\n'
        )
        self.assertTrue(bounds.strict_revoke)
        self.assertEqual(
            (4.5, 4.0, 0.2, 7.0),
            (
                bounds.revoke,
                bounds.quota_window,
                bounds.quota_over,
                bounds.quota_slack,
            ),
        )
