"""The response to one request on a server connection.

Responses are sent in the order of their requests. What is written to a
response while an earlier one is incomplete is held back.
"""

from absl import logging

from bramleysill_net.chunk_buffer import ChunkBuffer

_REASON_PHRASES = {
    100: 'Continue',
    200: 'OK',
    201: 'Created',
    202: 'Accepted',
    204: 'No Content',
    304: 'Not Modified',
    400: 'Bad Request',
    403: 'Forbidden',
    404: 'Not Found',
    405: 'Method Not Allowed',
    409: 'Conflict',
    410: 'Gone',
    412: 'Precondition Failed',
    413: 'Content Too Large',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


def encode_head(status, headers, reason=''):
    """Return the bytes of a response head."""
    reason = reason or _REASON_PHRASES.get(status, 'Status')
    lines = [f'HTTP/1.1 {status} {reason}\r\n']
    lines += [f'{k}: {v}\r\n' for k, v in headers]
    lines.append('\r\n')
    return ''.join(lines).encode('latin-1')


class ResponseStream:
    """The response to one request.

    Writes are ignored after the response is complete or the connection has
    closed, so that late data cannot become part of another response. If
    `on_drained` is set, it is called when the send buffer has become empty.
    If `on_flushed` is set, it is called once when no byte of the response is
    held any more: the kernel has accepted all, or the connection has closed.
    `sink` receives the request's body.
    """

    __slots__ = (
        'sink',
        'aborted',
        '_server_conn',
        '_req',
        '_held',
        '_is_first',
        'started',
        'finished',
        'closed',
        'on_drained',
        'on_flushed',
        '_chunked',
        '_remaining_bytes',
        '_keep_alive',
        '_is_bodiless',
    )

    def __init__(self, server, req, is_first=True):
        self.sink = None
        # Whether the connection must be reset at this response.
        self.aborted = False
        # Data that waits until all earlier responses are complete.
        self._held = ChunkBuffer()
        self._is_first = is_first
        self._server_conn = server
        self._req = req
        self.started = False
        self.finished = False
        self.closed = False
        self.on_drained = None
        self.on_flushed = None
        self._chunked = False
        # Body bytes still to be written; None without a Content-Length.
        self._remaining_bytes = None
        self._keep_alive = req is not None and not req.closes_connection
        self._is_bodiless = req is not None and req.method == 'HEAD'

    @property
    def has_request(self):
        """Return whether the head of a request was read."""
        return self._req is not None

    @property
    def peer(self):
        """Return the caller's address."""
        return self._server_conn.conn.peer

    @property
    def buffered(self):
        """Return the number of bytes that the kernel has not accepted yet."""
        if not self._is_first:
            return self._held.size
        return self._server_conn.conn.buffered

    @property
    def keeps_connection(self):
        """Return whether the connection stays open after this response."""
        return self._keep_alive

    @property
    def reading(self):
        """Return whether data from the caller is read."""
        return self._server_conn.conn.reading

    def disable_keep_alive(self):
        """Close the connection after this response."""
        self._keep_alive = False

    def start(self, status, headers, length=None):
        """Send the head of the response.

        Without a length the body is chunked or, for HTTP/1.0, delimited by
        the end of the connection.
        """
        if self.closed or self.started:
            return
        self.started = True
        headers = list(headers)
        if status in (204, 304):
            self._is_bodiless = True
        elif length is not None:
            self._remaining_bytes = length
            headers.append(('Content-Length', str(length)))
        elif self._req is not None and self._req.version == '1.0':
            self._keep_alive = False
        else:
            self._chunked = True
            headers.append(('Transfer-Encoding', 'chunked'))
        if not self._keep_alive:
            headers.append(('Connection', 'close'))
        self._write(encode_head(status, headers))

    def write(self, data):
        """Send part of the body; reset the connection if it is too long."""
        if self.closed or self.finished or self._is_bodiless or not data:
            return
        if self._remaining_bytes is not None:
            self._remaining_bytes -= len(data)
            if self._remaining_bytes < 0:
                logging.error('event=response_too_long step=response')
                self.abort()
                return
        if self._chunked:
            self._write(b'%x\r\n' % len(data) + data + b'\r\n')
        else:
            self._write(data)

    def end(self):
        """Complete the response; reset the connection if it is too short.

        Otherwise the caller would read the next response as the rest of
        this one.
        """
        if self.closed or self.finished:
            return
        if not self.started or (
            self._remaining_bytes and not self._is_bodiless
        ):
            logging.error('event=response_incomplete step=response')
            self.abort()
            return
        self.finished = True
        if self._chunked and not self._is_bodiless:
            self._write(b'0\r\n\r\n')
        self._server_conn.finish_response(self)

    def send(self, status, headers, body=b''):
        """Send a complete response in one write."""
        if self.closed or self.started:
            return
        self.started = True
        self.finished = True
        # Before the head, which tells whether the connection closes.
        self._server_conn.finish_reading(self)
        headers = list(headers)
        if status in (204, 304):
            self._is_bodiless = True
        else:
            headers.append(('Content-Length', str(len(body))))
        if not self._keep_alive:
            headers.append(('Connection', 'close'))
        data = encode_head(status, headers)
        if not self._is_bodiless:
            data += body
        self._write(data)
        self._server_conn.finish_response(self)

    def abort(self):
        """Reset the connection, so that a partial response is recognised.

        Earlier responses are completed before. Does nothing once the response
        is complete, as the connection may then already serve another request.
        """
        if self.closed or self.finished:
            return
        self.aborted = True
        if self._is_first:
            self._server_conn.conn.abort()

    def pause(self):
        """Pause reading the request's body."""
        if not self.closed and not self.finished:
            self._server_conn.conn.pause()

    def resume(self):
        """Resume reading the request's body."""
        if not self.closed and not self.finished:
            self._server_conn.resume_body()

    def notify_drain(self):
        """Call `on_drained`, if set."""
        if self.on_drained is not None:
            self.on_drained()

    def notify_flushed(self):
        """Call `on_flushed` once, if set."""
        callback, self.on_flushed = self.on_flushed, None
        if callback is not None:
            callback()

    def become_first(self):
        """Send what was held back; all earlier responses are complete."""
        self._is_first = True
        for data in self._held.take():
            if not self.closed:
                self._server_conn.conn.write(data)
        if not self.closed and not self._server_conn.conn.buffered:
            self.notify_drain()

    def _write(self, data):
        if self._is_first:
            self._server_conn.conn.write(data)
            return
        self._held.append(data)
