"""Drives the kernel's election, coordinator and agent of this router."""

import itertools
import json

from bramleysill_kernel import effects
from bramleysill_kernel import lease
from bramleysill_kernel import messages
from bramleysill_kernel.coordinator import Coordinator
from bramleysill_kernel.election import LEADING
from bramleysill_kernel.exceptions import SillError
from bramleysill_kernel.manifest_parser import parse_manifest
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning
from bramleysill_router.watches import StoreWatch

TICK_SECONDS = 0.1
STATE_REQUEST_SECONDS = 0.5
VM_LIST_SECONDS = 5.0
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


class Control:
    """Heartbeats, election, coordination and the spread of state.

    `on_changed(parts)` is called when state was applied, `dispatchers` gets
    releases, suspensions and warm-ups.
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
        self._ops = ops
        self._coordinator = None
        self._watches = []
        self._asked_at = 0.0
        self._vms_at = 0.0
        self._heartbeat_sent_at = lease.NEVER
        self._seeds = itertools.cycle(cfg.seeds) if cfg.seeds else None
        self.dispatchers = None
        self.on_changed = None

    @property
    def coordinator(self):
        """Return this router's Coordinator while it leads, or None."""
        return self._coordinator

    def start(self):
        """Begin to tick and to send heartbeats."""
        scheduler = self._loop.scheduler
        scheduler.call_every(TICK_SECONDS, self._tick)
        self._tick()

    def send_to_coordinator(self, message):
        """Send a message to the router that coordinates the cell."""
        if self._agent.coordinator:
            self._deliver(self._agent.coordinator, message)

    # Timers.

    def _tick(self):
        self._run(self._election, self._election.tick())
        self._follow_office()
        if self._coordinator is not None:
            self._run(self._coordinator, self._coordinator.tick())
        if self._agent.heartbeat_due or self._heartbeat_at_hand():
            self.heartbeat()
        self._links.learn(self._state.members)
        if self._election.leader_hint and self._election.leader_address:
            self._links.learn(
                {self._election.leader_hint: self._election.leader_address}
            )
        self._ask_for_state()
        self._read_vm_list()

    def _heartbeat_at_hand(self):
        interval = self._agent.heartbeat_interval()
        # Half a tick of tolerance keeps the interval from becoming longer.
        due = self._heartbeat_sent_at + interval - TICK_SECONDS / 2
        return self._loop.now() >= due

    def heartbeat(self):
        """Send a heartbeat now."""
        self._heartbeat_sent_at = self._loop.now()
        self.dispatchers.report_all()
        router, heartbeat = self._agent.make_heartbeat()
        if router:
            self._deliver(router, heartbeat)

    def _ask_for_state(self):
        now = self._loop.now()
        known = self._state.manifest is not None
        if known or self._seeds is None:
            return
        if now - self._asked_at < STATE_REQUEST_SECONDS:
            return
        self._asked_at = now
        host, port = next(self._seeds)
        link = self._links.dial(f'{host}:{port}')
        if link is not None:
            link.send(messages.StateRequest(self._cfg.name))

    def _read_vm_list(self):
        now = self._loop.now()
        if now - self._vms_at < VM_LIST_SECONDS:
            return
        self._vms_at = now
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

    # Office.

    def _follow_office(self):
        election = self._election
        leading = election.state == LEADING
        current = self._coordinator
        if current is not None and (
            not leading or current.term != election.term
        ):
            log_event('office_ended', term=current.term)
            self._coordinator = None
            for watch in self._watches:
                watch.stop()
            self._watches = []
        if leading and self._coordinator is None:
            self._take_office()

    def _take_office(self):
        log_event('office_taken', term=self._election.term)
        self._coordinator = Coordinator(
            self._cfg.name,
            self._cfg.cell,
            self._loop,
            self._rng,
            self._ops,
            self._election,
            self._state,
        )
        self._run(self._coordinator, self._coordinator.announce())
        self._watches = [
            StoreWatch(self._loop, self._store, MANIFEST_KEY, self._manifest),
            StoreWatch(self._loop, self._store, DRAINS_KEY, self._drains),
        ]
        for watch in self._watches:
            watch.start()

    def _manifest(self, value, version):
        coordinator = self._coordinator
        if coordinator is None or not version:
            return
        try:
            manifest = parse_manifest(value.decode(), 'manifest', version)
        except (SillError, UnicodeDecodeError) as exc:
            log_warning('manifest_refused', version=version, error=exc)
            return
        log_event('manifest_read', version=version)
        self._run(coordinator, coordinator.on_manifest(manifest))

    def _drains(self, value, version):
        coordinator = self._coordinator
        if coordinator is None:
            return
        try:
            self._run(coordinator, coordinator.on_drains(value, version))
        except (ValueError, AttributeError, TypeError) as exc:
            log_warning('drains_refused', version=version, error=exc)
            return
        log_event('drains_read', version=version)

    def stop(self):
        """Give up the office, so that another router takes it at once."""
        coordinator = self._coordinator
        if coordinator is None:
            return
        self._election.step_down('leaving')
        self._run(coordinator, coordinator.resign())
        self._run(self._election, self._election.tick())
        self._follow_office()

    # Effects.

    def _run(self, owner, found):
        for effect in found or ():
            if isinstance(effect, effects.SendMessage):
                self._deliver(effect.router, effect.message)
            elif isinstance(effect, _STORE_EFFECTS):
                self._store_call(owner, effect)
            else:
                self._log(effect)

    def _store_call(self, owner, effect):
        def answered(answer):
            self._run(owner, owner.on_store_answer(effect.op, answer))
            self._follow_office()

        self._store.execute(effect, answered)

    def _log(self, effect):
        log_event(effect.event, **effect.fields)

    # Messages.

    def _deliver(self, router, message):
        if router == self._cfg.name:
            # Not at once: the sender may be in the middle of its own step.
            self._loop.scheduler.call_at(
                self._loop.now(), lambda: self.on_message(router, message)
            )
            return
        self._links.send(router, message)

    def on_control(self, link, message):
        """Handle a control message of a peer link."""
        self.on_message(link.router, message)

    def on_message(self, router, message):
        """Handle a control message of a router, this one included."""
        handler = _HANDLERS.get(type(message))
        if handler is not None:
            handler(self, router, message)
        elif self._coordinator is not None:
            coordinator = self._coordinator
            self._run(coordinator, coordinator.on_message(router, message))

    def _on_heartbeat(self, router, heartbeat):
        coordinator = self._coordinator
        if coordinator is None:
            self._deliver(router, self._agent.refuse(heartbeat))
            return
        self._run(coordinator, coordinator.on_heartbeat(heartbeat))
        if heartbeat.leaving:
            # Its roles are named anew at once rather than with the next tick.
            self._run(coordinator, coordinator.tick())

    def _on_reply(self, router, reply):
        self._agent.on_reply(reply)

    def _on_state(self, router, update):
        self._links.learn(update.members)
        changed = self._agent.on_state(update)
        if changed:
            self.on_changed(changed)
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
        upstream = manifest.upstreams.get(message.upstream)
        if upstream is None:
            return

        def probed(reachable):
            result = messages.ProbeResult(message.upstream, reachable)
            self._deliver(router, result)

        self.dispatchers.probe(upstream, probed)


_HANDLERS = {
    messages.Heartbeat: Control._on_heartbeat,
    messages.HeartbeatReply: Control._on_reply,
    messages.StateUpdate: Control._on_state,
    messages.StateRequest: Control._on_state_request,
    messages.Release: Control._on_release,
    messages.Suspend: Control._on_suspend,
    messages.Warm: Control._on_warm,
    messages.ProbeRequest: Control._on_probe_request,
}
