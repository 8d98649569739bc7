"""State of the key-value service: versions, compare-and-swap and leases.

All times are in milliseconds on the caller's clock.
"""


class Entry:
    """The value and version of a key, and the lease that it is bound to."""

    __slots__ = ('value', 'version', 'lease')

    def __init__(self, value, version, lease):
        self.value = value
        self.version = version
        self.lease = lease


class Lease:
    """A lease: its length, its deadline and the keys bound to it."""

    __slots__ = ('ttl_ms', 'deadline_ms', 'keys')

    def __init__(self, ttl_ms, deadline_ms):
        self.ttl_ms = ttl_ms
        self.deadline_ms = deadline_ms
        self.keys = set()


class Conflict(Exception):
    """A compare-and-swap failed; `version` is the current version."""

    def __init__(self, version):
        super().__init__(f'current version is {version}')
        self.version = version


class LeaseNotFound(Exception):
    """The lease has expired, was ended or never existed."""


class KvState:
    """Keys and leases. `on_change(key)` is called after each change.

    Example::

        state = KvState()
        version = state.put('a', b'1', 0, None, now_ms)
        state.get('a').value
    """

    __slots__ = (
        '_entries',
        '_removed_versions',
        '_leases',
        '_next_lease',
        'on_change',
    )

    def __init__(self, on_change=None):
        self._entries = {}
        # Versions of deleted keys, so that a key that is created again
        # continues with a higher version.
        self._removed_versions = {}
        self._leases = {}
        self._next_lease = 1
        self.on_change = on_change or (lambda key: None)

    def get(self, key):
        """Return the entry, or None if the key does not exist."""
        return self._entries.get(key)

    def version(self, key):
        """Return the version, or 0 if the key does not exist."""
        entry = self._entries.get(key)
        return entry.version if entry else 0

    def put(self, key, value, expected, lease_id, now_ms):
        """Write a key of the expected version; return the new version.

        Raises Conflict, or LeaseNotFound if the given lease has expired.
        """
        self.expire(now_ms)
        if lease_id is not None and lease_id not in self._leases:
            raise LeaseNotFound(lease_id)
        current = self.version(key)
        if current != expected:
            raise Conflict(current)
        version = (current or self._removed_versions.get(key, 0)) + 1
        self._detach_from_lease(key)
        self._entries[key] = Entry(value, version, lease_id)
        if lease_id is not None:
            self._leases[lease_id].keys.add(key)
        self.on_change(key)
        return version

    def delete(self, key, expected, now_ms):
        """Delete a key of the expected version; raises Conflict."""
        self.expire(now_ms)
        current = self.version(key)
        if current != expected:
            raise Conflict(current)
        if current:
            self._remove(key)

    def create_lease(self, ttl_ms, now_ms):
        """Create a lease and return its id."""
        lease_id = f'lease-{self._next_lease}'
        self._next_lease += 1
        self._leases[lease_id] = Lease(ttl_ms, now_ms + ttl_ms)
        return lease_id

    def renew_lease(self, lease_id, now_ms):
        """Renew a lease for its full length from now and return it.

        Raises LeaseNotFound.
        """
        self.expire(now_ms)
        lease = self._leases.get(lease_id)
        if lease is None:
            raise LeaseNotFound(lease_id)
        lease.deadline_ms = now_ms + lease.ttl_ms
        return lease

    def end_lease(self, lease_id):
        """End a lease and delete its keys; does nothing if it has ended."""
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return
        for key in sorted(lease.keys):
            self._remove(key)

    def expire(self, now_ms):
        """End all leases whose deadline has passed."""
        due = [k for k, v in self._leases.items() if v.deadline_ms <= now_ms]
        for lease_id in due:
            self.end_lease(lease_id)

    def _detach_from_lease(self, key):
        entry = self._entries.get(key)
        lease = self._leases.get(entry.lease) if entry else None
        if lease is not None:
            lease.keys.discard(key)

    def _remove(self, key):
        self._detach_from_lease(key)
        self._removed_versions[key] = self._entries.pop(key).version
        self.on_change(key)
