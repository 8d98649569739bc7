"""Bound on concurrent work for an upstream that is new, restarted or cold.

One `SlowStart` per upstream belongs to the dispatcher's `Admission`, which
calls `note_answer` from `finished` and `note_idle` when work arrives at an
idle upstream. The process calls `note_epoch` with the epoch of each health
and grant answer. `bound` is the number of works that may run at once.

An upstream counts as cold when it is new to this dispatcher, its epoch
changes, a connection is lost during a request (the epoch is only known after
the next grant or probe), an answer says `Sill-State: cold`, or answers take
far longer than is usual for their routes: a cumulative sum of the logarithms
of latency against the usual one passes a limit. The last sign finds an
upstream that went cold unnoticed or whose reports mislead. While it is cold
the bound starts at `cold_bound` and doubles only after a number of answers
that are nearly as fast as usual, with no sign of cold among them. A latency
that stays high for `relearn` seconds without any other sign becomes the usual
one, so that an upstream slowed by its neighbours is not held at the cold
bound for ever.

An answer that says cold is believed even if answers are fast: too little work
is the safe error.
"""

import math

STATE_COLD = 'cold'
STATE_WARM = 'warm'
STATE_LEAVING = 'leaving'

DEFAULT_COLD_BOUND = 1
# While cold, only answers up to this many times the usual latency count as
# good: a cold upstream at its bound is often just two or three times slower.
GOOD_LATENCY_FACTOR = 2.0
# The sum grows by the binary logarithm of latency against the usual one, less
# the allowance (a factor of two); one answer adds at most the step. Counting
# slow answers in a row failed: with a service time five times as long and a
# spread of 0.5, three of five seeds never had three answers above four times.
CUSUM_ALLOWANCE = 1.0
CUSUM_MAX_STEP = 1.0
CUSUM_LIMIT = 5.0
# Shorter latencies are not told apart; also keeps the logarithm defined.
MIN_LATENCY_SECONDS = 1e-4
# A slow answer while cold takes back this many good ones.
SLOW_PENALTY = 4
# Good answers needed per unit of the present bound before it doubles.
GOOD_ANSWERS_PER_SLOT = 4
# Answers after which the usual latency is known.
BASELINE_ANSWERS = 16
# Weight of one answer in the usual latency.
BASELINE_WEIGHT = 0.01
# An upstream that was not asked for this long may have gone cold since.
MAX_IDLE_SECONDS = 30.0
DEFAULT_RELEARN_SECONDS = 20.0
# Time for which a new upstream without a usual latency is held back.
NEW_UPSTREAM_SECONDS = 1.0


class _LatencyBaseline:
    """Usual latency of one route, in seconds."""

    __slots__ = ('latency', 'answers')

    def __init__(self, latency):
        self.latency = latency
        self.answers = 1

    def update(self, latency):
        self.answers += 1
        weight = max(BASELINE_WEIGHT, 1 / self.answers)
        self.latency += weight * (latency - self.latency)


class SlowStart:
    """Bound of one upstream; `slots` is its bound when warm.

    `cold` tells whether the upstream counts as cold. Raises no errors.
    """

    __slots__ = (
        '_clock',
        'slots',
        'cold_bound',
        'relearn_seconds',
        'bound',
        'cold',
        'epoch',
        '_baselines',
        '_good_answers',
        '_cusum',
        '_cold_since',
        '_last_activity_at',
    )

    def __init__(
        self,
        clock,
        slots,
        cold_bound=DEFAULT_COLD_BOUND,
        relearn_seconds=DEFAULT_RELEARN_SECONDS,
    ):
        self._clock = clock
        self.slots = slots
        self.cold_bound = min(cold_bound, slots)
        self.relearn_seconds = relearn_seconds
        self.epoch = ''
        self._baselines = {}
        self._become_cold(clock.now())

    def _become_cold(self, now):
        self.cold = True
        self.bound = self.cold_bound
        self._good_answers = 0
        self._cusum = 0.0
        self._cold_since = now
        self._last_activity_at = now

    def baseline_latency(self, route=''):
        """Return the usual latency of a route, or 0 while unknown."""
        baseline = self._baselines.get(route)
        return baseline.latency if baseline else 0.0

    def suggest_baseline(self, latency, route=''):
        """Set a route's usual latency from other upstreams of the service.

        Without it, a new upstream that is cold and says it is warm can't be
        told from one that is slow by nature. Does nothing once answers of
        this upstream are known.
        """
        if route not in self._baselines:
            self._baselines[route] = baseline = _LatencyBaseline(latency)
            baseline.answers = BASELINE_ANSWERS

    def set_slots(self, slots):
        """Follow a changed number of slots; a warm upstream stays warm."""
        warm = self.bound >= self.slots
        self.slots = slots
        self.cold_bound = min(self.cold_bound, slots)
        self.bound = slots if warm else min(self.bound, slots)

    def note_epoch(self, epoch):
        """Record the id of the upstream's start; a new one means cold."""
        if not epoch or epoch == self.epoch:
            return
        if self.epoch:
            self._become_cold(self._clock.now())
        self.epoch = epoch

    def note_idle(self, now):
        """Record that work arrives while nothing runs at the upstream."""
        if now - self._last_activity_at > MAX_IDLE_SECONDS:
            self._become_cold(now)

    def note_shed(self, now):
        """Record that the upstream refused work for lack of capacity."""
        self.bound = max(self.cold_bound, self.bound // 2)
        self._good_answers = 0
        self._last_activity_at = now

    def note_lost(self, now):
        """Record a lost connection, which may mean that it starts anew."""
        self._become_cold(now)

    def note_answer(self, latency, state='', now=None, route=''):
        """Record a complete answer: seconds it took and its Sill-State."""
        if now is None:
            now = self._clock.now()
        self._last_activity_at = now
        if state == STATE_COLD:
            self._become_cold(now)
            return
        baseline = self._baselines.get(route)
        if baseline is None:
            self._baselines[route] = _LatencyBaseline(latency)
        elif baseline.answers < BASELINE_ANSWERS:
            baseline.update(latency)
            if now - self._cold_since >= NEW_UPSTREAM_SECONDS:
                self._note_good()
        else:
            self._compare(baseline, latency, now)

    def _compare(self, baseline, latency, now):
        """Judge an answer by the known usual latency of its route."""
        if self.cold:
            if now - self._cold_since > self.relearn_seconds:
                baseline.update(latency)
        else:
            shortest = max(MIN_LATENCY_SECONDS, baseline.latency)
            self._update_cusum(
                math.log2(max(MIN_LATENCY_SECONDS, latency) / shortest)
            )
            if self._cusum >= CUSUM_LIMIT:
                self._become_cold(now)
                return
            # Bounded, since the slow answers that lead to a detection would
            # raise what they are compared with.
            baseline.update(
                min(latency, GOOD_LATENCY_FACTOR * baseline.latency)
            )
        if latency <= baseline.latency * GOOD_LATENCY_FACTOR:
            self._note_good()
        else:
            self._good_answers = max(0, self._good_answers - SLOW_PENALTY)

    def _update_cusum(self, excess):
        step = min(CUSUM_MAX_STEP, excess - CUSUM_ALLOWANCE)
        self._cusum = max(0.0, self._cusum + step)

    def _note_good(self):
        if self.bound == self.slots:
            self.cold = False
            return
        self._good_answers += 1
        if self._good_answers < GOOD_ANSWERS_PER_SLOT * self.bound:
            return
        self._good_answers = 0
        self.bound = min(self.slots, self.bound * 2)
        if self.bound == self.slots:
            self.cold = False
