"""Measures the peak memory of a gateway router with many slow callers.

A router process gets requests over loopback from this process, which also is
its upstream. First, callers upload bodies that the upstream does not read.
Then, as many callers request large responses and do not read them. The result
is the growth of the router's peak resident memory, and how many requests were
refused. Usage:

    python -m bench.slow_callers [CALLERS [MEMORY_MB]]

Without MEMORY_MB the router has no memory budget.
"""

import pathlib
import re
import socket
import subprocess
import sys
import time

from bramleysill_net.conn import Listener
from bramleysill_net.loop import Loop
from tests.gateway_helpers import REQUEST_ID_HEADER
from tests.gateway_helpers import SIGNATURE_LINE
from tests.gateway_helpers import GatewayTestCase

DEFAULT_CALLERS = 100
BODY_BYTES = 64 << 20
PHASE_SECONDS = 3.0
UPSTREAM_ENTRIES = 20
CHUNK = bytes(64 << 10)


class _Router(GatewayTestCase):
    """The router process; runs until its parent ends it."""

    def runTest(self):
        """Serve until the process is ended."""

    def serve(self, upstream_port, memory_mb):
        """Print the port and serve."""
        self.setUp()
        self.state.config.limits.body_bytes = BODY_BYTES
        for route in self.state.config.routes:
            route.max_wait = 60.0
            route.priority = 2
        if memory_mb is not None:
            # Imported here, so that the bench also runs with older releases.
            from bramleysill_gateway.router_memory import RouterMemory
            from bramleysill_kernel.load.memory_budget import budget_bytes

            self.frontend.memory = RouterMemory(
                self.loop, budget_bytes(memory_mb), self.metrics
            )
        upstream = _Address(upstream_port)
        # As many that admission refuses nobody.
        for number in range(UPSTREAM_ENTRIES):
            self.register_upstream(f'u{number}', upstream)
        print(self.listener.address[1], flush=True)
        self.loop.run()


class _Address:
    def __init__(self, port):
        self.listener = self
        self.address = ('127.0.0.1', port)


class _UpstreamConn:
    """Reads no upload; responds to a GET with a large body."""

    def __init__(self, conn):
        self._conn = conn
        self._data = b''
        self._left = 0

    def on_connect(self):
        """Do nothing."""

    def on_data(self, data):
        """Stop reading an upload; start to respond to a GET."""
        self._data += data
        if b'\r\n\r\n' not in self._data:
            return
        if self._data.startswith(b'POST'):
            self._conn.pause()
            return
        text = self._data.decode('latin-1')
        request_id = re.search(rf'{REQUEST_ID_HEADER}: (\S+)', text)[1]
        self._left = BODY_BYTES
        self._conn.write(
            f'HTTP/1.1 200 OK\r\n{REQUEST_ID_HEADER}: {request_id}\r\n'
            f'{SIGNATURE_LINE}Content-Length: {BODY_BYTES}\r\n\r\n'.encode()
        )
        self.on_drain()

    def on_drain(self):
        """Send more of the response."""
        while self._left > 0 and not self._conn.buffered:
            self._left -= len(CHUNK)
            self._conn.write(CHUNK)

    def on_close(self, exc):
        """Do nothing."""


class _Caller:
    """Sends a request and as much of its body as is accepted."""

    def __init__(self, port, number, is_upload):
        self.sock = socket.create_connection(('127.0.0.1', port))
        self.sock.setblocking(False)
        method = 'POST' if is_upload else 'GET'
        framing = f'Content-Length: {BODY_BYTES}\r\n' if is_upload else ''
        self.sock.send(
            f'{method} /write/x HTTP/1.1\r\nHost: h\r\n{REQUEST_ID_HEADER}: '
            f'r{number}\r\n{framing}\r\n'.encode()
        )
        self.refused = False
        self._is_upload = is_upload

    def step(self):
        """Send more; read only what shows a refusal."""
        if self.refused:
            return
        try:
            if self._is_upload:
                self.sock.send(CHUNK)
            if self.sock.recv(20, socket.MSG_PEEK).startswith(b'HTTP/1.1 503'):
                self.refused = True
        except BlockingIOError:
            pass
        except OSError:
            self.refused = True


def _status_kb(pid, name):
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(re.search(rf'{name}:\s+(\d+)', text)[1])


def _phase(loop, port, callers, is_upload):
    """Run one phase; return the number of refused callers."""
    found = [_Caller(port, n, is_upload) for n in range(callers)]
    end = time.monotonic() + PHASE_SECONDS
    while time.monotonic() < end:
        for caller in found:
            caller.step()
        loop.tick(0.001)
    for caller in found:
        caller.sock.close()
    return sum(caller.refused for caller in found)


def run(callers, memory_mb):
    """Return the refusals, and the resident memory of the router in KB."""
    loop = Loop()
    listener = Listener(loop, '127.0.0.1', 0, _UpstreamConn)
    command = [sys.executable, '-m', 'bench.slow_callers', 'serve']
    command.append(str(listener.address[1]))
    command += [] if memory_mb is None else [str(memory_mb)]
    router = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
    )
    try:
        port = int(router.stdout.readline())
        found = {'start_kb': _status_kb(router.pid, 'VmRSS')}
        for name, is_upload in (('uploads', True), ('downloads', False)):
            # Resets the peak.
            pathlib.Path(f'/proc/{router.pid}/clear_refs').write_text('5')
            refused = _phase(loop, port, callers, is_upload)
            found[name] = {
                'callers': callers,
                'refused': refused,
                'peak_kb': _status_kb(router.pid, 'VmHWM'),
            }
    finally:
        router.kill()
        router.wait()
    return found


def main(argv):
    """Serve as the router, or run the benchmark and print the result."""
    if argv[:1] == ['serve']:
        memory_mb = float(argv[2]) if argv[2:] else None
        _Router().serve(int(argv[1]), memory_mb)
        return
    callers = int(argv[0]) if argv else DEFAULT_CALLERS
    memory_mb = float(argv[1]) if argv[1:] else None
    print(run(callers, memory_mb))


if __name__ == '__main__':
    main(sys.argv[1:])
