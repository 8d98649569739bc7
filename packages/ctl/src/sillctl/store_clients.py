"""Synchronous clients of the platform's store.

A client is registered under the URL scheme of its addresses; the default
scheme is `http`. It has these methods:

- `read(key)` returns a `StoreValue`, with version 0 if the key is missing;
- `write(key, data, expected)` returns the new version and raises
  StoreConflict if the current version is not `expected`;
- `pause()` sleeps between two reads of a value that may still change.

`read` and `write` raise StoreNotReached if nothing was sent, and
StoreUnavailable if the reply was lost. A client never repeats a write.
"""

import dataclasses
import http.client
import time
import urllib.parse

from bramleysill_kernel.common import exceptions
from bramleysill_kernel.common.registry import Registry
from sillctl.exceptions import StoreNotReached

store_clients = Registry('store client')

DEFAULT_SCHEME = 'http'
SOCKET_TIMEOUT_SECONDS = 5.0
REREAD_DELAY_SECONDS = 0.5
MAX_PORT = 65535
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
MIN_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(slots=True, frozen=True)
class StoreValue:
    """A stored value and its version; version 0 means a missing key."""

    data: bytes
    version: int


def open_store(address):
    """Return a client for `[SCHEME://]ADDRESS`; raises SettingsError."""
    scheme, separator, rest = address.partition('://')
    if not separator:
        scheme, rest = DEFAULT_SCHEME, address
    return store_clients.get(scheme)(rest)


def parse_address(address):
    """Return host and port of `host:port`; raises SettingsError."""
    host, _, port = address.rpartition(':')
    if not host or not (port.isascii() and port.isdigit()):
        raise exceptions.SettingsError(
            f'{address!r} is not host:port',
            'settings',
            hint='Write HOST:PORT.',
        )
    # Six digits exceed MAX_PORT already; int() refuses very long strings.
    if not 1 <= int(port[:6]) <= MAX_PORT:
        raise exceptions.SettingsError(
            f'port {port} is not between 1 and {MAX_PORT}', 'settings'
        )
    return host.strip('[]'), int(port)


@store_clients.register('http')
class HttpStore:
    """A client of the protocol in docs/platform-protocol.md.

    Each call uses a connection of its own.
    """

    __slots__ = ('address', '_host', '_port')

    def __init__(self, address):
        self.address = address
        self._host, self._port = parse_address(address)

    def read(self, key):
        """Return the StoreValue of a key."""
        status, version, data = self._call('GET', key)
        if status == STATUS_NOT_FOUND:
            return StoreValue(b'', 0)
        if status != STATUS_OK:
            raise self._status_error(status, 'read')
        return StoreValue(data, version)

    def write(self, key, data, expected):
        """Replace the value of version `expected`; return the new version."""
        status, version, _ = self._call(
            'PUT', f'{key}?expected={expected}', data
        )
        if status == STATUS_CONFLICT:
            raise exceptions.StoreConflict(key, version)
        if status != STATUS_OK:
            raise self._status_error(status, 'write')
        return version

    def pause(self):
        """Sleep before a value is read again."""
        time.sleep(REREAD_DELAY_SECONDS)

    def _status_error(self, status, step):
        cls = exceptions.StoreError
        if status >= MIN_SERVER_ERROR_STATUS:
            cls = exceptions.StoreUnavailable
        return cls(
            f'the store responded with status {status}', step, self.address
        )

    def _connect(self):
        conn = http.client.HTTPConnection(
            self._host, self._port, timeout=SOCKET_TIMEOUT_SECONDS
        )
        try:
            conn.connect()
        except OSError as exc:
            raise StoreNotReached(
                f'no connection to the store: {exc}', 'connect', self.address
            ) from exc
        return conn

    def _call(self, method, path, body=None):
        path = urllib.parse.quote(path, safe='/?=')
        conn = self._connect()
        try:
            conn.request(method, f'/v1/kv/{path}', body)
            response = conn.getresponse()
            data = response.read()
            version = int(response.headers.get('X-Version', 0))
            return response.status, version, data
        except (OSError, http.client.HTTPException, ValueError) as exc:
            raise exceptions.StoreUnavailable(
                f'no reply from the store: {exc!r}', method, self.address
            ) from exc
        finally:
            conn.close()
