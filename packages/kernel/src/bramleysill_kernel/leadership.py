"""Which router leads: the holder of one key that is bound to a store lease.

The leader renews its lease well before the end. It counts the lease from
before the renewal was sent, on a clock that goes on while the machine is
suspended, so it stops before the store gives the key away. Every write of a
leader names the revision of its leader key; a write of an earlier leader
that arrives late fails.
"""

# Several renewals fit into a lease, so that a slow call does not end it.
RENEW_INTERVAL_SECONDS = 0.5
# Margin for the store's and this machine's clocks running at other rates.
MAX_CLOCK_RATE_ERROR = 0.01
# A leader passes changes on to all routers and renews all grants. A machine
# with less than this waits before it stands, so that a stronger one leads.
PREFERRED_LEADER_LINK_MBPS = 50.0
PREFERRED_LEADER_CORES = 0.8
WEAK_MACHINE_DELAY_SECONDS = 0.4
# Pause before a further attempt to take the free key.
RETRY_DELAY_SECONDS = 0.25


def is_preferred_leader(cfg):
    """Tell whether a machine is among those that should lead."""
    return (
        cfg.link_mbps >= PREFERRED_LEADER_LINK_MBPS
        and cfg.cores >= PREFERRED_LEADER_CORES
    )


class Leadership:
    """The state of one router's candidacy; all times in seconds.

    `lease` is the store's id of the lease and `key_revision` the revision
    of the leader key. Both are 0 while this router does not lead.
    """

    __slots__ = (
        'lease',
        'key_revision',
        'leading',
        'valid_until',
        'next_attempt_at',
        'campaigning_disabled',
        'leading_since',
        '_clock',
        '_lease_seconds',
        '_key_free_since',
        '_campaign_delay',
    )

    def __init__(self, clock, lease_seconds, is_preferred_leader=True):
        self.lease = 0
        self.key_revision = 0
        self.leading = False
        self.valid_until = 0.0
        self.next_attempt_at = 0.0
        # A router that shuts down does not stand any more.
        self.campaigning_disabled = False
        self.leading_since = 0.0
        self._clock = clock
        self._lease_seconds = lease_seconds
        self._key_free_since = None
        self._campaign_delay = (
            0.0 if is_preferred_leader else WEAK_MACHINE_DELAY_SECONDS
        )

    @property
    def lease_seconds(self):
        """Return the length of the lease to ask for."""
        return self._lease_seconds

    def is_valid(self):
        """Tell whether this router may act as leader now."""
        return self.leading and self._clock.now() < self.valid_until

    def may_campaign(self, key_is_free):
        """Tell whether to try to take the leader key now."""
        if not key_is_free:
            self._key_free_since = None
        if self.campaigning_disabled or self.leading or not key_is_free:
            return False
        now = self._clock.now()
        if self._key_free_since is None:
            self._key_free_since = now
        return now >= max(
            self.next_attempt_at, self._key_free_since + self._campaign_delay
        )

    def delay_next_attempt(self, rng):
        """Wait before the next attempt; the spread avoids a stampede."""
        pause = RETRY_DELAY_SECONDS * rng.uniform(0.5, 1.5)
        self.next_attempt_at = self._clock.now() + pause

    def extend(self, sent_at, seconds):
        """The store has renewed the lease that was asked for at `sent_at`."""
        end = sent_at + seconds * (1 - MAX_CLOCK_RATE_ERROR)
        self.valid_until = max(self.valid_until, end)

    def become_leader(self, lease, key_revision):
        """The leader key was written under the lease."""
        self.lease = lease
        self.key_revision = key_revision
        self.leading = True
        self.leading_since = self._clock.now()

    def resign(self):
        """Stop leading; returns the id of the lease to end, or 0."""
        lease = self.lease
        self.leading = False
        self.lease = 0
        self.key_revision = 0
        self.valid_until = 0.0
        return lease
