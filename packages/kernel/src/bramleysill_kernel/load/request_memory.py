"""Decides how much memory one request may take for its body and response.

Load pattern that it answers: a body or response arrives faster than the other
side reads it. Bytes are read only into memory that was reserved before. If the
budget has no more, the request goes on with what it has: it is streamed in
small steps, and the faster side is paused. No request waits for another one
to release memory, so that requests can't block each other.
"""

from bramleysill_kernel.load.memory_budget import REQUEST
from bramleysill_kernel.load.memory_budget import RESPONSE

# The most that is read from a connection at once.
READ_BYTES = 64 << 10
# A body up to this size is buffered, so that the request can be retried.
MAX_BUFFERED_BODY_BYTES = 1 << 20
# Bytes of a streamed body that may wait to be sent to the upstream.
MAX_UNSENT_REQUEST_BYTES = 256 << 10
# Bytes of a streamed response that the caller may leave unread.
MAX_UNREAD_RESPONSE_BYTES = 256 << 10
# Reserved for each request: its head and a small response. At the limit,
# responses are forwarded in steps of this size.
BASE_BYTES = 16 << 10
# Less is not worth a read: the response is streamed or paused instead.
MIN_READ_BYTES = 4 << 10
# First reservation for a body of unknown length.
FIRST_BODY_STEP_BYTES = 2 * READ_BYTES


class RequestMemory:
    """What one request has reserved in a `budget`."""

    __slots__ = (
        'priority',
        'refused_bytes',
        '_budget',
        '_request',
        '_response',
        '_has_length',
        '_closed',
    )

    def __init__(self, budget, priority):
        self.priority = priority
        # Size of the reservation that `open` could not make.
        self.refused_bytes = 0
        self._budget = budget
        self._request = 0
        self._response = 0
        # Whether the whole body, or the buffer, is reserved already.
        self._has_length = True
        self._closed = False

    @property
    def first_read_size(self):
        """Return how much of the response may be read at first."""
        return READ_BYTES if self._budget.total is None else BASE_BYTES

    def open(self, length, is_chunked):
        """Reserve memory for a request; return whether there was room.

        `length` is the announced length of its body.
        """
        body = FIRST_BODY_STEP_BYTES if is_chunked else length
        if body > MAX_BUFFERED_BODY_BYTES:
            body = MAX_BUFFERED_BODY_BYTES + READ_BYTES
        self._has_length = not is_chunked
        budget = self._budget
        if budget.reserve(body, self.priority, REQUEST):
            self._request = body
            if budget.reserve(BASE_BYTES, self.priority, RESPONSE):
                self._response = BASE_BYTES
                return True
            self.end_request()
        self.refused_bytes = body + BASE_BYTES
        return False

    def may_buffer(self, size):
        """Return whether to read on after `size` bytes of a body.

        Otherwise what was read must be streamed to the upstream.
        """
        if size > MAX_BUFFERED_BODY_BYTES:
            return False
        needed = size + READ_BYTES
        if self._has_length or needed <= self._request:
            return True
        # Doubling keeps the number of reservations small.
        most = MAX_BUFFERED_BODY_BYTES + READ_BYTES
        wanted = min(most, max(needed, 2 * self._request))
        return self._set_request(wanted) or self._set_request(needed)

    def may_send_more(self, unsent):
        """Return whether to read on with `unsent` bytes of a streamed body."""
        return unsent <= min(
            MAX_UNSENT_REQUEST_BYTES, max(0, self._request - READ_BYTES)
        )

    def note_buffered(self, size):
        """Release what a complete body of `size` bytes does not need."""
        if size < self._request:
            self._set_request(size)

    def note_drained(self):
        """Release what a streamed body needs no more, as all was sent."""
        window = MAX_UNSENT_REQUEST_BYTES + READ_BYTES
        if self._request > window:
            self._set_request(window)

    def response_read_size(self, held, remaining=None):
        """Return how much of the response may be read next; 0 for nothing.

        `held` bytes of the response wait for the caller, and `remaining` are
        still to come, if that is known.
        """
        if held > MAX_UNREAD_RESPONSE_BYTES:
            return 0
        step = READ_BYTES
        if remaining is not None:
            step = min(step, max(remaining, MIN_READ_BYTES))
        needed = max(BASE_BYTES, held + step)
        if needed != self._response:
            self._set_response(needed)
        room = min(READ_BYTES, self._response - held)
        return room if room >= MIN_READ_BYTES else 0

    def end_request(self):
        """Release what is reserved for the body."""
        self._set_request(0)

    def close(self):
        """Release everything; the request has ended and nothing is unsent."""
        self._set_request(0)
        self._set_response(0)
        self._closed = True

    def _set_request(self, size):
        changed = self._resize(self._request, size, REQUEST)
        if changed:
            self._request = size
        return changed

    def _set_response(self, size):
        changed = self._resize(self._response, size, RESPONSE)
        if changed:
            self._response = size
        return changed

    def _resize(self, old, new, kind):
        """Return whether the reservation of a kind was changed to `new`."""
        if self._closed:
            return False
        if new > old:
            return self._budget.reserve(new - old, self.priority, kind)
        if new < old:
            self._budget.release(old - new, kind)
        return True
