"""The mean load over the upstreams of a service, as one router knows it.

Each upstream contributes its last load report. The mean therefore does not
depend on how often the router sends to an upstream, and with some dozens of
upstreams it is exact enough while the single reports are old.
"""


class ServiceLoad:
    """Sums of the last reports of a service's upstreams.

    A contribution is a tuple: requests of this router at the upstream, those
    of other routers, and slots. All are whole numbers, so that the sums do
    not drift.
    """

    __slots__ = ('_own', '_others', '_slots')

    def __init__(self):
        self._own = 0
        self._others = 0
        self._slots = 0

    def replace(self, old, new):
        """Replace the contribution of one upstream."""
        self._own += new[0] - old[0]
        self._others += new[1] - old[1]
        self._slots += new[2] - old[2]

    def usual_own(self):
        """Return the mean requests of this router per slot."""
        return self._own / self._slots if self._slots else 0.0

    def usual_others(self):
        """Return the mean requests of other routers per slot."""
        return self._others / self._slots if self._slots else 0.0
