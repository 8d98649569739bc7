"""Tests of the manifest parser: accepted texts and reported problems."""

import pathlib
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import testtools

from bramleysill_kernel.common.exceptions import ManifestError
from bramleysill_kernel.config import manifest_parser
from bramleysill_kernel.config.manifest import Manifest

ROOT = pathlib.Path(__file__).resolve().parent.parent

GOOD = """\
; exported every morning
[manifest]
region = tw-north
[failure_domain tw-a]
[failure_domain tw-b]
drained = yes
[service ledger]
kind = keyed
path = /ledger/
key = header Capsule-Id
timeout_ms = 1500
settle_s = 12.5
authority = unchecked
[service intake]
kind = shared
path = /intake/
[route ledger lookups]
methods = GET, HEAD
[route ledger openings]
methods = POST
suffix = openings
priority = 2
[objective ledger]
availability = 99.95
latency_ms = 20
latency_percentile = 95
[upstream l1]
service = ledger
failure_domain = tw-a
address = 127.0.0.1:7001
[upstream l2]
service = ledger
failure_domain = tw-b
address = [::1]:7002
weight = 0.5
[upstream i1]
service = intake
failure_domain = tw-a
address = 127.0.0.1:7003
[range ledger north]
first = A
last = M
upstreams = l1,
  l2
[key ledger CAP-7]
upstreams = l2
"""

# Each case is a line of GOOD, its replacement, and a part of the message.
BAD_LINES = (
    ('region = tw-north', '', 'no option `region`'),
    ('region = tw-north', 'regoin = x', 'write `region`'),
    ('[failure_domain tw-a]', '[failure_domian tw-a]', 'write `failure_dom'),
    ('[failure_domain tw-a]', '[failure_domain]', 'write `[failure_domain N'),
    (
        '[failure_domain tw-a]',
        '[failure_domain tw-b]',
        'is already declared on line',
    ),
    ('[failure_domain tw-a]', '[failure_domain tw-a', 'not a section header'),
    ('[failure_domain tw-a]', '[failure_domain tw-c]', "'tw-c' has no upst"),
    ('drained = yes', 'drained = maybe', 'write `yes` or `no`'),
    ('drained = yes', 'drained', 'write `NAME = VALUE`'),
    ('drained = yes', 'drained = no\ndrained = yes', 'already set on line 6'),
    ('drained = yes', 'drained = y\x00s', 'that is not printable'),
    ('kind = keyed', 'kind = key', 'write `keyed` or `shared`'),
    ('kind = keyed', 'kind = shared', 'is shared, so its keys have no owners'),
    ('path = /ledger/', 'path = ledger', 'not a valid path prefix'),
    (
        'path = /ledger/',
        'path = /intake/',
        'path `/intake/` is already used in',
    ),
    ('key = header Capsule-Id', 'key = body', 'write `path`, or `header'),
    ('timeout_ms = 1500', 'timeout_ms = 0', 'out of range'),
    ('timeout_ms = 1500', 'timeout_ms = -5', 'out of range'),
    ('timeout_ms = 1500', 'timeout_ms = 9999999', 'from 1 to 600,000'),
    ('timeout_ms = 1500', 'timeout_ms = ' + '9' * 5000, 'not a whole num'),
    ('timeout_ms = 1500', 'timeout_ms = \u0661', 'not a whole number'),
    ('timeout_ms = 1500', 'shards = 4090', 'a sum of at most 4096'),
    ('settle_s = 12.5', 'settle_s = nan', 'is not a number'),
    ('settle_s = 12.5', 'settle_s = 0', 'out of range'),
    ('methods = GET, HEAD', 'methods = GTE', 'write GET'),
    ('methods = GET, HEAD', 'methods = POST\nsuffix = openings', 'already'),
    ('suffix = openings', 'suffix = /openings', 'without a `/` at either'),
    ('[route ledger lookups]', '[route leger lookups]', 'write `ledger`'),
    ('availability = 99.95', 'availability = 100', 'out of range'),
    ('service = ledger', 'service = legder', 'write `ledger`'),
    ('service = intake', 'service = ledger', "'intake' has no upstream"),
    ('failure_domain = tw-a', 'failure_domain = x', 'is not declared'),
    ('address = 127.0.0.1:7001', 'address = db1:7001', 'write `IP:PORT`'),
    ('address = 127.0.0.1:7001', 'address = 127.0.0.1:70001', 'IP:PORT'),
    ('address = 127.0.0.1:7001', 'address = 0.0.0.0:7001', 'IP:PORT'),
    (
        'address = 127.0.0.1:7001',
        'address = 127.0.0.1:7003',
        'already used in',
    ),
    ('weight = 0.5', 'weight = 0', 'out of range'),
    ('weight = 0.5', 'slots = 9\nconnections = 8', '9 slots exceed the 8'),
    ('first = A', 'first = M', 'is not after first'),
    ('last = M', 'last = M\n[range ledger b]\nfirst = B', 'overlaps range'),
    ('[range ledger north]', '[range ledger default]', 'is reserved'),
    ('  l2', '  l1', 'lists'),
    ('  l2', '  i1', 'belongs to service'),
    ('  l2', '  l9', "upstream 'l9' is not declared"),
    ('[key ledger CAP-7]', '[key ledger CAP 7]', 'write `[key SERVICE KEY]'),
    ('key = header Capsule-Id', '[key ledger a/b]', 'one path segment'),
)


def _problems(text):
    try:
        manifest_parser.parse_manifest(text, 'x.ini')
    except ManifestError as exc:
        return exc.problems
    return []


class AcceptedTest(testtools.TestCase):
    def test_every_option_reaches_the_manifest(self):
        """Guards against an option that is parsed but not stored."""
        parsed = manifest_parser.parse_manifest(GOOD, 'x.ini', 7)
        ledger = parsed.services['ledger']
        self.assertEqual(
            ('tw-north', 'tw-north'), (parsed.region, parsed.cell)
        )
        self.assertEqual((7, GOOD), (parsed.version, parsed.text))
        self.assertEqual((1.5, 12.5), (ledger.timeout, ledger.settle))
        self.assertFalse(ledger.authority)
        self.assertEqual('header Capsule-Id', ledger.key)
        self.assertEqual(['l1', 'l2'], [u.name for u in ledger.upstreams])
        self.assertEqual('::1', parsed.upstreams['l2'].host)
        self.assertEqual(['l1'], parsed.eligible('ledger'))
        self.assertEqual(('l1', 'l2'), ledger.ranges[0].upstreams)
        self.assertEqual('CAP-7', ledger.singles[0].key)
        self.assertAlmostEqual(0.9995, ledger.objective.availability)
        self.assertAlmostEqual(0.95, ledger.objective.latency_ratio)

    def test_only_safe_methods_are_repeatable_by_default(self):
        """Guards against retries of a POST that doesn't set `repeatable`."""
        ledger = manifest_parser.parse_manifest(GOOD).services['ledger']
        repeatable = {r.name: r.repeatable for r in ledger.routes}
        self.assertEqual({'lookups': True, 'openings': False}, repeatable)

    def test_byte_order_mark_and_line_ends_are_accepted(self):
        """Guards against rejecting the export of a spreadsheet program.

        Such files begin with a byte order mark and have CRLF line ends.
        """
        text = '\ufeff' + GOOD.replace('\n', '\r\n')
        self.assertEqual([], _problems(text))


class WrittenOptionsTest(testtools.TestCase):
    def test_written_options_parse_to_the_same_values(self):
        """Guards against a diff with values that no manifest can contain."""
        written = manifest_parser.option_texts(GOOD)
        text = ''
        for title, options in written.items():
            text += f'[{title}]\n'
            text += ''.join(f'{n} = {v}\n' for n, v in options.items() if v)
        self.assertEqual(written, manifest_parser.option_texts(text))
        self.assertEqual('[::1]:7002', written['upstream l2']['address'])


class ReportedTest(testtools.TestCase):
    def test_each_bad_line_is_reported_with_its_correction(self):
        """Guards against a mistake that is accepted or has a wrong message."""
        for line, replacement, expected in BAD_LINES:
            self.assertIn(line + '\n', GOOD)
            text = GOOD.replace(line + '\n', replacement + '\n', 1)
            found = [str(p) for p in _problems(text)]
            self.assertTrue(
                any(expected in p for p in found), (replacement, found)
            )

    def test_all_problems_are_reported_at_once_with_their_lines(self):
        """Guards against a parser that stops at the first mistake."""
        text = GOOD.replace('drained = yes', 'drained = 1')
        text = text.replace('weight = 0.5', 'weight = x')
        text = text.replace('priority = 2', 'priority = 99')
        found = _problems(text)
        self.assertEqual([6, 22, 35], [p.line for p in found])
        self.assertEqual({'x.ini'}, {p.file for p in found})

    def test_problems_hold_only_printable_text(self):
        """Guards against a name that sends control codes to a terminal.

        Fuzzing also found that a lone surrogate in a section's name was
        copied into the message, which then could not be encoded.
        """
        for noise in ('\ud800', '\x1b[2J'):
            text = GOOD.replace('[upstream l1]', f'[upstream l1{noise}]')
            for problem in _problems(text):
                self.assertTrue(str(problem).isprintable())
                str(problem).encode()

    def test_one_mistake_gives_one_problem(self):
        """Guards against follow-up problems that hide their cause."""
        for line, replacement in (
            ('address = 127.0.0.1:7001', 'address = x'),
            ('service = intake', 'service = !'),
            ('kind = keyed', 'kind = x'),
            ('first = A', 'first = A B'),
        ):
            found = _problems(GOOD.replace(line, replacement, 1))
            self.assertEqual(1, len(found), [str(p) for p in found])

    def test_an_empty_manifest_is_rejected(self):
        """Guards against a failed export that removes every service."""
        self.assertEqual(2, len(_problems('')))


class FuzzTest(testtools.TestCase):
    def _parse(self, text):
        try:
            result = manifest_parser.parse_manifest(text)
        except ManifestError as exc:
            self.assertTrue(exc.problems)
            for problem in exc.problems:
                self.assertTrue(str(problem).isprintable())
        else:
            self.assertIsInstance(result, Manifest)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.text(st.characters(codec=None)))
    def test_any_text_gives_a_manifest_or_problems(self, text):
        """Guards against input that crashes the parser."""
        self._parse(text)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.integers(0, 1 << 32), st.text(st.characters(codec=None), max_size=8)
    )
    def test_a_damaged_text_gives_a_manifest_or_problems(self, seed, noise):
        """Guards against a crash in checks that need a nearly valid text."""
        rng = random.Random(seed)
        lines = GOOD.split('\n')
        for _ in range(rng.randint(1, 4)):
            at, other = rng.randrange(len(lines)), rng.randrange(len(lines))
            cut = rng.randrange(len(lines[at]) + 1)
            lines[at] = rng.choice(
                (
                    lines[at][:cut] + noise + lines[at][cut:],
                    lines[at][:cut] + lines[other],
                    lines[other],
                )
            )
        self._parse('\n'.join(lines))


class ExamplesTest(testtools.TestCase):
    def test_examples_have_the_sizes_of_the_design(self):
        """Guards against examples that no longer parse or have shrunk."""
        sizes = {}
        for name in ('hsinchu', 'niederbayern'):
            text = (ROOT / 'examples' / f'{name}.ini').read_text()
            parsed = manifest_parser.parse_manifest(text, name)
            sizes[name] = (
                len(parsed.failure_domains),
                {s.name: len(s.upstreams) for s in parsed.services.values()},
                {u.slots for u in parsed.upstreams.values()},
            )
        self.assertEqual(
            (3, {'ledger': 30, 'intake': 6}, {4}), sizes['hsinchu']
        )
        self.assertEqual(
            (3, {'catalogue': 25, 'recordings': 6}, {4}),
            sizes['niederbayern'],
        )

    def test_the_page_has_the_table_of_the_code(self):
        """Guards against an option that docs/manifest.md does not describe."""
        page = (ROOT / 'docs' / 'manifest.md').read_text()
        self.assertIn(manifest_parser.options_table(), page)
