"""Tests of the burn report: windows, restarts, burn rates, alert rules."""

import testtools

from bramleysill_kernel.config.manifest import Objective
from bramleysill_kernel.config.manifest_parser import parse_manifest
from bramleysill_kernel.units.ownership import OwnershipTable
from bramleysill_router.metrics import Metrics
from bramleysill_router.metrics import unit_gauges
from sillctl import snapshots
from sillctl.alert_rules import alert_rules
from sillctl.burn_report import make_report
from sillctl.report_output import percent
from sillctl.report_output import to_html
from sillctl.report_output import to_text
from sillctl.snapshots import Snapshot
from sillctl.snapshots import sample_key
from tests.test_ctl_commands import EXAMPLE

NOW = 1_000_000.0
OBJECTIVE = Objective('ledger', 0.99, 50.0, 0.9)
SERVICES = {'ledger': OBJECTIVE}


def _snapshot(ago, router='r1', started=None, slow=0, **codes):
    """Return a snapshot taken `ago` seconds before NOW."""
    total = sum(codes.values())
    buckets = {'0.036': 0, '0.05': total - slow, '+Inf': total}
    samples = {
        _key(snapshots.REQUESTS_METRIC, code=c): v for c, v in codes.items()
    }
    samples |= {
        _key(snapshots.LATENCY_METRIC, le=b): v for b, v in buckets.items()
    }
    if started is not None:
        samples[sample_key(snapshots.STARTED_METRIC, {})] = NOW - started
    return Snapshot(NOW - ago, router, samples)


def _key(name, **labels):
    return sample_key(name, {'service': 'ledger', **labels})


def _report(*found, services=SERVICES):
    return make_report(found, services, NOW)


def _service(*found):
    return _report(*found)['services'][0]


def _window(service, name):
    return next(w for w in service['windows'] if w['window'] == name)


class BurnTest(testtools.TestCase):
    def test_burn_is_the_share_of_failures_over_the_allowed(self):
        """Guards against counting callers' errors as failures or requests."""
        service = _service(
            _snapshot(300, ok=1000, bad_request=50),
            _snapshot(0, ok=1096, bad_request=950, owner_lost=3, no_state=1),
        )
        window = _window(service, '5 min')
        self.assertEqual((100, 4), (window['requests'], window['failed']))
        self.assertAlmostEqual(4.0, window['burn'])
        self.assertEqual({'owner_lost': 3, 'no_state': 1}, window['causes'])
        self.assertEqual(3, window['unavailable_keys'])
        self.assertEqual('burning', service['state'])
        spent = 4.0 * 300 / (30 * 86400)
        self.assertAlmostEqual(
            1 - spent, service['budget']['availability_left']
        )

    def test_slow_requests_burn_the_latency_budget(self):
        """Guards against using a bucket bound above the objective."""
        service = _service(_snapshot(300, ok=0), _snapshot(0, ok=100, slow=20))
        window = _window(service, '5 min')
        self.assertAlmostEqual(2.0, window['latency_burn'])
        self.assertAlmostEqual(50.0, service['objective']['measured_ms'])
        loose = {'ledger': Objective('ledger', 0.99, 49.0, 0.9)}
        report = _report(
            _snapshot(300, ok=0), _snapshot(0, ok=100), services=loose
        )
        found = report['services'][0]
        self.assertAlmostEqual(36.0, found['objective']['measured_ms'])
        self.assertAlmostEqual(10.0, found['windows'][0]['latency_burn'])

    def test_a_window_without_requests_has_no_data(self):
        """Guards against a service without requests that is shown as met."""
        for found in (
            (),
            (_snapshot(0, ok=100),),
            (_snapshot(300, ok=100), _snapshot(0, ok=100)),
            (_snapshot(9000, ok=1), _snapshot(8700, ok=2)),
            (Snapshot(NOW, 'r1', None, 'refused'),),
        ):
            service = _service(*found)
            self.assertEqual('no data', service['state'])
            window = service['windows'][0]
            self.assertEqual(
                (None, None), (window['burn'], window['latency_burn'])
            )
            text = to_text({**_report(*found), 'malformed_lines': 0})
            self.assertIn('ledger: no data', text)

    def test_a_partial_window_shows_what_it_covers(self):
        """Guards against 10 s of data that is shown as 3 days."""
        found = (_snapshot(10, ok=0), _snapshot(0, ok=10))
        for window in _service(*found)['windows']:
            self.assertEqual((10.0, False), _coverage(window))
        text = to_text({**_report(*found), 'malformed_lines': 0})
        self.assertIn('10 s of 3 days', text)
        budget = _service(*found)['budget']
        self.assertEqual((10.0, False), _coverage(budget))

    def test_a_window_ignores_earlier_requests(self):
        """Guards against failures before a window that are counted in it."""
        service = _service(
            _snapshot(3600, ok=0, owner_lost=0),
            _snapshot(305, ok=10, owner_lost=90),
            _snapshot(0, ok=110, owner_lost=90),
        )
        self.assertEqual(0, _window(service, '5 min')['failed'])
        self.assertEqual(90, _window(service, '1 h')['failed'])
        self.assertEqual((305.0, True), _coverage(service['windows'][0]))


class RouterChangeTest(testtools.TestCase):
    def test_a_restart_counts_from_zero(self):
        """Guards against negative or lost increases after a restart."""
        window = _service(
            _snapshot(200, ok=1000, owner_lost=5),
            _snapshot(100, ok=30),
            _snapshot(0, ok=50, owner_lost=2),
        )['windows'][0]
        self.assertEqual((52, 2), (window['requests'], window['failed']))

    def test_a_new_start_time_shows_a_restart(self):
        """Guards against a restart that is missed as counters grow quickly."""
        found = (
            _snapshot(200, started=250, ok=10),
            _snapshot(0, started=100, ok=50),
        )
        window = _service(*found)['windows'][0]
        self.assertEqual(
            (60, 250.0), (window['requests'], window['covered_s'])
        )
        self.assertEqual(1, _report(*found)['routers'][0]['restarts'])

    def test_counters_are_zero_when_the_process_starts(self):
        """Guards against omitting the first minutes of a router."""
        window = _service(_snapshot(0, started=60, ok=9, owner_lost=1))
        self.assertAlmostEqual(10.0, window['windows'][0]['burn'])

    def test_a_vanished_router_makes_the_report_partial(self):
        """Guards against dropping the failures that a lost router counted."""
        report = _report(
            _snapshot(3600, 'r1', ok=0),
            _snapshot(300, 'r1', ok=5),
            _snapshot(0, 'r1', ok=900),
            _snapshot(3600, 'r2', ok=0),
            _snapshot(1800, 'r2', owner_lost=5),
            Snapshot(NOW, 'r2', None, 'refused'),
        )
        states = {r['router']: r['state'] for r in report['routers']}
        self.assertEqual({'r1': 'answers', 'r2': 'vanished'}, states)
        service = report['services'][0]
        self.assertEqual(5, _window(service, '1 h')['failed'])
        self.assertEqual(1, _window(service, '5 min')['routers'])
        self.assertEqual('met, but some routers are missing', service['state'])
        self.assertTrue(report['is_partial'])

    def test_rare_snapshots_do_not_make_a_router_vanished(self):
        """Guards against routers shown as vanished between two recordings."""
        later = _snapshot(-60, ok=3)
        for ago, state in ((590, 'answers'), (610, 'vanished')):
            found = (_snapshot(ago + 300, ok=1), _snapshot(ago, ok=2), later)
            self.assertEqual(state, _report(*found)['routers'][0]['state'])


class RouterMetricsTest(testtools.TestCase):
    def test_a_router_page_is_read_and_its_moves_are_counted_once(self):
        """Guards against metric names that differ between the two sides."""
        cell = parse_manifest(EXAMPLE.read_text())
        names = cell.upstreams.values()
        out = [u.name for u in names if u.failure_domain == 'tw-b']
        found = []
        for router in ('r1', 'r2'):
            metrics = Metrics()
            metrics.note_failure_domains(cell, ())
            first = metrics.render()[0].decode()
            metrics.note_failure_domains(cell, out)
            metrics.note_failure_domains(cell, out[1:])
            metrics.note_failure_domains(cell, out)
            metrics.observe('ledger', 'ok', 0.01)
            metrics.observe('ledger', 'owner_lost', 0.06)
            second = metrics.render()[0].decode()
            for ago, text in ((300, first), (0, second)):
                samples = snapshots.parse_exposition(text)
                line = snapshots.encode(Snapshot(NOW - ago, router, samples))
                found.append(snapshots.decode(line))
        report = _report(*found)
        domain = report['failure_domains'][1]
        self.assertTrue(domain['is_out'])
        self.assertEqual({'out': 2, 'back': 1}, domain['moves']['5 min'])
        window = report['services'][0]['windows'][0]
        self.assertEqual((4, 2), (window['requests'], window['slow']))
        page = to_html({**report, 'malformed_lines': 0})
        self.assertIn('owner_lost', page)
        self.assertNotIn('http', page)

    def test_each_unit_has_one_condition(self):
        """Guards against units without an owner that are counted as owned."""
        table = OwnershipTable('ledger', 4)
        for unit, owner in (('0', 'u1'), ('1', 'u2'), ('2', 'u1')):
            table.assign(unit, owner)
        gauges = unit_gauges({'ledger': table}, lambda service: {'1', '3'})
        found = {labels['condition']: value for _, labels, value in gauges}
        expected = {'owned': 2, 'moving': 1, 'without_owner': 1}
        self.assertEqual(expected, found)


class AlertRulesTest(testtools.TestCase):
    def test_a_complete_outage_fires_under_a_loose_objective(self):
        """Guards against a threshold above 1, which no ratio exceeds."""
        loose = Objective('ledger', 0.5, 0.1, 0.9)
        text = alert_rules({'ledger': loose}, (0.009,))
        self.assertIn('> 0.99', text)
        # No bucket bound is at or below 0.1 ms, so there is no latency rule.
        self.assertNotIn('Latency', text)


def _coverage(window):
    return window['covered_s'], window['is_full']


class PercentTest(testtools.TestCase):
    def test_a_share_below_one_is_not_reported_as_all(self):
        """Guards against 99.995% that reads as 100%."""
        for share in (0.99995, 0.999999, 1 - 1e-12):
            self.assertEqual('99.99%', percent(share))
        self.assertEqual('100%', percent(1.0))

    def test_other_shares_are_rounded(self):
        """Guards against a change of the shares that are reported."""
        shares = (0.99994, 0.91666, 0.5, 0.00012345, 0.0)
        self.assertEqual(
            ['99.99%', '91.67%', '50%', '0.01234%', '0%'],
            [percent(share) for share in shares],
        )
