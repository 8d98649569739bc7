"""The stored list of drained failure domains and upstreams."""

import json

from bramleysill_kernel.common.exceptions import StoreConflict
from bramleysill_kernel.common.exceptions import StoreError
from sillctl import store_writes
from sillctl.exceptions import NoUpstreamLeft
from sillctl.store_clients import StoreValue

DRAINS_KEY = 'drains'
# The attribute of Drains and Manifest with the names of each kind.
MANIFEST_FIELDS = {
    'failure_domain': 'failure_domains',
    'upstream': 'upstreams',
}
MAX_WRITE_ATTEMPTS = 10


class Drains:
    """The drained failure domains and upstreams, with the stored version."""

    __slots__ = ('failure_domains', 'upstreams', 'write_id', 'version')

    def __init__(self):
        self.failure_domains = set()
        self.upstreams = set()
        self.write_id = ''
        self.version = 0

    @classmethod
    def decode(cls, value):
        """Return the Drains of a StoreValue.

        Raises StoreError if the value is malformed.
        """
        drains = cls()
        drains.version = value.version
        if not value.version:
            return drains
        try:
            fields = json.loads(value.data)
            drains.failure_domains = {
                str(n) for n in fields['failure_domains']
            }
            drains.upstreams = {str(n) for n in fields['upstreams']}
            drains.write_id = str(fields.get('write_id', ''))
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            raise StoreError(
                f'malformed list of drains: {exc!r}', 'decode', DRAINS_KEY
            ) from exc
        return drains

    def copy(self):
        """Return an independent copy."""
        return Drains.decode(StoreValue(self.encode(), self.version))

    def encode(self):
        """Return the value in its stored form."""
        fields = {**self.names(), 'write_id': self.write_id}
        return json.dumps(fields).encode()

    def names(self):
        """Return the sorted drained names, by manifest field."""
        return {
            'failure_domains': sorted(self.failure_domains),
            'upstreams': sorted(self.upstreams),
        }

    def names_of(self, kind):
        """Return the set of drained names of a kind."""
        return getattr(self, MANIFEST_FIELDS[kind])

    def apply_to(self, manifest):
        """Set the drained flags of the failure domains and upstreams."""
        for name, domain in manifest.failure_domains.items():
            domain.drained = domain.drained or name in self.failure_domains
        for name, upstream in manifest.upstreams.items():
            upstream.drained = upstream.drained or name in self.upstreams


def load(store):
    """Return the drains in the store."""
    return Drains.decode(store.read(DRAINS_KEY))


def check_services(before, after):
    """Raise NoUpstreamLeft if a service loses its last eligible upstream.

    `before` and `after` are manifests with the drains applied.
    """
    for name in after.services:
        if before.eligible(name) and not after.eligible(name):
            raise NoUpstreamLeft(
                f'service {name} would have no upstream left', 'drain', name
            )


def set_drained(store, kind, name, drained, check):
    """Add or remove one name; return (drains, whether they changed).

    After a conflict, the drains are read again and the name is added to or
    removed from them, which does not undo another operator's change.
    `check(old, new)` is called before each write with the drains before and
    after it, and may raise to prevent the write.
    """
    for attempt in range(MAX_WRITE_ATTEMPTS):
        drains = load(store)
        if (name in drains.names_of(kind)) == drained:
            return drains, False
        old = drains.copy()
        (
            drains.names_of(kind).add
            if drained
            else drains.names_of(kind).discard
        )(name)
        drains.write_id = store_writes.new_write_id()
        check(old, drains)
        try:
            drains.version = _write(store, drains)
        except StoreConflict:
            if attempt == MAX_WRITE_ATTEMPTS - 1:
                raise
        else:
            return drains, True


def _write(store, drains):
    def is_own_write(data):
        try:
            return json.loads(data).get('write_id') == drains.write_id
        except (ValueError, AttributeError):
            return False

    return store_writes.compare_and_swap(
        store, DRAINS_KEY, drains.encode(), drains.version, is_own_write
    )
