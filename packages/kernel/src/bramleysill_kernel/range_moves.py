"""Keys on their way between owners, and the renewal of grants."""

import bisect


class Move:
    """Keys that leave their owner and have no new one yet."""

    __slots__ = (
        'first',
        'last',
        'old',
        'target',
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
        self.old = part
        self.target = target
        self.released = False
        self.handover = ''
        self.release_pending = False
        self.failures = 0
        self.retry_at = 0.0
        self.ready_at = None


class GrantRenewal:
    """When a piece of a range is granted next."""

    __slots__ = ('due_at', 'pending_call', 'failures')

    def __init__(self):
        self.due_at = 0.0
        self.pending_call = 0
        self.failures = 0


class MoveList:
    """The moves in order of their keys; they never overlap."""

    __slots__ = ('_moves',)

    def __init__(self):
        self._moves = []

    def __iter__(self):
        return iter(self._moves)

    def add(self, move):
        """Add a move of keys that are not on the move."""
        bisect.insort(self._moves, move, key=_first_key)

    def remove(self, move):
        """Remove a move that has ended."""
        self._moves.remove(move)

    def overlapping(self, first, last):
        """Return the moves that share keys with `first` to `last`."""
        start = bisect.bisect_right(self._moves, first, key=_first_key)
        if start and self._moves[start - 1].last >= first:
            start -= 1
        end = bisect.bisect_right(self._moves, last, key=_first_key)
        return self._moves[start:end]

    def unmoved_subranges(self, item):
        """Return the parts of a range that are not on the move."""
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
    """Tell whether a stored table has new owners for the keys of a move."""
    parts = table.overlapping(move.first, move.last)
    return all(part.fence != move.old.fence for part in parts)


def _first_key(move):
    return move.first
