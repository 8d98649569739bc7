"""Requests that wait for an upstream, and the order in which they are sent.

Only `admission.Admission` uses `FairQueue`; the process builds a `WorkItem`
for each request and passes it to `Admission.offer`. The order is:

1. higher `priority` first (`Route.priority`; larger is more valuable);
2. within a priority, round robin over the services, and within a service
   over its callers: each supplies one request per turn. A service or caller
   that had no queued requests joins at the end of the rotation, so neither a
   caller with a backlog nor one that sends single requests gets more than its
   share;
3. within a caller, the earliest deadline first.

Example::

    queue = FairQueue()
    queue.push(WorkItem(1, 'ledger', '17', 3, deadline=4.0, caller='a'))
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
    """One request as the dispatcher's admission control sees it.

    `deadline`, `enqueued_at` and `started_at` are readings of the admission's
    clock, in seconds. `unit` is empty for shared services. `route` is the name
    of the `Route`; latencies are compared within a route only. `state` and
    `seq` are set by the admission and its queue.
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
    """Requests of one caller, ordered by deadline."""

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
    """Children (services, or callers of a service) served in round robin.

    `children` holds those in the rotation. A child that was emptied by a
    removal stays there until it reaches the front.
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
        """Return the longest caller queue of the largest child."""
        return max(self.children.values(), key=len).longest_queue()

    def caller_queue(self, item):
        """Return the caller queue that a request belongs to, or None."""
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
    """Queue ordered by priority, fair share and deadline."""

    __slots__ = ('_levels', '_priorities', '_size', '_seq')

    def __init__(self):
        self._levels = {}
        self._priorities = []
        self._size = 0
        self._seq = 0

    def __len__(self):
        return self._size

    def __iter__(self):
        """Iterate over a snapshot of all queued requests."""
        return iter(
            [
                item
                for p in self._priorities
                for item in self._levels[p].list_items()
            ],
        )

    def push(self, item):
        """Add a request and mark it as queued."""
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
        """Remove and return the next request, or None if empty."""
        for priority in self._priorities:
            level = self._levels[priority]
            if level.size:
                self._size -= 1
                return level.pop()
        return None

    def remove(self, item):
        """Remove a queued request at any position."""
        self._levels[item.priority].remove(item)
        self._size -= 1

    def count_ahead(self, priority):
        """Return the number of requests ahead of a new one."""
        if len(self._priorities) == 1 and self._priorities[0] >= priority:
            return self._size
        return sum(
            self._levels[p].size for p in self._priorities if p >= priority
        )

    def least_valuable(self, new_item):
        """Return the request to shed when the queue is full.

        That is the request with the latest deadline in the longest caller
        queue of the lowest priority, with these exceptions:

        - If all queued requests have a higher priority than the new one, or
          if it would make its caller's queue as long as the longest one, the
          new request is shed.
        - If its caller already has the longest queue, the latest deadline
          among that queue and the new request decides.
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
