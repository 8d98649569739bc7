"""Holds requests of units until the upstream has confirmed their grant."""

import collections

# How long a request waits for a grant. It is then refused with OwnerMoving or
# OwnerLost, and its entry locates the owner again.
MAX_GRANT_WAIT_SECONDS = 1.0


class GrantQueue:
    """Attempts that wait for a grant, by unit.

    The `take_` methods remove attempts and return them.
    """

    __slots__ = ('_waiting',)

    def __init__(self):
        self._waiting = collections.defaultdict(list)

    def add(self, attempt, now):
        """Add an attempt and record when its wait starts."""
        self._waiting[attempt.head.unit].append(attempt)
        attempt.work.enqueued_at = now

    def remove(self, attempt):
        """Remove an attempt; return whether it was waiting."""
        waiting = self._waiting.get(attempt.head.unit)
        if not waiting or attempt not in waiting:
            return False
        waiting.remove(attempt)
        return True

    def take_unit(self, unit):
        """Remove and return all attempts of a unit."""
        return self._waiting.pop(unit, [])

    def take_granted(self, may_run):
        """Remove and return the attempts of units that `may_run` accepts."""
        found = []
        for unit, attempts in list(self._waiting.items()):
            if not attempts or may_run(unit, attempts[0].head.fence):
                found += self.take_unit(unit)
        return found

    def take_expired(self, now):
        """Remove and return the attempts that have waited too long."""
        return self._take(
            lambda attempt: (
                now - attempt.work.enqueued_at > MAX_GRANT_WAIT_SECONDS
                or attempt.deadline <= now
            )
        )

    def take_moved(self, has_moved):
        """Remove and return the attempts that `has_moved` accepts."""
        return self._take(has_moved)

    def _take(self, predicate):
        found = []
        for attempts in self._waiting.values():
            taken = [attempt for attempt in attempts if predicate(attempt)]
            for attempt in taken:
                attempts.remove(attempt)
            found += taken
        return found
