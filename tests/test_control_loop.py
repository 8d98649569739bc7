"""Tests of messages that reach a router's control loop early."""

import testtools

from bramleysill_kernel.common import messages
from bramleysill_kernel.config.manifest import Manifest
from bramleysill_router.control_loop import ControlLoop


class _State:
    def __init__(self, found):
        self.manifest = found


class _ProbedLoop(ControlLoop):
    """A control loop that records the upstreams it would probe."""

    def __init__(self, found):
        self._state = _State(found)
        self.dispatchers = self
        self.probed = []

    def probe(self, upstream, callback):
        self.probed.append(upstream)


class ProbeRequestTest(testtools.TestCase):
    def _probed(self, found):
        loop = _ProbedLoop(found)
        request = messages.ProbeRequest('r2', 'u1')
        loop._on_probe_request('r2', request)
        return loop.probed

    def test_a_request_before_the_manifest_is_ignored(self):
        """Guards against an error of a router that has just started."""
        self.assertEqual([], self._probed(None))

    def test_a_declared_upstream_is_probed(self):
        """Guards against probes that are never made."""
        self.assertEqual(
            ['declared'],
            self._probed(Manifest('r', 'c', upstreams={'u1': 'declared'})),
        )
