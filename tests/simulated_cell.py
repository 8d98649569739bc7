"""A cell of routers that share a store, which can go back to an older copy.

Each router has the product's own copy of the store, leader election and
range coordinator. The store, the upstreams and the calls are simulated on a
manual clock: upstreams refuse lower fences, calls take some milliseconds, and
a router may be cut off from the store.
"""

import json
import random

from bramleysill_gateway.cell_state import CellState
from bramleysill_gateway.control_calls import ControlCalls
from bramleysill_gateway.leader import LeaderElection
from bramleysill_kernel.common.call_outcome import CallOutcome
from bramleysill_kernel.common.store_types import StoreOutcome
from bramleysill_kernel.common.store_types import StoreReply
from bramleysill_kernel.config.node_settings import NodeSettings
from bramleysill_kernel.load.named_limits import NamedLimits
from bramleysill_kernel.ranges.hold_ledger import CALL_TIMEOUT_SECONDS
from bramleysill_platform.adapter import PlatformAdapter
from bramleysill_router.metrics import Metrics
from tests.bounds import make_bounds
from tests.range_fakes import FakeUpstream
from tests.soak_path import add_soak_path
from tests.store_fakes import ManualLoop
from tests.test_platform_documents import CONFIG

add_soak_path()

from bramleysill_soak.store_state import Conflict  # noqa: E402
from bramleysill_soak.store_state import LeaseNotFound  # noqa: E402
from bramleysill_soak.store_state import StoreState  # noqa: E402

SERVICE = 'ledger'
STEP_SECONDS = 0.05
STORE_TIMEOUT_SECONDS = 1.0
UPSTREAM_HEARTBEAT_SECONDS = 0.5
# Longest time of a call or its reply on the way.
MAX_DELAY_SECONDS = 0.01
COPY_INTERVAL_SECONDS = 0.5


class SimulatedStoreClient:
    """One router's calls to the store; lost while it is cut off."""

    def __init__(self, cell):
        self.on_era = lambda era: None
        self.cut = False
        self.closed = False
        self._cell = cell

    def read(self, key, callback):
        def run(state):
            item = state.items.get(key)
            if item is None:
                return StoreReply(StoreOutcome.MISSING)
            return StoreReply(StoreOutcome.OK, [item], state.revision)

        self._call(run, callback)

    def list(self, prefix, after, callback):
        def run(state):
            items = state.items_below(prefix)
            return StoreReply(StoreOutcome.OK, items, state.revision)

        self._call(run, callback)

    def watch(self, prefix, revision, wait_seconds, callback):
        deadline = self._cell.loop.now() + wait_seconds
        answered = []

        def answer(reply):
            if not answered:
                answered.append(reply)
                callback(reply)

        def run(state):
            if not state.has_revision(revision):
                return StoreReply(StoreOutcome.HISTORY_GONE)
            changes = state.changes_after(prefix, revision)
            if not changes and self._cell.loop.now() < deadline:
                return None
            return StoreReply(StoreOutcome.OK, changes, state.revision)

        self._call(run, answer)
        return lambda: answer(StoreReply(StoreOutcome.NO_REPLY))

    def write(self, conditions, puts, deletes, callback):
        def run(state):
            state.write(
                [(c.key, c.revision) for c in conditions],
                [(p.key, p.value, p.lease) for p in puts],
                deletes,
            )
            return StoreReply(StoreOutcome.OK, revision=state.revision)

        self._call(run, callback)

    def open_lease(self, seconds, callback):
        def run(state):
            lease = state.create_lease(seconds, self._cell.loop.now())
            return StoreReply(
                StoreOutcome.OK, lease=lease, lease_seconds=seconds
            )

        self._call(run, callback)

    def renew_lease(self, lease, callback):
        def run(state):
            seconds = state.renew_lease(lease, self._cell.loop.now())
            return StoreReply(
                StoreOutcome.OK, lease=lease, lease_seconds=seconds
            )

        self._call(run, callback)

    def end_lease(self, lease, callback):
        def run(state):
            state.end_lease(lease)
            return StoreReply(StoreOutcome.OK)

        self._call(run, callback)

    def _call(self, run, callback):
        call = _StoreCall(self, self._cell, run, callback)
        self._cell.later(call.arrive)


class _StoreCall:
    """A call on its way; `run(state)` returns its reply, or None to wait."""

    def __init__(self, client, cell, run, callback):
        self._client = client
        self._cell = cell
        self._run = run
        self._callback = callback
        self._fails_at = cell.loop.now() + STORE_TIMEOUT_SECONDS

    def arrive(self):
        """Run the call at the store."""
        loop = self._cell.loop
        if self._client.cut or self._cell.store_down:
            loop.call_at(self._fails_at, self._fail)
            return
        reply = self._reply()
        if reply is None:
            loop.call_at(loop.now() + STEP_SECONDS, self.arrive)
            return
        era = self._cell.store.era
        self._cell.later(lambda: self._deliver(reply, era))

    def _reply(self):
        try:
            return self._run(self._cell.store)
        except Conflict:
            return StoreReply(StoreOutcome.CONFLICT)
        except LeaseNotFound:
            return StoreReply(StoreOutcome.MISSING)

    def _deliver(self, reply, era):
        if self._client.cut:
            self._cell.loop.call_at(self._fails_at, self._fail)
        elif not self._client.closed:
            self._client.on_era(era)
            self._callback(reply)

    def _fail(self):
        if not self._client.closed:
            self._callback(StoreReply(StoreOutcome.NO_REPLY))


class _SimulatedCalls(ControlCalls):
    """Control calls whose grants and releases reach simulated upstreams."""

    def __init__(self, cell, *args):
        super().__init__(*args)
        self._cell = cell

    def grant(self, entry, key_range, hold, handover, done, any_process=False):
        if not self._leadership.is_valid():
            done(CallOutcome.REFUSED)
            return
        self._cell.grant(entry, key_range, hold, done)

    def release(self, entry, key_range, done):
        if not self._leadership.is_valid():
            done(CallOutcome.REFUSED, '')
            return
        self._cell.release(entry, key_range, done)


class SimulatedRouter:
    """The control part of a router."""

    def __init__(self, cell, name):
        self.name = name
        self.client = SimulatedStoreClient(cell)
        cfg = NodeSettings(
            name, 'a', ('a',), None, None, 1.0, 1.0, make_bounds(), 1000.0, 1.0
        )
        self.state = CellState(
            cell.loop,
            cell.rng,
            cfg.timings,
            self.client,
            PlatformAdapter(),
            Metrics(),
        )
        self.leader = LeaderElection(
            cell.loop,
            cell.rng,
            cfg,
            '10.0.0.1:7000',
            self.client,
            self.state,
            NamedLimits(cell.loop),
            lambda entry: None,
        )
        self.leader.coordinators.calls = _SimulatedCalls(
            cell,
            cell.loop,
            self.client,
            self.state.adapter,
            self.leader.leadership,
            self.state,
            lambda entry: None,
        )
        self.client.on_era = self.state.note_store_era
        self.state.on_restored = self.leader.on_store_restored
        self.state.start()

    def tick(self):
        """Do the periodic work of the process."""
        self.state.tick()
        self.leader.tick()

    def end(self):
        """End the process at once, without a word to anybody."""
        self.client.closed = True
        self.leader.leadership.resign()
        self.state.stop()


class SimulatedCell:
    """Routers, upstreams and a store on one manual clock.

    `check(cell)` is called after each step.
    """

    def __init__(self, seed, routers=3, upstreams=4):
        self.rng = random.Random(seed)
        self.loop = ManualLoop()
        self.store = StoreState()
        self.store_down = False
        self.config_version = 1
        # Accepted grants as (time, upstream, first, last, fence).
        self.grants = []
        self.upstreams = {
            f'u{n}': FakeUpstream(self.loop, f'u{n}') for n in range(upstreams)
        }
        self._copies = []
        self.write_config(1)
        self._write_upstreams()
        self.routers = [SimulatedRouter(self, f'r{n}') for n in range(routers)]

    def later(self, action):
        """Do something after a random delay of some milliseconds."""
        delay = self.rng.uniform(0.001, MAX_DELAY_SECONDS)
        self.loop.call_at(self.loop.now() + delay, action)

    def write_config(self, version):
        """Write a configuration as the operator does."""
        self.config_version = version
        data = json.dumps({**CONFIG, 'version': f'r{version}'}).encode()
        self.store.write((), [('op/config', data, 0)], ())

    def restore(self, age):
        """Bring the store back as it was `age` seconds ago.

        The operator and the upstreams write again what they wrote.
        """
        at = self.loop.now() - age
        copies = [copy for when, copy in self._copies if when <= at]
        oldest = self._copies[0][1]
        copy = copies[-1] if copies else oldest
        self.store.restore(copy, self.loop.now())
        self._copies = [(self.loop.now(), self.store.copy())]
        self.write_config(self.config_version)
        self._write_upstreams()

    def add_upstream(self, name):
        """Start an upstream; keys move to it."""
        self.upstreams[name] = FakeUpstream(self.loop, name)
        self._write_upstreams()

    def replace_router(self, number):
        """End a router and start another process of it."""
        old = self.routers[number]
        old.end()
        self.routers[number] = SimulatedRouter(self, old.name)

    def leaders(self):
        """Return the routers that may act as leader."""
        return [r for r in self.routers if r.leader.leadership.is_valid()]

    def holders(self, key):
        """Return the names of the upstreams that hold a key."""
        return [u.name for u in self.upstreams.values() if u.holds(key)]

    def run(self, seconds, check=None):
        """Step the cell for some seconds."""
        end = self.loop.now() + seconds
        while self.loop.now() < end:
            self.loop.advance(STEP_SECONDS)
            self.store.expire(self.loop.now())
            self._keep_copy()
            self._write_upstreams_if_due()
            for router in self.routers:
                router.tick()
            if check is not None:
                check(self)

    def grant(self, entry, part, hold, done):
        """Deliver a grant to an upstream, and its response."""
        upstream = self.upstreams[entry.upstream]

        def carry_out(arrived):
            accepted = upstream.grant(
                arrived, part.first, part.last, part.fence, hold
            )
            if accepted:
                self.grants.append(
                    (
                        arrived,
                        upstream.name,
                        part.first,
                        part.last,
                        part.fence,
                    )
                )
            return CallOutcome.OK if accepted else CallOutcome.REFUSED

        self._call_upstream(upstream, carry_out, done)

    def release(self, entry, part, done):
        """Deliver a release to an upstream, and its response."""
        upstream = self.upstreams[entry.upstream]

        def carry_out(arrived):
            upstream.release(part.first, part.last, part.fence)
            return CallOutcome.OK

        self._call_upstream(
            upstream, carry_out, lambda result: done(result, '')
        )

    def _call_upstream(self, upstream, carry_out, done):
        if not upstream.reachable:
            at = self.loop.now() + CALL_TIMEOUT_SECONDS
            self.loop.call_at(at, lambda: done(CallOutcome.NO_RESPONSE))
            return

        def arrive():
            result = carry_out(self.loop.now())
            self.later(lambda: done(result))

        self.later(arrive)

    def _keep_copy(self):
        last = self._copies[-1][0] if self._copies else -1.0
        if self.loop.now() >= last + COPY_INTERVAL_SECONDS:
            self._copies.append((self.loop.now(), self.store.copy()))

    def _write_upstreams_if_due(self):
        if self.loop.now() >= self._upstreams_due_at and not self.store_down:
            self._write_upstreams()

    def _write_upstreams(self):
        self._upstreams_due_at = self.loop.now() + UPSTREAM_HEARTBEAT_SECONDS
        rows = [
            (f'servers/{name}', self._encode_upstream(name), 0)
            for name in self.upstreams
        ]
        self.store.write((), rows, ())

    def _encode_upstream(self, name):
        document = {
            'service': SERVICE,
            'address': f'10.0.0.9:{9000 + int(name[1:])}',
            'zone': 'a',
            'slots': 4,
            'state': 'ready',
            'sequence': 1,
            'born': 1,
        }
        return json.dumps(document).encode()
