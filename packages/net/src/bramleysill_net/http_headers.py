"""Header fields of HTTP messages, as (lower-case name, value) pairs."""

# Hop-by-hop header fields are never forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def connection_options(headers):
    """Return the names listed in the Connection field, in lower case."""
    options = set()
    for name, value in headers:
        if name == 'connection':
            options.update(part.strip().lower() for part in value.split(','))
    return options


def end_to_end_fields(headers, excluded):
    """Return the fields to forward to the next hop, without `excluded`."""
    listed = connection_options(headers)
    return [
        pair
        for pair in headers
        if pair[0] not in HOP_BY_HOP
        and pair[0] not in excluded
        and pair[0] not in listed
    ]


def first_value(headers, name):
    """Return the first value of a field, or ''; `name` is lower case."""
    for key, value in headers:
        if key == name:
            return value
    return ''


def keep_alive_seconds(headers):
    """Return the idle timeout of a Keep-Alive field in seconds, or None."""
    for part in first_value(headers, 'keep-alive').split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.strip().isdecimal():
            return float(value)
    return None
