"""Faults of the store stand-in, set by its control call."""

MODES = ('none', 'down', 'slow', 'lose_answer')


class StoreFaults:
    """The current fault mode and its parameters."""

    __slots__ = ('mode', 'delay_ms', '_replies_to_lose')

    def __init__(self):
        self.set('none')

    def set(self, mode, delay_ms=0, count=1):
        """Set the fault mode; raises ValueError for an unknown one."""
        if mode not in MODES:
            raise ValueError(f'unknown mode {mode!r}; known: {MODES}')
        self.mode = mode
        self.delay_ms = delay_ms if mode == 'slow' else 0
        self._replies_to_lose = count if mode == 'lose_answer' else 0

    @property
    def down(self):
        """Return whether calls are dropped without a reply."""
        return self.mode == 'down'

    def take_lost_reply(self):
        """Return whether to lose the reply to this write; counts down."""
        if not self._replies_to_lose:
            return False
        self._replies_to_lose -= 1
        return True
