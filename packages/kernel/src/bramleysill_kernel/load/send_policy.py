"""Decides whether a request is sent, waits or is refused.

These functions do no I/O. They handle these load patterns:

- `decide`: a hot key gets more requests than its owner's slots can serve.
  A request that can't finish in time is refused before it waits. Less urgent
  priorities are refused at a shorter queue, which leaves room for urgent ones.
- `decide`: an upstream becomes many times slower. Requests to which it would
  respond after their deadline are refused at once, while its keys are moved.
- `decide`: an upstream turns requests away and names the time until when. A
  request that can still finish after that time waits, any other is refused at
  once with this time as its Retry-After.
- `decide_paused`: busy keys move, or their owner was lost. A request waits if
  the keys should have an owner in time, and is refused at once if not.
- `decide_busy`: a single key gets many times the requests that its owner can
  serve. Each router admits the same share of them, so that the owner is fully
  used and has no queue; the others come back the later the more there are.

`choice_policies` chooses among the upstreams of a shared service.
"""

import enum

# Share of the remaining time that a request may spend at the upstream.
MAX_SHARE_OF_TIME_LEFT = 0.9
# Share of the latency objective that it may spend there, by priority; higher
# numbers use the last value. The rest is for requests of other routers that
# this one does not know of. Larger shares would lengthen the queue without
# serving more requests, and every response would be late.
MAX_SHARE_OF_OBJECTIVE_BY_PRIORITY = (0.9, 0.9, 0.7)
# Bounds of the Retry-After value of a refusal.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 1.5
# Load of the owner of a busy key that routers admit, as a multiple of what it
# is expected to serve.
ADMITTED_LOAD = 1.0
# Retry-After of a request for a busy key, for each multiple of the requests
# that its owner can serve.
RETRY_AFTER_PER_OVERLOAD_SECONDS = 0.15
# Most moves of keys take less.
MIN_OWNER_WAIT_SECONDS = 0.35


class Action(enum.Enum):
    """What to do with a request."""

    SEND = 'send'
    WAIT = 'wait'
    REFUSE_BUSY = 'refuse_busy'
    REFUSE_DOWN = 'refuse_down'


class Decision:
    """What to do with a request, and the expected times in seconds.

    `retry_after` is the delay that a refusal asks the caller for, or the time
    that the request waits here.
    `expected_seconds` is the estimated time until the response; 0 if the
    upstream is down.
    """

    __slots__ = ('action', 'retry_after', 'expected_seconds')

    def __init__(self, action, retry_after=0.0, expected_seconds=0.0):
        self.action = action
        self.retry_after = retry_after
        self.expected_seconds = expected_seconds


def max_upstream_seconds(route, time_left):
    """Return the seconds that a request may spend at an upstream."""
    shares = MAX_SHARE_OF_OBJECTIVE_BY_PRIORITY
    share = shares[min(route.priority, len(shares) - 1)]
    return min(time_left * MAX_SHARE_OF_TIME_LEFT, route.objective * share)


def decide(load, now, time_left, route):
    """Return the Decision for one upstream; `time_left` is in seconds."""
    if load.is_down(now):
        wait = _clamp_retry_after(load.down_until - now)
        return Decision(Action.REFUSE_DOWN, wait)
    if load.is_closed(now):
        return _decide_closed(load, now, time_left, route)
    expected = load.expected_response_seconds(now)
    allowed = max_upstream_seconds(route, time_left)
    has_queue = load.expected_wait_seconds(now) > 0.0
    cannot_finish = expected > time_left and load.is_slow(now)
    is_late = has_queue and expected > allowed
    is_full = has_queue and now < load.full_until
    if is_late or is_full or cannot_finish:
        excess = max(load.full_until - now, expected - allowed)
        return Decision(
            Action.REFUSE_BUSY, _clamp_retry_after(excess), expected
        )
    return Decision(Action.SEND, expected_seconds=expected)


def max_owner_wait(service_seconds, time_left, route):
    """Return how long a request may wait for an owner that isn't known."""
    allowed = max_upstream_seconds(route, time_left) - service_seconds
    return max(MIN_OWNER_WAIT_SECONDS, allowed)


def decide_paused(wait, waited, service_seconds, time_left, route):
    """Return the Decision for keys that have no owner for `wait` seconds.

    The request has waited for `waited` seconds already; it needs
    `service_seconds` at the upstream.
    """
    allowed = max_upstream_seconds(route, time_left + waited) - waited
    if wait + service_seconds > min(allowed, time_left):
        return Decision(Action.REFUSE_BUSY, wait)
    return Decision(Action.WAIT, wait)


def decide_busy(overload, draw, decision):
    """Return the Decision for a range with `overload` times what is served.

    `draw` is a random number from 0 to 1 and `decision` the Decision for the
    owner without it.
    """
    if overload <= 1.0 or draw * overload < ADMITTED_LOAD:
        return decision
    if decision.action is not Action.SEND:
        return decision
    return Decision(
        Action.REFUSE_BUSY, RETRY_AFTER_PER_OVERLOAD_SECONDS * overload
    )


def _decide_closed(load, now, time_left, route):
    wait = load.closed_until - now
    if wait + load.service_time(now) > max_upstream_seconds(route, time_left):
        return Decision(Action.REFUSE_BUSY, wait)
    return Decision(Action.WAIT, wait)


def _clamp_retry_after(seconds):
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
