"""Tests of the identification of callers by their API keys."""

import random

from absl import logging
import testtools

from bramleysill_kernel.common import refusals
from bramleysill_kernel.config import organisation_labels
from bramleysill_kernel.config.credentials import identify
from bramleysill_kernel.config.credentials import parse_bearer
from bramleysill_kernel.config.organisation_labels import OrganisationLabels
from bramleysill_kernel.config.organisations import Organisation
from bramleysill_kernel.config.organisations import OrganisationTable
from bramleysill_kernel.config.organisations import digest_key
from bramleysill_kernel.config.routing_config import RoutingConfig
from tests.bounds import make_bounds
from tests.gateway_helpers import GatewayTestCase
from tests.gateway_helpers import signed_response

KEY = 'k-acme-3fb2'
ACME = Organisation('acme', priority=7)
TABLE = OrganisationTable([ACME], {digest_key(KEY): ACME})
TENANT_FIELD = 'X-Bramleysill-Tenant'
# Sets of Authorization fields that don't name one key.
MALFORMED = (
    (),
    ('',),
    ('Bearer',),
    ('Bearer ',),
    (KEY,),
    (f'Basic {KEY}',),
    (f'Bearer{KEY}',),
    (f'Bearer\t{KEY}',),
    (f'Bearer {KEY} x',),
    (f'Bearer {KEY}, Bearer {KEY}',),
    (f'Bearer {KEY}', f'Bearer {KEY}'),
    (f'Bearer {KEY}', 'Basic x'),
    ('Bearer ' + 'k' * 5000,),
    ('Bearer k\xe9y',),
    ('Bearer \ud800',),
)


def _always():
    return True


def _never():
    return False


def bearer(key):
    return [('Authorization', f'Bearer {key}')]


class IdentifyTest(testtools.TestCase):
    def _identified(self, values, public=False, is_recent=_always):
        identity = identify(TABLE, public, values, is_recent)
        return identity.organisation, identity.refusal_class

    def test_a_key_names_its_organisation(self):
        """Guards against requests of an organisation that are refused."""
        for value in (
            f'Bearer {KEY}',
            f'bearer {KEY}',
            f'BEARER   {KEY}',
            f' Bearer {KEY} ',
        ):
            for public in (False, True):
                self.assertEqual(
                    (ACME, None), self._identified([value], public)
                )

    def test_other_credentials_are_refused_unless_the_route_is_public(self):
        """Guards against access by a credential that is read leniently."""
        for values in (*MALFORMED, ('Bearer unknown',)):
            self.assertEqual(
                (None, refusals.Unauthenticated), self._identified(values)
            )
            self.assertEqual((None, None), self._identified(values, True))

    def test_any_field_is_parsed(self):
        """Guards against a caller that ends the tick of a router."""
        rng = random.Random(5)
        for _ in range(2000):
            text = ''.join(
                rng.choice('Bbearer \t,=\x00\xff\x7f') for _ in range(9)
            )
            key = parse_bearer([text])
            self.assertTrue(key is None or ' ' not in key)

    def test_an_old_configuration_accepts_no_key(self):
        """Guards against a revoked key that a cut-off router still serves."""
        for public in (False, True):
            self.assertEqual(
                (ACME, refusals.ConfigStale),
                self._identified([f'Bearer {KEY}'], public, _never),
            )

    def test_an_old_configuration_calls_no_key_invalid(self):
        """Guards against a 401 for a key that was added meanwhile."""
        self.assertEqual(
            (None, refusals.ConfigStale),
            self._identified(['Bearer unknown'], is_recent=_never),
        )
        self.assertEqual(
            (None, refusals.Unauthenticated),
            self._identified([], is_recent=_never),
        )


class OrganisationLabelsTest(testtools.TestCase):
    def test_the_number_of_names_is_bounded(self):
        """Guards against metrics that grow with each configuration."""
        labels = OrganisationLabels()
        found = set()
        for version in range(5):
            table = [
                Organisation(f'o{version}-{i}', rate=float(i))
                for i in range(40)
            ]
            labels.update(table)
            found.update(labels.label(o) for o in table)
        self.assertEqual(
            organisation_labels.MAX_NAMED_ORGANISATIONS + 1, len(found)
        )
        self.assertIn('o0-0', found)
        self.assertIn('o1-39', found)
        self.assertNotIn('o1-0', found)


class FrontendIdentificationTest(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.without_organisations = self.state.config
        self.state.config = self._config_with(TABLE)
        self.upstream = self.add_upstream('u1', signed_response)

    def _config_with(self, table):
        old = self.without_organisations
        routes = list(old.routes)
        public = self._route('public', routes[0].repeatability, 'shared')
        public.public = True
        return RoutingConfig(
            2, [*routes, public], old.services, old.limits, None, table
        )

    def _sent_fields(self):
        head = self.upstream.requests[-1].split('\r\n\r\n')[0]
        return [line.split(': ', 1) for line in head.split('\r\n')[1:]]

    def _sent_values(self, name):
        return [v for k, v in self._sent_fields() if k.lower() == name]

    def test_the_upstream_gets_the_organisation_and_no_key(self):
        """Guards against a key, or a name that the caller chose, upstream."""
        fields = [(TENANT_FIELD, 'other'), *bearer(KEY)]
        for path in ('/read/x', '/public/x'):
            self.assertEqual(200, self.request(path, fields=fields)[0])
            self.assertEqual(['acme'], self._sent_values(TENANT_FIELD.lower()))
            self.assertEqual([], self._sent_values('authorization'))
            self.assertNotIn(KEY, self.upstream.requests[-1])

    def test_a_public_route_without_a_key_has_no_organisation(self):
        """Guards against a caller that names an organisation itself."""
        for values in MALFORMED[:-1]:
            fields = [('Authorization', v) for v in values]
            fields.append((TENANT_FIELD, 'acme'))
            response = self.request('/public/x', fields=fields)
            self.assertEqual(200, response[0])
            self.assertEqual([], self._sent_values(TENANT_FIELD.lower()))
            self.assertEqual([], self._sent_values('authorization'))

    def test_requests_without_a_valid_key_are_not_sent(self):
        """Guards against requests of nobody at an upstream."""
        for values in (*MALFORMED[:-1], ('Bearer unknown',)):
            fields = [('Authorization', v) for v in values]
            status, headers, body = self.request('/write/x', fields=fields)
            self.assertEqual(401, status)
            self.assertEqual('Bearer', headers['www-authenticate'])
            self.assertIn(b'"unauthenticated"', body)
            self.assertNotIn(KEY.encode(), body)
        self.assertEqual([], self.upstream.requests)

    def test_the_refused_body_is_read_past(self):
        """Guards against a refused upload that breaks its connection."""
        status, _, _ = self.request('/write/x', body=b'x' * 300000)
        self.assertEqual(401, status)

    def test_an_unknown_route_is_not_found_without_a_key(self):
        """Guards against a 401 that hides a wrong path."""
        self.assertEqual(404, self.request('/other/x')[0])

    def test_without_a_configuration_nobody_is_unauthenticated(self):
        """Guards against callers that give up on a router that starts."""
        self.state.config = None
        self.assertEqual(503, self.request('/read/x')[0])

    def test_without_organisations_nothing_changes(self):
        """Guards against a change for cells without organisations."""
        self.cfg.bounds = make_bounds(strict_revoke=True)
        self.state.config = self.without_organisations
        fields = [*bearer(KEY), (TENANT_FIELD, 'x')]
        self.assertEqual(200, self.request('/read/x', fields=fields)[0])
        self.assertEqual([f'Bearer {KEY}'], self._sent_values('authorization'))
        self.assertEqual(['x'], self._sent_values(TENANT_FIELD.lower()))
        self.assertNotIn(
            b'organisation', self.metrics.render(())[0].split(b'# HELP')[0]
        )

    def test_the_organisation_decides_the_priority(self):
        """Guards against urgent organisations in the queue of a route."""
        upstream = self.upstream
        upstream.make_response = lambda request_id: 'no_response'
        for fields, path, priority in (
            (bearer(KEY), '/read/x', 7),
            ((), '/public/x', 1),
        ):
            count = len(upstream.requests)
            self.start(path, fields=fields)
            self.loop.run_until(lambda n=count: len(upstream.requests) > n, 5)
            (exchange,) = self.frontend.active_exchanges
            self.assertEqual(priority, exchange.route.priority)
            exchange.on_abort(None)

    def test_a_strict_router_needs_a_recent_configuration(self):
        """Guards against a revoked key after a restart or a partition."""
        self.cfg.bounds = make_bounds(strict_revoke=True, revoke=5.0)
        freshness = self.state.config_freshness
        for as_of, status in (
            (None, 503),
            (self.loop.now() - 4.6, 503),
            (self.loop.now(), 200),
        ):
            if as_of is not None:
                freshness.note_store_reply(as_of)
            found, headers, _ = self.request(
                '/read/x', left_ms=600, fields=bearer(KEY)
            )
            self.assertEqual(status, found)
            if found == 503:
                self.assertLessEqual(float(headers['retry-after']), 0.2)
        self.assertEqual(1, len(self.upstream.requests))
        self.assertEqual(200, self.request('/public/x')[0])

    def test_neither_logs_nor_metrics_nor_responses_show_a_key(self):
        """Guards against keys in the files of a log collector."""
        self.addCleanup(logging.set_verbosity, logging.get_verbosity())
        logging.set_verbosity(logging.DEBUG)
        with self.assertLogs('absl', 'DEBUG') as logs:
            for key in (KEY, 'k-unknown-1', f'{KEY} x', 'k-\xe9', 'k' * 5000):
                for path in ('/read/x', '/public/x', '/other/x'):
                    self._check_unseen(self.request(path, fields=bearer(key)))
            self.upstream.make_response = lambda request_id: None
            self._check_unseen(self.request('/read/x', fields=bearer(KEY)))
            bad = [('Bad Name', KEY), *bearer(KEY)]
            self._check_unseen(self.request('/read/x', fields=bad))
            self.cfg.bounds = make_bounds(strict_revoke=True)
            self._check_unseen(self.request('/read/x', fields=bearer(KEY)))
        self._check_unseen(logs.output)
        text = self.metrics.render(())[0].decode()
        self._check_unseen(text)
        for labels in (
            '{code="answered",organisation="acme"} 2',
            '{code="config_stale",organisation="acme"} 1',
            '{code="unauthenticated",organisation=""} 4',
        ):
            self.assertIn(labels, text)

    def _check_unseen(self, output):
        for part in (KEY, 'k-unknown', 'kkkk'):
            self.assertNotIn(part, str(output))
