"""Makes a reduced Hsinchu manifest for the ports of this run."""

_CELL = """\
[manifest]
region = tw-north
cell = {cell}

[service ledger]
kind = keyed
path = /ledger/
shards = 256
timeout_ms = 5000
authority = checked
idempotency = upstream

[route ledger lookups]
methods = GET, HEAD
repeatable = yes
priority = 1

[route ledger openings]
methods = POST
suffix = openings
repeatable = no
priority = 2

[route ledger handovers]
methods = POST
suffix = handovers
repeatable = no
priority = 2

[objective ledger]
availability = 99.95
latency_ms = 50

[service intake]
kind = shared
path = /intake/
timeout_ms = 60000
max_body_bytes = 1073741824

[route intake uploads]
methods = POST, PUT
repeatable = no

[route intake downloads]
methods = GET, HEAD
repeatable = yes
"""

_UPSTREAM = """
[upstream {name}]
service = {service}
failure_domain = {domain}
address = 127.0.0.1:{port}
slots = 4
connections = 120
"""


def make_manifest(cell, failure_domains, upstreams):
    """Return the text of the manifest of a cell with these upstreams."""
    text = _CELL.format(cell=cell)
    for name in failure_domains:
        text += f'\n[failure_domain {name}]\n'
    for upstream in upstreams:
        text += _UPSTREAM.format(
            name=upstream.name,
            service=upstream.service,
            domain=upstream.failure_domain,
            port=upstream.port,
        )
    return text
