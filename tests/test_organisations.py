"""Tests of organisations and API keys in the configuration and settings."""

import base64
import json
import tomllib

import testtools

from bramleysill_net.http_calls import CallResult
from bramleysill_platform import documents
from bramleysill_platform import fields
from bramleysill_platform import settings
from bramleysill_platform import store
from bramleysill_platform import tenants
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

    def test_a_document_with_digests_means_the_same(self):
        """Guards against routers that differ in the keys that they accept."""
        odd = {'api_keys': ['with space', 'k-odd'], 'rate_per_s': 5}
        data = json.dumps({**CONFIG, 'tenants': {**TENANTS, 'odd': odd}})
        replaced = tenants.replace_keys_by_digests(data.encode())
        for part in (b'k-acme', b'k-small', b'k-odd', b'with space'):
            self.assertNotIn(part, replaced)
        self.assertEqual(replaced, tenants.replace_keys_by_digests(replaced))
        plain, table = (
            documents.decode_config(d).organisations for d in (data, replaced)
        )
        self.assertEqual(plain._by_digest.keys(), table._by_digest.keys())
        self.assertEqual('odd', table.find('k-odd').name)
        self.assertEqual(5.0, table.find('k-odd').rate)
        self.assertEqual({'odd': 1}, table.unusable_keys)

    def test_a_document_without_a_table_of_tenants_is_left_as_it_is(self):
        """Guards against a copy of the store that ends with odd data."""
        for data in (
            b'',
            b'\xff',
            b'[1]',
            b'[' * 100000,
            b'{"tenants":[]}',
            json.dumps(CONFIG).encode(),
        ):
            self.assertEqual(data, tenants.replace_keys_by_digests(data))

    def test_a_malformed_list_of_keys_is_refused_as_digests_too(self):
        """Guards against an organisation without keys for one odd value."""
        for keys in (KEY, None, [KEY, 1], {KEY: 1}, [[KEY]]):
            document = {**CONFIG, 'tenants': {'a': {'api_keys': keys}}}
            replaced = tenants.replace_keys_by_digests(
                json.dumps(document).encode()
            )
            self.assertNotIn(KEY.encode(), replaced)
            self.assertRaises(
                fields.FieldError, documents.decode_config, replaced
            )
        for digests in (['00'], ['zz' * 32], [None], 'ab', None):
            value = {'a': {'api_key_digests': digests}}
            self.assertRaises(fields.FieldError, decode, tenants=value)

    def test_the_copy_of_the_store_has_no_key(self):
        """Guards against keys in the memory and in feeds to other routers."""
        data = json.dumps({**CONFIG, 'tenants': TENANTS}).encode()
        row = {
            'key': 'op/config',
            'value': base64.b64encode(data).decode(),
            'revision': 3,
        }
        for document, read in (
            ({'items': [row]}, store._decode_page),
            ({'events': [row]}, store._decode_events),
            (row, store._decode_single_item),
        ):
            body = json.dumps({**document, 'current_rev': 3}).encode()
            reply = CallResult(200, {}, body, True, False)
            (item,) = store._decode_reply(reply, read).items
            self.assertEqual(tenants.replace_keys_by_digests(data), item.value)
            self.assertNotIn(KEY.encode(), item.value)

    def test_without_the_table_there_are_no_organisations(self):
        """Guards against a cell without tenants that asks for keys."""
        self.assertIsNone(decode().organisations)
        self.assertEqual(0, len(decode(tenants={}).organisations))

    def test_a_malformed_table_is_refused_without_showing_keys(self):
        """Guards against keys in the log line of a refused document."""
        for table in (
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
            exc = self.assertRaises(fields.FieldError, decode, tenants=table)
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
