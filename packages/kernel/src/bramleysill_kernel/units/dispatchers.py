"""Which router dispatches to which upstream.

The dispatcher role of an upstream is assigned to one router at a time. A role
is free only when its last holder can't use it any more: the holder's lease
has expired, or the holder has confirmed in a heartbeat that it has applied
the state that revokes the role.
"""

import math

from bramleysill_kernel.common import hashing
from bramleysill_kernel.common import lease

# Least time between two role changes that only balance the load.
REBALANCE_INTERVAL_SECONDS = 1.0
# Number of roles above an even share that a router may keep.
MAX_ROLES_ABOVE_SHARE = 1


class Role:
    """The dispatcher role of one upstream.

    `router` is empty while no router is assigned. `revoked_from` is the router
    that the role was revoked from, until it confirms that it has given up the
    role. `preferred` is the router to assign next if possible. `generation`
    is (`term`, `n`). `adopted` is true while the assignment is that of an
    older term. `serial` is the serial number of the state that contains the
    last change.
    """

    __slots__ = (
        'router',
        'term',
        'n',
        'revoked_from',
        'serial',
        'preferred',
        'adopted',
    )

    def __init__(self):
        self.router = ''
        self.term = 0
        self.n = 0
        self.revoked_from = ''
        self.serial = 0
        self.preferred = ''
        self.adopted = False

    @property
    def generation(self):
        """Return (term, n)."""
        return (self.term, self.n)


class DispatcherList:
    """Assigns the dispatchers of all upstreams during one term.

    `serial` is the serial number of the last published state. A change gets
    the next number and is published under it by `publish`.
    """

    __slots__ = (
        'roles',
        'serial',
        'changed',
        '_term',
        '_members',
        '_next_rebalance_at',
        '_last_n',
    )

    def __init__(self, term, members):
        self.roles = {}
        self.serial = 0
        self.changed = False
        self._term = term
        self._members = members
        self._next_rebalance_at = lease.NEVER
        self._last_n = 0

    def add_upstreams(self, names):
        """Create a role for each new upstream."""
        for name in names:
            if name not in self.roles:
                self.roles[name] = Role()
                self.mark_changed()

    def drop(self, upstream):
        """Delete the free role of a removed upstream."""
        del self.roles[upstream]
        self.mark_changed()

    def mark_changed(self):
        """Record that the state has changed and must be published."""
        self.changed = True

    def publish(self):
        """Increment the serial number if the state has changed."""
        if self.changed:
            self.serial += 1
            self.changed = False

    def router_of(self, upstream):
        """Return the router that the role is assigned to, or ''."""
        role = self.roles.get(upstream)
        return role.router if role else ''

    def is_free(self, upstream):
        """Return whether no router holds the role any more."""
        role = self.roles.get(upstream)
        return role is None or not (role.router or role.revoked_from)

    def generation_of(self, upstream):
        """Return the generation of a role, or (0, 0)."""
        role = self.roles.get(upstream)
        return role.generation if role else (0, 0)

    def export(self):
        """Return the roles in the form that a StateUpdate carries."""
        return {u: (r.router, r.term, r.n) for u, r in self.roles.items()}

    def adopt(self, member):
        """Keep assignments of an older term that a router claims.

        Returns the upstreams of the roles that were adopted.
        """
        adopted = []
        for upstream, generation in member.held.items():
            role = self.roles.get(upstream)
            if role is None or role.router or role.revoked_from:
                continue
            if role.term:
                continue
            role.adopted = True
            role.router = member.name
            role.term, role.n = generation
            adopted.append(upstream)
            self.mark_changed()
        return adopted

    def claims_are_valid(self, member):
        """Return whether a router may hold all roles that it claims."""
        return all(
            self.router_of(u) == member.name
            or (u in self.roles and self.roles[u].revoked_from == member.name)
            for u in member.held
        )

    def confirm(self, member):
        """Free the roles that a router no longer claims.

        Returns two lists of upstreams: those whose role the router gave up on
        request, and those whose role it dropped because its lease expired.
        Both kinds of role can be assigned again.
        """
        given_up = []
        dropped = []
        if not member.has_state(self._term, 1):
            return given_up, dropped
        name = member.name
        for upstream, role in self.roles.items():
            if role.router != name and role.revoked_from != name:
                continue
            if upstream in member.held:
                continue
            if not member.has_state(self._term, role.serial):
                continue
            if role.revoked_from == name:
                role.revoked_from = ''
                given_up.append(upstream)
            else:
                role.router = ''
                role.preferred = name
                dropped.append(upstream)
        return given_up, dropped

    def revoke(self, upstream, preferred=''):
        """Revoke a role; `preferred` is the router to assign next."""
        role = self.roles[upstream]
        role.preferred = preferred
        if not role.router:
            return
        role.revoked_from = role.router
        role.router = ''
        self._require_newer_state(role.revoked_from)
        role.serial = self.serial + 1

    def free_roles_of(self, router):
        """Free all roles of a lost router; return their upstreams."""
        freed = []
        for upstream, role in self.roles.items():
            if router in (role.router, role.revoked_from):
                role.router = role.revoked_from = ''
                freed.append(upstream)
        self._require_newer_state(router)
        return freed

    def renew_adopted(self, upstreams):
        """Assign adopted roles to the same routers in this term.

        This ends a suspension by the older term. The upstreams' tables must
        have been adopted, so that no write by an older coordinator can
        succeed.
        """
        for upstream in upstreams:
            role = self.roles.get(upstream)
            if role is not None and role.adopted:
                self._assign(role, role.router)

    def renew(self, upstream):
        """Assign the role to the same router with a new generation."""
        role = self.roles[upstream]
        if role.router:
            self._assign(role, role.router)

    def assign_free(self, domains, blocked):
        """Assign all free roles, except those in `blocked`.

        `domains` maps upstreams to their failure domains.
        """
        routers = self._members.names()
        if not routers:
            return
        load = self._load(routers)
        for upstream in sorted(self.roles):
            role = self.roles[upstream]
            if role.router or role.revoked_from or upstream in blocked:
                continue
            chosen = self._choose_router(
                upstream, role, domains, routers, load
            )
            load[chosen] += 1
            self._assign(role, chosen)

    def rebalance(self, now, domains, blocked):
        """Revoke roles to balance them over the routers.

        Leaving routers lose all roles. The router with the most roles loses
        one if it exceeds the allowed share, preferably one for an upstream
        in another failure domain.
        """
        routers = self._members.names()
        for upstream, role in self.roles.items():
            leaving = role.router and not self._members.is_available(
                role.router
            )
            if leaving and routers:
                self.revoke(upstream)
        if now < self._next_rebalance_at:
            return
        self._next_rebalance_at = now + REBALANCE_INTERVAL_SECONDS
        if len(routers) < 2 or not self.roles:
            return
        load = self._load(routers)
        fullest = max(routers, key=lambda r: load[r])
        if load[fullest] <= self._even_share(routers) + MAX_ROLES_ABOVE_SHARE:
            return
        upstreams = [
            u
            for u, r in self.roles.items()
            if r.router == fullest and u not in blocked
        ]
        if not upstreams:
            return
        domain = self._members.get(fullest).failure_domain
        upstreams.sort(key=lambda u: (domains.get(u) == domain, u))
        self.revoke(upstreams[0])

    def _assign(self, role, router):
        self.mark_changed()
        role.router = router
        role.revoked_from = ''
        role.preferred = ''
        role.term = self._term
        self._last_n += 1
        role.n = self._last_n
        role.adopted = False
        role.serial = self.serial + 1

    def _require_newer_state(self, router):
        """Stop extending a router's lease until it has the next state."""
        self.mark_changed()
        member = self._members.get(router)
        if member is not None:
            member.required_serial = self.serial + 1

    def _load(self, routers):
        load = dict.fromkeys(routers, 0)
        for role in self.roles.values():
            if role.router in load:
                load[role.router] += 1
        return load

    def _even_share(self, routers):
        return math.ceil(len(self.roles) / len(routers))

    def _choose_router(self, upstream, role, domains, routers, load):
        if role.preferred in load:
            return role.preferred
        limit = self._even_share(routers) + MAX_ROLES_ABOVE_SHARE
        domain = domains.get(upstream)

        def rank(router):
            member = self._members.get(router)
            return (
                load[router] >= limit,
                member.failure_domain != domain,
                -hashing.rendezvous_score(router, upstream),
            )

        return min(routers, key=rank)
