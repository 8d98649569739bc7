"""Moves of units from one owner to another.

A unit may be given to a new owner only when its old owner can no longer run
it: the old owner's dispatcher has answered `Released`, or the old owner is
lost and its grants have lapsed. Such a move is *ready* and is written with
all other ready moves of its service in one compare-and-swap.
"""

from bramleysill_kernel import effects
from bramleysill_kernel import lease
from bramleysill_kernel import messages

# Planned moves at a time per giving and per receiving upstream.
MAX_MOVES_PER_UPSTREAM = 8
MAX_MOVES_TO_COLD_UPSTREAM = 2
# Time for the receiver to load a unit before the giver stops it.
WARM_SECONDS = 0.2
RELEASE_RESEND_SECONDS = 0.5


class PendingMove:
    """One unit on its way; `fence` is the fence that is being given up.

    Before `not_before`, requests that an unchecked upstream took from a lost
    dispatcher may still run.
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
    """All moves that have not been written yet."""

    __slots__ = ('pending', '_clock', '_term')

    def __init__(self, clock, term):
        self.pending = {}
        self._clock = clock
        self._term = term

    def has(self, service, unit):
        """Tell whether a unit is being moved."""
        return (service, unit) in self.pending

    def add(self, service, move, fence, urgent=False, ready=False):
        """Start a move; an existing one only becomes urgent or ready."""
        found = self.pending.get((service, move.unit))
        if found is None:
            found = PendingMove(service, move, fence, urgent, ready)
            self.pending[(service, move.unit)] = found
        found.urgent = found.urgent or urgent
        found.ready = found.ready or ready
        return found

    def can_start_planned(self, source, target, cold):
        """Tell whether one more planned move between the two may start."""
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
        """Take a Released; return the move, which may be new, or None.

        A dispatcher repeats Released for a unit that an earlier coordinator
        asked it to stop.
        """
        if assignment is None or assignment.owner != message.upstream:
            return None
        if assignment.fence != message.fence:
            return None
        found = self.pending.get((message.service, message.unit))
        if found is None:
            found = PendingMove(
                message.service,
                _MoveWithoutTarget(message),
                message.fence,
                True,
                True,
            )
            self.pending[(message.service, message.unit)] = found
        found.ready = True
        return found

    def owner_lapsed(self, upstream):
        """Make all moves away from an upstream ready."""
        for move in self.pending.values():
            if move.source == upstream:
                move.ready = True

    def sources_to_release(self):
        """Return the upstreams that still have to give up units."""
        return {m.source for m in self.pending.values() if not m.ready}

    def sources_released(self):
        """Return the upstreams that have given up units not yet written."""
        return {m.source for m in self.pending.values() if m.ready}

    def tick(self, router_of, writable=True):
        """Return the Warm and Release messages that are due.

        Without a writable store no planned move is advanced: a unit that was
        released stays without an owner until its next one is written.
        """
        now = self._clock.now()
        out = []
        for move in self.pending.values():
            if not move.ready and (writable or move.urgent):
                out.extend(self._advance(move, now, router_of))
        return out

    def _advance(self, move, now, router_of):
        out = []
        if move.warm_until is None:
            move.warm_until = now if move.urgent else now + WARM_SECONDS
            target_router = router_of(move.target)
            if target_router and move.target != move.source:
                warm = messages.Warm(
                    self._term, move.service, move.unit, move.target
                )
                out.append(effects.SendMessage(target_router, warm))
        due = now >= move.release_sent_at + RELEASE_RESEND_SECONDS
        source_router = router_of(move.source)
        if source_router and due and now >= move.warm_until:
            move.release_sent_at = now
            release = messages.Release(
                self._term, move.service, move.unit, move.fence, move.source
            )
            out.append(effects.SendMessage(source_router, release))
        return out

    def ready_moves(self, service):
        """Return the moves to write now; they stay until `drop_completed`."""
        now = self._clock.now()
        return [
            m
            for m in self.pending.values()
            if m.service == service and m.ready and now >= m.not_before
        ]

    def drop_completed(self, table):
        """Drop the moves of a service that an accepted table has done."""
        for key, move in list(self.pending.items()):
            if move.service != table.service:
                continue
            assignment = table.get(move.unit)
            if assignment is None or assignment.fence > move.fence:
                del self.pending[key]

    def drop_service(self, service):
        """Forget all moves of a service that the manifest removed."""
        for key in [k for k in self.pending if k[0] == service]:
            del self.pending[key]


class _MoveWithoutTarget:
    """A move without a target, for a unit found stopped."""

    __slots__ = ('unit', 'source', 'target')

    def __init__(self, message):
        self.unit = message.unit
        self.source = message.upstream
        self.target = ''
