"""Tracks load and connections of the upstream processes in use."""

import collections

from bramleysill_gateway.upstream_pool import UpstreamPool
from bramleysill_kernel.upstream_load import ServiceTime
from bramleysill_kernel.upstream_load import UpstreamLoad
from bramleysill_router.logs import log_event


class UpstreamPeer:
    """One upstream process with its directory entry, load and pool."""

    __slots__ = ('entry', 'load', 'pool', 'cold_until', 'replaced')

    def __init__(self, loop, entry, service_time):
        self.entry = entry
        self.load = UpstreamLoad(entry.slots, service_time)
        self.pool = UpstreamPool(loop, entry.address)
        self.cold_until = entry.cold_until
        # Whether another process has responded at the address, which means
        # that this one has ended.
        self.replaced = False

    @property
    def failure_domain(self):
        """Return the failure domain of the upstream."""
        return self.entry.failure_domain


class Upstreams:
    """Peers by upstream id and incarnation, kept while their entries exist."""

    def __init__(self, loop, directory):
        self._loop = loop
        self._directory = directory
        self._peers = {}
        # Average service time, by service.
        self._service_times = collections.defaultdict(ServiceTime)

    def peer(self, entry):
        """Return the peer of an entry; create it on first use."""
        key = entry.upstream, entry.incarnation
        peer = self._peers.get(key)
        if peer is None or peer.entry.address != entry.address:
            peer = self._peers[key] = UpstreamPeer(
                self._loop, entry, self._service_times[entry.service]
            )
        if peer.entry is not entry:
            peer.entry = entry
            peer.cold_until = entry.cold_until
        return peer

    def take_observations(self, service):
        """Return (upstream, responses, busy seconds) since the last call."""
        found = []
        for peer in self._peers.values():
            if peer.entry.service != service:
                continue
            responses, busy_seconds = peer.load.take_observations()
            if responses:
                found.append((peer.entry.upstream, responses, busy_seconds))
        return found

    def sweep(self):
        """Remove processes that have ended and close idle connections."""
        for key, peer in list(self._peers.items()):
            peer.pool.sweep()
            known = self._directory.last_known(key[0])
            ended = known is None or known.incarnation != key[1]
            if ended and peer.load.in_flight == 0:
                peer.pool.close()
                del self._peers[key]
                log_event('upstream_process_removed', upstream=key[0])

    def close(self):
        """Close all idle connections."""
        for peer in self._peers.values():
            peer.pool.close()
