"""Servers turn some long uploads away before their bodies are in.

Two of three servers do so with two in five long uploads; they keep the
connection and read the rest later. Without the disruption they read the body
first. Short requests of other callers go on all the while.
"""

import collections
import threading
import time

import client
import harness

UPLOADS = 10
UPLOAD_BYTES = 4 << 20
SHORT_BODY = b'capsule 4711 released to the family Chen'
SHORT_INTERVAL_SECONDS = 0.15


def scenario(record, cell):
    """Return whether foreign bytes came where the rest of a body was due."""
    trouble = harness.trouble_wanted()
    cell.start_store()
    cell.put(
        'op/config',
        harness.make_config(
            1,
            ['intake'],
            [
                ('upload', 'upload', 'intake'),
                ('record', 'non_idempotent', 'intake'),
            ],
        ),
    )
    option = '--early' if trouble else '--late'
    ledgers = [
        cell.start_server(1, 'intake', option),
        cell.start_server(2, 'intake', option),
        cell.start_server(3, 'intake'),
    ]
    host, _ = cell.start_router(1)
    cell.wait_ready()
    statuses = collections.Counter()
    uploads = collections.Counter()
    done = threading.Event()

    def send_short():
        request = harness.new_id()
        answer = client.send(
            host, 'POST', '/record/1', request, SHORT_BODY, deadline_ms=3000
        )
        statuses[answer.status] += 1
        record.write(f'short request {request} answered {answer.status}')

    def send_short_requests():
        while not done.is_set():
            threading.Thread(target=send_short, daemon=True).start()
            done.wait(SHORT_INTERVAL_SECONDS)

    threading.Thread(target=send_short_requests, daemon=True).start()
    time.sleep(1.0)
    for _ in range(UPLOADS):
        request = harness.new_id()
        body = (request * (UPLOAD_BYTES // len(request) + 1)).encode()
        record.write(f'upload {request} of {UPLOAD_BYTES} bytes begins')
        answer = client.send(
            host,
            'POST',
            '/upload/1',
            request,
            body[:UPLOAD_BYTES],
            pace=0.03,
        )
        uploads[answer.status] += 1
        record.write(f'upload {request} answered {answer.status}')
        time.sleep(1.0)
    done.set()
    time.sleep(4.5)
    broken = 0
    for event in [e for path in ledgers for e in harness.read_ledger(path)]:
        if event['event'] != 'run':
            record.write(f'server: {event}')
        if event.get('foreign'):
            broken += 1
            record.write(
                f'UNASKED: other bytes came in the body of {event["id"]}'
            )
    record.write(
        f'uploads by status {dict(uploads)}, short requests by status '
        f'{dict(statuses)}, rule broken {broken} times'
    )
    return harness.BROKEN if broken else harness.HELD


harness.run(scenario)
