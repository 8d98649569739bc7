"""Moves of units from one owner to another.

A unit may be assigned to a new owner only when its old owner can no longer
run requests for it: the dispatcher of the old owner has sent `Released`, or
the old owner is lost and its grants have expired. Such a move is *ready*.
All ready moves of a service are written in one compare-and-swap.
"""

from bramleysill_kernel.common import effects
from bramleysill_kernel.common import lease
from bramleysill_kernel.common import messages

# Maximum number of planned moves at a time from and to one upstream.
MAX_MOVES_PER_UPSTREAM = 8
MAX_MOVES_TO_COLD_UPSTREAM = 2
# Time for the target to load a unit before the source has to release it.
WARM_SECONDS = 0.2
RELEASE_RESEND_INTERVAL_SECONDS = 0.5


class PendingMove:
    """A move that has not been written; `fence` is that of the old owner.

    Before `not_before`, requests may still be running that a lost dispatcher
    sent to an upstream without authority checks.
    """

    __slots__ = (
        'service',
        'unit',
        'source',
        'target',
        'fence',
        'urgent',
        'ready',
        'warm_until',
        'release_sent_at',
        'not_before',
    )

    def __init__(self, service, move, fence, urgent, ready):
        self.service = service
        self.unit = move.unit
        self.source = move.source
        self.target = move.target
        self.fence = fence
        self.urgent = urgent
        self.ready = ready
        self.warm_until = None
        self.release_sent_at = lease.NEVER
        self.not_before = lease.NEVER


class MoveTracker:
    """The moves in progress, until the table with the new owner is accepted.

    `pending` maps pairs of service and unit to the move.
    """

    __slots__ = ('pending', '_clock', '_term')

    def __init__(self, clock, term):
        self.pending = {}
        self._clock = clock
        self._term = term

    def has(self, service, unit):
        """Return whether a unit is being moved."""
        return (service, unit) in self.pending

    def add(self, service, move, fence, urgent=False, ready=False):
        """Start a move and return it.

        A move of the unit that is already in progress keeps its target and
        only becomes urgent or ready.
        """
        pending_move = self.pending.get((service, move.unit))
        if pending_move is None:
            pending_move = PendingMove(service, move, fence, urgent, ready)
            self.pending[(service, move.unit)] = pending_move
        pending_move.urgent = pending_move.urgent or urgent
        pending_move.ready = pending_move.ready or ready
        return pending_move

    def can_start_planned(self, source, target, cold):
        """Return whether another planned move may start between the two.

        `cold` holds the cold upstreams, which receive fewer units at a time.
        Urgent moves are not limited.
        """
        outgoing = incoming = 0
        for move in self.pending.values():
            if not move.urgent:
                outgoing += move.source == source
                incoming += move.target == target
        limit = (
            MAX_MOVES_TO_COLD_UPSTREAM
            if target in cold
            else MAX_MOVES_PER_UPSTREAM
        )
        return outgoing < MAX_MOVES_PER_UPSTREAM and incoming < limit

    def on_released(self, message, assignment):
        """Handle a Released message; return the move that it makes ready.

        A dispatcher repeats the message, so it may confirm the request of a
        former coordinator; then a new move without a target is added. Returns
        None if the message does not match the owner and fence in the table.
        """
        if assignment is None or assignment.owner != message.upstream:
            return None
        if assignment.fence != message.fence:
            return None
        pending_move = self.pending.get((message.service, message.unit))
        if pending_move is None:
            pending_move = PendingMove(
                message.service,
                _MoveWithoutTarget(message),
                message.fence,
                True,
                True,
            )
            self.pending[(message.service, message.unit)] = pending_move
        pending_move.ready = True
        return pending_move

    def on_grants_expired(self, upstream):
        """Make all moves from an upstream whose grants have expired ready."""
        for move in self.pending.values():
            if move.source == upstream:
                move.ready = True

    def sources_to_release(self):
        """Return the upstreams that still have to release units."""
        return {m.source for m in self.pending.values() if not m.ready}

    def sources_released(self):
        """Return the upstreams of released units without a new owner yet."""
        return {m.source for m in self.pending.values() if m.ready}

    def tick(self, router_of, writable=True):
        """Return the Warm and Release messages that are due.

        While the store is not writable, planned moves wait: a released unit
        is not served until its new owner has been written.
        """
        now = self._clock.now()
        out = []
        for move in self.pending.values():
            if not move.ready and (writable or move.urgent):
                out.extend(self._advance(move, now, router_of))
        return out

    def _advance(self, move, now, router_of):
        """Return the messages that are due for one move.

        The target is asked to load the unit first, and `WARM_SECONDS` later
        the source is asked to release it. An urgent move does not wait.
        """
        out = []
        if move.warm_until is None:
            move.warm_until = now if move.urgent else now + WARM_SECONDS
            target_router = router_of(move.target)
            if target_router and move.target != move.source:
                warm = messages.Warm(
                    self._term, move.service, move.unit, move.target
                )
                out.append(effects.SendMessage(target_router, warm))
        due = now >= move.release_sent_at + RELEASE_RESEND_INTERVAL_SECONDS
        source_router = router_of(move.source)
        if source_router and due and now >= move.warm_until:
            move.release_sent_at = now
            release = messages.Release(
                self._term, move.service, move.unit, move.fence, move.source
            )
            out.append(effects.SendMessage(source_router, release))
        return out

    def ready_moves(self, service):
        """Return the moves to write now; `drop_completed` removes them."""
        now = self._clock.now()
        return [
            m
            for m in self.pending.values()
            if m.service == service and m.ready and now >= m.not_before
        ]

    def drop_completed(self, table):
        """Remove the moves that an accepted table contains."""
        for key, move in list(self.pending.items()):
            if move.service != table.service:
                continue
            assignment = table.get(move.unit)
            if assignment is None or assignment.fence > move.fence:
                del self.pending[key]

    def drop_service(self, service):
        """Remove all moves of a service that the manifest no longer has."""
        for key in [k for k in self.pending if k[0] == service]:
            del self.pending[key]


class _MoveWithoutTarget:
    """The move of a unit that is already stopped; its target is not known."""

    __slots__ = ('unit', 'source', 'target')

    def __init__(self, message):
        self.unit = message.unit
        self.source = message.upstream
        self.target = ''
