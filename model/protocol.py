"""A specification of sole ownership: store, two deciders, two upstreams.

One unit stands for all. Time is abstract: a lease may end at any moment, but
the holder's end comes before the grantor's, as in `lease.py`, and a grant
ends before the router lease around it. A frozen upstream is one that has not
yet taken what lies in its buffer; a paused decider is one whose next step
comes late. `ACTIONS` names the kernel function that each action stands for.
"""

import typing

from minicheck import Protocol

MAX_TERM = 2

# Bounds of the checks: highest fence, lost answers, whether the store has
# outages (any number), and configuration versions.
SCOPES = {
    'lost_answers': (2, 1, False, 1),
    'outages': (2, 0, True, 1),
    'moves': (3, 0, False, 1),
    'configuration': (1, 0, True, 2),
    'store_answers': (2, 0, False, 1),
}

FOLLOWER = 0
STANDING = 1
ELECTED = 2
LEADING = 3

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
    'seal': 'TableKeeper.adopt',
    'step_down': 'Authority.holds',
    'extend_router': 'Coordinator.on_heartbeat',
    'router_lapses': 'MemberList.expire',
    'send_grant': 'GrantKeeper.make_grant',
    'take_grant': 'GrantTable.apply',
    'grant_expires': 'GrantTable.check',
    'release': 'GrantKeeper.stop',
    'move': 'TableBuilder.write',
    'write_takes_effect': 'TableKeeper._on_written',
    'answer_lost': 'TableKeeper._on_written',
    'write_conflicts': 'TableKeeper._on_read',
    'read_back': 'TableKeeper._resolve',
    'configure': 'environment',
    'read_config': 'Coordinator.on_manifest',
    'push_config': 'RouterState.apply',
}

MUTATIONS = (
    'no_fence_check',
    'no_wait_for_expiry',
    'write_again_after_lost_answer',
    'deadline_not_checked',
    'stands_despite_promise',
    'no_version_check',
)


class State(typing.NamedTuple):
    """One state; pairs belong to the two deciders or upstreams.

    A write is (expected version, owner, fence, progress) or ().
    """

    up: bool = True
    lost: int = 0
    lease: int = -1
    record: int = 0
    owner: int = 0
    fence: int = 1
    version: int = 1
    step: tuple = (FOLLOWER, FOLLOWER)
    term: tuple = (0, 0)
    seen: tuple = (0, 0)
    valid: tuple = (False, False)
    counted: tuple = (False, False)
    promised: tuple = (False, False)
    known: tuple = ((0, 1, 1), (0, 1, 1))
    write: tuple = ((), ())
    heard: tuple = (0, 0)
    routed: tuple = (False, False)
    view: tuple = (0, 0)
    stopped: tuple = (0, 0)
    buffer: tuple = (0, 0)
    grant: tuple = (0, 0)
    barred: tuple = (0, 0)
    config: int = 1
    knows: tuple = (1, 1)
    router_config: int = 1
    reverted: bool = False
    overwritten: bool = False


def _with(pair, index, value):
    return (value, pair[1]) if index == 0 else (pair[0], value)


class Rules:
    """The transitions, with at most one rule left out (`mutation`)."""

    def __init__(self, scope, mutation=''):
        self.mutation = mutation
        (
            self.max_fence,
            self.max_lost,
            self.outages,
            self.max_config,
        ) = SCOPES[scope]

    def _mutated(self, name):
        return self.mutation == name

    def transitions(self, raw):
        """Return labelled successors of a state."""
        s = State(*raw)
        out = []
        out.extend(self._environment(s))
        for i in (0, 1):
            out.extend(self._lease(s, i))
            out.extend(self._election(s, i))
            out.extend(self._decisions(s, i))
            out.extend(self._writes(s, i))
            out.extend(self._upstream(s, i))
        return [(label, tuple(after)) for label, after in out]

    def _environment(self, s):
        if s.up and self.outages:
            yield 'store_down', s._replace(up=False)
        if not s.up:
            yield 'store_up', s._replace(up=True)
        if s.lease >= 0 and not s.valid[s.lease]:
            yield 'lease_expires', s._replace(lease=-1)
        if s.up and s.config < self.max_config:
            yield 'configure', s._replace(config=s.config + 1)

    def _has_authority(self, s, i):
        return s.step[i] == LEADING and (s.valid[i] or s.counted[i])

    def _lease(self, s, i):
        other = 1 - i
        if s.valid[i]:
            yield (
                f'holder_expires {i}',
                s._replace(valid=_with(s.valid, i, False)),
            )
        if s.up and s.lease == i and not s.valid[i] and s.step[i] == LEADING:
            yield f'renew {i}', s._replace(valid=_with(s.valid, i, True))
        will_promise = s.step[other] == FOLLOWER and s.seen[other] <= s.term[i]
        if self._has_authority(s, i) and will_promise:
            yield (
                f'promise {other}',
                s._replace(
                    counted=_with(s.counted, i, True),
                    promised=_with(s.promised, other, True),
                ),
            )
        if s.counted[i]:
            yield (
                f'promise_count_ends {i}',
                s._replace(counted=_with(s.counted, i, False)),
            )
        elif s.promised[other]:
            yield (
                f'promise_ends {other}',
                s._replace(promised=_with(s.promised, other, False)),
            )

    def _election(self, s, i):
        unbound = not s.promised[i] or self._mutated('stands_despite_promise')
        can_stand = s.up and s.lease < 0 and s.record < MAX_TERM
        if s.step[i] == FOLLOWER and unbound and can_stand and not s.write[i]:
            yield (
                f'stand {i}',
                s._replace(
                    lease=i,
                    valid=_with(s.valid, i, True),
                    step=_with(s.step, i, STANDING),
                    seen=_with(s.seen, i, s.record),
                ),
            )
        if s.step[i] == STANDING:
            yield from self._finish_election(s, i)
        if s.step[i] == ELECTED and s.up and s.valid[i]:
            version = s.version + 1
            yield (
                f'seal {i}',
                s._replace(
                    version=version,
                    step=_with(s.step, i, LEADING),
                    known=_with(s.known, i, (s.owner, s.fence, version)),
                ),
            )
        authority_lost = s.step[i] == LEADING and not self._has_authority(s, i)
        if authority_lost or (s.step[i] == ELECTED and not s.valid[i]):
            yield f'step_down {i}', s._replace(step=_with(s.step, i, FOLLOWER))

    def _finish_election(self, s, i):
        if not s.up or not s.valid[i] or s.record != s.seen[i]:
            yield (
                f'step_down {i}',
                s._replace(
                    step=_with(s.step, i, FOLLOWER),
                    valid=_with(s.valid, i, False),
                ),
            )
            return
        term = s.record + 1
        yield (
            f'write_record {i}',
            s._replace(
                record=term,
                step=_with(s.step, i, ELECTED),
                term=_with(s.term, i, term),
                seen=_with(s.seen, i, term),
            ),
        )

    def _decisions(self, s, i):
        if not self._has_authority(s, i):
            return
        owner, fence, version = s.known[i]
        for u in (0, 1):
            if s.heard[u] <= s.term[i] and not s.write[i]:
                view = fence if owner == u else 0
                stopped = s.stopped[u] if s.routed[u] else 0
                yield (
                    f'extend_router {u}',
                    s._replace(
                        routed=_with(s.routed, u, True),
                        heard=_with(s.heard, u, s.term[i]),
                        view=_with(s.view, u, view),
                        stopped=_with(s.stopped, u, stopped),
                    ),
                )
        if fence < self.max_fence and not s.write[i]:
            yield from self._moves(s, i, owner, fence, version)
        if s.up and s.knows[i] < s.config:
            yield (
                f'read_config {i}',
                s._replace(knows=_with(s.knows, i, s.config)),
            )
        yield from self._push_config(s, i)

    def _moves(self, s, i, owner, fence, version):
        release_requested = s.routed[owner] and s.view[owner] == fence
        if release_requested and s.stopped[owner] < fence:
            yield (
                f'release {owner}',
                s._replace(
                    stopped=_with(s.stopped, owner, fence),
                    grant=_with(s.grant, owner, 0),
                    barred=_with(s.barred, owner, fence),
                ),
            )
        released = release_requested and s.stopped[owner] >= fence
        router_lease_ended = not s.routed[owner] or self._mutated(
            'no_wait_for_expiry'
        )
        if released or router_lease_ended:
            write = (version, 1 - owner, fence + 1, IN_FLIGHT)
            yield f'move {i}', s._replace(write=_with(s.write, i, write))

    def _push_config(self, s, i):
        version = s.knows[i]
        if not self._mutated('no_version_check'):
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
        if not s.write[i] or not s.up:
            return
        expected, owner, fence, progress = s.write[i]
        if progress == OUTCOME_UNKNOWN:
            yield from self._read_back(s, i)
        elif s.version != expected:
            yield (
                f'write_conflicts {i}',
                s._replace(
                    write=_with(s.write, i, ()),
                    step=_with(s.step, i, FOLLOWER),
                ),
            )
        else:
            replaces_accepted = fence <= s.fence and owner != s.owner
            after = s._replace(
                owner=owner,
                fence=fence,
                version=s.version + 1,
                overwritten=s.overwritten or replaces_accepted,
            )
            yield f'write_takes_effect {i}', self._accept_write(after, i)
            if s.lost < self.max_lost:
                unknown = (expected, owner, fence, OUTCOME_UNKNOWN)
                write = _with(s.write, i, unknown)
                yield (
                    f'answer_lost {i}',
                    after._replace(write=write, lost=s.lost + 1),
                )
                yield (
                    f'answer_lost {i}',
                    s._replace(write=write, lost=s.lost + 1),
                )

    def _accept_write(self, s, i):
        known = (s.owner, s.fence, s.version)
        return s._replace(
            write=_with(s.write, i, ()), known=_with(s.known, i, known)
        )

    def _read_back(self, s, i):
        expected, owner, fence, _ = s.write[i]
        if self._mutated('write_again_after_lost_answer'):
            retry = (s.version, 1 - owner, fence, IN_FLIGHT)
            yield f'read_back {i}', s._replace(write=_with(s.write, i, retry))
        elif (s.version, s.owner, s.fence) == (expected + 1, owner, fence):
            yield f'read_back {i}', self._accept_write(s, i)
        elif s.version == expected:
            retry = (expected, owner, fence, IN_FLIGHT)
            yield f'read_back {i}', s._replace(write=_with(s.write, i, retry))
        else:
            yield (
                f'write_conflicts {i}',
                s._replace(
                    write=_with(s.write, i, ()),
                    step=_with(s.step, i, FOLLOWER),
                ),
            )

    def _upstream(self, s, u):
        may_send = s.routed[u] or self._mutated('deadline_not_checked')
        if may_send and s.view[u] > s.stopped[u] and not s.buffer[u]:
            yield (
                f'send_grant {u}',
                s._replace(buffer=_with(s.buffer, u, s.view[u])),
            )
        if s.buffer[u]:
            accepted = s.buffer[u] > s.barred[u] or self._mutated(
                'no_fence_check'
            )
            grant = s.buffer[u] if accepted else s.grant[u]
            yield (
                f'take_grant {u}',
                s._replace(
                    grant=_with(s.grant, u, grant),
                    buffer=_with(s.buffer, u, 0),
                ),
            )
            yield (
                f'grant_expires {u}',
                s._replace(buffer=_with(s.buffer, u, 0)),
            )
        if s.grant[u]:
            yield f'grant_expires {u}', s._replace(grant=_with(s.grant, u, 0))
        if s.routed[u] and not s.grant[u] and not s.buffer[u]:
            yield (
                f'router_lapses {u}',
                s._replace(routed=_with(s.routed, u, False)),
            )


def _served(d):
    owner = d['owner']
    return d['up'] and d['grant'][owner] == d['fence']


def _terms_exhausted(d):
    return d['record'] == MAX_TERM and LEADING not in d['step']


def make_model(scope, mutation=''):
    """Return the Protocol, with one rule left out if `mutation` says so.

    The goal of liveness is that the unit is served with the store up, or
    that the bound on terms keeps another election from happening.
    """
    rules = Rules(scope, mutation)

    return Protocol(
        name=f'{scope} {mutation}'.strip(),
        candidate=bool(mutation),
        fields=State._fields,
        initial=tuple(State()),
        transitions=rules.transitions,
        invariants={
            'one_owner': lambda d: not (d['grant'][0] and d['grant'][1]),
            'accepted_survives': lambda d: not d['overwritten'],
            'config_never_reverts': lambda d: not d['reverted'],
        },
        goal=lambda d: _served(d) or _terms_exhausted(d),
    )
