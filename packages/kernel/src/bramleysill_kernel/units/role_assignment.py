"""How the coordinator assigns dispatchers to upstreams.

This covers the expiry of members, the roles that they held, and upstreams
that are lost or removed.
"""

from bramleysill_kernel.common import lease
from bramleysill_kernel.config import manifest as manifest_module

# A new coordinator waits until the router leases of the former term have
# expired. Upstreams whose dispatcher role no router has claimed are probed
# this long before the wait ends, so that the result is known when it ends.
EARLY_PROBE_SECONDS = 0.7


class RoleAssignment:
    """The part of a Coordinator that assigns dispatcher roles."""

    __slots__ = ()

    def _tick_roles(self, now):
        out = self._expire_members()
        out += self._probe_unclaimed(now)
        lost, sent = self.losses.tick()
        out += sent
        for upstream in lost:
            self.unit_moves.on_grants_expired(upstream)
            self._plan_at = lease.NEVER
        self._retire_removed()
        self.roles.renew_adopted(self._upstreams_with_table())
        if now >= self.assign_roles_at:
            domains = {
                u.name: u.failure_domain
                for u in self.manifest.upstreams.values()
            }
            blocked = self._unassignable_upstreams()
            self.roles.rebalance(now, domains, blocked)
            self.roles.assign_free(domains, blocked)
        return out

    def _confirm_roles(self, member):
        """Free the roles that a router no longer claims in its heartbeat.

        When the lease of a router expires, it drops its roles, and their
        grants have expired as well. Grants under a role that it gave up on
        request may be valid until its current lease expires.
        """
        given_up, dropped = self.roles.confirm(member)
        for upstream in given_up:
            self.losses.role_given_up(upstream, member.lease_deadline)
        for upstream in dropped:
            self.losses.role_given_up(upstream, self._clock.now())

    def _expire_members(self):
        out = []
        for name in self.members.expire():
            out += self._free_roles(name, self._clock.now())
            self.members.require_state(name, self.roles.serial + 1)
        return out

    def _free_restarted(self):
        for name, deadline in self.members.restarted.items():
            self._free_roles(name, deadline)
        self.members.restarted = {}

    def _free_roles(self, router, lease_expires_at):
        out = []
        for upstream in self.roles.free_roles_of(router):
            self.losses.dispatcher_lost(upstream, lease_expires_at)
            out += self.losses.probe_undispatched(
                upstream, self._domain_of(upstream)
            )
        return out

    def _probe_unclaimed(self, now):
        """Probe the upstreams whose role no router claims after an election.

        They are probed once, `EARLY_PROBE_SECONDS` before the wait ends.
        """
        due = self.grace_until - EARLY_PROBE_SECONDS
        if self._unclaimed_probed or now < due:
            return []
        self._unclaimed_probed = True
        out = []
        if self.grace_until == lease.NEVER:
            return out
        for upstream in self.manifest.upstreams:
            if self.roles.is_free(upstream):
                domain = self._domain_of(upstream)
                out += self.losses.probe_undispatched(upstream, domain)
        return out

    def _stop_undispatched(self, now):
        """Make the moves from upstreams without a dispatcher ready.

        No router can grant the units of such an upstream, and no dispatcher
        is assigned to it before their new owners have been written.
        """
        for upstream in self.unit_moves.sources_to_release():
            if not self.roles.is_free(upstream):
                continue
            if now >= self.losses.condition_of(upstream).may_run_until:
                self.unit_moves.on_grants_expired(upstream)

    def _retire_removed(self):
        """Revoke the roles of upstreams that the manifest omits."""
        for upstream in set(self.roles.roles) - set(self.manifest.upstreams):
            if self.roles.router_of(upstream):
                self.roles.revoke(upstream)
                self.losses.retire(upstream)
            elif self.roles.is_free(upstream) and not self._owns_units(
                upstream
            ):
                self.roles.drop(upstream)

    def _settle_seconds(self, upstream):
        known = self.manifest.upstreams.get(upstream)
        service = self.manifest.services[known.service] if known else None
        if service is None or service.authority:
            return 0.0
        return service.settle

    def _domain_of(self, upstream):
        known = self.manifest.upstreams.get(upstream)
        return known.failure_domain if known else ''

    def _upstreams_with_table(self):
        """Return the upstreams whose table is adopted or that need none."""
        adopted = set(self.tables.services())
        return [
            u.name
            for u in self.manifest.upstreams.values()
            if u.service in adopted or not self._is_keyed(u.service)
        ]

    def _unassignable_upstreams(self):
        """Return the upstreams whose free role must not be assigned yet."""
        ready = set(self._upstreams_with_table())
        blocked = {u for u in self.roles.roles if u not in ready}
        return (
            blocked
            | self.losses.unassignable_upstreams()
            | self.unit_moves.sources_released()
        )

    def _owns_units(self, upstream):
        return any(
            assignment.owner == upstream
            for service in self.tables.services()
            for _, assignment in self.tables.get(service).units()
        )

    def _keyed_services_with_table(self):
        return [s for s in self.tables.services() if self._is_keyed(s)]

    def _is_keyed(self, name):
        service = self.manifest.services.get(name)
        return (
            service is not None and service.kind == manifest_module.KIND_KEYED
        )
