"""Tracks load and connections of the upstream processes in use."""

import collections

from bramleysill_gateway.upstream_pool import UpstreamPool
from bramleysill_kernel.load.named_limits import NamedLimits
from bramleysill_kernel.load.service_load import ServiceLoad
from bramleysill_kernel.load.upstream_load import ServiceTime
from bramleysill_kernel.load.upstream_load import UpstreamLoad
from bramleysill_kernel.load.upstream_memory import InFlightBytes
from bramleysill_kernel.load.upstream_memory import MemoryEstimates
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning

# A malformed header value is logged up to this length.
MAX_LOGGED_VALUE_CHARS = 40


class UpstreamPeer:
    """One upstream process with its directory entry, load and pool."""

    __slots__ = (
        'entry',
        'load',
        'pool',
        'in_flight_bytes',
        'cold_until',
        'replaced',
        'requests_sent',
        'limit_room_at',
        '_limits',
        '_malformed_limit',
        '_malformed_retry_after',
        '_odd_report',
        '_logged_sent',
    )

    def __init__(
        self, loop, entry, service_time, service_load, limits, estimates
    ):
        self.entry = entry
        self.load = UpstreamLoad(entry.slots, service_time, service_load)
        self.pool = UpstreamPool(loop, entry.address)
        self.in_flight_bytes = InFlightBytes(loop, entry.upstream, estimates)
        self.cold_until = entry.cold_until
        # Whether another process has responded at the address, which means
        # that this one has ended.
        self.replaced = False
        # Requests of callers that this router has sent, repeated ones too.
        self.requests_sent = 0
        # Until when the limit of the process has no room, in seconds.
        self.limit_room_at = 0.0
        self._limits = limits
        self._malformed_limit = False
        self._malformed_retry_after = False
        self._odd_report = False
        self._logged_sent = 0

    @property
    def limit(self):
        """Return the limit that the process has named, or None.

        It is in requests per second from all routers together.
        """
        entry = self.entry
        return self._limits.rate(entry.upstream, entry.incarnation)

    def note_limit(self, rate):
        """Record the limit in a response; None if it named none."""
        entry = self.entry
        if self._limits.observe(entry.upstream, entry.incarnation, rate):
            log_event(
                'upstream_limit_changed',
                upstream=entry.upstream,
                incarnation=entry.incarnation,
                limit=-1.0 if rate is None else rate,
            )

    def note_unreachable(self, now):
        """Record that no connection to the process could be made."""
        self.load.note_unreachable(now)
        self.note_gone()

    def note_gone(self):
        """Record that the process can't be reached, or was replaced."""
        held = self.in_flight_bytes.note_gone()
        if held:
            log_warning(
                'upstream_lost_with_bytes',
                upstream=self.entry.upstream,
                incarnation=self.entry.incarnation,
                held=held,
            )

    def note_malformed_limit(self, value):
        """Log the first malformed limit of the process; none applies."""
        if not self._malformed_limit:
            self._malformed_limit = True
            log_warning(
                'upstream_limit_malformed',
                upstream=self.entry.upstream,
                value=value[:MAX_LOGGED_VALUE_CHARS],
            )

    def note_malformed_retry_after(self, value):
        """Log the first malformed Retry-After of the process."""
        if not self._malformed_retry_after:
            self._malformed_retry_after = True
            log_warning(
                'upstream_retry_after_malformed',
                upstream=self.entry.upstream,
                value=value[:MAX_LOGGED_VALUE_CHARS],
            )

    def note_odd_report(self, value):
        """Log the first odd load report of the process.

        A malformed one is ignored, and one beyond its bounds is reduced.
        """
        if not self._odd_report:
            self._odd_report = True
            log_warning(
                'upstream_report_odd',
                upstream=self.entry.upstream,
                value=value[:MAX_LOGGED_VALUE_CHARS],
            )

    def log_limited_sends(self):
        """Log what was sent since the last call, if a limit is named."""
        sent = self.requests_sent - self._logged_sent
        self._logged_sent = self.requests_sent
        limit = self.limit
        if limit is not None and sent:
            log_event(
                'upstream_limit_use',
                upstream=self.entry.upstream,
                limit=limit,
                requests=sent,
            )

    @property
    def failure_domain(self):
        """Return the failure domain of the upstream."""
        return self.entry.failure_domain


class Upstreams:
    """Peers by upstream id and incarnation, kept while their entries exist."""

    def __init__(self, loop, directory):
        self.limits = NamedLimits(loop)
        self.memory_estimates = MemoryEstimates(loop)
        self._loop = loop
        self._directory = directory
        self._peers = {}
        # Average service time and load, by service.
        self._service_times = collections.defaultdict(ServiceTime)
        self._service_loads = collections.defaultdict(ServiceLoad)

    def peer(self, entry):
        """Return the peer of an entry; create it on first use."""
        key = entry.upstream, entry.incarnation
        peer = self._peers.get(key)
        if peer is None or peer.entry.address != entry.address:
            if peer is not None:
                peer.load.leave_service()
            self._note_replaced(entry.upstream)
            peer = self._peers[key] = UpstreamPeer(
                self._loop,
                entry,
                self._service_times[entry.service],
                self._service_loads[entry.service],
                self.limits,
                self.memory_estimates,
            )
        if peer.entry is not entry:
            peer.entry = entry
            peer.cold_until = entry.cold_until
        return peer

    def _note_replaced(self, upstream):
        """Record that the former processes of an upstream have ended."""
        for (name, _), peer in self._peers.items():
            if name == upstream:
                peer.note_gone()

    def service_seconds(self, service):
        """Return the average time that a request takes at a service."""
        return self._service_times[service].seconds

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
        self.limits.sweep()
        self.memory_estimates.sweep()
        for key, peer in list(self._peers.items()):
            peer.pool.sweep()
            peer.log_limited_sends()
            known = self._directory.last_known(key[0])
            ended = known is None or known.incarnation != key[1]
            if ended:
                peer.load.forget_report()
            if ended and peer.load.in_flight == 0:
                peer.pool.close()
                del self._peers[key]
                log_event('upstream_process_removed', upstream=key[0])

    def close(self):
        """Close all idle connections."""
        for peer in self._peers.values():
            peer.pool.close()
