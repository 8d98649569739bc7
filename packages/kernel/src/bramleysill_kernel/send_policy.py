"""Whether a request is sent or refused, and where it is sent.

These decisions do no I/O. The load patterns that they answer:

- `judge`: a busy key sends more than its owner's slots can take. A
  request that can't be finished in time is refused before it waits, and
  the less urgent kind is refused at a shorter queue, so that the urgent
  kind still finds room.
- `judge`: an upstream becomes many times slower. Requests that it would
  answer after their deadline are refused at once, while its keys move.
- `choose`: some of the upstreams of a shared service are slow, full or
  down. A request goes where it will be finished first.
"""

import enum

# Part of the time that is left which a request may take at the upstream.
MAX_SHARE_OF_TIME_LEFT = 0.9
# Part of the latency objective that it may take, by priority; later
# priorities use the last value. A longer queue would serve no more requests,
# and all of them late.
MAX_SHARE_OF_OBJECTIVE_BY_PRIORITY = (1.2, 1.2, 0.9)
# Bounds of Retry-After, in seconds.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 1.5
# An upstream in another failure domain has to be faster by this part of the
# latency objective: the links between failure domains are narrow and the
# first to be cut, and a request that may take long loses little by waiting.
REMOTE_PENALTY_SHARE_OF_OBJECTIVE = 0.05


class Action(enum.Enum):
    """What to do with a request now."""

    SEND = 'send'
    REFUSE_BUSY = 'refuse_busy'
    REFUSE_DOWN = 'refuse_down'


class Decision:
    """A verdict, with the seconds after which to come back if refused."""

    __slots__ = ('action', 'retry_after', 'expected_seconds')

    def __init__(self, action, retry_after=0.0, expected_seconds=0.0):
        self.action = action
        self.retry_after = retry_after
        self.expected_seconds = expected_seconds


def max_upstream_seconds(route, time_left):
    """Return the seconds that a request may take at an upstream."""
    shares = MAX_SHARE_OF_OBJECTIVE_BY_PRIORITY
    share = shares[min(route.priority, len(shares) - 1)]
    return min(time_left * MAX_SHARE_OF_TIME_LEFT, route.objective * share)


def decide(load, now, time_left, route):
    """Decide about one upstream; `time_left` in seconds."""
    if load.is_down(now):
        wait = _clamp_retry_after(load.down_until - now)
        return Decision(Action.REFUSE_DOWN, wait)
    expected = load.expected_finish(now)
    allowed = max_upstream_seconds(route, time_left)
    has_queue = load.expected_wait(now) > 0.0
    cannot_finish = expected > time_left and load.is_slow(now)
    is_late = has_queue and expected > allowed
    is_full = has_queue and now < load.full_until
    if is_late or is_full or cannot_finish:
        excess = max(load.full_until - now, expected - allowed)
        return Decision(
            Action.REFUSE_BUSY, _clamp_retry_after(excess), expected
        )
    return Decision(Action.SEND, expected_seconds=expected)


def choose_upstream(candidates, now, rng, own_domain, objective):
    """Return the candidate that finishes first, or None.

    `candidates` are (entry, load) pairs that may get work, `objective` is
    the latency objective of the request in seconds.
    """
    best = None
    best_cost = 0.0
    remote_penalty = objective * REMOTE_PENALTY_SHARE_OF_OBJECTIVE
    start = rng.randrange(len(candidates)) if candidates else 0
    for offset in range(len(candidates)):
        entry, load = candidates[(start + offset) % len(candidates)]
        if load.is_down(now):
            continue
        cost = load.expected_finish(now)
        if entry.failure_domain != own_domain:
            cost += remote_penalty
        if now < load.full_until:
            cost += load.service_time(now)
        if best is None or cost < best_cost:
            best = (entry, load)
            best_cost = cost
    return best


def _clamp_retry_after(seconds):
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
