"""Second attempts for safe reads on shared services.

The entry router keeps one `HedgePolicy` per service with `hedge = yes`:

- `note_request()` for each fresh safe read, `note_latency(seconds)` for each
  first attempt that was answered or cancelled because the second one won. The
  time until a cancellation is above the delay, so it keeps its place in the
  quantile; without it the delay would sink with each hedge;
- when it sends a safe read, `delay()`: after that many seconds without an
  answer it calls `start()`, and if that is true sends a second attempt to an
  upstream that the balancer picks with the first one excluded;
- it keeps a `Hedge` per hedged request and tells it each result; the first
  good answer wins, the other attempt is cancelled.

Only requests whose route is safe (GET or HEAD and repeatable) are hedged;
for them running twice is no fault. The delay is the observed p95, so about
one request in twenty qualifies, and the budget bounds the additional load
when all upstreams are slow.
"""

from collections import deque

DEFAULT_RATIO = 0.05
DEFAULT_BURST = 10.0
DELAY_QUANTILE = 0.95
# Latencies kept for the quantile, and how often it is computed anew.
LATENCY_WINDOW = 512
UPDATE_ANSWERS = 32
MIN_ANSWERS = 64
# A hedge earlier than this costs more than it can save.
MIN_DELAY_SECONDS = 0.001


class HedgePolicy:
    """Delay and budget of second attempts for one service."""

    __slots__ = (
        'ratio',
        'burst',
        'tokens',
        '_latencies',
        '_delay',
        '_answers_since_update',
    )

    def __init__(self, ratio=DEFAULT_RATIO, burst=DEFAULT_BURST):
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst
        self._latencies = deque(maxlen=LATENCY_WINDOW)
        self._delay = None
        self._answers_since_update = 0

    def note_request(self):
        """Record a fresh request, which earns a part of a hedge."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def note_latency(self, seconds):
        """Record how long a first attempt took or was waited for."""
        self._latencies.append(seconds)
        self._answers_since_update += 1
        if self._answers_since_update >= UPDATE_ANSWERS:
            self._answers_since_update = 0
            self._update_delay()

    def _update_delay(self):
        if len(self._latencies) < MIN_ANSWERS:
            return
        ordered = sorted(self._latencies)
        quantile = ordered[int(len(ordered) * DELAY_QUANTILE)]
        self._delay = max(MIN_DELAY_SECONDS, quantile)

    def delay(self):
        """Return the seconds to wait for the first attempt, or None."""
        return self._delay

    def start(self):
        """Take a token; tell whether the second attempt may be sent."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Hedge:
    """The attempts of one hedged request, and which result wins.

    `attempts` are any hashable names. `note_result` returns a pair: the
    winning attempt, or None while others are still open, and the attempts to
    cancel. When all fail, the last failure wins.
    """

    __slots__ = ('_open', 'winner')

    def __init__(self, first):
        self._open = [first]
        self.winner = None

    def add(self, attempt):
        """Add a second attempt; False if a result has already won."""
        if self.winner is not None:
            return False
        self._open.append(attempt)
        return True

    def note_result(self, attempt, ok):
        """Record an attempt's result; return (winner, losers)."""
        if self.winner is not None or attempt not in self._open:
            return None, []
        self._open.remove(attempt)
        if not ok and self._open:
            return None, []
        self.winner = attempt
        losers, self._open = self._open, []
        return attempt, losers
