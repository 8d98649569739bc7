"""Settings of one router process, read from an INI file.

Example::

    [router]
    name = entry-01
    cell = tw-north
    failure_domain = tw-a
    listen = 127.0.0.1:8080
    peer_listen = 127.0.0.1:9080
    admin_listen = 127.0.0.1:9180
    store = 127.0.0.1:7000
    seeds = 127.0.0.1:9081, 127.0.0.1:9082
"""

import configparser
import ipaddress
import math

from bramleysill_kernel.common.exceptions import SettingsError

SECTION = 'router'
DEFAULT_STORE_CLIENT = 'http'
DEFAULT_GRACE_SECONDS = 30.0
MAX_PORT = 65535

_REQUIRED = (
    'name',
    'cell',
    'failure_domain',
    'listen',
    'peer_listen',
    'admin_listen',
    'store',
)
_OPTIONAL = {
    'seeds': '',
    'store_client': DEFAULT_STORE_CLIENT,
    'grace_s': str(DEFAULT_GRACE_SECONDS),
}


def parse_address(text, option='address'):
    """Return (host, port) of `host:port`; raises SettingsError."""
    host, colon, port = text.strip().rpartition(':')
    if not colon or not _is_ipv4_address(host) or not port.isdecimal():
        raise SettingsError(
            f'{option} must be an IPv4 address and a port, not {text!r}',
            'settings',
            hint='Write IP:PORT.',
        )
    number = int(port)
    if number > MAX_PORT:
        raise SettingsError(
            f'{option} has port {number}, which is too large',
            'settings',
            hint=f'Write a port from 0 to {MAX_PORT}.',
        )
    return host, number


def _is_ipv4_address(host):
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


class Settings:
    """Validated settings; addresses are (host, port) pairs.

    `grace` is the time limit of a shutdown in seconds.
    """

    __slots__ = (
        'name',
        'cell',
        'failure_domain',
        'listen',
        'peer_listen',
        'admin_listen',
        'store',
        'seeds',
        'store_client',
        'grace',
    )

    def __init__(self, options):
        self.name = options['name']
        self.cell = options['cell']
        self.failure_domain = options['failure_domain']
        for option in ('listen', 'peer_listen', 'admin_listen', 'store'):
            setattr(self, option, parse_address(options[option], option))
        self.seeds = [
            parse_address(seed, 'seeds')
            for seed in options['seeds'].split(',')
            if seed.strip()
        ]
        self.store_client = options['store_client']
        self.grace = _parse_positive_seconds(options['grace_s'], 'grace_s')


def _parse_positive_seconds(text, option):
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if value <= 0 or not math.isfinite(value):
        raise SettingsError(
            f'{option} must be a positive finite number, not {text!r}',
            'settings',
            hint='Write a positive number of seconds.',
        )
    return value


def read_settings(path):
    """Read and validate a settings file; raises SettingsError."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding='utf-8') as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise SettingsError(str(exc), 'settings', str(path)) from exc
    return check_options(parser, str(path))


def check_options(parser, path):
    """Return the Settings of a parsed file; raises SettingsError.

    One error names all missing and unknown options.
    """
    if not parser.has_section(SECTION):
        raise SettingsError(
            f'the file has no section [{SECTION}]',
            'settings',
            path,
            hint=f'Add a section [{SECTION}]; see docs/settings.md.',
        )
    options = dict(_OPTIONAL)
    options.update(parser.items(SECTION))
    missing = [name for name in _REQUIRED if not options.get(name)]
    known = set(_REQUIRED) | set(_OPTIONAL)
    unknown = sorted(set(options) - known)
    if missing or unknown:
        problems = []
        if missing:
            problems.append('missing: ' + ', '.join(missing))
        if unknown:
            problems.append('unknown: ' + ', '.join(unknown))
        raise SettingsError('; '.join(problems), 'settings', path)
    return Settings(options)
