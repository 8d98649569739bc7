"""The router process: builds the parts, runs them and shuts them down."""

import random
import signal
import time

from bramleysill_gateway.cell_state import CellState
from bramleysill_gateway.entry import Entry
from bramleysill_gateway.leader import Leader
from bramleysill_gateway.membership import Registration
from bramleysill_gateway.readiness import Readiness
from bramleysill_gateway.store_feed import StoreFeeder
from bramleysill_gateway.upstreams import Upstreams
from bramleysill_kernel import messages
from bramleysill_kernel.exceptions import SillError
from bramleysill_net.conn import Listener
from bramleysill_net.loop import Loop
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning
from bramleysill_router.metrics import Metrics
from bramleysill_router.peer_links import PeerLinks

TICK_SECONDS = 0.05
SWEEP_SECONDS = 1.0
REPORT_SECONDS = 0.4
# The settings file may change without a signal.
SETTINGS_CHECK_SECONDS = 5.0
# After SIGTERM the balancer needs two failed questions, a second apart, to
# send no new connections here. Requests are taken until then; those that come
# later could not be finished within the grace period.
LINGER_SECONDS = 2.5
# Left of the grace period for ending what is still running.
GRACE_RESERVE_SECONDS = 0.6
CELL = 'cell'


class GatewayProcess:
    """One router; `run` returns when it has shut down."""

    def __init__(self, cfg, settings_path, adapter, metrics_port):
        self.cfg = cfg
        self.loop = Loop()
        self.metrics = Metrics()
        self._adapter = adapter
        self._settings_path = settings_path
        self._rng = random.Random()
        self._stop_at = None
        self._earliest_stop_at = None
        self._reload_due = False
        self._build()
        self._listen(metrics_port)

    def run(self):
        """Serve until terminated."""
        self.loop.on_terminate = self.shut_down
        signal.signal(signal.SIGHUP, self._on_hangup_signal)
        every = self.loop.scheduler.call_every
        every(TICK_SECONDS, self._tick)
        every(SWEEP_SECONDS, self._sweep)
        every(REPORT_SECONDS, self._report_keys)
        every(self.cfg.timings.feed_pause, self._feeder.tick)
        every(SETTINGS_CHECK_SECONDS, self._reload)
        self.state.start()
        log_event(
            'started',
            router=self.cfg.name,
            failure_domain=self.cfg.failure_domain,
            incarnation=self._links.hello.incarnation,
        )
        self.loop.run()
        log_event('stopped', router=self.cfg.name)

    def not_ready_reason(self):
        """Return why callers can't be served, or ''."""
        if self._stop_at is not None:
            return 'shutting down'
        return self.state.missing()

    def shut_down(self):
        """Take no new callers, finish what is running, then stop."""
        if self._stop_at is not None:
            return
        now = self.loop.now()
        grace = self.cfg.bounds.shutdown_grace
        self._stop_at = now + grace - GRACE_RESERVE_SECONDS
        self._earliest_stop_at = min(now + LINGER_SECONDS, self._stop_at)
        self.entry.leaving = True
        log_event(
            'shutting_down',
            router=self.cfg.name,
            running=len(self.entry.active),
            connections=self.entry.connections,
        )
        self.leader.retire()
        self._registration.stop()

    # Building.

    def _build(self):
        cfg = self.cfg
        host, port = cfg.listen.peer
        address = f'{host}:{port}'
        self._store = self._adapter.open_store(self.loop, cfg.store)
        self.state = CellState(
            self.loop,
            self._rng,
            cfg.timings,
            self._store,
            self._adapter,
            self.metrics,
        )
        self._upstreams = Upstreams(self.loop, self.state.directory)
        self.entry = Entry(
            self.loop,
            self._rng,
            cfg,
            self.state,
            self._upstreams,
            self._adapter,
            self.metrics,
        )
        self.state.on_changed = self.entry.on_state_changed
        self.leader = Leader(
            self.loop,
            self._rng,
            cfg,
            address,
            self._store,
            self.state,
        )
        self._registration = Registration(
            self.loop, self._store, self._adapter, cfg, address
        )
        hello = messages.Hello(
            messages.SCHEMA_VERSION, cfg.name, CELL, incarnation(), address
        )
        self._links = PeerLinks(self.loop, hello, self.metrics)
        self._links.on_control = self._on_message
        self._links.on_stream = self._on_message
        self._links.on_lost = lambda link: None
        self._feeder = StoreFeeder(
            self.loop,
            cfg.timings,
            cfg.name,
            self._links,
            self.state,
            self.leader,
        )

    def _listen(self, metrics_port):
        listen = self.cfg.listen
        readiness = Readiness(
            self._adapter.readiness_path, self.not_ready_reason, self.metrics
        )
        self._links.listen(*listen.peer)
        Listener(self.loop, *listen.readiness, readiness.accept)
        host = listen.peer[0]
        Listener(self.loop, host, metrics_port, readiness.accept)
        self._listener = Listener(
            self.loop, *listen.callers, self.entry.accept
        )

    # Running.

    def _tick(self):
        self.state.tick()
        self.leader.tick()
        self.entry.tick()
        if self._stop_at is not None:
            self._check_shutdown()
            return
        self._registration.tick()
        self._link_leader()
        if self._reload_due:
            self._reload_due = False
            self._reload()

    def _sweep(self):
        self.entry.sweep()
        self._upstreams.sweep()
        self.leader.sweep()

    def _check_shutdown(self):
        now = self.loop.now()
        if now < self._earliest_stop_at:
            return
        if not self.entry.refusing:
            self.entry.refusing = True
            self._listener.close()
        self.entry.close_idle()
        running = len(self.entry.active) + self.entry.unsent_answers()
        if running and now < self._stop_at:
            return
        if running:
            log_warning('grace_exceeded', running=running)
        self.state.stop()
        self._store.close()
        self._links.close()
        self.loop.stop()

    # Key loads.

    def _link_leader(self):
        """Open the link on which the leader feeds this router."""
        leader = self.leader.leader_address()
        if leader is None or leader[0] == self.cfg.name:
            return
        name, address = leader
        self._links.update_addresses({name: address})
        self._links.get(name)

    def _report_keys(self):
        leader = self.leader.leader_address()
        counts = self.entry.key_counts
        if leader is None:
            return
        name = leader[0]
        for service, keys in counts.items():
            message = self._key_loads(service, keys)
            if name == self.cfg.name:
                self.leader.note_report(message)
                continue
            self._links.send(name, message)
        counts.clear()

    def _key_loads(self, service, keys):
        seen = self._upstreams.observations(service)
        return messages.KeyLoads(
            self.cfg.name,
            service,
            list(keys),
            list(keys.values()),
            [row[0] for row in seen],
            [row[1] for row in seen],
            [row[2] for row in seen],
        )

    def _on_message(self, link, message):
        if isinstance(message, messages.KeyLoads):
            self.leader.note_report(message)
        elif isinstance(message, messages.StoreFeed):
            self._feeder.take(message)
        elif isinstance(message, messages.FeedRequest):
            self._feeder.answer(link, message)

    # Settings.

    def _on_hangup_signal(self, signo, frame):
        self._reload_due = True

    def _reload(self):
        try:
            cfg = self._adapter.read_settings(self._settings_path)
        except SillError as exc:
            self.metrics.events['settings_rejected'] += 1
            log_warning('settings_rejected', error=exc)
            return
        changed = cfg.differences(self.cfg)
        if changed:
            self.cfg.take_bounds(cfg)
            log_event('settings_reloaded', changed=','.join(changed))


def incarnation():
    """Return a text that names this start of the process."""
    return f'{time.time_ns():x}'
