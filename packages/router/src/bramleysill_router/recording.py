"""Records the answers of requests with an idempotency key."""

from bramleysill_kernel import idempotency
from bramleysill_kernel import refusals
from bramleysill_kernel.exceptions import OUTCOME_NOT_RUN


class NoRecording:
    """Stands for a request without an idempotency key."""

    __slots__ = ()

    def note_head(self, status, fields):
        """Nothing is recorded."""

    def note_body(self, data):
        """Nothing is recorded."""

    def done(self):
        """Nothing is recorded."""

    def refused(self, refusal):
        """Nothing is recorded."""

    def not_run(self):
        """Nothing is recorded."""


NO_RECORDING = NoRecording()


class RecordedAnswer:
    """An answer as kept in the memory; its length is that of its body."""

    __slots__ = ('status', 'fields', 'body')

    def __init__(self, status, fields, body):
        self.status = status
        self.fields = fields
        self.body = body

    def __len__(self):
        return len(self.body)


class Recording:
    """Keeps the answer of one request for the memory of its key."""

    __slots__ = ('_cache', '_unit', '_key', '_status', '_fields', '_body')

    def __init__(self, memory, unit, key):
        self._cache = memory
        self._unit = unit
        self._key = key
        self._status = 0
        self._fields = []
        self._body = bytearray()

    def note_head(self, status, fields):
        """Keep the head."""
        self._status = status
        self._fields = [(k, v) for k, v in fields if k != 'connection']

    def note_body(self, data):
        """Keep the body up to what the memory takes."""
        if len(self._body) <= self._cache.max_result:
            self._body += data

    def done(self):
        """The answer is complete."""
        answer = RecordedAnswer(self._status, self._fields, bytes(self._body))
        self._cache.done(self._unit, self._key, answer)

    def refused(self, refusal):
        """The attempt has ended without an answer."""
        if refusal.outcome == OUTCOME_NOT_RUN:
            self.not_run()
        else:
            self._cache.unknown(self._unit, self._key)

    def not_run(self):
        """Nothing was sent; the key may be used again."""
        self._cache.not_run(self._unit, self._key)


def refusal_for_key(state, upstream):
    """Return the refusal of a repeated request by its key's state."""
    step = 'idempotency'
    if state == idempotency.RUNNING:
        return refusals.KeyInProgress(
            'the first request is running', step, upstream, retry_after=1
        )
    if state == idempotency.MISMATCH:
        return refusals.KeyMismatch(
            'the key belongs to another request', step, upstream
        )
    if state == idempotency.FULL:
        return refusals.Overloaded(
            'the memory of idempotency keys is full',
            step,
            upstream,
            retry_after=1,
        )
    if state == idempotency.DONE:
        return refusals.KeyOutcomeUnknown(
            'the first request ran, but its answer is not kept',
            step,
            upstream,
        )
    return refusals.KeyOutcomeUnknown(
        'the outcome of the first request is not known', step, upstream
    )
