"""Tests of the ways in which the soak test's upstreams treat requests."""

import testtools

from bramleysill_platform import names
from tests.soak_path import add_soak_path
from tests.store_fakes import ManualLoop

add_soak_path()

from bramleysill_soak.faults import FAULTS  # noqa: E402
from bramleysill_soak.faults import MIX_FAULTS  # noqa: E402
from bramleysill_soak.faults import NAMED_FAULTS  # noqa: E402
from bramleysill_soak.faults import FaultInjector  # noqa: E402
from bramleysill_soak.upstream_server import BEHAVIOUR_PATH  # noqa: E402
from bramleysill_soak.upstream_server import UpstreamServer  # noqa: E402

SECONDS = 2.0
SERVICE_SECONDS = 0.1


class _Loop(ManualLoop):
    """A clock on which nothing is repeated, so that no process is paused."""

    def call_every(self, seconds, callback):
        """Ignore the heartbeat and the ticks."""


class _Rng:
    """Draws given numbers, then ones that no share includes."""

    def __init__(self, *draws):
        self._draws = list(draws)

    def random(self):
        return self._draws.pop(0) if self._draws else 0.999

    def uniform(self, low, high):
        return low

    def choice(self, values):
        return values[0]


class _Request:
    def __init__(self, target, request_id=''):
        self.target = target
        self._fields = {names.REQUEST_ID.lower(): request_id}

    def header(self, name, default=''):
        return self._fields.get(name, default)


class _Stream:
    """Records a response; `aborted` is whether it was broken off."""

    closed = False

    def __init__(self):
        self.status = None
        self.fields = {}
        self.aborted = False

    def send(self, status, headers, body):
        self.status = status
        self.fields = dict(headers)

    def start(self, status, headers, length):
        self.send(status, headers, b'')

    def write(self, data):
        """Ignore the part of the body."""

    def abort(self):
        self.aborted = True


class _Server(UpstreamServer):
    def __init__(self, *draws):
        super().__init__(
            _Loop(), 'u1', 'shared', 'domain-a', 'h:1', ('127.0.0.1', 1), 1
        )
        self._rng = _Rng(*draws)
        self.events = []

    def record(self, event, **values):
        self.events.append(event)

    def respond(self, request_id='c-1'):
        """Return the response to a request."""
        return self._get('/read/1', request_id)

    def behave_by_request(self, name):
        """Add a behaviour as the soak test does."""
        path = f'{BEHAVIOUR_PATH}?name={name}&seconds={SECONDS}'
        return self._get(path, '')

    def _get(self, target, request_id):
        stream = _Stream()
        self.handle(stream, _Request(target, request_id), b'')
        self.loop.advance(SERVICE_SECONDS)
        return stream


class BehavioursTest(testtools.TestCase):
    """Each behaviour does what a check of the soak test relies on."""

    def _behaving(self, name, *draws):
        server = _Server(*draws)
        self.assertEqual(200, server.behave_by_request(name).status)
        return server

    def test_a_request_for_time_runs_nothing(self):
        """Guards against a refusal that lies, or that names no time."""
        server = self._behaving('ask_time', 0.0)
        response = server.respond()
        self.assertEqual(503, response.status)
        self.assertEqual('1', response.fields[names.NOT_RUN])
        self.assertEqual('0.10', response.fields[names.RETRY_AFTER])
        self.assertNotIn('run', server.events)

    def test_a_leaving_upstream_says_so_in_all_responses(self):
        """Guards against a departure that only some responses tell."""
        server = self._behaving('leave', 0.9, 0.0)
        answer = server.respond()
        server.behave_by_request('ask_time')
        refusal = server.respond()
        self.assertEqual([200, 503], [answer.status, refusal.status])
        for response in (answer, refusal):
            self.assertEqual('1', response.fields[names.LEAVING])

    def test_a_broken_off_request_has_run_and_the_next_is_refused(self):
        """Guards against second attempts that are never refused."""
        server = self._behaving('break_off', 0.9, 0.0, 0.0)
        broken, refused = server.respond(), server.respond()
        self.assertTrue(broken.aborted)
        self.assertEqual('1', refused.fields[names.NOT_RUN])
        self.assertEqual(1, server.events.count('run'))
        self.assertIn('truncate', server.events)

    def test_a_denial_has_run_and_says_nothing_else(self):
        """Guards against a denial that routers may believe."""
        server = self._behaving('deny', 0.0)
        response = server.respond()
        self.assertEqual((408, {}), (response.status, response.fields))
        self.assertEqual(['behave', 'arrive', 'run', 'deny'], server.events)

    def test_a_limit_is_named(self):
        """Guards against a limit that no response names."""
        response = self._behaving('limit').respond()
        self.assertEqual('3.0', response.fields[names.LIMIT])

    def test_a_behaviour_ends(self):
        """Guards against a behaviour that lasts until the process ends."""
        server = self._behaving('ask_time', 0.9, 0.9, 0.0)
        server.loop.advance(SECONDS)
        self.assertEqual(200, server.respond().status)


class _Cell:
    def __init__(self):
        self.loop = _Loop()
        self.routers = []
        self.upstreams = []


class FaultRegistryTest(testtools.TestCase):
    def test_a_mix_consists_of_faults(self):
        """Guards against a mix that fails on an unknown name."""
        self.assertEqual(set(), set(MIX_FAULTS) - set(FAULTS))
        self.assertNotIn('refusal_mix', MIX_FAULTS)

    def test_an_unknown_fault_is_rejected(self):
        """Guards against a run that ends at its first misspelt fault."""
        self.assertRaises(
            ValueError, FaultInjector, _Cell(), _Rng(), None, ['leave_all']
        )

    def test_named_faults_are_not_injected_by_default(self):
        """Guards against seeds that change with each new fault."""
        injector = FaultInjector(_Cell(), _Rng(), lambda *fault: None)
        self.assertEqual(set(), NAMED_FAULTS & set(injector._names))
        self.assertTrue({'refusal_mix', 'leave_upstream'} <= NAMED_FAULTS)
