"""Model of the key range protocol on the users' platform.

At most one upstream holds a range of keys at a time. The model has one range
of keys, two leaders, two upstreams, and a store with one leader key and one
table.

Time is abstract. A hold, the time for which an upstream owns the keys, may
expire at any moment after its last grant, and a leader learns that it has
ended only by waiting for its expiry or by a release. A grant that was sent
may be applied at once, late, or never. The lease of a leader expires on its
own clock before the store gives the leader key to another; a leader is not
suspended between the check of its lease and the send of a grant.

A leader whose lease is over may tell that the holds which it has granted have
ended. The next leader relies on it if the stored table is still the one that
the former leader wrote last.

The store may be restored once from a copy of its first state. A leader of the
era before may go on sending grants until its lease is over.

An upstream may be restarted once under its id. Its next process holds nothing
and has seen no fence, but accepts the grants that leaders send to it without
knowing. A restart takes longer than a grant is on its way, and ends the
connections of all leaders to the upstream. A leader without them gives the
keys a new fence before it grants them again, so that a process is never
granted a fence that the former one has applied.
"""

import typing

from minicheck import Protocol

# Bounds of each scope: highest fence of an era, number of leader changes, of
# restores of the store and of restarts of upstreams.
SCOPES = {
    'range_moves': (4, 1, 0, 0),
    'range_takeovers': (4, 2, 0, 0),
    'range_restores': (3, 2, 1, 0),
    'range_handovers': (5, 2, 0, 0),
    'range_restarts': (4, 2, 0, 1),
}
# The fences of an era lie above those of the era before.
FENCES_PER_ERA = 10

# Rules that can be left out; each omission must violate an invariant.
MUTATIONS = (
    'lease_not_checked',
    'grant_before_write',
    'no_release',
    'release_during_grant',
    'no_fence_check',
    'no_fresh_fence',
    'write_without_conditions',
)
# The same for a leader that tells which holds are left.
HANDOVER_MUTATIONS = ('former_holds_of_another_term',)
# The same for a store that is restored.
RESTORE_MUTATIONS = (
    'table_of_the_copy',
    'grant_unsettled',
    'fences_of_the_copy',
)
# The same for an upstream that is restarted.
RESTART_MUTATIONS = (
    'restart_ends_hold',
    'release_of_unconfirmed',
    'renewal_to_next_process',
)

# The platform function that performs each action of the model, or
# `environment` if no function does.
ACTIONS = {
    'expire': 'Leadership.is_valid',
    'elect': 'Leadership.become_leader',
    'tell': 'Coordinators.end_term',
    'refresh': 'RangeTable.renew_fences',
    'send': 'GrantRenewals._grant',
    'take': 'environment',
    'lapse': 'HoldLedger.expiry_without_release',
    'release': 'RangeReleases.send',
    'write': 'ControlCalls.write_table',
    'restore': 'environment',
    'resume': 'FormerTerm.knows_owners',
    'settle': 'RangeCoordinator._settle',
    'restart': 'environment',
    'refence': 'RangeCoordinator._renew_fences',
    'return': 'ReassignmentRules.must_return_to_restarted',
}

NOBODY = -1


class State(typing.NamedTuple):
    """One state of the model.

    Pairs hold one value for each of the two leaders or upstreams.

    `known_assignment` is each leader's copy of (owner, fence),
    `fence_renewed` tells whether the leader has raised the fence since its
    election, and `release_known` whether it knows that the owner holds
    nothing. `grants_in_flight` holds (upstream, fence, sender). `held_fence`
    is the fence that an upstream holds, 0 for none, `highest_fence` the
    highest that it has applied, `process_fence` the highest that its present
    process has applied, and `former_fence` that of its former processes.
    `disconnected` tells whether all connections of a leader to its known owner
    have ended since it gave the keys their fence.

    `told_fence` is the fence of the table for which a former leader has told
    that no hold is left, 0 if none has.

    `era` counts the restores of the store, `term_era` is the era of the
    present term and `table_era` that of the stored table. `settled` tells
    whether the owner is certain. `restarted` tells whether the present process
    of an upstream is a later one than the stored owner's.
    """

    leader: int = 0
    lease_valid: bool = True
    elections: int = 0
    owner: int = 0
    fence: int = 1
    known_assignment: tuple = ((0, 1), (0, 0))
    fence_renewed: tuple = (True, False)
    release_known: tuple = (False, False)
    grants_in_flight: frozenset = frozenset()
    held_fence: tuple = (0, 0)
    highest_fence: tuple = (0, 0)
    process_fence: tuple = (0, 0)
    former_fence: tuple = (0, 0)
    disconnected: tuple = (False, False)
    told_fence: int = 0
    restarts: int = 0
    restarted: tuple = (False, False)
    era: int = 0
    term_era: int = 0
    table_era: int = 0
    settled: bool = True


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
            self.max_elections,
            self.max_era,
            self.max_restarts,
        ) = SCOPES[scope]

    def transitions(self, raw):
        """Return the successors of a state as (label, state)."""
        s = State(*raw)
        out = list(self._environment(s))
        for leader in (0, 1):
            out.extend(self._leader_steps(s, leader))
        return [(label, tuple(after)) for label, after in out]

    def _environment(self, s):
        if s.lease_valid:
            yield f'expire {s.leader}', s._replace(lease_valid=False)
        else:
            yield from self._tell(s)
        if not s.lease_valid and s.elections < self.max_elections:
            yield f'elect {1 - s.leader}', self._elect(s, 1 - s.leader)
            if s.term_era < s.era:
                yield f'resume {s.leader}', self._resume(s)
        if s.era < self.max_era:
            first = State()
            yield (
                'restore',
                s._replace(
                    owner=first.owner, fence=first.fence, era=s.era + 1
                ),
            )
        if s.restarts < self.max_restarts:
            for upstream in (0, 1):
                yield f'restart {upstream}', self._restart(s, upstream)
        for grant in sorted(s.grants_in_flight):
            yield from self._receive_grant(s, grant)

    def _tell(self, s):
        """Tell, as the former leader, that its holds have ended."""
        owner, fence = s.known_assignment[s.leader]
        in_flight = any(grant[0] == owner for grant in s.grants_in_flight)
        if not s.fence_renewed[s.leader] or in_flight or s.term_era < s.era:
            return
        if s.told_fence == fence:
            return
        yield (
            f'tell {s.leader}',
            s._replace(
                told_fence=fence, held_fence=_with(s.held_fence, owner, 0)
            ),
        )

    def _restart(self, s, upstream):
        """Start the next process of an upstream under its id."""
        disconnected = tuple(
            was or known[0] == upstream
            for was, known in zip(
                s.disconnected, s.known_assignment, strict=True
            )
        )
        return s._replace(
            disconnected=disconnected,
            former_fence=_with(
                s.former_fence, upstream, s.highest_fence[upstream]
            ),
            held_fence=_with(s.held_fence, upstream, 0),
            process_fence=_with(s.process_fence, upstream, 0),
            restarts=s.restarts + 1,
            restarted=_with(s.restarted, upstream, True),
            grants_in_flight=frozenset(
                grant for grant in s.grants_in_flight if grant[0] != upstream
            ),
        )

    def _elect(self, s, new):
        """Elect the other leader, which reads the stored table.

        Without a table of this era, the one of the copy may be out of date.
        """
        is_certain = s.table_era == s.era and s.settled
        holds_ended = s.told_fence == s.fence
        if self.mutation == 'former_holds_of_another_term':
            holds_ended = s.told_fence != 0
        return s._replace(
            leader=new,
            lease_valid=True,
            elections=s.elections + 1,
            known_assignment=_with(
                s.known_assignment, new, (s.owner, s.fence)
            ),
            fence_renewed=_with(s.fence_renewed, new, False),
            release_known=_with(s.release_known, new, holds_ended),
            disconnected=_with(s.disconnected, new, False),
            term_era=s.era,
            settled=is_certain,
        )

    def _resume(self, s):
        """Elect the last leader again, which knows the owner."""
        known = s.known_assignment[s.leader]
        if self.mutation == 'table_of_the_copy':
            known = (s.owner, s.fence)
        return s._replace(
            lease_valid=True,
            elections=s.elections + 1,
            known_assignment=_with(s.known_assignment, s.leader, known),
            fence_renewed=_with(s.fence_renewed, s.leader, False),
            release_known=_with(s.release_known, s.leader, False),
            disconnected=_with(s.disconnected, s.leader, False),
            term_era=s.era,
        )

    def _next_fence(self, s, fence):
        """Return the fence after a known one, or 0 at the scope's bound."""
        lowest = 0
        if self.mutation != 'fences_of_the_copy':
            lowest = s.term_era * FENCES_PER_ERA
        following = max(fence, lowest) + 1
        return following if following - lowest <= self.max_fence else 0

    def _receive_grant(self, s, grant):
        upstream, fence, _ = grant
        others = s.grants_in_flight - {grant}
        yield f'drop {upstream}', s._replace(grants_in_flight=others)
        refused = fence < s.process_fence[upstream]
        if refused and self.mutation != 'no_fence_check':
            return
        yield (
            f'take {upstream}',
            s._replace(
                grants_in_flight=others,
                held_fence=_with(s.held_fence, upstream, fence),
                highest_fence=_with(
                    s.highest_fence,
                    upstream,
                    max(fence, s.highest_fence[upstream]),
                ),
                process_fence=_with(
                    s.process_fence,
                    upstream,
                    max(fence, s.process_fence[upstream]),
                ),
            ),
        )

    def _leader_steps(self, s, i):
        owner, fence = s.known_assignment[i]
        leads = s.leader == i
        if not fence:
            return
        may_send = (
            leads and s.lease_valid or self.mutation == 'lease_not_checked'
        )
        if not s.settled and self.mutation != 'grant_unsettled':
            may_send = False
        if s.disconnected[i] and self.mutation != 'renewal_to_next_process':
            may_send = False
        if may_send and s.fence_renewed[i] and not s.release_known[i]:
            yield (
                f'send {i}',
                s._replace(
                    grants_in_flight=s.grants_in_flight | {(owner, fence, i)}
                ),
            )
        if not leads and self.mutation != 'write_without_conditions':
            # The store rejects the write: its condition on the leader key
            # fails.
            return
        if s.term_era < s.era:
            # The leader key of the term's era is gone.
            return
        if not s.fence_renewed[i]:
            yield from self._refresh(s, i)
            return
        if s.settled or self.mutation == 'grant_unsettled':
            yield from self._move(s, i, owner, fence)
        else:
            yield from self._settle(s, i)

    def _settle(self, s, i):
        """Allow grants once all holds of the era before have expired."""
        if not s.grants_in_flight:
            yield (f'settle {i}', s._replace(settled=True, held_fence=(0, 0)))

    def _refresh(self, s, i):
        owner, fence = s.known_assignment[i]
        if self.mutation == 'no_fresh_fence':
            yield (
                f'refresh {i}',
                s._replace(fence_renewed=_with(s.fence_renewed, i, True)),
            )
            return
        renewed = self._next_fence(s, fence)
        is_first = s.table_era < s.era
        if not renewed or not (is_first or self._is_stored(s, owner, fence)):
            return
        yield (
            f'refresh {i}',
            s._replace(
                owner=owner,
                fence=renewed,
                known_assignment=_with(
                    s.known_assignment, i, (owner, renewed)
                ),
                fence_renewed=_with(s.fence_renewed, i, True),
                table_era=s.era,
            ),
        )

    def _is_stored(self, s, owner, fence):
        return (owner, fence) == (s.owner, s.fence)

    def _move(self, s, i, owner, fence):
        if not s.release_known[i]:
            yield from self._end_hold(s, i, owner, fence)
            if self.mutation == 'no_release':
                yield (
                    f'skip {i}',
                    s._replace(release_known=_with(s.release_known, i, True)),
                )
            if s.restarted[owner]:
                yield from self._return_to_restarted(s, i, owner, fence)
            if s.disconnected[i]:
                yield from self._refence(s, i, owner, fence)
            return
        next_fence = self._next_fence(s, fence)
        if not next_fence:
            return
        unchanged = self._is_stored(s, owner, fence)
        if not unchanged and self.mutation != 'write_without_conditions':
            return
        reassigned = (1 - owner, next_fence)
        after = s._replace(
            known_assignment=_with(s.known_assignment, i, reassigned),
            release_known=_with(s.release_known, i, False),
            disconnected=_with(s.disconnected, i, False),
            restarted=_with(s.restarted, reassigned[0], False),
        )
        if self.mutation == 'grant_before_write':
            yield (
                f'grant {i}',
                after._replace(
                    grants_in_flight=s.grants_in_flight | {(*reassigned, i)}
                ),
            )
        yield (
            f'write {i}',
            after._replace(owner=reassigned[0], fence=reassigned[1]),
        )

    def _refence(self, s, i, owner, fence):
        """Give the keys a new fence; they stay with their owner."""
        next_fence = self._next_fence(s, fence)
        if not next_fence or not self._is_stored(s, owner, fence):
            return
        yield (
            f'refence {i}',
            s._replace(
                fence=next_fence,
                known_assignment=_with(
                    s.known_assignment, i, (owner, next_fence)
                ),
                disconnected=_with(s.disconnected, i, False),
            ),
        )

    def _return_to_restarted(self, s, i, owner, fence):
        """Give the keys of a former process to its next one."""
        next_fence = self._next_fence(s, fence)
        if not next_fence or not self._is_stored(s, owner, fence):
            return
        yield (
            f'return {i}',
            s._replace(
                owner=owner,
                fence=next_fence,
                known_assignment=_with(
                    s.known_assignment, i, (owner, next_fence)
                ),
                restarted=_with(s.restarted, owner, False),
                disconnected=_with(s.disconnected, i, False),
            ),
        )

    def _end_hold(self, s, i, owner, fence):
        """End the owner's hold by a release or by expiry.

        A leader waits until none of its own grants can arrive any more, since
        a grant may arrive after a release that was sent later. It does not
        know which grants an earlier leader sent. A release is
        therefore valid only after the owner has applied a grant of this
        leader, since it then refuses the grants of earlier leaders. Without
        a release, no grant to the owner may still be in flight.
        """
        in_flight = (owner, fence, i) in s.grants_in_flight
        if in_flight and self.mutation != 'release_during_grant':
            return
        if self.mutation == 'restart_ends_hold' and s.restarted[owner]:
            yield (
                f'skip {i}',
                s._replace(release_known=_with(s.release_known, i, True)),
            )
        confirmed = s.highest_fence[owner] == fence
        if self.mutation == 'release_of_unconfirmed':
            confirmed = True
        if confirmed:
            yield (
                f'release {i}',
                s._replace(
                    held_fence=_with(s.held_fence, owner, 0),
                    release_known=_with(s.release_known, i, True),
                ),
            )
        if not any(grant[0] == owner for grant in s.grants_in_flight):
            yield (
                f'lapse {i}',
                s._replace(
                    held_fence=_with(s.held_fence, owner, 0),
                    release_known=_with(s.release_known, i, True),
                ),
            )


def has_one_holder(state):
    """Return whether at most one upstream holds the keys."""
    return not all(state['held_fence'])


def has_distinct_fences(state):
    """Return whether the upstreams have applied different fences."""
    applied = [fence for fence in state['highest_fence'] if fence]
    return len(applied) == len(set(applied))


def has_process_fences(state):
    """Return whether no process has applied a fence of a former one."""
    return all(
        not fence or fence > former
        for fence, former in zip(
            state['process_fence'], state['former_fence'], strict=True
        )
    )


def make_model(scope, mutation=''):
    """Return the model of a scope, without the rule `mutation` names."""
    rules = Rules(scope, mutation)
    return Protocol(
        name=f'ranges_{scope}',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=rules.transitions,
        invariants={
            'one_holder': has_one_holder,
            'rising_fences': has_distinct_fences,
            'process_fences': has_process_fences,
        },
    )
