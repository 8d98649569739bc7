"""Which upstreams are lost, by a second opinion and lapsed grants.

A dispatcher reports an upstream as suspect. Two routers, in other failure
domains where possible, probe it. If one reaches it, the role moves there. If
none does, the dispatcher is told to suspend it, and the upstream is *lost*
once its grants have lapsed. When its units have new owners it is *returning*:
the dispatcher is named anew, and the upstream is used again when that
dispatcher reports it as ok.

When the dispatcher itself is lost, the upstream is probed at once, because
both may have failed together.
"""

from bramleysill_kernel import effects
from bramleysill_kernel import lease
from bramleysill_kernel import messages

PROBERS = 2
PROBE_SECONDS = 0.5
SUSPEND_RESEND_SECONDS = 0.5
# A second suspicion within this time after the role moved counts as loss.
PING_PONG_SECONDS = 5.0

OK = 'ok'
PROBING = 'probing'
SUSPENDED = 'suspended'
LOST = 'lost'
RETURNING = 'returning'


class Condition:
    """What is known of one upstream."""

    __slots__ = (
        'step',
        'reporter',
        'asked',
        'answers',
        'deadline',
        'sent_at',
        'lapsed_at',
        'moved_at',
        'leaving',
        'cold',
        'load',
        'unsettled_until',
    )

    def __init__(self):
        self.step = OK
        self.reporter = ''
        self.asked = []
        self.answers = {}
        self.deadline = lease.NEVER
        self.sent_at = lease.NEVER
        self.lapsed_at = None
        self.moved_at = lease.NEVER
        self.leaving = False
        self.cold = False
        self.load = None
        self.unsettled_until = lease.NEVER


class LossWatch:
    """Decides which upstreams are lost, for one coordinator's term.

    `settle_of(upstream)` returns 0 for upstreams that check authority, and
    otherwise the seconds for which a lost dispatcher's requests may run.
    """

    __slots__ = (
        'conditions',
        '_clock',
        '_term',
        '_members',
        '_roles',
        '_settle_of',
        '_rng',
        '_settled_at',
    )

    def __init__(
        self, clock, term, members, roles, settle_of, rng, settled_at
    ):
        self.conditions = {}
        self._settled_at = settled_at
        self._clock = clock
        self._term = term
        self._members = members
        self._roles = roles
        self._settle_of = settle_of
        self._rng = rng

    def of(self, upstream):
        """Return the Condition of an upstream."""
        found = self.conditions.get(upstream)
        if found is None:
            found = self.conditions[upstream] = Condition()
            found.unsettled_until = self._settled_at + self._settle_of(
                upstream
            )
        return found

    def adopted(self, upstream):
        """Note that a dispatcher kept its role through the election."""
        self.of(upstream).unsettled_until = self._settled_at

    def usable(self, upstream):
        """Tell whether an upstream may be given units."""
        found = self.conditions.get(upstream)
        return found is None or (found.step == OK and not found.leaving)

    def lost(self, upstream):
        """Tell whether the upstream can run nothing any more."""
        found = self.conditions.get(upstream)
        return found is not None and found.step == LOST

    def held_back(self):
        """Return upstreams whose role must not be named anew.

        A new dispatcher would grant units that are about to be written to
        other owners.
        """
        return {
            u
            for u, c in self.conditions.items()
            if c.step in (SUSPENDED, LOST)
        }

    def cold(self):
        """Return upstreams in slow start."""
        return {u for u, c in self.conditions.items() if c.cold}

    def loads(self):
        """Return observed loads by upstream."""
        return {
            u: c.load for u, c in self.conditions.items() if c.load is not None
        }

    def on_report(self, member, report):
        """Take a dispatcher's report; return (changed, effects)."""
        if self._roles.router_of(report.upstream) != member.name:
            return False, []
        found = self.of(report.upstream)
        found.load = report.load
        before = (found.step, found.leaving, found.cold)
        found.cold = report.cold
        out = []
        if report.condition == messages.UPSTREAM_SUSPECT:
            out = self._suspect(report.upstream, found, member)
        else:
            found.leaving = report.condition == messages.UPSTREAM_LEAVING
            retracted = found.step == PROBING and found.reporter == member.name
            if retracted or self._returned(report, found, member):
                found.step = OK
        return before != (found.step, found.leaving, found.cold), out

    def _returned(self, report, found, member):
        """Tell whether a lost upstream answers its renewed dispatcher."""
        held = tuple(member.held.get(report.upstream, (0, 0)))
        named = self._roles.generation_of(report.upstream)
        return found.step == RETURNING and held == named

    def _suspect(self, upstream, found, member):
        if found.step != OK:
            return []
        found.reporter = member.name
        found.asked = self._probers(member.name, member.failure_domain)
        now = self._clock.now()
        if not found.asked or now < found.moved_at + PING_PONG_SECONDS:
            return self._suspend(upstream, found)
        return self._probe(upstream, found)

    def check(self, upstream, domain):
        """Probe an upstream whose dispatcher was lost; return effects."""
        found = self.of(upstream)
        found.asked = self._probers('', domain)
        if found.step != OK or not found.asked:
            return []
        found.reporter = ''
        return self._probe(upstream, found)

    def _probe(self, upstream, found):
        found.step = PROBING
        found.answers = {}
        found.deadline = self._clock.now() + PROBE_SECONDS
        request = messages.ProbeRequest(self._term, upstream)
        return [effects.SendMessage(r, request) for r in found.asked]

    def _probers(self, reporter, domain):
        others = [
            m for m in self._members if m.name != reporter and not m.leaving
        ]
        self._rng.shuffle(others)
        others.sort(key=lambda m: m.failure_domain == domain)
        chosen = [m.name for m in others[:1]]
        seen = {domain, *(m.failure_domain for m in others[:1])}
        rest = sorted(others[1:], key=lambda m: m.failure_domain in seen)
        return chosen + [m.name for m in rest[: PROBERS - 1]]

    def on_probe(self, router, result):
        """Take a second opinion; return effects."""
        found = self.conditions.get(result.upstream)
        if found is None or found.step != PROBING:
            return []
        if router not in found.asked:
            return []
        found.answers[router] = result.reachable
        if result.reachable:
            found.step = OK
            self._move_role(result.upstream, found, router)
            return []
        if len(found.answers) == len(found.asked):
            return self._suspend(result.upstream, found)
        return []

    def _move_role(self, upstream, found, router):
        """Move the role from a reporter that does not reach the upstream."""
        holder = self._roles.router_of(upstream)
        if found.reporter and holder == found.reporter:
            found.moved_at = self._clock.now()
            self._roles.revoke(upstream, router)

    def _suspend(self, upstream, found):
        found.step = SUSPENDED
        found.sent_at = lease.NEVER
        found.lapsed_at = None
        return self._send_suspend(upstream, found)

    def _send_suspend(self, upstream, found):
        now = self._clock.now()
        router = self._roles.router_of(upstream)
        if not router or now < found.sent_at + SUSPEND_RESEND_SECONDS:
            return []
        found.sent_at = now
        suspend = messages.Suspend(self._term, upstream)
        return [effects.SendMessage(router, suspend)]

    def on_lapsed(self, router, message):
        """Take a Lapsed; the upstream is lost at the next tick.

        If nobody has asked for the suspension in this term, a late Suspend
        has caused it, and the role is renewed to end it.
        """
        upstream = message.upstream
        if self._roles.router_of(upstream) != router:
            return
        if tuple(message.generation) != self._roles.generation_of(upstream):
            return
        found = self.of(upstream)
        if found.step == SUSPENDED:
            found.lapsed_at = self._clock.now()
        elif found.step in (OK, RETURNING):
            self._roles.renew(upstream)

    def role_given_up(self, upstream, lapsed_at):
        """Note that a former dispatcher's grants end by `lapsed_at`."""
        found = self.of(upstream)
        found.unsettled_until = max(found.unsettled_until, lapsed_at)

    def dispatcher_lost(self, upstream, lapsed_at):
        """Note that a lost dispatcher's lease ends at `lapsed_at`."""
        self.role_given_up(upstream, lapsed_at + self._settle_of(upstream))

    def tick(self):
        """Return (upstreams newly lost, effects)."""
        now = self._clock.now()
        lost = []
        out = []
        for upstream, found in self.conditions.items():
            if found.step == PROBING and now >= found.deadline:
                out.extend(self._decide(upstream, found))
            if found.step != SUSPENDED:
                continue
            if self._roles.is_free(upstream):
                found.lapsed_at = found.unsettled_until
            if found.lapsed_at is None:
                out.extend(self._send_suspend(upstream, found))
            elif now >= max(found.lapsed_at, found.unsettled_until):
                found.step = LOST
                lost.append(upstream)
        return lost, out

    def _decide(self, upstream, found):
        """Decide on missing answers: silence alone proves nothing.

        Without any answer the word of the dispatcher that reported counts;
        without a reporter the named dispatcher will report by itself.
        """
        if found.answers or found.reporter:
            return self._suspend(upstream, found)
        found.step = OK
        return []

    def retire(self, upstream):
        """Give up an upstream that the manifest does not name any more."""
        found = self.of(upstream)
        found.step = SUSPENDED
        found.lapsed_at = None

    def start_return(self, upstream):
        """Let a lost upstream, whose units are given away, come back."""
        self.of(upstream).step = RETURNING
        self._roles.renew(upstream)
