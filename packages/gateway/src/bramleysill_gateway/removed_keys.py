"""The keys that were removed from a prefix of the store, for other routers."""

from bramleysill_kernel.common.store_types import StoredItem

# Number of removed keys that are remembered.
MAX_REMOVED_KEYS = 1000


class RemovedKeys:
    """Keys and the revisions of their removal.

    All removals after the revision `known_after` are included.
    """

    __slots__ = ('known_after', '_revisions')

    def __init__(self):
        self.known_after = 0
        self._revisions = {}

    def note(self, key, revision):
        """Record a removal; the oldest one is dropped beyond the limit."""
        self._revisions[key] = revision
        if len(self._revisions) <= MAX_REMOVED_KEYS:
            return
        oldest = min(self._revisions, key=self._revisions.get)
        self.known_after = self._revisions.pop(oldest)

    def since(self, revision):
        """Return the removals after a revision as items without a value."""
        return [
            StoredItem(key, None, at)
            for key, at in self._revisions.items()
            if at > revision
        ]

    def clear(self):
        """Forget the removals, whose revisions are given out again."""
        self._revisions.clear()
