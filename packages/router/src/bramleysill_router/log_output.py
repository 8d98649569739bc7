"""Writes log lines to standard output without ever waiting for it.

A line is dropped when the reader of the output is behind, or when lines
about requests come faster than a limit. What was dropped is counted and
told with the next line that gets through.
"""

import logging
import os
import select
import sys
import time

# A pipe takes a line of this length at once or not at all (PIPE_BUF).
MAX_LINE_BYTES = 4096
# Lines about single requests; twice the requests/s of a router today.
REQUEST_LINES_PER_SECOND = 200
# Events that each request can cause.
REQUEST_EVENT_PREFIXES = (
    'event=request',
    'event=attempt',
    'event=key_missing',
)


class StandardOutputHandler(logging.Handler):
    """A handler that drops lines instead of blocking.

    `dropped` counts the lines that were lost since the start.
    """

    def __init__(self, fileno=None, now=time.monotonic):
        super().__init__()
        self.dropped = 0
        self._reported = 0
        self._fileno = sys.stdout.fileno() if fileno is None else fileno
        self._poll = select.poll()
        self._poll.register(self._fileno, select.POLLOUT)
        self._now = now
        self._current_second = 0
        self._lines_in_second = 0

    def emit(self, record):
        """Write a record as one line, or count it as dropped."""
        try:
            text = record.getMessage()
            if record.exc_info:
                text += f' trace="{_one_line(record.exc_info)}"'
        except Exception:
            self.handleError(record)
            return
        if (
            text.startswith(REQUEST_EVENT_PREFIXES)
            and not self._is_within_limit()
        ):
            self.dropped += 1
            return
        self._write(record, text)

    def _is_within_limit(self):
        second = int(self._now())
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        return self._lines_in_second <= REQUEST_LINES_PER_SECOND

    def _write(self, record, text):
        if self.dropped > self._reported:
            text += f' dropped_lines={self.dropped}'
        level = record.levelname.lower()
        line = f'time={record.created:.3f} level={level} {text}'
        data = line.encode('utf-8', 'replace')[: MAX_LINE_BYTES - 1] + b'\n'
        if not self._poll.poll(0):
            self.dropped += 1
            return
        try:
            os.write(self._fileno, data)
            self._reported = self.dropped
        except OSError:
            # The reader has gone; there is nobody to tell.
            self.dropped += 1


def _one_line(exc_info):
    text = logging.Formatter().formatException(exc_info)
    return ' | '.join(text.splitlines()).replace('"', "'")


def log_to_standard_output():
    """Send all log lines to standard output; returns the handler."""
    handler = StandardOutputHandler()
    root = logging.getLogger()
    for other in list(root.handlers):
        root.removeHandler(other)
    root.addHandler(handler)
    return handler
