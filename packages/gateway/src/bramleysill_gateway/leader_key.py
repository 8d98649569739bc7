"""Writes and reads the value of the leader key in the store."""

import json

from bramleysill_kernel.common.bounded_values import is_token
from bramleysill_kernel.common.bounded_values import parse_address
from bramleysill_router.logs import log_warning

# What reading a document of another shape than a leader's may raise.
_MALFORMED_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    RecursionError,
)


def encode_leader(router, address):
    """Return the value of the leader key that names a router."""
    return json.dumps({'router': router, 'address': address}).encode()


class LeaderKeyReader:
    """Decodes the leader key once for each StoredItem."""

    __slots__ = ('_item', '_leader')

    def __init__(self):
        # The StoredItem decoded last, and the leader that it names.
        self._item = None
        self._leader = None

    def read(self, item):
        """Return (name, peer address) of the leader, or None.

        A malformed item, which is logged, names none.
        """
        if item is not self._item:
            self._item = item
            self._leader = _decode(item)
        return self._leader


def _decode(item):
    if item is None:
        return None
    try:
        document = json.loads(item.value)
        router, address = document['router'], document['address']
        if not is_token(router) or parse_address(address) is None:
            raise ValueError('the router or its address is malformed')
        return router, address
    except _MALFORMED_ERRORS as exc:
        log_warning('document_rejected', key=item.key, error=exc)
        return None
