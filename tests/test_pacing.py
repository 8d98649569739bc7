"""Tests of the routers' agreement on the limit of an upstream."""

import testtools

from bramleysill_gateway.pacing import REPLY_TIMEOUT_SECONDS
from bramleysill_gateway.pacing import Pacing
from bramleysill_kernel.common import messages
from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.common.hashing import rendezvous_score
from bramleysill_kernel.load.named_limits import NamedLimits
from bramleysill_kernel.load.rate_pacer import RatePacer
from bramleysill_kernel.load.rate_pacer import pacing_router
from bramleysill_kernel.load.shared_limits import REGISTRATION_WAIT_SECONDS
from bramleysill_kernel.load.shared_limits import KnownRouters
from tests.gateway_helpers import SettledRouters
from tests.store_fakes import ManualLoop

LIMIT = 5.0
WINDOW_SECONDS = 4.0
LINK_DELAY_SECONDS = 0.001


class _Entry:
    upstream = 'u1'
    incarnation = 1


class _Links:
    """Links of one router in memory; a cut router gets no messages."""

    def __init__(self, cell, name):
        self.cell = cell
        self.name = name

    def update_addresses(self, members):
        pass

    def send(self, router, message):
        self.cell.deliver(self.name, router, message)
        return True

    def broadcast(self, message):
        for router in self.cell.pacings:
            if router != self.name:
                self.cell.deliver(self.name, router, message)


class _Link:
    def __init__(self, links, router):
        self.links = links
        self.router = router

    def send(self, message):
        self.links.send(self.router, message)


class _Cell:
    """Several routers with links in memory, and one upstream.

    `list_of(name)` returns the routers that a router knows; by default all.
    """

    def __init__(self, count, list_of=None, make_routers=SettledRouters):
        self.loop = ManualLoop()
        self.names = [f'r{i}' for i in range(count)]
        self.cut = set()
        self.pacings = {}
        self.limits = {}
        self.sent_at = []
        self.messages = 0
        for name in self.names:
            routers = make_routers(self.loop)
            for other in list_of(name) if list_of else self.names:
                routers.add(other, other)
            self.limits[name] = NamedLimits(self.loop)
            pacing = Pacing(self.loop, name, routers, self.limits[name])
            pacing.links = _Links(self, name)
            self.pacings[name] = pacing

    def deliver(self, sender, receiver, message):
        self.messages += 1
        if sender in self.cut or receiver in self.cut:
            return

        def arrive():
            pacing = self.pacings[receiver]
            if isinstance(message, messages.PaceRequest):
                link = _Link(_Links(self, receiver), sender)
                pacing.on_request(link, message)
            elif isinstance(message, messages.PaceReply):
                pacing.on_reply(message)
            else:
                pacing.on_reports(message)

        self.loop.call_at(self.loop.now() + LINK_DELAY_SECONDS, arrive)

    def tell(self, *names):
        for name in names:
            self.limits[name].observe('u1', 1, LIMIT)

    def request(self, name, max_wait=0.0):
        decisions = []

        def decide(decision):
            decisions.append(decision)
            if decision.permitted:
                self.sent_at.append(self.loop.now() + decision.delay)

        self.pacings[name].ask(_Entry, max_wait, decide)
        return decisions

    def most_in_window(self):
        times = sorted(self.sent_at)
        return max(
            sum(1 for t in times if start <= t < start + WINDOW_SECONDS)
            for start in times
        )


def _just_started(clock):
    """Return the routers that a process knows which reaches the store now."""
    routers = KnownRouters(clock)
    routers.note_store_recovered()
    return routers


class RatePacerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.pacer = RatePacer(self.clock)

    def test_requests_that_may_wait_are_spread_evenly(self):
        """Guards against bursts after the first request."""
        delays = [self.pacer.take(4.0, 1.0).delay for _ in range(4)]
        self.assertEqual([0.0, 0.25, 0.5, 0.75], delays)

    def test_a_request_that_would_wait_too_long_takes_no_place(self):
        """Guards against refused requests that delay later ones."""
        self.pacer.take(4.0, 0.0)
        for _ in range(5):
            decision = self.pacer.take(4.0, 0.1)
            self.assertFalse(decision.permitted)
            self.assertEqual(0.25, decision.delay)
        self.clock.advance(0.25)
        self.assertTrue(self.pacer.take(4.0, 0.0).permitted)

    def test_a_new_pacer_permits_no_burst(self):
        """Guards against a burst of each router that paces in turn."""
        permitted = [self.pacer.take(40.0, 0.0).permitted for _ in range(9)]
        self.assertEqual([True] + [False] * 8, permitted)
        self.clock.advance(1.0)
        permitted = [self.pacer.take(40.0, 0.0).permitted for _ in range(20)]
        self.assertEqual(10, sum(permitted))

    def test_a_limit_of_zero_permits_nothing(self):
        """Guards against a division by a limit of 0."""
        self.assertFalse(self.pacer.take(0.0, 9.0).permitted)


def _load(cell, seconds, per_second=20, max_wait=0.0):
    step = 1.0 / per_second
    for index in range(int(seconds * per_second)):
        cell.request(cell.names[index % len(cell.names)], max_wait)
        cell.loop.advance(step)


class DifferentListsTest(testtools.TestCase):
    """Routers that know different routers, as after a restore."""

    def test_a_router_that_is_not_first_does_not_pace(self):
        """Guards against two routers that pace one upstream."""
        ranked = sorted(
            (f'r{i}' for i in range(12)),
            key=lambda name: rendezvous_score(name, 'u1'),
        )
        unaware = ranked[6:]

        def list_of(name):
            return ranked[1:] if name in unaware else ranked

        cell = _Cell(12, list_of)
        cell.tell(*cell.names)
        _load(cell, 9.0, max_wait=0.2)
        self.assertLessEqual(cell.most_in_window(), LIMIT * WINDOW_SECONDS)
        self.assertGreaterEqual(len(cell.sent_at), 0.75 * 9.0 * LIMIT)

    def test_routers_that_know_only_themselves_have_no_share(self):
        """Guards against a share of the limit for each of them."""
        cell = _Cell(12, lambda name: [name], _just_started)
        cell.tell(*cell.names)
        _load(cell, REGISTRATION_WAIT_SECONDS - 0.1, per_second=60)
        self.assertEqual([], cell.sent_at)

    def test_lists_of_routers_that_have_ended_give_no_share(self):
        """Guards against shares by the routers of an older copy."""
        cell = _Cell(12, lambda name: [name, 'old-1', 'old-2'], _just_started)
        cell.cut.update(('old-1', 'old-2'))
        cell.tell(*cell.names)
        _load(cell, REGISTRATION_WAIT_SECONDS - 0.1, per_second=60)
        self.assertEqual([], cell.sent_at)

    def test_a_router_that_has_just_started_asks_the_pacing_router(self):
        """Guards against refusals although the pacing router has room."""
        first = pacing_router('u1', [f'r{i}' for i in range(12)])
        cell = _Cell(12)
        name = next(n for n in cell.names if n != first)
        routers = _just_started(cell.loop)
        for other in cell.names:
            routers.add(other, other)
        cell.pacings[name]._routers = routers
        cell.tell(*cell.names)
        for _ in range(28):
            cell.request(name, max_wait=0.2)
            cell.loop.advance(0.1)
        self.assertGreaterEqual(len(cell.sent_at), 0.75 * 2.8 * LIMIT)

    def test_routers_that_start_together_use_the_limit(self):
        """Guards against a pacing router that waits to be sure of its list."""
        cell = _Cell(12, make_routers=_just_started)
        cell.tell(*cell.names)
        _load(cell, 2.8, max_wait=0.2)
        self.assertGreaterEqual(len(cell.sent_at), 0.75 * 2.8 * LIMIT)
        self.assertLessEqual(len(cell.sent_at), 2.8 * LIMIT)
        first = pacing_router('u1', cell.names)
        cell.loop.advance(0.15)
        decisions = cell.request(first, max_wait=0.2)
        cell.loop.advance(0.01)
        self.assertTrue(decisions[0].permitted)


class PacingTest(testtools.TestCase):
    def test_all_routers_together_keep_the_limit(self):
        """Guards against LIMIT by routers that each apply the whole limit."""
        for count in (1, 12, 64):
            cell = _Cell(count)
            cell.tell(*cell.names)
            _load(cell, 9.0)
            self.assertLessEqual(cell.most_in_window(), LIMIT * WINDOW_SECONDS)

    def test_most_of_the_limit_is_used_by_any_number_of_routers(self):
        """Guards against shares so small that callers are refused."""
        for count in (1, 12, 64):
            cell = _Cell(count)
            cell.tell(*cell.names)
            _load(cell, 8.0, max_wait=0.2)
            self.assertGreaterEqual(len(cell.sent_at), 0.75 * 8.0 * LIMIT)

    def test_the_limit_holds_without_the_pacing_router(self):
        """Guards against LIMIT while the pacing router is cut off."""
        cell = _Cell(12)
        cell.tell(*cell.names)
        cell.cut.add(pacing_router('u1', cell.names))
        _load(cell, 9.0)
        self.assertLessEqual(cell.most_in_window(), LIMIT * WINDOW_SECONDS)
        self.assertGreaterEqual(len(cell.sent_at), 3)

    def test_a_silent_pacing_router_delays_few_requests(self):
        """Guards against requests that all wait for the reply timeout."""
        cell = _Cell(12)
        cell.tell(*cell.names)
        pacer = pacing_router('u1', cell.names)
        other = next(n for n in cell.names if n != pacer)
        cell.cut.add(pacer)
        first = cell.request(other)
        self.assertEqual([], first)
        cell.loop.advance(REPLY_TIMEOUT_SECONDS)
        self.assertEqual(1, len(first))
        self.assertEqual(1, len(cell.request(other)))

    def test_a_new_pacing_router_keeps_the_limit(self):
        """Guards against two full rates when the pacing router changes."""
        cell = _Cell(12)
        cell.tell(*cell.names)
        _load(cell, 3.0)
        pacer = pacing_router('u1', cell.names)
        for name, pacing in cell.pacings.items():
            if name != pacer:
                pacing._routers.remove(pacer)
        _load(cell, 3.0)
        self.assertLessEqual(cell.most_in_window(), LIMIT * WINDOW_SECONDS)

    def test_the_leader_tells_all_routers(self):
        """Guards against routers that send more until they are told."""
        cell = _Cell(5)
        cell.tell('r3')
        for _ in range(2):
            for pacing in cell.pacings.values():
                pacing.exchange_reports('r0')
            cell.loop.advance(0.1)
        for name in cell.names:
            self.assertEqual(LIMIT, cell.limits[name].rate('u1', 1))
