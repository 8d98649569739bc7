"""Closed-loop load of small lookups over blocking sockets.

The load does as little work as possible, so that the router limits the rate
rather than the load. Each response must contain the key that was asked for.
"""

import socket
import threading
import time


class ClosedLoopLoad:
    """Sends lookups on several connections for a number of seconds.

    `keys` are (key, unit, fence). Unit and fence are sent unless they are
    None, as a router sends them to an upstream. `latencies_us` holds the
    latencies of all requests in microseconds.
    """

    def __init__(self, address, keys, connections, seconds):
        host, _, port = address.rpartition(':')
        self._address = (host, int(port))
        self._requests = [_encode_request(*key) for key in keys]
        self._connections = connections
        self._duration_seconds = seconds
        self.seconds = 0.0
        self.failed = 0
        self.latencies_us = []

    def run(self):
        """Send requests until the duration has passed."""
        started = time.perf_counter()
        threads = [
            threading.Thread(target=self._run_connection, args=(index,))
            for index in range(self._connections)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.seconds = time.perf_counter() - started

    def _run_connection(self, index):
        deadline = time.perf_counter() + self._duration_seconds
        sock = socket.create_connection(self._address, timeout=5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        latencies = []
        try:
            while time.perf_counter() < deadline:
                index = (index + 1) % len(self._requests)
                key, data = self._requests[index]
                before = time.perf_counter()
                sock.sendall(data)
                response = _read_response(sock)
                latencies.append(int((time.perf_counter() - before) * 1e6))
                if b' 200 ' not in response[:20] or key not in response:
                    self.failed += 1
        except OSError:
            self.failed += 1
        finally:
            sock.close()
        self.latencies_us += latencies


def _encode_request(key, unit, fence):
    lines = [f'GET /ledger/{key} HTTP/1.1', 'Host: bench']
    if unit is not None:
        lines += [f'Sill-Unit: {unit}', f'Sill-Fence: {fence}']
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return f'"{key}"'.encode(), head.encode()


def _read_response(sock):
    data = sock.recv(65536)
    if not data:
        raise ConnectionResetError('connection closed before a response')
    head_end = data.find(b'\r\n\r\n')
    while head_end < 0:
        data += sock.recv(65536)
        head_end = data.find(b'\r\n\r\n')
    lower = data[:head_end].lower()
    start = lower.index(b'content-length:') + 15
    length = int(lower[start:].split(b'\r\n')[0])
    while len(data) < head_end + 4 + length:
        data += sock.recv(65536)
    return data
