"""What one router knows of an upstream's load, and what a request costs there.

An upstream reports how many requests run and wait there in each answer. The
figure is a moment old and includes requests of all routers, so the router
adds what it has sent since and lets the others' share decay.
"""

import math

# Time constant in which a reported backlog of other routers' requests loses
# its meaning.
REPORT_DECAY_SECONDS = 0.25
# Time constant of the average backlog, to which an older report decays. A
# router of many sends rarely to an upstream, and must not take one that was
# full a second ago as idle.
AVERAGE_DECAY_SECONDS = 1.5
# Weight of a new sample in the moving average of service times, which all
# upstreams of a service share.
SAMPLE_WEIGHT = 0.05
FIRST_SERVICE_SECONDS = 0.1
# Weight of a new sample of one upstream's pace.
PACE_WEIGHT = 0.3
# Time constant in which a pace that is not confirmed becomes the usual one: a
# slow upstream is tried again some seconds later.
PACE_DECAY_SECONDS = 3.0
# From this pace on an upstream is slow; shorter spells of neighbours on its
# machine stay below.
SLOW_PACE = 4.0
LEAST_SERVICE_SECONDS = 0.002
# Requests for each slot at an upstream that takes no more connections.
BACKLOG_PER_SLOT_AT_LIMIT = 4
# How long an upstream that turned a request away is taken as full.
FULL_SECONDS = 0.05
# After a failed connection the next attempt waits this long, doubling up to
# the longest.
FIRST_DOWN_SECONDS = 0.25
LONGEST_DOWN_SECONDS = 1.0


class ServiceTime:
    """The usual time that a request takes at a service, in seconds.

    One router of many sends rarely to one upstream, so the average is taken
    over all upstreams; each one's own pace comes on top.
    """

    __slots__ = ('seconds',)

    def __init__(self, seconds=FIRST_SERVICE_SECONDS):
        self.seconds = seconds

    def add(self, sample):
        """Take the time of one answer into the average."""
        self.seconds += SAMPLE_WEIGHT * (sample - self.seconds)


class LoadReport:
    """Requests running and waiting at an upstream, and its pace.

    `pace` is how long work takes there now, 1.0 being usual, or None if the
    upstream does not tell.
    """

    __slots__ = ('running', 'waiting', 'slots', 'pace')

    def __init__(self, running, waiting, slots, pace=None):
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.pace = pace


class UpstreamLoad:
    """Load, speed and reachability of one upstream process."""

    __slots__ = (
        'slots',
        'in_flight',
        'usual',
        'failures',
        'down_until',
        'full_until',
        'answers',
        'busy_time',
        '_others',
        '_others_at',
        '_average',
        '_pace',
        '_pace_at',
        '_reports_pace',
    )

    def __init__(self, slots, usual=None):
        self.slots = max(1, slots)
        self.in_flight = 0
        self.usual = usual or ServiceTime()
        self.failures = 0
        self.down_until = 0.0
        self.full_until = 0.0
        # Observed since they were last reported to the leader.
        self.answers = 0
        self.busy_time = 0.0
        self._others = 0.0
        self._others_at = 0.0
        self._average = 0.0
        self._pace = 1.0
        self._pace_at = 0.0
        self._reports_pace = False

    def pace(self, now):
        """Return how long work takes here, 1.0 being usual."""
        age = max(0.0, now - self._pace_at)
        excess = (self._pace - 1.0) * math.exp(-age / PACE_DECAY_SECONDS)
        return 1.0 + excess

    def is_slow(self, now):
        """Tell whether work takes much longer here than is usual."""
        return self.pace(now) >= SLOW_PACE

    def service_time(self, now):
        """Return the seconds that a request takes once it has a slot."""
        return self.usual.seconds * self.pace(now)

    def backlog(self, now):
        """Return the requests that are expected at the upstream now."""
        age = max(0.0, now - self._others_at)
        average = self._average * math.exp(-age / AVERAGE_DECAY_SECONDS)
        excess = self._others - self._average
        excess *= math.exp(-age / REPORT_DECAY_SECONDS)
        return self.in_flight + max(0.0, average + excess)

    def expected_wait(self, now):
        """Return the seconds that one more request waits for a slot."""
        ahead = self.backlog(now) + 1 - self.slots
        return max(0.0, ahead) * self.service_time(now) / self.slots

    def expected_finish(self, now):
        """Return the seconds until one more request is answered."""
        return self.expected_wait(now) + self.service_time(now)

    def note_report(self, now, report):
        """Take a load report of an answer that has just arrived.

        The answered request is no longer in the report but still counted
        in `in_flight`.
        """
        self.slots = max(1, report.slots)
        self._reports_pace = report.pace is not None
        if self._reports_pace:
            self._note_pace(now, report.pace)
            self._observe(now)
        total = report.running + report.waiting
        self._note_others(now, total - max(0, self.in_flight - 1))

    def note_answer(self, now, seconds, backlog_at_send):
        """Take the time of an answer into the average service time.

        If the upstream does not report its pace, the answer tells it.
        """
        self.failures = 0
        self.down_until = 0.0
        queued = max(1.0, (backlog_at_send + 1) / self.slots)
        sample = max(LEAST_SERVICE_SECONDS, seconds / queued)
        self.usual.add(sample / self.pace(now))
        if not self._reports_pace:
            self._note_pace(now, sample / self.usual.seconds)
            self._observe(now)

    def take_observations(self):
        """Return and reset the answers counted, and their service times.

        The times are summed up, in seconds.
        """
        found = self.answers, self.busy_time
        self.answers = 0
        self.busy_time = 0.0
        return found

    def note_full(self, now):
        """The upstream has turned a request away for want of room."""
        self.full_until = now + FULL_SECONDS

    def note_connection_limit(self, now):
        """The upstream has reset a new connection: its queue is long."""
        self.note_full(now)
        self._note_others(
            now, max(self.backlog(now), BACKLOG_PER_SLOT_AT_LIMIT * self.slots)
        )

    def note_unreachable(self, now):
        """A connection could not be made or has gone silent."""
        self.failures += 1
        pause = FIRST_DOWN_SECONDS * 2 ** min(self.failures - 1, 4)
        self.down_until = now + min(pause, LONGEST_DOWN_SECONDS)

    def _note_pace(self, now, sample):
        old = self.pace(now)
        self._pace = old + PACE_WEIGHT * (sample - old)
        self._pace_at = now

    def _observe(self, now):
        self.answers += 1
        self.busy_time += self.service_time(now)

    def _note_others(self, now, others):
        age = now - self._others_at
        weight = 1.0 - math.exp(-age / AVERAGE_DECAY_SECONDS)
        self._others = max(0.0, others)
        self._average += weight * (self._others - self._average)
        self._others_at = now

    def is_down(self, now):
        """Tell whether the upstream was unreachable a moment ago."""
        return now < self.down_until
