"""Admission control for one upstream: concurrency slots and a queue.

The dispatcher keeps one `Admission` per upstream and calls it as follows:

- A request arrives: `offer(item)`. On `ADMITTED`, send it to the upstream now;
  on `QUEUED`, keep it. Any other value is a `Refusal` with outcome `not_run`
  to send to the caller. Only admitted requests may be sent to the upstream.
- An attempt ends: `finished(item, result)`; send every item it returns.
- A caller disconnects or a request times out: `cancel(item)`. A queued request
  is removed. A running one keeps its slot until `finished`, or until `tick()`
  finds that its deadline plus `ABANDONED_MARGIN_SECONDS` has passed and the
  upstream has responded to something since. Without such a response, the slot
  is freed `settle` seconds after that time.
- Every 10 to 50 ms: `tick()`; send every item it returns.
- After each of these calls, and after `unhold`: send the refusals of
  `take_dropped()` to their callers. It is a list of (item, refusal) for
  requests that were shed or can't finish in time.
- A unit is about to be released: `hold(unit)`, and `withdraw(unit)` when its
  queued requests are to be routed elsewhere; confirm the release once
  `is_idle(unit)` is true. `unhold(unit)` ends the hold and returns items to
  send.

Example::

    admission = Admission('u1', clock, slots=4)
    if admission.offer(item) is ADMITTED:
        send(item)
"""

from bramleysill_kernel.common.refusals import DeadlineNotRun
from bramleysill_kernel.common.refusals import Overloaded
from bramleysill_kernel.common.refusals import OwnerMoving
from bramleysill_kernel.load.queueing import STATE_ABANDONED
from bramleysill_kernel.load.queueing import STATE_DONE
from bramleysill_kernel.load.queueing import STATE_HELD
from bramleysill_kernel.load.queueing import STATE_NEW
from bramleysill_kernel.load.queueing import STATE_QUEUED
from bramleysill_kernel.load.queueing import STATE_RUNNING
from bramleysill_kernel.load.queueing import FairQueue
from bramleysill_kernel.load.slow_start import SlowStart

ADMITTED = 'admitted'
QUEUED = 'queued'

RESULT_OK = 'ok'
RESULT_ERROR = 'error'
RESULT_SHED = 'shed'
RESULT_CANCELLED = 'cancelled'
RESULT_LOST = 'lost'

STEP = 'admission'

DEFAULT_QUEUE_LENGTH = 128
# How long a request waits while its unit is held for a move (design section
# 5.1).
MAX_UNIT_HOLD_SECONDS = 2.0
# An upstream stops working on a request at the latest this long after its
# deadline.
ABANDONED_MARGIN_SECONDS = 0.25
# How much longer abandoned requests keep their slots if the upstream doesn't
# respond to anything.
DEFAULT_SETTLE_SECONDS = 30.0
# Weight of one sample in the moving average of the service time.
MEAN_SAMPLE_WEIGHT = 0.1
# Step by which one sample moves the median estimate, relative to the estimate.
MEDIAN_STEP = 0.05
# While others wait, a slot goes only to a request with at least this many
# median service times until its deadline. With one, half of the requests that
# start last miss their deadline; with two, nine in ten meet it at the usual
# spread of service times.
CONTENDED_SERVICE_TIMES = 2.0
MIN_RETRY_AFTER_SECONDS = 0.1


class Admission:
    """Slots and queue of one upstream; the module describes the calls.

    `in_flight` is the number of requests at the upstream, including those
    whose caller has left, and `most_in_flight` its maximum so far. `limit` is
    the number that may run now: the minimum of the slots, the slow-start bound
    and the restriction. `mean_service_time` is in seconds.
    """

    __slots__ = (
        'upstream',
        'slots',
        'slow_start',
        'limit',
        'in_flight',
        'most_in_flight',
        'mean_service_time',
        '_median_service_times',
        '_stall_seconds',
        '_clock',
        '_queue',
        '_queue_length',
        '_settle',
        '_restriction',
        '_running',
        '_held',
        '_held_count',
        '_dropped',
        '_last_response_at',
    )

    def __init__(
        self,
        upstream,
        clock,
        slots,
        slow_start=None,
        queue_length=DEFAULT_QUEUE_LENGTH,
        settle=DEFAULT_SETTLE_SECONDS,
    ):
        self.upstream = upstream
        self.slots = slots
        self.slow_start = slow_start or SlowStart(clock, slots)
        self.in_flight = 0
        self.most_in_flight = 0
        self.mean_service_time = 0.0
        self._median_service_times = {}
        self._stall_seconds = 0.0
        self._clock = clock
        self._queue = FairQueue()
        self._queue_length = queue_length
        self._settle = settle
        self._restriction = slots
        self._running = set()
        self._held = {}
        self._held_count = 0
        self._dropped = []
        self._last_response_at = clock.now()
        self._refresh()

    @property
    def queued(self):
        """Return the number of waiting requests, including held ones."""
        return len(self._queue) + self._held_count

    def set_slots(self, slots):
        """Apply a changed number of slots; returns items to send."""
        if self._restriction == self.slots:
            self._restriction = slots
        self.slots = slots
        self.slow_start.set_slots(slots)
        self._refresh()
        return self._start_next(self._clock.now())

    def restrict(self, bound):
        """Lower the limit of an upstream that is suspect or ejected.

        None lifts the restriction; 0 sends nothing. Returns items to send.
        """
        self._restriction = self.slots if bound is None else bound
        self._refresh()
        return self._start_next(self._clock.now())

    def _refresh(self):
        self.limit = min(self.slots, self.slow_start.bound, self._restriction)

    def offer(self, item):
        """Return ADMITTED, QUEUED or the Refusal of the request."""
        now = self._clock.now()
        item.enqueued_at = now
        if item.deadline <= now:
            return self._expired(item)
        if not self.in_flight:
            self.slow_start.note_idle(now)
            self._refresh()
        if self._held and item.unit in self._held:
            return self._hold_item(item)
        if self.in_flight < self.limit and not self._queue:
            self._start(item, now)
            return ADMITTED
        return self._enqueue(item, now)

    def _start(self, item, now):
        item.state = STATE_RUNNING
        item.started_at = now
        self._running.add(item)
        self.in_flight += 1
        if self.in_flight > self.most_in_flight:
            self.most_in_flight = self.in_flight

    def _enqueue(self, item, now):
        wait = self.expected_wait_seconds(item.priority)
        if now + wait + self.median_service_time(item.route) > item.deadline:
            return self._overloaded(item, wait)
        if self.queued >= self._queue_length:
            evicted = self._queue.least_valuable(item)
            if evicted is item:
                return self._overloaded(item, wait)
            self._queue.remove(evicted)
            self._drop(evicted, self._overloaded(evicted, wait))
        self._queue.push(item)
        return QUEUED

    def _hold_item(self, item):
        if self.queued >= self._queue_length:
            return self._overloaded(item, MAX_UNIT_HOLD_SECONDS)
        item.state = STATE_HELD
        self._held[item.unit].append(item)
        self._held_count += 1
        return QUEUED

    def expected_wait_seconds(self, priority=1):
        """Return the estimated seconds until a new request would start."""
        if self.in_flight < self.limit and not self._queue:
            return 0.0
        ahead = self._queue.count_ahead(priority) + 1
        return (
            max(self.mean_service_time, self._stall_seconds)
            * ahead
            / max(1, self.limit)
        )

    def median_service_time(self, route=''):
        """Return the median service time of a route, or 0 if unknown."""
        return self._median_service_times.get(route, 0.0)

    def _overloaded(self, item, wait):
        item.state = STATE_DONE
        return Overloaded(
            f'the queue of {self.upstream} cannot meet the deadline',
            STEP,
            self.upstream,
            retry_after=max(MIN_RETRY_AFTER_SECONDS, wait),
        )

    def _expired(self, item):
        item.state = STATE_DONE
        return DeadlineNotRun(
            'the deadline passed before the request was sent',
            STEP,
            self.upstream,
        )

    def _drop(self, item, refusal):
        item.state = STATE_DONE
        self._dropped.append((item, refusal))

    def take_dropped(self):
        """Return and clear the (item, refusal) pairs to send to callers."""
        dropped = self._dropped
        if dropped:
            self._dropped = []
        return dropped

    def finished(self, item, result, state='', epoch=''):
        """Free the slot of an attempt that ended; return items to send.

        `result` is one of the RESULT constants, `state` the Sill-State of the
        response and `epoch` the upstream's epoch in it; both are empty if the
        response has none.
        A second call for the same item has no effect.
        """
        if item not in self._running:
            return []
        now = self._clock.now()
        self._release_slot(item)
        if result != RESULT_LOST:
            self._last_response_at = now
        if result == RESULT_OK:
            self._record_service_time(
                item.route, now - item.started_at, state, now
            )
        elif result == RESULT_SHED:
            self.slow_start.note_shed(now)
        elif result == RESULT_LOST:
            self.slow_start.note_lost(now)
        if epoch:
            self.slow_start.note_epoch(epoch)
        self._refresh()
        if self._queue:
            return self._start_next(now)
        return []

    def _release_slot(self, item):
        self._running.discard(item)
        item.state = STATE_DONE
        self.in_flight -= 1

    def _record_service_time(self, route, latency, state, now):
        if self.mean_service_time:
            self.mean_service_time += MEAN_SAMPLE_WEIGHT * (
                latency - self.mean_service_time
            )
        else:
            self.mean_service_time = latency
        median = self._median_service_times.get(route, latency)
        step = MEDIAN_STEP * median
        self._median_service_times[route] = median + (
            step if latency > median else -step
        )
        self.slow_start.note_response(latency, state, now, route)

    def _start_next(self, now):
        started = []
        while self.in_flight < self.limit and self._queue:
            item = self._queue.pop()
            margin = CONTENDED_SERVICE_TIMES if self._queue else 1.0
            latest = now + margin * self.median_service_time(item.route)
            if item.deadline < latest:
                self._drop(item, self._expired(item))
                continue
            self._start(item, now)
            started.append(item)
        return started

    def note_alive(self):
        """Record a response to something other than a request: a probe."""
        self._last_response_at = self._clock.now()

    def note_epoch(self, epoch):
        """Record the epoch from a health or grant response."""
        self.slow_start.note_epoch(epoch)
        self._refresh()

    def cancel(self, item):
        """Record that the caller left; removes a request not yet sent."""
        if item.state == STATE_QUEUED:
            self._queue.remove(item)
            item.state = STATE_DONE
        elif item.state == STATE_HELD:
            self._held[item.unit].remove(item)
            self._held_count -= 1
            item.state = STATE_DONE
        elif item.state == STATE_RUNNING:
            item.state = STATE_ABANDONED

    def tick(self):
        """Drop requests that can't finish in time; return items to send."""
        now = self._clock.now()
        self._release_expired_slots(now)
        self._measure_stall(now)
        self._drop_late(now)
        self._drop_held(now)
        self._refresh()
        return self._start_next(now)

    def _measure_stall(self, now):
        """Measure how long all slots have been busy without a response.

        The mean service time covers responses only, so it would stay low while
        the upstream is frozen.
        """
        self._stall_seconds = 0.0
        if self._running and self.in_flight >= self.limit:
            self._stall_seconds = now - max(
                item.started_at for item in self._running
            )

    def _release_expired_slots(self, now):
        for item in list(self._running):
            if item.state != STATE_ABANDONED:
                continue
            expires_at = item.deadline + ABANDONED_MARGIN_SECONDS
            has_responded = self._last_response_at > expires_at
            if (
                has_responded and now > expires_at
            ) or now > expires_at + self._settle:
                self._release_slot(item)

    def _drop_late(self, now):
        for item in self._queue:
            if item.deadline < now + self.median_service_time(item.route):
                self._queue.remove(item)
                self._drop(item, self._expired(item))

    def _drop_held(self, now):
        for items in self._held.values():
            for item in list(items):
                if item.deadline <= now:
                    refusal = self._expired(item)
                elif now - item.enqueued_at > MAX_UNIT_HOLD_SECONDS:
                    refusal = OwnerMoving(
                        f'unit {item.unit} is being moved',
                        STEP,
                        self.upstream,
                        retry_after=MIN_RETRY_AFTER_SECONDS,
                    )
                else:
                    continue
                items.remove(item)
                self._held_count -= 1
                self._drop(item, refusal)

    def hold(self, unit):
        """Start no more requests of a unit; its queued ones wait."""
        if unit in self._held:
            return
        items = [i for i in self._queue if i.unit == unit]
        for item in items:
            self._queue.remove(item)
            item.state = STATE_HELD
        self._held[unit] = items
        self._held_count += len(items)

    def unhold(self, unit):
        """End the hold of a unit; return items to send."""
        items = self._held.pop(unit, ())
        self._held_count -= len(items)
        for item in items:
            self._queue.push(item)
        return self._start_next(self._clock.now())

    def withdraw(self, unit):
        """Remove and return all unsent requests of a unit.

        The caller routes them elsewhere; their state is new again. A held
        unit stays held.
        """
        items = self._held.get(unit, [])
        taken = list(items)
        items.clear()
        self._held_count -= len(taken)
        for item in self._queue:
            if item.unit == unit:
                self._queue.remove(item)
                taken.append(item)
        for item in taken:
            item.state = STATE_NEW
        return taken

    def withdraw_all(self):
        """Remove and return all unsent requests, e.g. after a lost lease."""
        units = {item.unit for item in self._queue} | set(self._held)
        taken = []
        for unit in units:
            taken += self.withdraw(unit)
        return taken

    def is_idle(self, unit):
        """Return whether no request of a unit is at the upstream."""
        return not any(item.unit == unit for item in self._running)
