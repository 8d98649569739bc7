"""Tests of the commands of sillctl with an in-memory store."""

import contextlib
import io
import json
import os
import pathlib
import re
import tempfile

import fixtures
import testtools

from bramleysill_kernel.common import exceptions
from bramleysill_kernel.common import refusals
from bramleysill_kernel.config.manifest_parser import parse_manifest
from bramleysill_kernel.units.ownership import KeySpace
from bramleysill_kernel.units.ownership import OwnershipTable
from sillctl import exceptions as ctl_exceptions
from sillctl import key_moves
from sillctl import main
from sillctl import manifest_storage
from sillctl import router_client
from sillctl.commands import Commands
from sillctl.store_clients import store_clients
from tests.test_ctl_store import FakeStore

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLE = ROOT / 'examples' / 'hsinchu.ini'
CELL = 'tw-north-1'
TABLE_KEY = f'cell/{CELL}/table/ledger/0'
# A router's explanation of a request that matches no route.
NO_ROUTE = {
    'failure_domain': 'tw-a',
    'config': 7,
    'policy': 'three_choices',
    'route': None,
    'refusal': 'unknown_service',
    'services': [],
}
# The store that `memory://` opens, under 'store'; each test sets its own.
OPEN_STORES = {}


@store_clients.register('memory')
def _open_memory(name):
    return OPEN_STORES['store']


class CommandTestCase(testtools.TestCase):
    """Runs commands with the Hsinchu example and an in-memory store."""

    def setUp(self):
        super().setUp()
        self.store = OPEN_STORES['store'] = FakeStore()
        self.useFixture(
            fixtures.EnvironmentVariable('SILLCTL_STORE', 'memory://')
        )
        self.text = EXAMPLE.read_text()
        self.manifest = parse_manifest(self.text)

    def _put_example(self, author='mei@ops1'):
        line = f'; sillctl write_id=1 by={author}\n'
        self.store.put('manifest', (line + self.text).encode())

    def _put_table(self):
        table = OwnershipTable('ledger', 1024)
        names = [u.name for u in self.manifest.services['ledger'].upstreams]
        for shard in range(1024):
            table.assign(str(shard), names[shard % len(names)])
        table.assign('key:CAP-000001', 'ledger-02')
        table.assign('key:CAP-7', 'ledger-03')
        table.term = 4
        self.store.put(TABLE_KEY, table.encode())
        return table

    def _put_leader(self):
        record = {'term': 4, 'holder': 'r1', 'candidates': ['r1', 'r2']}
        self.store.put(f'cell/{CELL}/leader', json.dumps(record).encode())
        self.store.put(f'cell/{CELL}/lease', b'r1')

    def _write_file(self, text):
        handle, path = tempfile.mkstemp(suffix='.ini')
        self.addCleanup(os.unlink, path)
        with open(handle, 'w') as file:
            file.write(text)
        return path

    def _run_command(self, *args):
        """Return (exit code, standard output, standard error)."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                code = main.run([str(a) for a in args])
            except SystemExit as exc:
                code = exc.code
        return code, out.getvalue(), err.getvalue()

    def _run_json(self, *args):
        code, out, _ = self._run_command(*args, '--json')
        return code, json.loads(out)


class CheckTest(CommandTestCase):
    def test_all_problems_are_shown_with_file_and_line(self):
        """Guards against a check that accepts an invalid manifest."""
        path = self._write_file(self.text.replace('slots = 4', 'slots = 0'))
        code, _, err = self._run_command('check', path)
        self.assertEqual(ctl_exceptions.EXIT_MANIFEST, code)
        # The example declares `slots = 4` in 36 sections.
        self.assertEqual(36, err.count(f'{path}:'))
        code, found = self._run_json('check', path)
        self.assertEqual(36, len(found['error']['problems']))

    def test_bytes_that_are_not_utf8_are_a_problem(self):
        """Guards against a traceback for a file in another encoding."""
        path = self._write_file('')
        pathlib.Path(path).write_bytes(b'\xff\xfe[manifest]\x00')
        self.assertEqual(
            ctl_exceptions.EXIT_MANIFEST, self._run_command('check', path)[0]
        )

    def test_a_missing_file_is_a_settings_error(self):
        """Guards against a traceback for a mistyped path."""
        self.assertEqual(
            ctl_exceptions.EXIT_SETTINGS,
            self._run_command('check', '/none')[0],
        )


class ApplyTest(CommandTestCase):
    def test_the_first_apply_stores_the_manifest_with_its_write_id(self):
        """Guards against a stored manifest without the id of its write."""
        code, found = self._run_json('apply', EXAMPLE)
        stored = self.store.read('manifest').data.decode()
        self.assertEqual((0, 1), (code, found['version']))
        self.assertEqual(
            found['write_id'],
            manifest_storage.parse_header(stored)['write_id'],
        )
        self.assertEqual(self.text, manifest_storage.strip_header(stored))

    def test_an_equal_manifest_is_not_written_again(self):
        """Guards against versions that grow without a change."""
        self._put_example()
        code, found = self._run_json('apply', EXAMPLE)
        self.assertEqual((0, False), (code, found['is_written']))
        self.assertEqual(0, self.store.writes)

    def test_a_conflict_reports_the_author_and_the_difference(self):
        """Guards against an apply that reverts another operator's change."""
        self._put_example()
        other = self.text.replace('priority = 2', 'priority = 3')
        path = self._write_file(self.text + '\n; new comment\n')

        def write_twice():
            for author in ('eve@ops3', 'ann@ops2'):
                line = f'; sillctl write_id=2 by={author}\n'
                self.store.put('manifest', (line + other).encode())

        self.store.on_write = write_twice
        code, out = self._run_json('apply', path)
        error = out['error']
        self.assertEqual(ctl_exceptions.EXIT_CONFLICT, code)
        self.assertEqual('ann@ops2', error['winner'])
        self.assertEqual((1, 3), (error['expected'], error['version']))
        self.assertIn('which is 2 after', error['message'])
        changed = {c['section'] for c in error['difference']['changed']}
        self.assertIn('route ledger openings', changed)
        self.assertIn('ann@ops2', self.store.read('manifest').data.decode())

    def test_another_expected_version_writes_nothing(self):
        """Guards against a file that is based on an older version."""
        self._put_example()
        path = self._write_file(self.text + '\n; new comment\n')
        code, _, err = self._run_command(
            'apply', path, '--expected-version', 0
        )
        self.assertEqual(
            (ctl_exceptions.EXIT_CONFLICT, 0), (code, self.store.writes)
        )
        self.assertIn('mei@ops1', err)
        code, _, _ = self._run_command(
            'apply', path, '--expected-version', 'new'
        )
        self.assertEqual(ctl_exceptions.EXIT_SETTINGS, code)
        code, found = self._run_json('apply', path, '--expected-version', 1)
        self.assertEqual((0, 2), (code, found['version']))

    def test_a_lost_reply_is_resolved_without_a_second_write(self):
        """Guards against a manifest that is written twice."""
        self.store.lose = 'reply'
        code, found = self._run_json('apply', EXAMPLE)
        self.assertEqual(
            (0, 1, 1), (code, found['version'], self.store.writes)
        )
        self.store.lose = 'request'
        path = self._write_file(self.text + '\n; new comment\n')
        self.assertEqual(
            ctl_exceptions.EXIT_UNKNOWN_OUTCOME,
            self._run_command('apply', path)[0],
        )
        self.assertEqual(2, self.store.writes)

    def test_a_manifest_of_another_cell_is_rejected(self):
        """Guards against a new cell without the stored tables and fences."""
        self._put_example()
        path = ROOT / 'examples' / 'niederbayern.ini'
        self.assertEqual(
            ctl_exceptions.EXIT_CELL_CHANGED,
            self._run_command('apply', path)[0],
        )
        self.assertEqual(0, self.store.writes)
        self.assertEqual(0, self._run_command('apply', path, '--force')[0])

    def test_another_address_of_an_upstream_is_rejected(self):
        """Guards against two servers with grants of the same upstream."""
        self._put_example()
        address = '127.0.0.1:65001'
        text = re.sub(
            r'address = \S+', f'address = {address}', self.text, count=1
        )
        path = self._write_file(text)
        self.assertEqual(
            ctl_exceptions.EXIT_ADDRESS_CHANGED,
            self._run_command('apply', path)[0],
        )
        self.assertEqual(0, self.store.writes)
        self.assertEqual(0, self._run_command('apply', path, '--force')[0])

    def test_malformed_values_do_not_prevent_an_apply(self):
        """Guards against a failed estimate of moves that blocks a repair."""
        path = self._write_file(self.text + '\n; new comment\n')
        for key in (TABLE_KEY, 'drains'):
            self.store = OPEN_STORES['store'] = FakeStore()
            self._put_example()
            self.store.put(key, b'[]')
            self.assertEqual(0, self._run_command('apply', path)[0])

    def test_an_invalid_stored_manifest_can_be_replaced(self):
        """Guards against an invalid stored manifest that blocks its repair."""
        self.store.put('manifest', b'\xff')
        self.assertEqual(0, self._run_command('diff', EXAMPLE)[0])
        self.assertEqual(2, self._run_json('apply', EXAMPLE)[1]['version'])


class DiffTest(CommandTestCase):
    def test_changes_are_listed_by_section_and_option(self):
        """Guards against a change that the diff does not show."""
        self._put_example()
        text = self.text.replace('timeout_ms = 5000', 'timeout_ms = 2500')
        text = text.replace('[key ledger CAP-000001]', '[key ledger CAP-2]')
        code, out, _ = self._run_command('diff', self._write_file(text))
        self.assertEqual(0, code)
        self.assertIn('\n+ [key ledger CAP-2]', out)
        self.assertIn('\n- [key ledger CAP-000001]', out)
        self.assertIn('\n~ [service ledger] timeout_ms: 5000 -> 2500', out)
        self.assertIn('about 0.0% of the keys would move', out)

    def test_removing_an_upstream_moves_only_its_keys(self):
        """Guards against an estimate far from 1 / number of upstreams."""
        self._put_example()
        head, _, tail = self.text.partition('[upstream ledger-30]')
        text = head + tail[tail.index('[upstream intake') :]
        found = self._run_json('diff', self._write_file(text))[1]
        self.assertEqual(
            ['upstream ledger-30'], found['difference']['removed']
        )
        moves = found['moves']['ledger']
        self.assertThat(moves['share'], testtools.matchers.GreaterThan(1 / 60))
        self.assertThat(moves['share'], testtools.matchers.LessThan(1 / 15))
        self.assertFalse(moves['is_renumbered'])

    def test_renumbered_shards_are_reported(self):
        """Guards against a new range that is shown as a small change."""
        self._put_example()
        range_section = '[range ledger a]\nlast = B\nupstreams = ledger-01\n'
        found = self._run_json(
            'diff', self._write_file(self.text + range_section)
        )[1]
        self.assertTrue(found['moves']['ledger']['is_renumbered'])

    def test_a_placement_method_plans_from_the_table_in_force(self):
        """Guards against a plan that ignores owners or eligible upstreams."""
        self._put_example()
        self._put_table()

        def plan(units_by_owner, eligible_by_unit, **others):
            moves = []
            for owner, units in units_by_owner.items():
                for unit in units:
                    if owner not in eligible_by_unit[unit]:
                        moves.append(_Move(unit))
            return moves

        self.patch(key_moves, 'find_placement', lambda name: plan)
        text = self.text.replace(
            '[failure_domain tw-a]', '[failure_domain tw-a]\ndrained = yes'
        )
        moves = self._run_json('diff', self._write_file(text))[1]['moves'][
            'ledger'
        ]
        self.assertEqual('bounded', moves['method'])
        self.assertEqual(len(range(0, 1024, 3)), moves['share'] * 1024)


class _Move:
    def __init__(self, unit):
        self.unit = unit


class DrainTest(CommandTestCase):
    def _stored_drains(self):
        return json.loads(self.store.read('drains').data)

    def test_drain_and_restore_change_one_name(self):
        """Guards against a change that drops or keeps other names."""
        self._put_example()
        self.assertEqual(
            0, self._run_command('drain', 'failure_domain', 'tw-a')[0]
        )
        self.assertEqual(
            0, self._run_command('drain', 'upstream', 'ledger-02')[0]
        )
        self.assertEqual(
            (['tw-a'], ['ledger-02']),
            (
                self._stored_drains()['failure_domains'],
                self._stored_drains()['upstreams'],
            ),
        )
        self.assertEqual(
            0, self._run_command('restore', 'failure_domain', 'tw-a')[0]
        )
        self.assertEqual([], self._stored_drains()['failure_domains'])
        _, found = self._run_json('restore', 'failure_domain', 'tw-a')
        self.assertFalse(found['is_changed'])

    def test_racing_drains_are_both_kept(self):
        """Guards against a drain that reverts another operator's drain."""
        self._put_example()
        other = {'failure_domains': [], 'upstreams': ['ledger-09']}
        self.store.on_write = lambda: self.store.put(
            'drains', json.dumps(other).encode()
        )
        self.assertEqual(
            0, self._run_command('drain', 'upstream', 'ledger-02')[0]
        )
        self.assertEqual(
            ['ledger-02', 'ledger-09'], self._stored_drains()['upstreams']
        )

    def test_the_last_upstream_of_a_service_is_not_drained(self):
        """Guards against concurrent drains that together stop a service."""
        self._put_example()
        self._run_command('drain', 'failure_domain', 'tw-a')
        others = {'failure_domains': ['tw-a', 'tw-b'], 'upstreams': []}
        self.store.on_write = lambda: self.store.put(
            'drains', json.dumps(others).encode()
        )
        code, _, err = self._run_command('drain', 'failure_domain', 'tw-c')
        self.assertEqual(ctl_exceptions.EXIT_NO_UPSTREAM_LEFT, code)
        self.assertIn('--force', err)
        code, _, _ = self._run_command(
            'drain', 'failure_domain', 'tw-c', '--force'
        )
        self.assertEqual(0, code)

    def test_a_lost_reply_is_resolved_by_the_write_id(self):
        """Guards against a report of a drain whose outcome is not known."""
        self._put_example()
        self.store.lose = 'reply'
        code, found = self._run_json('drain', 'upstream', 'ledger-02')
        self.assertEqual((0, 1), (code, self.store.writes))
        self.assertTrue(found['is_changed'])

    def test_unknown_names_are_refused(self):
        """Guards against a mistyped name that is accepted without effect."""
        self._put_example()
        code, _, err = self._run_command('drain', 'upstream', 'leger-02')
        self.assertEqual(ctl_exceptions.EXIT_NOT_FOUND, code)
        self.assertIn("did you mean 'ledger-02'", err)
        code, _, _ = self._run_command('restore', 'server', 'x')
        self.assertEqual(ctl_exceptions.EXIT_SETTINGS, code)

    def test_restore_reports_what_the_manifest_still_drains(self):
        """Guards against hiding that a restored upstream is still drained."""
        self.text = self.text.replace(
            '[failure_domain tw-a]', '[failure_domain tw-a]\ndrained = yes'
        )
        self._put_example()
        out = self._run_command('restore', 'upstream', 'ledger-01')[1]
        self.assertIn('failure domain tw-a in the manifest', out)


class OwnerTest(CommandTestCase):
    def test_owner_fence_and_reason_come_from_the_table(self):
        """Guards against an owner that differs from the one routers use."""
        self._put_example()
        table = self._put_table()
        _, found = self._run_json('owner', 'ledger', '1e5')
        assignment = table.get(found['unit'])
        self.assertEqual('1e5', found['key'])
        self.assertEqual(
            (assignment.owner, assignment.fence),
            (found['owner'], found['fence']),
        )
        self.assertIn('default partition', found['reason'])
        reasons = [
            self._run_json('owner', 'ledger', key)[1]['reason']
            for key in ('CAP-000001', 'CAP-7')
        ]
        self.assertIn('manifest declares', reasons[0])
        self.assertIn('hot key', reasons[1])

    @testtools.skipUnless(
        hasattr(KeySpace, 'from_layout'), 'tables store no layout yet'
    )
    def test_a_key_is_looked_up_under_the_layout_of_its_table(self):
        """Guards against an owner looked up in another layout."""
        table = self._put_table()
        old = KeySpace(self.manifest.services['ledger'])
        table.layout = old.layout()
        self.store.put(TABLE_KEY, table.encode())
        range_section = '[range ledger a]\nlast = L\nupstreams = ledger-01\n'
        self.text += range_section
        self._put_example()
        _, found = self._run_json('owner', 'ledger', 'K')
        self.assertEqual(str(old.shard_of('K')), found['unit'])
        self.assertFalse(found['is_current'])

    def test_a_drained_owner_is_shown_with_the_cause(self):
        """Guards against a planned move that looks like a fault."""
        self._put_example()
        self._put_table()
        self._run_command('drain', 'failure_domain', 'tw-b')
        out = self._run_command('owner', 'ledger', 'CAP-000001')[1]
        self.assertIn('failure domain tw-b by sillctl drain', out)

    def test_a_missing_owner_is_reported(self):
        """Guards against an owner shown for a key that has none."""
        codes = []
        for service in ('ledger', 'intake', 'none', 'ledger'):
            codes.append(self._run_command('owner', service, 'k')[0])
            if len(codes) == 1:
                self._put_example()
        self.assertEqual([ctl_exceptions.EXIT_NOT_FOUND] * 4, codes)


class StatusTest(CommandTestCase):
    def test_an_empty_store_has_a_status(self):
        """Guards against a status command that fails on an empty store."""
        code, out, _ = self._run_command('status')
        self.assertEqual(0, code)
        self.assertIn('manifest  none', out)

    def test_leader_tables_balance_and_drains_are_shown(self):
        """Guards against counts that differ from the stored table."""
        self._put_example()
        self._put_table()
        self._put_leader()
        self._run_command('drain', 'upstream', 'ledger-01')
        _, found = self._run_json('status')
        self.assertEqual(
            ('r1', 4), (found['leader']['holder'], found['leader']['term'])
        )
        table = found['tables']['ledger']
        self.assertEqual((1026, 35), (table['units'], table['on_drained']))
        self.assertAlmostEqual(
            36 / ((1026 - 35) / 29), table['imbalance'], places=3
        )
        self.assertEqual(['ledger-01'], found['drains']['upstreams'])

    def test_a_router_that_does_not_respond_has_its_own_exit_code(self):
        """Guards against a router's failure reported as the store's."""
        code, _, _ = self._run_command('status', '--router', '127.0.0.1:1')
        self.assertEqual(ctl_exceptions.EXIT_ROUTER, code)

    def test_malformed_values_are_errors(self):
        """Guards against a traceback for a malformed stored value."""
        self._put_example()
        for key in ('drains', f'cell/{CELL}/leader'):
            self.store.put(key, b'[]')
            self.assertEqual(
                ctl_exceptions.EXIT_STORE, self._run_command('status')[0]
            )
            del self.store.values[key]
        self.store.put(TABLE_KEY, b'[]')
        self.assertIn(
            'malformed ownership table', self._run_command('status')[1]
        )
        code, _, _ = self._run_command('owner', 'ledger', 'k')
        self.assertEqual(ctl_exceptions.EXIT_STORE, code)


class DocumentationTest(CommandTestCase):
    def _page(self, name):
        return (ROOT / 'docs' / name).read_text()

    def test_every_command_of_the_page_runs(self):
        """Guards against documented commands that fail."""
        self.patch(router_client, 'read_status', lambda address: {'ok': 1})
        self.patch(
            router_client,
            'read_explanation',
            lambda address, question: NO_ROUTE,
        )
        self._put_example()
        self._put_table()
        self._put_leader()
        lines = [
            line.removeprefix('$ sillctl ').split()
            for line in self._page('sillctl.md').splitlines()
            if line.startswith('$ sillctl ')
        ]
        here = os.getcwd()
        self.addCleanup(os.chdir, here)
        os.chdir(ROOT)
        for args in lines:
            code, _, err = self._run_command(*args)
            self.assertEqual((0, ''), (code, err), args)
        shown = {word for args in lines for word in args}
        commands = {n for n in dir(Commands) if not n.startswith('_')}
        self.assertEqual(set(), commands - {'FIRE_METADATA'} - shown)

    def test_exit_codes_of_the_page_are_those_of_the_code(self):
        """Guards against documented exit codes that differ from the code's."""
        page = self._page('sillctl.md')
        for name, value in vars(ctl_exceptions).items():
            if name.startswith('EXIT_') and isinstance(value, int):
                self.assertIn(f'| {value} | `{name}` |', page)

    def test_the_page_of_errors_has_every_code(self):
        """Guards against an error code that is not documented."""
        page = self._page('errors.md')
        classes = [refusals.refusals.get(n) for n in refusals.refusals.names()]
        for module in (exceptions, ctl_exceptions):
            for item in vars(module).values():
                if isinstance(item, type):
                    classes.append(item)
        for cls in classes:
            if not issubclass(cls, exceptions.SillError):
                continue
            row = f'| `{cls.code}` |'
            if issubclass(cls, exceptions.Refusal):
                row += f' {cls.status} | {cls.outcome} |'
            self.assertIn(row, page)
