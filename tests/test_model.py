"""Runs the kernel along random traces of the models in `model`."""

import itertools
import random

import testtools

from bramleysill_kernel.common import clock as clock_module
from bramleysill_kernel.common import effects
from bramleysill_kernel.units import grants
from bramleysill_kernel.units import ownership
from bramleysill_kernel.units import tables
from model import __main__ as checks
from model import protocol
from tests import fakes

NAMES = ('a', 'b')
UNIT = '0'
TABLE_KEY = tables.table_key('c', 's')
RANDOM_WALKS = 60
STEPS_PER_WALK = 60
MAX_CHECKED_STATES = 20_000


def _table():
    table = ownership.OwnershipTable('s', 1)
    table.assign(UNIT, NAMES[0])
    return table


class _KernelDriver:
    """Performs the actions of the model on the kernel's objects."""

    def __init__(self):
        self.clock = clock_module.ManualClock(10.0)
        self.store = fakes.FakeStore(self.clock)
        self.store.put(TABLE_KEY, _table().encode())
        self.ops = itertools.count(1)
        self.repositories = [None, None]
        self.pending_calls = [[], []]
        self.grants = [grants.GrantTable('e') for _ in NAMES]
        self.expiry_ms = 1000

    def reply_to_store_calls(self, i, pending):
        """Pass the store's replies back until no call is pending."""
        while pending:
            effect = pending.pop(0)
            reply = self.store.call(NAMES[i], effect)
            pending += self.repositories[i].on_store_reply(effect.op, reply)

    def step(self, label, before, after):
        """Perform one action of the model in the kernel.

        Actions without a method here concern other parts of the product.
        """
        action, _, index = label.partition(' ')
        handler = getattr(self, '_' + action, None)
        if handler is not None:
            handler(int(index), before, after)

    def _seal(self, i, before, after):
        repository = tables.TableRepository(
            'c',
            after.term[i],
            f'{NAMES[i]}{after.term[i]}',
            self.clock,
            self.ops,
        )
        self.repositories[i] = repository
        repository.adopt('s', _table)
        self.reply_to_store_calls(i, repository.tick())

    def _move(self, i, before, after):
        table = self.repositories[i].get('s').copy()
        table.assign(UNIT, NAMES[after.pending_write[i][1]])
        self.pending_calls[i] = self.repositories[i].write(table)

    def _write_takes_effect(self, i, before, after):
        pending, self.pending_calls[i] = self.pending_calls[i], []
        self.reply_to_store_calls(i, pending)

    def _answer_lost(self, i, before, after):
        effect = self.pending_calls[i].pop()
        if after.table_version > before.table_version:
            self.store.call(NAMES[i], effect)
        unknown = effects.StoreEffectReply(effect.op, effects.RESULT_UNKNOWN)
        self.repositories[i].on_store_reply(effect.op, unknown)

    def _read_back(self, i, before, after):
        self.clock.advance(tables.RETRY_DELAY_SECONDS * 2)
        (read,) = self.repositories[i].tick()
        reply = self.store.call(NAMES[i], read)
        self.pending_calls[i] = self.repositories[i].on_store_reply(
            read.op, reply
        )

    def _take_grant(self, u, before, after):
        self.expiry_ms += 1
        fence = before.buffered_fence[u]
        body = {
            'generation': [1, 1],
            'until_clock_ms': self.expiry_ms,
            'epoch': 'e',
            'units': {UNIT: fence},
        }
        if not self.grants[u].barred(body['units']):
            self.grants[u].apply(body, 0)

    def _release(self, u, before, after):
        self.grants[u].release(UNIT, after.stopped_fence[u])

    def _grant_expires(self, u, before, after):
        if before.granted_fence[u] and not after.granted_fence[u]:
            self.grants[u].units = {}


class ModelTest(testtools.TestCase):
    def test_kernel_follows_the_model(self):
        """Guards against a kernel that deviates from the checked model."""
        actions = set()
        for seed in range(RANDOM_WALKS):
            rng = random.Random(seed)
            model = protocol.make_model('lost_answers')
            kernel = _KernelDriver()
            raw = model.initial
            for _ in range(STEPS_PER_WALK):
                successors = model.transitions(raw)
                if not successors:
                    break
                label, successor = rng.choice(successors)
                if label.startswith('write_conflicts'):
                    break
                before = protocol.State(*raw)
                after = protocol.State(*successor)
                kernel.step(label, before, after)
                actions.add(label.split()[0])
                raw = successor
                self._compare(kernel, after, f'seed {seed}, {label}')
        self.assertIn('answer_lost', actions)
        self.assertIn('read_back', actions)

    def _compare(self, kernel, state, where):
        table = ownership.OwnershipTable.decode(
            kernel.store.values[TABLE_KEY], 1
        )
        held = table.get(UNIT)
        self.assertEqual(
            (NAMES[state.owner], state.fence), (held.owner, held.fence), where
        )
        for u in (0, 1):
            fence = kernel.grants[u].units.get(UNIT, 0)
            self.assertEqual(state.granted_fence[u], fence, where)

    def test_every_action_is_mapped(self):
        """Guards against an action that `ACTIONS` maps to no function."""
        model = protocol.make_model('configuration')
        labels = set()
        raw = model.initial
        rng = random.Random(1)
        for _ in range(2000):
            successors = model.transitions(raw)
            labels.update(label.split()[0] for label, _ in successors)
            raw = rng.choice(successors)[1] if successors else model.initial
        self.assertEqual(set(), labels - set(protocol.ACTIONS))

    def test_mutations_are_refuted(self):
        """Guards against a model whose invariants no fault can violate."""
        original = checks.MAX_MUTATION_STATES
        self.addCleanup(setattr, checks, 'MAX_MUTATION_STATES', original)
        checks.MAX_MUTATION_STATES = MAX_CHECKED_STATES
        for check in checks.list_checks():
            # Its counterexample needs more than MAX_CHECKED_STATES states.
            too_large = check[2] == 'stands_despite_promise'
            if check[0] == checks.MUTATION and not too_large:
                self.assertTrue(checks.run_check(check)[1], str(check))


class RangeProtocolTest(testtools.TestCase):
    def test_keys_have_one_holder_and_every_rule_is_needed(self):
        """Guards against two owners of a key after a move or a takeover.

        Each mutation leaves out one rule of the protocol. The check must
        then find the state in which two upstreams hold the keys.
        """
        for check in checks.list_range_checks():
            _, passed, line = checks.run_check(check)
            self.assertTrue(passed, f'{check}: {line}')
