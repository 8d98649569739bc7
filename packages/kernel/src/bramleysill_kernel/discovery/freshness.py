"""How recent this router's knowledge of a prefix of the store is.

`Freshness.as_of` is a time on the local clock: every change that the store
acknowledged before it is known to this router. It only rises, and only on a
reply to a call whose send time is known. A delayed or buffered reply proves no
more than it would have proved in time, since the send time is what counts.

    freshness = Freshness(clock)
    sent_at = clock.now()
    ...  # A linearizable read is answered.
    freshness.note_store_reply(sent_at)
    if freshness.is_within(4.5):
        ...
"""

import math

# Requests with keys are refused at this fraction of the time within which a
# revoked key must be refused. The rest covers clocks that run slow.
SERVE_FRACTION = 0.9
# The clocks of two VMs differ in rate by at most this fraction.
CLOCK_RATE_TOLERANCE = 0.02


def may_use_keys(freshness, bounds):
    """Return whether requests with API keys may run now.

    `freshness` is the Freshness of the configuration. Only `strict_revoke`
    asks for a recent one.
    """
    if not bounds.strict_revoke:
        return True
    return freshness.is_within(SERVE_FRACTION * bounds.revoke)


class Freshness:
    """The time up to which all changes of one prefix are known.

    `as_of` is None until the first evidence.
    """

    __slots__ = ('as_of', '_clock')

    def __init__(self, clock):
        self.as_of = None
        self._clock = clock

    def note_store_reply(self, sent_at):
        """Note that a reply to a linearizable call was applied.

        `sent_at` is when the call was sent.
        """
        self._advance(sent_at)

    def note_full_watch(self, sent_at, wait):
        """Note that a watch has returned nothing after its full wait.

        The store has then seen no change until its own clock had counted
        `wait` seconds. A reply that comes sooner than that proves only what
        any reply does.
        """
        waited = wait * (1.0 - CLOCK_RATE_TOLERANCE)
        if self._clock.now() < sent_at + waited:
            waited = 0.0
        self._advance(sent_at + waited)

    def note_leader_reply(self, sent_at, age):
        """Note a reply of the leader whose revision was applied.

        `age` is the age of the leader's own `as_of` by its clock, when it
        replied. An age that isn't a number from 0 is ignored, and False is
        returned.
        """
        if not (math.isfinite(age) and age >= 0.0):
            return False
        self._advance(sent_at - age * (1.0 + CLOCK_RATE_TOLERANCE))
        return True

    def age(self):
        """Return the seconds since `as_of`; infinite without evidence."""
        if self.as_of is None:
            return math.inf
        return max(0.0, self._clock.now() - self.as_of)

    def is_within(self, seconds):
        """Return whether `as_of` is at most this number of seconds ago."""
        return self.age() <= seconds

    def _advance(self, at):
        # Evidence from the future can only be a fault of a caller.
        at = min(at, self._clock.now())
        if self.as_of is None or at > self.as_of:
            self.as_of = at
