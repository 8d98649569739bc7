"""The dispatcher's in-memory cache of idempotency keys.

The dispatcher keeps one `IdempotencyCache` and calls it for each request with
an `Idempotency-Key`:

- `begin(unit, key, fingerprint)` before admission. The request may run only on
  `NEW`. On `RUNNING`, respond with 409 and Retry-After. On `DONE`, respond
  with `entry.result`. On `UNKNOWN`, refuse with outcome `unknown`. On
  `MISMATCH`, the key was used for another request: respond with 422. On
  `FULL`, refuse with outcome `not_run`.
- `record_done(unit, key, result)` when the response is complete,
  `record_unknown(unit, key)` when the attempt was sent and its outcome is not
  known, `record_not_run(unit, key)` when it certainly did not run; the key may
  then be used again.
- `lookup(unit, key)` returns the outcome later.
- `resolve(unit, key, result)` when the owner upstream reports an outcome that
  was unknown.
- `tick()` about every second.

Guarantees while the cache exists: within `max_age_seconds` of its first use, a
key of a unit runs at most once, and after an unknown outcome it never runs
again. No entry is removed before it expires; a full cache refuses new keys
instead. Results larger than `max_result_bytes` are not kept, but the fact that
the request ran is.

Limits: the cache is lost with the dispatcher and does not move with the unit.
A new dispatcher returns `UNKNOWN` for a request that its caller declares as a
repetition (`repeated=True`) and whose key is not in the cache, until the cache
is `max_age_seconds` old. A repetition that is not declared can run a second
time after such a loss, unless the service's manifest says that its upstreams
remember idempotency keys (`idempotency = upstream`).
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
    """State of one key; `expires_at` is a reading of the clock."""

    __slots__ = ('state', 'result', 'fingerprint', 'expires_at')

    def __init__(self, state, fingerprint='', expires_at=0.0):
        self.state = state
        self.result = None
        self.fingerprint = fingerprint
        self.expires_at = expires_at


class IdempotencyCache:
    """Idempotency keys by unit, limited in number and age."""

    __slots__ = (
        'max_entries',
        'max_age_seconds',
        'max_result_bytes',
        '_clock',
        '_started_at',
        '_entries',
        '_order',
    )

    def __init__(
        self,
        clock,
        max_entries=DEFAULT_MAX_ENTRIES,
        max_age_seconds=DEFAULT_MAX_AGE_SECONDS,
        max_result_bytes=DEFAULT_MAX_RESULT_BYTES,
    ):
        self.max_entries = max_entries
        self.max_age_seconds = max_age_seconds
        self.max_result_bytes = max_result_bytes
        self._clock = clock
        self._started_at = clock.now()
        self._entries = {}
        self._order = deque()

    def __len__(self):
        return len(self._entries)

    def begin(self, unit, key, fingerprint='', repeated=False):
        """Return (state, entry) of a request that is about to run.

        `fingerprint` identifies the request (method, path, digest of the
        body). The entry is None for `FULL`, and for `UNKNOWN` if the key is
        not in the cache.
        """
        now = self._clock.now()
        entry = self._entries.get((unit, key))
        if entry is not None:
            if entry.fingerprint != fingerprint:
                return MISMATCH, entry
            return entry.state, entry
        if repeated and now - self._started_at < self.max_age_seconds:
            return UNKNOWN, None
        if len(self._entries) >= self.max_entries:
            self._remove_expired(now)
            if len(self._entries) >= self.max_entries:
                return FULL, None
        entry = Entry(RUNNING, fingerprint, now + self.max_age_seconds)
        self._entries[unit, key] = entry
        self._order.append((unit, key, entry))
        return NEW, entry

    def record_done(self, unit, key, result):
        """Record the complete response to a running request."""
        entry = self._entries.get((unit, key))
        if entry is not None and entry.state == RUNNING:
            self._finish(entry, result)

    def resolve(self, unit, key, result):
        """Record the outcome of an unknown key, reported by the owner."""
        entry = self._entries.get((unit, key))
        if entry is not None and entry.state == UNKNOWN:
            self._finish(entry, result)

    def _finish(self, entry, result):
        entry.state = DONE
        if result is not None and len(result) <= self.max_result_bytes:
            entry.result = result

    def record_unknown(self, unit, key):
        """Record that a running request may or may not have run."""
        entry = self._entries.get((unit, key))
        if entry is not None and entry.state == RUNNING:
            entry.state = UNKNOWN

    def record_not_run(self, unit, key):
        """Remove a running key whose request certainly did not run."""
        entry = self._entries.get((unit, key))
        if entry is not None and entry.state == RUNNING:
            del self._entries[unit, key]

    def lookup(self, unit, key):
        """Return (state, entry); the state is `ABSENT` if nothing is known.

        While the cache is younger than `max_age_seconds`, a key that it does
        not hold is `UNKNOWN`: an earlier dispatcher may have run the request.
        """
        entry = self._entries.get((unit, key))
        if entry is not None:
            return entry.state, entry
        if self._clock.now() - self._started_at < self.max_age_seconds:
            return UNKNOWN, None
        return ABSENT, None

    def tick(self):
        """Remove expired entries."""
        self._remove_expired(self._clock.now())

    def _remove_expired(self, now):
        """Remove expired entries; a running one is kept for another period."""
        running = []
        while self._order and self._order[0][2].expires_at <= now:
            unit, key, entry = self._order.popleft()
            if self._entries.get((unit, key)) is not entry:
                continue
            if entry.state == RUNNING:
                entry.expires_at = now + self.max_age_seconds
                running.append((unit, key, entry))
            else:
                del self._entries[unit, key]
        self._order.extend(running)
