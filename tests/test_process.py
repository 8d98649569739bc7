"""Tests of the router process with all its parts."""

import configparser
import random

import testtools

from bramleysill_kernel.common import messages
from bramleysill_kernel.config.manifest_parser import parse_manifest
from bramleysill_kernel.units.planner import Planner
from bramleysill_kernel.units.state import full_table
from bramleysill_net.conn import Conn
from bramleysill_router.process import RouterProcess
from bramleysill_router.settings import check_options
from tests.test_conn import RecordingProtocol

TIMEOUT_SECONDS = 10.0
MANIFEST = """
[manifest]
region = r
cell = c
[failure_domain a]
[service ledger]
kind = keyed
path = /ledger/
shards = 8
[service intake]
kind = shared
path = /intake/
[upstream u1]
service = ledger
failure_domain = a
address = 127.0.0.1:1
[upstream u2]
service = intake
failure_domain = a
address = 127.0.0.1:2
"""

SETTINGS = {
    'name': 'r1',
    'cell': 'c',
    'failure_domain': 'a',
    'listen': '127.0.0.1:0',
    'peer_listen': '127.0.0.1:0',
    'admin_listen': '127.0.0.1:0',
    'store': '127.0.0.1:1',
}


class _Losses:
    """A fake of the Planner's losses: every upstream is usable."""

    conditions = {}

    def usable(self, upstream):
        return True


def make_update(term=1, serial=1):
    """Return a full StateUpdate with a keyed and a shared service."""
    manifest = parse_manifest(MANIFEST, 'm', 1)
    planner = Planner(manifest, frozenset(), _Losses(), random.Random(1))
    table = planner.make_table('ledger')
    table.version = 1
    return messages.StateUpdate(
        'r1',
        term,
        serial,
        1,
        MANIFEST,
        [full_table(table)],
        {'u1': ('r1', 1, 1), 'u2': ('r2', 1, 2)},
        {'r1': '127.0.0.1:1', 'r2': '127.0.0.1:2'},
        ['r1'],
        [],
        {'ledger': 1},
    )


class RouterProcessTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        parser = configparser.ConfigParser()
        parser.read_dict({'router': SETTINGS})
        self.process = RouterProcess(check_options(parser, 'test'))
        self.addCleanup(self.process.close)

    def test_state_reaches_all_parts(self):
        """Guards against a part that misses a change of the state."""
        self.process.apply_state('r1', make_update())
        self.assertEqual({'ledger'}, set(self.process.state.tables))
        self.assertIsNotNone(self.process.locator.shared_upstreams('intake'))
        body, _ = self.process.metrics.render()
        self.assertIn(b'bramleysill_manifest_version 1', body)
        self.assertIn(b'bramleysill_failure_domain_out', body)

    def test_not_ready_without_a_lease(self):
        """Guards against a router that reports ready without a lease."""
        self.assertEqual('no manifest', self.process.not_ready_reason())
        self.process.apply_state('r1', make_update())
        self.assertEqual('no router lease', self.process.not_ready_reason())
        self.assertFalse(self.process.status()['ready'])

    def test_end_resets_unfinished_responses(self):
        """Guards against the FIN of an ending process in a response."""
        self.process.apply_state('r1', make_update())
        loop = self.process.loop
        caller = RecordingProtocol()
        address = self.process._listener.address
        caller.conn = Conn.connect(loop, *address, caller)
        self.addCleanup(caller.conn.abort)
        caller.conn.write(
            b'POST /intake/x HTTP/1.0\r\nContent-Length: 9\r\n\r\n'
        )
        loop.run_until(lambda: self.process.entry.active, TIMEOUT_SECONDS)
        (server,) = self.process.entry.conns
        self.process.shut_down()
        self.process._shutdown_deadline = 0.0
        self.process._check_shutdown()
        self.assertTrue(server.conn.closed)

    def test_faulty_message_does_not_end_the_link(self):
        """Guards against a failing handler that closes the whole link."""

        class Link:
            router = 'r2'

        def fail(link, message):
            raise ValueError('fault')

        links = self.process.links
        links.on_control = fail
        links.on_messages(Link(), [messages.StateRequest('r2')], 10)
        self.assertEqual(1, self.process.metrics.events['message_error'])
