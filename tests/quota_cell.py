"""Several routers that keep quotas, with links and a store in memory."""

import collections
import random

from bramleysill_gateway.quotas import Quotas
from bramleysill_kernel.common import messages
from bramleysill_kernel.config.organisations import OrganisationTable
from bramleysill_kernel.discovery.freshness import Freshness
from bramleysill_kernel.load.quota_limits import allowed_requests
from bramleysill_kernel.load.token_leases import QuotaAction
from bramleysill_router.metrics import Metrics
from tests.bounds import make_bounds
from tests.gateway_helpers import SettledRouters
from tests.store_fakes import ManualLoop

BOUNDS = make_bounds()
LINK_DELAY_SECONDS = 0.002
TICK_SECONDS = 0.1


class Config:
    """The part of a RoutingConfig that quotas use."""

    def __init__(self, *organisations):
        self.organisations = OrganisationTable(organisations, {})


class _Settings:
    bounds = BOUNDS

    def __init__(self, name):
        self.name = name


class Router:
    """One router; it reads the list of routers while `in_contact`."""

    def __init__(self, cell, name):
        self.cell = cell
        self.name = name
        self.config = cell.config
        self.store_era = 1
        self.in_contact = True
        self.running = True
        self.held_messages = []
        self.reads = 0
        self.routers = SettledRouters(cell.loop)
        self.freshness = Freshness(cell.loop)
        self.quotas = Quotas(
            cell.loop, _Settings(name), self, self.freshness, Metrics()
        )
        self.quotas.links = self

    def tick(self):
        if not self.running:
            return
        if self.in_contact:
            for name in self.cell.registered - set(
                self.routers.running_names()
            ):
                self.routers.add(name, name)
            for name in (
                set(self.routers.running_names()) - self.cell.registered
            ):
                self.routers.remove(name)
            self.freshness.note_store_reply(self.cell.loop.now())
        self.quotas.tick()

    def read_routers(self):
        self.reads += 1

    def suspend(self):
        """Stop; messages are handled when the router goes on."""
        self.running = False

    def resume(self):
        self.running = True
        held, self.held_messages = self.held_messages, []
        for sender, message in held:
            self.receive(sender, message)

    # The links of the router.

    def update_addresses(self, members):
        pass

    def send(self, router, message):
        return self.cell.deliver(self.name, router, message)

    def receive(self, sender, message):
        if not self.running:
            self.held_messages.append((sender, message))
        elif isinstance(message, messages.QuotaRequest):
            self.quotas.on_request(_Link(self, sender), message)
        else:
            self.quotas.on_reply(message)


class _Link:
    def __init__(self, router, peer):
        self.router = router
        self.peer = peer

    def send(self, message):
        self.router.send(self.peer, message)


class QuotaCell:
    """Routers r0, r1, ... that know each other from a store in memory."""

    def __init__(self, count, *organisations, seed=1):
        self.loop = ManualLoop()
        self.rng = random.Random(seed)
        self.config = Config(*organisations)
        self.registered = {f'r{i}' for i in range(count)}
        self.routers = {}
        # Pairs of routers without a link, and the delay of replies.
        self.cut_pairs = set()
        self.reply_delay = LINK_DELAY_SECONDS
        self.message_count = 0
        # By organisation, when its requests were sent to upstreams.
        self.sent_at = collections.defaultdict(list)
        self.decisions = collections.Counter()
        for name in sorted(self.registered):
            self.start_router(name)
        self._tick()

    def start_router(self, name):
        self.registered.add(name)
        self.routers[name] = Router(self, name)

    def _tick(self):
        for router in list(self.routers.values()):
            router.tick()
        self.loop.call_at(self.loop.now() + TICK_SECONDS, self._tick)

    def deliver(self, sender, receiver, message):
        self.message_count += 1
        if receiver not in self.routers or sender not in self.routers:
            return True
        if frozenset((sender, receiver)) in self.cut_pairs:
            return True
        is_reply = isinstance(message, messages.QuotaReply)
        delay = self.reply_delay if is_reply else LINK_DELAY_SECONDS

        def arrive():
            if receiver in self.routers:
                self.routers[receiver].receive(sender, message)

        self.loop.call_at(self.loop.now() + delay, arrive)
        return True

    def cut(self, side, other):
        """Cut the links between two groups of routers."""
        self.cut_pairs.update(
            frozenset((a, b)) for a in side for b in other if a != b
        )

    def owner_of(self, organisation):
        """Return the name of the router that owns an organisation."""
        for router in self.routers.values():
            ownership = router.quotas._quotas.ownership
            if ownership.granting_since(organisation) is not None:
                return router.name
        return None

    def request(self, router, organisation, outcomes=None):
        def decide(decision):
            if outcomes is not None:
                outcomes.append(decision)
            self.decisions[decision.action] += 1
            if decision.action is QuotaAction.SEND:
                self.sent_at[organisation].append(self.loop.now())

        self.routers[router].quotas.ask(organisation, decide)

    def load(self, seconds, rates, routers=None):
        """Send requests at random times to random running routers.

        `rates` are in requests/s by organisation.
        """
        end = self.loop.now() + seconds
        for organisation, rate in rates.items():
            at = self.loop.now()
            while (at := at + self.rng.expovariate(rate)) < end:
                self.loop.call_at(
                    at, lambda o=organisation: self._request_any(o, routers)
                )
        self.loop.advance(seconds)

    def _request_any(self, organisation, routers):
        running = [
            name
            for name in routers or self.routers
            if name in self.routers and self.routers[name].running
        ]
        self.request(self.rng.choice(running), organisation)

    def excess(self, organisation, since=0.0):
        """Return the most requests above what is allowed in any window.

        `organisation` is an Organisation; windows start from `since`.
        """
        allowed = allowed_requests(
            organisation.rate, organisation.burst, BOUNDS
        )
        times = [t for t in self.sent_at[organisation.name] if t >= since]
        most = first = 0
        for index, time in enumerate(times):
            while times[first] <= time - BOUNDS.quota_window:
                first += 1
            most = max(most, index + 1 - first)
        return most - allowed
