"""A server stand-in that reads HTTP/1.1 requests exactly as they are framed.

It registers in the store, runs requests and answers them, and writes to a
ledger what it has run. Its options:

--early   two in five requests whose body is longer than 1 MiB are turned away
          before their body is in; the connection is kept and the rest is read
          later
--late    the same, but the body is read before the request is turned away
--work S  an upload takes S seconds of work, which begins with its head
--stream  it reads the body of an upload as its work ends instead of before
"""

import argparse
import asyncio
import base64
import hashlib
import http.client
import json
import socket
import time

HEARTBEAT_SECONDS = 0.4
WORK_SECONDS = 0.02
IDLE_SECONDS = 10
# With --early and --late, requests with a longer body than this are turned
# away, those with these numbers of each five.
LONG_BODY_BYTES = 1 << 20
TURNED_AWAY_OF_FIVE = (0, 2)
# A request with a longer body than this is an upload for --work.
UPLOAD_BYTES = 100_000
WINDOW_BYTES = 64 << 10
# How much of a long body is in before the early answer, and how long after it
# the rest is read.
EARLY_BYTES = 256 << 10
READ_ON_SECONDS = 0.5


class Malformed(Exception):
    """The bytes are no request."""


class Server:
    """One server process of a service without keys."""

    def __init__(self, options):
        self.options = options
        self._ledger = open(options.ledger, 'a', encoding='utf-8')
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0
        self._long_requests = 0

    def note(self, event, **values):
        """Write a line to the ledger."""
        self._ledger.write(json.dumps({'event': event, **values}) + '\n')
        self._ledger.flush()

    async def run(self):
        """Serve until the process is ended."""
        host, port = self.options.address.split(':')
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.options.stream:
            # A small window: a peer that does not read blocks the writer.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.bind((host, int(port)))
        server = await asyncio.start_server(self._serve, sock=sock)
        asyncio.create_task(self._beat())
        await server.serve_forever()

    async def _beat(self):
        while True:
            await asyncio.to_thread(self._register)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _register(self):
        self._sequence += 1
        entry = {
            'service': self.options.service,
            'address': self.options.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
            'warmup_left': '0ms',
            'sequence': self._sequence,
            'born': self._born,
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        key = f'servers/{self.options.id}'
        body = json.dumps({'puts': [{'key': key, 'value': value}]})
        host, port = self.options.store.split(':')
        try:
            conn = http.client.HTTPConnection(host, int(port), timeout=2)
            conn.request('POST', '/soak/write', body)
            conn.getresponse().read()
            conn.close()
        except OSError:
            pass

    async def _serve(self, reader, writer):
        try:
            while await self._serve_one(reader, writer):
                pass
        except Malformed as exc:
            self.note('malformed', error=str(exc))
            writer.write(
                b'HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n'
                b'Connection: close\r\n\r\n'
            )
        except (OSError, asyncio.IncompleteReadError) as exc:
            self.note('connection_ended', error=type(exc).__name__)
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError as exc:
            if exc.partial:
                self.note('malformed', error='the head is cut short')
            return False
        except asyncio.LimitOverrunError as exc:
            raise Malformed('the head is too long') from exc
        method, path, headers = parse_head(head)
        if path == '/health':
            await self._answer(writer, 200, headers, [])
            return True
        turned_away = self._is_turned_away(headers)
        if turned_away and self.options.early:
            await self._turn_away_early(reader, writer, headers)
            return True
        upload = int(headers.get('content-length', 0)) > UPLOAD_BYTES
        if upload:
            self.note('begins', id=headers.get('x-bramleysill-request-id'))
        if upload and self.options.stream:
            await asyncio.sleep(self.options.work)
        body = await read_body(reader, headers)
        if turned_away and self.options.late:
            self._note_body(headers, body)
            await self._answer(writer, 503, headers, [NOT_EXECUTED])
            return True
        if upload and not self.options.stream:
            await asyncio.sleep(self.options.work)
        await self._run(writer, method, path, headers, body)
        return True

    def _is_turned_away(self, headers):
        if int(headers.get('content-length', 0)) <= LONG_BODY_BYTES:
            return False
        number = self._long_requests
        self._long_requests += 1
        return number % 5 in TURNED_AWAY_OF_FIVE

    async def _run(self, writer, method, path, headers, body):
        request = headers.get('x-bramleysill-request-id', '')
        expected = headers.get('x-bramleysill-expect-instance')
        if expected not in (None, self.options.id):
            await self._answer(writer, 421, headers, [NOT_EXECUTED])
            return
        if not request:
            await self._answer(writer, 400, headers, [NOT_EXECUTED])
            return
        digest = hashlib.sha256(body).hexdigest()[:16]
        self.note(
            'run',
            id=request,
            method=method,
            path=path,
            bytes=len(body),
            digest=digest,
        )
        await asyncio.sleep(WORK_SECONDS)
        signature = ('X-Bramleysill-Response-Signature', f'1.{digest}')
        await self._answer(
            writer, 200, headers, [signature], f'done {request}'.encode()
        )

    async def _turn_away_early(self, reader, writer, headers):
        """Answer before the body is in, keep the connection, read on later."""
        length = int(headers['content-length'])
        first = await reader.readexactly(EARLY_BYTES)
        await self._answer(writer, 503, headers, [NOT_EXECUTED])
        self.note('turned_away', id=headers['x-bramleysill-request-id'])
        await asyncio.sleep(READ_ON_SECONDS)
        rest = b''
        try:
            while len(rest) < length - len(first):
                data = await reader.read(length - len(first) - len(rest))
                if not data:
                    raise asyncio.IncompleteReadError(rest, None)
                rest += data
        finally:
            self._note_body(headers, first + rest)

    def _note_body(self, headers, body):
        """Record whether all bytes of a body belong to its request.

        The clients' bodies repeat the id of the request.
        """
        request = headers['x-bramleysill-request-id']
        wanted = (request.encode() * (len(body) // len(request) + 1))[
            : len(body)
        ]
        foreign = ''
        if body != wanted:
            at = next(i for i, b in enumerate(body) if b != wanted[i])
            foreign = body[at : at + 120].decode('latin-1')
        self.note('body_read', id=request, bytes=len(body), foreign=foreign)

    async def _answer(self, writer, status, headers, fields, body=b''):
        request = headers.get('x-bramleysill-request-id')
        lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}']
        lines.append(f'X-Bramleysill-Instance-Id: {self.options.id}')
        lines.append(f'Keep-Alive: timeout={IDLE_SECONDS}')
        if request:
            lines.append(f'X-Bramleysill-Request-Id: {request}')
        lines += [f'{name}: {value}' for name, value in fields]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
        await writer.drain()


NOT_EXECUTED = ('X-Bramleysill-Not-Executed', '1')


def parse_head(head):
    """Return (method, path, headers) of a request."""
    lines = head.decode('latin-1').split('\r\n')[:-2]
    words = lines[0].split(' ')
    if len(words) != 3 or words[2] != 'HTTP/1.1':
        raise Malformed(f'no request line: {lines[0][:60]!r}')
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if not colon:
            raise Malformed(f'no header field: {line[:60]!r}')
        headers[name.strip().lower()] = value.strip()
    return words[0], words[1], headers


async def read_body(reader, headers):
    """Return the body, by its length or in chunks."""
    if headers.get('transfer-encoding') != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    parts = []
    while True:
        try:
            line = await reader.readuntil(b'\r\n')
            size = int(line.split(b';')[0], 16)
        except (ValueError, asyncio.LimitOverrunError) as exc:
            raise Malformed('no chunk size') from exc
        if size == 0:
            break
        parts.append(await reader.readexactly(size))
        if await reader.readexactly(2) != b'\r\n':
            raise Malformed('a chunk is longer than its size')
    while await reader.readuntil(b'\r\n') != b'\r\n':
        pass
    return b''.join(parts)


def main():
    """Parse the options and serve."""
    parser = argparse.ArgumentParser()
    for name in ('id', 'service', 'address', 'store', 'ledger'):
        parser.add_argument(f'--{name}', required=True)
    parser.add_argument('--early', action='store_true')
    parser.add_argument('--late', action='store_true')
    parser.add_argument('--work', type=float, default=0.0)
    parser.add_argument('--stream', action='store_true')
    asyncio.run(Server(parser.parse_args()).run())


if __name__ == '__main__':
    main()
