"""Stand-in for upstreams that implement docs/upstream-protocol.md.

`python -m bramleysill_standins.upstream --name NAME --port N` serves one
upstream on loopback; `--count K` serves NAME-01 to NAME-K on consecutive
ports. The path of a request is `/SERVICE/KEY[/EFFECT]`; any body is counted
and hashed. `GET /SERVICE/KEY?bytes=N` downloads a pattern.
"""

import os

import fire

from bramleysill_net.loop import Loop
from bramleysill_standins.capacity_model import CapacityModel
from bramleysill_standins.exchange import Exchange
from bramleysill_standins.fences import FenceTable
from bramleysill_standins.freezer import Freezer
from bramleysill_standins.ledger import Ledger
from bramleysill_standins.serving import BodySink
from bramleysill_standins.serving import ConnTracker
from bramleysill_standins.serving import Target
from bramleysill_standins.serving import listen
from bramleysill_standins.serving import print_address
from bramleysill_standins.upstream_control import Control
from bramleysill_standins.upstream_faults import UpstreamFaults

CONTROL_PREFIX = '/.sill/'
MAX_CONTROL_BYTES = 1 << 20
# Time that an upstream spends on each new connection, as measured in Hsinchu.
CONNECT_COST_MS = 1.0


class Limits:
    """The capacity of one upstream. Times are in milliseconds."""

    __slots__ = (
        'service_ms',
        'slots',
        'connections',
        'warmup_ms',
        'cold_slots',
    )

    def __init__(
        self,
        service_ms=2.0,
        slots=4,
        connections=120,
        warmup_ms=5000.0,
        cold_slots=1,
    ):
        self.service_ms = service_ms
        self.slots = slots
        self.connections = connections
        self.warmup_ms = warmup_ms
        self.cold_slots = cold_slots


class UpstreamApp(ConnTracker):
    """One upstream: its slots, its grants and its ledger."""

    def __init__(self, loop, name, limits, checked=True, remember=False):
        super().__init__(loop)
        self.name = name
        self.limits = limits
        self.remember = remember
        self.stored_responses = {}
        self.ledger = Ledger()
        self.faults = UpstreamFaults()
        self.running = set()
        self.refused_connections = 0
        self._started_ms = loop.now() * 1000.0
        self._checked = checked
        self._control = Control(self)
        self._freezer = Freezer(self)
        self._busy_until_ms = 0.0
        self._idle_callbacks = []
        self.epoch = ''
        self.fences = None
        self._start_epoch()
        self.capacity_model = CapacityModel(
            limits.slots, limits.cold_slots, limits.warmup_ms, self.clock_ms()
        )

    # Called by the HTTP server.

    def accept(self, conn):
        """Accept a connection, or close it above the limit."""
        server = super().accept(conn)
        if len(self.server_conns) > self.limits.connections:
            self.refused_connections += 1
            self.server_conns.discard(server)
            conn.abort()
        else:
            self.occupy(CONNECT_COST_MS)
        return server

    def on_request(self, stream, req):
        """Start a control call or a caller's request."""
        target = Target(req.target)
        if target.path.startswith(CONTROL_PREFIX):
            return self._control_sink(stream, req.method, target)
        exchange = Exchange(self, stream, req, target)
        exchange.admit()
        return exchange

    def _control_sink(self, stream, method, target):
        def done(body):
            self._control.run(stream, method, target, body)

        return BodySink(stream, done, MAX_CONTROL_BYTES)

    # Clock and timers.

    def clock_ms(self):
        """Return the time on this upstream's own monotonic clock."""
        return self.loop.now() * 1000.0 - self._started_ms

    def call_when_unfrozen(self, clock_ms, callback):
        """Call back at a time on the clock, or after a freeze at that time."""
        return self.schedule(clock_ms, lambda: self.run_or_defer(callback))

    def schedule(self, clock_ms, callback):
        """Call back at a time on the clock, even during a freeze."""
        deadline = (clock_ms + self._started_ms) / 1000.0
        return self.loop.scheduler.call_at(deadline, callback)

    def run_or_defer(self, callback):
        """Run a callback now, or at the end of a freeze in progress."""
        self._freezer.run_or_defer(callback)

    # Work.

    def occupy(self, cost_ms):
        """Occupy the upstream with a connection or probe.

        Returns the time at which that is done. Requests that arrive before
        then start after it.
        """
        now_ms = self.clock_ms()
        self._busy_until_ms = max(now_ms, self._busy_until_ms) + cost_ms
        return self._busy_until_ms

    def wait_ms(self, now_ms):
        """Return how long a request waits behind connections and probes."""
        return max(0.0, self._busy_until_ms - now_ms)

    def service_ms(self, now_ms):
        """Return the service time of a request that starts now."""
        return self.capacity_model.service_ms(now_ms, self.limits.service_ms)

    def cancel(self, request_id):
        """Cancel a request; return `cancelled`, `done` or `unknown`."""
        if self.ledger.has_run(request_id):
            return 'done'
        for exchange in self.running:
            if exchange.request_id == request_id:
                exchange.cancel()
                return 'cancelled'
        return 'unknown'

    def call_when_idle(self, unit, callback):
        """Call back once no request of a unit is running."""
        self._idle_callbacks.append((unit, callback))
        self.run_idle_callbacks()

    def run_idle_callbacks(self):
        """Run the callbacks of the units without a running request."""
        busy = {exchange.unit for exchange in self.running}
        waits = self._idle_callbacks
        self._idle_callbacks = [w for w in waits if w[0] in busy]
        for unit, callback in waits:
            if unit not in busy:
                callback()

    # Reports.

    def state(self):
        """Return `cold`, `warm` or `leaving`."""
        if self.faults.leaving:
            return 'leaving'
        warm = self.capacity_model.warmup_progress(self.clock_ms()) >= 1.0
        return 'warm' if warm else 'cold'

    def reported_load(self):
        """Return the load as reported: delayed, and false under `mislead`."""
        if self.faults.false_load is not None:
            return self.faults.false_load
        return self.capacity_model.delayed_load.reported_load(self.clock_ms())

    def report_headers(self):
        """Return the report headers, which every response has."""
        return [
            ('Sill-Clock-Ms', str(int(self.clock_ms()))),
            ('Sill-Load', f'{self.reported_load():.3f}'),
            ('Sill-State', self.state()),
        ]

    # Faults.

    def freeze(self, duration_ms):
        """Stop everything except the clock for a time."""
        self._freezer.freeze(self.clock_ms() + duration_ms)

    def make_cold(self):
        """Become cold and lose all grants, as a restart does."""
        self.capacity_model.make_cold(self.clock_ms())
        self._start_epoch()

    def _start_epoch(self):
        self.epoch = f'{self.name}-{os.urandom(4).hex()}'
        self.fences = FenceTable(self.epoch) if self._checked else None


def main(
    name,
    port=0,
    count=1,
    service_ms=2.0,
    slots=4,
    connections=120,
    authority='checked',
    warmup_s=5.0,
    cold_slots=1,
    remember=False,
):
    """Serve upstreams on loopback until the process is terminated."""
    if authority not in ('checked', 'unchecked'):
        raise SystemExit('--authority must be checked or unchecked')
    limits = Limits(
        service_ms, slots, connections, warmup_s * 1000.0, cold_slots
    )
    loop = Loop()
    for number in range(1, count + 1):
        own_name = f'{name}-{number:02d}' if count > 1 else str(name)
        app = UpstreamApp(
            loop, own_name, limits, authority == 'checked', remember
        )
        own_port = port + number - 1 if port else 0
        print_address(listen(loop, app, own_port))
    loop.run()


if __name__ == '__main__':
    fire.Fire(main)
