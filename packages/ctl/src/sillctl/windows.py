"""Increases of a router's counters over time windows.

The counters of a router start from zero when it restarts. Their increase
between the last reading and the restart is not known and not included.
"""

import bisect
import collections

# A window is full if at least this ratio of it is covered. Its first reading
# may precede the window by the remaining ratio, since polls are never exactly
# on time.
FULL_COVERAGE_RATIO = 0.9


class Window:
    """A named length of time over which increases are computed."""

    __slots__ = ('name', 'seconds')

    def __init__(self, name, seconds):
        self.name = name
        self.seconds = seconds


class Increase:
    """The increases of a router's counters in a window.

    `counts` maps sample keys to increases, `covered_seconds` is the time from
    the first to the last reading, and `restarts` the number of restarts
    between them.
    """

    __slots__ = ('counts', 'covered_seconds', 'restarts')

    def __init__(self, counts, covered_seconds, restarts):
        self.counts = counts
        self.covered_seconds = covered_seconds
        self.restarts = restarts


class _Reading:
    """The counters of a router at one time.

    It is taken from a snapshot or, without counters, stands for the start or
    a restart of the process.
    """

    __slots__ = ('at', 'counters', 'is_restart')

    def __init__(self, at, counters, is_restart=False):
        self.at = at
        self.counters = counters
        self.is_restart = is_restart


class History:
    """The snapshots of one router in order of time."""

    __slots__ = ('router', 'snapshots', '_readings')

    def __init__(self, router, snapshots):
        self.router = router
        self.snapshots = sorted(snapshots, key=lambda s: s.at)
        self._readings = _make_readings(self.snapshots)

    def last_response(self):
        """Return the newest snapshot with samples, or None."""
        with_samples = (s for s in reversed(self.snapshots) if _has_samples(s))
        return next(with_samples, None)

    def increase(self, window, now):
        """Return the Increase in a window that ends at `now`, or None.

        None means that there are no two readings at different times.
        """
        readings = self._readings_in(now - window.seconds, now, window)
        if len(readings) < 2:
            return None
        covered_seconds = readings[-1].at - readings[0].at
        if covered_seconds <= 0:
            return None
        restarts = sum(r.is_restart for r in readings[1:])
        return Increase(_sum_increases(readings), covered_seconds, restarts)

    def _readings_in(self, start, end, window):
        """Return the readings of a period and one shortly before, if any."""
        tolerance = window.seconds * (1 - FULL_COVERAGE_RATIO)
        first = bisect.bisect_left(self._readings, start, key=_reading_time)
        last = bisect.bisect_right(self._readings, end, key=_reading_time)
        if first and self._readings[first - 1].at >= start - tolerance:
            first -= 1
        return self._readings[first:last]


def _sum_increases(readings):
    """Return the increases of counters, added up between restarts."""
    counts = collections.Counter()
    first = 0
    for index in range(1, len(readings) + 1):
        if index == len(readings) or readings[index].is_restart:
            old = readings[first].counters
            for key, value in readings[index - 1].counters.items():
                counts[key] += value - old.get(key, 0.0)
            first = index
    return counts


def _reading_time(reading):
    return reading.at


def _has_samples(snapshot):
    return snapshot.samples is not None


def _make_readings(snapshots):
    readings = []
    last = None
    for snapshot in filter(_has_samples, snapshots):
        reading = _Reading(snapshot.at, snapshot.counters())
        if last is None:
            readings += _reading_at_start(snapshot)
        elif _has_restarted(last, snapshot, readings[-1].counters, reading):
            readings.append(_Reading(_restart_time(last, snapshot), {}, True))
        readings.append(reading)
        last = snapshot
    return readings


def _reading_at_start(snapshot):
    """Return an empty reading at the start of the process, if known."""
    started = snapshot.started_at
    if not started or started >= snapshot.at:
        return []
    return [_Reading(started, {})]


def _has_restarted(old, new, old_counters, reading):
    """Return whether the process restarted between two snapshots."""
    if old.started_at and new.started_at and old.started_at != new.started_at:
        return True
    # A counter that decreased or is missing shows a restart, even if others
    # already exceed their old values.
    return any(
        reading.counters.get(k, 0.0) < v for k, v in old_counters.items()
    )


def _restart_time(old, new):
    """Return the time of a restart, which lies between two snapshots."""
    return min(max(new.started_at or old.at, old.at), new.at)


def make_histories(snapshots):
    """Return the History of each router, by router."""
    by_router = {}
    for snapshot in snapshots:
        by_router.setdefault(snapshot.router, []).append(snapshot)
    return {r: History(r, group) for r, group in sorted(by_router.items())}
