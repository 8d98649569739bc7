"""Keeps the memory budget of the process, and reports its use."""

import math

from bramleysill_kernel.common import refusals
from bramleysill_kernel.load.memory_budget import MemoryBudget
from bramleysill_kernel.load.memory_budget import max_link_bytes
from bramleysill_kernel.load.request_memory import RequestMemory
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning


class RouterMemory:
    """The budget for what is held for callers and upstreams.

    `total` is in bytes; None means that nothing is refused.
    """

    def __init__(self, loop, total, metrics):
        self.budget = MemoryBudget(loop, total)
        self._refusing = False
        # Refusals when the budget began to refuse.
        self._refused_before = 0
        metrics.add_gauge(self._gauges)

    @property
    def max_link_bytes(self):
        """Return how much may be unsent on one link to another router."""
        total = self.budget.total
        return math.inf if total is None else max_link_bytes(total)

    def open(self, req, priority):
        """Return (RequestMemory of a request, whether there was room)."""
        memory = RequestMemory(self.budget, priority)
        return memory, memory.open(req.length, req.chunked)

    def refuse(self, memory, bound):
        """Return the refusal of a request for which there was no room.

        `bound(seconds)` limits its Retry-After.
        """
        budget = self.budget
        if not self._refusing:
            self._refusing = True
            self._refused_before = budget.refused
            log_warning(
                'memory_budget_refuses',
                held=budget.held,
                budget=budget.total,
                priority=memory.priority,
                requested=memory.refused_bytes,
            )
        seconds = budget.refuse(memory.refused_bytes, memory.priority)
        return refusals.MemoryFull(
            'the router holds too many bytes for other requests',
            'memory',
            retry_after=bound(seconds),
        )

    def sweep(self):
        """Log when the budget has ceased to refuse; call every second."""
        budget = self.budget
        budget.measure_release_rate()
        if self._refusing and not budget.is_refusing():
            self._refusing = False
            log_event(
                'memory_budget_recovered',
                held=budget.held,
                budget=budget.total,
                refused=budget.refused - self._refused_before,
            )

    def _gauges(self):
        budget = self.budget
        for kind, size in budget.held_by_kind().items():
            yield 'bramleysill_memory_held_bytes', {'kind': kind}, size
        yield 'bramleysill_memory_budget_bytes', {}, budget.total or 0
