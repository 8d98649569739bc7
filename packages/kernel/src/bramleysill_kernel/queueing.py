"""Work of callers and the order in which an upstream's queue gives it out.

`FairQueue` is driven by `admission.Admission` only; the process builds a
`Work` for each request and hands it to `Admission.offer`. The order is:

1. higher `priority` first (`Route.priority`; larger is more valuable);
2. within a priority, services share the upstream evenly, and within a service
   its callers do: each gives one work in turn, and one that was empty joins at
   the end of the turn, so that neither a backlog nor single works gain;
3. within a caller, the earliest deadline first.

Example::

    queue = FairQueue()
    queue.push(Work(1, 'ledger', '17', 3, deadline=4.0, caller='a'))
    queue.pop().id == 1
"""

import bisect
from collections import deque

STATE_NEW = 'new'
STATE_QUEUED = 'queued'
STATE_HELD = 'held'
STATE_RUNNING = 'running'
STATE_ABANDONED = 'abandoned'
STATE_DONE = 'done'


class Work:
    """One request as the dispatcher's admission sees it.

    `deadline`, `enqueued_at` and `started_at` are readings of the clock that
    the admission uses, in seconds. `unit` is empty for shared services.
    `route` is the name of the `Route`, for latencies that are compared with
    their like. `state` and `seq` belong to the admission and its queue.
    """

    __slots__ = (
        'id',
        'service',
        'unit',
        'fence',
        'deadline',
        'caller',
        'priority',
        'repeatable',
        'route',
        'enqueued_at',
        'started_at',
        'state',
        'seq',
    )

    def __init__(
        self,
        id,
        service,
        unit='',
        fence=0,
        deadline=0.0,
        caller='',
        priority=1,
        repeatable=True,
        route='',
    ):
        self.id = id
        self.service = service
        self.unit = unit
        self.fence = fence
        self.deadline = deadline
        self.caller = caller
        self.priority = priority
        self.repeatable = repeatable
        self.route = route
        self.enqueued_at = 0.0
        self.started_at = 0.0
        self.state = STATE_NEW
        self.seq = 0

    def __repr__(self):
        return f'Work({self.id!r}, {self.unit!r}, {self.state})'


class _Flow:
    """Work of one caller, ordered by deadline."""

    __slots__ = ('key', 'works')

    def __init__(self, key):
        self.key = key
        self.works = []

    def __len__(self):
        return len(self.works)

    def push(self, work):
        bisect.insort(self.works, (work.deadline, work.seq, work))

    def pop(self):
        return self.works.pop(0)[2]

    def remove(self, work):
        index = bisect.bisect_left(self.works, (work.deadline, work.seq))
        del self.works[index]

    def longest(self):
        return self

    def all(self):
        return [entry[2] for entry in self.works]


class _Share:
    """Children (services, or callers of a service) that share evenly.

    A child is in `children` as long as it is in the turn. A child that was
    emptied by a removal stays until it comes to the front.
    """

    __slots__ = ('key', 'size', 'children', 'keys', '_turn')

    def __init__(self, key, keys):
        self.key = key
        self.size = 0
        self.children = {}
        self.keys = keys
        self._turn = deque()

    def __len__(self):
        return self.size

    def push(self, work):
        key = getattr(work, self.keys[0])
        child = self.children.get(key)
        if child is None:
            rest = self.keys[1:]
            child = _Share(key, rest) if rest else _Flow(key)
            self.children[key] = child
            self._turn.append(child)
        child.push(work)
        self.size += 1

    def pop(self):
        while True:
            child = self._turn.popleft()
            if len(child):
                break
            del self.children[child.key]
        work = child.pop()
        self.size -= 1
        if len(child):
            self._turn.append(child)
        else:
            del self.children[child.key]
        return work

    def remove(self, work):
        self.children[getattr(work, self.keys[0])].remove(work)
        self.size -= 1
        if not self.size:
            self.children.clear()
            self._turn.clear()

    def longest(self):
        """Return the longest flow of the largest child."""
        return max(self.children.values(), key=len).longest()

    def flow(self, work):
        """Return the flow a work belongs to, or None."""
        node = self
        for key in self.keys:
            node = node.children.get(getattr(work, key))
            if node is None:
                return None
        return node

    def all(self):
        return [w for c in self.children.values() for w in c.all()]


class FairQueue:
    """Queue by priority, fair share and deadline; see the module."""

    __slots__ = ('_levels', '_order', '_size', '_seq')

    def __init__(self):
        self._levels = {}
        self._order = []
        self._size = 0
        self._seq = 0

    def __len__(self):
        return self._size

    def __iter__(self):
        """Iterate over a snapshot of all queued work."""
        return iter(
            [w for p in self._order for w in self._levels[p].all()],
        )

    def push(self, work):
        """Add a work and mark it as queued."""
        level = self._levels.get(work.priority)
        if level is None:
            level = _Share(work.priority, ('service', 'caller'))
            self._levels[work.priority] = level
            self._order = sorted(self._levels, reverse=True)
        self._seq += 1
        work.seq = self._seq
        work.state = STATE_QUEUED
        level.push(work)
        self._size += 1

    def pop(self):
        """Take out the next work, or return None when empty."""
        for priority in self._order:
            level = self._levels[priority]
            if level.size:
                self._size -= 1
                return level.pop()
        return None

    def remove(self, work):
        """Take out one queued work, wherever it is."""
        self._levels[work.priority].remove(work)
        self._size -= 1

    def ahead_of(self, priority):
        """Return how many queued works come before a new one."""
        if len(self._order) == 1 and self._order[0] >= priority:
            return self._size
        return sum(self._levels[p].size for p in self._order if p >= priority)

    def least_valuable(self, newcomer):
        """Return what to shed so that one work less is kept.

        That is the latest work of the longest flow in the lowest priority.
        It is the newcomer itself if everything queued is more valuable or
        the newcomer's own flow is the longest one.
        """
        for priority in reversed(self._order):
            level = self._levels[priority]
            if level.size:
                break
        else:
            return newcomer
        if priority > newcomer.priority:
            return newcomer
        flow = level.longest()
        last = flow.works[-1][2]
        if priority < newcomer.priority:
            return last
        own = level.flow(newcomer)
        if own is None or len(own) + 1 < len(flow):
            return last
        if own is not flow:
            return newcomer
        return last if last.deadline > newcomer.deadline else newcomer
