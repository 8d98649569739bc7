"""The dispatcher's memory of idempotency keys.

The dispatcher keeps one `IdempotencyMemory` and drives it for each request
that carries an `Idempotency-Key`:

- `begin(unit, key, fingerprint)` before admission. Only on `NEW` the request
  may be run. `RUNNING`: answer 409 with Retry-After. `DONE`: answer with
  `entry.result`. `UNKNOWN`: refuse with outcome `unknown`. `MISMATCH`: the
  key was used for another request; answer 422. `FULL`: refuse, not run.
- `done(unit, key, result)` when the answer is complete, `unknown(unit, key)`
  when the attempt was sent and its end is not known, `not_run(unit, key)` when
  it certainly did not run; the key may then be used again.
- `ask(unit, key)` tells a caller the outcome later.
- `learn(unit, key, result)` when the owner upstream reports an outcome that
  was unknown.
- `tick()` every second or so.

What is promised while this memory lives: within `max_age` seconds of the
first use, one key of a unit runs at most once, and once its outcome is
unknown it is never run again. No entry is forgotten before its deadline; a
full memory refuses new keys instead. Results larger than `max_result` bytes
are not kept, but the fact that the request ran is.

What is not promised: the memory is lost with the dispatcher and does not move
with the unit. A new dispatcher answers `UNKNOWN` for a request that says it
is a repetition (`repeated=True`, the caller's statement) and that the memory
does not hold, until it has lived for `max_age`. A repetition that does not
say so can run a second time after a loss, unless the service's manifest says
that its upstreams remember idempotency keys (`idempotency = upstream`).
"""

from collections import deque

NEW = 'new'
RUNNING = 'running'
DONE = 'done'
UNKNOWN = 'unknown'
MISMATCH = 'mismatch'
FULL = 'full'
ABSENT = 'absent'

DEFAULT_MAX_ENTRIES = 100_000
DEFAULT_MAX_AGE_SECONDS = 600.0
DEFAULT_MAX_RESULT_BYTES = 4096


class Entry:
    """What is known of one key; `forget_at` is a reading of the clock."""

    __slots__ = ('state', 'result', 'fingerprint', 'expires_at')

    def __init__(self, state, fingerprint='', expires_at=0.0):
        self.state = state
        self.result = None
        self.fingerprint = fingerprint
        self.expires_at = expires_at


class IdempotencyCache:
    """Idempotency keys per unit, bounded in number and age."""

    __slots__ = (
        'max_entries',
        'max_age',
        'max_result',
        '_clock',
        '_started_at',
        '_entries',
        '_order',
    )

    def __init__(
        self,
        clock,
        max_entries=DEFAULT_MAX_ENTRIES,
        max_age=DEFAULT_MAX_AGE_SECONDS,
        max_result=DEFAULT_MAX_RESULT_BYTES,
    ):
        self.max_entries = max_entries
        self.max_age = max_age
        self.max_result = max_result
        self._clock = clock
        self._started_at = clock.now()
        self._entries = {}
        self._order = deque()

    def __len__(self):
        return len(self._entries)

    def begin(self, unit, key, fingerprint='', repeated=False):
        """Return (state, entry) for a request that is about to be run.

        `fingerprint` identifies the request (method, path, digest of the
        body). The entry is None for `UNKNOWN` without one and for `FULL`.
        """
        now = self._clock.now()
        entry = self._entries.get((unit, key))
        if entry is not None:
            if entry.fingerprint != fingerprint:
                return MISMATCH, entry
            return entry.state, entry
        if repeated and now - self._started_at < self.max_age:
            return UNKNOWN, None
        if len(self._entries) >= self.max_entries:
            self._remove_expired(now)
            if len(self._entries) >= self.max_entries:
                return FULL, None
        entry = Entry(RUNNING, fingerprint, now + self.max_age)
        self._entries[unit, key] = entry
        self._order.append((unit, key, entry))
        return NEW, entry

    def done(self, unit, key, result):
        """Record the complete answer of a running key."""
        entry = self._entries.get((unit, key))
        if entry is not None and entry.state == RUNNING:
            self._finish(entry, result)

    def resolve(self, unit, key, result):
        """Record the outcome of an unknown key, from the owner upstream."""
        entry = self._entries.get((unit, key))
        if entry is not None and entry.state == UNKNOWN:
            self._finish(entry, result)

    def _finish(self, entry, result):
        entry.state = DONE
        if result is not None and len(result) <= self.max_result:
            entry.result = result

    def unknown(self, unit, key):
        """Record that a running key may or may not have run."""
        entry = self._entries.get((unit, key))
        if entry is not None and entry.state == RUNNING:
            entry.state = UNKNOWN

    def not_run(self, unit, key):
        """Forget a running key whose request certainly did not run."""
        entry = self._entries.get((unit, key))
        if entry is not None and entry.state == RUNNING:
            del self._entries[unit, key]

    def lookup(self, unit, key):
        """Return (state, entry); `ABSENT` if nothing is known.

        While the memory is younger than `max_age`, a key that it does not
        hold is `UNKNOWN`: an earlier dispatcher may have run it.
        """
        entry = self._entries.get((unit, key))
        if entry is not None:
            return entry.state, entry
        if self._clock.now() - self._started_at < self.max_age:
            return UNKNOWN, None
        return ABSENT, None

    def tick(self):
        """Forget entries whose deadline has passed."""
        self._remove_expired(self._clock.now())

    def _remove_expired(self, now):
        """Drop expired entries; a running one is kept as long as it runs."""
        running = []
        while self._order and self._order[0][2].expires_at <= now:
            unit, key, entry = self._order.popleft()
            if self._entries.get((unit, key)) is not entry:
                continue
            if entry.state == RUNNING:
                entry.expires_at = now + self.max_age
                running.append((unit, key, entry))
            else:
                del self._entries[unit, key]
        self._order.extend(running)
