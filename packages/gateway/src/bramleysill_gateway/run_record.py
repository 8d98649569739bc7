"""Records whether a request may have run at any of its upstreams."""

from bramleysill_kernel.load.retry_rules import AttemptOutcome


class RunRecord:
    """What is known of one request, over all its attempts.

    An attempt counts from the first byte that is sent. Only a complete
    response which says that the upstream has not run the request takes that
    back; whatever else happens to the attempt or to its connection doesn't.
    """

    __slots__ = ('_attempts',)

    def __init__(self):
        # The attempts that may have run, in the order of their first byte.
        self._attempts = []

    def note_sent(self, attempt):
        """Record that bytes of an attempt are sent."""
        if attempt not in self._attempts:
            self._attempts.append(attempt)

    def note_not_run(self, attempt):
        """Record that the upstream says that it has not run an attempt."""
        if attempt in self._attempts:
            self._attempts.remove(attempt)

    @property
    def last_that_may_have_run(self):
        """Return the last attempt that may have run, or None."""
        return self._attempts[-1] if self._attempts else None

    @property
    def outcome(self):
        """Return the AttemptOutcome of the request, over all attempts."""
        return _outcome(bool(self._attempts))

    def outcome_of(self, attempt):
        """Return the AttemptOutcome of one attempt."""
        return _outcome(attempt in self._attempts)


def _outcome(may_have_run):
    return AttemptOutcome.UNKNOWN if may_have_run else AttemptOutcome.NOT_RUN
