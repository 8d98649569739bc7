"""Builds the components of a router process, runs them and stops them."""

import random
import signal
import time

from bramleysill_gateway.cell_state import CellState
from bramleysill_gateway.departures import Departures
from bramleysill_gateway.explanation import Explainer
from bramleysill_gateway.freshness_exchange import FreshnessExchange
from bramleysill_gateway.frontend import Frontend
from bramleysill_gateway.key_load_reports import KeyLoadReports
from bramleysill_gateway.leader import LeaderElection
from bramleysill_gateway.pacing import Pacing
from bramleysill_gateway.quotas import Quotas
from bramleysill_gateway.range_announcer import RangeAnnouncer
from bramleysill_gateway.readiness import Readiness
from bramleysill_gateway.registration import Registration
from bramleysill_gateway.router_memory import RouterMemory
from bramleysill_gateway.store_feed import StoreFeeder
from bramleysill_gateway.takeover import Takeover
from bramleysill_gateway.upstreams import Upstreams
from bramleysill_kernel.common import messages
from bramleysill_kernel.common.exceptions import SillError
from bramleysill_kernel.election.leadership import is_preferred_leader
from bramleysill_kernel.load import receive_budget
from bramleysill_kernel.load.choice_policies import DEFAULT_POLICY
from bramleysill_kernel.load.memory_budget import budget_bytes
from bramleysill_net.conn import Listener
from bramleysill_net.loop import Loop
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning
from bramleysill_router.metrics import Metrics
from bramleysill_router.peer_links import PeerLinks

TICK_INTERVAL_SECONDS = 0.05
SWEEP_INTERVAL_SECONDS = 1.0
# A loop that is later than this is logged; callers notice such a delay.
LATE_LOOP_SECONDS = 0.25
KEY_REPORT_INTERVAL_SECONDS = 0.4
# Interval between reports of limits and of departures.
UPSTREAM_REPORT_INTERVAL_SECONDS = 0.2
# The settings file is read at this interval as well as on SIGHUP.
SETTINGS_CHECK_INTERVAL_SECONDS = 5.0
# The load balancer stops opening connections after two failed readiness
# checks, one second apart. Requests are accepted until then; later ones could
# not be finished within the grace period.
SHUTDOWN_ACCEPT_SECONDS = 2.5
# End of the grace period, reserved for aborting the requests still running.
GRACE_RESERVE_SECONDS = 0.6
# The cell of all these routers; links from routers of another are refused.
CELL = 'cell'


class GatewayProcess:
    """A router process; `run` returns after its shutdown."""

    def __init__(
        self,
        cfg,
        settings_path,
        adapter,
        metrics_port,
        choice_policy=DEFAULT_POLICY,
    ):
        self.cfg = cfg
        self.loop = Loop()
        self.metrics = Metrics()
        self._adapter = adapter
        self._settings_path = settings_path
        self._choice_policy = choice_policy
        self._rng = random.Random()
        self._stop_at = None
        self._refuse_at = None
        self._reload_due = False
        # In seconds, of the last complete sweep interval.
        self._loop_lateness = 0.0
        self.metrics.add_gauge(self._loop_gauges)
        self._build()
        self._listen(metrics_port)

    def run(self):
        """Serve requests until the process is terminated."""
        self.loop.on_terminate = self.shut_down
        signal.signal(signal.SIGHUP, self._on_hangup_signal)
        every = self.loop.scheduler.call_every
        every(TICK_INTERVAL_SECONDS, self._tick)
        every(SWEEP_INTERVAL_SECONDS, self._sweep)
        every(KEY_REPORT_INTERVAL_SECONDS, self._key_load_reports.send)
        every(
            UPSTREAM_REPORT_INTERVAL_SECONDS, self._exchange_upstream_reports
        )
        every(self.cfg.timings.feed_interval, self._feeder.tick)
        every(SETTINGS_CHECK_INTERVAL_SECONDS, self._reload_settings)
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
        """Return why the router can't serve requests, or ''."""
        if self._stop_at is not None:
            return 'shutting down'
        return self.state.missing_state()

    def shut_down(self):
        """Start a graceful shutdown: drain connections, then stop."""
        if self._stop_at is not None:
            return
        now = self.loop.now()
        grace = self.cfg.bounds.shutdown_grace
        self._stop_at = now + grace - GRACE_RESERVE_SECONDS
        self._refuse_at = min(now + SHUTDOWN_ACCEPT_SECONDS, self._stop_at)
        self.frontend.draining = True
        self.frontend.stop_at = self._stop_at
        log_event(
            'shutting_down',
            router=self.cfg.name,
            running=len(self.frontend.active_exchanges),
            connections=len(self.frontend.connections),
        )
        self.leader.resign()
        self._quotas.stop()
        self._registration.stop()

    # Construction.

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
        self._store.on_era = self.state.note_store_era
        self._upstreams = Upstreams(self.loop, self.state.directory)
        self._pacing = Pacing(
            self.loop, cfg.name, self.state.routers, self._upstreams.limits
        )
        self._quotas = Quotas(
            self.loop,
            cfg,
            self.state,
            self.state.own_freshness,
            self.metrics,
        )
        self._departures = Departures(self.loop, cfg.name, self.state)
        self._announcer = RangeAnnouncer(self.loop, cfg.name)
        self._memory = RouterMemory(
            self.loop, budget_bytes(cfg.memory_mb), self.metrics
        )
        self.loop.receive_budget.total = receive_budget.budget_bytes(
            cfg.memory_mb
        )
        self.frontend = Frontend(
            self.loop,
            self._rng,
            cfg,
            self.state,
            self._upstreams,
            self._pacing,
            self._departures,
            self._announcer,
            self._adapter,
            self.metrics,
            self._memory,
            self._choice_policy,
        )
        self.frontend.quotas = self._quotas
        self.state.on_tables_changed = self.frontend.on_tables_changed
        self.leader = LeaderElection(
            self.loop,
            self._rng,
            cfg,
            address,
            self._store,
            self.state,
            self._upstreams.limits,
            self._departures.observe,
        )
        self._takeover = Takeover(
            self.loop, cfg, self.state, self.leader, is_preferred_leader(cfg)
        )
        self.state.on_restored = self._on_store_restored
        self._freshness = FreshnessExchange(
            self.loop,
            self._rng,
            cfg,
            self.state,
            self._store,
            self.leader,
            self.metrics,
        )
        self._freshness.needs_own = lambda: self._quotas.has_limits
        self._registration = Registration(
            self.loop, self._store, self._adapter, cfg, address
        )
        hello = messages.Hello(
            messages.SCHEMA_VERSION,
            cfg.name,
            CELL,
            make_incarnation(),
            address,
        )
        self._links = PeerLinks(self.loop, hello, self.metrics)
        self._links.max_buffered_bytes = min(
            self._links.max_buffered_bytes, self._memory.max_link_bytes
        )
        self._pacing.links = self._links
        self._freshness.links = self._links
        self._quotas.links = self._links
        self._departures.links = self._links
        self._announcer.links = self._links
        self._takeover.links = self._links
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
        self._key_load_reports = KeyLoadReports(
            cfg.name,
            self._links,
            self.leader,
            self._upstreams,
            self.frontend.key_counts,
        )
        self._message_handlers = self._make_message_handlers()

    def _listen(self, metrics_port):
        listen = self.cfg.listen
        readiness = Readiness(
            self._adapter.readiness_path, self.not_ready_reason, self.metrics
        )
        self._links.listen(*listen.peer)
        Listener(self.loop, *listen.readiness, readiness.accept)
        host = listen.peer[0]
        metrics_handler = Readiness(
            self._adapter.readiness_path,
            self.not_ready_reason,
            self.metrics,
            Explainer(self.frontend).explain,
        )
        Listener(self.loop, host, metrics_port, metrics_handler.accept)
        self._listener = Listener(
            self.loop, *listen.callers, self.frontend.connections.accept
        )

    def _on_store_restored(self):
        self.leader.on_store_restored()
        self._registration.restart()

    # Periodic work and shutdown.

    def _tick(self):
        self.state.tick()
        self._quotas.tick()
        self.leader.tick()
        self._freshness.tick()
        self._takeover.tick()
        if self.leader.leadership.leading:
            self._announce_ranges()
        self.frontend.tick()
        if self._stop_at is not None:
            self._check_shutdown()
            return
        self._registration.tick()
        self._connect_to_leader()
        if self._reload_due:
            self._reload_due = False
            self._reload_settings()

    def _announce_ranges(self):
        for notices in self.leader.coordinators.range_notices():
            self._announcer.announce(*notices)

    def _loop_gauges(self):
        yield 'bramleysill_loop_lateness_seconds', {}, self._loop_lateness
        bounded = len(self._upstreams.memory_estimates.bounds())
        yield 'bramleysill_upstreams_bounded', {}, bounded
        unsent = self._links.unsent_bytes()
        yield 'bramleysill_memory_held_bytes', {'kind': 'link'}, unsent
        budget = self.loop.receive_budget
        for source, held in budget.held_by_source().items():
            kind = f'unfinished_{source}'
            yield 'bramleysill_memory_held_bytes', {'kind': kind}, held
        yield 'bramleysill_unfinished_refused', {}, budget.refused

    def _note_loop_lateness(self):
        self._loop_lateness = self.loop.scheduler.take_max_lateness()
        if self._loop_lateness > LATE_LOOP_SECONDS:
            log_warning(
                'loop_late',
                seconds=self._loop_lateness,
                requests=len(self.frontend.active_exchanges),
                connections=len(self.frontend.connections),
            )

    def _sweep(self):
        self._note_loop_lateness()
        self.frontend.sweep()
        self._upstreams.sweep()
        self._memory.sweep()
        self._pacing.sweep()
        self._quotas.sweep()
        self.leader.sweep()

    def _check_shutdown(self):
        now = self.loop.now()
        if now < self._refuse_at:
            return
        if not self.frontend.refusing:
            self.frontend.refusing = True
            self._listener.close()
        self.frontend.connections.close_idle()
        running = (
            len(self.frontend.active_exchanges)
            + self.frontend.connections.count_unsent_responses()
        )
        if running and now < self._stop_at:
            return
        if running:
            log_warning('grace_exceeded', running=running)
        self.frontend.connections.abort_unfinished()
        self.state.stop()
        self._store.close()
        self._links.close()
        self.loop.stop()

    # Messages to and from other routers.

    def _connect_to_leader(self):
        """Open the link on which the leader sends store feeds."""
        leader = self.leader.current_leader()
        if leader is None or leader[0] == self.cfg.name:
            return
        name, address = leader
        self._links.update_addresses({name: address})
        self._links.get(name)

    def _exchange_upstream_reports(self):
        leader = self._leader_name()
        self._pacing.exchange_reports(leader)
        self._departures.exchange_reports(leader)

    def _leader_name(self):
        leader = self.leader.current_leader()
        return None if leader is None else leader[0]

    def _on_message(self, link, message):
        self._message_handlers[type(message)](link, message)

    def _make_message_handlers(self):
        """Return the handlers by class of message, called with the link."""

        def without_link(handler):
            return lambda link, message: handler(message)

        return {
            messages.KeyLoads: without_link(self.leader.note_report),
            messages.StoreFeed: without_link(self._feeder.on_feed),
            messages.FeedRequest: self._feeder.on_feed_request,
            messages.StoreCopy: without_link(self._feeder.on_copy),
            messages.UpstreamLimits: without_link(self._pacing.on_reports),
            messages.UpstreamDepartures: without_link(
                self._departures.on_message
            ),
            messages.RangeNoticeList: without_link(self._announcer.on_message),
            messages.TakeoverRequest: without_link(self._takeover.on_request),
            messages.LeaderChange: self._takeover.on_leader_change,
            messages.FormerTermHolds: without_link(self._takeover.on_holds),
            messages.PaceRequest: self._pacing.on_request,
            messages.PaceReply: without_link(self._pacing.on_reply),
            messages.FreshnessRequest: self._freshness.on_request,
            messages.FreshnessReply: without_link(self._freshness.on_reply),
            messages.QuotaRequest: self._quotas.on_request,
            messages.QuotaReply: without_link(self._quotas.on_reply),
        }

    # Settings.

    def _on_hangup_signal(self, signo, frame):
        self._reload_due = True

    def _reload_settings(self):
        try:
            cfg = self._adapter.read_settings(self._settings_path)
        except SillError as exc:
            self.metrics.events['settings_rejected'] += 1
            log_warning('settings_rejected', error=exc)
            return
        changed = cfg.differences(self.cfg)
        if changed:
            self.cfg.apply_bounds(cfg)
            log_event('settings_reloaded', changed=','.join(changed))


def make_incarnation():
    """Return an identifier of this start of the process."""
    return f'{time.time_ns():x}'
