"""Records responses in the idempotency cache of a dispatcher."""

from bramleysill_kernel.common import refusals
from bramleysill_kernel.common.exceptions import OUTCOME_NOT_RUN
from bramleysill_kernel.load import idempotency


class NoRecording:
    """Does nothing; used for a request without an idempotency key."""

    __slots__ = ()

    def note_head(self, status, fields):
        """Do nothing."""

    def note_body(self, data):
        """Do nothing."""

    def done(self):
        """Do nothing."""

    def refused(self, refusal):
        """Do nothing."""

    def not_run(self):
        """Do nothing."""


NO_RECORDING = NoRecording()


class RecordedResponse:
    """A response in the cache; its length is that of its body."""

    __slots__ = ('status', 'fields', 'body')

    def __init__(self, status, fields, body):
        self.status = status
        self.fields = fields
        self.body = body

    def __len__(self):
        return len(self.body)


class Recording:
    """Collects the response of one request for the idempotency cache."""

    __slots__ = ('_cache', '_scope', '_key', '_status', '_fields', '_body')

    def __init__(self, cache, scope, key):
        self._cache = cache
        self._scope = scope
        self._key = key
        self._status = 0
        self._fields = []
        self._body = bytearray()

    def note_head(self, status, fields):
        """Store the status and the header fields."""
        self._status = status
        self._fields = [(k, v) for k, v in fields if k != 'connection']

    def note_body(self, data):
        """Store a piece of the body, unless the body is already too large."""
        if len(self._body) <= self._cache.max_result_bytes:
            self._body += data

    def done(self):
        """Record the complete response under the key."""
        response = RecordedResponse(
            self._status, self._fields, bytes(self._body)
        )
        self._cache.record_done(self._scope, self._key, response)

    def refused(self, refusal):
        """Record that the attempt ended without a response."""
        if refusal.outcome == OUTCOME_NOT_RUN:
            self.not_run()
        else:
            self._cache.record_unknown(self._scope, self._key)

    def not_run(self):
        """Release the key, because the request did not run."""
        self._cache.record_not_run(self._scope, self._key)


def refusal_for_key(state, upstream):
    """Return the refusal of a request whose key is in this state."""
    step = 'idempotency'
    if state == idempotency.RUNNING:
        return refusals.KeyInProgress(
            'the first request with this key is still running',
            step,
            upstream,
            retry_after=1,
        )
    if state == idempotency.MISMATCH:
        return refusals.KeyMismatch(
            'the key was used for a different request', step, upstream
        )
    if state == idempotency.FULL:
        return refusals.Overloaded(
            'the cache of idempotency keys is full',
            step,
            upstream,
            retry_after=1,
        )
    if state == idempotency.DONE:
        return refusals.KeyOutcomeUnknown(
            'the first request ran, but its response was not stored',
            step,
            upstream,
        )
    return refusals.KeyOutcomeUnknown(
        'the outcome of the first request is unknown', step, upstream
    )
