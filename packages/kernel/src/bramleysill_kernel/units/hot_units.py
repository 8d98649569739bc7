"""Splitting hot keys from their shard and merging them back.

A hot key is split from its shard into an entry of its own, which first has
the owner of the shard and can then be moved. The split increments the fence
of the shard, so that a request for the key that was sent with the old fence
can no longer run once the shard is granted again. An entry can be merged back
only if it has the owner of its shard; the shard then gets a fence above both.
"""

from bramleysill_kernel.units import ownership

# A key is hot if it receives at least this ratio of its upstream's requests.
HOT_KEY_MIN_REQUEST_RATIO = 0.2
# Load of an upstream, in work per slot, below which no key is split.
MIN_LOAD_TO_SPLIT = 0.5
# A key that has not been reported as hot for this long is merged back.
MERGE_DELAY_SECONDS = 60.0
MAX_SINGLE_KEYS = 128


class HotUnits:
    """Records when the keys of each service were last reported as hot."""

    __slots__ = ('_clock', '_last_hot_at')

    def __init__(self, clock):
        self._clock = clock
        self._last_hot_at = {}

    def record_report(self, service, report):
        """Record the hot units in a dispatcher's report of an upstream."""
        if report.load < MIN_LOAD_TO_SPLIT or report.rate <= 0:
            return
        last_hot_at = self._last_hot_at.setdefault(service, {})
        for unit, rate in report.hot_units.items():
            if rate >= HOT_KEY_MIN_REQUEST_RATIO * report.rate:
                last_hot_at[unit] = self._clock.now()

    def keys_to_split(self, table, declared):
        """Return the declared and hot keys that have no entry yet.

        Hot keys are added only up to `MAX_SINGLE_KEYS` entries in the table.
        """
        wanted = [k for k in declared if k not in table.singles]
        room = MAX_SINGLE_KEYS - len(table.singles) - len(wanted)
        prefix = ownership.SINGLE_KEY_PREFIX
        hot = [
            unit[len(prefix) :]
            for unit in self._last_hot_at.get(table.service, {})
            if unit.startswith(prefix)
        ]
        hot = [k for k in hot if k not in table.singles and k not in wanted]
        return wanted + hot[: max(0, room)]

    def keys_to_merge(self, table, declared):
        """Return the keys whose entries are no longer needed."""
        last_hot_at = self._last_hot_at.setdefault(table.service, {})
        merge_before = self._clock.now() - MERGE_DELAY_SECONDS
        no_longer_hot = []
        for key in table.singles:
            unit = ownership.SINGLE_KEY_PREFIX + key
            if key in declared:
                continue
            if last_hot_at.setdefault(unit, self._clock.now()) < merge_before:
                no_longer_hot.append(key)
        return no_longer_hot

    def forget(self, service, key):
        """Remove the record of a key that was merged back."""
        self._last_hot_at.get(service, {}).pop(
            ownership.SINGLE_KEY_PREFIX + key, None
        )


def split(table, shard, key):
    """Add an entry for a key, with the owner of its shard."""
    owner = table.get(shard).owner
    fence = table.assign(shard, owner)
    table.put(
        ownership.SINGLE_KEY_PREFIX + key, ownership.Assignment(owner, fence)
    )


def merge(table, shard, key):
    """Remove a key's entry if it has the owner of its shard.

    Returns whether it was removed.
    """
    entry = table.singles[key]
    assignment = table.get(shard)
    if entry.owner != assignment.owner:
        return False
    fence = max(entry.fence, assignment.fence) + 1
    table.put(shard, ownership.Assignment(assignment.owner, fence))
    table.remove(ownership.SINGLE_KEY_PREFIX + key)
    return True
