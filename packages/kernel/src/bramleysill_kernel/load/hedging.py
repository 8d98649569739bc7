"""Hedging: a second attempt for slow, safe reads on shared services.

The entry router keeps one `HedgePolicy` per service with `hedge = yes`:

- `note_request()` for each safe read, and `note_latency(seconds)` for each
  first attempt that got a response, or was cancelled because the second one
  won. The time until a cancellation counts because it exceeds the delay:
  without it the quantile, and so the delay, would fall with each hedge;
- `delay()` when it sends a safe read. After that many seconds without a
  response it calls `take()`. If that is true, it sends a second attempt to an
  upstream that the balancer picks with the first one excluded;
- a `Hedge` per hedged request, which gets each result. The first good response
  wins, and the other attempt is cancelled.

Only requests whose route is safe (GET or HEAD and repeatable) are hedged,
since they may run twice. The delay is the observed p95, so about one request
in twenty qualifies, and the budget bounds the additional load when all
upstreams are slow.
"""

from collections import deque

DEFAULT_RATIO = 0.05
DEFAULT_BURST = 10.0
DELAY_QUANTILE = 0.95
# Latencies kept for the quantile, latencies between its updates, and latencies
# without which it is not computed.
MAX_LATENCIES = 512
LATENCIES_PER_UPDATE = 32
MIN_LATENCIES = 64
# A hedge after a shorter delay costs more than it can save.
MIN_DELAY_SECONDS = 0.001


class HedgePolicy:
    """Delay and budget of second attempts for one service."""

    __slots__ = (
        'ratio',
        'burst',
        'tokens',
        '_latencies',
        '_delay',
        '_latencies_since_update',
    )

    def __init__(self, ratio=DEFAULT_RATIO, burst=DEFAULT_BURST):
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst
        self._latencies = deque(maxlen=MAX_LATENCIES)
        self._delay = None
        self._latencies_since_update = 0

    def note_request(self):
        """Record a first attempt, which adds `ratio` tokens."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def note_latency(self, seconds):
        """Record the time until the response or cancellation of an attempt."""
        self._latencies.append(seconds)
        self._latencies_since_update += 1
        if self._latencies_since_update >= LATENCIES_PER_UPDATE:
            self._latencies_since_update = 0
            self._update_delay()

    def _update_delay(self):
        if len(self._latencies) < MIN_LATENCIES:
            return
        ordered = sorted(self._latencies)
        quantile = ordered[int(len(ordered) * DELAY_QUANTILE)]
        self._delay = max(MIN_DELAY_SECONDS, quantile)

    def delay(self):
        """Return the seconds before a second attempt, or None if unknown."""
        return self._delay

    def take(self):
        """Return whether a second attempt may be sent, and count it if so."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Hedge:
    """The attempts of one hedged request, and which result wins.

    Attempts are any hashable values. `note_result` returns the winning
    attempt, or None while others are open, and the attempts to cancel. If all
    fail, the last failure wins.
    """

    __slots__ = ('_open', 'winner')

    def __init__(self, first):
        self._open = [first]
        self.winner = None

    def add(self, attempt):
        """Add a second attempt; returns False if a result has won."""
        if self.winner is not None:
            return False
        self._open.append(attempt)
        return True

    def note_result(self, attempt, ok):
        """Record the result of an attempt; returns (winner, losers)."""
        if self.winner is not None or attempt not in self._open:
            return None, []
        self._open.remove(attempt)
        if not ok and self._open:
            return None, []
        self.winner = attempt
        losers, self._open = self._open, []
        return attempt, losers
