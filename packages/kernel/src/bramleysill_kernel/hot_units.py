"""Hot keys: split from their shard, moved, and folded back.

A hot key gets an entry of its own under the owner of its shard. The fence of
the shard grows with the split, so that a request for the key which was sent
under the shard's old fence can't run any more once the shard is granted
again. Folding back needs the same owner for both and raises the shard's fence
above that of the entry.
"""

from bramleysill_kernel import ownership

# Ratio of an upstream's requests from which one key counts as hot.
HOT_RATIO = 0.2
# Load, in work per slot, below which no key needs an entry of its own.
HOT_LOAD = 0.5
# A key that was not reported as hot for this long is folded back.
COOL_SECONDS = 60.0
MAX_ENTRIES = 128


class HotUnits:
    """Remembers which keys of each service are hot."""

    __slots__ = ('_clock', '_seen')

    def __init__(self, clock):
        self._clock = clock
        self._seen = {}

    def note(self, service, report):
        """Take the busy units of a dispatcher's report."""
        if report.load < HOT_LOAD or report.rate <= 0:
            return
        seen = self._seen.setdefault(service, {})
        for unit, rate in report.hot_units.items():
            if rate >= HOT_RATIO * report.rate:
                seen[unit] = self._clock.now()

    def to_split(self, table, declared):
        """Return keys that need an entry: declared or hot ones."""
        wanted = [k for k in declared if k not in table.singles]
        room = MAX_ENTRIES - len(table.singles) - len(wanted)
        prefix = ownership.SINGLE_KEY_PREFIX
        hot = [
            unit[len(prefix) :]
            for unit in self._seen.get(table.service, {})
            if unit.startswith(prefix)
        ]
        hot = [k for k in hot if k not in table.singles and k not in wanted]
        return wanted + hot[: max(0, room)]

    def to_fold(self, table, declared):
        """Return keys whose entries are not needed any more."""
        seen = self._seen.setdefault(table.service, {})
        limit = self._clock.now() - COOL_SECONDS
        cooled = []
        for key in table.singles:
            unit = ownership.SINGLE_KEY_PREFIX + key
            if key in declared:
                continue
            if seen.setdefault(unit, self._clock.now()) < limit:
                cooled.append(key)
        return cooled

    def forget(self, service, key):
        """Forget a key that was folded back."""
        self._seen.get(service, {}).pop(
            ownership.SINGLE_KEY_PREFIX + key, None
        )


def split(table, shard, key):
    """Give a key its own entry under its shard's owner."""
    owner = table.get(shard).owner
    fence = table.assign(shard, owner)
    table.put(
        ownership.SINGLE_KEY_PREFIX + key, ownership.Assignment(owner, fence)
    )


def fold(table, shard, key):
    """Remove a key's entry, whose owner must be that of the shard."""
    entry = table.singles[key]
    held = table.get(shard)
    if entry.owner != held.owner:
        return False
    fence = max(entry.fence, held.fence) + 1
    table.put(shard, ownership.Assignment(held.owner, fence))
    table.remove(ownership.SINGLE_KEY_PREFIX + key)
    return True
