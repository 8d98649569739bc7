"""Reads the status of one router from its admin port."""

import http.client
import json

from sillctl.exceptions import RouterUnavailable
from sillctl.store_clients import STATUS_OK
from sillctl.store_clients import split_address

TIMEOUT_SECONDS = 5.0
STATUS_PATH = '/status'


def read_status(address):
    """Return what the router at `host:port` answers, as a dict."""
    host, port = split_address(address)
    conn = http.client.HTTPConnection(host, port, timeout=TIMEOUT_SECONDS)
    try:
        conn.request('GET', STATUS_PATH)
        answer = conn.getresponse()
        data = answer.read()
        if answer.status != STATUS_OK:
            raise RouterUnavailable(
                f'the router answered {answer.status}', 'status', address
            )
        return json.loads(data)
    except (OSError, http.client.HTTPException, ValueError) as exc:
        raise RouterUnavailable(
            f'no status from the router: {exc!r}', 'status', address
        ) from exc
    finally:
        conn.close()
