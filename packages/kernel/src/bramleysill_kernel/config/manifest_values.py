"""Parses the values of options, one function per option type.

A parser takes the text and the Option and returns the value. It raises
OptionValueError, which names the mistake and its correction.
"""

import importlib
import ipaddress
import re

from bramleysill_kernel.common.registry import Registry
from bramleysill_kernel.config.ini_reader import closest_match
from bramleysill_kernel.config.ini_reader import quote

option_types = Registry('option type')

NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9_.-]{0,63}')
PATH_PATTERN = re.compile(r'/([A-Za-z0-9._~-]+/)*')
SUFFIX_PATTERN = re.compile(r'([A-Za-z0-9._~-]+(/[A-Za-z0-9._~-]+)*)?')
HEADER_PATTERN = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")
INTEGER_PATTERN = re.compile(r'[+-]?[0-9]{1,18}')
NUMBER_PATTERN = re.compile(r'[+-]?[0-9]{1,12}(\.[0-9]{1,9})?')
ADDRESS_PATTERN = re.compile(
    r'(\[(?P<six>[^\]]+)\]|(?P<four>[^:]+)):(?P<port>.*)'
)
MAX_PORT = 65535
SAFE_METHODS = ('GET', 'HEAD', 'OPTIONS')
METHODS = (*SAFE_METHODS, 'POST', 'PUT', 'PATCH', 'DELETE')
YES_NO = {'yes': True, 'no': False}


class OptionValueError(ValueError):
    """The text of an option is not a valid value of its type.

    `what` is the mistake and `write` what the user should write instead.
    """

    def __init__(self, what, write):
        super().__init__(what)
        self.what = what
        self.write = write


def format_value(value, option):
    """Return the text of an option's value as a manifest would hold it.

    The text is empty for None, a default that depends on other options.
    """
    if value is None:
        return ''
    if option.type == 'address':
        host, port = value
        return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
    if isinstance(value, tuple):
        return ', '.join(value)
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    return f'{value:.15g}' if isinstance(value, float) else str(value)


def parse_value(text, option):
    """Return the value of an option's text, or raise OptionValueError."""
    return option_types.get(option.type)(text, option)


@option_types.register('name')
def _parse_name(text, option):
    if not NAME_PATTERN.fullmatch(text):
        raise OptionValueError(
            f'{option.name} {quote(text)} is not a valid name',
            'write 1 to 64 characters of A-Z a-z 0-9 _ . -',
        )
    return text


def _split_list(text):
    return [part.strip() for part in text.split(',')]


@option_types.register('names')
def _parse_names(text, option):
    names = [_parse_name(part, option) for part in _split_list(text)]
    for name in names:
        if names.count(name) > 1:
            raise OptionValueError(
                f'{option.name} lists {quote(name)} twice',
                f'write {quote(name)} once',
            )
    return tuple(names)


@option_types.register('yes_no')
def _parse_yes_no(text, option):
    try:
        return YES_NO[text]
    except KeyError:
        raise OptionValueError(
            f'{option.name} {quote(text)} is neither `yes` nor `no`',
            'write `yes` or `no`',
        ) from None


@option_types.register('choice')
def _parse_choice(text, option):
    if text not in option.choices:
        allowed = ' or '.join(f'`{c}`' for c in option.choices)
        raise OptionValueError(
            f'{option.name} {quote(text)} is not an allowed value',
            f'write {allowed}',
        )
    return text


def _registered_names(option):
    """Return the names in the option's registry, or None.

    None means that the module of the registry is not installed.
    """
    module, registry = option.registry
    try:
        return getattr(importlib.import_module(module), registry).names()
    except ModuleNotFoundError:
        return None


@option_types.register('variant')
def _parse_variant(text, option):
    known = _registered_names(option)
    if known is None:
        return _parse_name(text, option)
    if text not in known:
        allowed = ', '.join(f'`{name}`' for name in known)
        raise OptionValueError(
            f'{option.name} {quote(text)} is unknown',
            f'write one of {allowed}',
        )
    return text


def _check_limits(value, text, option):
    if not option.low <= value <= option.high:
        raise OptionValueError(
            f'{option.name} {quote(text)} is out of range',
            f'write a number from {option.low:,} to {option.high:,}'
            f'{f" ({option.unit})" if option.unit else ""}, without commas',
        )
    return value


@option_types.register('whole')
def _parse_integer(text, option):
    if not INTEGER_PATTERN.fullmatch(text):
        raise OptionValueError(
            f'{option.name} {quote(text)} is not a whole number',
            'write digits only, for example '
            f'`{format_value(option.default, option)}`',
        )
    return _check_limits(int(text), text, option)


@option_types.register('number')
def _parse_number(text, option):
    if not NUMBER_PATTERN.fullmatch(text):
        raise OptionValueError(
            f'{option.name} {quote(text)} is not a number',
            'write digits with a decimal point, for example '
            f'`{format_value(option.default, option)}`',
        )
    return _check_limits(float(text), text, option)


@option_types.register('path')
def _parse_path(text, option):
    if not PATH_PATTERN.fullmatch(text):
        raise OptionValueError(
            f'path {quote(text)} is not a valid path prefix',
            'write a prefix that starts and ends with `/`, such as `/ledger/`',
        )
    return text


@option_types.register('suffix')
def _parse_suffix(text, option):
    if not SUFFIX_PATTERN.fullmatch(text):
        raise OptionValueError(
            f'suffix {quote(text)} is not a valid relative path',
            'write it without a `/` at either end, such as `openings`',
        )
    return text


@option_types.register('key_source')
def _parse_key_source(text, option):
    words = text.split()
    if words == ['path']:
        return text
    is_header = len(words) == 2 and words[0] == 'header'
    if is_header and HEADER_PATTERN.fullmatch(words[1]):
        return f'header {words[1]}'
    raise OptionValueError(
        f'key {quote(text)} is not a valid source of keys',
        'write `path`, or `header NAME` with the name of a header',
    )


@option_types.register('key')
def _parse_key(text, option):
    if any(char.isspace() for char in text):
        raise OptionValueError(
            f'{option.name} {quote(text)} contains white space',
            'write a single key',
        )
    return text


@option_types.register('methods')
def _parse_methods(text, option):
    methods = _split_list(text)
    for method in methods:
        if method not in METHODS:
            near = closest_match(method.upper(), METHODS) or ', '.join(METHODS)
            raise OptionValueError(
                f'method {quote(method)} is unknown', f'write {near}'
            )
    return tuple(dict.fromkeys(methods))


def _parse_ip_address(text):
    """Return an IP address that can be connected to, or None."""
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        return None
    if address.is_unspecified or address.is_multicast or '%' in text:
        return None
    return address


def _parse_port(text):
    """Return the port number, or 0 if the text is not a valid one."""
    if not INTEGER_PATTERN.fullmatch(text):
        return 0
    return int(text) if 1 <= int(text) <= MAX_PORT else 0


@option_types.register('address')
def _parse_address(text, option):
    match = ADDRESS_PATTERN.fullmatch(text)
    if match:
        address = _parse_ip_address(match['six'] or match['four'])
        port = _parse_port(match['port'])
        is_ipv6 = bool(match['six'])
        if address and port and (address.version == 6) == is_ipv6:
            return str(address), port
    raise OptionValueError(
        f'address {quote(text)} is not an IP address and a port',
        'write `IP:PORT`, such as `127.0.0.1:7001` or `[::1]:7001`',
    )
