"""Model of the ownership protocol: each unit has at most one owner.

The model has a store, two candidates, which are routers that can be elected
as coordinator, and two upstreams with their dispatching routers. A single
unit represents all units.

Time is abstract: a lease may expire at any moment, but it expires for its
holder before it expires for its grantor, as in `lease.py`, and a grant
expires before the router lease that contains it. An upstream that is frozen
is modelled as one that has not yet read a grant from its buffer, and a
candidate that is paused as one whose next step comes late. `ACTIONS` maps each
action of the model to the function of the kernel that performs it, or to
`environment` if no function does.
"""

import typing

from minicheck import Protocol

MAX_TERM = 2

# Bounds of each scope: highest fence, number of lost replies of the store,
# whether the store has outages (any number of them), and highest
# configuration version.
SCOPES = {
    'lost_answers': (2, 1, False, 1),
    'outages': (2, 0, True, 1),
    'moves': (3, 0, False, 1),
    'configuration': (1, 0, True, 2),
    'store_answers': (2, 0, False, 1),
}

# Roles of a candidate.
FOLLOWER = 0
STANDING = 1
ELECTED = 2
LEADING = 3

# Progress of a write to the store.
IN_FLIGHT = 1
OUTCOME_UNKNOWN = 2

ACTIONS = {
    'store_down': 'environment',
    'store_up': 'environment',
    'holder_expires': 'Election.lease_deadline',
    'lease_expires': 'environment',
    'renew': 'LeaderLease._on_renewed',
    'promise': 'Election.promise',
    'promise_count_ends': 'MemberList.promised_until',
    'promise_ends': 'Election.promise_until',
    'stand': 'Election._on_record_read',
    'write_record': 'Election._write_record',
    'seal': 'TableRepository.adopt',
    'step_down': 'Authority.holds',
    'extend_router': 'Coordinator.on_heartbeat',
    'router_lapses': 'MemberList.expire',
    'send_grant': 'GrantIssuer.make_grant',
    'take_grant': 'GrantTable.apply',
    'grant_expires': 'GrantTable.check',
    'release': 'GrantIssuer.stop',
    'move': 'TableBuilder.write',
    'write_takes_effect': 'TableRepository._on_written',
    'answer_lost': 'TableRepository._on_written',
    'write_conflicts': 'TableRepository._on_read',
    'read_back': 'TableRepository._resolve',
    'configure': 'environment',
    'read_config': 'Coordinator.on_manifest',
    'push_config': 'RouterState.apply',
}

# Rules that can be left out; each omission must violate an invariant.
MUTATIONS = (
    'no_fence_check',
    'no_wait_for_expiry',
    'write_again_after_lost_answer',
    'deadline_not_checked',
    'stands_despite_promise',
    'no_version_check',
)


class State(typing.NamedTuple):
    """One state of the model.

    Pairs hold one value for each of the two candidates or upstreams.
    """

    store_up: bool = True
    lost_replies: int = 0
    # The store: holder of the leader lease (-1 for none), term of the leader
    # record, and the ownership table.
    lease_holder: int = -1
    record_term: int = 0
    owner: int = 0
    fence: int = 1
    table_version: int = 1
    # Candidates. `promise_counted` tells whether the leader still relies on
    # the other candidate's promise not to stand for election, `promised`
    # whether that candidate still keeps it. `known_table` is the last table
    # read or accepted, as (owner, fence, version); `pending_write` is
    # (expected version, owner, fence, progress), or () for none.
    role: tuple = (FOLLOWER, FOLLOWER)
    term: tuple = (0, 0)
    seen_term: tuple = (0, 0)
    lease_valid: tuple = (False, False)
    promise_counted: tuple = (False, False)
    promised: tuple = (False, False)
    known_table: tuple = ((0, 1, 1), (0, 1, 1))
    pending_write: tuple = ((), ())
    # Upstreams and their dispatching routers. `heard_term` is the highest
    # term from which the router has accepted a router lease, `router_leased`
    # tells whether it holds one. `assigned_fence` is the fence under which the
    # router may grant the unit, 0 if it may not; `stopped_fence` is the last
    # one that the router stopped granting. The upstream refuses grants up to
    # `barred_fence`.
    heard_term: tuple = (0, 0)
    router_leased: tuple = (False, False)
    assigned_fence: tuple = (0, 0)
    stopped_fence: tuple = (0, 0)
    buffered_fence: tuple = (0, 0)
    granted_fence: tuple = (0, 0)
    barred_fence: tuple = (0, 0)
    # Configuration: version in the store, versions read by the candidates,
    # and the version in use by the routers.
    config_version: int = 1
    known_config: tuple = (1, 1)
    router_config: int = 1
    # Set once a configuration has been replaced by an older one, or an
    # accepted assignment by one without a higher fence.
    reverted: bool = False
    overwritten: bool = False


def _with(pair, index, value):
    """Return a copy of a pair with one item replaced."""
    return (value, pair[1]) if index == 0 else (pair[0], value)


class Rules:
    """The transitions of the model.

    `mutation` names the rule that is left out, if any.
    """

    def __init__(self, scope, mutation=''):
        self.mutation = mutation
        (
            self.max_fence,
            self.max_lost_replies,
            self.has_outages,
            self.max_config,
        ) = SCOPES[scope]

    def _is_left_out(self, name):
        """Return whether the mutation leaves out a rule."""
        return self.mutation == name

    def transitions(self, raw):
        """Return the successors of a state as (label, state)."""
        s = State(*raw)
        out = []
        out.extend(self._environment(s))
        for i in (0, 1):
            out.extend(self._leases_and_promises(s, i))
            out.extend(self._election(s, i))
            out.extend(self._decisions(s, i))
            out.extend(self._writes(s, i))
            out.extend(self._upstream(s, i))
        return [(label, tuple(after)) for label, after in out]

    def _environment(self, s):
        if s.store_up and self.has_outages:
            yield 'store_down', s._replace(store_up=False)
        if not s.store_up:
            yield 'store_up', s._replace(store_up=True)
        if s.lease_holder >= 0 and not s.lease_valid[s.lease_holder]:
            yield 'lease_expires', s._replace(lease_holder=-1)
        if s.store_up and s.config_version < self.max_config:
            yield 'configure', s._replace(config_version=s.config_version + 1)

    def _has_authority(self, s, i):
        return s.role[i] == LEADING and (
            s.lease_valid[i] or s.promise_counted[i]
        )

    def _leases_and_promises(self, s, i):
        other = 1 - i
        if s.lease_valid[i]:
            yield (
                f'holder_expires {i}',
                s._replace(lease_valid=_with(s.lease_valid, i, False)),
            )
        if (
            s.store_up
            and s.lease_holder == i
            and not s.lease_valid[i]
            and s.role[i] == LEADING
        ):
            yield (
                f'renew {i}',
                s._replace(lease_valid=_with(s.lease_valid, i, True)),
            )
        will_promise = (
            s.role[other] == FOLLOWER and s.seen_term[other] <= s.term[i]
        )
        if self._has_authority(s, i) and will_promise:
            yield (
                f'promise {other}',
                s._replace(
                    promise_counted=_with(s.promise_counted, i, True),
                    promised=_with(s.promised, other, True),
                ),
            )
        if s.promise_counted[i]:
            yield (
                f'promise_count_ends {i}',
                s._replace(promise_counted=_with(s.promise_counted, i, False)),
            )
        elif s.promised[other]:
            yield (
                f'promise_ends {other}',
                s._replace(promised=_with(s.promised, other, False)),
            )

    def _election(self, s, i):
        unbound = not s.promised[i] or self._is_left_out(
            'stands_despite_promise'
        )
        can_stand = (
            s.store_up and s.lease_holder < 0 and s.record_term < MAX_TERM
        )
        if (
            s.role[i] == FOLLOWER
            and unbound
            and can_stand
            and not s.pending_write[i]
        ):
            yield (
                f'stand {i}',
                s._replace(
                    lease_holder=i,
                    lease_valid=_with(s.lease_valid, i, True),
                    role=_with(s.role, i, STANDING),
                    seen_term=_with(s.seen_term, i, s.record_term),
                ),
            )
        if s.role[i] == STANDING:
            yield from self._finish_election(s, i)
        if s.role[i] == ELECTED and s.store_up and s.lease_valid[i]:
            version = s.table_version + 1
            yield (
                f'seal {i}',
                s._replace(
                    table_version=version,
                    role=_with(s.role, i, LEADING),
                    known_table=_with(
                        s.known_table, i, (s.owner, s.fence, version)
                    ),
                ),
            )
        authority_lost = s.role[i] == LEADING and not self._has_authority(s, i)
        if authority_lost or (s.role[i] == ELECTED and not s.lease_valid[i]):
            yield f'step_down {i}', s._replace(role=_with(s.role, i, FOLLOWER))

    def _finish_election(self, s, i):
        if (
            not s.store_up
            or not s.lease_valid[i]
            or s.record_term != s.seen_term[i]
        ):
            yield (
                f'step_down {i}',
                s._replace(
                    role=_with(s.role, i, FOLLOWER),
                    lease_valid=_with(s.lease_valid, i, False),
                ),
            )
            return
        term = s.record_term + 1
        yield (
            f'write_record {i}',
            s._replace(
                record_term=term,
                role=_with(s.role, i, ELECTED),
                term=_with(s.term, i, term),
                seen_term=_with(s.seen_term, i, term),
            ),
        )

    def _decisions(self, s, i):
        if not self._has_authority(s, i):
            return
        owner, fence, version = s.known_table[i]
        for u in (0, 1):
            if s.heard_term[u] <= s.term[i] and not s.pending_write[i]:
                assigned = fence if owner == u else 0
                stopped = s.stopped_fence[u] if s.router_leased[u] else 0
                yield (
                    f'extend_router {u}',
                    s._replace(
                        router_leased=_with(s.router_leased, u, True),
                        heard_term=_with(s.heard_term, u, s.term[i]),
                        assigned_fence=_with(s.assigned_fence, u, assigned),
                        stopped_fence=_with(s.stopped_fence, u, stopped),
                    ),
                )
        if fence < self.max_fence and not s.pending_write[i]:
            yield from self._moves(s, i, owner, fence, version)
        if s.store_up and s.known_config[i] < s.config_version:
            yield (
                f'read_config {i}',
                s._replace(
                    known_config=_with(s.known_config, i, s.config_version)
                ),
            )
        yield from self._push_config(s, i)

    def _moves(self, s, i, owner, fence, version):
        release_requested = (
            s.router_leased[owner] and s.assigned_fence[owner] == fence
        )
        if release_requested and s.stopped_fence[owner] < fence:
            yield (
                f'release {owner}',
                s._replace(
                    stopped_fence=_with(s.stopped_fence, owner, fence),
                    granted_fence=_with(s.granted_fence, owner, 0),
                    barred_fence=_with(s.barred_fence, owner, fence),
                ),
            )
        released = release_requested and s.stopped_fence[owner] >= fence
        router_lease_expired = not s.router_leased[owner] or self._is_left_out(
            'no_wait_for_expiry'
        )
        if released or router_lease_expired:
            write = (version, 1 - owner, fence + 1, IN_FLIGHT)
            yield (
                f'move {i}',
                s._replace(pending_write=_with(s.pending_write, i, write)),
            )

    def _push_config(self, s, i):
        version = s.known_config[i]
        if not self._is_left_out('no_version_check'):
            version = max(version, s.router_config)
        if version != s.router_config:
            yield (
                f'push_config {i}',
                s._replace(
                    router_config=version,
                    reverted=s.reverted or version < s.router_config,
                ),
            )

    def _writes(self, s, i):
        if not s.pending_write[i] or not s.store_up:
            return
        expected, owner, fence, progress = s.pending_write[i]
        if progress == OUTCOME_UNKNOWN:
            yield from self._read_back(s, i)
        elif s.table_version != expected:
            yield (
                f'write_conflicts {i}',
                s._replace(
                    pending_write=_with(s.pending_write, i, ()),
                    role=_with(s.role, i, FOLLOWER),
                ),
            )
        else:
            replaces_accepted = fence <= s.fence and owner != s.owner
            after = s._replace(
                owner=owner,
                fence=fence,
                table_version=s.table_version + 1,
                overwritten=s.overwritten or replaces_accepted,
            )
            yield f'write_takes_effect {i}', self._accept_write(after, i)
            if s.lost_replies < self.max_lost_replies:
                unknown = (expected, owner, fence, OUTCOME_UNKNOWN)
                write = _with(s.pending_write, i, unknown)
                yield (
                    f'answer_lost {i}',
                    after._replace(
                        pending_write=write, lost_replies=s.lost_replies + 1
                    ),
                )
                yield (
                    f'answer_lost {i}',
                    s._replace(
                        pending_write=write, lost_replies=s.lost_replies + 1
                    ),
                )

    def _accept_write(self, s, i):
        known = (s.owner, s.fence, s.table_version)
        return s._replace(
            pending_write=_with(s.pending_write, i, ()),
            known_table=_with(s.known_table, i, known),
        )

    def _read_back(self, s, i):
        expected, owner, fence, _ = s.pending_write[i]
        if self._is_left_out('write_again_after_lost_answer'):
            retry = (s.table_version, 1 - owner, fence, IN_FLIGHT)
            yield (
                f'read_back {i}',
                s._replace(pending_write=_with(s.pending_write, i, retry)),
            )
        elif (s.table_version, s.owner, s.fence) == (
            expected + 1,
            owner,
            fence,
        ):
            yield f'read_back {i}', self._accept_write(s, i)
        elif s.table_version == expected:
            retry = (expected, owner, fence, IN_FLIGHT)
            yield (
                f'read_back {i}',
                s._replace(pending_write=_with(s.pending_write, i, retry)),
            )
        else:
            yield (
                f'write_conflicts {i}',
                s._replace(
                    pending_write=_with(s.pending_write, i, ()),
                    role=_with(s.role, i, FOLLOWER),
                ),
            )

    def _upstream(self, s, u):
        may_send = s.router_leased[u] or self._is_left_out(
            'deadline_not_checked'
        )
        if (
            may_send
            and s.assigned_fence[u] > s.stopped_fence[u]
            and not s.buffered_fence[u]
        ):
            yield (
                f'send_grant {u}',
                s._replace(
                    buffered_fence=_with(
                        s.buffered_fence, u, s.assigned_fence[u]
                    )
                ),
            )
        if s.buffered_fence[u]:
            accepted = s.buffered_fence[u] > s.barred_fence[
                u
            ] or self._is_left_out('no_fence_check')
            grant = s.buffered_fence[u] if accepted else s.granted_fence[u]
            yield (
                f'take_grant {u}',
                s._replace(
                    granted_fence=_with(s.granted_fence, u, grant),
                    buffered_fence=_with(s.buffered_fence, u, 0),
                ),
            )
            yield (
                f'grant_expires {u}',
                s._replace(buffered_fence=_with(s.buffered_fence, u, 0)),
            )
        if s.granted_fence[u]:
            yield (
                f'grant_expires {u}',
                s._replace(granted_fence=_with(s.granted_fence, u, 0)),
            )
        if (
            s.router_leased[u]
            and not s.granted_fence[u]
            and not s.buffered_fence[u]
        ):
            yield (
                f'router_lapses {u}',
                s._replace(router_leased=_with(s.router_leased, u, False)),
            )


def _is_served(d):
    owner = d['owner']
    return d['store_up'] and d['granted_fence'][owner] == d['fence']


def _terms_exhausted(d):
    return d['record_term'] == MAX_TERM and LEADING not in d['role']


def make_model(scope, mutation=''):
    """Return the model of a scope, without the rule that `mutation` names.

    The liveness goal is a state in which the store is up and the unit is
    served, or in which the bound on terms prevents another election.
    """
    rules = Rules(scope, mutation)

    return Protocol(
        name=f'{scope} {mutation}'.strip(),
        candidate=bool(mutation),
        fields=State._fields,
        initial=tuple(State()),
        transitions=rules.transitions,
        invariants={
            'one_owner': lambda d: (
                not (d['granted_fence'][0] and d['granted_fence'][1])
            ),
            'accepted_survives': lambda d: not d['overwritten'],
            'config_never_reverts': lambda d: not d['reverted'],
        },
        goal=lambda d: _is_served(d) or _terms_exhausted(d),
    )
