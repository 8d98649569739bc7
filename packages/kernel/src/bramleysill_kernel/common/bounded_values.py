"""Parses numbers and addresses from outside, within fixed bounds.

The functions return None for a value that can't be used. Digits are ASCII
digits only, and a number is checked for its length before it is converted.
"""

import re

# The largest integer of a document or a message between routers.
MAX_INTEGER = (1 << 63) - 1
# The longest time that a document or a header may state.
MAX_DURATION_SECONDS = 366 * 86400.0
MAX_PORT = 65535
# The longest text that is sent on in a header, such as an id.
MAX_TOKEN_CHARS = 200
_OCTET = '(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
_IPV4_ADDRESS = re.compile(rf'(?:{_OCTET}\.){{3}}{_OCTET}')


def parse_integer(text, maximum=MAX_INTEGER):
    """Return the integer from 0 to `maximum` that decimal digits state."""
    if not (text.isascii() and text.isdecimal()):
        return None
    if len(text) > len(str(maximum)):
        return None
    value = int(text)
    return value if value <= maximum else None


def parse_milliseconds(text):
    """Return the seconds of a header in milliseconds."""
    value = parse_integer(text, int(MAX_DURATION_SECONDS * 1000))
    return None if value is None else value / 1000


def parse_address(text):
    """Return (host, port) of `a.b.c.d:port`; a host name is not looked up."""
    host, _, digits = text.rpartition(':')
    port = parse_integer(digits, MAX_PORT)
    if not port or not is_ipv4_literal(host):
        return None
    return host, port


def is_ipv4_literal(host):
    """Return whether a host is an IPv4 address in dotted decimal form."""
    return _IPV4_ADDRESS.fullmatch(host) is not None


def is_token(text):
    """Return whether a text can be written in a header field as it is."""
    return (
        0 < len(text) <= MAX_TOKEN_CHARS
        and text.isascii()
        and text.isprintable()
        and ' ' not in text
    )
