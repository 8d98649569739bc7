"""Replays of the decisions on quotas, with 81 routers on a manual clock.

Each checks that in every window upstreams run no more requests than allowed.
"""

import random

import testtools

from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.config.organisations import Organisation
from bramleysill_kernel.discovery.freshness import CLOCK_RATE_TOLERANCE
from bramleysill_kernel.discovery.freshness import Freshness
from bramleysill_kernel.load.quota_limits import TOKEN_VALIDITY_SECONDS
from bramleysill_kernel.load.quota_limits import allowed_requests
from bramleysill_kernel.load.quota_limits import make_limit
from bramleysill_kernel.load.shared_limits import KnownRouters
from bramleysill_kernel.load.token_leases import QuotaAction
from bramleysill_kernel.load.token_owner import MAX_LIST_AGE_SECONDS
from bramleysill_kernel.load.token_owner import MAX_REMOVALS
from bramleysill_kernel.load.token_owner import TAKEOVER_WAIT_SECONDS
from bramleysill_kernel.load.token_owner import QuotaOwnership
from bramleysill_kernel.load.token_owner import TokenOwner
from tests.bounds import make_bounds
from tests.gateway_helpers import SettledRouters
from tests.quota_cell import BOUNDS
from tests.quota_cell import Config
from tests.quota_cell import QuotaCell

ROUTERS = 81
LARGE = Organisation('large', rate=158.0, burst=158.0)
# Without a burst, the validity of tokens takes most of what is allowed.
TIGHT = Organisation('tight', rate=158.0, burst=0.0)
SMALL = Organisation('small', rate=3.0, burst=6.0)
USUAL = {'large': 0.6 * 158, 'small': 0.6 * 3}
MANY = {name: 7.5 * rate for name, rate in USUAL.items()}
USUAL_LARGE = {'large': USUAL['large']}
MANY_LARGE = {'large': MANY['large']}
TIGHT_BOUNDS = make_bounds(quota_over=0.0, quota_slack=2.0)
# Until all routers may own and have a share of the fallback.
START_SECONDS = 6.0


class QuotaCellTest(testtools.TestCase):
    def make_cell(self, count=ROUTERS, organisations=(LARGE, SMALL)):
        self.cell = QuotaCell(count, *organisations)
        self.organisations = organisations
        self.cell.loop.advance(START_SECONDS)
        return self.cell

    def check_bound(self):
        for organisation in self.organisations:
            self.assertLessEqual(self.cell.excess(organisation), 0.0)

    def sent(self, name, since):
        return sum(1 for t in self.cell.sent_at[name] if t >= since)


class LoadTest(QuotaCellTest):
    def test_an_organisation_within_its_quota_is_not_refused(self):
        """Guards against tokens that lie unused at other routers."""
        many = [
            Organisation(f'small-{i}', rate=3.0, burst=6.0) for i in range(79)
        ]
        for count in (1, 3, ROUTERS):
            self.make_cell(count, (LARGE, *many))
            usual = {o.name: 0.6 * o.rate for o in self.organisations}
            self.cell.load(10.0, usual)
            self.assertEqual({QuotaAction.SEND}, set(self.cell.decisions))
            self.check_bound()

    def test_a_burst_is_bounded_and_uses_the_quota(self):
        """Guards against routers that each grant the whole rate."""
        for count in (1, 3, ROUTERS):
            for organisations in ((LARGE, SMALL), (TIGHT,)):
                cell = self.make_cell(count, organisations)
                since = cell.loop.now()
                cell.load(6.5, {o.name: 4.5 * o.rate for o in organisations})
                self.check_bound()
                for organisation in organisations:
                    quota = 6.5 * organisation.rate + organisation.burst
                    sent = self.sent(organisation.name, since)
                    self.assertGreater(sent, 0.85 * quota)

    def test_after_a_burst_the_usual_rate_is_served(self):
        """Guards against refusals that outlast their cause."""
        cell = self.make_cell()
        cell.load(6.5, MANY)
        cell.load(1.5, USUAL)
        cell.decisions.clear()
        cell.load(5.0, USUAL)
        self.assertEqual({QuotaAction.SEND}, set(cell.decisions))
        self.check_bound()

    def test_a_retry_after_the_delay_succeeds(self):
        """Guards against a Retry-After that is too short."""
        cell = self.make_cell(12, (SMALL,))
        outcomes = []
        for _ in range(100):
            cell.request('r0', 'small', outcomes)
        cell.loop.advance(0.1)
        (delay,) = {
            d.retry_after for d in outcomes if d.action is QuotaAction.REFUSE
        }
        cell.loop.advance(delay - 0.1 + 0.02)
        later = []
        cell.request('r0', 'small', later)
        cell.loop.advance(0.1)
        self.assertEqual(QuotaAction.SEND, later[0].action)

    def test_refused_requests_cost_few_messages(self):
        """Guards against an owner that a refused organisation keeps busy."""
        cell = self.make_cell(3, (SMALL,))
        before = cell.message_count
        cell.load(5.0, {'small': 2000.0})
        self.assertLess(cell.message_count - before, 2 * 5 * 3 * 10)


class OwnerTest(QuotaCellTest):
    def test_the_loss_of_an_owner(self):
        """Guards against a new owner that grants what the lost one did."""
        cell = self.make_cell()
        owner = cell.owner_of('large')
        cell.load(2.0, MANY)
        del cell.routers[owner]
        cell.load(6.0, MANY)
        cell.registered.remove(owner)
        cell.load(3.0, MANY)
        since = cell.loop.now()
        cell.load(6.0, MANY)
        self.check_bound()
        self.assertGreater(self.sent('large', since), 6.0 * 158 * 0.9)

    def test_requests_without_an_owner_use_the_fallback(self):
        """Guards against 429 for requests that may be within the quota."""
        cell = self.make_cell()
        del cell.routers[cell.owner_of('small')]
        cell.load(1.0, MANY)
        cell.loop.advance(0.2)
        cell.decisions.clear()
        since = cell.loop.now()
        cell.load(4.0, {'small': 10.0})
        self.assertGreater(self.sent('small', since), 4)
        self.assertEqual(0, cell.decisions[QuotaAction.REFUSE])
        self.check_bound()

    def test_a_partitioned_owner_while_another_takes_over(self):
        """Guards against two owners that grant at once."""
        for organisation in ('large', 'small'):
            cell = self.make_cell()
            owner = cell.owner_of(organisation)
            side = {owner, *sorted(cell.registered)[:40]}
            cell.load(5.0, USUAL)
            cell.cut(side, cell.registered - side)
            for name in side:
                cell.routers[name].in_contact = False
            # The registrations may expire at any time after the cut.
            cell.registered -= side
            cell.load(8.0, MANY)
            self.assertIsNotNone(cell.owner_of(organisation))
            for name in side:
                cell.routers[name].in_contact = True
            cell.cut_pairs.clear()
            cell.registered |= side
            cell.load(8.0, MANY)
            self.check_bound()

    def test_a_partitioned_owner_serves_its_own_callers(self):
        """Guards against an owner that trusts an old list of routers.

        All callers use the owner that was cut off and the router that takes
        over, so that the fallback is of no importance.
        """
        cell = self.make_cell(ROUTERS, (LARGE,))
        owner = cell.owner_of('large')
        cell.load(5.0, USUAL_LARGE)
        cell.routers[owner].in_contact = False
        cell.cut({owner}, cell.registered)
        cell.registered.remove(owner)
        cell.load(TAKEOVER_WAIT_SECONDS, MANY_LARGE, [owner])
        cell.loop.advance(0.2)
        successor = cell.owner_of('large')
        self.assertNotEqual(owner, successor)
        cell.load(8.0, MANY_LARGE, [owner, successor])
        self.check_bound()

    def test_a_suspended_owner(self):
        """Guards against requests that are granted after a suspension."""
        cell = self.make_cell()
        owner = cell.owner_of('large')
        cell.load(3.0, USUAL)
        cell.routers[owner].suspend()
        cell.load(3.0, MANY)
        cell.registered.remove(owner)
        cell.load(4.0, MANY)
        held = len(cell.routers[owner].held_messages)
        self.assertGreater(held, 0)
        before = len(cell.sent_at['large'])
        cell.routers[owner].resume()
        for _ in range(200):
            cell.request(owner, 'large')
        self.assertLess(len(cell.sent_at['large']) - before, 5)
        cell.load(6.0, MANY)
        self.check_bound()

    def test_a_router_that_starts_grants_nothing_at_once(self):
        """Guards against an owner that was restarted and grants a burst."""
        cell = self.make_cell()
        for _ in range(3):
            owner = cell.owner_of('large')
            cell.load(1.0, MANY)
            cell.start_router(owner)
            cell.load(TAKEOVER_WAIT_SECONDS - 0.1, MANY)
            self.assertIsNone(cell.owner_of('large'))
            cell.load(0.5, MANY)
        self.check_bound()

    def test_routers_that_join(self):
        """Guards against two owners while the list of routers changes."""
        cell = self.make_cell(27)
        cell.load(2.0, MANY)
        for index in range(27, ROUTERS):
            cell.start_router(f'r{index}')
            cell.load(0.1, MANY)
        cell.load(6.0, MANY)
        self.check_bound()

    def test_routers_with_different_lists(self):
        """Guards against two owners while some have the former list."""
        cell = self.make_cell(27)
        for name in sorted(cell.registered)[:13]:
            cell.routers[name].in_contact = False
        for index in range(27, ROUTERS):
            cell.start_router(f'r{index}')
        cell.load(6.0, MANY)
        for router in cell.routers.values():
            router.in_contact = True
        cell.load(6.0, MANY)
        self.check_bound()

    def test_a_restored_store_starts_the_wait_again(self):
        """Guards against owners by a list that the store has lost."""
        cell = self.make_cell(3)
        for router in cell.routers.values():
            router.store_era = 2
        cell.loop.advance(TAKEOVER_WAIT_SECONDS - 0.1)
        self.assertIsNone(cell.owner_of('large'))
        cell.loop.advance(0.3)
        self.assertIsNotNone(cell.owner_of('large'))


class RandomFaultsTest(QuotaCellTest):
    def test_any_order_of_faults_keeps_the_bound(self):
        """Guards against two owners by faults that no other test combines."""
        for seed in range(8):
            rng = random.Random(seed)
            self.organisations = (LARGE, SMALL)
            count = rng.choice((2, 3, 6, 12))
            cell = self.cell = QuotaCell(count, *self.organisations, seed=seed)
            for _ in range(20):
                self._inject_fault(rng, rng.choice(sorted(cell.routers)))
                if not any(r.running for r in cell.routers.values()):
                    cell.routers['r0'].resume()
                load = rng.choice((0.05, 0.6, 5.0))
                rates = {o.name: load * o.rate for o in self.organisations}
                cell.load(rng.uniform(0.3, 2.0), rates)
            self.check_bound()

    def _inject_fault(self, rng, name):
        cell = self.cell
        router = cell.routers[name]
        names = sorted(cell.routers)
        fault = rng.randrange(7)
        if fault == 0:
            router.in_contact = not router.in_contact
        elif fault == 1:
            if router.running:
                router.suspend()
            else:
                router.resume()
        elif fault == 2:
            # A registration may expire at any time.
            cell.registered ^= {name}
        elif fault == 3:
            side = set(rng.sample(names, rng.randint(1, len(names))))
            cell.cut(side, set(names) - side)
        elif fault == 4:
            cell.cut_pairs.clear()
        elif fault == 5:
            cell.start_router(name)
        else:
            router.store_era += 1


class OwnershipTest(testtools.TestCase):
    """One router that is alone, so that it owns everything."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.routers = SettledRouters(self.clock)
        self.routers.add('r0')
        self.freshness = Freshness(self.clock)
        self.ownership = QuotaOwnership(
            self.clock, 'r0', self.routers, self.freshness
        )
        self.owner = TokenOwner(self.clock, self.ownership)
        self.limit = make_limit(10.0, 20.0, BOUNDS)

    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            self.freshness.note_store_reply(self.clock.now())
            self.ownership.update(1)

    def granted(self, wanted=100):
        self.ownership.update(1)
        grant = self.owner.take('acme', self.limit, wanted, wanted)
        return None if grant is None else grant.granted

    def test_a_new_owner_waits_and_starts_with_an_empty_bucket(self):
        """Guards against a burst that the former owner has granted too."""
        self.pass_time(2.0)
        self.assertIsNone(self.granted())
        self.pass_time(0.3)
        self.assertLess(self.granted(), 4)

    def test_an_owner_that_was_idle_has_a_full_bucket(self):
        """Guards against a bucket that fills only from the first request."""
        self.pass_time(30.0)
        self.assertGreaterEqual(self.granted(), 20)

    def test_without_evidence_nothing_is_granted(self):
        """Guards against an owner that has never read the list."""
        for _ in range(50):
            self.clock.advance(0.1)
            self.assertIsNone(self.granted())

    def test_an_old_list_ends_the_ownership(self):
        """Guards against an owner that can't know of its successor."""
        self.pass_time(5.0)
        self.clock.advance(1.4)
        self.assertIsNotNone(self.granted())
        self.clock.advance(0.2)
        self.assertIsNone(self.granted())
        self.assertFalse(self.ownership.is_active)
        self.pass_time(2.0)
        self.assertIsNone(self.granted())

    def test_an_ageing_list_is_read_before_it_is_too_old(self):
        """Guards against owners that all stop when the leader is lost."""
        self.pass_time(5.0)
        reads = []
        for _ in range(14):
            self.clock.advance(0.1)
            if self.ownership.must_read_list():
                reads.append(self.clock.now())
                self.freshness.note_store_reply(self.clock.now() - 0.1)
            self.ownership.update(1)
            self.assertTrue(self.ownership.is_active)
        self.assertEqual(1, len(reads))
        self.clock.advance(9.0)
        self.assertTrue(self.ownership.must_read_list())
        self.assertFalse(self.ownership.must_read_list())
        self.clock.advance(0.5)
        self.assertTrue(self.ownership.must_read_list())

    def test_a_gap_that_no_decision_has_seen(self):
        """Guards against an owner that goes on after a suspension.

        The list is read again before the first decision.
        """
        self.pass_time(30.0)
        self.assertEqual(1, self.granted(1))
        self.clock.advance(3.0)
        self.freshness.note_store_reply(self.clock.now())
        self.assertIsNone(self.granted())
        self.pass_time(2.0)
        self.assertIsNone(self.granted())
        self.pass_time(0.3)
        self.assertLess(self.granted(), 4)

    def test_a_router_without_a_registration_owns_nothing(self):
        """Guards against an owner that the others don't know."""
        self.pass_time(5.0)
        self.routers.remove('r0')
        self.assertIsNone(self.granted())

    def test_the_clocks_of_two_owners_may_differ(self):
        """Guards against lengths that only fit clocks of the same rate.

        The former owner learns of the change by a list that is too old, on a
        slow clock, and the new one at once, on a fast clock.
        """
        last = MAX_LIST_AGE_SECONDS / (1.0 - CLOCK_RATE_TOLERANCE)
        first = TAKEOVER_WAIT_SECONDS / (1.0 + CLOCK_RATE_TOLERANCE)
        self.assertLess(last, first)

    def test_a_registration_that_expired_in_an_outage(self):
        """Guards against a router that owns while it is counted only."""
        routers = KnownRouters(self.clock)
        routers.add('r0')
        ownership = QuotaOwnership(self.clock, 'r0', routers, self.freshness)
        self.ownership = ownership
        self.owner = TokenOwner(self.clock, ownership)
        self.pass_time(5.0)
        self.assertIsNotNone(self.granted())
        routers.note_store_recovered()
        routers.remove('r0')
        self.assertEqual(['r0'], routers.running_names())
        self.assertIsNone(self.granted())

    def test_a_router_that_stops_owns_nothing(self):
        """Guards against grants after the registration has ended."""
        self.pass_time(5.0)
        self.ownership.stop()
        self.assertIsNone(self.granted())
        self.pass_time(5.0)
        self.assertIsNone(self.granted())

    def test_a_removed_router_that_ranked_first(self):
        """Guards against a successor that does not wait.

        Other organisations of the successor are granted all the time.
        """
        self.routers.add('r1')
        self.pass_time(5.0)
        names = [f'org-{i}' for i in range(40)]
        first = {n: self.ownership.ranking.first(n) for n in names}
        self.routers.remove('r1')
        self.pass_time(1.9)
        for name, router in first.items():
            since = self.ownership.granting_since(name)
            self.assertEqual(router == 'r0', since is not None)
        self.pass_time(0.3)
        for name in names:
            self.assertIsNotNone(self.ownership.granting_since(name))

    def test_many_removals_are_remembered_or_waited_for(self):
        """Guards against a removal that is forgotten too early."""
        self.pass_time(5.0)
        for index in range(2 * MAX_REMOVALS):
            self.routers.add(f'x{index}')
            self.ownership.update(1)
            self.routers.remove(f'x{index}')
            self.ownership.update(1)
        self.assertIsNone(self.granted())
        self.pass_time(2.2)
        self.assertIsNotNone(self.granted())


class LimitTest(testtools.TestCase):
    def test_the_sources_together_keep_the_bound(self):
        """Guards against fallback shares on top of a full rate.

        The sum is of the largest grants in a window and the validity of
        tokens before it, by a fast clock, and of all fallback shares.
        """
        for rate in (0.01, 0.5, 3.0, 20.0, 158.0, 5000.0):
            for burst in (0.0, 1.0, rate, 10 * rate):
                for bounds in (BOUNDS, TIGHT_BOUNDS):
                    limit = make_limit(rate, burst, bounds)
                    seconds = bounds.quota_window + TOKEN_VALIDITY_SECONDS
                    most = limit.capacity + limit.rate * seconds * 1.02
                    self.assertLessEqual(
                        most + limit.fallback,
                        allowed_requests(rate, burst, bounds) + 1e-6,
                    )
                    self.assertLessEqual(limit.rate, rate)

    def test_most_of_the_rate_is_granted(self):
        """Guards against a division that takes the quota of callers."""
        for rate, burst in ((3.0, 0.0), (3.0, 6.0), (158.0, 158.0)):
            limit = make_limit(rate, burst, BOUNDS)
            self.assertEqual(rate, limit.rate)
            self.assertGreaterEqual(limit.capacity, burst)
        self.assertGreater(make_limit(158.0, 0.0, BOUNDS).rate, 158 * 0.95)


class ReplyTest(QuotaCellTest):
    def setUp(self):
        super().setUp()
        self.make_cell(12)
        self.owner = self.cell.owner_of('large')
        self.asking = next(r for r in self.cell.routers if r != self.owner)

    def test_a_late_reply_is_not_used(self):
        """Guards against tokens that count in an earlier window."""
        self.cell.reply_delay = 0.4
        outcomes = []
        self.cell.request(self.asking, 'large', outcomes)
        self.cell.loop.advance(0.16)
        self.assertEqual(1, len(outcomes))
        self.cell.loop.advance(1.0)
        self.assertEqual(1, len(outcomes))
        self.cell.reply_delay = 0.002
        later = []
        self.cell.request(self.asking, 'large', later)
        self.assertEqual([], later)
        self.cell.loop.advance(0.01)
        self.assertEqual(QuotaAction.SEND, later[0].action)

    def test_a_lost_reply_delays_few_requests(self):
        """Guards against requests that all wait for the reply timeout."""
        self.cell.cut({self.owner}, self.cell.registered)
        outcomes = []
        for _ in range(20):
            self.cell.request(self.asking, 'large', outcomes)
        self.assertEqual([], outcomes)
        self.cell.loop.advance(0.16)
        self.assertEqual(20, len(outcomes))
        self.cell.request(self.asking, 'large', outcomes)
        self.assertEqual(21, len(outcomes))
        self.assertNotIn(QuotaAction.REFUSE, {d.action for d in outcomes})

    def test_a_request_that_has_ended_leaves_its_token(self):
        """Guards against tokens that are lost with their callers."""
        quotas = self.cell.routers[self.asking].quotas
        left = []
        waiter = quotas.ask('large', left.append)
        quotas.cancel(waiter)
        self.cell.loop.advance(0.01)
        self.assertEqual([], left)
        outcomes = []
        self.cell.request(self.asking, 'large', outcomes)
        self.assertEqual(QuotaAction.SEND, outcomes[0].action)

    def test_a_token_that_was_given_back_is_used_once(self):
        """Guards against a token that counts for two requests."""
        quotas = self.cell.routers[self.asking].quotas
        outcomes = []
        self.cell.request(self.asking, 'large', outcomes)
        self.cell.loop.advance(0.01)
        quotas.give_back('large', outcomes[0].token)
        self.cell.request(self.asking, 'large', outcomes)
        self.assertEqual(2, len(outcomes))
        self.cell.request(self.asking, 'large', outcomes)
        self.assertEqual(2, len(outcomes))

    def test_a_token_expires(self):
        """Guards against tokens that are used in a later window."""
        quotas = self.cell.routers[self.asking].quotas
        outcomes = []
        self.cell.request(self.asking, 'large', outcomes)
        self.cell.loop.advance(0.01)
        quotas.give_back('large', outcomes[0].token)
        self.cell.loop.advance(0.5)
        self.cell.request(self.asking, 'large', outcomes)
        self.assertEqual(1, len(outcomes))


class ConfigurationTest(QuotaCellTest):
    def test_a_lowered_limit(self):
        """Guards against tokens of a former limit."""
        cell = self.make_cell()
        lowered = Organisation('large', rate=10.0, burst=5.0)
        cell.load(3.0, MANY)
        written_at = cell.loop.now()
        config = Config(lowered, SMALL)
        for router in cell.routers.values():
            cell.loop.call_at(
                written_at + cell.rng.uniform(0.0, 2.5),
                lambda r=router: setattr(r, 'config', config),
            )
        cell.load(10.0, MANY)
        self.assertLessEqual(cell.excess(lowered, written_at + 2.5), 0.0)
        since = cell.loop.now()
        cell.load(5.0, MANY)
        self.assertGreater(self.sent('large', since), 45)

    def test_a_raised_limit(self):
        """Guards against a limit that applies until a restart."""
        cell = self.make_cell()
        cell.load(2.0, MANY)
        raised = Organisation('small', rate=30.0, burst=30.0)
        for router in cell.routers.values():
            router.config = Config(LARGE, raised)
        since = cell.loop.now()
        cell.load(6.0, {'small': 100.0})
        self.assertGreater(self.sent('small', since), 6.0 * 30 * 0.85)
        self.assertLessEqual(cell.excess(raised), 0.0)

    def test_without_limits_the_store_is_not_called(self):
        """Guards against calls for cells without limits."""
        for organisations in ((), (Organisation('free'),), (SMALL,)):
            cell = self.make_cell(3, organisations)
            for router in cell.routers.values():
                router.in_contact = False
            cell.loop.advance(3.0)
            reads = sum(r.reads for r in cell.routers.values())
            self.assertEqual(SMALL in organisations, reads > 0)

    def test_removed_limits_leave_no_state(self):
        """Guards against memory that grows with each configuration."""
        unlimited = Organisation('small')
        for config in (Config(), Config(unlimited), Config(LARGE)):
            cell = self.make_cell(3, (SMALL,))
            cell.load(1.0, {'small': 20.0})
            outcomes = []
            for name in cell.routers:
                cell.request(name, 'small', outcomes)
            for router in cell.routers.values():
                router.config = config
            cell.loop.advance(0.2)
            self.assertEqual(3, len(outcomes))
            for router in cell.routers.values():
                quotas = router.quotas._quotas
                self.assertEqual((0, 0), quotas.counts())
                self.assertFalse(router.quotas.has_limit('small'))
                self.assertNotIn('small', quotas._limits)

    def test_idle_organisations_leave_no_state(self):
        """Guards against memory for each organisation ever in use."""
        cell = self.make_cell(3)
        cell.load(1.0, USUAL)
        cell.loop.advance(10.0)
        for router in cell.routers.values():
            router.quotas.sweep()
            self.assertEqual((0, 0), router.quotas._quotas.counts())

    def test_an_unknown_organisation_of_a_message_leaves_no_state(self):
        """Guards against state that any peer can add."""
        cell = self.make_cell(3)
        router = cell.routers['r0']
        quotas = router.quotas._quotas
        for index in range(100):
            self.assertIsNone(quotas.grant(f'x{index}', 1, 1 << 31))
        self.assertEqual((0, 0), quotas.counts())
        self.assertNotIn('x1', quotas.ownership.ranking._first)

    def test_malformed_numbers_of_a_reply(self):
        """Guards against a reply that gives tokens nobody has asked for."""
        cell = self.make_cell(12)
        owner = cell.owner_of('large')
        asking = next(r for r in cell.routers if r != owner)
        for delay in (float('nan'), float('inf'), -5.0):
            outcomes = []
            quotas = cell.routers[asking].quotas._quotas
            waiter = object()
            self.assertIsNone(quotas.request('large', waiter))
            request = quotas.next_request('large')
            outcomes = quotas.on_reply(request, 1 << 31, delay)
            self.assertEqual(1, len(outcomes))
            self.assertEqual([], quotas._leases['large']._stock)
            cell.loop.advance(1.0)
