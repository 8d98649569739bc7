"""Which router dispatches to which upstream.

A role is given to one router at a time. It is free only when its last holder
is known not to hold it: the holder's lease has run out, or the holder has
confirmed in a heartbeat that it applied the state which takes the role away.
"""

import math

from bramleysill_kernel import hashing
from bramleysill_kernel import lease

# A planned change of one role is started at most this often.
REBALANCE_SECONDS = 1.0
# Roles above an even share that a router may keep.
SHARE_SLACK = 1


class Role:
    """The dispatcher role of one upstream.

    `router` is empty while the role is free; `taken_from` names the router
    that has not yet confirmed to have given it up; `wish` is preferred as
    the next holder.
    """

    __slots__ = (
        'router',
        'term',
        'n',
        'taken_from',
        'serial',
        'wish',
        'adopted',
    )

    def __init__(self):
        self.router = ''
        self.term = 0
        self.n = 0
        self.taken_from = ''
        self.serial = 0
        self.wish = ''
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
        '_next',
        '_last_n',
    )

    def __init__(self, term, members):
        self.roles = {}
        self.serial = 0
        self.changed = False
        self._term = term
        self._members = members
        self._next = lease.NEVER
        self._last_n = 0

    def add_upstreams(self, names):
        """Make a role for each new upstream."""
        for name in names:
            if name not in self.roles:
                self.roles[name] = Role()
                self.touch()

    def drop(self, upstream):
        """Forget the free role of a removed upstream."""
        del self.roles[upstream]
        self.touch()

    def touch(self):
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
            self.touch()
        return adopted

    def agrees(self, member):
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
        for upstream, role in self.roles.items():
            if upstream in member.held:
                continue
            if not member.has_state(self._term, role.serial):
                continue
            if role.taken_from == member.name:
                role.taken_from = ''
                given_up.append(upstream)
            elif role.router == member.name:
                role.router = ''
                role.wish = member.name
                dropped.append(upstream)
        return given_up, dropped

    def take(self, upstream, wish=''):
        """Take a role from its router; `wish` is preferred afterwards."""
        role = self.roles[upstream]
        role.wish = wish
        if not role.router:
            return
        role.taken_from = role.router
        role.router = ''
        self._note_taken(role.taken_from)
        role.serial = self.serial + 1

    def router_lost(self, router):
        """Free all roles of an evicted router; return their upstreams."""
        freed = []
        for upstream, role in self.roles.items():
            if router in (role.router, role.taken_from):
                role.router = role.taken_from = ''
                freed.append(upstream)
        self._note_taken(router)
        return freed

    def renew_adopted(self, upstreams):
        """Name adopted routers anew, which ends an older suspension.

        The tables of the upstreams must have been sealed, so that no write
        of an older coordinator can follow.
        """
        for upstream in upstreams:
            role = self.roles.get(upstream)
            if role is not None and role.adopted:
                self._name(role, role.router)

    def renew(self, upstream):
        """Name the same router under a newer generation."""
        role = self.roles[upstream]
        if role.router:
            self._name(role, role.router)

    def name_free(self, domains, blocked):
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
            chosen = self._choose(upstream, role, domains, routers, load)
            load[chosen] += 1
            self._name(role, chosen)

    def rebalance(self, now, domains, blocked):
        """Take roles from leaving routers, and one from an overfull one."""
        routers = self._members.names()
        for upstream, role in self.roles.items():
            leaving = role.router and not self._members.alive(role.router)
            if leaving and routers:
                self.take(upstream)
        if now < self._next:
            return
        self._next = now + REBALANCE_SECONDS
        if len(routers) < 2 or not self.roles:
            return
        load = self._load(routers)
        fullest = max(routers, key=lambda r: load[r])
        if load[fullest] <= self._even_share(routers) + SHARE_SLACK:
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
        self.take(mine[0])

    def _name(self, role, router):
        self.touch()
        role.router = router
        role.taken_from = ''
        role.wish = ''
        role.term = self._term
        self._last_n += 1
        role.n = self._last_n
        role.adopted = False
        role.serial = self.serial + 1

    def _note_taken(self, router):
        """Let the next state be a condition of the router's lease."""
        self.touch()
        member = self._members.get(router)
        if member is not None:
            member.must_have = self.serial + 1

    def _load(self, routers):
        load = dict.fromkeys(routers, 0)
        for role in self.roles.values():
            if role.router in load:
                load[role.router] += 1
        return load

    def _even_share(self, routers):
        return math.ceil(len(self.roles) / len(routers))

    def _choose(self, upstream, role, domains, routers, load):
        if role.wish in load:
            return role.wish
        limit = self._even_share(routers) + SHARE_SLACK
        home = domains.get(upstream)

        def rank(router):
            member = self._members.get(router)
            return (
                load[router] >= limit,
                member.failure_domain != home,
                -hashing.rendezvous_score(router, upstream),
            )

        return min(routers, key=rank)
