"""Ejection of upstreams that are much slower or fail more than their peers.

The entry router keeps one `OutlierDetector` per shared service and feeds it
with its own observations only, because load reports lag and may be wrong:

- `note_result(name, latency, ok)` when an attempt ends; a timeout is not ok
  and has the time waited as its latency;
- `note_oldest_attempt(name, seconds)` from time to time, with the age of the
  oldest open attempt. This detects a frozen upstream before any attempt times
  out;
- `tick()` about every 20 ms; it returns the names whose state changed;
- `take_trial(name)` before an attempt is sent, while `trial_names()` is not
  empty. If it is true, the attempt may go to that upstream, and its end is
  reported with `trial=True`; it decides on the readmission.

`is_ejected(name)` sets `balancer.Candidate.ejected`. At most a third of the
upstreams is ejected at a time. To prevent flapping, an ejection takes two bad
evaluations in a row, a readmission takes several good trials in a row with a
stricter limit, and an upstream that relapses soon after its readmission stays
out twice as long each time.

Sometimes a trial comes early: when another upstream becomes bad while a third
is ejected, or when all upstreams that are not ejected slow down together. The
one that was ejected first is then tried, because it may have recovered and be
able to take its share again.
"""

import statistics

STATE_IN = 'in'
STATE_OUT = 'out'
STATE_TRIAL = 'trial'

MAX_EJECTED_SHARE = 1 / 3
# An upstream is ejected if its latency is above its peers' median by the first
# factor, and readmitted below the second. The gap prevents flapping.
EJECT_FACTOR = 3.0
READMIT_FACTOR = 2.0
# An upstream is also ejected if a larger share of its attempts fails.
MAX_ERROR_RATE = 0.5
# Results after which an upstream's averages are used.
MIN_RESULTS = 8
# Bad evaluations in a row before an ejection, and good trials in a row before
# a readmission.
MIN_BAD_EVALUATIONS = 2
MIN_GOOD_TRIALS = 3
# Minimum weight of one result in the moving averages.
SAMPLE_WEIGHT = 0.2
# A failed trial doubles the time until the next one up to a few seconds only:
# a trial costs one request, but a long ejection after a recovery overloads the
# others. A relapse under normal load costs much more, so its ejection doubles
# up to the higher limit.
MIN_EJECTION_SECONDS = 0.25
MAX_TRIAL_DELAY_SECONDS = 4.0
MAX_EJECTION_SECONDS = 60.0
# If an upstream isn't ejected again within this multiple of its last ejection,
# its next one is the shortest again, so that a brief slowdown by a neighbour
# has no lasting effect.
RELAPSE_RESET_FACTOR = 2.0
EVALUATION_INTERVAL_SECONDS = 0.02
# If the latency of the upstreams that are not ejected exceeds its long-term
# average by this factor, they are overloaded without the ejected ones.
OVERLOAD_FACTOR = 1.5
# Weight of one evaluation in the long-term average, a time constant of 10 s.
LONG_TERM_WEIGHT = 0.002
# Time after an ejection from which an early trial is allowed; it doubles with
# each relapse.
EARLY_TRIAL_SECONDS = 0.3
# After this time a trial without a result no longer blocks the next one.
TRIAL_TIMEOUT_SECONDS = 2.0


class _UpstreamStats:
    """State and moving averages of one upstream."""

    __slots__ = (
        'state',
        'latency',
        'error_rate',
        'results',
        'oldest_attempt_seconds',
        'bad_evaluations',
        'ejected_until',
        'relapses',
        'ejection_seconds',
        'ejected_at',
        'readmitted_at',
        'good_trials',
        'trial_started_at',
    )

    def __init__(self):
        self.state = STATE_IN
        self.relapses = 0
        self.ejection_seconds = 0.0
        self.ejected_at = 0.0
        self.readmitted_at = 0.0
        self.ejected_until = 0.0
        self.trial_started_at = None
        self.good_trials = 0
        self.reset()

    def reset(self):
        """Clear the averages at an ejection or readmission."""
        self.latency = 0.0
        self.error_rate = 0.0
        self.results = 0
        self.oldest_attempt_seconds = 0.0
        self.bad_evaluations = 0


class OutlierDetector:
    """Outlier state of the upstreams of one service.

    `rng` spreads the ends of ejections, so that routers which ejected an
    upstream at the same time don't all try it at once.
    """

    __slots__ = (
        '_clock',
        '_rng',
        '_upstreams',
        '_next_evaluation_at',
        '_long_term_latency',
    )

    def __init__(self, clock, rng, names=()):
        self._clock = clock
        self._rng = rng
        self._upstreams = {name: _UpstreamStats() for name in names}
        self._next_evaluation_at = clock.now()
        self._long_term_latency = 0.0

    def set_upstreams(self, names):
        """Set the service's upstreams; keeps the state of known ones."""
        self._upstreams = {
            n: self._upstreams.get(n) or _UpstreamStats() for n in names
        }

    def is_ejected(self, name):
        """Return whether an upstream gets no requests except trials."""
        stats = self._upstreams.get(name)
        return stats is not None and stats.state != STATE_IN

    def ejected(self):
        """Return the sorted names of ejected upstreams."""
        return sorted(n for n in self._upstreams if self.is_ejected(n))

    def latency(self, name):
        """Return the average latency of an upstream in seconds, or 0."""
        stats = self._upstreams.get(name)
        return stats.latency if stats else 0.0

    def note_result(self, name, latency, ok=True, trial=False):
        """Record the end of an attempt; `latency` is in seconds."""
        stats = self._upstreams.get(name)
        if stats is None:
            return
        if trial and stats.state == STATE_TRIAL:
            self._note_trial(stats, latency, ok)
            return
        if stats.state != STATE_IN:
            return
        stats.results += 1
        weight = max(SAMPLE_WEIGHT, 1 / stats.results)
        stats.error_rate += weight * ((0.0 if ok else 1.0) - stats.error_rate)
        if ok or latency > stats.latency:
            # A fast failure says nothing about the latency of responses.
            stats.latency += weight * (latency - stats.latency)
        stats.oldest_attempt_seconds = 0.0

    def note_oldest_attempt(self, name, seconds):
        """Record the age of the oldest open attempt at an upstream."""
        stats = self._upstreams.get(name)
        if stats is not None:
            stats.oldest_attempt_seconds = seconds

    def _median_latency(self):
        known = [
            s.latency
            for s in self._upstreams.values()
            if s.state == STATE_IN and s.results >= MIN_RESULTS
        ]
        return statistics.median_low(known) if known else 0.0

    def _is_overloaded(self, median):
        """Update the long-term average; return whether the median is high."""
        if not self._long_term_latency:
            self._long_term_latency = median
        self._long_term_latency += LONG_TERM_WEIGHT * (
            median - self._long_term_latency
        )
        return median > OVERLOAD_FACTOR * self._long_term_latency

    def tick(self):
        """Evaluate all upstreams; return the names that changed state."""
        now = self._clock.now()
        if now < self._next_evaluation_at:
            return []
        self._next_evaluation_at = now + EVALUATION_INTERVAL_SECONDS
        changed = self._end_ejections(now)
        median = self._median_latency()
        if self._is_overloaded(median):
            changed += self._start_early_trial(now)
        bad = []
        for name, stats in self._upstreams.items():
            if stats.state != STATE_IN:
                continue
            if self._is_bad(stats, median):
                stats.bad_evaluations += 1
                if stats.bad_evaluations >= MIN_BAD_EVALUATIONS:
                    bad.append((self._severity(stats, median), name))
            else:
                stats.bad_evaluations = 0
        for _, name in sorted(bad, reverse=True):
            if not self._may_eject():
                changed += self._start_early_trial(now)
                break
            self._eject(self._upstreams[name], now)
            changed.append(name)
        return changed

    def _is_bad(self, stats, median):
        if stats.results >= MIN_RESULTS and stats.error_rate > MAX_ERROR_RATE:
            return True
        if not median:
            return False
        if stats.oldest_attempt_seconds > EJECT_FACTOR * EJECT_FACTOR * median:
            return True
        return (
            stats.results >= MIN_RESULTS
            and stats.latency > EJECT_FACTOR * median
        )

    def _severity(self, stats, median):
        slow = (
            max(stats.latency, stats.oldest_attempt_seconds) / median
            if median
            else 0.0
        )
        return (stats.error_rate > MAX_ERROR_RATE, slow)

    def _may_eject(self):
        out = sum(s.state != STATE_IN for s in self._upstreams.values())
        return out + 1 <= len(self._upstreams) * MAX_EJECTED_SHARE

    def _start_early_trial(self, now):
        """Start a trial of the upstream that was ejected first."""
        out = [
            (stats.ejected_at, name)
            for name, stats in self._upstreams.items()
            if stats.state == STATE_OUT
            and now - stats.ejected_at
            > EARLY_TRIAL_SECONDS * 2**stats.relapses
        ]
        if not out:
            return []
        name = min(out)[1]
        self._begin_trial(self._upstreams[name])
        return [name]

    def _eject(self, stats, now):
        if stats.state == STATE_IN:
            seconds = self._next_ejection_seconds(stats, now)
        else:
            longest = max(MAX_TRIAL_DELAY_SECONDS, stats.ejection_seconds)
            seconds = min(longest, stats.ejection_seconds * 2)
        stats.state = STATE_OUT
        stats.ejection_seconds = seconds
        stats.ejected_until = now + seconds * self._rng.uniform(1.0, 1.2)
        stats.ejected_at = now
        stats.reset()

    def _next_ejection_seconds(self, stats, now):
        if (
            now - stats.readmitted_at
            > RELAPSE_RESET_FACTOR * stats.ejection_seconds
        ):
            stats.relapses = 0
        else:
            stats.relapses += 1
        return min(
            MAX_EJECTION_SECONDS,
            MIN_EJECTION_SECONDS * 2**stats.relapses,
        )

    def _begin_trial(self, stats):
        stats.state = STATE_TRIAL
        stats.good_trials = 0
        stats.trial_started_at = None

    def _end_ejections(self, now):
        changed = []
        for name, stats in self._upstreams.items():
            if stats.state == STATE_OUT and now >= stats.ejected_until:
                self._begin_trial(stats)
                changed.append(name)
        return changed

    def take_trial(self, name):
        """Return whether one attempt may try an ejected upstream now."""
        stats = self._upstreams.get(name)
        if stats is None or stats.state != STATE_TRIAL:
            return False
        now = self._clock.now()
        open_trial = stats.trial_started_at is not None
        if open_trial and now - stats.trial_started_at < TRIAL_TIMEOUT_SECONDS:
            return False
        stats.trial_started_at = now
        return True

    def trial_names(self):
        """Return the upstreams that wait for a trial attempt."""
        return [
            n for n, s in self._upstreams.items() if s.state == STATE_TRIAL
        ]

    def _note_trial(self, stats, latency, ok):
        stats.trial_started_at = None
        median = self._median_latency()
        if not ok or (median and latency > READMIT_FACTOR * median):
            self._eject(stats, self._clock.now())
            return
        stats.good_trials += 1
        if stats.good_trials >= MIN_GOOD_TRIALS:
            stats.state = STATE_IN
            stats.readmitted_at = self._clock.now()
            stats.reset()
