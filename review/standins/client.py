"""A caller that speaks HTTP/1.1 over a socket of its own."""

import socket
import threading

import harness


class Answer:
    """A status and headers; status 0 if the connection ended without one."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


def send(host, method, path, request, body=b'', **options):
    """Send a request on a new connection and return its Answer.

    Options: `chunked` sends the body in chunks of 16 KiB, `pace` waits that
    many seconds after each 64 KiB, `deadline_ms` is the time budget. A caller
    that gets its answer before it has sent all of the body sends no more.
    """
    deadline = options.get('deadline_ms', 6000)
    sock = socket.create_connection((host, harness.CALLERS_PORT), timeout=1)
    sock.settimeout(deadline / 1000 + 1.0)
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {harness.HOST}',
        f'{harness.ID_HEADER}: {request}',
        f'{harness.DEADLINE_HEADER}: {deadline}',
    ]
    if options.get('chunked'):
        lines.append('Transfer-Encoding: chunked')
    elif body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    sock.sendall(('\r\n'.join(lines) + '\r\n\r\n').encode())
    answered = threading.Event()
    sender = threading.Thread(
        target=_send_body, args=(sock, body, options, answered), daemon=True
    )
    sender.start()
    try:
        return _read_answer(sock)
    finally:
        answered.set()
        sender.join(2)
        sock.close()


def _send_body(sock, body, options, answered):
    pace = options.get('pace', 0.0)
    try:
        for at in range(0, len(body), 1 << 16):
            if answered.is_set():
                return
            data = body[at : at + (1 << 16)]
            sock.sendall(_in_chunks(data) if options.get('chunked') else data)
            if pace:
                answered.wait(pace)
        if options.get('chunked'):
            sock.sendall(b'0\r\n\r\n')
    except OSError:
        return


def _in_chunks(data):
    parts = [data[i : i + (1 << 14)] for i in range(0, len(data), 1 << 14)]
    return b''.join(b'%x\r\n%s\r\n' % (len(p), p) for p in parts)


def _read_answer(sock):
    data = b''
    try:
        while b'\r\n\r\n' not in data:
            more = sock.recv(65536)
            if not more:
                return Answer(0, {}, data)
            data += more
        head, _, body = data.partition(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.lower()] = value.strip()
        length = int(headers.get('content-length', 0))
        while len(body) < length:
            more = sock.recv(65536)
            if not more:
                return Answer(0, headers, body)
            body += more
        return Answer(int(lines[0].split(' ')[1]), headers, body)
    except OSError:
        return Answer(0, {}, b'')
