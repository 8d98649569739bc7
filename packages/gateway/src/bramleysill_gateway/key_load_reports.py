"""Reports to the leader how many requests there were for each key."""

from bramleysill_kernel.common import messages


class KeyLoadReports:
    """The reports of one router.

    `counts` maps services to the number of requests by key since the last
    report. `leader` is the LeaderElection.
    """

    __slots__ = ('_router', '_links', '_leader', '_upstreams', '_counts')

    def __init__(self, router, links, leader, upstreams, counts):
        self._router = router
        self._links = links
        self._leader = leader
        self._upstreams = upstreams
        self._counts = counts

    def send(self):
        """Send a KeyLoads message for each service, if a router leads."""
        leader = self._leader.current_leader()
        if leader is None:
            return
        name = leader[0]
        for service, keys in self._counts.items():
            message = self._make_message(service, keys)
            if name == self._router:
                self._leader.note_report(message)
                continue
            self._links.send(name, message)
        self._counts.clear()

    def _make_message(self, service, keys):
        observations = self._upstreams.take_observations(service)
        return messages.KeyLoads(
            self._router,
            service,
            list(keys),
            list(keys.values()),
            [row[0] for row in observations],
            [row[1] for row in observations],
            [row[2] for row in observations],
        )
