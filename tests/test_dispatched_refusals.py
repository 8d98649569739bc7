"""Tests of refusals that an upstream of a dispatcher writes twice."""

from bramleysill_kernel.common.exceptions import OUTCOME_NOT_RUN
from bramleysill_net.conn import Listener
from tests.dispatch_helpers import DispatchTestCase

REFUSAL = (
    b'HTTP/1.1 503 -\r\nSill-Not-Run: 1\r\nSill-Reason: shed\r\n'
    b'Content-Length: 0\r\n\r\n'
)


class _RepeatingConn:
    """Refuses the first request, and repeats that while the next one runs."""

    def __init__(self, upstream, conn):
        self.upstream = upstream
        self.conn = conn
        self.requests = 0

    def on_connect(self):
        pass

    def on_data(self, data):
        self.requests += 1
        if self.requests > 1:
            self.upstream.runs += 1
        self.conn.write(REFUSAL)

    def on_drain(self):
        pass

    def on_close(self, exc):
        pass


class RepeatedRefusalTest(DispatchTestCase):
    runs = 0

    def test_a_repeated_refusal_is_not_believed(self):
        """Guards against 'not run' for the next request on a connection."""
        self.dispatch_to(
            Listener(
                self.loop,
                '127.0.0.1',
                0,
                lambda conn: _RepeatingConn(self, conn),
            )
        )
        for _ in range(2):
            _, sink = self.submit()
            self.wait_for(lambda sink=sink: sink.refused)
        is_denied = sink.refused.outcome == OUTCOME_NOT_RUN
        self.assertFalse(is_denied and self.runs)
