"""Deadline arithmetic of leases, promises and grants.

The holder of a lease counts from before it sent the request that renewed
the lease and shortens the lease by `CLOCK_RATE_ERROR`. The grantor counts
from when it received that request and lengthens the lease by the same. The
grantor's end is therefore never earlier than the holder's, whatever the
delays and pauses between them::

    holder = holder_deadline(sent_at, ROUTER_LEASE_SECONDS)
    grantor = grantor_deadline(received_at, ROUTER_LEASE_SECONDS)
"""

# Largest relative difference between the rates of two clocks.
CLOCK_RATE_ERROR = 0.001

# The next coordinator is elected once the leader lease and the promises have
# run out. Both end well before router leases do, so that the loss of a
# coordinator is not the loss of every dispatcher's lease.
LEADER_LEASE_SECONDS = 0.6
LEADER_RENEW_SECONDS = 0.3
PROMISE_SECONDS = 0.7
ROUTER_LEASE_SECONDS = 1.2
HEARTBEAT_SECONDS = 0.4
# Promises are short, and a candidate renews its own with each heartbeat.
CANDIDATE_HEARTBEAT_SECONDS = 0.2
GRANT_SECONDS = 0.9
GRANT_RENEW_SECONDS = 0.3
TICK_SECONDS = 0.1

# A tick that comes later than this shows that the process was paused.
LATE_TICK_SECONDS = 0.5

# Time after which any router may stand when all candidates are gone.
TOTAL_LOSS_WAIT_SECONDS = 30.0

# Time after which the process must answer a store effect with `unknown`.
STORE_CALL_TIMEOUT_SECONDS = 0.5

NEVER = float('-inf')
FOREVER = float('inf')


def holder_deadline(sent_at, length):
    """Return the holder's end of a lease, in seconds on its own clock."""
    return sent_at + length * (1.0 - CLOCK_RATE_ERROR)


def grantor_deadline(received_at, length):
    """Return the grantor's end of a lease, in seconds on its own clock."""
    return received_at + length * (1.0 + CLOCK_RATE_ERROR)


def nested_length(received_at, outer_deadline, length):
    """Return the length of a lease that ends within an outer one.

    `received_at` is when the inner grantor's clock reading arrived; the
    result is in seconds and 0 when nothing remains.
    """
    remains = (outer_deadline - received_at) / (1.0 + CLOCK_RATE_ERROR)
    return max(0.0, min(length, remains))
