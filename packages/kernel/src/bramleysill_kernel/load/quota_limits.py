"""Divides the quota of an organisation between its owner and the fallback.

In any span of the window, upstreams may run `allowed_requests` of an
organisation. Three sources can add up in one span: the tokens that the quota
owner grants in it, those that it has granted up to their validity before it,
and the requests that routers without an owner send from their fallback shares.
The division makes the sum of their largest values at most what is allowed, so
that the bound needs no contact between routers.

    limit = make_limit(158.0, 158.0, bounds)
    limit.rate      # 158.0 tokens/s
    limit.fallback  # 14 requests per window, over all routers
"""

from bramleysill_kernel.discovery.freshness import CLOCK_RATE_TOLERANCE

# A granted token may be used for this time after the request for it was sent.
TOKEN_VALIDITY_SECONDS = 0.5
# The bucket holds the tokens of at least this time, also without a burst: less
# is lost whenever no router asks for a moment. At 158/s without a burst, 81
# routers used 68% of the rate with a bucket of one token.
MIN_CAPACITY_SECONDS = 0.1
# The share of what the owner leaves that is used as fallback. The rest covers
# routers that don't know of each other yet.
FALLBACK_FRACTION = 0.8
# The share of it that the bucket holds in addition to the burst, so that an
# organisation with a small burst can use its rate at irregular intervals.
EXTRA_CAPACITY_FRACTION = 0.1


class QuotaLimit:
    """The limit of one organisation over all routers.

    The owner's bucket gains `rate` tokens/s up to `capacity`. Routers without
    an owner together send `fallback` requests per `fallback_span` seconds.
    """

    __slots__ = ('rate', 'capacity', 'fallback', 'fallback_span')

    def __init__(self, rate, capacity, fallback, fallback_span):
        self.rate = rate
        self.capacity = capacity
        self.fallback = fallback
        self.fallback_span = fallback_span

    def __eq__(self, other):
        return all(
            getattr(self, name) == getattr(other, name)
            for name in self.__slots__
        )

    __hash__ = None


def allowed_requests(rate, burst, bounds):
    """Return the requests that upstreams may run in any `quota_window`."""
    return (rate * bounds.quota_window + burst) * (
        1.0 + bounds.quota_over
    ) + bounds.quota_slack


def make_limit(rate, burst, bounds):
    """Return the QuotaLimit of a rate in requests/s and a burst.

    Tokens used within a window were granted within the window and their
    validity before it, by a clock that may be fast.
    """
    span = (bounds.quota_window + TOKEN_VALIDITY_SECONDS) * (
        1.0 + CLOCK_RATE_TOLERANCE
    )
    allowed = allowed_requests(rate, burst, bounds)
    # A bucket that can't hold a token never grants one.
    capacity = max(1.0, burst, rate * MIN_CAPACITY_SECONDS)
    spare = max(0.0, allowed - capacity - rate * span)
    fallback = int(FALLBACK_FRACTION * spare)
    capacity += EXTRA_CAPACITY_FRACTION * spare
    # The validity of tokens costs a large rate with a small burst more than
    # the bound leaves.
    rate = max(0.0, min(rate, (allowed - fallback - capacity) / span))
    return QuotaLimit(rate, capacity, fallback, span)
