"""Parses requests into events and refuses ambiguous framing.

httptools goes on to the next message within one call, so a pipelined
request would start before the answer to the one before it. The parser here
only queues events; the connection takes them when it is ready.
"""

import collections

import httptools

MAX_HEAD_BYTES = 32768
MAX_HEADERS = 100

HEAD = 'head'
BODY = 'body'
END = 'end'
ERROR = 'error'


class HeadTooLarge(Exception):
    """The request head exceeds MAX_HEAD_BYTES or MAX_HEADERS."""


class InvalidRequest(Exception):
    """The framing can be read in two ways, or is not supported."""


class HttpRequest:
    """Head of one request. Header names are lower case."""

    __slots__ = (
        'method',
        'target',
        'headers',
        'length',
        'chunked',
        'close',
        'version',
    )

    def __init__(
        self, method, target, headers, length, chunked, close, version='1.1'
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.length = length
        self.chunked = chunked
        self.close = close
        self.version = version

    def header(self, name, default=''):
        """Return the first header of that lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    @property
    def has_content_length(self):
        """Tell whether the request has a Content-Length field."""
        return any(key == 'content-length' for key, _ in self.headers)

    @property
    def has_body(self):
        """Tell whether the request announces a body."""
        return self.chunked or self.length > 0


class RequestParser:
    """Turns bytes into events `(kind, value)` in `events`.

    The values are an HttpRequest for HEAD, bytes for BODY, None for END and
    an exception for ERROR, after which nothing follows. Trailers are
    dropped.
    """

    __slots__ = (
        'events',
        '_parser',
        '_failed',
        '_url',
        '_headers',
        '_head_bytes',
        '_raw_head_bytes',
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
        """Parse bytes and queue what they contain."""
        if self._failed:
            return
        self._message_ended = False
        try:
            self._parser.feed_data(data)
            self._check_unfinished_head(len(data))
        except httptools.HttpParserCallbackError as exc:
            self._fail(exc.__context__ or exc)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            HeadTooLarge,
        ) as exc:
            self._fail(exc)

    # Called by httptools.

    def on_url(self, url):
        """Collect the target."""
        self._url += url
        self._count_head_bytes(len(url))

    def on_header(self, name, value):
        """Collect a header."""
        if not self._in_head:
            return
        self._count_head_bytes(len(name) + len(value) + 4)
        if len(self._headers) >= MAX_HEADERS:
            raise HeadTooLarge(f'more than {MAX_HEADERS} headers')
        self._headers.append(
            (name.decode('latin-1').lower(), value.decode('latin-1'))
        )

    def on_headers_complete(self):
        """Check the framing and queue the head."""
        req = self._make_request()
        self._in_head = False
        self.events.append((HEAD, req))

    def on_body(self, data):
        """Queue a piece of the body."""
        self.events.append((BODY, data))

    def on_message_complete(self):
        """Queue the end; later bytes belong to the next request."""
        self.events.append((END, None))
        self._message_ended = True
        self._reset_head()

    # Internal.

    def _reset_head(self):
        self._in_head = True
        self._url = b''
        self._headers = []
        self._head_bytes = 0
        self._raw_head_bytes = 0

    def _fail(self, exc):
        self._failed = True
        self.events.append((ERROR, exc))

    def _count_head_bytes(self, size):
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            raise HeadTooLarge(f'head of more than {MAX_HEAD_BYTES} bytes')

    def _check_unfinished_head(self, size):
        # httptools collects one header without limit before it reports it,
        # so bytes of an unfinished head are counted as they arrive.
        if not self._in_head or self._message_ended:
            return
        self._raw_head_bytes += size
        if self._raw_head_bytes > MAX_HEAD_BYTES:
            raise HeadTooLarge(f'head of more than {MAX_HEAD_BYTES} bytes')

    def _make_request(self):
        lengths = [v for k, v in self._headers if k == 'content-length']
        codings = [v for k, v in self._headers if k == 'transfer-encoding']
        self._check_framing(lengths, codings)
        version = self._parser.get_http_version()
        self._check_version(version, codings)
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
            raise InvalidRequest('both Content-Length and Transfer-Encoding')
        if len(lengths) > 1:
            raise InvalidRequest('more than one Content-Length')
        if codings and codings != ['chunked']:
            raise InvalidRequest('a transfer coding other than chunked')
        if lengths and not lengths[0].isdecimal():
            raise InvalidRequest('a malformed Content-Length')

    def _check_version(self, version, codings):
        if version not in ('1.1', '1.0'):
            raise InvalidRequest('a version other than HTTP/1.1')
        if version == '1.0' and codings:
            raise InvalidRequest('Transfer-Encoding in HTTP/1.0')
        hosts = sum(1 for k, _ in self._headers if k == 'host')
        if hosts > 1 or (version == '1.1' and not hosts):
            raise InvalidRequest('not exactly one Host header')
        if self._parser.should_upgrade():
            raise InvalidRequest('an upgrade, which is not supported')
