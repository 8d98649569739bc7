"""Tests of the memory that queued bytes take, against what is counted."""

import tracemalloc

import hypothesis
from hypothesis import strategies
import testtools

from bramleysill_net.chunk_buffer import SMALL_CHUNK_BYTES
from bramleysill_net.chunk_buffer import ChunkBuffer
from bramleysill_net.conn import Conn
from bramleysill_net.conn import Listener
from bramleysill_net.loop import Loop

SMALL_CHUNKS = 200000
# A list of bytes objects takes about 40 times the bytes of such chunks.
MAX_BYTES_PER_COUNTED_BYTE = 2


def _allocated_bytes(fill):
    """Return the bytes that are still allocated after `fill`."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = fill()
        after, _ = tracemalloc.get_traced_memory()
        del kept
        return after - before
    finally:
        tracemalloc.stop()


class ChunkBufferTest(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from([0, 1, 100, SMALL_CHUNK_BYTES, 9000])
        )
    )
    def test_bytes_keep_their_order(self, sizes):
        """Guards against lost or reordered bytes at the joints."""
        buffer = ChunkBuffer()
        chunks = [bytes([n % 251]) * size for n, size in enumerate(sizes)]
        for data in chunks:
            buffer.append(data)
        self.assertEqual(b''.join(chunks), buffer.join())
        self.assertEqual(sum(sizes), buffer.size)
        self.assertEqual(b''.join(chunks), b''.join(buffer.take()))
        self.assertEqual((0, b''), (buffer.size, buffer.join()))

    def test_small_chunks_take_little_more_than_their_bytes(self):
        """Guards against a body in chunks of one byte that fills the memory.

        It would be counted with a fortieth of what it takes.
        """

        def fill():
            buffer = ChunkBuffer()
            for n in range(SMALL_CHUNKS):
                buffer.append(bytes([n & 255]))
            return buffer

        self.assertLess(
            _allocated_bytes(fill), SMALL_CHUNKS * MAX_BYTES_PER_COUNTED_BYTE
        )


class _Protocol:
    def on_connect(self):
        pass

    def on_data(self, data):
        pass

    def on_drain(self):
        pass

    def on_close(self, exc):
        pass


class SendQueueTest(testtools.TestCase):
    def test_small_writes_take_little_more_than_their_bytes(self):
        """Guards against a peer that does not read a response in small parts.

        What is counted as buffered must be what is held.
        """
        loop = Loop()

        def accept(conn):
            conn.pause()
            return _Protocol()

        listener = Listener(loop, '127.0.0.1', 0, accept)
        self.addCleanup(listener.close)
        conn = Conn.connect(loop, *listener.address, _Protocol())
        self.addCleanup(conn.abort)
        while not conn.buffered:
            conn.write(bytes(1 << 20))
            loop.tick(0.001)
        before = conn.buffered

        def fill():
            for n in range(SMALL_CHUNKS):
                conn.write(bytes([n & 255]))

        allocated = _allocated_bytes(fill)
        self.assertEqual(SMALL_CHUNKS, conn.buffered - before)
        self.assertLess(allocated, SMALL_CHUNKS * MAX_BYTES_PER_COUNTED_BYTE)
