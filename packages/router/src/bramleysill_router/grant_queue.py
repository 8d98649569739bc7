"""Requests of units whose grant is still under way to the upstream."""

import collections

# A request waits this long for a grant before its entry looks again.
MAX_GRANT_WAIT_SECONDS = 1.0


class GrantQueue:
    """Jobs by unit; each method returns the jobs that are to be handled."""

    __slots__ = ('_waiting',)

    def __init__(self):
        self._waiting = collections.defaultdict(list)

    def add(self, job, now):
        """Let a job wait."""
        self._waiting[job.head.unit].append(job)
        job.work.enqueued_at = now

    def remove(self, job):
        """Remove a job; tells whether it was waiting."""
        waiting = self._waiting.get(job.head.unit)
        if not waiting or job not in waiting:
            return False
        waiting.remove(job)
        return True

    def take_unit(self, unit):
        """Return all jobs of a unit."""
        return self._waiting.pop(unit, [])

    def take_granted(self, may_run):
        """Return the jobs of units for which `may_run(unit, fence)`."""
        found = []
        for unit, jobs in list(self._waiting.items()):
            if not jobs or may_run(unit, jobs[0].head.fence):
                found += self.take_unit(unit)
        return found

    def take_expired(self, now):
        """Return the jobs that have waited too long."""
        return self._take(
            lambda job: (
                now - job.work.enqueued_at > MAX_GRANT_WAIT_SECONDS
                or job.deadline <= now
            )
        )

    def take_moved(self, has_moved):
        """Return the jobs for which `has_moved(job)`."""
        return self._take(has_moved)

    def _take(self, wanted):
        found = []
        for jobs in self._waiting.values():
            taken = [job for job in jobs if wanted(job)]
            for job in taken:
                jobs.remove(job)
            found += taken
        return found
