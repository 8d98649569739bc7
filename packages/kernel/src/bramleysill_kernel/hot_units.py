"""Hot keys: split from their shard, moved, and folded back.

A hot key gets an entry of its own under the owner of its shard. The fence of
the shard grows with the split, so that a request for the key which was sent
under the shard's old fence can't run any more once the shard is granted
again. Folding back needs the same owner for both and raises the shard's fence
above that of the entry.
"""

from bramleysill_kernel import ownership

# Ratio of an upstream's requests from which one key counts as hot.
HOT_KEY_MIN_REQUEST_RATIO = 0.2
# Load, in work per slot, below which no key needs an entry of its own.
MIN_LOAD_TO_SPLIT = 0.5
# A key that was not reported as hot for this long is folded back.
MERGE_DELAY_SECONDS = 60.0
MAX_SINGLE_KEYS = 128


class HotUnits:
    """Remembers which keys of each service are hot."""

    __slots__ = ('_clock', '_last_hot_at')

    def __init__(self, clock):
        self._clock = clock
        self._last_hot_at = {}

    def record_report(self, service, report):
        """Take the busy units of a dispatcher's report."""
        if report.load < MIN_LOAD_TO_SPLIT or report.rate <= 0:
            return
        last_hot_at = self._last_hot_at.setdefault(service, {})
        for unit, rate in report.hot_units.items():
            if rate >= HOT_KEY_MIN_REQUEST_RATIO * report.rate:
                last_hot_at[unit] = self._clock.now()

    def keys_to_split(self, table, declared):
        """Return keys that need an entry: declared or hot ones."""
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
        """Return keys whose entries are not needed any more."""
        last_hot_at = self._last_hot_at.setdefault(table.service, {})
        limit = self._clock.now() - MERGE_DELAY_SECONDS
        cooled = []
        for key in table.singles:
            unit = ownership.SINGLE_KEY_PREFIX + key
            if key in declared:
                continue
            if last_hot_at.setdefault(unit, self._clock.now()) < limit:
                cooled.append(key)
        return cooled

    def forget(self, service, key):
        """Forget a key that was folded back."""
        self._last_hot_at.get(service, {}).pop(
            ownership.SINGLE_KEY_PREFIX + key, None
        )


def split(table, shard, key):
    """Give a key its own entry under its shard's owner."""
    owner = table.get(shard).owner
    fence = table.assign(shard, owner)
    table.put(
        ownership.SINGLE_KEY_PREFIX + key, ownership.Assignment(owner, fence)
    )


def merge(table, shard, key):
    """Remove a key's entry, whose owner must be that of the shard."""
    entry = table.singles[key]
    assignment = table.get(shard)
    if entry.owner != assignment.owner:
        return False
    fence = max(entry.fence, assignment.fence) + 1
    table.put(shard, ownership.Assignment(assignment.owner, fence))
    table.remove(ownership.SINGLE_KEY_PREFIX + key)
    return True
