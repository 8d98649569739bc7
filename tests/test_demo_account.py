"""Tests that each outcome of the demo can be broken."""

import copy

import testtools

from demo import account

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


def _entry(call_id, host_ms, fence, effect='openings'):
    return {
        'call_id': call_id,
        'idempotency_key': call_id,
        'effect': effect,
        'host_ms': host_ms,
        'service': 'ledger',
        'unit': '1',
        'fence': fence,
        'key': 'K',
    }


def _ledgers():
    upload = {'/intake/up-c2': {'sha256': 'd2', 'bytes': 1}}
    first, second = _entry('c1', 1000, 1), _entry('c3', 21000, 3)
    return {
        'a': _ledger([first, second], {}),
        'b': _ledger([_entry('c4', 12000, 2)], upload),
    }


def _ledger(entries, uploads):
    return {
        'entries': entries,
        'uploads': uploads,
        'max_in_flight': 4,
        'collapses': 0,
    }


class AccountTest(testtools.TestCase):
    def _broken(self, load, ledgers):
        drain = account.Drain(['a'], 10.0, 20.0)
        outcomes = account.find_outcomes(load, ledgers, drain)
        return [o.name for o in outcomes if o.is_broken]

    def test_whole_run_is_not_broken(self):
        """Guards against a demo that fails without a fault."""
        self.assertEqual([], self._broken(_LOAD, _ledgers()))

    def test_faults_in_the_callers_account(self):
        """Guards against an outcome that is never checked."""
        for field, value, name in (
            ('mixed_up', ['c1'], 'answers mixed up'),
            ('unsolicited', 1, 'answers mixed up'),
            ('open', 1, 'requests without an outcome'),
            ('not_run', ['c1'], 'refused as not run, but ran'),
            (
                'unavailable_s',
                3.1,
                'longest time that a key was unavailable (s)',
            ),
            (
                'outcomes',
                {'lookup ok': 1, 'handover ok': 1, 'opening ok': 1},
                'kinds of requests without a good answer',
            ),
            (
                'acknowledged',
                {'opening': {'c8': 'x'}},
                'acknowledged records lost',
            ),
            ('acknowledged', {'upload': {'c2': 'other'}}, 'uploads lost'),
        ):
            load = {**_LOAD, field: value}
            self.assertEqual([name], self._broken(load, _ledgers()))

    def test_faults_in_the_ledgers(self):
        """Guards against a ledger that is never checked."""

        def run(ledgers, name, *entry):
            ledgers[name]['entries'].append(_entry(*entry))

        for change, name in (
            (lambda x: run(x, 'b', 'c1', 22000, 4), 'openings recorded twice'),
            (lambda x: run(x, 'b', 'c5', 1001, 1), 'keys with two owners'),
            (
                lambda x: run(x, 'a', 'c5', 15001, 3),
                'requests run in the drained failure domain',
            ),
            (
                lambda x: x['a']['entries'].pop(),
                'restored failure domain without work',
            ),
            (
                lambda x: x['a'].update(max_in_flight=5),
                'most work in flight at an upstream',
            ),
            (
                lambda x: x['a'].update(collapses=1),
                'collapses of cold upstreams',
            ),
        ):
            ledgers = copy.deepcopy(_ledgers())
            change(ledgers)
            self.assertEqual([name], self._broken(_LOAD, ledgers))
