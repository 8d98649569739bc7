"""Simulation of a cell: successive leaders, a store and upstreams.

Upstreams hold keys as the platform's do: a hold is measured with a clock that
may be 2% slow, lower fences are refused, and a release ends a hold. Calls can
be delayed, lost, or carried out late without a response.
"""

import collections
import heapq
import itertools

from bramleysill_kernel.common.call_outcome import CallOutcome
from bramleysill_kernel.common.clock import ManualClock
from bramleysill_kernel.discovery.upstream_directory import UpstreamDirectory
from bramleysill_kernel.discovery.upstream_directory import UpstreamEntry
from bramleysill_kernel.ranges.hold_ledger import CALL_TIMEOUT_SECONDS
from bramleysill_kernel.ranges.key_loads import KeyLoads
from bramleysill_kernel.ranges.process_fences import ProcessFences
from bramleysill_kernel.ranges.range_coordinator import RangeCoordinator
from tests.bounds import make_timings

SERVICE = 'ledger'
STEP_SECONDS = 0.05
SLOW_CLOCK_FACTOR = 1.02


def make_entry(
    name, incarnation=1, domain='a', draining=False, cold_until=0.0
):
    number = int(name[1:])
    return UpstreamEntry(
        name,
        incarnation,
        SERVICE,
        '10.0.0.1',
        9000 + number,
        domain,
        4,
        draining,
        cold_until,
    )


class FakeUpstream:
    """One upstream process; it holds (first, last, fence, end) ranges."""

    def __init__(self, clock, name, incarnation=1):
        self.name = name
        self.incarnation = incarnation
        self.alive = True
        self.reachable = True
        self._clock = clock
        self._holds = []
        self._seen = []

    def grant(self, arrived, first, last, fence, hold):
        """Accept keys unless a higher fence was seen for any of them.

        `arrived` is when the call reached the upstream.
        """
        if any(
            seen_first <= last and first <= seen_last and seen_fence > fence
            for seen_first, seen_last, seen_fence in self._seen
        ):
            return False
        self._seen.append((first, last, fence))
        end = arrived + hold * SLOW_CLOCK_FACTOR
        self._holds.append((first, last, fence, end))
        return True

    def accepted_fences(self):
        """Return the fences of all grants that were accepted."""
        return [fence for _, _, fence in self._seen]

    def release(self, first, last, fence):
        """Drop holds of these keys up to this fence."""
        kept = []
        for held_first, held_last, held_fence, end in self._holds:
            if held_fence > fence or held_last < first or last < held_first:
                kept.append((held_first, held_last, held_fence, end))
                continue
            if held_first < first:
                kept.append((held_first, first - 1, held_fence, end))
            if held_last > last:
                kept.append((last + 1, held_last, held_fence, end))
        self._holds = kept

    def holds(self, key):
        """Return whether the upstream would run a request for a key."""
        now = self._clock.now()
        if not self.alive:
            return False
        return any(
            first <= key <= last and end > now
            for first, last, _, end in self._holds
        )


class FakeStore:
    """The stored table and the revision of the leader key."""

    def __init__(self):
        self.table = None
        self.revision = 0
        self.leader_revision = 0
        self.available = True


class FakeCalls:
    """The calls of one leader, refused once it no longer leads."""

    def __init__(self, cell):
        self.cell = cell
        self.key_revision = cell.store.leader_revision
        self.valid = True
        # By upstream, the process that the connections lead to, the number of
        # times that they have ended, and the ProcessFences.
        self._processes = {}
        self._epochs = collections.Counter()
        self._fences = collections.defaultdict(ProcessFences)

    def _connection_epoch(self, name):
        """Return the epoch; connections end with their process."""
        process = self.cell.upstreams.get(name)
        known = self._processes.get(name)
        if known is not None and (known is not process or not known.alive):
            self._epochs[name] += 1
            del self._processes[name]
        if process is not None and process.alive and process.reachable:
            self._processes[name] = process
        return self._epochs[name]

    def _note_result(self, name, result):
        # A call without a response ends its connection, the only one here.
        if result is CallOutcome.NO_RESPONSE and name in self._processes:
            del self._processes[name]
            self._epochs[name] += 1

    def grant(self, entry, part, hold, handover, done, any_process=False):
        if not self.valid:
            self.cell.grants.append((entry.upstream, part.fence, handover))
            done(CallOutcome.REFUSED)
            return
        fences = self._fences[entry.upstream, entry.incarnation]
        epoch = self._connection_epoch(entry.upstream)
        if not fences.may_send(part.fence, epoch, any_process):
            done(CallOutcome.NEEDS_FENCE)
            return
        self.cell.grants.append((entry.upstream, part.fence, handover))

        def on_result(result):
            self._note_result(entry.upstream, result)
            done(result)

        self.cell.call(
            entry,
            lambda upstream, arrived: (
                hold <= self.cell.longest_hold
                and upstream.grant(
                    arrived, part.first, part.last, part.fence, hold
                )
            ),
            on_result,
        )

    def release(self, entry, part, done):
        if not self.valid:
            done(CallOutcome.REFUSED, '')
            return
        self.cell.releases.append((entry.upstream, part.first, part.last))

        def carry_out(upstream, arrived):
            upstream.release(part.first, part.last, part.fence)
            return True

        self.cell.call(
            entry,
            carry_out,
            lambda result: done(
                result, 'h' if result is CallOutcome.OK else ''
            ),
        )

    def write_table(self, service, table, revision, done):
        store = self.cell.store
        self.cell.schedule(
            0.004, lambda: self._write(store, table, revision, done)
        )

    def _write(self, store, table, revision, done):
        if not store.available:
            done(CallOutcome.REFUSED, None, 0)
            return
        if self.key_revision != store.leader_revision:
            self.valid = False
            done(CallOutcome.REFUSED, None, 0)
            return
        if revision != store.revision:
            done(CallOutcome.CONFLICT, store.table, store.revision)
            return
        store.table = table
        store.revision += 1
        done(CallOutcome.OK, table, store.revision)


class FakeCell:
    """Steps a leader, upstreams and calls in flight with one clock."""

    def __init__(self, rng, names=('u0', 'u1', 'u2', 'u3'), timings=None):
        self.clock = ManualClock(100.0)
        self.rng = rng
        self.timings = timings or make_timings()
        self.store = FakeStore()
        self.directory = UpstreamDirectory(self.clock, self.timings)
        self.loads = KeyLoads(self.clock)
        self.upstreams = {}
        self.ended_upstreams = []
        # Upstreams whose address is now used by another process.
        self.replaced = set()
        self.grants = []
        self.releases = []
        self.late_probability = 0.0
        # Longest time of a call or a response on its way. Calls use several
        # connections, so that a later one may arrive first.
        self.max_delay_seconds = 0.01
        # By upstream, how long calls to it wait in a busy link besides.
        self.link_delays = {}
        # Whether connections to ended processes are refused at once.
        self.refuses_connections = False
        # In seconds; upstreams refuse longer grants.
        self.longest_hold = 10.0
        self.loss_probability = 0.0
        self.coordinator = None
        self.calls = None
        self._events = []
        self._order = itertools.count()
        for name in names:
            self.add(name)

    def add(self, name, incarnation=1, domain='a'):
        old = self.upstreams.get(name)
        if old is not None:
            old.alive = False
            self.ended_upstreams.append(old)
        self.upstreams[name] = FakeUpstream(self.clock, name, incarnation)
        self.directory.put(make_entry(name, incarnation, domain))

    def elect(self, hands_over=False):
        """Elect a new leader and stop the previous one.

        With `hands_over` the previous one tells what holds it has granted.
        """
        former = None
        if self.calls is not None:
            self.calls.valid = False
            if hands_over and self.coordinator.has_renewed_fences:
                former = self.coordinator.former_holds(1)
        self.store.leader_revision += 1
        self.calls = FakeCalls(self)
        self.coordinator = RangeCoordinator(
            SERVICE,
            self.clock,
            self.timings,
            self.calls,
            self.directory,
            self.loads,
            lambda entry: 33.0,
        )
        self.coordinator.start(self.store.table, self.store.revision)
        if former is not None:
            self.coordinator.use_former_holds(former)

    def call(self, entry, carry_out, done):
        """Send a call to an upstream process with the configured faults."""
        upstream = self.upstreams.get(entry.upstream)
        if entry.upstream in self.replaced:
            self.schedule(0.004, lambda: done(CallOutcome.REPLACED))
            return
        delay = self.rng.uniform(0.001, self.max_delay_seconds)
        delay += self.link_delays.get(entry.upstream, 0.0)
        dead = upstream is None or not upstream.alive
        if dead and self.refuses_connections:
            self.schedule(0.001, lambda: done(CallOutcome.REFUSED))
            return
        if dead or not upstream.reachable:
            self.schedule(
                CALL_TIMEOUT_SECONDS, lambda: done(CallOutcome.NO_RESPONSE)
            )
            return
        arrived = self.clock.now() + delay
        if self.rng.random() < self.late_probability:
            late = self.rng.uniform(2.0, 12.0)
            self.schedule(late, lambda: carry_out(upstream, arrived))
            self.schedule(
                CALL_TIMEOUT_SECONDS, lambda: done(CallOutcome.NO_RESPONSE)
            )
            return
        back = self.rng.uniform(0.001, self.max_delay_seconds)
        lost = self.rng.random() < self.loss_probability
        lost = lost or delay + back >= CALL_TIMEOUT_SECONDS

        def arrive():
            accepted = upstream.alive and carry_out(upstream, arrived)
            if lost:
                return
            result = CallOutcome.OK if accepted else CallOutcome.REFUSED
            self.schedule(back, lambda: done(result))

        self.schedule(delay, arrive)
        if lost:
            self.schedule(
                CALL_TIMEOUT_SECONDS, lambda: done(CallOutcome.NO_RESPONSE)
            )

    def schedule(self, seconds, action):
        at = self.clock.now() + seconds
        heapq.heappush(self._events, (at, next(self._order), action))

    def run(self, seconds, check=None):
        """Step the cell; `check(cell)` is called after each event and step."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            step_end = self.clock.now() + STEP_SECONDS
            while self._events and self._events[0][0] <= step_end:
                at, _, action = heapq.heappop(self._events)
                self.clock.advance(max(0.0, at - self.clock.now()))
                action()
                if check is not None:
                    check(self)
            self.clock.advance(max(0.0, step_end - self.clock.now()))
            self.directory.tick()
            if self.coordinator is not None and self.calls.valid:
                self.coordinator.tick()
            if check is not None:
                check(self)

    def holders(self, key):
        """Return the names of the live processes that hold a key."""
        everyone = [*self.upstreams.values(), *self.ended_upstreams]
        return [u.name for u in everyone if u.holds(key)]
