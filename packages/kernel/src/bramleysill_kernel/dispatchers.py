"""Which router dispatches to which upstream.

A role is given to one router at a time. It is free only when its last holder
is known not to hold it: the holder's lease has run out, or the holder has
confirmed in a heartbeat that it applied the state which takes the role away.
"""

import math

from bramleysill_kernel import hashing
from bramleysill_kernel import lease

# A planned change of one role is started at most this often.
REBALANCE_INTERVAL_SECONDS = 1.0
# Roles above an even share that a router may keep.
MAX_ROLES_ABOVE_SHARE = 1


class Role:
    """The dispatcher role of one upstream.

    `router` is empty while the role is free; `taken_from` names the router
    that has not yet confirmed to have given it up; `preferred` is preferred as
    the next holder.
    """

    __slots__ = (
        'router',
        'term',
        'n',
        'taken_from',
        'serial',
        'preferred',
        'adopted',
    )

    def __init__(self):
        self.router = ''
        self.term = 0
        self.n = 0
        self.taken_from = ''
        self.serial = 0
        self.preferred = ''
        self.adopted = False

    @property
    def generation(self):
        """Return (term, n)."""
        return (self.term, self.n)


class DispatcherList:
    """Names the dispatchers of all upstreams under one term.

    `serial` is that of the published list. Changes collect under the next
    serial until `publish` is called.
    """

    __slots__ = (
        'roles',
        'serial',
        'changed',
        '_term',
        '_members',
        '_next_rebalance',
        '_last_n',
    )

    def __init__(self, term, members):
        self.roles = {}
        self.serial = 0
        self.changed = False
        self._term = term
        self._members = members
        self._next_rebalance = lease.NEVER
        self._last_n = 0

    def add_upstreams(self, names):
        """Make a role for each new upstream."""
        for name in names:
            if name not in self.roles:
                self.roles[name] = Role()
                self.mark_changed()

    def drop(self, upstream):
        """Forget the free role of a removed upstream."""
        del self.roles[upstream]
        self.mark_changed()

    def mark_changed(self):
        """Note a change that routers must learn of."""
        self.changed = True

    def publish(self):
        """Let the list, as it is now, have the next serial."""
        if self.changed:
            self.serial += 1
            self.changed = False

    def router_of(self, upstream):
        """Return the router that holds the role, or ''."""
        role = self.roles.get(upstream)
        return role.router if role else ''

    def is_free(self, upstream):
        """Tell whether nobody holds the role any more."""
        role = self.roles.get(upstream)
        return role is None or not (role.router or role.taken_from)

    def generation_of(self, upstream):
        """Return the generation of a role, or (0, 0)."""
        role = self.roles.get(upstream)
        return role.generation if role else (0, 0)

    def export(self):
        """Return the map that a StateUpdate carries."""
        return {u: (r.router, r.term, r.n) for u, r in self.roles.items()}

    def adopt(self, member):
        """Take over roles held under an older term; return them."""
        adopted = []
        for upstream, generation in member.held.items():
            role = self.roles.get(upstream)
            if role is None or role.router or role.taken_from:
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
        """Tell whether a router claims no role that is not its own."""
        return all(
            self.router_of(u) == member.name
            or (u in self.roles and self.roles[u].taken_from == member.name)
            for u in member.held
        )

    def confirm(self, member):
        """Free what a router has given up or lost.

        Returns two lists of upstreams: given up on request, and lost
        because the router's lease lapsed, with which it drops its roles by
        itself. A lost role is named anew like any free one.
        """
        given_up = []
        dropped = []
        if not member.has_state(self._term, 1):
            return given_up, dropped
        name = member.name
        for upstream, role in self.roles.items():
            if role.router != name and role.taken_from != name:
                continue
            if upstream in member.held:
                continue
            if not member.has_state(self._term, role.serial):
                continue
            if role.taken_from == name:
                role.taken_from = ''
                given_up.append(upstream)
            else:
                role.router = ''
                role.preferred = name
                dropped.append(upstream)
        return given_up, dropped

    def revoke(self, upstream, preferred=''):
        """Take a role from its router; `preferred` is preferred afterwards."""
        role = self.roles[upstream]
        role.preferred = preferred
        if not role.router:
            return
        role.taken_from = role.router
        role.router = ''
        self._require_newer_state(role.taken_from)
        role.serial = self.serial + 1

    def free_roles_of(self, router):
        """Free all roles of an evicted router; return their upstreams."""
        freed = []
        for upstream, role in self.roles.items():
            if router in (role.router, role.taken_from):
                role.router = role.taken_from = ''
                freed.append(upstream)
        self._require_newer_state(router)
        return freed

    def renew_adopted(self, upstreams):
        """Name adopted routers anew, which ends an older suspension.

        The tables of the upstreams must have been sealed, so that no write
        of an older coordinator can follow.
        """
        for upstream in upstreams:
            role = self.roles.get(upstream)
            if role is not None and role.adopted:
                self._assign(role, role.router)

    def renew(self, upstream):
        """Name the same router under a newer generation."""
        role = self.roles[upstream]
        if role.router:
            self._assign(role, role.router)

    def assign_free(self, domains, blocked):
        """Give all free roles away, except those in `blocked`.

        `domains` maps upstreams to their failure domains.
        """
        routers = self._members.names()
        if not routers:
            return
        load = self._load(routers)
        for upstream in sorted(self.roles):
            role = self.roles[upstream]
            if role.router or role.taken_from or upstream in blocked:
                continue
            chosen = self._choose_router(
                upstream, role, domains, routers, load
            )
            load[chosen] += 1
            self._assign(role, chosen)

    def rebalance(self, now, domains, blocked):
        """Take roles from leaving routers, and one from an overfull one."""
        routers = self._members.names()
        for upstream, role in self.roles.items():
            leaving = role.router and not self._members.alive(role.router)
            if leaving and routers:
                self.revoke(upstream)
        if now < self._next_rebalance:
            return
        self._next_rebalance = now + REBALANCE_INTERVAL_SECONDS
        if len(routers) < 2 or not self.roles:
            return
        load = self._load(routers)
        fullest = max(routers, key=lambda r: load[r])
        if load[fullest] <= self._even_share(routers) + MAX_ROLES_ABOVE_SHARE:
            return
        mine = [
            u
            for u, r in self.roles.items()
            if r.router == fullest and u not in blocked
        ]
        if not mine:
            return
        home = self._members.get(fullest).failure_domain
        mine.sort(key=lambda u: (domains.get(u) == home, u))
        self.revoke(mine[0])

    def _assign(self, role, router):
        self.mark_changed()
        role.router = router
        role.taken_from = ''
        role.preferred = ''
        role.term = self._term
        self._last_n += 1
        role.n = self._last_n
        role.adopted = False
        role.serial = self.serial + 1

    def _require_newer_state(self, router):
        """Let the next state be a condition of the router's lease."""
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
        home = domains.get(upstream)

        def rank(router):
            member = self._members.get(router)
            return (
                load[router] >= limit,
                member.failure_domain != home,
                -hashing.rendezvous_score(router, upstream),
            )

        return min(routers, key=rank)
