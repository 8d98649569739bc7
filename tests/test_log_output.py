"""Tests of the log handler, which must never block a router."""

import logging
import os

import testtools

from bramleysill_router.log_output import MAX_REQUEST_LINES_PER_SECOND
from bramleysill_router.log_output import StandardOutputHandler


class StandardOutputTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.now = 100.0
        self.handler = StandardOutputHandler(self.writer, lambda: self.now)

    def _log(self, text, exc_info=None):
        record = logging.LogRecord(
            'x', logging.INFO, '', 0, text, (), exc_info
        )
        self.handler.emit(record)

    def _lines(self):
        return os.read(self.reader, 1 << 20).decode().splitlines()

    def test_a_line_has_time_and_level(self):
        """Guards against lines that can't be sorted by time."""
        self._log('event=started router=a')
        (line,) = self._lines()
        self.assertRegex(
            line, r'^time=\d+\.\d{3} level=info event=started router=a$'
        )

    def test_a_full_pipe_drops_lines(self):
        """Guards against a router that blocks on a slow reader of its logs."""
        for number in range(2000):
            self._log(f'event=table_written number={number} ' + 'x' * 200)
        self.assertGreater(self.handler.dropped, 0)
        self._lines()
        self._log('event=stopped')
        self.assertIn(
            f'dropped_lines={self.handler.dropped}', self._lines()[0]
        )

    def test_lines_about_requests_are_limited(self):
        """Guards against logging each request, which worsens an overload."""
        for _ in range(MAX_REQUEST_LINES_PER_SECOND + 5):
            self._log('event=request_refused id=1')
        self.assertEqual(5, self.handler.dropped)
        self._log('event=leader_elected')
        self.assertEqual(5, self.handler.dropped)
        self.now += 1.0
        self._log('event=request_refused id=2')
        self.assertEqual(5, self.handler.dropped)

    def test_an_exception_stays_on_its_line(self):
        """Guards against tracebacks that are interleaved with other lines."""
        try:
            raise ValueError('a\nb')
        except ValueError as exc:
            self._log('event=timer_error', (type(exc), exc, exc.__traceback__))
        (line,) = self._lines()
        self.assertIn('ValueError: a | b', line)
