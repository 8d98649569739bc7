"""A clock that is passed to the decision logic in place of the loop."""


class ManualClock:
    """A clock that tests and benchmarks advance step by step.

    Example::

        clock = ManualClock()
        clock.advance(0.5)
        assert clock.now() == 0.5
    """

    __slots__ = ('_now',)

    def __init__(self, start=0.0):
        self._now = start

    def now(self):
        """Return the current reading in seconds."""
        return self._now

    def advance(self, seconds):
        """Move the clock forward by a number of seconds."""
        self._now += seconds
