"""The tokens that a router has been granted, and the requests that wait.

A request of an organisation with a limit is sent with a token of its own. A
router without a token asks the quota owner of the organisation for as many as
wait, and for those that it expects to need until the next request. Only one
such message per organisation is under way, so that many callers at once cost
few messages. Without an owner, a router uses its share of the fallback.
"""

import bisect
import collections
import enum
import math

from bramleysill_kernel.load.quota_limits import TOKEN_VALIDITY_SECONDS

# Tokens are requested for the need of this time.
EXPECTED_NEED_SECONDS = 0.3
# The need is averaged over about this time.
NEED_AVERAGE_SECONDS = 1.0
# The most tokens that one message requests or grants.
MAX_TOKENS = 1000
# An owner that does not reply within this time is not asked again for the
# next one; it normally replies within milliseconds.
REPLY_TIMEOUT_SECONDS = 0.15
SILENT_OWNER_SECONDS = 0.5
# A router that isn't the owner, or not yet, is not asked again for this time.
NO_OWNER_SECONDS = 0.1
# Retry-After without a fallback share; another router may have one.
FALLBACK_RETRY_SECONDS = 0.3


class QuotaAction(enum.Enum):
    """What becomes of a request of an organisation with a limit."""

    SEND = 'send'
    # The quota is used up.
    REFUSE = 'refuse'
    # It isn't known whether the quota is used up.
    UNAVAILABLE = 'unavailable'


class Token:
    """The right to send one request until `expires_at`.

    `fallback_at` is when it was taken from the fallback share, or None.
    """

    __slots__ = ('expires_at', 'fallback_at')

    def __init__(self, expires_at, fallback_at=None):
        self.expires_at = expires_at
        self.fallback_at = fallback_at

    def is_valid(self, now):
        """Return whether the token may still be used."""
        return now < self.expires_at


class QuotaDecision:
    """The QuotaAction for a request.

    `token` is for SEND; None if the organisation has no limit any more.
    `retry_after` is in seconds, for the others.
    """

    __slots__ = ('action', 'token', 'retry_after')

    def __init__(self, action, token=None, retry_after=0.0):
        self.action = action
        self.token = token
        self.retry_after = retry_after


class _NeedEstimate:
    """An exponentially decaying count of requests."""

    __slots__ = ('_count', '_at')

    def __init__(self):
        self._count = 0.0
        self._at = 0.0

    def add(self, now):
        self._count = self._decayed(now) + 1.0
        self._at = now

    def expected(self, now):
        """Return the requests that are expected in EXPECTED_NEED_SECONDS."""
        per_second = self._decayed(now) / NEED_AVERAGE_SECONDS
        return int(per_second * EXPECTED_NEED_SECONDS)

    def is_negligible(self, now):
        return self._decayed(now) < 1.0

    def _decayed(self, now):
        return self._count * math.exp((self._at - now) / NEED_AVERAGE_SECONDS)


class LeasedTokens:
    """The tokens and waiting requests of one organisation at this router.

    A request waits as an object of the caller's choice, the waiter. Methods
    that end waits return a list of (waiter, QuotaDecision).
    """

    __slots__ = (
        'limit',
        '_stock',
        '_need',
        '_fallback_times',
        '_waiting',
        '_asked',
        '_asked_at',
        '_refuse_until',
    )

    def __init__(self, limit):
        self.limit = limit
        # Times at which the tokens expire, in order.
        self._stock = []
        self._need = _NeedEstimate()
        self._fallback_times = collections.deque()
        # The waiters in the order of their requests.
        self._waiting = {}
        # The waiters that the message under way has counted, and the time at
        # which it was sent; None without one.
        self._asked = ()
        self._asked_at = None
        # Until when the owner has no more tokens.
        self._refuse_until = 0.0

    def request(self, now, waiter):
        """Return the QuotaDecision of a request, None if it waits."""
        self._need.add(now)
        token = self._take_stock(now)
        if token is not None:
            return QuotaDecision(QuotaAction.SEND, token)
        if now < self._refuse_until:
            return _refuse(self._refuse_until - now)
        self._waiting[waiter] = None
        return None

    def cancel(self, waiter):
        """Remove a waiter whose request has ended."""
        self._waiting.pop(waiter, None)

    def next_request(self, now):
        """Return (waiting, wanted) of the message to send, None without one.

        `waiting` is the number of waiting requests and `wanted` the number of
        tokens. Call `on_reply` or `on_no_owner` next.
        """
        if self._asked_at is not None or not self._waiting:
            return None
        self._asked = list(self._waiting)[:MAX_TOKENS]
        self._asked_at = now
        waiting = len(self._asked)
        expected = min(self._need.expected(now), MAX_TOKENS)
        return waiting, max(waiting, expected)

    def on_reply(self, now, granted, delay):
        """Return the decisions after the reply of the owner."""
        expires_at = self._asked_at + TOKEN_VALIDITY_SECONDS
        asked, self._asked, self._asked_at = self._asked, (), None
        for _ in range(min(granted, MAX_TOKENS)):
            bisect.insort(self._stock, expires_at)
        settled = []
        for waiter in (*asked, *self._waiting):
            if waiter not in self._waiting:
                continue
            token = self._take_stock(now)
            if token is None:
                break
            del self._waiting[waiter]
            settled.append((waiter, QuotaDecision(QuotaAction.SEND, token)))
        if granted >= len(asked):
            return settled
        self._refuse_until = now + delay
        for waiter in asked:
            if waiter in self._waiting:
                del self._waiting[waiter]
                settled.append((waiter, _refuse(delay)))
        return settled

    def on_no_owner(self, now, share):
        """Return the decisions without an owner.

        `share` is the number of requests that this router may send per
        `fallback_span` of the limit.
        """
        self._asked, self._asked_at = (), None
        waiting, self._waiting = self._waiting, {}
        return [(w, self._take_fallback(now, share)) for w in waiting]

    def give_back(self, now, token):
        """Take back the token of a request that was not sent."""
        if token.fallback_at is not None:
            if token.fallback_at in self._fallback_times:
                self._fallback_times.remove(token.fallback_at)
        elif token.is_valid(now):
            bisect.insort(self._stock, token.expires_at)

    def set_limit(self, limit):
        """Apply another limit; tokens of the former one are not used."""
        self.limit = limit
        self._stock.clear()
        self._refuse_until = 0.0

    def release_waiting(self):
        """Return the decisions after the limit was removed."""
        waiting, self._waiting = self._waiting, {}
        return [(w, QuotaDecision(QuotaAction.SEND)) for w in waiting]

    def is_idle(self, now):
        """Return whether a new object would decide in the same way."""
        self._drop_expired(now)
        return (
            not self._stock
            and not self._waiting
            and self._asked_at is None
            and not self._fallback_times
            and now >= self._refuse_until
            and self._need.is_negligible(now)
        )

    def _take_stock(self, now):
        self._drop_expired(now)
        return Token(self._stock.pop(0)) if self._stock else None

    def _drop_expired(self, now):
        del self._stock[: bisect.bisect_right(self._stock, now)]
        times = self._fallback_times
        while times and times[0] <= now - self.limit.fallback_span:
            times.popleft()

    def _take_fallback(self, now, share):
        self._drop_expired(now)
        if len(self._fallback_times) >= share:
            return QuotaDecision(
                QuotaAction.UNAVAILABLE, retry_after=FALLBACK_RETRY_SECONDS
            )
        self._fallback_times.append(now)
        token = Token(now + TOKEN_VALIDITY_SECONDS, now)
        return QuotaDecision(QuotaAction.SEND, token)


def _refuse(seconds):
    return QuotaDecision(QuotaAction.REFUSE, retry_after=seconds)
