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


class WorkItem:
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
        return f'WorkItem({self.id!r}, {self.unit!r}, {self.state})'


class _CallerQueue:
    """Work of one caller, ordered by deadline."""

    __slots__ = ('key', 'entries')

    def __init__(self, key):
        self.key = key
        self.entries = []

    def __len__(self):
        return len(self.entries)

    def push(self, item):
        bisect.insort(self.entries, (item.deadline, item.seq, item))

    def pop(self):
        return self.entries.pop(0)[2]

    def remove(self, item):
        index = bisect.bisect_left(self.entries, (item.deadline, item.seq))
        del self.entries[index]

    def longest_queue(self):
        return self

    def list_items(self):
        return [entry[2] for entry in self.entries]


class _FairGroup:
    """Children (services, or callers of a service) that share evenly.

    A child is in `children` as long as it is in the turn. A child that was
    emptied by a removal stays until it comes to the front.
    """

    __slots__ = ('key', 'size', 'children', 'key_fields', '_rotation')

    def __init__(self, key, key_fields):
        self.key = key
        self.size = 0
        self.children = {}
        self.key_fields = key_fields
        self._rotation = deque()

    def __len__(self):
        return self.size

    def push(self, item):
        key = getattr(item, self.key_fields[0])
        child = self.children.get(key)
        if child is None:
            rest = self.key_fields[1:]
            child = _FairGroup(key, rest) if rest else _CallerQueue(key)
            self.children[key] = child
            self._rotation.append(child)
        child.push(item)
        self.size += 1

    def pop(self):
        while True:
            child = self._rotation.popleft()
            if len(child):
                break
            del self.children[child.key]
        item = child.pop()
        self.size -= 1
        if len(child):
            self._rotation.append(child)
        else:
            del self.children[child.key]
        return item

    def remove(self, item):
        self.children[getattr(item, self.key_fields[0])].remove(item)
        self.size -= 1
        if not self.size:
            self.children.clear()
            self._rotation.clear()

    def longest_queue(self):
        """Return the longest flow of the largest child."""
        return max(self.children.values(), key=len).longest_queue()

    def caller_queue(self, item):
        """Return the flow a work belongs to, or None."""
        node = self
        for key in self.key_fields:
            node = node.children.get(getattr(item, key))
            if node is None:
                return None
        return node

    def list_items(self):
        return [
            item for c in self.children.values() for item in c.list_items()
        ]


class FairQueue:
    """Queue by priority, fair share and deadline; see the module."""

    __slots__ = ('_levels', '_priorities', '_size', '_seq')

    def __init__(self):
        self._levels = {}
        self._priorities = []
        self._size = 0
        self._seq = 0

    def __len__(self):
        return self._size

    def __iter__(self):
        """Iterate over a snapshot of all queued work."""
        return iter(
            [
                item
                for p in self._priorities
                for item in self._levels[p].list_items()
            ],
        )

    def push(self, item):
        """Add a work and mark it as queued."""
        level = self._levels.get(item.priority)
        if level is None:
            level = _FairGroup(item.priority, ('service', 'caller'))
            self._levels[item.priority] = level
            self._priorities = sorted(self._levels, reverse=True)
        self._seq += 1
        item.seq = self._seq
        item.state = STATE_QUEUED
        level.push(item)
        self._size += 1

    def pop(self):
        """Take out the next work, or return None when empty."""
        for priority in self._priorities:
            level = self._levels[priority]
            if level.size:
                self._size -= 1
                return level.pop()
        return None

    def remove(self, item):
        """Take out one queued work, wherever it is."""
        self._levels[item.priority].remove(item)
        self._size -= 1

    def count_ahead(self, priority):
        """Return how many queued works come before a new one."""
        if len(self._priorities) == 1 and self._priorities[0] >= priority:
            return self._size
        return sum(
            self._levels[p].size for p in self._priorities if p >= priority
        )

    def least_valuable(self, new_item):
        """Return what to shed so that one work less is kept.

        That is the latest work of the longest flow in the lowest priority.
        It is the newcomer itself if everything queued is more valuable or
        the newcomer's own flow is the longest one.
        """
        for priority in reversed(self._priorities):
            level = self._levels[priority]
            if level.size:
                break
        else:
            return new_item
        if priority > new_item.priority:
            return new_item
        longest = level.longest_queue()
        last = longest.entries[-1][2]
        if priority < new_item.priority:
            return last
        own = level.caller_queue(new_item)
        if own is None or len(own) + 1 < len(longest):
            return last
        if own is not longest:
            return new_item
        return last if last.deadline > new_item.deadline else new_item
