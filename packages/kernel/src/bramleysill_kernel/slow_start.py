"""Bound on concurrent work for an upstream that is new, restarted or cold.

One `SlowStart` per upstream belongs to the dispatcher's `Admission`, which
calls `note_answer` from `finished` and `note_idle` when work arrives at an
idle upstream. The process calls `note_epoch` with the epoch of each health
and grant answer. `bound` is the number of works that may run at once.

An upstream counts as cold when it is new to this dispatcher, its epoch
changes, an answer says `Sill-State: cold`, or several answers in a row take
far longer than its usual latency. The last sign finds an upstream that went
cold unnoticed or whose reports mislead. While an upstream is cold the bound
is `cold_bound`; it grows again, by doubling, only while answers are as fast as
usual and none of them says cold. A latency that stays high for
`relearn` seconds without any other sign becomes the usual one, so that
an upstream slowed by its neighbours is not held at the cold bound for ever.
"""

STATE_COLD = 'cold'
STATE_WARM = 'warm'
STATE_LEAVING = 'leaving'

DEFAULT_COLD_BOUND = 1
# An answer this many times slower than usual is a sign of a cold upstream.
JUMP_FACTOR = 4.0
# One slow answer is common (a large body, a collection pause); three in a
# row at a known upstream are not.
JUMP_ANSWERS = 3
# Good answers needed per unit of the present bound before it doubles.
GROW_ANSWERS = 4
# Answers after which the usual latency is known.
LEARN_ANSWERS = 16
# Weight of one answer in the usual latency.
LATENCY_WEIGHT = 0.05
# An upstream that was not asked for this long may have gone cold since.
IDLE_SECONDS = 30.0
RELEARN_SECONDS = 20.0
# Time for which a new upstream without a usual latency is held back.
NEW_SECONDS = 1.0


class SlowStart:
    """Bound of one upstream; `slots` is its bound when warm.

    Raises no errors. `usual` is the usual latency in seconds, 0 while it is
    unknown; `cold` tells whether the upstream counts as cold.
    """

    __slots__ = (
        '_clock',
        'slots',
        'cold_bound',
        'relearn',
        'bound',
        'usual',
        'cold',
        'epoch',
        '_answers',
        '_good',
        '_slow',
        '_slow_min',
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
        self.usual = 0.0
        self.epoch = ''
        self._answers = 0
        self._slow = 0
        self._slow_min = 0.0
        self._become_cold(clock.now())

    def _become_cold(self, now):
        self.cold = True
        self.bound = self.cold_bound
        self._good = 0
        self._slow = 0
        self._cold_at = now
        self._last_at = now

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

    def note_answer(self, latency, state='', now=None):
        """Record a complete answer: seconds it took and its Sill-State."""
        if now is None:
            now = self._clock.now()
        self._last_at = now
        if state == STATE_COLD:
            self._become_cold(now)
            return
        if self.usual and latency > self.usual * JUMP_FACTOR:
            self._note_slow(latency, now)
            return
        self._slow = 0
        self._learn(latency)
        if self.bound < self.slots:
            self._note_good(now)
        else:
            self.cold = False

    def _learn(self, latency):
        self._answers += 1
        weight = max(LATENCY_WEIGHT, 1 / self._answers)
        self.usual += weight * (latency - self.usual)

    def _note_slow(self, latency, now):
        self._good = 0
        self._slow += 1
        if self._slow == 1:
            self._slow_min = latency
        self._slow_min = min(self._slow_min, latency)
        if self._slow < JUMP_ANSWERS:
            return
        if not self.cold:
            self._become_cold(now)
            self._slow = JUMP_ANSWERS
        elif now - self._cold_at > self.relearn:
            self.usual = self._slow_min
            self._slow = 0

    def _note_good(self, now):
        if self._answers < LEARN_ANSWERS and (
            now - self._cold_at < NEW_SECONDS
        ):
            return
        self._good += 1
        if self._good < GROW_ANSWERS * self.bound:
            return
        self._good = 0
        self.bound = min(self.slots, self.bound * 2)
        if self.bound == self.slots:
            self.cold = False
