"""Ejection of upstreams that are much slower or fail more than their peers.

The entry router keeps one `OutlierDetector` per shared service and drives it
from its own observations only; load reports lag and may mislead:

- `note_answer(name, latency, ok)` when an attempt ends; a timeout counts as
  not ok with the time waited;
- `note_waiting(name, seconds)` from time to time with the age of the oldest
  attempt that is still open, so that a frozen upstream is seen before any
  answer is late enough to be given up;
- `tick()` every 20 ms or so; it returns the names whose state changed;
- while `trial_names()` is not empty, before an attempt is sent:
  `take_trial(name)`. When it is true, the attempt may go there, and its end is
  reported with `trial=True`; it decides on the re-admission.

`is_ejected(name)` feeds `balancer.Candidate.ejected`. At most a third of the
upstreams is ejected at a time. Ejection takes two bad evaluations in a row,
re-admission several good trials in a row under a stricter bound, and an
upstream that relapses soon after its re-admission stays out twice as long
each time, which prevents flapping.

When a further upstream turns bad while a third is out, or all that are in
slow down together, the one that has been out for longest is tried early: it
may have recovered and take its share again.
"""

import statistics

STATE_IN = 'in'
STATE_OUT = 'out'
STATE_TRIAL = 'trial'

MAX_EJECTED_SHARE = 1 / 3
# Slower than its peers' median by this factor is an outlier; below the exit
# factor it is taken back. The gap between the two prevents flapping.
EJECT_FACTOR = 3.0
READMIT_FACTOR = 2.0
EJECT_ERROR_RATE = 0.5
MIN_ANSWERS = 8
BAD_EVALUATIONS = 2
GOOD_TRIALS = 3
# Weight of one answer in the averages.
WEIGHT = 0.2
# A failed trial doubles the time until the next up to a few seconds only: a
# trial costs one request, but a long ejection after a recovery starves the
# rest. A relapse under ordinary work costs much more and doubles further.
FIRST_EJECTION_SECONDS = 0.25
LONGEST_TRIAL_SECONDS = 4.0
LONGEST_EJECTION_SECONDS = 60.0
# An upstream that stays in for this many times its last ejection starts with
# a short one again; a brief slowdown by a neighbour is not held against it.
FORGIVE_FACTOR = 2.0
EVALUATE_SECONDS = 0.02
# The latency of the upstreams that are in has risen by this factor against
# its long-term average: they are overloaded without the ejected ones.
CROWDED_FACTOR = 1.5
# Weight of one evaluation in the long-term average, about 10 s.
NORMAL_WEIGHT = 0.002
# Time out after which an upstream may be tried early; it doubles with each
# relapse.
EARLY_TRIAL_SECONDS = 0.3
# A trial without a result is given up, so that another can follow.
TRIAL_SECONDS = 2.0


class _Observed:
    """What is known of one upstream."""

    __slots__ = (
        'state',
        'latency',
        'errors',
        'answers',
        'waiting',
        'bad',
        'until',
        'relapses',
        'length',
        'ejected_at',
        'back_at',
        'trials',
        'trial_at',
    )

    def __init__(self):
        self.state = STATE_IN
        self.relapses = 0
        self.length = 0.0
        self.ejected_at = 0.0
        self.back_at = 0.0
        self.until = 0.0
        self.trial_at = None
        self.trials = 0
        self.restart()

    def restart(self):
        """Forget the averages, which describe the time before."""
        self.latency = 0.0
        self.errors = 0.0
        self.answers = 0
        self.waiting = 0.0
        self.bad = 0


class OutlierDetector:
    """Outlier state of the upstreams of one service.

    `rng` spreads the ends of ejections, so that routers which ejected an
    upstream together don't try it together.
    """

    __slots__ = ('_clock', '_rng', '_seen', '_evaluate_at', '_normal')

    def __init__(self, clock, rng, names=()):
        self._clock = clock
        self._rng = rng
        self._seen = {name: _Observed() for name in names}
        self._evaluate_at = clock.now()
        self._normal = 0.0

    def set_upstreams(self, names):
        """Set the service's upstreams; keeps what is known of them."""
        self._seen = {n: self._seen.get(n) or _Observed() for n in names}

    def is_ejected(self, name):
        """Tell whether ordinary work must avoid the upstream."""
        seen = self._seen.get(name)
        return seen is not None and seen.state != STATE_IN

    def ejected(self):
        """Return the names of ejected upstreams, in order."""
        return sorted(n for n in self._seen if self.is_ejected(n))

    def latency(self, name):
        """Return the average latency of an upstream in seconds, or 0."""
        seen = self._seen.get(name)
        return seen.latency if seen else 0.0

    def note_answer(self, name, latency, ok=True, trial=False):
        """Record the end of an attempt, in seconds since it was sent."""
        seen = self._seen.get(name)
        if seen is None:
            return
        if trial and seen.state == STATE_TRIAL:
            self._note_trial(seen, latency, ok)
            return
        if seen.state != STATE_IN:
            return
        seen.answers += 1
        weight = max(WEIGHT, 1 / seen.answers)
        seen.errors += weight * ((0.0 if ok else 1.0) - seen.errors)
        if ok or latency > seen.latency:
            # A fast failure says nothing of the latency of answers.
            seen.latency += weight * (latency - seen.latency)
        seen.waiting = 0.0

    def note_waiting(self, name, seconds):
        """Record the age of the oldest open attempt at an upstream."""
        seen = self._seen.get(name)
        if seen is not None:
            seen.waiting = seconds

    def _usual(self):
        known = [
            s.latency
            for s in self._seen.values()
            if s.state == STATE_IN and s.answers >= MIN_ANSWERS
        ]
        return statistics.median_low(known) if known else 0.0

    def _is_crowded(self, usual):
        if not self._normal:
            self._normal = usual
        self._normal += NORMAL_WEIGHT * (usual - self._normal)
        return usual > CROWDED_FACTOR * self._normal

    def tick(self):
        """Evaluate all upstreams; return the names that changed state."""
        now = self._clock.now()
        if now < self._evaluate_at:
            return []
        self._evaluate_at = now + EVALUATE_SECONDS
        changed = self._end_ejections(now)
        usual = self._usual()
        if self._is_crowded(usual):
            changed += self._make_room(now)
        bad = []
        for name, seen in self._seen.items():
            if seen.state != STATE_IN:
                continue
            if self._is_bad(seen, usual):
                seen.bad += 1
                if seen.bad >= BAD_EVALUATIONS:
                    bad.append((self._badness(seen, usual), name))
            else:
                seen.bad = 0
        for _, name in sorted(bad, reverse=True):
            if not self._has_room():
                changed += self._make_room(now)
                break
            self._eject(self._seen[name], now)
            changed.append(name)
        return changed

    def _is_bad(self, seen, usual):
        if seen.answers >= MIN_ANSWERS and seen.errors > EJECT_ERROR_RATE:
            return True
        if not usual:
            return False
        if seen.waiting > EJECT_FACTOR * EJECT_FACTOR * usual:
            return True
        return (
            seen.answers >= MIN_ANSWERS and seen.latency > EJECT_FACTOR * usual
        )

    def _badness(self, seen, usual):
        slow = max(seen.latency, seen.waiting) / usual if usual else 0.0
        return (seen.errors > EJECT_ERROR_RATE, slow)

    def _has_room(self):
        out = sum(s.state != STATE_IN for s in self._seen.values())
        return out + 1 <= len(self._seen) * MAX_EJECTED_SHARE

    def _make_room(self, now):
        """Begin an early trial of the upstream that is out for longest."""
        out = [
            (seen.ejected_at, name)
            for name, seen in self._seen.items()
            if seen.state == STATE_OUT
            and now - seen.ejected_at > EARLY_TRIAL_SECONDS * 2**seen.relapses
        ]
        if not out:
            return []
        name = min(out)[1]
        self._begin_trial(self._seen[name])
        return [name]

    def _eject(self, seen, now):
        if seen.state == STATE_IN:
            length = self._first_length(seen, now)
        else:
            longest = max(LONGEST_TRIAL_SECONDS, seen.length)
            length = min(longest, seen.length * 2)
        seen.state = STATE_OUT
        seen.length = length
        seen.until = now + length * self._rng.uniform(1.0, 1.2)
        seen.ejected_at = now
        seen.restart()

    def _first_length(self, seen, now):
        if now - seen.back_at > FORGIVE_FACTOR * seen.length:
            seen.relapses = 0
        else:
            seen.relapses += 1
        return min(
            LONGEST_EJECTION_SECONDS,
            FIRST_EJECTION_SECONDS * 2**seen.relapses,
        )

    def _begin_trial(self, seen):
        seen.state = STATE_TRIAL
        seen.trials = 0
        seen.trial_at = None

    def _end_ejections(self, now):
        changed = []
        for name, seen in self._seen.items():
            if seen.state == STATE_OUT and now >= seen.until:
                self._begin_trial(seen)
                changed.append(name)
        return changed

    def take_trial(self, name):
        """Tell whether one attempt may try an ejected upstream now."""
        seen = self._seen.get(name)
        if seen is None or seen.state != STATE_TRIAL:
            return False
        now = self._clock.now()
        open_trial = seen.trial_at is not None
        if open_trial and now - seen.trial_at < TRIAL_SECONDS:
            return False
        seen.trial_at = now
        return True

    def trial_names(self):
        """Return the upstreams that wait for a trial attempt."""
        return [n for n, s in self._seen.items() if s.state == STATE_TRIAL]

    def _note_trial(self, seen, latency, ok):
        seen.trial_at = None
        usual = self._usual()
        if not ok or (usual and latency > READMIT_FACTOR * usual):
            self._eject(seen, self._clock.now())
            return
        seen.trials += 1
        if seen.trials >= GOOD_TRIALS:
            seen.state = STATE_IN
            seen.back_at = self._clock.now()
            seen.restart()
