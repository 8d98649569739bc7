"""One router's estimate of an upstream's load and of a request's time there.

With each response an upstream reports how many requests run and wait there.
The report is slightly out of date and includes the requests of all routers, so
the router adds those it has sent since and lets the others' part decay.
"""

import math

from bramleysill_kernel.load.service_load import ServiceLoad

# Time constant with which a reported backlog of other routers' requests decays
# to its average.
REPORT_DECAY_SECONDS = 0.25
# Time constant of that average. With many routers, each one sends rarely to an
# upstream, and must not assume that it is idle if it was full a second ago.
AVERAGE_DECAY_SECONDS = 1.5
# Weight of a new sample in the moving average of service times, which all
# upstreams of a service share.
SERVICE_TIME_WEIGHT = 0.05
# Weight of a response that leaves requests waiting. It has probably waited
# itself, for a time that can only be estimated.
QUEUED_SERVICE_TIME_WEIGHT = 0.005
# A sample counts as at most this multiple of the average. Keys whose state is
# not warm and disturbed upstreams take many times the usual time.
MAX_SAMPLE_FACTOR = 4.0
INITIAL_SERVICE_SECONDS = 0.1
# Weight of a new sample in the slowdown of one upstream.
SLOWDOWN_WEIGHT = 0.3
# Time constant with which a slowdown without new samples returns to 1: a slow
# upstream is tried again after some seconds.
SLOWDOWN_DECAY_SECONDS = 3.0
# Slowdown from which an upstream counts as slow. Short load peaks of other
# processes on its machine stay below.
SLOW_THRESHOLD = 4.0
MIN_SERVICE_SECONDS = 0.002
# Time constant with which a report gives way to the mean of the service when
# upstreams are compared, a few service times (50 to 400 ms). With 0.15 s the
# busiest upstream got 1.42 times the mean, with 0.6 s 1.28 and with 1 s 1.27;
# longer times lengthen the p99 wait.
REPORT_TRUST_SECONDS = 0.6
# Bounds of a plausible report. Upstreams queue up to 8 requests per slot, and
# their slots seldom differ from the registered ones.
MAX_REPORTED_PER_SLOT = 16
MAX_SLOTS_FACTOR = 4
MIN_PLAUSIBLE_SLOWDOWN = 0.1
# Weight of a new sample in the usual slowdown of one upstream, which is its
# speed; short slowdowns hardly change it.
USUAL_SLOWDOWN_WEIGHT = 0.05
# Bounds of the usual slowdown: an upstream that reports odd values neither
# attracts all requests nor loses all.
MIN_USUAL_SLOWDOWN = 0.25
MAX_USUAL_SLOWDOWN = 8.0
# Assumed requests per slot at an upstream that refuses new connections.
BACKLOG_PER_SLOT_AT_LIMIT = 4
# After a reset of a new connection, the upstreams of a service are assumed to
# reset more of them for this time: their queues have grown.
CONNECTION_RESETS_SECONDS = 5.0
# How long an upstream that refused a request counts as full.
FULL_BACKOFF_SECONDS = 0.05
# Delay before the next attempt after a failed connection; it doubles up to the
# maximum.
MIN_CONNECT_BACKOFF_SECONDS = 0.25
MAX_CONNECT_BACKOFF_SECONDS = 1.0


class ServiceTime:
    """Average time that a request takes at a service, in seconds.

    With many routers, each one sends rarely to a single upstream. The average
    is therefore taken over all upstreams of the service and multiplied by the
    slowdown of each. For the same reason `resets_until`, until when upstreams
    are assumed to reset new connections, is kept for the service.
    """

    __slots__ = ('seconds', 'resets_until')

    def __init__(self, seconds=INITIAL_SERVICE_SECONDS):
        self.seconds = seconds
        self.resets_until = 0.0

    def add(self, sample, weight=SERVICE_TIME_WEIGHT):
        """Add the service time of one response to the average."""
        sample = min(sample, MAX_SAMPLE_FACTOR * self.seconds)
        self.seconds += weight * (sample - self.seconds)


class LoadReport:
    """Requests running and waiting at an upstream, and its slowdown.

    `slowdown` is the current service time relative to the usual one (1.0), or
    None if the upstream does not report it.
    """

    __slots__ = ('running', 'waiting', 'slots', 'slowdown')

    def __init__(self, running, waiting, slots, slowdown=None):
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.slowdown = slowdown


class UpstreamLoad:
    """Load, speed and reachability of one upstream process."""

    __slots__ = (
        'slots',
        'in_flight',
        'shared_service_time',
        'service_load',
        'usual_slowdown',
        'reported_at',
        'failures',
        'down_until',
        'full_until',
        'closed_until',
        'answers',
        'busy_seconds',
        '_other_requests',
        '_other_requests_at',
        '_average_other_requests',
        '_remaining_requests',
        '_slowdown',
        '_slowdown_at',
        '_reports_slowdown',
        '_max_slots',
        '_contribution',
    )

    def __init__(
        self,
        slots,
        shared_service_time=None,
        service_load=None,
    ):
        self.slots = max(1, slots)
        self.in_flight = 0
        self.shared_service_time = shared_service_time or ServiceTime()
        self.service_load = service_load or ServiceLoad()
        # Service time here relative to that of the service, over many reports.
        self.usual_slowdown = 1.0
        # When the last load report arrived, in seconds; None without one.
        self.reported_at = None
        self.failures = 0
        self.down_until = 0.0
        self.full_until = 0.0
        # Until when the upstream has asked this router for no requests.
        self.closed_until = 0.0
        # Responses and the sum of their service times since the last report
        # to the leader.
        self.answers = 0
        self.busy_seconds = 0.0
        self._other_requests = 0.0
        self._other_requests_at = 0.0
        self._average_other_requests = 0.0
        # Requests at the upstream after its last response, None if unknown.
        self._remaining_requests = None
        self._slowdown = 1.0
        self._slowdown_at = 0.0
        self._reports_slowdown = False
        self._max_slots = MAX_SLOTS_FACTOR * self.slots
        # What this upstream adds to `service_load`.
        self._contribution = (0, 0, 0)

    def slowdown(self, now):
        """Return the service time here relative to the usual one (1.0)."""
        age = max(0.0, now - self._slowdown_at)
        excess = (self._slowdown - 1.0) * math.exp(
            -age / SLOWDOWN_DECAY_SECONDS
        )
        return 1.0 + excess

    def is_slow(self, now):
        """Return whether requests take much longer here than usual."""
        return self.slowdown(now) >= SLOW_THRESHOLD

    def service_time(self, now):
        """Return the seconds that a request takes once it has a slot."""
        return self.shared_service_time.seconds * self.slowdown(now)

    def backlog(self, now):
        """Return the estimated number of requests at the upstream."""
        age = max(0.0, now - self._other_requests_at)
        average = self._average_other_requests * math.exp(
            -age / AVERAGE_DECAY_SECONDS
        )
        excess = self._other_requests - self._average_other_requests
        excess *= math.exp(-age / REPORT_DECAY_SECONDS)
        return self.in_flight + max(0.0, average + excess)

    def expected_wait_seconds(self, now):
        """Return the seconds that another request would wait for a slot."""
        ahead = self.backlog(now) + 1 - self.slots
        return max(0.0, ahead) * self.service_time(now) / self.slots

    def expected_response_seconds(self, now):
        """Return the seconds until the response to another request."""
        return self.expected_wait_seconds(now) + self.service_time(now)

    def report_age(self, now):
        """Return the seconds since the last load report; inf without one."""
        if self.reported_at is None:
            return math.inf
        return max(0.0, now - self.reported_at)

    def balanced_backlog(self, now):
        """Return the requests at the upstream for a comparison with others.

        Unlike `backlog`, the reported requests of other routers give way to
        the mean of the service. Routers would otherwise compare reports of
        different ages, and all prefer the upstream with the oldest one.
        """
        usual = self.service_load.usual_others() * self.slots
        if self.reported_at is None:
            return self.in_flight + usual
        trust = math.exp((self.reported_at - now) / REPORT_TRUST_SECONDS)
        others = usual + (self._other_requests - usual) * min(1.0, trust)
        return self.in_flight + others

    @property
    def last_known_requests(self):
        """Return the requests by the last report, with this router's now."""
        return self.in_flight + self._other_requests

    @property
    def capacity(self):
        """Return the requests per usual service time that it can serve."""
        return self.slots / self.usual_slowdown

    def forget_report(self):
        """Remove the upstream from the mean of its service: it has ended."""
        self.service_load.replace(self._contribution, (0, 0, 0))
        self._contribution = (0, 0, 0)

    def leave_service(self):
        """Remove the upstream from its service; later reports don't count."""
        self.forget_report()
        self.service_load = ServiceLoad()

    def note_report(self, now, report):
        """Use the load report of a response that has just arrived.

        The report no longer contains the request of this response, but
        `in_flight` still does. Returns whether the report is plausible; an
        implausible one is used within bounds.
        """
        plausible = self._bound_report(report)
        self.reported_at = now
        self.slots = max(1, report.slots)
        self._reports_slowdown = report.slowdown is not None
        if self._reports_slowdown:
            self._update_slowdown(now, report.slowdown)
            self._count_response(now)
        total = report.running + report.waiting
        self._remaining_requests = total
        self._update_other_requests(now, total - max(0, self.in_flight - 1))
        others = int(self._other_requests)
        contribution = (total - others, others, self.slots)
        self.service_load.replace(self._contribution, contribution)
        self._contribution = contribution
        return plausible

    def _bound_report(self, report):
        """Reduce a report to its bounds; return whether it was within them."""
        plausible = report.running <= report.slots <= self._max_slots
        report.slots = min(report.slots, self._max_slots)
        most = MAX_REPORTED_PER_SLOT * report.slots
        if report.running + report.waiting > most:
            plausible = False
            report.running = min(report.running, report.slots)
            report.waiting = min(report.waiting, most - report.running)
        if report.slowdown is not None:
            plausible &= report.slowdown >= MIN_PLAUSIBLE_SLOWDOWN
            report.slowdown = max(report.slowdown, MIN_PLAUSIBLE_SLOWDOWN)
        return plausible

    def note_response(self, now, seconds, backlog_at_send):
        """Add the service time of a response to the shared average.

        The wait for a slot is not part of it. It is estimated from the
        requests that the response leaves behind, if the upstream reports
        them: on average a request finds as many as it leaves. What this
        router knew when it sent the request is often too old.

        If the upstream does not report its slowdown, this also updates it.
        """
        self.failures = 0
        self.down_until = 0.0
        found = self._remaining_requests
        if found is None:
            found = backlog_at_send
        queued = max(1.0, (found + 1) / self.slots)
        sample = max(MIN_SERVICE_SECONDS, seconds / queued)
        weight = SERVICE_TIME_WEIGHT
        if found > self.slots:
            weight = QUEUED_SERVICE_TIME_WEIGHT
        self.shared_service_time.add(sample / self.slowdown(now), weight)
        if not self._reports_slowdown:
            self._update_slowdown(
                now, sample / self.shared_service_time.seconds
            )
            self._count_response(now)

    def take_observations(self):
        """Return and reset the number of responses and their service times.

        The service times are a sum in seconds.
        """
        found = self.answers, self.busy_seconds
        self.answers = 0
        self.busy_seconds = 0.0
        return found

    def note_full(self, now):
        """Record that the upstream refused a request as full."""
        self.full_until = now + FULL_BACKOFF_SECONDS

    def note_retry_after(self, until):
        """Record that the upstream wants no requests until a time."""
        self.closed_until = max(self.closed_until, until)

    def is_closed(self, now):
        """Return whether the upstream wants no requests from this router."""
        return now < self.closed_until

    def note_connection_limit(self, now):
        """Record a reset of a new connection: the queue there is long."""
        self.note_full(now)
        self.shared_service_time.resets_until = now + CONNECTION_RESETS_SECONDS
        self._update_other_requests(
            now, max(self.backlog(now), BACKLOG_PER_SLOT_AT_LIMIT * self.slots)
        )

    def resets_connections(self, now):
        """Return whether new connections may be reset before their use."""
        return now < self.shared_service_time.resets_until

    def note_unreachable(self, now):
        """Record a failed connection, or one that no longer responds."""
        self.failures += 1
        pause = MIN_CONNECT_BACKOFF_SECONDS * 2 ** min(self.failures - 1, 4)
        self.down_until = now + min(pause, MAX_CONNECT_BACKOFF_SECONDS)

    def _update_slowdown(self, now, sample):
        old = self.slowdown(now)
        self._slowdown = old + SLOWDOWN_WEIGHT * (sample - old)
        usual = self.usual_slowdown
        usual += USUAL_SLOWDOWN_WEIGHT * (sample - usual)
        self.usual_slowdown = min(
            MAX_USUAL_SLOWDOWN, max(MIN_USUAL_SLOWDOWN, usual)
        )
        self._slowdown_at = now

    def _count_response(self, now):
        self.answers += 1
        self.busy_seconds += self.service_time(now)

    def _update_other_requests(self, now, others):
        age = now - self._other_requests_at
        weight = 1.0 - math.exp(-age / AVERAGE_DECAY_SECONDS)
        self._other_requests = max(0.0, others)
        self._average_other_requests += weight * (
            self._other_requests - self._average_other_requests
        )
        self._other_requests_at = now

    def is_down(self, now):
        """Return whether the upstream was unreachable a moment ago."""
        return now < self.down_until
