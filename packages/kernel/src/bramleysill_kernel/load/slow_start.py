"""Concurrency limit for an upstream that is new, restarted or cold.

The dispatcher's `Admission` owns one `SlowStart` per upstream. It calls
`note_response` from `finished`, and `note_idle` when a request arrives while
none is running. The process calls `note_epoch` with the epoch of each health
and grant response. `bound` is the number of requests that may run at once.

An upstream counts as cold when

- it is new to this dispatcher, or its epoch changes;
- a connection is lost during a request: the upstream may have restarted, and
  its new epoch is known only after the next grant or probe;
- a response says `Sill-State: cold`. This applies even if responses are
  fast, because sending too little is the safe error;
- latencies are far above the baselines of their routes: a cumulative sum
  (CUSUM) of log2(latency / baseline) exceeds a limit. This detects an upstream
  that became cold unnoticed or whose reports are wrong.

While it is cold, the bound starts at `cold_bound`. It doubles after a number
of responses close to the baseline, unless one of the above occurs meanwhile.
If latency stays high for `relearn_seconds` and nothing else says that the
upstream is cold, it becomes the new baseline, so that an upstream slowed down
by its neighbours is not kept at the cold bound forever.
"""

import math

STATE_COLD = 'cold'
STATE_WARM = 'warm'
STATE_LEAVING = 'leaving'

DEFAULT_COLD_BOUND = 1
# While cold, only responses up to this multiple of the baseline count as good:
# with as few requests as the bound allows, a cold upstream is often just two
# or three times slower.
GOOD_LATENCY_FACTOR = 2.0
# Each response adds log2(latency / baseline) minus the allowance, which is a
# factor of two; what it adds is limited to the step. Counting consecutive slow
# responses failed: with service times five times as long and a spread of 0.5,
# three of five seeds never had three in a row above four times the baseline.
CUSUM_ALLOWANCE = 1.0
CUSUM_MAX_STEP = 1.0
CUSUM_LIMIT = 5.0
# Shorter latencies are treated as equal; keeps the logarithm defined.
MIN_LATENCY_SECONDS = 1e-4
# Good responses that one slow response cancels while the upstream is cold.
SLOW_RESPONSE_PENALTY = 4
# Good responses needed per unit of the current bound before it doubles.
GOOD_RESPONSES_PER_SLOT = 4
# Responses after which the baseline is used for comparisons.
BASELINE_RESPONSES = 16
# Minimum weight of one response in the baseline.
BASELINE_WEIGHT = 0.01
# After this time without requests an upstream may have become cold.
MAX_IDLE_SECONDS = 30.0
DEFAULT_RELEARN_SECONDS = 20.0
# A new upstream without a baseline stays at the cold bound for this time.
NEW_UPSTREAM_SECONDS = 1.0


class _LatencyBaseline:
    """Moving average of the latency of one route, in seconds."""

    __slots__ = ('latency', 'responses')

    def __init__(self, latency):
        self.latency = latency
        self.responses = 1

    def update(self, latency):
        self.responses += 1
        weight = max(BASELINE_WEIGHT, 1 / self.responses)
        self.latency += weight * (latency - self.latency)


class SlowStart:
    """Concurrency limit of one upstream; `slots` is the limit when warm.

    `cold` is true while the upstream counts as cold.
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
        '_good_responses',
        '_cusum',
        '_became_cold_at',
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
        self._good_responses = 0
        self._cusum = 0.0
        self._became_cold_at = now
        self._last_activity_at = now

    def baseline_latency(self, route=''):
        """Return the baseline of a route in seconds, or 0 if unknown."""
        baseline = self._baselines.get(route)
        return baseline.latency if baseline else 0.0

    def suggest_baseline(self, latency, route=''):
        """Set a route's baseline from other upstreams of the service.

        Without it, a new upstream that is cold but reports warm can't be told
        from one that is always slow. Has no effect once the upstream has
        responded to a request of the route.
        """
        if route not in self._baselines:
            self._baselines[route] = baseline = _LatencyBaseline(latency)
            baseline.responses = BASELINE_RESPONSES

    def set_slots(self, slots):
        """Apply a changed number of slots; a warm upstream stays warm."""
        warm = self.bound >= self.slots
        self.slots = slots
        self.cold_bound = min(self.cold_bound, slots)
        self.bound = slots if warm else min(self.bound, slots)

    def note_epoch(self, epoch):
        """Record the upstream's epoch, the id of its incarnation.

        A new one means that the upstream is cold.
        """
        if not epoch or epoch == self.epoch:
            return
        if self.epoch:
            self._become_cold(self._clock.now())
        self.epoch = epoch

    def note_idle(self, now):
        """Record that a request arrives while none is running."""
        if now - self._last_activity_at > MAX_IDLE_SECONDS:
            self._become_cold(now)

    def note_shed(self, now):
        """Record that the upstream refused a request as overloaded."""
        self.bound = max(self.cold_bound, self.bound // 2)
        self._good_responses = 0
        self._last_activity_at = now

    def note_lost(self, now):
        """Record a lost connection: the upstream may be restarting."""
        self._become_cold(now)

    def note_response(self, latency, state='', now=None, route=''):
        """Record a complete response.

        `latency` is in seconds and `state` is its Sill-State.
        """
        if now is None:
            now = self._clock.now()
        self._last_activity_at = now
        if state == STATE_COLD:
            self._become_cold(now)
            return
        baseline = self._baselines.get(route)
        if baseline is None:
            self._baselines[route] = _LatencyBaseline(latency)
        elif baseline.responses < BASELINE_RESPONSES:
            baseline.update(latency)
            if now - self._became_cold_at >= NEW_UPSTREAM_SECONDS:
                self._note_good()
        else:
            self._compare(baseline, latency, now)

    def _compare(self, baseline, latency, now):
        """Compare a response with the known baseline of its route."""
        if self.cold:
            if now - self._became_cold_at > self.relearn_seconds:
                baseline.update(latency)
        else:
            shortest = max(MIN_LATENCY_SECONDS, baseline.latency)
            self._update_cusum(
                math.log2(max(MIN_LATENCY_SECONDS, latency) / shortest)
            )
            if self._cusum >= CUSUM_LIMIT:
                self._become_cold(now)
                return
            # Capped: the slow responses that lead to a detection would
            # otherwise raise the baseline they are compared with.
            baseline.update(
                min(latency, GOOD_LATENCY_FACTOR * baseline.latency)
            )
        if latency <= baseline.latency * GOOD_LATENCY_FACTOR:
            self._note_good()
        else:
            self._good_responses = max(
                0, self._good_responses - SLOW_RESPONSE_PENALTY
            )

    def _update_cusum(self, excess):
        step = min(CUSUM_MAX_STEP, excess - CUSUM_ALLOWANCE)
        self._cusum = max(0.0, self._cusum + step)

    def _note_good(self):
        if self.bound == self.slots:
            self.cold = False
            return
        self._good_responses += 1
        if self._good_responses < GOOD_RESPONSES_PER_SLOT * self.bound:
            return
        self._good_responses = 0
        self.bound = min(self.slots, self.bound * 2)
        if self.bound == self.slots:
            self.cold = False
