"""Durations of holds, leases, watches and feeds within the platform's bounds.

Each duration is a default, limited by the bounds in the settings, or a
fraction of a bound. The Timings object is shared, so `update` applies changed
settings everywhere.

    timings = Timings(bounds, min_lease_seconds=1.0, heartbeat=0.9)
    hold = timings.hold
"""

# A hold outlasts a change of leader: the rest of the leader's lease, the
# detection and the first renewals by the successor.
DEFAULT_HOLD_SECONDS = 3.0
DEFAULT_LEADER_LEASE_SECONDS = 2.0
# Time that a successor needs after its predecessor's lease has expired.
TAKEOVER_MARGIN_SECONDS = 1.0
# Fraction of a hold after which it is renewed, so that two renewals may fail.
HOLD_RENEWAL_FRACTION = 0.3
# While the store does not reply, the leader extends the holds before its own
# lease expires, so that keys stay served in an outage of several seconds.
OUTAGE_HOLD_SECONDS = 7.0
# A router whose feed has ended learns of a change by one call to the store,
# within this time. A leaving owner may be used for its keys for the rest of
# the time that is allowed for a drain or an evacuation.
CHANGE_LOOKUP_SECONDS = 0.3
# A failing store may accept a watch and never reply. The watch times out
# after this fraction of the time within which all bounds must hold again after
# a disturbance. The rest leaves room for the timeout of the call itself.
WATCH_TIMEOUT_FRACTION = 0.5
# A router watches the store again when the leader's knowledge in the last feed
# is older than this fraction of the shortest time within which a change must
# be applied.
FEED_VALIDITY_FRACTION = 0.5
# Number of feeds within that time. Feeds are sent without changes too, so that
# the receivers know that they have not missed any.
FEEDS_PER_VALIDITY_PERIOD = 4
# A leader proves at least this often within that time that it reaches the
# store, by renewing its lease. Its knowledge is thus never older than half of
# the validity, and one feed may be late.
PROOFS_PER_VALIDITY_PERIOD = 2
# Short enough for several renewals per lease, so that it does not expire
# because of a single slow call.
MAX_LEADER_RENEWAL_SECONDS = 0.5
# Delay before the next watch after a change, so that closely spaced changes
# are fetched together; a fraction of the time to apply a configuration.
BATCH_DELAY_FRACTION = 0.05
# The store removes the entry of an upstream after this many heartbeat
# intervals of silence.
SILENT_HEARTBEATS = 3
# Added to that for the time that the removal takes to be seen.
ENTRY_REMOVAL_MARGIN_SECONDS = 1.0


class Timings:
    """Durations in seconds.

    `hold` and `outage_hold` are the lengths of grants in normal operation and
    while the store does not reply. `leaving_grace` is how long an owner that
    leaves is still used for its keys. `feed_validity` is the age of the
    leader's knowledge up to which a router trusts a feed. The entry of a
    process that has ended is gone after `silent_entry`.
    """

    __slots__ = (
        'hold',
        'renew_interval',
        'outage_hold',
        'leader_lease',
        'leaving_grace',
        'watch_timeout',
        'feed_validity',
        'feed_interval',
        'leader_renewal',
        'batch_delay',
        'silent_entry',
    )

    def __init__(self, bounds, min_lease_seconds, heartbeat):
        self.silent_entry = (
            SILENT_HEARTBEATS * heartbeat + ENTRY_REMOVAL_MARGIN_SECONDS
        )
        self.update(bounds, min_lease_seconds)

    def update(self, bounds, min_lease_seconds):
        """Recalculate all durations from changed settings."""
        self.leader_lease = max(
            DEFAULT_LEADER_LEASE_SECONDS, min_lease_seconds
        )
        default_hold = max(
            DEFAULT_HOLD_SECONDS, self.leader_lease + TAKEOVER_MARGIN_SECONDS
        )
        self.hold = min(default_hold, bounds.longest_hold)
        self.renew_interval = self.hold * HOLD_RENEWAL_FRACTION
        default_outage_hold = max(OUTAGE_HOLD_SECONDS, self.hold)
        self.outage_hold = min(default_outage_hold, bounds.longest_hold)
        self.watch_timeout = bounds.undisturbed * WATCH_TIMEOUT_FRACTION
        leave_limit = min(bounds.drain, bounds.evacuation)
        self.feed_validity = (
            min(bounds.config_apply, leave_limit) * FEED_VALIDITY_FRACTION
        )
        self.feed_interval = self.feed_validity / FEEDS_PER_VALIDITY_PERIOD
        self.leader_renewal = min(
            MAX_LEADER_RENEWAL_SECONDS,
            self.feed_validity / PROOFS_PER_VALIDITY_PERIOD,
        )
        self.leaving_grace = max(
            0.0, leave_limit - self.feed_validity - CHANGE_LOOKUP_SECONDS
        )
        self.batch_delay = bounds.config_apply * BATCH_DELAY_FRACTION
