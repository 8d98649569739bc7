"""Numbers by which a router tells the replies of other routers apart."""

# Numbers are sent as 32 bits.
MAX_REQUEST_NUMBER = (1 << 32) - 1


class RequestNumbers:
    """Counts from 1 to MAX_REQUEST_NUMBER, then from 1 again.

    `last` is the number before the first one. A process that may get replies
    to requests of its predecessor starts at a random one.
    """

    __slots__ = ('_last',)

    def __init__(self, last=0):
        self._last = last

    def take(self):
        """Return the next number."""
        self._last = self._last % MAX_REQUEST_NUMBER + 1
        return self._last
