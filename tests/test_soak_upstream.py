"""Tests of the upstream stand-in of the soak."""

import types

import testtools

from bramleysill_net.loop import Loop
from bramleysill_platform import names
from tests.soak_path import add_soak_path

add_soak_path()

from bramleysill_soak.upstream_server import UpstreamServer  # noqa: E402


class _Stream:
    def __init__(self):
        self.closed = False
        self.responses = []

    def send(self, status, headers, body):
        self.responses.append((status, dict(headers)))


def _request(key):
    headers = {
        names.REQUEST_ID.lower(): 'r-1',
        names.KEY.lower(): str(key),
    }
    return types.SimpleNamespace(
        target='/keyed/1',
        header=lambda name, default='': headers.get(name, default),
    )


class NamedLimitTest(testtools.TestCase):
    def test_a_refusal_names_the_limit(self):
        """Guards against a limit that routers can't know but are to keep."""
        server = UpstreamServer(
            Loop(), 'u1', 'keyed', 'a', '127.0.0.1:1', ('127.0.0.1', 1), 1
        )
        server.record = lambda event, **values: None
        server.name_limit()
        stream = _Stream()
        server.handle(stream, _request(7), b'')
        ((status, headers),) = stream.responses
        self.assertEqual(421, status)
        self.assertIn(names.LIMIT, headers)
