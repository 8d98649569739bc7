"""Requests to other routers that have no reply yet."""

from bramleysill_kernel.common.request_numbers import RequestNumbers


class _Pending:
    """A request, its deadline in seconds and the timer of its timeout."""

    __slots__ = ('request', 'deadline', 'timer')

    def __init__(self, request, deadline, timer):
        self.request = request
        self.deadline = deadline
        self.timer = timer


class PendingRequests:
    """Numbers requests, and keeps each until its reply or its timeout.

    `on_timeout(request)` is called for a request that got no reply within
    `timeout_seconds`.

    Example::

        number = pending.next_number()
        if links.send(router, messages.QuotaRequest(number, ...)):
            pending.add(number, request)
    """

    __slots__ = (
        '_loop',
        '_timeout_seconds',
        '_on_timeout',
        '_numbers',
        '_pending',
    )

    def __init__(self, loop, timeout_seconds, on_timeout):
        self._loop = loop
        self._timeout_seconds = timeout_seconds
        self._on_timeout = on_timeout
        self._numbers = RequestNumbers()
        self._pending = {}

    def next_number(self):
        """Return the number of the next request."""
        return self._numbers.take()

    def add(self, number, request):
        """Keep a request that has been sent now."""
        deadline = self._loop.now() + self._timeout_seconds
        timer = self._loop.scheduler.call_at(
            deadline, lambda: self._expire(number)
        )
        self._pending[number] = _Pending(request, deadline, timer)

    def take(self, number):
        """Return the request of a reply, or None if it comes too late.

        After a suspension of the process a late reply may be read before the
        timer of the timeout is called.
        """
        pending = self._pending.get(number)
        if pending is None or self._loop.now() >= pending.deadline:
            return None
        del self._pending[number]
        pending.timer.cancel()
        return pending.request

    def _expire(self, number):
        pending = self._pending.pop(number, None)
        if pending is not None:
            self._on_timeout(pending.request)
