"""The ledger of the requests that an upstream ran, and checks over ledgers."""

import collections

LOOKUP = 'lookup'


class LedgerEntry:
    """One request that took effect.

    `clock_ms` is on the upstream's own clock. `host_ms` is on the monotonic
    clock of the machine, which orders the entries of several upstreams.
    """

    __slots__ = (
        'request_id',
        'call_id',
        'unit',
        'fence',
        'method',
        'path',
        'idempotency_key',
        'service',
        'key',
        'effect',
        'clock_ms',
        'host_ms',
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields.get(name, ''))

    def as_dict(self):
        """Return the fields for JSON."""
        return {name: getattr(self, name) for name in self.__slots__}


class Ledger:
    """All requests that ran, complete uploads, and counts of refusals."""

    __slots__ = ('entries', 'uploads', 'refused', 'cut_off', '_request_ids')

    def __init__(self):
        self.entries = []
        self.uploads = {}
        self.refused = collections.Counter()
        self.cut_off = 0
        self._request_ids = set()

    def record(self, entry):
        """Add a request that took effect."""
        self.entries.append(entry)
        self._request_ids.add(entry.request_id)

    def store_upload(self, path, digest, size):
        """Record the digest and size of a complete upload."""
        self.uploads[path] = {'sha256': digest, 'bytes': size}

    def has_run(self, request_id):
        """Return whether the request with this id took effect."""
        return request_id in self._request_ids

    def as_dict(self):
        """Return everything for JSON."""
        return {
            'entries': [entry.as_dict() for entry in self.entries],
            'uploads': self.uploads,
            'refused': dict(self.refused),
            'cut_off': self.cut_off,
        }


def find_ownership_violations(ledgers):
    """Return the violations of single ownership in all upstreams' ledgers.

    `ledgers` maps upstream names to lists of entries as dicts. The fences of
    a unit must not decrease over time, and each fence belongs to only one
    upstream. Each violation is `(service, key, unit, fences, upstreams)`.
    """
    units = collections.defaultdict(list)
    for upstream, entries in ledgers.items():
        for entry in entries:
            if entry['unit'] == '':
                continue
            unit = (entry['service'], entry['unit'])
            units[unit].append((entry['host_ms'], upstream, entry))
    found = []
    for (service, unit), runs in sorted(units.items()):
        runs.sort(key=lambda run: run[0])
        for (_, owner, before), (_, other, entry) in _consecutive_pairs(runs):
            if _is_ordered(owner, before['fence'], other, entry['fence']):
                continue
            fences = (before['fence'], entry['fence'])
            found.append((service, entry['key'], unit, fences, (owner, other)))
    return found


def repeated_effects(ledgers, effect):
    """Return the idempotency keys whose effect was recorded repeatedly.

    `ledgers` is as in `find_ownership_violations`.
    """
    seen = collections.Counter(
        entry['idempotency_key']
        for entries in ledgers.values()
        for entry in entries
        if entry['effect'] == effect and entry['idempotency_key']
    )
    return sorted(key for key, count in seen.items() if count > 1)


def _consecutive_pairs(runs):
    return zip(runs, runs[1:], strict=False)


def _is_ordered(owner, fence, other, next_fence):
    if owner == other:
        return next_fence >= fence
    return next_fence > fence
