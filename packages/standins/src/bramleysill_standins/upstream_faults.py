"""Faults of an upstream stand-in, set by its control call."""

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
    """The current faults; the mode `none` ends them all.

    `slow`, `leaving` and `mislead` last until then; `lose_answer` applies to
    the next `count` requests.
    """

    __slots__ = ('slow_factor', 'leaving', 'false_load', '_responses_to_lose')

    def __init__(self):
        self.clear()

    def clear(self):
        """End all faults."""
        self.slow_factor = 1.0
        self.leaving = False
        self.false_load = None
        self._responses_to_lose = 0

    def set(self, mode, query):
        """Set a fault from query parameters; raises ValueError if unknown.

        `freeze` and `cold` take effect at once; the control call runs them.
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
            self._responses_to_lose = int(query.get('count', 1))

    def take_lost_response(self):
        """Return whether to lose the response to this request; counts down."""
        if not self._responses_to_lose:
            return False
        self._responses_to_lose -= 1
        return True
