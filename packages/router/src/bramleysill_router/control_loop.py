"""The control loop of a router: election, coordinator and membership.

The kernel classes `Election`, `Coordinator` and `RouterAgent` decide but do no
I/O. The control loop drives them at a fixed interval, passes messages and
store replies to them and carries out the effects that they return.
"""

import itertools
import json

from bramleysill_kernel.common import effects
from bramleysill_kernel.common import lease
from bramleysill_kernel.common import messages
from bramleysill_kernel.common.exceptions import SillError
from bramleysill_kernel.config.manifest_parser import parse_manifest
from bramleysill_kernel.election.election import LEADING
from bramleysill_kernel.units.coordinator import Coordinator
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning
from bramleysill_router.store_watch import StoreWatch

TICK_INTERVAL_SECONDS = 0.1
STATE_REQUEST_INTERVAL_SECONDS = 0.5
VM_LIST_INTERVAL_SECONDS = 5.0
STORE_OK_SECONDS = 2.0

MANIFEST_KEY = 'manifest'
DRAINS_KEY = 'drains'

_STORE_EFFECTS = (
    effects.StoreRead,
    effects.StoreWrite,
    effects.StoreLease,
    effects.StoreRenew,
    effects.StoreEndLease,
)


class ControlLoop:
    """Sends heartbeats, and runs the coordinator while this router leads.

    Set `dispatchers` and `on_state_changed` before `start()`. Releases,
    suspensions and warm-ups go to the dispatcher of their upstream.
    `on_state_changed(parts)` is called with the set of parts that a
    StateUpdate has changed.
    """

    def __init__(
        self, loop, cfg, rng, ops, store, links, election, agent, state
    ):
        self._loop = loop
        self._cfg = cfg
        self._rng = rng
        self._store = store
        self._links = links
        self._election = election
        self._agent = agent
        self._state = state
        self._op_numbers = ops
        self._coordinator = None
        self._watches = []
        self._state_requested_at = 0.0
        self._vm_list_read_at = 0.0
        self._heartbeat_sent_at = lease.NEVER
        self._seeds = itertools.cycle(cfg.seeds) if cfg.seeds else None
        self.dispatchers = None
        self.on_state_changed = None

    @property
    def coordinator(self):
        """Return this router's Coordinator while it leads, or None."""
        return self._coordinator

    def start(self):
        """Start the periodic tick, which sends the heartbeats."""
        scheduler = self._loop.scheduler
        scheduler.call_every(TICK_INTERVAL_SECONDS, self._tick)
        self._tick()

    def send_to_coordinator(self, message):
        """Send a message to the coordinator, if one is known."""
        if self._agent.coordinator:
            self._deliver(self._agent.coordinator, message)

    # Timers.

    def _tick(self):
        self._execute(self._election, self._election.tick())
        self._apply_election()
        if self._coordinator is not None:
            self._execute(self._coordinator, self._coordinator.tick())
        if self._agent.heartbeat_due or self._heartbeat_interval_elapsed():
            self.heartbeat()
        self._links.update_addresses(self._state.members)
        if self._election.leader_hint and self._election.leader_address:
            self._links.update_addresses(
                {self._election.leader_hint: self._election.leader_address}
            )
        self._request_state()
        self._read_vm_list()

    def _heartbeat_interval_elapsed(self):
        interval = self._agent.heartbeat_interval()
        # Without a tolerance of half a tick, a tick that comes slightly early
        # would delay the heartbeat by a whole tick.
        due = self._heartbeat_sent_at + interval - TICK_INTERVAL_SECONDS / 2
        return self._loop.now() >= due

    def heartbeat(self):
        """Send a heartbeat with the reports of all upstreams now."""
        self._heartbeat_sent_at = self._loop.now()
        self.dispatchers.report_all()
        router, heartbeat = self._agent.make_heartbeat()
        if router:
            self._deliver(router, heartbeat)

    def _request_state(self):
        now = self._loop.now()
        known = self._state.manifest is not None
        if known or self._seeds is None:
            return
        if now - self._state_requested_at < STATE_REQUEST_INTERVAL_SECONDS:
            return
        self._state_requested_at = now
        host, port = next(self._seeds)
        link = self._links.dial(f'{host}:{port}')
        if link is not None:
            link.send(messages.StateRequest(self._cfg.name))

    def _read_vm_list(self):
        now = self._loop.now()
        if now - self._vm_list_read_at < VM_LIST_INTERVAL_SECONDS:
            return
        self._vm_list_read_at = now
        self._store.list_vms(self._on_vm_list)

    def _on_vm_list(self, data):
        if data is None:
            return
        try:
            names = [vm['name'] for vm in json.loads(data)]
        except (ValueError, KeyError, TypeError):
            log_warning('vm_list_malformed', peer='platform')
            return
        self._election.on_vm_list(names)

    # Leadership.

    def _apply_election(self):
        """Start or stop the coordinator to match the election."""
        election = self._election
        leading = election.state == LEADING
        current = self._coordinator
        if current is not None and (
            not leading or current.term != election.term
        ):
            log_event('coordinator_stopped', term=current.term)
            self._coordinator = None
            for watch in self._watches:
                watch.stop()
            self._watches = []
        if leading and self._coordinator is None:
            self._start_coordinator()

    def _start_coordinator(self):
        log_event('coordinator_started', term=self._election.term)
        self._coordinator = Coordinator(
            self._cfg.name,
            self._cfg.cell,
            self._loop,
            self._rng,
            self._op_numbers,
            self._election,
            self._state,
        )
        self._execute(self._coordinator, self._coordinator.announce())
        self._watches = [
            StoreWatch(
                self._loop, self._store, MANIFEST_KEY, self._on_manifest
            ),
            StoreWatch(self._loop, self._store, DRAINS_KEY, self._on_drains),
        ]
        for watch in self._watches:
            watch.start()

    def _on_manifest(self, value, version):
        coordinator = self._coordinator
        if coordinator is None or not version:
            return
        try:
            manifest = parse_manifest(value.decode(), 'manifest', version)
        except (SillError, UnicodeDecodeError) as exc:
            log_warning('manifest_refused', version=version, error=exc)
            return
        log_event('manifest_read', version=version)
        self._execute(coordinator, coordinator.on_manifest(manifest))

    def _on_drains(self, value, version):
        coordinator = self._coordinator
        if coordinator is None:
            return
        try:
            self._execute(coordinator, coordinator.on_drains(value, version))
        except (ValueError, AttributeError, TypeError) as exc:
            log_warning('drains_refused', version=version, error=exc)
            return
        log_event('drains_read', version=version)

    def stop(self):
        """Resign as coordinator, so that another router can lead at once."""
        coordinator = self._coordinator
        if coordinator is None:
            return
        self._election.step_down('leaving')
        self._execute(coordinator, coordinator.resign())
        self._execute(self._election, self._election.tick())
        self._apply_election()

    # Effects.

    def _execute(self, source, pending):
        """Carry out effects; `source` is the object that returned them."""
        for effect in pending or ():
            if isinstance(effect, effects.SendMessage):
                self._deliver(effect.router, effect.message)
            elif isinstance(effect, _STORE_EFFECTS):
                self._call_store(source, effect)
            else:
                self._log_effect(effect)

    def _call_store(self, source, effect):
        def on_reply(reply):
            self._execute(source, source.on_store_reply(effect.op, reply))
            self._apply_election()

        self._store.execute(effect, on_reply)

    def _log_effect(self, effect):
        log_event(effect.event, **effect.fields)

    # Messages.

    def _deliver(self, router, message):
        if router == self._cfg.name:
            # Delivered by the scheduler, since the sender may still be in the
            # middle of changing its own state.
            self._loop.scheduler.call_at(
                self._loop.now(), lambda: self.on_message(router, message)
            )
            return
        self._links.send(router, message)

    def on_control(self, link, message):
        """Handle a control message that arrived on a peer link."""
        self.on_message(link.router, message)

    def on_message(self, router, message):
        """Handle a control message from a router, which may be this one."""
        handler = _HANDLERS.get(type(message))
        if handler is not None:
            handler(self, router, message)
        elif self._coordinator is not None:
            coordinator = self._coordinator
            self._execute(coordinator, coordinator.on_message(router, message))

    def _on_heartbeat(self, router, heartbeat):
        coordinator = self._coordinator
        if coordinator is None:
            self._deliver(router, self._agent.refuse(heartbeat))
            return
        self._execute(coordinator, coordinator.on_heartbeat(heartbeat))
        if heartbeat.leaving:
            # Assign the roles of the leaving router to others now, not with
            # the next tick.
            self._execute(coordinator, coordinator.tick())

    def _on_heartbeat_reply(self, router, reply):
        self._agent.on_reply(reply)

    def _on_state_update(self, router, update):
        self._links.update_addresses(update.members)
        changed = self._agent.on_state(update)
        if changed:
            self.on_state_changed(changed)
        if self._agent.heartbeat_due:
            self.heartbeat()
        if self._state.manifest_error is not None:
            problem = self._state.manifest_error
            self._state.manifest_error = None
            log_warning('manifest_refused', error=problem, peer=router)

    def _on_state_request(self, router, request):
        if self._state.manifest is not None:
            self._deliver(router, self._state.make_update())

    def _on_release(self, router, message):
        dispatcher = self.dispatchers.get(message.upstream)
        if dispatcher is not None and message.term >= self._agent.term:
            dispatcher.authority.release(message)

    def _on_suspend(self, router, message):
        dispatcher = self.dispatchers.get(message.upstream)
        if dispatcher is not None and message.term >= self._agent.term:
            dispatcher.authority.suspend(message.term)

    def _on_warm(self, router, message):
        dispatcher = self.dispatchers.get(message.upstream)
        if dispatcher is not None:
            dispatcher.authority.warm(message.unit)

    def _on_probe_request(self, router, message):
        manifest = self._state.manifest
        upstream = manifest and manifest.upstreams.get(message.upstream)
        if upstream is None:
            return

        def probed(reachable):
            result = messages.ProbeResult(message.upstream, reachable)
            self._deliver(router, result)

        self.dispatchers.probe(upstream, probed)


_HANDLERS = {
    messages.Heartbeat: ControlLoop._on_heartbeat,
    messages.HeartbeatReply: ControlLoop._on_heartbeat_reply,
    messages.StateUpdate: ControlLoop._on_state_update,
    messages.StateRequest: ControlLoop._on_state_request,
    messages.Release: ControlLoop._on_release,
    messages.Suspend: ControlLoop._on_suspend,
    messages.Warm: ControlLoop._on_warm,
    messages.ProbeRequest: ControlLoop._on_probe_request,
}
