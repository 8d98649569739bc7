"""Faults that an upstream stand-in shows on request."""

MODES = (
    'none',
    'slow',
    'freeze',
    'cold',
    'leaving',
    'mislead',
    'lose_answer',
)


class UpstreamFaults:
    """The current faults; `none` ends them all.

    `slow`, `leaving` and `mislead` last until then; `lose_answer` covers
    the next `count` requests.
    """

    __slots__ = ('slow_factor', 'leaving', 'false_load', '_answers_to_lose')

    def __init__(self):
        self.clear()

    def clear(self):
        """End all faults."""
        self.slow_factor = 1.0
        self.leaving = False
        self.false_load = None
        self._answers_to_lose = 0

    def set(self, mode, query):
        """Apply a fault from its query fields; ValueError if unknown.

        `freeze` and `cold` act at once and are left to the upstream.
        """
        if mode not in MODES:
            raise ValueError(f'unknown mode {mode!r}; known: {MODES}')
        if mode == 'none':
            self.clear()
        elif mode == 'slow':
            self.slow_factor = float(query.get('factor', 10))
        elif mode == 'leaving':
            self.leaving = True
        elif mode == 'mislead':
            self.false_load = float(query.get('load', 0))
        elif mode == 'lose_answer':
            self._answers_to_lose = int(query.get('count', 1))

    def take_lost_answer(self):
        """Tell whether the answer of this request is lost; counts it."""
        if not self._answers_to_lose:
            return False
        self._answers_to_lose -= 1
        return True
