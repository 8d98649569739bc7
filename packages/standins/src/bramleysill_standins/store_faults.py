"""Faults that the store stand-in shows on request."""

MODES = ('none', 'down', 'slow', 'lose_answer')


class StoreFaults:
    """The current fault; `set` changes it, the others tell what to do."""

    __slots__ = ('mode', 'delay_ms', '_answers_to_lose')

    def __init__(self):
        self.set('none')

    def set(self, mode, delay_ms=0, count=1):
        """Change the fault; ValueError for an unknown mode."""
        if mode not in MODES:
            raise ValueError(f'unknown mode {mode!r}; known: {MODES}')
        self.mode = mode
        self.delay_ms = delay_ms if mode == 'slow' else 0
        self._answers_to_lose = count if mode == 'lose_answer' else 0

    @property
    def down(self):
        """Tell whether calls are dropped without an answer."""
        return self.mode == 'down'

    def take_lost_answer(self):
        """Tell whether the answer of this write is lost; counts it."""
        if not self._answers_to_lose:
            return False
        self._answers_to_lose -= 1
        return True
