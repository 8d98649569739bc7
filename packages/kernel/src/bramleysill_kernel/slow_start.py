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
GROW_FACTOR = 2.0
# The sum grows by the binary logarithm of latency against the usual one, less
# the allowance (a factor of two); one answer adds at most the step. Counting
# slow answers in a row failed: with a service time five times as long and a
# spread of 0.5, three of five seeds never had three answers above four times.
JUMP_ALLOWANCE = 1.0
JUMP_STEP = 1.0
JUMP_LIMIT = 5.0
# Shorter latencies are not told apart; also keeps the logarithm defined.
MIN_LATENCY = 1e-4
# A slow answer while cold takes back this many good ones.
SLOW_PENALTY = 4
# Good answers needed per unit of the present bound before it doubles.
GROW_ANSWERS = 4
# Answers after which the usual latency is known.
LEARN_ANSWERS = 16
# Weight of one answer in the usual latency.
LATENCY_WEIGHT = 0.01
# An upstream that was not asked for this long may have gone cold since.
IDLE_SECONDS = 30.0
RELEARN_SECONDS = 20.0
# Time for which a new upstream without a usual latency is held back.
NEW_SECONDS = 1.0


class _Usual:
    """Usual latency of one route, in seconds."""

    __slots__ = ('latency', 'answers')

    def __init__(self, latency):
        self.latency = latency
        self.answers = 1

    def learn(self, latency):
        self.answers += 1
        weight = max(LATENCY_WEIGHT, 1 / self.answers)
        self.latency += weight * (latency - self.latency)


class SlowStart:
    """Bound of one upstream; `slots` is its bound when warm.

    `cold` tells whether the upstream counts as cold. Raises no errors.
    """

    __slots__ = (
        '_clock',
        'slots',
        'cold_bound',
        'relearn',
        'bound',
        'cold',
        'epoch',
        '_usual',
        '_good',
        '_sum',
        '_cold_at',
        '_last_at',
    )

    def __init__(
        self,
        clock,
        slots,
        cold_bound=DEFAULT_COLD_BOUND,
        relearn=RELEARN_SECONDS,
    ):
        self._clock = clock
        self.slots = slots
        self.cold_bound = min(cold_bound, slots)
        self.relearn = relearn
        self.epoch = ''
        self._usual = {}
        self._become_cold(clock.now())

    def _become_cold(self, now):
        self.cold = True
        self.bound = self.cold_bound
        self._good = 0
        self._sum = 0.0
        self._cold_at = now
        self._last_at = now

    def usual(self, route=''):
        """Return the usual latency of a route, or 0 while unknown."""
        usual = self._usual.get(route)
        return usual.latency if usual else 0.0

    def hint_usual(self, latency, route=''):
        """Set a route's usual latency from other upstreams of the service.

        Without it, a new upstream that is cold and says it is warm can't be
        told from one that is slow by nature. Does nothing once answers of
        this upstream are known.
        """
        if route not in self._usual:
            self._usual[route] = usual = _Usual(latency)
            usual.answers = LEARN_ANSWERS

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
        if now - self._last_at > IDLE_SECONDS:
            self._become_cold(now)

    def note_shed(self, now):
        """Record that the upstream refused work for lack of capacity."""
        self.bound = max(self.cold_bound, self.bound // 2)
        self._good = 0
        self._last_at = now

    def note_lost(self, now):
        """Record a lost connection, which may mean that it starts anew."""
        self._become_cold(now)

    def note_answer(self, latency, state='', now=None, route=''):
        """Record a complete answer: seconds it took and its Sill-State."""
        if now is None:
            now = self._clock.now()
        self._last_at = now
        if state == STATE_COLD:
            self._become_cold(now)
            return
        usual = self._usual.get(route)
        if usual is None:
            self._usual[route] = _Usual(latency)
        elif usual.answers < LEARN_ANSWERS:
            usual.learn(latency)
            if now - self._cold_at >= NEW_SECONDS:
                self._note_good()
        else:
            self._compare(usual, latency, now)

    def _compare(self, usual, latency, now):
        """Judge an answer by the known usual latency of its route."""
        if self.cold:
            if now - self._cold_at > self.relearn:
                usual.learn(latency)
        else:
            shortest = max(MIN_LATENCY, usual.latency)
            self._add(math.log2(max(MIN_LATENCY, latency) / shortest))
            if self._sum >= JUMP_LIMIT:
                self._become_cold(now)
                return
            # Bounded, since the slow answers that lead to a detection would
            # raise what they are compared with.
            usual.learn(min(latency, GROW_FACTOR * usual.latency))
        if latency <= usual.latency * GROW_FACTOR:
            self._note_good()
        else:
            self._good = max(0, self._good - SLOW_PENALTY)

    def _add(self, excess):
        step = min(JUMP_STEP, excess - JUMP_ALLOWANCE)
        self._sum = max(0.0, self._sum + step)

    def _note_good(self):
        if self.bound == self.slots:
            self.cold = False
            return
        self._good += 1
        if self._good < GROW_ANSWERS * self.bound:
            return
        self._good = 0
        self.bound = min(self.slots, self.bound * 2)
        if self.bound == self.slots:
            self.cold = False
