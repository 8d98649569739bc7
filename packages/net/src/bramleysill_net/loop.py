"""The event loop: a circuits poller with direct callbacks, and timers.

circuits.net fires three events for each read and its client polls for the
end of a connect in a busy loop; one event costs 4 to 6 microseconds. The
poller here stays a circuits component, so that circuits.web runs on the same
loop, but calls the connections of this package directly.
"""

import heapq
import itertools
import select
import time

from absl import logging
from circuits import BaseComponent
from circuits import handler
from circuits.core.pollers import EPoll


class Poller(EPoll):
    """An epoll poller that calls registered connections without events.

    A connection has `fileno()`, `on_readable()`, `on_writable()` and
    `on_hangup()`.
    """

    channel = 'poller'

    def __init__(self):
        super().__init__(channel='poller')
        self._conns = {}
        # Descriptors first watched since the last poll. An event of that
        # poll for one of them belongs to a closed connection whose number
        # was given out again, and must not reach the new connection.
        self._newly_watched = set()

    def watch(self, conn, readable, writable):
        """Set what a connection waits for; replaces earlier interest."""
        fileno = conn.fileno()
        mask = 0
        if readable:
            mask |= select.EPOLLIN
        if writable:
            mask |= select.EPOLLOUT
        if fileno in self._conns:
            self._poller.modify(fileno, mask)
        else:
            self._poller.register(fileno, mask)
            self._newly_watched.add(fileno)
        self._conns[fileno] = conn

    def unwatch(self, conn):
        """Stop watching a connection; must precede the socket's close."""
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
        if event & select.EPOLLIN:
            conn.on_readable()
        if event & select.EPOLLOUT and self._conns.get(fileno) is conn:
            conn.on_writable()
        hangup = event & (select.EPOLLERR | select.EPOLLHUP)
        if not hangup or event & select.EPOLLIN:
            return
        if self._conns.get(fileno) is conn:
            conn.on_hangup()


def boot_time():
    """Return seconds on a steady clock that counts suspended time.

    CLOCK_MONOTONIC stands still while a machine is suspended, and a lease
    that has ended meanwhile would be taken as valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TimerHandle:
    """A scheduled call; `cancel` prevents it."""

    __slots__ = ('deadline', 'callback', 'interval')

    def __init__(self, deadline, callback, interval):
        self.deadline = deadline
        self.callback = callback
        self.interval = interval

    def cancel(self):
        """Prevent the call; harmless when it has already run."""
        self.callback = None


class Scheduler(BaseComponent):
    """Runs callbacks at deadlines on the monotonic clock.

    circuits.Timer uses the wall clock and adds a handler to each tick for
    each timer, so it is not used for the many deadlines of requests.
    """

    channel = 'scheduler'

    def __init__(self, now=boot_time):
        super().__init__()
        self._now = now
        self._heap = []
        self._order = itertools.count()

    def call_at(self, deadline, callback):
        """Call back once when the clock has reached `deadline` (seconds)."""
        return self._push(TimerHandle(deadline, callback, 0.0))

    def call_every(self, interval, callback):
        """Call back each `interval` seconds until cancelled."""
        deadline = self._now() + interval
        return self._push(TimerHandle(deadline, callback, interval))

    def _push(self, timer):
        entry = (timer.deadline, next(self._order), timer)
        heapq.heappush(self._heap, entry)
        return timer

    @handler('generate_events', priority=10)
    def _on_generate_events(self, event):
        if self.run_due():
            # A callback may have ended the loop or what run_until waits
            # for; the poll must not wait for the next deadline.
            event.reduce_time_left(0)
        if self._heap:
            time_left = self._heap[0][0] - self._now()
            event.reduce_time_left(max(0.0, time_left))

    def run_due(self):
        """Run all callbacks whose deadline has passed; tell if any ran."""
        now = self._now()
        ran = False
        while self._heap and self._heap[0][0] <= now:
            _, _, timer = heapq.heappop(self._heap)
            if timer.callback is None:
                continue
            if timer.interval:
                timer.deadline = now + timer.interval
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
    """Root component that holds the poller and the scheduler.

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
        self.on_terminate = self.stop

    def now(self):
        """Return the clock of all deadlines, in seconds; see boot_time."""
        return boot_time()

    @handler('signal', channel='*')
    def _on_signal(self, signo, frame):
        self.on_terminate()

    def run_until(self, done, timeout):
        """Run until `done()` is true; return False after `timeout` seconds.

        Meant for command line tools and tests, which have an end.
        """
        deadline = self.now() + timeout
        expired = self.scheduler.call_at(deadline, lambda: None)
        self._running = True
        while not done() and self.now() < deadline:
            self.tick()
        expired.cancel()
        return done()
