"""The coordinator of a cell.

It plans which upstream owns each unit, assigns a dispatcher to each upstream
and distributes the resulting state to all routers.

The leading router's process creates one `Coordinator` per term, directly
after `Election.state` becomes `leading`, and discards it when
`Election.state` is no longer `leading` or `Election.term` differs. The
process must do the following:

* Call `announce()` once, then `tick()` every 0.1 s after `Election.tick()`,
  and execute the effects they return.
* Pass heartbeats, including the router's own, to `on_heartbeat`. Pass
  Released, Lapsed, ProbeResult and StateRequest to
  `on_message(router, message)`.
* Pass the replies to its store effects to `on_store_reply`.
* Watch the store keys `manifest` and `drains` during the term and pass each
  value to `on_manifest(manifest)`, parsed with the store's version, and to
  `on_drains(value, version)`.
* Deliver a SendMessage to the router's own name to its own RouterAgent.
* For a graceful shutdown, execute the effects of `resign()` after
  `Election.step_down('leaving')`.

The coordinator makes no decision while it lacks authority, see
`candidates.Authority`.
"""

import json

from bramleysill_kernel.common import effects
from bramleysill_kernel.common import lease
from bramleysill_kernel.common import messages
from bramleysill_kernel.config import manifest as manifest_module
from bramleysill_kernel.election import candidates
from bramleysill_kernel.units import dispatchers
from bramleysill_kernel.units import hot_units
from bramleysill_kernel.units import losses
from bramleysill_kernel.units import members
from bramleysill_kernel.units import moves
from bramleysill_kernel.units import planner
from bramleysill_kernel.units import publisher
from bramleysill_kernel.units import table_builder
from bramleysill_kernel.units import tables
from bramleysill_kernel.units.role_assignment import RoleAssignment

REPLAN_INTERVAL_SECONDS = 5.0


class Coordinator(RoleAssignment):
    """Coordinates one cell during one term."""

    __slots__ = (
        'name',
        'term',
        'manifest',
        'drained',
        'members',
        'roles',
        'tables',
        'losses',
        'unit_moves',
        'authority',
        'grace_until',
        'assign_roles_at',
        '_clock',
        '_rng',
        '_election',
        '_state',
        '_drains',
        '_drains_version',
        '_planner',
        '_publisher',
        '_table_builder',
        '_hot_units',
        '_plan_at',
        '_last_tick_at',
        '_unclaimed_probed',
    )

    def __init__(self, name, cell, clock, rng, ops, election, state):
        self.name = name
        self.term = election.term
        self.manifest = None
        self.drained = frozenset()
        self.members = members.MemberList(clock)
        self.roles = dispatchers.DispatcherList(self.term, self.members)
        writer_id = f'{name}/{election.incarnation}/{self.term}'
        self.tables = tables.TableRepository(
            cell, self.term, writer_id, clock, ops
        )
        self.grace_until = lease.NEVER
        if not election.first_term:
            self.grace_until = lease.grantor_deadline(
                election.elected_at, lease.ROUTER_LEASE_SECONDS
            )
        # The first roles are assigned only after all routers have found the
        # coordinator. A router needs two heartbeats for this: it learns the
        # term from the reply to the first, and the second is accepted.
        self.assign_roles_at = max(
            self.grace_until,
            clock.now() + 2 * lease.HEARTBEAT_INTERVAL_SECONDS,
        )
        self.losses = losses.LossDetector(
            clock,
            self.term,
            self.members,
            self.roles,
            self._settle_seconds,
            rng,
            self.grace_until,
        )
        self.unit_moves = moves.MoveTracker(clock, self.term)
        self.authority = candidates.Authority(
            election, self.members, cell, clock, ops
        )
        self._clock = clock
        self._rng = rng
        self._election = election
        self._state = state
        self._drains = {}
        self._drains_version = 0
        self._planner = None
        self._publisher = publisher.Publisher(
            name, self.term, clock, self.members, self.roles, self.tables
        )
        self._hot_units = hot_units.HotUnits(clock)
        self._table_builder = table_builder.TableBuilder(
            self.tables, self.unit_moves, self.losses, self._hot_units
        )
        self._plan_at = lease.NEVER
        self._last_tick_at = clock.now()
        self._unclaimed_probed = False
        if state.manifest is not None:
            self.on_manifest(state.manifest)

    def has_authority(self):
        """Return whether this coordinator may act now."""
        return self.authority.holds()

    def announce(self):
        """Return the messages that announce the term to all known routers."""
        return [
            effects.SendMessage(router, self._reply(0, False))
            for router in sorted(self._state.members)
            if router != self.name
        ]

    def resign(self):
        """Return the messages that release routers from their promises.

        They allow the members to stand for election at once, without waiting
        for their promises to this router to expire.
        """
        return [
            effects.SendMessage(
                m.name,
                messages.HeartbeatReply('', self.term, m.seq, -1.0, False),
            )
            for m in self.members
            if m.name != self.name
        ]

    def units_moving(self, service):
        """Return the units that are being moved, with their new owners."""
        return self._table_builder.units_moving(service)

    # Input.

    def on_manifest(self, manifest):
        """Apply a manifest that is newer than the current one."""
        if self.manifest and manifest.version <= self.manifest.version:
            return []
        self.manifest = manifest
        self._update_drained()
        self.roles.add_upstreams(manifest.upstreams)
        for service in manifest.services.values():
            keyed = service.kind == manifest_module.KIND_KEYED
            if keyed and not self.tables.adoption_started(service.name):
                self._adopt_table(service.name)
        return []

    def on_drains(self, value, version):
        """Apply the drains that operators have requested.

        `value` is the JSON object stored under `drains`, for example
        `{"failure_domains": ["fd-1"], "upstreams": ["u3"]}`; empty bytes
        stand for a missing key. A malformed value is logged and leaves the
        drains unchanged.
        """
        if version <= self._drains_version:
            return []
        try:
            found = json.loads(value) if value else {}
        except ValueError:
            found = None
        if not _is_valid_drains(found):
            fields = {'key': 'drains', 'version': version}
            return [effects.LogEvent('value_malformed', fields)]
        self._drains_version = version
        self._drains = found
        self._update_drained()
        return []

    def on_heartbeat(self, heartbeat):
        """Handle a router's heartbeat and reply to it.

        The reply extends the sender's lease unless the sender must first
        receive a newer state.
        """
        if not self.has_authority():
            reply = messages.HeartbeatReply(
                '', self.term, heartbeat.seq, -1.0, False
            )
            return [effects.SendMessage(heartbeat.router, reply)]
        if heartbeat.term > self.term:
            self._election.note_term(heartbeat.term)
            return []
        if heartbeat.term < self.term:
            reply = self._reply(heartbeat.seq, False)
            return [effects.SendMessage(heartbeat.router, reply)]
        member = self.members.record_heartbeat(heartbeat)
        self._free_restarted()
        for upstream in self.roles.adopt(member):
            self.losses.note_adopted(upstream)
        self._confirm_roles(member)
        accepted = self._may_extend_lease(member)
        reply = self._reply(heartbeat.seq, accepted)
        out = [effects.SendMessage(member.name, reply)]
        for report in heartbeat.reports:
            out.extend(self._on_report(member, report))
        return out + self._publisher.catch_up(
            member, *self._state_to_publish()
        )

    def on_message(self, router, message):
        """Handle a Released, Lapsed, ProbeResult or StateRequest."""
        if not self.has_authority():
            return []
        if isinstance(message, messages.Released):
            return self._on_released(message)
        elif isinstance(message, messages.Lapsed):
            self.losses.on_lapsed(router, message)
        elif isinstance(message, messages.ProbeResult):
            return self.losses.on_probe(router, message)
        elif isinstance(message, messages.StateRequest):
            update = self._state.make_update()
            return [effects.SendMessage(router, update)]
        return []

    def on_store_reply(self, op, reply):
        """Handle the reply to a store effect of this coordinator."""
        out = self.authority.on_store_reply(op, reply)
        if out is not None:
            # The next state update tells routers about new candidates.
            self.roles.mark_changed()
            return out
        out = self.tables.on_store_reply(op, reply) or []
        if self.manifest is None or not self.has_authority():
            return out
        return out + self._write_tables() + self._publish()

    def _on_report(self, member, report):
        changed, out = self.losses.on_report(member, report)
        known = self.manifest and self.manifest.upstreams.get(report.upstream)
        if known:
            self._hot_units.record_report(known.service, report)
        if changed:
            self._plan_at = lease.NEVER
        return out

    def _on_released(self, message):
        table = self.tables.get(message.service)
        if table is None:
            return []
        move = self.unit_moves.on_released(message, table.get(message.unit))
        if move is not None:
            condition = self.losses.condition_of(message.upstream)
            move.not_before = condition.may_run_until
        return self._write_tables()

    # Periodic work.

    def tick(self):
        """Return the effects that are due."""
        now = self._clock.now()
        late = now - self._last_tick_at > lease.LATE_TICK_SECONDS
        self._last_tick_at = now
        if self.tables.superseded:
            self._election.step_down('table_of_newer_term')
        if not self.has_authority():
            return []
        if late:
            self.members.extend_leases()
        out = self.authority.tick()
        out += self.tables.tick()
        if self.manifest is not None:
            out += self._tick_roles(now)
            out += self._tick_moves(now)
        return out + self._publish()

    def _tick_moves(self, now):
        due = now >= self._plan_at
        if due:
            self._plan_at = now + REPLAN_INTERVAL_SECONDS
        for service in self._keyed_services_with_table():
            if due or self._table_builder.is_remapping(service):
                self._plan(service)
        self._stop_undispatched(now)
        out = self.unit_moves.tick(
            self.roles.router_of, self._store_responds()
        )
        out += self._write_tables()
        for upstream, found in list(self.losses.conditions.items()):
            if found.phase == losses.LOST:
                self._readmit_lost(upstream)
        return out

    def _write_tables(self):
        """Start one table write per service that has changes.

        The remaining changes are written when the store has replied.
        """
        self._table_builder.drop_completed_moves()
        out = []
        for service in self._keyed_services_with_table():
            written = self._table_builder.write(service, self._planner)
            out += written
            if written:
                self._plan_at = lease.NEVER
        return out

    def _plan(self, service):
        table = self.tables.get(service)
        if self._table_builder.remap(service, self._planner):
            return
        moving = self._table_builder.units_moving(service)
        for move in self._planner.plan(table, moving):
            self._start_move(table, move)

    def _start_move(self, table, move):
        fence = table.get(move.unit).fence
        stopped = not move.source or self.losses.lost(move.source)
        if stopped or not self._planner.usable(move.source):
            self.unit_moves.add(table.service, move, fence, True, stopped)
            return
        cold = self.losses.cold_upstreams()
        if self.unit_moves.can_start_planned(move.source, move.target, cold):
            self.unit_moves.add(table.service, move, fence)

    def _readmit_lost(self, upstream):
        """Readmit a lost upstream once its units have other owners."""
        if upstream not in self.roles.roles:
            del self.losses.conditions[upstream]
        elif upstream not in self.unit_moves.sources_released():
            self.losses.start_return(upstream)

    # Helpers.

    def _store_responds(self):
        """Return whether the store has replied to the latest calls."""
        if self.authority.relies_on_promises():
            return False
        return self._election.store_ok

    def _adopt_table(self, service):
        self.tables.adopt(service, lambda: self._planner.make_table(service))

    def _update_drained(self):
        if self.manifest is None:
            return
        domains = set(self._drains.get('failure_domains', ()))
        names = set(self._drains.get('upstreams', ()))
        self.drained = frozenset(
            u.name
            for u in self.manifest.upstreams.values()
            if u.name in names
            or u.failure_domain in domains
            or self.manifest.is_drained(u.name)
        )
        self._planner = planner.Planner(
            self.manifest, self.drained, self.losses, self._rng
        )
        self._plan_at = lease.NEVER
        self.roles.mark_changed()

    def _may_extend_lease(self, member):
        """Return whether the reply to a heartbeat may extend the lease."""
        if not self.roles.claims_are_valid(member):
            return False
        if not member.required_serial:
            return True
        return member.has_state(self.term, member.required_serial)

    def _reply(self, seq, accepted):
        return messages.HeartbeatReply(
            self.name, self.term, seq, self._clock.now(), accepted
        )

    def _state_to_publish(self):
        return self.manifest, self.drained, self.authority.candidates()

    def _publish(self):
        if self.members.take_changed():
            self.roles.mark_changed()
        return self._publisher.publish(*self._state_to_publish())


def _is_valid_drains(value):
    """Return whether a parsed value lists domains and upstreams by name."""
    if not isinstance(value, dict):
        return False
    lists = [value.get(k, []) for k in ('failure_domains', 'upstreams')]
    return all(
        isinstance(names, list) and all(isinstance(n, str) for n in names)
        for names in lists
    )
