"""Measures the cost of coordination per second of cell time.

A cell without faults is stepped on a manual clock. The benchmark counts the
processor time of the coordinator and of the agents, and the messages and
bytes between them. Bytes are counted in JSON text, which is an upper bound
for the compact encoding on the wire; the processor time excludes encoding and
the event loop. bench.slopes measures the real encoding with the same cell.
"""

import dataclasses
import itertools
import json
import random
import time

from bramleysill_kernel.common import clock as clock_module
from bramleysill_kernel.common import effects
from bramleysill_kernel.common import lease
from bramleysill_kernel.common import messages
from bramleysill_kernel.config import manifest
from bramleysill_kernel.election import election
from bramleysill_kernel.units import coordinator
from bramleysill_kernel.units import membership
from bramleysill_kernel.units import state

CELL_SIZES = (10, 20, 40, 80)
UPSTREAMS_PER_ROUTER = 3
SHARDS_PER_UPSTREAM = 16
FAILURE_DOMAINS = 3
# After a start, the coordinator rebalances one role per second.
SETTLING_SECONDS = 30.0
MEASURED_SECONDS = 20.0


class _MemoryStore:
    """In-memory store that replies to each call immediately."""

    def __init__(self):
        self.values = {}

    def call(self, effect):
        if isinstance(effect, effects.StoreRead):
            if effect.key not in self.values:
                return effects.StoreEffectReply(
                    effect.op, effects.RESULT_MISSING
                )
            value, version = self.values[effect.key]
            return effects.StoreEffectReply(
                effect.op, effects.RESULT_OK, value, version
            )
        version = 0
        if isinstance(effect, effects.StoreWrite):
            version = effect.expected + 1
            self.values[effect.key] = (effect.value, version)
        return effects.StoreEffectReply(
            effect.op, effects.RESULT_OK, b'l', version
        )


def make_manifest(routers):
    service = manifest.Service('ledger', manifest.KIND_KEYED, '/ledger/')
    count = routers * UPSTREAMS_PER_ROUTER
    service.shards = count * SHARDS_PER_UPSTREAM
    cell_manifest = manifest.Manifest('north', 'c')
    cell_manifest.services['ledger'] = service
    for n in range(count):
        domain = f'fd-{n % FAILURE_DOMAINS}'
        cell_manifest.failure_domains[domain] = manifest.FailureDomain(domain)
        upstream = manifest.Upstream(f'u{n}', 'ledger', domain, 'h', 1)
        cell_manifest.upstreams[upstream.name] = upstream
        service.upstreams.append(upstream)
    cell_manifest.version = 1
    cell_manifest.text = 'manifest'
    return cell_manifest


class SteppedCell:
    """A coordinator and its agents; messages arrive without delay."""

    def __init__(self, routers):
        self.clock = clock_module.ManualClock(100.0)
        self.store = _MemoryStore()
        self.manifest = make_manifest(routers)
        self.ops = itertools.count(1)
        self.rng = random.Random(1)
        self.election = election.Election(
            'r0', 'i', 'a', 'c', self.clock, self.rng, self.ops
        )
        self.agents = {}
        for n in range(routers):
            self.agents[f'r{n}'] = membership.RouterAgent(
                f'r{n}',
                'i',
                f'10.0.0.{n}:7000',
                f'fd-{n % FAILURE_DOMAINS}',
                self.clock,
                state.RouterState(lambda *args: self.manifest),
            )
        self.coordinator = None
        self.reset_counts()

    def reset_counts(self):
        self.coordinator_seconds = 0.0
        self.agent_seconds = 0.0
        self.messages = 0
        self.bytes = 0

    def elect_coordinator(self):
        """Elect the first router as the coordinator."""
        while self.election.state != election.LEADING:
            self.clock.advance(lease.TICK_INTERVAL_SECONDS)
            pending = self.election.tick()
            while pending:
                pending = pending[1:] + self._call_store(
                    self.election, pending[0]
                )
        self.coordinator = coordinator.Coordinator(
            'r0',
            'c',
            self.clock,
            self.rng,
            self.ops,
            self.election,
            self.agents['r0'].state,
        )
        self.coordinator.on_manifest(self.manifest)
        for agent in self.agents.values():
            agent.coordinator = 'r0'

    def _call_store(self, owner, effect):
        if isinstance(effect, effects.LogEvent):
            return []
        return owner.on_store_reply(effect.op, self.store.call(effect))

    def run(self, seconds):
        """Advance the cell by a number of seconds of its clock."""
        ticks = round(seconds / lease.TICK_INTERVAL_SECONDS)
        ticks_per_heartbeat = round(
            lease.HEARTBEAT_INTERVAL_SECONDS / lease.TICK_INTERVAL_SECONDS
        )
        for tick in range(ticks):
            self.clock.advance(lease.TICK_INTERVAL_SECONDS)
            self._run_timed(self.election, self.election.tick)
            for number, name in enumerate(self.agents):
                if (tick + number) % ticks_per_heartbeat == 0:
                    self._heartbeat(name)
            self._run_timed(self.coordinator, self.coordinator.tick)

    def _run_timed(self, owner, call, *args):
        """Time a call as the coordinator's and perform its effects."""
        start = time.perf_counter()
        pending = call(*args)
        self.coordinator_seconds += time.perf_counter() - start
        for effect in pending:
            if isinstance(effect, effects.SendMessage):
                self._deliver(effect.router, effect.message)
            elif not isinstance(effect, effects.LogEvent):
                reply = self.store.call(effect)
                self._run_timed(owner, owner.on_store_reply, effect.op, reply)

    def _heartbeat(self, name):
        agent = self.agents[name]
        start = time.perf_counter()
        for upstream in agent.held:
            report = messages.UpstreamReport(upstream, load=0.5, rate=1000.0)
            agent.report(report)
        _, message = agent.make_heartbeat()
        self.agent_seconds += time.perf_counter() - start
        self._count_message(message)
        self._run_timed(
            self.coordinator, self.coordinator.on_heartbeat, message
        )

    def _deliver(self, name, message):
        self._count_message(message)
        agent = self.agents[name]
        start = time.perf_counter()
        if isinstance(message, messages.HeartbeatReply):
            agent.on_reply(message)
        elif isinstance(message, messages.StateUpdate):
            agent.on_state(message)
        self.agent_seconds += time.perf_counter() - start

    def _count_message(self, message):
        self.messages += 1
        text = json.dumps(dataclasses.asdict(message), default=str)
        self.bytes += len(text)


def run():
    """Return one row per cell size, as {'rows': [...]}."""
    rows = []
    for routers in CELL_SIZES:
        cell = SteppedCell(routers)
        cell.elect_coordinator()
        cell.run(SETTLING_SECONDS)
        cell.reset_counts()
        cell.run(MEASURED_SECONDS)
        rows.append(
            {
                'routers': routers,
                'coordinator_core': cell.coordinator_seconds
                / MEASURED_SECONDS,
                'agent_core': cell.agent_seconds / MEASURED_SECONDS / routers,
                'messages': cell.messages / MEASURED_SECONDS,
                'bytes': cell.bytes / MEASURED_SECONDS,
                'bytes_per_router': cell.bytes / MEASURED_SECONDS / routers,
            }
        )
    return {'rows': rows}


def main():
    """Print the table of results."""
    print('routers  coordinator  agent     messages/s  bytes/s  per router')
    for row in run()['rows']:
        print(
            f'{row["routers"]:7}  {row["coordinator_core"]:10.3%}  '
            f'{row["agent_core"]:8.4%}  {row["messages"]:10.1f}  '
            f'{row["bytes"]:7.0f}  {row["bytes_per_router"]:10.0f}'
        )


if __name__ == '__main__':
    main()
