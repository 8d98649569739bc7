"""The coordinator of a cell: ownership, dispatchers and distribution.

The process of the leading router makes one `Coordinator` per term, directly
after `Election.state` has become `leading`, and drops it when
`Election.state` is no longer `leading` or `Election.term` differs:

* It carries out `announce()` once, then `tick()` every 0.1 s, after
  `Election.tick()`.
* Heartbeats go to `on_heartbeat`, also the router's own. Released, Lapsed,
  ProbeResult and StateRequest go to `on_message(router, message)`.
* Answers to store effects that it returned go to `on_store_answer`.
* It watches the store keys `manifest` and `drains` for the time of the term
  and passes each value to `on_manifest(manifest)`, parsed with the store's
  version, and `on_drains(value, version)`.
* A SendMessage to the router's own name goes to its own RouterAgent.
* For a graceful end, it carries out `resign()` after
  `Election.step_down('leaving')`.

All methods return effects. Nothing is decided without authority, see
`candidates.Authority`.
"""

import json

from bramleysill_kernel import candidates
from bramleysill_kernel import dispatchers
from bramleysill_kernel import effects
from bramleysill_kernel import hot_units
from bramleysill_kernel import lease
from bramleysill_kernel import losses
from bramleysill_kernel import manifest as manifest_module
from bramleysill_kernel import members
from bramleysill_kernel import messages
from bramleysill_kernel import moves
from bramleysill_kernel import planner
from bramleysill_kernel import publisher
from bramleysill_kernel import tables
from bramleysill_kernel import writer
from bramleysill_kernel.role_steps import RoleSteps

REPLAN_SECONDS = 5.0


class Coordinator(RoleSteps):
    """Decides for one cell during one term."""

    __slots__ = (
        'name',
        'term',
        'manifest',
        'drained',
        'members',
        'roles',
        'tables',
        'losses',
        'board',
        'authority',
        'grace_until',
        'name_from',
        '_clock',
        '_rng',
        '_election',
        '_state',
        '_drains',
        '_drains_version',
        '_planner',
        '_publisher',
        '_writer',
        '_hot',
        '_plan_at',
        '_last_tick',
        '_checked',
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
        if not election.first:
            self.grace_until = lease.grantor_deadline(
                election.elected_at, lease.ROUTER_LEASE_SECONDS
            )
        # All routers find the coordinator before the first roles are named:
        # one heartbeat to learn its term and one that it accepts.
        self.name_from = max(
            self.grace_until, clock.now() + 2 * lease.HEARTBEAT_SECONDS
        )
        self.losses = losses.LossWatch(
            clock,
            self.term,
            self.members,
            self.roles,
            self._settle_of,
            rng,
            self.grace_until,
        )
        self.board = moves.MoveTracker(clock, self.term)
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
        self._hot = hot_units.HotUnits(clock)
        self._writer = writer.Writer(
            self.tables, self.board, self.losses, self._hot
        )
        self._plan_at = lease.NEVER
        self._last_tick = clock.now()
        self._checked = False
        if state.manifest is not None:
            self.on_manifest(state.manifest)

    def has_authority(self):
        """Tell whether this coordinator may act now."""
        return self.authority.holds()

    def announce(self):
        """Return messages that tell known routers of the new term."""
        return [
            effects.SendMessage(router, self._reply(0, False))
            for router in sorted(self._state.members)
            if router != self.name
        ]

    def resign(self):
        """Return messages that make promises to this router void."""
        return [
            effects.SendMessage(
                m.name,
                messages.HeartbeatReply('', self.term, m.seq, -1.0, False),
            )
            for m in self.members
            if m.name != self.name
        ]

    def units_moving(self, service):
        """Return the targets of units on their way, as a dict."""
        return self._writer.moving(service)

    # Input.

    def on_manifest(self, manifest):
        """Take a manifest; an older version than the known is ignored."""
        if self.manifest and manifest.version <= self.manifest.version:
            return []
        self.manifest = manifest
        self._update_drained()
        self.roles.add_upstreams(manifest.upstreams)
        for service in manifest.services.values():
            keyed = service.kind == manifest_module.KIND_KEYED
            if keyed and not self.tables.adopted(service.name):
                self._adopt(service.name)
        return []

    def on_drains(self, value, version):
        """Take the drains that operators requested.

        `value` is the JSON object stored under `drains`, for example
        `{"failure_domains": ["fd-1"], "upstreams": ["u3"]}`; empty bytes
        stand for a missing key. A malformed value leaves the drains as they
        were.
        """
        if version <= self._drains_version:
            return []
        try:
            found = json.loads(value) if value else {}
        except ValueError:
            found = None
        if not _is_drains(found):
            fields = {'key': 'drains', 'version': version}
            return [effects.LogEvent('value_malformed', fields)]
        self._drains_version = version
        self._drains = found
        self._update_drained()
        return []

    def on_heartbeat(self, heartbeat):
        """Extend the sender's lease, unless it must catch up first."""
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
        member = self.members.note(heartbeat)
        self._free_restarted()
        for upstream in self.roles.adopt(member):
            self.losses.adopted(upstream)
        self._confirm_roles(member)
        accepted = self._current(member)
        reply = self._reply(heartbeat.seq, accepted)
        out = [effects.SendMessage(member.name, reply)]
        for report in heartbeat.reports:
            out.extend(self._on_report(member, report))
        return out + self._publisher.catch_up(member, *self._shared())

    def on_message(self, router, message):
        """Take Released, Lapsed, ProbeResult or StateRequest."""
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

    def on_store_answer(self, op, answer):
        """Take the answer to a store effect of this coordinator."""
        out = self.authority.on_store_answer(op, answer)
        if out is not None:
            # Routers learn of new candidates with the next state.
            self.roles.touch()
            return out
        out = self.tables.on_store_answer(op, answer) or []
        if self.manifest is None or not self.has_authority():
            return out
        return out + self._write() + self._publish()

    def _on_report(self, member, report):
        changed, out = self.losses.on_report(member, report)
        known = self.manifest and self.manifest.upstreams.get(report.upstream)
        if known:
            self._hot.record_report(known.service, report)
        if changed:
            self._plan_at = lease.NEVER
        return out

    def _on_released(self, message):
        table = self.tables.get(message.service)
        if table is None:
            return []
        move = self.board.on_released(message, table.get(message.unit))
        if move is not None:
            condition = self.losses.of(message.upstream)
            move.not_before = condition.unsettled_until
        return self._write()

    # Steps.

    def tick(self):
        """Return everything that is due."""
        now = self._clock.now()
        late = now - self._last_tick > lease.LATE_TICK_SECONDS
        self._last_tick = now
        if self.tables.superseded:
            self._election.step_down('table_of_newer_term')
        if not self.has_authority():
            return []
        if late:
            self.members.extend_all()
        out = self.authority.tick()
        out += self.tables.tick()
        if self.manifest is not None:
            out += self._tick_roles(now)
            out += self._tick_moves(now)
        return out + self._publish()

    def _tick_moves(self, now):
        due = now >= self._plan_at
        if due:
            self._plan_at = now + REPLAN_SECONDS
        for service in self._keyed_ready():
            if due or self._writer.remapping(service):
                self._plan(service)
        self._stop_undispatched(now)
        out = self.board.tick(self.roles.router_of, self._store_answers())
        out += self._write()
        for upstream, found in list(self.losses.conditions.items()):
            if found.step == losses.LOST:
                self._return_lost(upstream)
        return out

    def _write(self):
        """Write what is ready; more follows with the next answer."""
        self._writer.settle()
        out = []
        for service in self._keyed_ready():
            written = self._writer.write(service, self._planner)
            out += written
            if written:
                self._plan_at = lease.NEVER
        return out

    def _plan(self, service):
        table = self.tables.get(service)
        if self._writer.remap(service, self._planner):
            return
        moving = self._writer.moving(service)
        for move in self._planner.plan(table, moving):
            self._start(table, move)

    def _start(self, table, move):
        fence = table.get(move.unit).fence
        free = not move.source or self.losses.lost(move.source)
        if free or not self._planner.usable(move.source):
            self.board.add(table.service, move, fence, True, free)
            return
        cold = self.losses.cold()
        if self.board.can_start_planned(move.source, move.target, cold):
            self.board.add(table.service, move, fence)

    def _return_lost(self, upstream):
        """Let a lost upstream return once its units are given away."""
        if upstream not in self.roles.roles:
            del self.losses.conditions[upstream]
        elif upstream not in self.board.sources_released():
            self.losses.start_return(upstream)

    # Helpers.

    def _store_answers(self):
        """Tell whether the newest calls to the store were answered."""
        if self.authority.on_promises():
            return False
        return self._election.store_ok

    def _adopt(self, service):
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
        self.roles.touch()

    def _current(self, member):
        if not self.roles.agrees(member):
            return False
        if not member.must_have:
            return True
        return member.has_state(self.term, member.must_have)

    def _reply(self, seq, accepted):
        return messages.HeartbeatReply(
            self.name, self.term, seq, self._clock.now(), accepted
        )

    def _shared(self):
        return self.manifest, self.drained, self.authority.candidates()

    def _publish(self):
        if self.members.take_joined():
            self.roles.touch()
        return self._publisher.publish(*self._shared())


def _is_drains(value):
    """Tell whether a parsed value names failure domains and upstreams."""
    if not isinstance(value, dict):
        return False
    lists = [value.get(k, []) for k in ('failure_domains', 'upstreams')]
    return all(
        isinstance(names, list) and all(isinstance(n, str) for n in names)
        for names in lists
    )
