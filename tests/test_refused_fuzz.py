"""Plays seeds of the request fuzz, and checks that they reach the refusals."""

import collections

import testtools

from bramleysill_kernel.config.organisations import Organisation
from bramleysill_kernel.config.organisations import OrganisationTable
from bramleysill_kernel.config.organisations import digest_key
from bramleysill_kernel.config.routing_config import RoutingConfig
from bramleysill_kernel.load.rate_pacer import pacing_router
from tests import request_fuzz
from tests.fuzz_upstreams import refusing
from tests.fuzz_upstreams import running
from tests.gateway_helpers import TIMEOUT_SECONDS
from tests.gateway_helpers import GatewayTestCase
from tests.gateway_helpers import signed_response

SEEDS = range(8)
# Played if the seeds before have not reached everything; the timing of a busy
# machine decides what a seed reaches.
FURTHER_SEEDS = range(100, 120)
# (code, step) of the refusals that the fuzz must reach.
REACHED = {
    ('body_too_large', 'receive'),
    ('connection_lost', 'no_more_attempts'),
    ('deadline_unknown', 'deadline'),
    ('memory_full', 'memory'),
    ('no_state', 'route'),
    ('overloaded', 'admit'),
    ('overloaded', 'limit'),
    ('owner_lost', 'choose'),
    ('owner_lost', 'find_owner'),
    ('owner_moving', 'hold'),
    ('quota_exceeded', 'quota'),
    ('quota_unavailable', 'quota'),
    ('shutting_down', 'route'),
    ('upstream_shed', 'deadline'),
    ('upstream_shed', 'no_more_attempts'),
    ('upstream_shed', 'retry_budget'),
    ('upstream_unreachable', 'admit'),
}


class RequestFuzzTest(testtools.TestCase):
    """Guards against REFUSED, TWICE and MIXED in rare sequences of events."""

    def setUp(self):
        super().setUp()
        self.counts = collections.Counter()

    def _play(self, seed):
        cell = request_fuzz.play(seed)
        self.counts += cell.ledger.counts
        if cell.violations:
            self.fail(cell.report())

    def _unreached(self):
        wanted = {('refusal', *pair) for pair in REACHED}
        wanted |= {
            ('behaviour', name)
            for name in (*running.names(), *refusing.names())
        }
        wanted |= {
            ('disturbance', name) for name in request_fuzz.disturbances.names()
        }
        return wanted - set(self.counts)

    def test_seeds(self):
        """Guards also against a fuzz that reaches too little."""
        for seed in SEEDS:
            self._play(seed)
        for seed in FURTHER_SEEDS:
            if self._unreached():
                self._play(seed)
        self.assertEqual(set(), self._unreached())


class _SilentLinks:
    """Links to other routers, which do not reply."""

    def update_addresses(self, members):
        pass

    def send(self, router, message):
        return True


class RemovedLimitTest(GatewayTestCase):
    """A limit is removed while a request waits for a token and for its key."""

    def test_the_request_runs_once(self):
        """Guards against TWICE: a dispatch within a dispatch sends, too."""
        routers = self.state.routers
        routers.add('r2')
        names = routers.running_names()
        name = next(
            name
            for name in map(str, range(99))
            if pacing_router(name, names) == 'r2'
        )
        self.frontend.quotas.links = _SilentLinks()
        self._set_limit(name, 5.0)
        owner = self.add_upstream('o1', signed_response, 'keyed')
        fields = (('Authorization', 'Bearer key'),)
        _, responses = self.start('/keyed/x', body=b'x', fields=fields)
        active = self.frontend.active_exchanges
        self.loop.run_until(lambda: active, TIMEOUT_SECONDS)
        (exchange,) = active
        self.frontend.wait_for_table(exchange)
        self._set_limit(name, 0.0)
        self.frontend.on_tables_changed()
        self.loop.run_until(lambda: responses, TIMEOUT_SECONDS)
        self.loop.run_until(lambda: len(owner.requests) > 1, 0.05)
        self.assertEqual([200], [response[0] for response in responses])
        self.assertEqual(1, len(owner.requests))

    def _set_limit(self, name, rate):
        organisation = Organisation(name, rate=rate, burst=rate)
        table = OrganisationTable(
            [organisation], {digest_key('key'): organisation}
        )
        old = self.state.config
        self.state.config = RoutingConfig(
            old.version + 1,
            old.routes,
            old.services,
            old.limits,
            organisations=table,
        )
