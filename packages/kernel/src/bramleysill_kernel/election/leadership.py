"""Leader election over a single key that is bound to a store lease.

The router that holds the key is the leader and renews its lease well before
it expires. It measures the lease from before the renewal was sent, with a
clock that keeps running while the machine is suspended, so it stops leading
before the store can give the key to another router. Every write of a leader
is conditional on the revision of its leader key, so late writes of an earlier
leader fail.
"""

# Bounds how far the rates of the store's and this machine's clocks differ.
MAX_STORE_CLOCK_RATE_ERROR = 0.01
# A leader forwards changes to all routers and renews all grants. A machine
# with less than these resources delays its campaign, so that a preferred one
# is elected first.
PREFERRED_LEADER_LINK_MBPS = 50.0
PREFERRED_LEADER_CORES = 0.8
NON_PREFERRED_CAMPAIGN_DELAY_SECONDS = 0.4
# Mean delay before the next attempt to write the free leader key.
MEAN_RETRY_DELAY_SECONDS = 0.25


def is_preferred_leader(cfg):
    """Return whether a machine has the resources preferred for a leader."""
    return (
        cfg.link_mbps >= PREFERRED_LEADER_LINK_MBPS
        and cfg.cores >= PREFERRED_LEADER_CORES
    )


class Leadership:
    """One router's state in the leader election; all times in seconds.

    `lease` is the id of the store lease and `key_revision` the revision of
    the leader key. Both are 0 while this router is not the leader.
    """

    __slots__ = (
        'lease',
        'key_revision',
        'leading',
        'valid_until',
        'next_attempt_at',
        'campaigning_disabled',
        'became_leader_at',
        '_clock',
        '_lease_seconds',
        '_key_seen_free_at',
        '_campaign_delay',
    )

    def __init__(self, clock, lease_seconds, is_preferred_leader=True):
        self.lease = 0
        self.key_revision = 0
        self.leading = False
        self.valid_until = 0.0
        self.next_attempt_at = 0.0
        # Set when the router shuts down.
        self.campaigning_disabled = False
        self.became_leader_at = 0.0
        self._clock = clock
        self._lease_seconds = lease_seconds
        self._key_seen_free_at = None
        self._campaign_delay = (
            0.0
            if is_preferred_leader
            else NON_PREFERRED_CAMPAIGN_DELAY_SECONDS
        )

    @property
    def lease_seconds(self):
        """Return the lease duration to request."""
        return self._lease_seconds

    def is_valid(self):
        """Return whether this router may act as the leader now."""
        return self.leading and self._clock.now() < self.valid_until

    def may_campaign(self, key_is_free):
        """Return whether to try to write the leader key now."""
        if not key_is_free:
            self._key_seen_free_at = None
        if self.campaigning_disabled or self.leading or not key_is_free:
            return False
        now = self._clock.now()
        if self._key_seen_free_at is None:
            self._key_seen_free_at = now
        return now >= max(
            self.next_attempt_at, self._key_seen_free_at + self._campaign_delay
        )

    def delay_next_attempt(self, rng):
        """Delay the next attempt by a random time.

        The jitter keeps the routers from calling the store all at once.
        """
        pause = MEAN_RETRY_DELAY_SECONDS * rng.uniform(0.5, 1.5)
        self.next_attempt_at = self._clock.now() + pause

    def extend(self, sent_at, seconds):
        """Extend the validity by a lease that was requested at `sent_at`."""
        end = sent_at + seconds * (1 - MAX_STORE_CLOCK_RATE_ERROR)
        self.valid_until = max(self.valid_until, end)

    def become_leader(self, lease, key_revision):
        """Record that the leader key was written under the lease."""
        self.lease = lease
        self.key_revision = key_revision
        self.leading = True
        self.became_leader_at = self._clock.now()

    def resign(self):
        """Stop leading; return the id of the lease to revoke, or 0."""
        lease = self.lease
        self.leading = False
        self.lease = 0
        self.key_revision = 0
        self.valid_until = 0.0
        return lease
