"""Failure detection for upstreams.

When a dispatcher reports an upstream as suspect, two other routers, in other
failure domains where possible, probe the upstream. If one of them reaches it,
the dispatcher role moves to that router. If none does, the dispatcher is told
to suspend the upstream, which is *lost* once its grants have expired. When
its units have new owners it is *returning*: its dispatcher is assigned again
with a new generation, and the upstream is used again when that dispatcher
reports it as ok.

When the dispatcher itself is lost, the upstream is probed at once, because
both may have failed together.
"""

from bramleysill_kernel.common import effects
from bramleysill_kernel.common import lease
from bramleysill_kernel.common import messages

MAX_PROBERS = 2
PROBE_TIMEOUT_SECONDS = 0.5
SUSPEND_RESEND_INTERVAL_SECONDS = 0.5
# If the new dispatcher suspects the upstream within this time after the role
# moved to it, the upstream is suspended without another probe.
REPEATED_SUSPICION_SECONDS = 5.0

OK = 'ok'
PROBING = 'probing'
SUSPENDED = 'suspended'
LOST = 'lost'
RETURNING = 'returning'


class UpstreamCondition:
    """What is known about one upstream.

    `reporter` is the dispatcher that reported the upstream as suspect, or
    empty if it is probed because its dispatcher was lost. `probers` are the
    routers that were asked to probe it, and `probe_results` maps those that
    have replied to whether they reached it. `grants_expire_at` is when the
    grants of a suspended upstream have expired, or None until it is known.
    Requests sent by a former dispatcher may run until `may_run_until`.
    """

    __slots__ = (
        'phase',
        'reporter',
        'probers',
        'probe_results',
        'probe_deadline',
        'suspend_sent_at',
        'grants_expire_at',
        'role_moved_at',
        'leaving',
        'cold',
        'load',
        'may_run_until',
    )

    def __init__(self):
        self.phase = OK
        self.reporter = ''
        self.probers = []
        self.probe_results = {}
        self.probe_deadline = lease.NEVER
        self.suspend_sent_at = lease.NEVER
        self.grants_expire_at = None
        self.role_moved_at = lease.NEVER
        self.leaving = False
        self.cold = False
        self.load = None
        self.may_run_until = lease.NEVER


class LossDetector:
    """Decides which upstreams are lost, during one coordinator's term.

    `settle_seconds(upstream)` returns 0 for upstreams that check authority,
    and otherwise for how long requests of a lost dispatcher may still run.
    The router leases of older terms have expired at `former_leases_until`.
    """

    __slots__ = (
        'conditions',
        '_clock',
        '_term',
        '_members',
        '_roles',
        '_settle_seconds',
        '_rng',
        '_former_leases_until',
    )

    def __init__(
        self,
        clock,
        term,
        members,
        roles,
        settle_seconds,
        rng,
        former_leases_until,
    ):
        self.conditions = {}
        self._former_leases_until = former_leases_until
        self._clock = clock
        self._term = term
        self._members = members
        self._roles = roles
        self._settle_seconds = settle_seconds
        self._rng = rng

    def condition_of(self, upstream):
        """Return the UpstreamCondition, created on the first call."""
        condition = self.conditions.get(upstream)
        if condition is None:
            condition = self.conditions[upstream] = UpstreamCondition()
            condition.may_run_until = (
                self._former_leases_until + self._settle_seconds(upstream)
            )
        return condition

    def note_adopted(self, upstream):
        """Record that a dispatcher kept its role during the election.

        Requests of former dispatchers have then ended when the leases of
        older terms have expired.
        """
        self.condition_of(upstream).may_run_until = self._former_leases_until

    def usable(self, upstream):
        """Return whether units may be assigned to an upstream."""
        condition = self.conditions.get(upstream)
        return condition is None or (
            condition.phase == OK and not condition.leaving
        )

    def lost(self, upstream):
        """Return whether the upstream can no longer run any request."""
        condition = self.conditions.get(upstream)
        return condition is not None and condition.phase == LOST

    def unassignable_upstreams(self):
        """Return the upstreams that must not get a new dispatcher.

        A new dispatcher would grant units that are about to be assigned to
        other owners.
        """
        return {
            u
            for u, c in self.conditions.items()
            if c.phase in (SUSPENDED, LOST)
        }

    def cold_upstreams(self):
        """Return the upstreams in slow start."""
        return {u for u, c in self.conditions.items() if c.cold}

    def loads(self):
        """Return a dict of upstreams and their observed loads."""
        return {
            u: c.load for u, c in self.conditions.items() if c.load is not None
        }

    def on_report(self, member, report):
        """Handle a dispatcher's report; return (changed, effects)."""
        if self._roles.router_of(report.upstream) != member.name:
            return False, []
        condition = self.condition_of(report.upstream)
        condition.load = report.load
        before = (condition.phase, condition.leaving, condition.cold)
        condition.cold = report.cold
        out = []
        if report.condition == messages.UPSTREAM_SUSPECT:
            out = self._on_suspect(report.upstream, condition, member)
        else:
            condition.leaving = report.condition == messages.UPSTREAM_LEAVING
            retracted = (
                condition.phase == PROBING
                and condition.reporter == member.name
            )
            if retracted or self._has_returned(report, condition, member):
                condition.phase = OK
        return before != (
            condition.phase,
            condition.leaving,
            condition.cold,
        ), out

    def _has_returned(self, report, condition, member):
        """Return whether a report shows that a lost upstream works again.

        Only a report under the renewed generation of the role counts.
        """
        held = tuple(member.held.get(report.upstream, (0, 0)))
        named = self._roles.generation_of(report.upstream)
        return condition.phase == RETURNING and held == named

    def _on_suspect(self, upstream, condition, member):
        if condition.phase != OK:
            return []
        condition.reporter = member.name
        condition.probers = self._choose_probers(
            member.name, member.failure_domain
        )
        now = self._clock.now()
        if (
            not condition.probers
            or now < condition.role_moved_at + REPEATED_SUSPICION_SECONDS
        ):
            return self._suspend(upstream, condition)
        return self._probe(upstream, condition)

    def probe_undispatched(self, upstream, domain):
        """Probe an upstream whose dispatcher was lost; return effects."""
        condition = self.condition_of(upstream)
        condition.probers = self._choose_probers('', domain)
        if condition.phase != OK or not condition.probers:
            return []
        condition.reporter = ''
        return self._probe(upstream, condition)

    def _probe(self, upstream, condition):
        condition.phase = PROBING
        condition.probe_results = {}
        condition.probe_deadline = self._clock.now() + PROBE_TIMEOUT_SECONDS
        request = messages.ProbeRequest(self._term, upstream)
        return [effects.SendMessage(r, request) for r in condition.probers]

    def _choose_probers(self, reporter, domain):
        others = [
            m for m in self._members if m.name != reporter and not m.leaving
        ]
        self._rng.shuffle(others)
        others.sort(key=lambda m: m.failure_domain == domain)
        chosen = [m.name for m in others[:1]]
        seen = {domain, *(m.failure_domain for m in others[:1])}
        rest = sorted(others[1:], key=lambda m: m.failure_domain in seen)
        return chosen + [m.name for m in rest[: MAX_PROBERS - 1]]

    def on_probe(self, router, result):
        """Handle the result of a probe; return effects."""
        condition = self.conditions.get(result.upstream)
        if condition is None or condition.phase != PROBING:
            return []
        if router not in condition.probers:
            return []
        condition.probe_results[router] = result.reachable
        if result.reachable:
            condition.phase = OK
            self._move_role(result.upstream, condition, router)
            return []
        if len(condition.probe_results) == len(condition.probers):
            return self._suspend(result.upstream, condition)
        return []

    def _move_role(self, upstream, condition, router):
        """Move the role from the reporter to a router that was successful."""
        holder = self._roles.router_of(upstream)
        if condition.reporter and holder == condition.reporter:
            condition.role_moved_at = self._clock.now()
            self._roles.revoke(upstream, router)

    def _suspend(self, upstream, condition):
        condition.phase = SUSPENDED
        condition.suspend_sent_at = lease.NEVER
        condition.grants_expire_at = None
        return self._send_suspend(upstream, condition)

    def _send_suspend(self, upstream, condition):
        now = self._clock.now()
        router = self._roles.router_of(upstream)
        if (
            not router
            or now
            < condition.suspend_sent_at + SUSPEND_RESEND_INTERVAL_SECONDS
        ):
            return []
        condition.suspend_sent_at = now
        suspend = messages.Suspend(self._term, upstream)
        return [effects.SendMessage(router, suspend)]

    def on_lapsed(self, router, message):
        """Handle a Lapsed: all grants of the upstream have expired.

        A suspended upstream is lost from the next tick at which its former
        dispatchers' requests have ended as well. If this term did not suspend
        the upstream, a delayed Suspend of an older term did, and the role is
        renewed to end the suspension.
        """
        upstream = message.upstream
        if self._roles.router_of(upstream) != router:
            return
        if tuple(message.generation) != self._roles.generation_of(upstream):
            return
        condition = self.condition_of(upstream)
        if condition.phase == SUSPENDED:
            condition.grants_expire_at = self._clock.now()
        elif condition.phase in (OK, RETURNING):
            self._roles.renew(upstream)

    def role_given_up(self, upstream, grants_expire_at):
        """Record when a former dispatcher's grants expire at the latest."""
        condition = self.condition_of(upstream)
        condition.may_run_until = max(
            condition.may_run_until, grants_expire_at
        )

    def dispatcher_lost(self, upstream, lease_expires_at):
        """Record when the lease of a lost dispatcher expires."""
        self.role_given_up(
            upstream, lease_expires_at + self._settle_seconds(upstream)
        )

    def tick(self):
        """Return the upstreams that are lost from now on, and effects."""
        now = self._clock.now()
        lost = []
        out = []
        for upstream, condition in self.conditions.items():
            if condition.phase == PROBING and now >= condition.probe_deadline:
                out.extend(self._on_probe_timeout(upstream, condition))
            if condition.phase != SUSPENDED:
                continue
            if self._roles.is_free(upstream):
                condition.grants_expire_at = condition.may_run_until
            if condition.grants_expire_at is None:
                out.extend(self._send_suspend(upstream, condition))
            elif now >= max(
                condition.grants_expire_at, condition.may_run_until
            ):
                condition.phase = LOST
                lost.append(upstream)
        return lost, out

    def _on_probe_timeout(self, upstream, condition):
        """Decide when not all probers have replied in time.

        A missing reply alone does not show that the upstream is lost. If a
        prober did not reach the upstream, or if a dispatcher has reported it
        as suspect, the upstream is suspended. Otherwise nothing is done: a
        dispatcher reports the upstream if it is suspect.
        """
        if condition.probe_results or condition.reporter:
            return self._suspend(upstream, condition)
        condition.phase = OK
        return []

    def retire(self, upstream):
        """Suspend an upstream that was removed from the manifest."""
        condition = self.condition_of(upstream)
        condition.phase = SUSPENDED
        condition.grants_expire_at = None

    def start_return(self, upstream):
        """Readmit a lost upstream whose units have new owners."""
        self.condition_of(upstream).phase = RETURNING
        self._roles.renew(upstream)
