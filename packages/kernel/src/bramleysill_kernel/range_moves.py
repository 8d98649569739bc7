"""Keys on their way between owners, and the renewal of grants."""


class Move:
    """Keys that leave their owner and have no new one yet."""

    __slots__ = (
        'first',
        'last',
        'old',
        'target',
        'released',
        'handover',
        'calling',
        'failures',
        'repeat_at',
        'ready_at',
    )

    def __init__(self, part, target=None):
        self.first = part.first
        self.last = part.last
        self.old = part
        self.target = target
        self.released = False
        self.handover = ''
        self.calling = False
        self.failures = 0
        self.repeat_at = 0.0
        self.ready_at = None


class Renewal:
    """When a piece of a range is granted next."""

    __slots__ = ('due_at', 'calling', 'failures')

    def __init__(self):
        self.due_at = 0.0
        self.calling = 0
        self.failures = 0


def is_carried_out(move, table):
    """Tell whether a stored table has new owners for the keys of a move."""
    parts = table.overlapping(move.first, move.last)
    return all(part.fence != move.old.fence for part in parts)


def cut_out(first, last, cut_first, cut_last):
    """Return what is left of `first` to `last` after a cut, as pairs."""
    if cut_last < first or cut_first > last:
        return [(first, last)]
    left = []
    if first < cut_first:
        left.append((first, cut_first - 1))
    if last > cut_last:
        left.append((cut_last + 1, last))
    return left
