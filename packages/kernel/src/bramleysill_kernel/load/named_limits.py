"""Request rates that upstreams say they accept from all routers together.

An upstream in need names its limit in its responses, for as long as the limit
applies. A response without one ends it. Routers learn of a limit from their
own responses or from another router, and the latest observation counts.
"""

# A limit that nobody has confirmed for this time no longer applies: the
# upstream may have recovered while it got no requests.
MIN_RETENTION_SECONDS = 10.0
# An upstream with a low limit responds rarely, so its limit is kept for the
# time in which it accepts this many requests.
RETENTION_REQUESTS = 4.0
# Limit of the retention; a limit of 0 would otherwise never be tried again.
MAX_RETENTION_SECONDS = 30.0


class LimitReport:
    """What a response has told about the limit of an upstream process.

    `rate` is in requests/s, or None if the response named no limit, and
    `heard_at` is the time of the response in seconds.
    """

    __slots__ = ('upstream', 'incarnation', 'rate', 'heard_at')

    def __init__(self, upstream, incarnation, rate, heard_at):
        self.upstream = upstream
        self.incarnation = incarnation
        self.rate = rate
        self.heard_at = heard_at

    @property
    def valid_until(self):
        """Return when the report is too old to count."""
        seconds = MIN_RETENTION_SECONDS
        if self.rate is not None:
            needed = RETENTION_REQUESTS / max(self.rate, 1e-9)
            seconds = max(seconds, min(needed, MAX_RETENTION_SECONDS))
        return self.heard_at + seconds


class NamedLimits:
    """The latest report on each upstream process that has named a limit.

    `incarnation` tells apart the processes of one upstream: a new process has
    no limit until it names one.
    """

    __slots__ = ('_clock', '_reports', '_unsent')

    def __init__(self, clock):
        self._clock = clock
        self._reports = {}
        # Reports of this router that were not taken yet.
        self._unsent = {}

    def observe(self, upstream, incarnation, rate):
        """Record a response to this router; return whether the rate changed.

        `rate` is None if the response named no limit.
        """
        known = self._reports.get((upstream, incarnation))
        if rate is None and known is None:
            return False
        report = LimitReport(upstream, incarnation, rate, self._clock.now())
        changed = self.rate(upstream, incarnation) != rate
        self._reports[upstream, incarnation] = report
        self._unsent[upstream, incarnation] = report
        return changed

    def merge(self, report):
        """Use another router's report if it is newer than the known one."""
        key = report.upstream, report.incarnation
        known = self._reports.get(key)
        if known is None or known.heard_at < report.heard_at:
            self._reports[key] = report

    def report(self, upstream, incarnation):
        """Return the report on the limit of a process, or None without one."""
        report = self._reports.get((upstream, incarnation))
        if report is None or self._clock.now() >= report.valid_until:
            return None
        return None if report.rate is None else report

    def rate(self, upstream, incarnation):
        """Return the limit of a process in requests/s, or None without one."""
        report = self.report(upstream, incarnation)
        return None if report is None else report.rate

    def reports(self):
        """Return the latest reports that are still valid."""
        now = self._clock.now()
        return [r for r in self._reports.values() if now < r.valid_until]

    def take_unsent(self):
        """Return this router's reports since the last call."""
        found = list(self._unsent.values())
        self._unsent.clear()
        return found

    def sweep(self):
        """Remove the reports that are too old to count."""
        self._reports = {
            (r.upstream, r.incarnation): r for r in self.reports()
        }
