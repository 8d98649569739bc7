"""Repeats failed calls of a watch of the store, with a growing delay."""

# Delay after a failed call, doubled up to the maximum. A few retries together
# take less than the time within which changes must be applied.
MIN_RETRY_DELAY_SECONDS = 0.15
MAX_RETRY_DELAY_SECONDS = 0.8
# Exponent beyond which the delay is the maximum anyway.
MAX_DOUBLINGS = 4
# Delay while another watch of this router retries often: in an outage only one
# does, which saves calls. The delay is short enough to apply changes in time
# if only the other watch gets replies.
STANDBY_RETRY_DELAY_SECONDS = 1.5
# Part of the delay that is random, so that routers don't retry together.
MIN_DELAY_FRACTION = 0.5


class WatchRetry:
    """The failed calls in a row, and the call that is to be made again."""

    __slots__ = ('failures', '_loop', '_rng', '_timer', '_action')

    def __init__(self, loop, rng):
        self.failures = 0
        self._loop = loop
        self._rng = rng
        self._timer = None
        self._action = None

    def schedule(self, action, is_standby):
        """Call `action` after the delay that follows from `failures`.

        `is_standby` is true if another watch retries often.
        """
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        delay = MIN_RETRY_DELAY_SECONDS * 2**doublings
        delay = min(delay, MAX_RETRY_DELAY_SECONDS)
        if is_standby:
            delay = STANDBY_RETRY_DELAY_SECONDS
        delay *= self._rng.uniform(MIN_DELAY_FRACTION, 1.0)
        self._action = action
        self._timer = self._loop.scheduler.call_at(
            self._loop.now() + delay, self._run
        )

    def run_now(self):
        """Make the scheduled call at once, if there is one."""
        if self._timer is not None:
            self._timer.cancel()
            self._run()

    def cancel(self):
        """Cancel the scheduled call."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run(self):
        self._timer = None
        self._action()
