"""A specification of sole ownership of keys on the users' platform.

One range of keys, two leaders, two upstreams and a store with one leader key
and one table. Time is abstract: a hold may end at any moment after its last
grant, and a leader learns of the end only by waiting or by a release. A
grant that was sent may be taken at once, late, or never. The lease of a
leader ends by its own clock before the store gives the key to another; a
leader is not suspended between the check of its lease and the send.
"""

import typing

from minicheck import Protocol

# Highest fence and most changes of leader that a check goes through.
SCOPES = {'range_moves': (4, 1), 'range_takeovers': (4, 2)}

MUTATIONS = (
    'lease_not_checked',
    'grant_before_write',
    'no_release',
    'no_fence_check',
    'no_fresh_fence',
    'write_without_conditions',
)

ACTIONS = {
    'expire': 'Leadership.is_valid',
    'elect': 'Leadership.become_leader',
    'refresh': 'RangeTable.renew_fences',
    'send': 'RangeCoordinator._grant',
    'take': 'environment',
    'lapse': 'HoldLedger.expiry_without_release',
    'release': 'RangeCoordinator._release',
    'write': 'ControlCalls.write_table',
}

NOBODY = -1


class State(typing.NamedTuple):
    """`flying` are grants on their way, as (upstream, fence, sender).

    `held` has the fence that each upstream holds, 0 for none, and `seen` the
    highest that it has taken. `known` is each leader's copy of (owner, fence)
    and `free` whether it knows that the owner holds nothing.
    """

    leader: int = 0
    valid: bool = True
    elections: int = 0
    owner: int = 0
    fence: int = 1
    known: tuple = ((0, 1), (0, 0))
    fresh: tuple = (True, False)
    free: tuple = (False, False)
    flying: frozenset = frozenset()
    held: tuple = (0, 0)
    seen: tuple = (0, 0)


def _with(pair, index, value):
    return (value, pair[1]) if index == 0 else (pair[0], value)


class Rules:
    """The transitions, with at most one rule left out (`mutation`)."""

    def __init__(self, scope, mutation=''):
        self.mutation = mutation
        self.max_fence, self.max_elections = SCOPES[scope]

    def transitions(self, raw):
        """Return labelled successors of a state."""
        s = State(*raw)
        out = list(self._environment(s))
        for leader in (0, 1):
            out.extend(self._leader_steps(s, leader))
        return [(label, tuple(after)) for label, after in out]

    def _environment(self, s):
        if s.valid:
            yield f'expire {s.leader}', s._replace(valid=False)
        elif s.elections < self.max_elections:
            new = 1 - s.leader
            yield (
                f'elect {new}',
                s._replace(
                    leader=new,
                    valid=True,
                    elections=s.elections + 1,
                    known=_with(s.known, new, (s.owner, s.fence)),
                    fresh=_with(s.fresh, new, False),
                    free=_with(s.free, new, False),
                ),
            )
        for grant in sorted(s.flying):
            yield from self._receive_grant(s, grant)

    def _receive_grant(self, s, grant):
        upstream, fence, _ = grant
        others = s.flying - {grant}
        yield f'drop {upstream}', s._replace(flying=others)
        refused = fence < s.seen[upstream]
        if refused and self.mutation != 'no_fence_check':
            return
        yield (
            f'take {upstream}',
            s._replace(
                flying=others,
                held=_with(s.held, upstream, fence),
                seen=_with(s.seen, upstream, max(fence, s.seen[upstream])),
            ),
        )

    def _leader_steps(self, s, i):
        owner, fence = s.known[i]
        leads = s.leader == i
        if not fence:
            return
        may_send = leads and s.valid or self.mutation == 'lease_not_checked'
        if may_send and s.fresh[i] and not s.free[i]:
            yield (
                f'send {i}',
                s._replace(flying=s.flying | {(owner, fence, i)}),
            )
        if not leads and self.mutation != 'write_without_conditions':
            # The condition on the leader key fails.
            return
        if not s.fresh[i]:
            yield from self._refresh(s, i)
            return
        yield from self._move(s, i, owner, fence)

    def _refresh(self, s, i):
        owner, fence = s.known[i]
        if self.mutation == 'no_fresh_fence':
            yield f'refresh {i}', s._replace(fresh=_with(s.fresh, i, True))
            return
        if fence >= self.max_fence or (owner, fence) != (s.owner, s.fence):
            return
        yield (
            f'refresh {i}',
            s._replace(
                fence=fence + 1,
                known=_with(s.known, i, (owner, fence + 1)),
                fresh=_with(s.fresh, i, True),
            ),
        )

    def _move(self, s, i, owner, fence):
        if not s.free[i]:
            yield from self._end_hold(s, i, owner, fence)
            if self.mutation == 'no_release':
                yield f'skip {i}', s._replace(free=_with(s.free, i, True))
            return
        if fence >= self.max_fence:
            return
        unchanged = (owner, fence) == (s.owner, s.fence)
        if not unchanged and self.mutation != 'write_without_conditions':
            return
        reassigned = (1 - owner, fence + 1)
        after = s._replace(
            known=_with(s.known, i, reassigned), free=_with(s.free, i, False)
        )
        if self.mutation == 'grant_before_write':
            yield (
                f'grant {i}',
                after._replace(flying=s.flying | {(*reassigned, i)}),
            )
        yield (
            f'write {i}',
            after._replace(owner=reassigned[0], fence=reassigned[1]),
        )

    def _end_hold(self, s, i, owner, fence):
        """The owner gives the keys up, or its hold ends.

        A leader waits until none of its own grants can arrive any more. It
        does not know what an earlier leader has sent: a release counts once
        the owner has taken a grant of this leader, so that it refuses those
        of earlier ones, and without one all must have ended.
        """
        if (owner, fence, i) in s.flying:
            return
        if s.seen[owner] == fence:
            yield (
                f'release {i}',
                s._replace(
                    held=_with(s.held, owner, 0),
                    free=_with(s.free, i, True),
                ),
            )
        if not any(grant[0] == owner for grant in s.flying):
            yield (
                f'lapse {i}',
                s._replace(
                    held=_with(s.held, owner, 0),
                    free=_with(s.free, i, True),
                ),
            )


def one_holder(state):
    """Tell whether at most one upstream holds the keys."""
    return not all(state['held'])


def rising_fences(state):
    """Tell whether no two upstreams have taken the same fence."""
    taken = [fence for fence in state['seen'] if fence]
    return len(taken) == len(set(taken))


def make_model(scope, mutation=''):
    """Return the model of a scope, with one rule left out or none."""
    rules = Rules(scope, mutation)
    return Protocol(
        name=f'ranges_{scope}',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=rules.transitions,
        invariants={
            'one_holder': one_holder,
            'rising_fences': rising_fences,
        },
    )
