"""Typed answers of the platform's key-value store."""

import enum


class StoreOutcome(enum.Enum):
    """How a call to the store ended.

    `REFUSED` means that nothing was done, `NO_ANSWER` that the call may
    have been carried out or may yet be.
    """

    OK = 'ok'
    MISSING = 'missing'
    CONFLICT = 'conflict'
    HISTORY_GONE = 'history_gone'
    REFUSED = 'refused'
    NO_ANSWER = 'no_answer'


class StoredItem:
    """One key; `value` is None for an event that tells of its removal."""

    __slots__ = ('key', 'value', 'revision', 'lease')

    def __init__(self, key, value, revision, lease=0):
        self.key = key
        self.value = value
        self.revision = revision
        self.lease = lease


class StoreReply:
    """An answer: `items` are rows or events, `revision` the store's.

    `lease` and `lease_seconds` are set by calls about leases, `more` by a
    listing that has further pages.
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
        """Tell whether the call was carried out."""
        return self.outcome is StoreOutcome.OK


class Put:
    """A key to write; `lease` 0 binds it to none."""

    __slots__ = ('key', 'value', 'lease')

    def __init__(self, key, value, lease=0):
        self.key = key
        self.value = value
        self.lease = lease


class Condition:
    """A revision that a key must have; 0 means that it must not exist."""

    __slots__ = ('key', 'revision')

    def __init__(self, key, revision):
        self.key = key
        self.revision = revision
