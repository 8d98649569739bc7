"""Types for calls to the platform's key-value store."""

import enum


class StoreOutcome(enum.Enum):
    """The outcome of a call to the store.

    After `REFUSED` nothing was changed. `NO_REPLY` means that there was no
    reply: the call may have taken effect or may still do so. `HISTORY_GONE`
    means that the store no longer has the revisions that a watch asked for.
    """

    OK = 'ok'
    MISSING = 'missing'
    CONFLICT = 'conflict'
    HISTORY_GONE = 'history_gone'
    REFUSED = 'refused'
    NO_REPLY = 'no_answer'


class StoredItem:
    """A stored key; in a watch event `value` is None if it was removed.

    `lease` is the id of the lease that the key is bound to, or 0.
    """

    __slots__ = ('key', 'value', 'revision', 'lease')

    def __init__(self, key, value, revision, lease=0):
        self.key = key
        self.value = value
        self.revision = revision
        self.lease = lease


class StoreReply:
    """The reply to a call.

    `items` are the rows or watch events and `revision` is the store's
    revision. Calls about leases set `lease`, an id, and `lease_seconds`; a
    listing sets `more` if there are further pages.
    """

    __slots__ = (
        'outcome',
        'items',
        'revision',
        'more',
        'lease',
        'lease_seconds',
    )

    def __init__(
        self,
        outcome,
        items=(),
        revision=0,
        more=False,
        lease=0,
        lease_seconds=0.0,
    ):
        self.outcome = outcome
        self.items = items
        self.revision = revision
        self.more = more
        self.lease = lease
        self.lease_seconds = lease_seconds

    @property
    def ok(self):
        """Return whether the call succeeded."""
        return self.outcome is StoreOutcome.OK


class Put:
    """A key to write; it is bound to a lease unless the id `lease` is 0."""

    __slots__ = ('key', 'value', 'lease')

    def __init__(self, key, value, lease=0):
        self.key = key
        self.value = value
        self.lease = lease


class Condition:
    """The revision that a key must have; 0 if the key must not exist."""

    __slots__ = ('key', 'revision')

    def __init__(self, key, revision):
        self.key = key
        self.revision = revision
