"""Lengths of holds, watches and last uses that the platform's bounds allow.

Each length has a usual value and is cut where a bound of the settings is
shorter than that. The object is shared: `update` puts changed settings into
force in all parts that read it.

    timings = Timings(bounds, shortest_lease=1.0)
    hold = timings.hold
"""

# A hold outlives the change of leader: lease of the leader, detection and
# the first renewals by the successor.
DEFAULT_HOLD_SECONDS = 3.0
DEFAULT_LEADER_LEASE_SECONDS = 2.0
# What a successor needs beyond the lease of its predecessor.
TAKEOVER_MARGIN_SECONDS = 1.0
# Part of a hold after which it is renewed; two renewals may fail.
HOLD_RENEWAL_FRACTION = 0.3
# While the store is silent the leader extends the holds before its own
# lease ends, so that keys are served through an outage of several seconds.
OUTAGE_HOLD_SECONDS = 7.0
# After its last feed a router learns of a change by one call to the store.
# What the owner of keys may still be used after it has begun to leave is what
# remains of the time allowed then.
CHANGE_LOOKUP_SECONDS = 0.3
# A store that is silent may accept a watch and never answer it. The watch is
# given up, with the call's own allowance on top, before all bounds hold again
# after a disturbance.
WATCH_TIMEOUT_FRACTION = 0.5
# After the last feed the store is watched again: a feed is trusted for this
# part of the shortest time in which a change must be followed.
FEED_VALIDITY_FRACTION = 0.4
# Feeds without changes are sent this often within that time, so that the
# others know that they miss nothing.
FEEDS_PER_VALIDITY_PERIOD = 3
# Changes that follow each other closely are fetched together after a pause.
BATCH_DELAY_FRACTION = 0.05


class Timings:
    """All lengths in seconds."""

    __slots__ = (
        'hold',
        'renew_interval',
        'outage_hold',
        'leader_lease',
        'leaving_grace',
        'watch_timeout',
        'feed_validity',
        'feed_interval',
        'batch_delay',
    )

    def __init__(self, bounds, shortest_lease):
        self.update(bounds, shortest_lease)

    def update(self, bounds, shortest_lease):
        """Follow changed settings."""
        self.leader_lease = max(DEFAULT_LEADER_LEASE_SECONDS, shortest_lease)
        wanted = max(
            DEFAULT_HOLD_SECONDS, self.leader_lease + TAKEOVER_MARGIN_SECONDS
        )
        self.hold = min(wanted, bounds.longest_hold)
        self.renew_interval = self.hold * HOLD_RENEWAL_FRACTION
        longest = max(OUTAGE_HOLD_SECONDS, self.hold)
        self.outage_hold = min(longest, bounds.longest_hold)
        self.watch_timeout = bounds.undisturbed * WATCH_TIMEOUT_FRACTION
        leave_limit = min(bounds.drain, bounds.evacuation)
        self.feed_validity = (
            min(bounds.config_apply, leave_limit) * FEED_VALIDITY_FRACTION
        )
        self.feed_interval = self.feed_validity / FEEDS_PER_VALIDITY_PERIOD
        self.leaving_grace = max(
            0.0, leave_limit - self.feed_validity - CHANGE_LOOKUP_SECONDS
        )
        self.batch_delay = bounds.config_apply * BATCH_DELAY_FRACTION
