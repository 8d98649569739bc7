"""Tests of `sillctl report`: sources of metrics, files and options."""

import pathlib
import tempfile

import yaml

from bramleysill_router.metrics import Metrics
from sillctl import exceptions as ctl_exceptions
from sillctl import report_command
from sillctl import router_client
from sillctl import snapshot_files
from sillctl.snapshots import STARTED_METRIC
from sillctl.snapshots import Snapshot
from sillctl.snapshots import decode
from sillctl.snapshots import encode
from sillctl.snapshots import sample_key
from tests.test_ctl_commands import EXAMPLE
from tests.test_ctl_commands import CommandTestCase


class _FakeClock:
    def __init__(self):
        self.now = 1_000_000.0

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds


class ReportCommandTest(CommandTestCase):
    def setUp(self):
        super().setUp()
        self.clock = _FakeClock()
        self.metrics = Metrics()
        self.unreachable = set()
        self.patch(router_client, 'read_metrics', self._read_metrics)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.dir = pathlib.Path(directory.name)

    def _read_metrics(self, address):
        if address in self.unreachable:
            raise ctl_exceptions.RouterUnavailable('no response', 'metrics')
        self.metrics.observe('ledger', 'ok', 0.001)
        text = self.metrics.render()[0].decode()
        return router_client.parse_exposition(text)

    def _build(self, routers='', snapshots='', record='', polls=2, until=''):
        options = report_command.ReportOptions(
            routers, snapshots, record, polls, 60.0
        )
        return report_command.build_report(
            options, self.manifest, until, self.clock, self.clock.sleep
        )

    def test_recorded_snapshots_are_read_back(self):
        """Guards against recorded snapshots that count twice or are lost."""
        directory = str(self.dir / 'snaps')
        self.unreachable = {'127.0.0.1:2'}
        routers = '127.0.0.1:1,127.0.0.1:2'
        live = self._build(routers, directory, directory)
        self.assertEqual(1, _ledger(live)['requests'])
        read = self._build(snapshots=directory)
        self.assertEqual(live, read)
        self.assertEqual('no response', read['routers'][1]['error'])
        with open(directory + '/127.0.0.1_1.jsonl', 'a') as file:
            file.write('{"at": 1, "rou')
        self.assertEqual(
            1, self._build(snapshots=directory)['malformed_lines']
        )

    def test_old_snapshots_are_reported_only_on_request(self):
        """Guards against old data that is shown as current."""
        directory = str(self.dir)
        self._build('127.0.0.1:1', record=directory)
        self.clock.now += 40 * 86400
        self.assertEqual([], self._build(snapshots=directory)['routers'])
        found = self._build(snapshots=directory, until='latest')
        self.assertEqual(1, _ledger(found)['requests'])

    def test_downsampling_keeps_what_restarts_and_windows_need(self):
        """Guards against increases that downsampling loses."""
        samples = {sample_key(STARTED_METRIC, {}): 1.0}
        lines = []
        for minute in range(120):
            samples[sample_key(STARTED_METRIC, {})] = (
                1.0 if minute < 90 else 2.0
            )
            found = None if minute in (0, 119) else samples
            lines.append(encode(Snapshot(minute * 60.0, 'r1', found)))
        kept = list(snapshot_files.downsample(lines, 0.0, 9e9))
        times = [decode(line).at / 60 for line in kept]
        self.assertEqual([1, 60, 89, 90, 118, 119], times)
        kept = list(snapshot_files.downsample(lines, 0.0, 7140.0))
        self.assertEqual(119, len(kept))

    def test_the_manifest_comes_from_the_store_or_a_file(self):
        """Guards against a report that misses the objectives."""
        self._put_example()
        page = self.dir / 'burn.html'
        args = ('report', '--snapshots', self.dir)
        code, found = self._run_json(*args, '--html', page)
        self.assertEqual(0, code)
        names = [s['service'] for s in found['services']]
        self.assertEqual(['intake', 'ledger'], names)
        self.assertIn('no data', page.read_text())
        code, found = self._run_json(
            *args, '--store', '', '--manifest', EXAMPLE
        )
        self.assertEqual(0, code)

    def test_alert_rules_are_one_document(self):
        """Guards against output that is not a valid rule file."""
        args = ('report', '--alert-rules', '--manifest', EXAMPLE)
        _, out, _ = self._run_command(*args)
        groups = yaml.safe_load(out)['groups']
        self.assertEqual(
            ['bramleysill-intake', 'bramleysill-ledger'],
            [g['name'] for g in groups],
        )
        self.assertEqual(7, len(groups[0]['rules']))
        _, found = self._run_json(*args)
        self.assertEqual(groups, yaml.safe_load(found['text'])['groups'])

    def test_messages_name_the_invalid_option(self):
        """Guards against unbounded polling and silent empty reports."""
        for args, word in (
            ((), '--routers'),
            (('--routers', 'x'), 'host:port'),
            (('--routers', '127.0.0.1:1', '--polls', 0), '--polls'),
            (('--routers', '127.0.0.1:1', '--polls', 1e9), '--polls'),
            (('--routers', '127.0.0.1:1', '--interval', 0), '--interval'),
            (('--snapshots', self.dir / 'none'), '--snapshots'),
            (('--snapshots', self.dir, '--record', self.dir), '--record'),
            (('--snapshots', self.dir, '--until', 'nan'), '--until'),
        ):
            code, out, err = self._run_command(
                'report', '--manifest', EXAMPLE, *args
            )
            self.assertEqual(ctl_exceptions.EXIT_SETTINGS, code, out + err)
            self.assertIn(word, err)


def _ledger(report):
    services = {s['service']: s for s in report['services']}
    return services['ledger']['windows'][0]
