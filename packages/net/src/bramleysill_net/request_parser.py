"""Parses requests into events and rejects ambiguous framing.

httptools parses several messages within one call, so its callbacks would start
a pipelined request before the previous response is complete. The parser here
only queues events; the connection takes them when it is ready.
"""

import collections

import httptools

MAX_HEAD_BYTES = 32768
MAX_HEADERS = 100

# The kinds of events.
HEAD = 'head'
BODY = 'body'
END = 'end'
ERROR = 'error'


class HeadTooLarge(Exception):
    """The request head exceeds MAX_HEAD_BYTES or MAX_HEADERS."""


class InvalidRequest(Exception):
    """The request is ambiguous, malformed or not supported."""


class HttpRequest:
    """The head of a request; header names are lower case.

    `length` is the Content-Length, or 0 without one. `arrived_at` is when the
    head was read, in seconds.
    """

    __slots__ = (
        'method',
        'target',
        'headers',
        'length',
        'chunked',
        'closes_connection',
        'version',
        'arrived_at',
    )

    def __init__(
        self, method, target, headers, length, chunked, close, version='1.1'
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.length = length
        self.chunked = chunked
        self.closes_connection = close
        self.version = version
        self.arrived_at = 0.0

    def header(self, name, default=''):
        """Return the first value of a header field; `name` is lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    @property
    def has_content_length(self):
        """Return whether the request has a Content-Length field."""
        return any(key == 'content-length' for key, _ in self.headers)

    @property
    def has_body(self):
        """Return whether the request announces a body."""
        return self.chunked or self.length > 0


class RequestParser:
    """Parses bytes into a queue `events` of pairs `(kind, value)`.

    The value is an HttpRequest for HEAD, bytes for BODY, None for END and an
    exception for ERROR, which is the last event. Trailers are discarded.
    """

    __slots__ = (
        'events',
        '_parser',
        '_failed',
        '_url',
        '_headers',
        '_parsed_head_bytes',
        '_unparsed_bytes',
        '_in_head',
        '_message_ended',
    )

    def __init__(self):
        self.events = collections.deque()
        self._parser = httptools.HttpRequestParser(self)
        self._failed = False
        self._message_ended = False
        self._reset_head()

    def feed(self, data):
        """Parse bytes and queue their events."""
        if self._failed:
            return
        self._message_ended = False
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_unparsed_bytes()
        except httptools.HttpParserCallbackError as exc:
            # httptools wraps the exception that a callback raised.
            self._fail(exc.__context__ or exc)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            HeadTooLarge,
        ) as exc:
            self._fail(exc)

    # Called by httptools.

    def on_url(self, url):
        """Append to the request target."""
        self._url += url
        self._count_head_bytes(len(url))

    def on_header(self, name, value):
        """Collect a header field."""
        if not self._in_head:
            return
        # The 4 bytes are the colon, a space and the line end.
        self._count_head_bytes(len(name) + len(value) + 4)
        if len(self._headers) >= MAX_HEADERS:
            raise HeadTooLarge(
                f'the request has more than {MAX_HEADERS} header fields'
            )
        self._headers.append(
            (name.decode('latin-1').lower(), value.decode('latin-1'))
        )

    def on_headers_complete(self):
        """Check the framing and queue the head."""
        req = self._make_request()
        self._in_head = False
        self._unparsed_bytes = 0
        self.events.append((HEAD, req))

    def on_body(self, data):
        """Queue part of the body."""
        self._unparsed_bytes = 0
        self.events.append((BODY, data))

    def on_message_complete(self):
        """Queue the end and prepare for the next request."""
        self.events.append((END, None))
        self._message_ended = True
        self._reset_head()

    # Internal.

    def _reset_head(self):
        self._in_head = True
        self._url = b''
        self._headers = []
        self._parsed_head_bytes = 0
        # Bytes received since the last complete head or byte of a body.
        self._unparsed_bytes = 0

    def _fail(self, exc):
        self._failed = True
        self.events.append((ERROR, exc))

    def _count_head_bytes(self, size):
        self._parsed_head_bytes += size
        if self._parsed_head_bytes > MAX_HEAD_BYTES:
            raise HeadTooLarge(
                f'the request head exceeds {MAX_HEAD_BYTES} bytes'
            )

    def _check_unparsed_bytes(self):
        # httptools buffers a header field or trailer of any size before it
        # reports it, so the bytes are counted as they arrive. Data in which a
        # message ended is not counted, as it is not all head.
        if self._message_ended:
            self._unparsed_bytes = 0
        if self._unparsed_bytes > MAX_HEAD_BYTES:
            raise HeadTooLarge(
                f'the request head or trailer exceeds {MAX_HEAD_BYTES} bytes'
            )

    def _make_request(self):
        lengths = [v for k, v in self._headers if k == 'content-length']
        codings = [v for k, v in self._headers if k == 'transfer-encoding']
        self._check_framing(lengths, codings)
        version = self._parser.get_http_version()
        self._check_protocol(version, codings)
        return HttpRequest(
            self._parser.get_method().decode(),
            self._url.decode('latin-1'),
            self._headers,
            int(lengths[0]) if lengths else 0,
            bool(codings),
            not self._parser.should_keep_alive(),
            version,
        )

    def _check_framing(self, lengths, codings):
        if lengths and codings:
            raise InvalidRequest(
                'the request has both Content-Length and Transfer-Encoding'
            )
        if len(lengths) > 1:
            raise InvalidRequest(
                'the request has more than one Content-Length field'
            )
        if codings and codings != ['chunked']:
            raise InvalidRequest(
                'the only supported transfer coding is chunked'
            )
        if lengths and not lengths[0].isdecimal():
            raise InvalidRequest('Content-Length is not a decimal number')

    def _check_protocol(self, version, codings):
        if version not in ('1.1', '1.0'):
            raise InvalidRequest('the HTTP version is neither 1.0 nor 1.1')
        if version == '1.0' and codings:
            raise InvalidRequest(
                'Transfer-Encoding is not allowed in HTTP/1.0'
            )
        hosts = sum(1 for k, _ in self._headers if k == 'host')
        if hosts > 1 or (version == '1.1' and not hosts):
            raise InvalidRequest(
                'the request has no Host field or more than one'
            )
        if self._parser.should_upgrade():
            raise InvalidRequest('protocol upgrades are not supported')
