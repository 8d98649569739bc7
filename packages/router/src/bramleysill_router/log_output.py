"""A log handler that writes to standard output and never blocks.

A line is dropped if the output is not writable, or if it belongs to a single
request and the limit for such lines has been reached in the current second.
The handler counts the dropped lines and appends the count, as `dropped_lines`,
to the next line that it writes.
"""

import logging
import os
import select
import sys
import time

# A pipe takes a write of up to this length (PIPE_BUF) at once or not at all.
MAX_LINE_BYTES = 4096
# Limit of the lines about single requests: twice the request rate of a router
# today.
MAX_REQUEST_LINES_PER_SECOND = 200
# Prefixes of the lines that any single request can cause.
REQUEST_EVENT_PREFIXES = (
    'event=request',
    'event=attempt',
    'event=key_missing',
)


class StandardOutputHandler(logging.Handler):
    """Writes log records to a file descriptor; drops them if it would block.

    `dropped` counts the lines that were dropped since the start.
    """

    def __init__(self, fileno=None, now=time.monotonic):
        super().__init__()
        self.dropped = 0
        self._reported_dropped = 0
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
        return self._lines_in_second <= MAX_REQUEST_LINES_PER_SECOND

    def _write(self, record, text):
        if self.dropped > self._reported_dropped:
            text += f' dropped_lines={self.dropped}'
        level = record.levelname.lower()
        line = f'time={record.created:.3f} level={level} {text}'
        data = line.encode('utf-8', 'replace')[: MAX_LINE_BYTES - 1] + b'\n'
        if not self._poll.poll(0):
            self.dropped += 1
            return
        try:
            os.write(self._fileno, data)
            self._reported_dropped = self.dropped
        except OSError:
            # The reader has closed the pipe, so the error cannot be logged.
            self.dropped += 1


def _one_line(exc_info):
    text = logging.Formatter().formatException(exc_info)
    return ' | '.join(text.splitlines()).replace('"', "'")


def log_to_standard_output():
    """Replace the root logger's handlers by one for standard output.

    Returns the handler.
    """
    handler = StandardOutputHandler()
    root = logging.getLogger()
    for other in list(root.handlers):
        root.removeHandler(other)
    root.addHandler(handler)
    return handler
