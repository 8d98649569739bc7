"""State of the moves between owners and of the renewal of grants."""

import bisect


class RangeMove:
    """A range that is leaving its owner and has no new owner yet.

    `target` is the planned assignment, or None if the new owner is chosen
    when the keys may be reassigned; that is possible from `ready_at`. With
    `target_required` they may be reassigned to the target only.
    """

    __slots__ = (
        'first',
        'last',
        'old_range',
        'target',
        'target_required',
        'released',
        'handover',
        'release_pending',
        'failures',
        'retry_at',
        'ready_at',
    )

    def __init__(self, part, target=None):
        self.first = part.first
        self.last = part.last
        self.old_range = part
        self.target = target
        self.target_required = False
        self.released = False
        self.handover = ''
        self.release_pending = False
        self.failures = 0
        self.retry_at = 0.0
        self.ready_at = None


class GrantRenewal:
    """When a range is granted next.

    `pending_call` is the number of the grant call without a response, or 0.
    """

    __slots__ = ('due_at', 'pending_call', 'failures')

    def __init__(self):
        self.due_at = 0.0
        self.pending_call = 0
        self.failures = 0


class MoveList:
    """Moves sorted by key; they never overlap."""

    __slots__ = ('_moves',)

    def __init__(self):
        self._moves = []

    def __iter__(self):
        return iter(self._moves)

    def add(self, move):
        """Add a move of keys that no other move contains."""
        bisect.insort(self._moves, move, key=_first_key)

    def remove(self, move):
        """Remove a finished move."""
        self._moves.remove(move)

    def overlapping(self, first, last):
        """Return the moves that overlap `first` to `last`."""
        start = bisect.bisect_right(self._moves, first, key=_first_key)
        if start and self._moves[start - 1].last >= first:
            start -= 1
        end = bisect.bisect_right(self._moves, last, key=_first_key)
        return self._moves[start:end]

    def unmoved_subranges(self, item):
        """Return the subranges of a range that no move contains."""
        parts = []
        first = item.first
        for move in self.overlapping(item.first, item.last):
            if first < move.first:
                parts.append(item.subrange(first, move.first - 1))
            first = move.last + 1
        if first <= item.last:
            parts.append(item.subrange(first, item.last))
        return parts


def is_committed(move, table):
    """Return whether a stored table reassigns all keys of a move."""
    parts = table.overlapping(move.first, move.last)
    return all(part.fence != move.old_range.fence for part in parts)


def _first_key(move):
    return move.first
