"""Uploads of 1.5 MiB in chunks whose content looks like HTTP.

Without the disruption the same uploads are sent with a length.
"""

import collections
import hashlib
import random

import client
import harness

UPLOADS = 8
BODY_BYTES = 1536 << 10


def recorded_transfer(smuggled):
    """Return a file with a recording of an HTTP connection in it."""
    letter = b'Dear Mei, the capsule will be opened in spring.'
    head = (
        f'POST /upload/smuggled HTTP/1.1\r\nHost: {harness.HOST}\r\n'
        f'{harness.ID_HEADER}: {smuggled}\r\nContent-Length: 12\r\n\r\n'
    )
    start = b'%x\r\n%s\r\n0\r\n\r\n' % (len(letter), letter)
    start += head.encode() + b'not asked...'
    return start + random.randbytes(BODY_BYTES - len(start))


def scenario(record, cell):
    """Return whether the server ran what nobody sent."""
    chunked = harness.trouble_wanted()
    cell.start_store()
    cell.put(
        'op/config',
        harness.make_config(1, ['intake'], [('upload', 'upload', 'intake')]),
    )
    ledger = cell.start_server(1, 'intake')
    host, _ = cell.start_router(1)
    cell.wait_ready()
    sent = {}
    statuses = collections.Counter()
    for number in range(UPLOADS):
        request = harness.new_id()
        # Every second upload is an ordinary binary file.
        if number % 2:
            body = random.randbytes(BODY_BYTES)
        else:
            body = recorded_transfer(harness.new_id())
        sent[request] = hashlib.sha256(body).hexdigest()[:16]
        record.write(
            f'sent {request} POST /upload/{number} {len(body)} bytes, digest '
            f'{sent[request]}, {"in chunks" if chunked else "with a length"}, '
            f'{"binary file" if number % 2 else "recorded transfer"}'
        )
        answer = client.send(
            host,
            'POST',
            f'/upload/{number}',
            request,
            body,
            chunked=chunked,
            pace=0.02,
        )
        statuses[answer.status] += 1
        record.write(f'answered {request} {answer.status}')
    broken = 0
    for event in harness.read_ledger(ledger):
        record.write(f'server: {event}')
        if event['event'] != 'run':
            continue
        if event['id'] not in sent:
            broken += 1
            record.write(f'UNASKED: nobody sent {event["id"]}')
        elif event['digest'] != sent[event['id']]:
            broken += 1
            record.write(f'UNASKED: {event["id"]} ran with another body')
    record.write(f'statuses {dict(statuses)}, rule broken {broken} times')
    return harness.BROKEN if broken else harness.HELD


harness.run(scenario)
