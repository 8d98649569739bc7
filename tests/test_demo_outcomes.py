"""Tests that the demo detects a violation of each outcome."""

import testtools

from demo import outcomes
from tests.http_helpers import ledger_entry

_LOAD = {
    'mixed_up': [],
    'unsolicited': 0,
    'open': 0,
    'not_run': ['c9'],
    'unavailable_s': 3.0,
    'acknowledged': {'opening': {'c1': 'x'}, 'upload': {'c2': 'd2'}},
    'outcomes': {
        f'{kind} ok': 1 for kind in ('lookup', 'handover', 'opening', 'upload')
    },
}


def _ledger(entries, **uploads):
    stored = {'entries': entries, 'uploads': {}, 'collapses': 0}
    for call_id, digest in uploads.items():
        stored['uploads'][f'/intake/up-{call_id}'] = {'sha256': digest}
    return {**stored, 'max_in_flight': 4}


def _ledgers():
    first, second = ledger_entry(1000, 1, 'c1'), ledger_entry(21000, 3, 'c3')
    between = ledger_entry(12000, 2, 'c4')
    return {'a': _ledger([first, second]), 'b': _ledger([between], c2='d2')}


class OutcomesTest(testtools.TestCase):
    def _broken(self, load, ledgers):
        drain = outcomes.DrainSpan(['a'], 10.0, 20.0)
        found = outcomes.check_outcomes(load, ledgers, drain)
        return [o.name for o in found if o.is_broken]

    def test_run_without_a_fault_is_not_broken(self):
        """Guards against a demo that fails without a violation."""
        self.assertEqual([], self._broken(_LOAD, _ledgers()))

    def test_faults_in_the_load_report(self):
        """Guards against a field of the load report that is not checked."""
        served = {'lookup ok': 1, 'handover ok': 1, 'opening ok': 1}
        for field, value, name in (
            ('mixed_up', ['c1'], 'answers mixed up'),
            ('unsolicited', 1, 'answers mixed up'),
            ('open', 1, 'requests without an outcome'),
            ('not_run', ['c1'], 'refused as not run, but ran'),
            ('unavailable_s', 3.1, outcomes.MAX_UNAVAILABILITY),
            ('outcomes', served, 'kinds of requests without a good answer'),
            ('acknowledged', {'opening': {'c8': ''}}, outcomes.LOST_RECORDS),
            ('acknowledged', {'upload': {'c2': 'other'}}, 'uploads lost'),
        ):
            load = {**_LOAD, field: value}
            self.assertEqual([name], self._broken(load, _ledgers()))

    def test_faults_in_the_ledgers(self):
        """Guards against a ledger that is not checked."""

        def run(ledgers, name, *fields):
            ledgers[name]['entries'].append(ledger_entry(*fields))

        for change, name in (
            (
                lambda x: run(x, 'b', 22000, 4, 'c1'),
                outcomes.REPEATED_OPENINGS,
            ),
            (lambda x: run(x, 'b', 1001, 1), 'keys with two owners'),
            (lambda x: run(x, 'a', 15001, 3), outcomes.DRAINED_WORK),
            (lambda x: x['a']['entries'].pop(), outcomes.NOT_RESTORED),
            (
                lambda x: x['a'].update(max_in_flight=5),
                outcomes.PEAK_IN_FLIGHT,
            ),
            (lambda x: x['a'].update(collapses=1), outcomes.COLLAPSES),
        ):
            ledgers = _ledgers()
            change(ledgers)
            self.assertEqual([name], self._broken(_LOAD, ledgers))
