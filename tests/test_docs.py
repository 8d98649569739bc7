"""Checks the pages of docs/ against the code."""

import ast
import pathlib
import random
import re
import subprocess

from aioprometheus import Counter
import testtools

from bramleysill_kernel.config.manifest_parser import parse_manifest
from bramleysill_kernel.load.balancer import Candidate
from bramleysill_kernel.load.balancer import balancers
from bramleysill_kernel.load.choice_policies import choice_policies
from bramleysill_kernel.units.placement import placements
from bramleysill_router import metrics
from bramleysill_router import settings
from bramleysill_router import store_client
from sillctl import report_command
from sillctl import store_clients
from sillctl.outcomes import outcomes_table

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = ROOT / 'docs'
LEVEL_BY_HELPER = {
    'log_event': 'info',
    'log_warning': 'warning',
    'log_request': 'debug',
    '_event': 'info',
}
REQUEST_EVENT = 'request'
# The net package calls `logging` directly, since it has no log helper.
DIRECT_LOG_CALL = r"logging\.\w+\('event=(\w+) ([^']*)'"


def _page(name):
    return (DOCS / name).read_text()


def _table_rows(name):
    """Return the cells of the table rows that begin with a code span."""
    lines = re.findall(r'^\| `.*\|$', _page(name), re.M)
    return [[c.strip() for c in line[1:-1].split('|')] for line in lines]


def _code_spans(cell):
    return re.findall(r'`([^`]+)`', cell)


def _code_blocks(name, language):
    return re.findall(rf'^```{language}\n(.*?)^```', _page(name), re.S | re.M)


def _logged_events():
    """Return {event: (level, fields)} of the log calls in packages/."""
    events = {}
    for path in sorted((ROOT / 'packages').glob('*/src/**/*.py')):
        text = path.read_text()
        for event, fields in re.findall(DIRECT_LOG_CALL, text):
            events[event] = ('error', set(re.findall(r'(\w+)=', fields)))
        for node in ast.walk(ast.parse(text)):
            name = getattr(getattr(node, 'func', None), 'id', '')
            name = name or getattr(getattr(node, 'func', None), 'attr', '')
            arguments = getattr(node, 'args', None) or [
                ast.Constant(REQUEST_EVENT)
            ]
            if name in LEVEL_BY_HELPER and isinstance(
                arguments[0], ast.Constant
            ):
                # Election._event adds the router's name to each event.
                fields = {'router'} if name == '_event' else set()
                fields.update(k.arg for k in node.keywords if k.arg)
                known = events.setdefault(
                    arguments[0].value, (LEVEL_BY_HELPER[name], set())
                )
                known[1].update(fields)
    return events


class MetricsPageTest(testtools.TestCase):
    def test_the_page_lists_the_registry(self):
        """Guards against metrics that are not documented."""
        listed = {
            row[0].strip('`'): row[1] for row in _table_rows('metrics.md')
        }
        registered = {
            name: 'counter' if kind is Counter else 'gauge'
            for name, (kind, _) in metrics.COLLECTORS.items()
        }
        self.assertEqual(registered, listed)

    def test_the_report_knows_the_latency_buckets(self):
        """Guards against alert rules that query a missing bucket."""
        self.assertEqual(
            metrics.LATENCY_BUCKETS_SECONDS,
            report_command.LATENCY_BUCKETS_SECONDS,
        )


class LogsPageTest(testtools.TestCase):
    def test_the_page_lists_the_events_with_level_and_fields(self):
        """Guards against log events that are not documented."""
        listed = {
            row[0].strip('`'): (row[1], set(_code_spans(row[2])))
            for row in _table_rows('logs.md')
        }
        self.assertEqual(_logged_events(), listed)


class SettingsPageTest(testtools.TestCase):
    def test_the_page_lists_the_options_with_their_defaults(self):
        """Guards against missing options or wrong defaults on the page."""
        defaults = dict.fromkeys(settings._REQUIRED, 'required')
        for name, value in settings._OPTIONAL.items():
            defaults[name] = f'`{value}`' if value else 'empty'
        listed = {
            row[0].strip('`'): row[1] for row in _table_rows('settings.md')
        }
        self.assertEqual(defaults, listed)

    def test_the_example_is_valid(self):
        """Guards against example settings that a router rejects."""
        for page in ('settings.md', 'quickstart.md'):
            text = re.search(
                r'^\[router\]\n(.*?)^(END|```)', _page(page), re.S | re.M
            )
            options = dict(
                line.split(' = ') for line in text[1].strip().splitlines()
            )
            settings.Settings({**settings._OPTIONAL, **options})


class QuickstartTest(testtools.TestCase):
    def test_the_commands_parse_and_the_manifest_is_valid(self):
        """Guards against quickstart commands that fail."""
        (block,) = _code_blocks('quickstart.md', 'sh')
        result = subprocess.run(
            ['sh', '-n'], input=block.encode(), check=False
        )
        self.assertEqual(0, result.returncode)
        manifest_text = re.search(
            r"sheet\.ini <<'END'\n(.*?)^END", block, re.S | re.M
        )
        manifest = parse_manifest(manifest_text[1])
        self.assertEqual(['ledger'], list(manifest.services))
        source = ROOT / 'packages' / 'standins' / 'src'
        for name in re.findall(r'-m ([\w.]+)', block):
            self.assertTrue(
                (source / name.replace('.', '/')).with_suffix('.py').exists()
            )


class PluginsPageTest(testtools.TestCase):
    def test_the_page_lists_the_variants(self):
        """Guards against plug-in variants that are not documented."""
        listed = {
            row[1]: set(_code_spans(row[3]))
            for row in _table_rows('plugins.md')
        }
        # Other tests also register variants; count only the module's own.
        for module, registry in (
            ('bramleysill_kernel.load.balancer', balancers),
            ('bramleysill_kernel.load.choice_policies', choice_policies),
            ('bramleysill_kernel.units.placement', placements),
            ('bramleysill_router.store_client', store_client.store_clients),
            ('sillctl.store_clients', store_clients.store_clients),
        ):
            own = {
                name
                for name in registry.names()
                if registry.get(name).__module__ == module
            }
            self.assertEqual(own, listed[f'`{module}`'])

    def test_the_example_runs(self):
        """Guards against an example that the registry can't use."""
        example, _ = _code_blocks('plugins.md', 'python')
        exec(
            compile(example, 'plugins.md', 'exec'), {'__name__': 'plugins_md'}
        )
        self.addCleanup(balancers._variants.pop, 'first_free')
        balancer = balancers.get('first_free')(random.Random(1))
        full = Candidate('a', in_flight=4)
        self.assertEqual('b', balancer.pick([Candidate('b'), full]).name)
        self.assertIsNone(balancer.pick([full], exclude=('a',)))


class ReportPagesTest(testtools.TestCase):
    def test_the_page_lists_the_outcomes(self):
        """Guards against outcome codes whose effect is not documented."""
        self.assertIn(outcomes_table() + '\n', _page('report.md'))

    def test_the_page_shows_the_alert_rules(self):
        """Guards against alert rules that the tool no longer writes."""
        text = (ROOT / 'examples' / 'hsinchu.ini').read_text()
        (block,) = _code_blocks('alerts.md', 'yaml')
        self.assertEqual(
            report_command.rules_text(parse_manifest(text)), block
        )


class ReadmeTest(testtools.TestCase):
    def test_all_pages_are_linked(self):
        """Guards against broken links and pages without a link."""
        linked = set(
            re.findall(r'\]\((docs/[^)]+)\)', (ROOT / 'README.md').read_text())
        )
        pages = {f'docs/{path.name}' for path in DOCS.glob('*.md')}
        self.assertEqual(pages, linked)
