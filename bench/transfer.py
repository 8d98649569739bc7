"""Measures the peak memory of routers during transfers of large bodies.

A request buffers at most 256 KB per direction (design section 7), whatever
the length of the body. Three transfers of 200 MB go through a cell on
loopback: an upload, a download, and a download that the caller reads slowly.
The result is the growth of each router's peak resident memory.
"""

import http.client
import pathlib
import re
import tempfile
import time

from demo.cell import Cell
from demo.processes import ProcessGroup

BODY_BYTES = 200 << 20
CHUNK = bytes(1 << 20)
SLOW_DOWNLOAD_SECONDS = 3.0
SLOW_READ_BYTES = 65536


def _peak_kb(pid):
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+)', text)[1])


def _chunks():
    for _ in range(BODY_BYTES // len(CHUNK)):
        yield CHUNK


def _upload(address):
    conn = http.client.HTTPConnection(address, timeout=60)
    headers = {'Content-Length': str(BODY_BYTES)}
    conn.request('PUT', '/intake/large', body=_chunks(), headers=headers)
    response = conn.getresponse()
    response.read()
    conn.close()
    return response.status


def _download(address, seconds):
    """Read the body for at most `seconds`; return the status.

    If that is at most SLOW_DOWNLOAD_SECONDS, pause after each read.
    """
    conn = http.client.HTTPConnection(address, timeout=60)
    conn.request('GET', f'/intake/large?bytes={BODY_BYTES}')
    response = conn.getresponse()
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline and response.read(SLOW_READ_BYTES):
        if seconds <= SLOW_DOWNLOAD_SECONDS:
            time.sleep(0.01)
    conn.close()
    return response.status


def run(bin_dir):
    """Run the transfers; return statuses and the memory growth in KB."""
    with (
        tempfile.TemporaryDirectory(prefix='sill-bench-') as directory,
        ProcessGroup(directory) as group,
    ):
        cell = Cell(group, bin_dir)
        cell.start(['tw-a', 'tw-b'], ledgers=1, routers=1)
        pids = [r.process.pid for r in cell.routers]
        address = cell.routers[0].address
        before = [_peak_kb(pid) for pid in pids]
        statuses = {
            'upload': _upload(address),
            'download': _download(address, 60.0),
            'slow download': _download(address, SLOW_DOWNLOAD_SECONDS),
        }
        after = [_peak_kb(pid) for pid in pids]
    grown = [b - a for a, b in zip(before, after, strict=True)]
    return {'statuses': statuses, 'before_kb': before, 'grown_kb': grown}


def main(bin_dir='.venv/bin'):
    """Run the benchmark and print the result."""
    print(run(pathlib.Path(bin_dir)))


if __name__ == '__main__':
    main()
