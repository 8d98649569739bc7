"""Checks grants and fences on an upstream's own clock.

It shares no code with the router's ownership logic, so that a fault there is
not repeated here.
"""

OK = ''
NO_GRANT = 'no_grant'
STALE_FENCE = 'stale_fence'
EXPIRED = 'expired'


class FenceTable:
    """The granted units, their fences and the end of the grant.

    All times are in milliseconds on the upstream's clock. The fences of a
    unit never decrease: a grant of a unit has no effect if its fence is lower
    than one granted before, or if that fence or a higher one was released.

    Example::

        table = FenceTable('start-1')
        table.apply(command, now_ms)
        table.check('17', 3, now_ms)  # '' or a reason
    """

    __slots__ = (
        'epoch',
        '_generation',
        '_until_ms',
        '_units',
        '_min_fences',
    )

    def __init__(self, epoch):
        self.epoch = epoch
        self._generation = (0, 0)
        self._until_ms = 0
        self._units = {}
        # Unit -> lowest fence that may still be granted.
        self._min_fences = {}

    def apply(self, command, now_ms):
        """Apply a grant command; return False if it is refused.

        A command of an older generation or of another epoch is refused.
        Raises KeyError, TypeError or ValueError if it is malformed.
        """
        term, number = command['generation']
        generation = (int(term), int(number))
        until_ms = float(command['until_clock_ms'])
        units = {str(k): int(v) for k, v in command['units'].items()}
        if command['epoch'] != self.epoch or generation < self._generation:
            return False
        self._generation = generation
        self._until_ms = until_ms
        self._units = {
            k: v for k, v in units.items() if v >= self._min_fences.get(k, 0)
        }
        self._min_fences.update(self._units)
        return True

    def check(self, unit, fence, now_ms):
        """Return OK if requests of the unit may run now, or the reason."""
        granted = self._units.get(unit)
        if granted is not None and granted != fence:
            return STALE_FENCE
        if granted is None:
            return NO_GRANT
        return OK if now_ms < self._until_ms else EXPIRED

    def find_barred(self, units):
        """Return the units that can't be granted under their given fence."""
        return {
            unit: fence
            for unit, fence in units.items()
            if fence < self._min_fences.get(unit, 0)
        }

    def release(self, unit, fence):
        """Revoke a unit under this fence and all lower ones, for good."""
        lowest = self._min_fences.get(unit, 0)
        self._min_fences[unit] = max(lowest, fence + 1)
        if self._units.get(unit, fence + 1) <= fence:
            del self._units[unit]

    def clear(self):
        """Drop all grants, as a restart does."""
        self._units = {}
        self._until_ms = 0
