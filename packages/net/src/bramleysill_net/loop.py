"""The event loop: a circuits poller with direct callbacks, and timers.

circuits.net fires three events per read, at 4 to 6 microseconds per event, and
its client waits for a connect in a busy loop. The poller here is still a
circuits component, so that circuits.web can run on the same loop, but it calls
the connections of this package directly.
"""

import heapq
import itertools
import select
import time

from absl import logging
from circuits import BaseComponent
from circuits import handler
from circuits.core.pollers import EPoll

from bramleysill_kernel.load.receive_budget import ReceiveBudget


class Poller(EPoll):
    """An epoll poller that calls connections directly, without events.

    A connection has the methods `fileno()`, `on_readable()`,
    `on_writable()` and `on_hangup()`, and `on_peer_close()` if it is watched
    for that event.
    """

    channel = 'poller'

    def __init__(self):
        super().__init__(channel='poller')
        self._conns = {}
        # File descriptors registered since the last poll. If that poll
        # returned an event for one of them, the event belongs to a closed
        # connection whose descriptor was reused, and is dropped.
        self._newly_watched = set()

    def watch(self, conn, readable, writable, peer_close=False):
        """Set the events to watch for; replaces the earlier setting.

        With `peer_close` the poller reports that the peer has closed its side
        before it reports the data that precedes the close, and also while the
        connection is not watched for readable data.
        """
        fileno = conn.fileno()
        mask = 0
        if readable:
            mask |= select.EPOLLIN
        if writable:
            mask |= select.EPOLLOUT
        if peer_close:
            mask |= select.EPOLLRDHUP
        if fileno in self._conns:
            self._poller.modify(fileno, mask)
        else:
            self._poller.register(fileno, mask)
            self._newly_watched.add(fileno)
        self._conns[fileno] = conn

    def unwatch(self, conn):
        """Stop watching a connection; call before closing the socket."""
        fileno = conn.fileno()
        if self._conns.pop(fileno, None) is not None:
            self._poller.unregister(fileno)

    def _generate_events(self, event):
        self._newly_watched.clear()
        super()._generate_events(event)

    def _process(self, fileno, event):
        if fileno in self._newly_watched:
            return
        conn = self._conns.get(fileno)
        if conn is None:
            super()._process(fileno, event)
            return
        try:
            self._notify(conn, fileno, event)
        except Exception:
            logging.exception('event=connection_error step=callback')
            if self._conns.get(fileno) is conn:
                conn.on_hangup()

    def _notify(self, conn, fileno, event):
        if event & select.EPOLLRDHUP:
            conn.on_peer_close()
            return
        if event & select.EPOLLIN:
            conn.on_readable()
        if event & select.EPOLLOUT and self._conns.get(fileno) is conn:
            conn.on_writable()
        hangup = event & (select.EPOLLERR | select.EPOLLHUP)
        if not hangup or event & select.EPOLLIN:
            return
        if self._conns.get(fileno) is conn:
            conn.on_hangup()


def boottime_clock():
    """Return seconds on a monotonic clock that includes suspended time.

    CLOCK_MONOTONIC stops while a machine is suspended, so a lease that
    expired meanwhile would still be treated as valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TimerHandle:
    """A scheduled callback that can be cancelled.

    `interval_seconds` is 0 if the callback runs only once.
    """

    __slots__ = ('deadline', 'callback', 'interval_seconds')

    def __init__(self, deadline, callback, interval):
        self.deadline = deadline
        self.callback = callback
        self.interval_seconds = interval

    def cancel(self):
        """Cancel the callback; does nothing if it has already run."""
        self.callback = None


class Scheduler(BaseComponent):
    """Runs callbacks at deadlines on a monotonic clock.

    circuits.Timer uses the wall clock and adds a handler per timer to each
    tick, so it is not used for the many deadlines of requests.
    """

    channel = 'scheduler'

    def __init__(self, now=boottime_clock):
        super().__init__()
        self._now = now
        self._heap = []
        self._order = itertools.count()
        self._max_lateness = 0.0

    def call_at(self, deadline, callback):
        """Call `callback` once when the clock reaches `deadline` seconds."""
        return self._push(TimerHandle(deadline, callback, 0.0))

    def call_every(self, interval_seconds, callback):
        """Call `callback` every `interval_seconds` until cancelled."""
        deadline = self._now() + interval_seconds
        return self._push(TimerHandle(deadline, callback, interval_seconds))

    def take_max_lateness(self):
        """Return by how many seconds timers ran late since the last call.

        This is the longest time that the loop spent on other callbacks, and
        so the delay of an event that arrived meanwhile.
        """
        seconds, self._max_lateness = self._max_lateness, 0.0
        return seconds

    def _push(self, timer):
        # Timers with the same deadline run in the order of insertion.
        entry = (timer.deadline, next(self._order), timer)
        heapq.heappush(self._heap, entry)
        return timer

    @handler('generate_events', priority=10)
    def _on_generate_events(self, event):
        if self.run_due():
            # A callback may have stopped the loop or fulfilled the condition
            # of run_until, so the poll must return immediately.
            event.reduce_time_left(0)
        if self._heap:
            time_left = self._heap[0][0] - self._now()
            event.reduce_time_left(max(0.0, time_left))

    def run_due(self):
        """Run the callbacks that are due; return whether there were any."""
        now = self._now()
        if self._heap:
            lateness = now - self._heap[0][0]
            self._max_lateness = max(self._max_lateness, lateness)
        ran = False
        while self._heap and self._heap[0][0] <= now:
            _, _, timer = heapq.heappop(self._heap)
            if timer.callback is None:
                continue
            if timer.interval_seconds:
                timer.deadline = now + timer.interval_seconds
                self._push(timer)
            self._run(timer.callback)
            ran = True
        return ran

    def _run(self, callback):
        try:
            callback()
        except Exception:
            logging.exception('event=timer_error step=callback')


class Loop(BaseComponent):
    """Root component with the poller and the scheduler.

    `on_terminate` is called on a signal to stop; by default it stops the
    loop. `receive_budget` bounds the unfinished messages of all connections.

    Example::

        loop = Loop()
        loop.scheduler.call_every(1.0, report)
        loop.run()
    """

    channel = 'loop'

    def __init__(self):
        super().__init__()
        self.poller = Poller().register(self)
        self.scheduler = Scheduler().register(self)
        self.receive_budget = ReceiveBudget()
        self.on_terminate = self.stop

    def now(self):
        """Return the time in seconds on the clock used for all deadlines."""
        return boottime_clock()

    @handler('signal', channel='*')
    def _on_signal(self, signo, frame):
        self.on_terminate()

    def run_until(self, done, timeout_seconds):
        """Run until `done()` is true or `timeout_seconds` have passed.

        Returns whether `done()` is true then. For command line tools and
        tests.
        """
        deadline = self.now() + timeout_seconds
        # Ends the last poll at the deadline.
        wakeup = self.scheduler.call_at(deadline, lambda: None)
        self._running = True
        while not done() and self.now() < deadline:
            self.tick()
        wakeup.cancel()
        return done()
