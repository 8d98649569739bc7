"""The items of one prefix of the store, as a router knows them."""

from absl import logging

from bramleysill_gateway.removed_keys import RemovedKeys
from bramleysill_kernel.common.store_types import StoredItem
from bramleysill_router.logs import log_event


class PrefixItems:
    """Maps keys to their newest StoredItem, and tells what has changed.

    `on_change(item)` gets each change; the value of a removed key is None.
    """

    __slots__ = (
        'by_key',
        'last_change',
        '_on_change',
        '_removed',
        '_previous',
    )

    def __init__(self, on_change):
        self.by_key = {}
        # The revision of the last change of the prefix that is known.
        self.last_change = 0
        self._on_change = on_change
        self._removed = RemovedKeys()
        # By key, the item that the present one has replaced.
        self._previous = {}

    def previous_of(self, item):
        """Return the item that this one has replaced, or None if unknown."""
        if self.by_key.get(item.key) is not item:
            return None
        return self._previous.get(item.key)

    def changes_since(self, revision):
        """Return the changes after a revision, None if some are unknown."""
        if revision < self._removed.known_after:
            return None
        found = [i for i in self.by_key.values() if i.revision > revision]
        found += self._removed.since(revision)
        return sorted(found, key=lambda item: item.revision)

    def start_era(self):
        """Forget the revisions, which the store gives out again."""
        self.last_change = 0
        self._removed.clear()

    def use_listing(self, listing, revision, is_first):
        """Use a listing of all keys, as items by key.

        Keys may have been removed up to `revision`. The items of the first
        listing of an era replace the known ones whatever their revision.
        """
        apply = self._replace if is_first else self.apply
        self.last_change = max(self.last_change, revision)
        for key in set(self.by_key) - set(listing):
            apply(StoredItem(key, None, revision))
        for item in listing.values():
            apply(item)
        # Other routers may not have listed what was replaced.
        self._previous.clear()
        self._removed.known_after = revision

    def apply(self, item):
        """Use an item unless a newer one of its key is known."""
        known = self.by_key.get(item.key)
        if known is not None and known.revision >= item.revision:
            if known.revision > item.revision:
                log_event(
                    'store_item_ignored',
                    key=item.key,
                    revision=item.revision,
                    known_revision=known.revision,
                )
            return
        self._replace(item)

    def _replace(self, item):
        known = self.by_key.get(item.key)
        self.last_change = max(self.last_change, item.revision)
        if item.value is None:
            self.by_key.pop(item.key, None)
            self._previous.pop(item.key, None)
            self._removed.note(item.key, item.revision)
        else:
            self.by_key[item.key] = item
            self._previous[item.key] = known
        try:
            self._on_change(item)
        except Exception:
            # One item must not keep this router from following the others.
            logging.exception('event=store_item_error key=%r', item.key)
