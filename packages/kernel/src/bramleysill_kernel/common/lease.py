"""Deadlines of leases, promises and grants.

The holder of a lease counts from before it sent the request that renewed
the lease and shortens the lease by `MAX_CLOCK_RATE_ERROR`. The grantor counts
from when it received that request and lengthens the lease by the same
factor. The grantor's deadline is therefore never earlier than the holder's,
whatever the delays and pauses between them::

    holder = holder_deadline(sent_at, ROUTER_LEASE_SECONDS)
    grantor = grantor_deadline(received_at, ROUTER_LEASE_SECONDS)
"""

# Largest relative difference between the rates of two clocks.
MAX_CLOCK_RATE_ERROR = 0.001

# When the coordinator is lost, the next one is elected after the leader lease
# and the promises have expired. Both are much shorter than router leases, so
# that the election ends before the dispatchers lose their leases.
LEADER_LEASE_SECONDS = 0.6
LEADER_RENEW_INTERVAL_SECONDS = 0.3
PROMISE_SECONDS = 0.7
ROUTER_LEASE_SECONDS = 1.2
HEARTBEAT_INTERVAL_SECONDS = 0.4
# Promises are short, and a candidate renews its own with each heartbeat.
CANDIDATE_HEARTBEAT_INTERVAL_SECONDS = 0.2
GRANT_SECONDS = 0.9
GRANT_RENEW_INTERVAL_SECONDS = 0.3
TICK_INTERVAL_SECONDS = 0.1

# A longer time between two ticks means that the process was paused.
LATE_TICK_SECONDS = 0.5

# Time without a leader after which any router may stand for election, if no
# candidate's VM exists any more.
TOTAL_LOSS_WAIT_SECONDS = 30.0

# The result of a store effect that takes longer is `unknown`.
STORE_CALL_TIMEOUT_SECONDS = 0.5

# Deadlines that are earlier and later than every reading of a clock.
NEVER = float('-inf')
FOREVER = float('inf')


def holder_deadline(sent_at, length):
    """Return the holder's deadline, in seconds on the holder's clock."""
    return sent_at + length * (1.0 - MAX_CLOCK_RATE_ERROR)


def grantor_deadline(received_at, length):
    """Return the grantor's deadline, in seconds on the grantor's clock."""
    return received_at + length * (1.0 + MAX_CLOCK_RATE_ERROR)


def nested_length(received_at, outer_deadline, length):
    """Return the length of a lease that must expire before an outer lease.

    The holder of the outer lease grants the inner one. `received_at` is when
    the clock reading arrived from which the inner lease counts. The result is
    in seconds and at most `length`; it is 0 if the outer lease has expired.
    """
    remains = (outer_deadline - received_at) / (1.0 + MAX_CLOCK_RATE_ERROR)
    return max(0.0, min(length, remains))
