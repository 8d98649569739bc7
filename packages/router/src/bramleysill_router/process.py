"""The router process: builds its parts, runs them and shuts them down."""

import itertools
import os
import random
import time

from circuits.net import events

from bramleysill_kernel.common import messages
from bramleysill_kernel.common import refusals
from bramleysill_kernel.config.manifest_parser import parse_manifest
from bramleysill_kernel.election.election import Election
from bramleysill_kernel.units.membership import RouterAgent
from bramleysill_kernel.units.state import RouterState
from bramleysill_net.conn import Listener
from bramleysill_net.loop import Loop
from bramleysill_router.admin import serve_admin
from bramleysill_router.control_loop import ControlLoop
from bramleysill_router.dispatch_context import DispatchContext
from bramleysill_router.dispatchers import Dispatchers
from bramleysill_router.entry import Entry
from bramleysill_router.locator import Locator
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning
from bramleysill_router.metrics import Metrics
from bramleysill_router.metrics import unit_gauges
from bramleysill_router.peer_links import PeerLinks
from bramleysill_router.remote_attempt import RemoteAttempt
from bramleysill_router.remote_attempt import StreamDemultiplexer
from bramleysill_router.retry_budgets import RetryBudgets
from bramleysill_router.store_client import store_clients

DISPATCH_TICK_INTERVAL_SECONDS = 0.05
SHUTDOWN_CHECK_INTERVAL_SECONDS = 0.05
# Time for the last heartbeat to arrive and for the coordinator to name other
# dispatchers.
HANDOVER_WAIT_SECONDS = 0.4


class RouterProcess:
    """One router: entry, dispatchers and, if elected, the coordinator."""

    def __init__(self, cfg):
        self.cfg = cfg
        self.loop = Loop()
        self.metrics = Metrics()
        self._rng = random.Random()
        self._incarnation = f'{os.getpid()}-{time.time_ns()}'
        self._shutdown_deadline = None
        self._handover_deadline = None
        self.state = RouterState(parse_manifest)
        self._store = store_clients.get(cfg.store_client)(self.loop, cfg.store)
        self._build_control()
        self._build_request_path()
        self._connect_parts()
        self._listen()

    def run(self):
        """Serve until a signal has terminated the process."""
        self.loop.on_terminate = self.shut_down
        self._control_loop.start()
        call_every = self.loop.scheduler.call_every
        call_every(DISPATCH_TICK_INTERVAL_SECONDS, self._tick)
        log_event(
            'started',
            router=self.cfg.name,
            cell=self.cfg.cell,
            failure_domain=self.cfg.failure_domain,
        )
        self.loop.run()
        log_event('stopped', router=self.cfg.name)

    def apply_state(self, router, update):
        """Apply a StateUpdate as if `router` had sent it."""
        self._control_loop.on_message(router, update)

    def close(self):
        """Close the sockets of a process that was never run."""
        self._listener.close()
        self.links.close()
        self.loop.fire(events.close(), self._admin.channel)
        self.loop.flush()

    # Construction.

    def _build_control(self):
        cfg = self.cfg
        address = f'{cfg.peer_listen[0]}:{cfg.peer_listen[1]}'
        hello = messages.Hello(
            messages.SCHEMA_VERSION,
            cfg.name,
            cfg.cell,
            self._incarnation,
            address,
        )
        self.links = PeerLinks(self.loop, hello, self.metrics)
        ops = itertools.count(1)
        self.election = Election(
            cfg.name,
            self._incarnation,
            address,
            cfg.cell,
            self.loop,
            self._rng,
            ops,
        )
        self.agent = RouterAgent(
            cfg.name,
            self._incarnation,
            address,
            cfg.failure_domain,
            self.loop,
            self.state,
            self.election,
            self._must_report_held,
        )
        self._control_loop = ControlLoop(
            self.loop,
            cfg,
            self._rng,
            ops,
            self._store,
            self.links,
            self.election,
            self.agent,
            self.state,
        )

    def _build_request_path(self):
        context = DispatchContext(
            self.loop,
            self._rng,
            self.agent,
            self.state,
            self._control_loop.send_to_coordinator,
            self.metrics,
        )
        self.dispatchers = Dispatchers(context)
        self.locator = Locator(self.cfg.name, self.state, self.loop, self._rng)
        self.entry = Entry(
            self.loop,
            self.cfg.name,
            self.state,
            self.locator,
            self._submit,
            RetryBudgets(self.loop, self._rng),
            self.metrics,
        )

    def _connect_parts(self):
        streams = StreamDemultiplexer(self.dispatchers.submit, self.loop.now)
        self.links.on_control = self._control_loop.on_control
        self.links.on_stream = streams.on_stream
        self.links.on_lost = streams.on_lost
        self._control_loop.dispatchers = self.dispatchers
        self._control_loop.on_state_changed = self._on_state_changed
        self.metrics.add_gauge(self.dispatchers.gauges)
        self.metrics.add_gauge(self._gauges)
        self.metrics.add_gauge(self._unit_gauges)

    def _listen(self):
        cfg = self.cfg
        self.links.listen(*cfg.peer_listen)
        self._listener = Listener(self.loop, *cfg.listen, self.entry.accept)
        self._admin = serve_admin(self.loop, cfg.admin_listen, self)

    # Running.

    def _tick(self):
        self.dispatchers.tick()
        self.locator.tick()

    def _on_state_changed(self, parts):
        self.dispatchers.on_state_changed()
        self.locator.on_state_changed()
        self.entry.on_state_changed()
        self.metrics.note_failure_domains(
            self.state.manifest, self.state.drained
        )

    def _must_report_held(self, upstream):
        return self.dispatchers.must_report_held(upstream)

    def _submit(self, router, head, sink, body, body_complete):
        if router == self.cfg.name:
            attempt = self.dispatchers.submit(head, sink)
            if attempt is not None:
                if body:
                    attempt.write(body)
                if body_complete:
                    attempt.end()
            return attempt
        link = self.links.get(router)
        if link is None:
            sink.on_refused(_no_link_refusal(router))
            return None
        now = self.loop.now()
        return RemoteAttempt(link, head, sink, now, body, body_complete)

    # Shutdown.

    def shut_down(self):
        """Stop accepting callers, hand over the roles and finish requests.

        The process ends when no request and no role is left, or after the
        grace period.
        """
        if self._shutdown_deadline is not None:
            return
        now = self.loop.now()
        self._shutdown_deadline = now + self.cfg.grace
        log_event('shutting_down', router=self.cfg.name)
        self._listener.close()
        self.agent.leaving = True
        self.agent.heartbeat_due = True
        self.entry.close_idle()
        self.loop.scheduler.call_every(
            SHUTDOWN_CHECK_INTERVAL_SECONDS, self._check_shutdown
        )

    def _check_shutdown(self):
        self.entry.close_idle()
        running = len(self.entry.active)
        roles = 0 if self._is_only_member() else len(self.agent.held)
        busy = self.dispatchers.busy_count()
        late = self.loop.now() >= self._shutdown_deadline
        if late and (running or busy):
            log_warning(
                'grace_exceeded', running=running, roles=roles, busy=busy
            )
        if late or not (running or busy or roles or self._is_handing_over()):
            self.entry.abort_unfinished()
            self._control_loop.stop()
            self.links.close()
            self.loop.stop()

    def _is_only_member(self):
        return set(self.state.members) <= {self.cfg.name}

    def _is_handing_over(self):
        """Return whether the coordinator needs time to reassign the roles.

        The first call sends a heartbeat that announces the departure. Without
        it, the roles of this router would stay unassigned until its lease
        expires.
        """
        now = self.loop.now()
        if self._handover_deadline is None:
            self._handover_deadline = now + HANDOVER_WAIT_SECONDS
            self._control_loop.heartbeat()
        return now < self._handover_deadline and not self._is_only_member()

    # Called by the admin server.

    def not_ready_reason(self):
        """Return why callers cannot be served, or ''."""
        if self._shutdown_deadline is not None:
            return 'shutting down'
        if self.state.manifest is None:
            return 'no manifest'
        if not self.agent.has_lease():
            return 'no router lease'
        missing = [
            s.name
            for s in self.state.manifest.services.values()
            if s.kind == 'keyed' and s.name not in self.state.tables
        ]
        if missing:
            return f'no ownership table of {missing[0]}'
        return ''

    def status(self):
        """Return the status document, as a dict, for `sillctl status`."""
        now = self.loop.now()
        coordinator = self._control_loop.coordinator
        return {
            'router': self.cfg.name,
            'cell': self.cfg.cell,
            'failure_domain': self.cfg.failure_domain,
            'ready': not self.not_ready_reason(),
            'not_ready_reason': self.not_ready_reason(),
            'coordinator': self.agent.coordinator,
            'leading': coordinator is not None,
            'term': self.agent.term,
            'lease_seconds': round(self.agent.lease_deadline - now, 3)
            if self.agent.has_lease()
            else 0,
            'versions': self.state.versions(),
            'members': self.state.members,
            'candidates': self.state.candidates,
            'drained': sorted(self.state.drained),
            'dispatching': sorted(self.agent.held),
            'active_requests': len(self.entry.active),
            'store_calls': self._store.calls,
            'store_reachable': self._store.reachable,
            'control_bytes': dict(self.metrics.control_bytes),
            'events': dict(self.metrics.events),
        }

    def _unit_gauges(self):
        coordinator = self._control_loop.coordinator
        if coordinator is None:
            return ()
        return unit_gauges(self.state.tables, coordinator.units_moving)

    def _gauges(self):
        remaining = 0.0
        if self.agent.has_lease():
            remaining = self.agent.lease_deadline - self.loop.now()
        yield 'bramleysill_lease_seconds', {}, remaining
        manifest = self.state.manifest
        version = manifest.version if manifest else 0
        yield 'bramleysill_manifest_version', {}, version


def _no_link_refusal(router):
    return refusals.NotDispatcher(
        'no link to the dispatcher', 'forward', router, retry_after=1
    )
