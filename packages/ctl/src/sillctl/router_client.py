"""Reads the status and the metrics of a router from its admin port."""

import http.client
import json
import urllib.parse

from sillctl.exceptions import RouterUnavailable
from sillctl.snapshots import parse_exposition
from sillctl.store_clients import STATUS_OK
from sillctl.store_clients import parse_address

SOCKET_TIMEOUT_SECONDS = 5.0
STATUS_PATH = '/status'
METRICS_PATH = '/metrics'
EXPLAIN_PATH = '/explain'


def read_status(address):
    """Return the status of the router at `host:port` as a dict.

    Raises RouterUnavailable.
    """
    return _read(address, STATUS_PATH, 'status', json.loads)


def read_metrics(address):
    """Return the metric samples of the router at `host:port`.

    Raises RouterUnavailable.
    """
    return _read(
        address,
        METRICS_PATH,
        'metrics',
        lambda data: parse_exposition(data.decode()),
    )


def read_explanation(address, question):
    """Return where the router at `host:port` would send a request, as a dict.

    `question` has the parameters of the question. Raises RouterUnavailable.
    """
    path = f'{EXPLAIN_PATH}?{urllib.parse.urlencode(question)}'
    return _read(address, path, 'explanation', json.loads)


def _read(address, path, resource, decode):
    host, port = parse_address(address)
    conn = http.client.HTTPConnection(
        host, port, timeout=SOCKET_TIMEOUT_SECONDS
    )
    try:
        conn.request('GET', path)
        response = conn.getresponse()
        data = response.read()
        if response.status != STATUS_OK:
            raise RouterUnavailable(
                f'the router responded with status {response.status}',
                resource,
                address,
            )
        return decode(data)
    except (OSError, http.client.HTTPException, ValueError) as exc:
        raise RouterUnavailable(
            f'cannot read the {resource} of the router: {exc!r}',
            resource,
            address,
        ) from exc
    finally:
        conn.close()
