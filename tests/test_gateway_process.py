"""Tests of shutdown, configuration updates and store outages."""

import json
import random

import testtools

from bramleysill_gateway.cell_state import CellState
from bramleysill_gateway.prefix_watch import FIRST_WATCH_DELAY_SECONDS
from bramleysill_gateway.process import GRACE_RESERVE_SECONDS
from bramleysill_gateway.process import SHUTDOWN_ACCEPT_SECONDS
from bramleysill_gateway.process import GatewayProcess
from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.common.store_types import StoredItem
from bramleysill_platform.adapter import PlatformAdapter
from bramleysill_router.metrics import Metrics
from tests.bounds import make_timings
from tests.store_fakes import NO_REPLY
from tests.store_fakes import ManualLoop
from tests.store_fakes import ScriptedStore
from tests.store_fakes import make_reply
from tests.test_platform_documents import CONFIG

GRACE_SECONDS = 6.0


class _Listener:
    def __init__(self):
        self.closed = False

    def close(self):
        self.closed = True


class _Connections:
    """The connection of one caller."""

    def __init__(self):
        self.unsent = 0
        self.aborted = False

    def __len__(self):
        return 1

    def close_idle(self):
        pass

    def count_unsent_responses(self):
        return self.unsent

    def abort_unfinished(self):
        self.aborted = True


class _Frontend:
    """A frontend with one request in progress."""

    def __init__(self):
        self.active_exchanges = {'request'}
        self.draining = False
        self.refusing = False
        self.connections = _Connections()


class _CallRecorder:
    """Records the calls of any method."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *args: self.calls.append(name)


class _Loop(ManualClock):
    __slots__ = ('stopped',)

    def __init__(self):
        super().__init__(100.0)
        self.stopped = False

    def stop(self):
        self.stopped = True


class _Settings:
    name = 'router'

    class bounds:
        shutdown_grace = GRACE_SECONDS


class ShutdownTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        process = GatewayProcess.__new__(GatewayProcess)
        process.cfg = _Settings
        process.loop = self.loop = _Loop()
        process.frontend = self.frontend = _Frontend()
        process.leader = self.leader = _CallRecorder()
        process.state = process._store = process._links = _CallRecorder()
        process._quotas = self.quotas = _CallRecorder()
        process._registration = _CallRecorder()
        process._listener = self.listener = _Listener()
        process._stop_at = None
        process._refuse_at = None
        self.process = process
        process.shut_down()

    def _check_at(self, seconds):
        self.loop.advance(100.0 + seconds - self.loop.now())
        self.process._check_shutdown()

    def test_requests_are_accepted_until_readiness_checks_fail(self):
        """Guards against refusals while the load balancer still connects."""
        self._check_at(SHUTDOWN_ACCEPT_SECONDS - 0.1)
        self.assertTrue(self.frontend.draining)
        self.assertFalse(self.frontend.refusing or self.listener.closed)
        self.assertTrue(self.process.not_ready_reason())

    def test_quotas_are_owned_no_more_during_shutdown(self):
        """Guards against two owners after the registration has ended."""
        self.assertEqual(['stop'], self.quotas.calls)

    def test_late_requests_are_refused_during_shutdown(self):
        """Guards against requests aborted when the process ends.

        Requests accepted 5.4 s after SIGTERM were lost.
        """
        self._check_at(SHUTDOWN_ACCEPT_SECONDS)
        self.assertTrue(self.frontend.refusing and self.listener.closed)
        self.assertFalse(self.loop.stopped)

    def test_shutdown_waits_for_running_requests(self):
        """Guards against aborting requests that an upstream still serves."""
        self._check_at(SHUTDOWN_ACCEPT_SECONDS + 1.0)
        self.assertFalse(self.loop.stopped)
        self.frontend.active_exchanges = set()
        self.frontend.connections.unsent = 1
        self._check_at(SHUTDOWN_ACCEPT_SECONDS + 1.1)
        self.assertFalse(self.loop.stopped)
        self.frontend.connections.unsent = 0
        self._check_at(SHUTDOWN_ACCEPT_SECONDS + 1.2)
        self.assertTrue(self.loop.stopped)

    def test_process_stops_within_the_grace_period(self):
        """Guards against a SIGKILL with responses in the send buffer."""
        self._check_at(GRACE_SECONDS - GRACE_RESERVE_SECONDS)
        self.assertTrue(self.loop.stopped)

    def test_unfinished_responses_are_reset_at_the_end(self):
        """Guards against the FIN of an ending process in a response."""
        self._check_at(GRACE_SECONDS - GRACE_RESERVE_SECONDS - 0.1)
        self.assertFalse(self.frontend.connections.aborted)
        self._check_at(GRACE_SECONDS - GRACE_RESERVE_SECONDS)
        self.assertTrue(self.frontend.connections.aborted)

    def test_shutdown_resigns_as_leader(self):
        """Guards against a wait until a stopped router's lease has expired."""
        self.assertIn('resign', self.leader.calls)


class ConfigurationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.metrics = Metrics()
        self.state = CellState(
            ManualClock(100.0),
            random.Random(1),
            make_timings(),
            None,
            PlatformAdapter(),
            self.metrics,
        )

    def _write(self, version, revision, data=None):
        if data is None:
            data = json.dumps({**CONFIG, 'version': version}).encode()
        self.state.operator_watch._copy.apply(
            StoredItem('op/config', data, revision)
        )

    def test_older_configuration_is_ignored(self):
        """Guards against an older version from a late reply or write."""
        self._write('r7', 10)
        self._write('r5', 11)
        self.assertEqual(7, self.state.config.version)
        self._write('r9', 9)
        self.assertEqual(7, self.state.config.version)
        self._write('r9', 12)
        self.assertEqual(9, self.state.config.version)

    def test_invalid_configuration_is_ignored(self):
        """Guards against a router without routes after an invalid write."""
        self._write('r7', 10)
        self._write('', 11, b'{"version":')
        self.assertEqual(7, self.state.config.version)
        self.assertEqual(1, self.metrics.events['document_rejected'])

    def test_a_route_of_an_unknown_kind_is_counted(self):
        """Guards against an operator who does not see the strict reading."""
        routes = {**CONFIG['routes']}
        routes['lookup'] = {**routes['lookup'], 'kind': 'stream'}
        data = json.dumps({**CONFIG, 'routes': routes}).encode()
        self._write('r7', 10, data)
        self.assertEqual(7, self.state.config.version)
        self.assertEqual(1, self.metrics.events['route_kind_unknown'])

    def test_an_unusable_key_is_counted(self):
        """Guards against a key that works nowhere, and nobody is told."""
        tenants = {'acme': {'api_keys': ['with space', 'k1']}}
        data = json.dumps({**CONFIG, 'tenants': tenants}).encode()
        self._write('r7', 11, data)
        organisations = self.state.config.organisations
        self.assertEqual('acme', organisations.find('k1').name)
        self.assertEqual(1, self.metrics.events['api_key_unusable'])

    def test_removed_configuration_stays_in_use(self):
        """Guards against a 404 for all routes when the key is deleted."""
        self._write('r7', 10)
        self.state.operator_watch._copy.apply(
            StoredItem('op/config', None, 11)
        )
        self.assertEqual(7, self.state.config.version)


class StoreOutageTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = ManualLoop()
        self.store = ScriptedStore()
        self.state = CellState(
            self.loop,
            random.Random(1),
            make_timings(),
            self.store,
            PlatformAdapter(),
            Metrics(),
        )
        self.watches = (
            self.state.operator_watch,
            self.state.upstream_watch,
            self.state.own_watch,
        )
        for watch in self.watches:
            watch.start()
            self.store.reply_to_list(make_reply(5))
        self.loop.advance(FIRST_WATCH_DELAY_SECONDS)

    def _fail_for(self, seconds):
        """Fail all calls for some seconds; return the number of calls."""
        end = self.loop.now() + seconds
        calls = 0
        while self.loop.now() < end:
            while self.store.watches:
                self.store.reply_to_watch(NO_REPLY)
                calls += 1
            self.loop.advance(0.05)
        return calls

    def test_one_watch_probes_an_unreachable_store(self):
        """Simulates an outage of eight seconds.

        Guards against three calls of each router per retry; every call has a
        cost, including failed ones.
        """
        self._fail_for(1.0)
        self.assertLess(self._fail_for(8.0), 50)

    def test_all_watches_retry_after_one_reply(self):
        """Guards against changes applied only seconds after an outage."""
        self._fail_for(4.0)
        while not self.store.watches:
            self.loop.advance(0.05)
        self.store.reply_to_watch(make_reply(5))
        self.assertEqual(3, len(self.store.watches))
        while any(wait == 0.0 for _, wait, _ in self.store.watches):
            self.store.reply_to_watch(make_reply(5))
        self.assertTrue(all(watch.up_to_date for watch in self.watches))
