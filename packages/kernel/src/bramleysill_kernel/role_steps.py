"""The coordinator's steps around members, dispatchers and lost upstreams."""

from bramleysill_kernel import lease
from bramleysill_kernel import manifest as manifest_module

# Time before the end of the wait after an election at which upstreams that
# no router has reported are probed, so that the outcome is known at the end.
EARLY_CHECK_SECONDS = 0.7


class RoleSteps:
    """The part of a Coordinator that names dispatchers."""

    __slots__ = ()

    def _tick_roles(self, now):
        out = self._expire_members()
        out += self._check_unreported(now)
        lost, sent = self.losses.tick()
        out += sent
        for upstream in lost:
            self.board.owner_lapsed(upstream)
            self._plan_at = lease.NEVER
        self._retire_removed()
        self.roles.renew_adopted(self._sealed_upstreams())
        if now >= self.name_from:
            domains = {
                u.name: u.failure_domain
                for u in self.manifest.upstreams.values()
            }
            blocked = self._blocked()
            self.roles.rebalance(now, domains, blocked)
            self.roles.name_free(domains, blocked)
        return out

    def _confirm_roles(self, member):
        """Take note of the roles that a heartbeat shows to be free.

        Grants under a dropped role ended with the router's lease, those
        under a role given up may last until the end of its present lease.
        """
        given_up, dropped = self.roles.confirm(member)
        for upstream in given_up:
            self.losses.role_given_up(upstream, member.deadline)
        for upstream in dropped:
            self.losses.role_given_up(upstream, self._clock.now())

    def _expire_members(self):
        out = []
        for name in self.members.expire():
            out += self._free_roles(name, self._clock.now())
            self.members.note_death(name, self.roles.serial + 1)
        return out

    def _free_restarted(self):
        for name, deadline in self.members.restarted.items():
            self._free_roles(name, deadline)
        self.members.restarted = {}

    def _free_roles(self, router, lapsed_at):
        out = []
        for upstream in self.roles.router_lost(router):
            self.losses.dispatcher_lost(upstream, lapsed_at)
            out += self.losses.check(upstream, self._domain_of(upstream))
        return out

    def _check_unreported(self, now):
        """Probe upstreams whose dispatcher did not survive the election."""
        due = self.grace_until - EARLY_CHECK_SECONDS
        if self._checked or now < due:
            return []
        self._checked = True
        out = []
        if self.grace_until == lease.NEVER:
            return out
        for upstream in self.manifest.upstreams:
            if self.roles.is_free(upstream):
                domain = self._domain_of(upstream)
                out += self.losses.check(upstream, domain)
        return out

    def _stop_undispatched(self, now):
        """Take units of an upstream without a dispatcher as stopped.

        Nobody can grant them, and none is named before they are written.
        """
        for upstream in self.board.sources_to_release():
            if not self.roles.is_free(upstream):
                continue
            if now >= self.losses.of(upstream).unsettled_until:
                self.board.owner_lapsed(upstream)

    def _retire_removed(self):
        """Take roles of upstreams that the manifest does not name."""
        for upstream in set(self.roles.roles) - set(self.manifest.upstreams):
            if self.roles.router_of(upstream):
                self.roles.take(upstream)
                self.losses.retire(upstream)
            elif self.roles.is_free(upstream) and not self._owns(upstream):
                self.roles.drop(upstream)

    def _settle_of(self, upstream):
        known = self.manifest.upstreams.get(upstream)
        service = self.manifest.services[known.service] if known else None
        if service is None or service.authority:
            return 0.0
        return service.settle

    def _domain_of(self, upstream):
        known = self.manifest.upstreams.get(upstream)
        return known.failure_domain if known else ''

    def _sealed_upstreams(self):
        sealed = set(self.tables.services())
        return [
            u.name
            for u in self.manifest.upstreams.values()
            if u.service in sealed or not self._is_keyed(u.service)
        ]

    def _blocked(self):
        """Return upstreams whose free role must not be named yet."""
        sealed = set(self._sealed_upstreams())
        blocked = {u for u in self.roles.roles if u not in sealed}
        return (
            blocked | self.losses.held_back() | self.board.sources_released()
        )

    def _owns(self, upstream):
        return any(
            held.owner == upstream
            for service in self.tables.services()
            for _, held in self.tables.get(service).units()
        )

    def _keyed_ready(self):
        return [s for s in self.tables.services() if self._is_keyed(s)]

    def _is_keyed(self, name):
        service = self.manifest.services.get(name)
        return (
            service is not None and service.kind == manifest_module.KIND_KEYED
        )
