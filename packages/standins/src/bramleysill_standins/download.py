"""Streams a download with backpressure from the caller."""

from bramleysill_standins.pattern import iter_pattern

# Bytes of one download that are buffered before it pauses until the caller has
# read them.
HIGH_WATER_BYTES = 262144


class Download:
    """Sends the pattern of a seed; calls `done()` after the last piece."""

    __slots__ = ('_stream', '_pieces', '_done', '_run_or_defer')

    def __init__(self, stream, seed, size, run_or_defer, done):
        self._stream = stream
        self._pieces = iter_pattern(seed, size)
        self._run_or_defer = run_or_defer
        self._done = done

    def start(self, headers, size):
        """Send the head and the first pieces of the body."""
        self._stream.on_drained = lambda: self._run_or_defer(self.pump)
        self._stream.start(200, headers, size)
        self.pump()

    def pump(self):
        """Send pieces until the send buffer is full or the body complete."""
        stream = self._stream
        while not stream.closed and not stream.finished:
            if stream.buffered >= HIGH_WATER_BYTES:
                return
            piece = next(self._pieces, None)
            if piece is None:
                stream.end()
                self._done()
                return
            stream.write(piece)
