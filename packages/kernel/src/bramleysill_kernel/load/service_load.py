"""The mean load over the upstreams of a service, as one router knows it.

Each upstream contributes its last load report. The mean therefore does not
depend on how often the router sends to an upstream, and with some dozens of
upstreams it is exact enough while the single reports are old.
"""


class _DomainLoad:
    __slots__ = ('requests', 'others', 'slots')

    def __init__(self):
        self.requests = 0
        self.others = 0
        self.slots = 0

    def add(self, contribution, sign):
        requests, others, slots = contribution
        self.requests += sign * requests
        self.others += sign * others
        self.slots += sign * slots


class ServiceLoad:
    """Sums of the last reports of a service, in all and by failure domain.

    A contribution is a tuple: requests at the upstream, those of them that
    other routers have sent, and slots. All are whole numbers, so that the sums
    do not drift.
    """

    __slots__ = ('_total', '_domains')

    def __init__(self):
        self._total = _DomainLoad()
        self._domains = {}

    def replace(self, failure_domain, old, new):
        """Replace the contribution of one upstream."""
        domain = self._domains.get(failure_domain)
        if domain is None:
            domain = self._domains[failure_domain] = _DomainLoad()
        for load in (self._total, domain):
            load.add(old, -1)
            load.add(new, 1)
        if not domain.slots:
            del self._domains[failure_domain]

    def usual_others(self):
        """Return the mean requests of other routers per slot."""
        total = self._total
        return total.others / total.slots if total.slots else 0.0

    def usual_own(self):
        """Return the mean requests of this router per slot."""
        total = self._total
        if not total.slots:
            return 0.0
        return (total.requests - total.others) / total.slots

    def utilisation(self, failure_domain):
        """Return the requests per slot in a domain and in all the others.

        Either is None if no upstream there has reported.
        """
        total = self._total
        domain = self._domains.get(failure_domain)
        if domain is None:
            inside, requests, slots = None, total.requests, total.slots
        else:
            inside = domain.requests / domain.slots
            requests = total.requests - domain.requests
            slots = total.slots - domain.slots
        return inside, requests / slots if slots else None
