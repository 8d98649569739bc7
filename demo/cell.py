"""The cell of the demo: stand-ins, routers and their manifest."""

import json
import pathlib
import socket
import sys
import urllib.error
import urllib.request

from bramleysill_kernel.units.ownership import KeySpace
from bramleysill_kernel.units.ownership import OwnershipTable
from demo.manifest import make_manifest

HOST = '127.0.0.1'
CELL = 'tw-north-1'
FAILURE_DOMAINS = ('tw-a', 'tw-b', 'tw-c')
LEDGERS_PER_DOMAIN = 4
ROUTERS_PER_DOMAIN = 2
# Shorter than in production, so that slow start ends during the demo.
WARMUP_SECONDS = 2
HTTP_TIMEOUT_SECONDS = 5.0
READY_TIMEOUT_SECONDS = 30.0


class Upstream:
    """One upstream stand-in, as declared in the manifest."""

    __slots__ = ('name', 'service', 'failure_domain', 'port')

    def __init__(self, name, service, failure_domain, port):
        self.name = name
        self.service = service
        self.failure_domain = failure_domain
        self.port = port

    def read_ledger(self):
        """Return the upstream's ledger."""
        return get_json(self.port, '/.sill/ledger')


class Router:
    """One router process; its ports are for callers, peers and admin."""

    __slots__ = ('name', 'failure_domain', 'ports', 'process')

    def __init__(self, name, failure_domain):
        self.name = name
        self.failure_domain = failure_domain
        self.ports = free_ports(3)
        self.process = None

    @property
    def address(self):
        """Return the address on which the router serves callers."""
        return f'{HOST}:{self.ports[0]}'

    def settings(self, store, seeds):
        """Return the text of the settings file."""
        listen, peer, admin = (f'{HOST}:{port}' for port in self.ports)
        options = {
            'name': self.name,
            'cell': CELL,
            'failure_domain': self.failure_domain,
            'listen': listen,
            'peer_listen': peer,
            'admin_listen': admin,
            'store': store,
            'seeds': ','.join(seeds),
        }
        lines = [f'{name} = {value}' for name, value in options.items()]
        return '\n'.join(['[router]', *lines, ''])

    def is_ready(self):
        """Return whether the router reports that it is ready."""
        try:
            get(self.ports[2], '/readyz')
        except OSError:
            return False
        return True

    def status(self):
        """Return the router's status document."""
        return get_json(self.ports[2], '/status')


class Cell:
    """Starts all processes; `bin_dir` holds the product's commands."""

    def __init__(self, group, bin_dir, verbose=False):
        self.group = group
        self.verbose = verbose
        self.bin_dir = pathlib.Path(bin_dir)
        self.store = ''
        self.upstreams = []
        self.routers = []

    def start(
        self,
        domains=FAILURE_DOMAINS,
        ledgers=LEDGERS_PER_DOMAIN,
        routers=ROUTERS_PER_DOMAIN,
        options=(),
    ):
        """Start all processes, apply the manifest and wait until ready.

        `ledgers` and `routers` are numbers per failure domain, `options` are
        additional options of the ledger stand-ins.
        """
        self._start_store()
        for domain in domains:
            self._start_ledgers(domain, ledgers, options)
            self._start_intake(domain)
        self._start_routers(domains, routers)
        manifest_path = pathlib.Path(self.group.directory) / 'hsinchu.ini'
        manifest_path.write_text(make_manifest(CELL, domains, self.upstreams))
        self.sillctl('apply', manifest_path)
        for router in self.routers:
            router.process.wait_for(
                router.is_ready, 'ready', READY_TIMEOUT_SECONDS
            )

    def sillctl(self, *arguments):
        """Run a sillctl command against the store."""
        command = [self.bin_dir / 'sillctl', *arguments, '--store', self.store]
        process = self.group.start(f'sillctl-{arguments[0]}', command)
        process.finish(HTTP_TIMEOUT_SECONDS * 2)

    def store_counters(self):
        """Return the store's counters of calls."""
        port = int(self.store.rpartition(':')[2])
        return get_json(port, '/v1/counters')

    def set_store_fault(self, mode):
        """Set the fault mode of the store stand-in; `none` ends the fault."""
        url = f'http://{self.store}/v1/faults?mode={mode}'
        req = urllib.request.Request(url, data=b'', method='POST')
        urllib.request.urlopen(req, timeout=HTTP_TIMEOUT_SECONDS).close()

    def read_table(self, service):
        """Return the ownership table of a service from the store."""
        host, _, port = self.store.rpartition(':')
        path = f'/v1/kv/cell/{CELL}/table/{service}/0'
        return OwnershipTable.decode(get(int(port), path), 0)

    def start_standin(self, name, module, *options):
        """Start a module of the stand-ins as a process."""
        arguments = ['-m', f'bramleysill_standins.{module}', *options]
        return self.group.start(name, [sys.executable, *arguments])

    def _wait_for_ports(self, process, count):
        def is_ready():
            return len(process.lines()) >= count

        process.wait_for(is_ready, 'listening')
        return [int(line.split()[2]) for line in process.lines()]

    def _start_store(self):
        process = self.start_standin('store', 'store', '--port', 0)
        self.store = f'{HOST}:{self._wait_for_ports(process, 1)[0]}'

    def _start_ledgers(self, domain, count, extra_options):
        name = f'ledger-{domain}'
        options = ('--name', name, '--count', count, *extra_options)
        warmup = ('--warmup-s', WARMUP_SECONDS)
        process = self.start_standin(
            name, 'upstream', *options, *warmup, '--remember'
        )
        ports = self._wait_for_ports(process, count)
        for number, port in enumerate(ports, 1):
            own_name = f'{name}-{number:02d}'
            self._add_upstream(own_name, 'ledger', domain, port)

    def _start_intake(self, domain):
        name = f'intake-{domain}'
        options = ('--name', name, '--warmup-s', WARMUP_SECONDS)
        process = self.start_standin(
            name, 'upstream', *options, '--authority', 'unchecked'
        )
        port = self._wait_for_ports(process, 1)[0]
        self._add_upstream(name, 'intake', domain, port)

    def _add_upstream(self, *fields):
        self.upstreams.append(Upstream(*fields))

    def _start_routers(self, domains, count):
        for domain in domains:
            for number in range(1, count + 1):
                router = Router(f'router-{domain}-{number}', domain)
                self.routers.append(router)
        seeds = [f'{HOST}:{router.ports[1]}' for router in self.routers]
        for router in self.routers:
            path = pathlib.Path(self.group.directory) / f'{router.name}.ini'
            path.write_text(router.settings(self.store, seeds))
            command = [self.bin_dir / 'bramleysill', '--config', path]
            if self.verbose:
                command.append('--verbose')
            router.process = self.group.start(router.name, command)


def keys_owned_by(upstream, table, count):
    """Return (key, unit, fence) of `count` keys that an upstream owns."""
    space = KeySpace.from_layout(table.service, table.layout)
    found = []
    number = 0
    while len(found) < count:
        number += 1
        key = f'CAP-{number}'
        unit = table.unit_of(space, key)
        ownership = table.get(unit)
        if ownership.owner == upstream:
            found.append((key, unit, ownership.fence))
    return found


def free_ports(count):
    """Return ports that are free now; another process may still take one."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def get(port, path):
    """Return the body of a GET request to loopback; raises OSError."""
    url = f'http://{HOST}:{port}{path}'
    with urllib.request.urlopen(url, timeout=HTTP_TIMEOUT_SECONDS) as response:
        return response.read()


def get_json(port, path):
    """Return the JSON of a GET request to loopback; raises OSError."""
    return json.loads(get(port, path))
