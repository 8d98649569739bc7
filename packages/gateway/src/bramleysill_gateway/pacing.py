"""Asks the pacing router of an upstream when a request may be sent.

Lists of routers may differ for some seconds, above all after a restore of the
store. A router paces only if it comes first by its own list: it declines the
requests of routers with another list, which then use their fallback shares. A
router that has just started, whose list may lack others, has no such share,
and lets the next router of its list confirm that it comes first.

Routers also tell the leader which limits they have heard of, and the leader
tells all others, so that a router applies a limit before its first response.
"""

from bramleysill_gateway.pending_requests import PendingRequests
from bramleysill_kernel.common import messages
from bramleysill_kernel.load.named_limits import LimitReport
from bramleysill_kernel.load.rate_pacer import FALLBACK_RETRY_SECONDS
from bramleysill_kernel.load.rate_pacer import PaceDecision
from bramleysill_kernel.load.rate_pacer import UpstreamPacers
from bramleysill_kernel.load.rate_pacer import pacing_router
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning

# A pacing router replies within milliseconds. Without a reply, this router
# uses the share of the limit that is set aside for that.
REPLY_TIMEOUT_SECONDS = 0.15
# A router that did not reply is not asked again for this time.
SILENT_ROUTER_SECONDS = 0.5
NO_LIMIT = -1.0
# The delay in the reply of a router that does not pace the upstream.
NOT_PACING = -1.0


class _PendingRequest:
    """A PaceRequest without a reply; `callback` gets the PaceDecision.

    `on_declined()` is called if the other router does not pace the upstream.
    """

    __slots__ = ('router', 'entry', 'callback', 'on_declined')

    def __init__(self, router, entry, callback, on_declined):
        self.router = router
        self.entry = entry
        self.callback = callback
        self.on_declined = on_declined


class Pacing:
    """This router's part in keeping the limits of upstreams.

    `routers` are the KnownRouters and `limits` the NamedLimits. Set `links`
    before the first request.
    """

    def __init__(self, loop, name, routers, limits):
        self.links = None
        self._loop = loop
        self._name = name
        self._routers = routers
        self._limits = limits
        self._pacers = UpstreamPacers(loop, limits)
        self._pending = PendingRequests(
            loop, REPLY_TIMEOUT_SECONDS, self._on_timeout
        )
        self._silent_until = {}
        # By upstream, the router that was last found to pace it.
        self._pacing_routers = {}

    def ask(self, entry, max_wait, callback):
        """Call `callback(PaceDecision)` on a request to an upstream.

        `max_wait` is the time in seconds that the request may wait.
        """
        names = self._routers.running_names() or [self._name]
        router = pacing_router(entry.upstream, names)
        self._note_pacing_router(entry.upstream, router, len(names))

        def pace():
            callback(
                self._pacers.take(entry.upstream, entry.incarnation, max_wait)
            )

        def use_fallback():
            callback(self._take_fallback(entry))

        if router != self._name:
            self._ask_router(router, entry, max_wait, callback, use_fallback)
        elif self._routers.has_settled_once():
            pace()
        else:
            others = [name for name in names if name != self._name]
            next_router = pacing_router(entry.upstream, others)
            self._ask_router(next_router, entry, max_wait, callback, pace)

    def exchange_reports(self, leader):
        """Send new reports to the leader, or as the leader to all routers.

        `leader` is the name of the leader, or None.
        """
        if leader is None:
            return
        if leader == self._name:
            self._limits.take_unsent()
            rows = [self._make_row(r) for r in self._limits.reports()]
            if rows:
                self.links.broadcast(messages.UpstreamLimits(self._name, rows))
            return
        rows = [self._make_row(r) for r in self._limits.take_unsent()]
        if rows:
            self.links.send(leader, messages.UpstreamLimits(self._name, rows))

    def on_reports(self, message):
        """Use the reports of another router."""
        for row in message.rows:
            self._limits.merge(self._read_row(row))

    def on_request(self, link, message):
        """Reply to a router that asks for a request of its caller."""
        report = self._read_row(message.report)
        self._limits.merge(report)
        if not self._comes_first(report.upstream):
            link.send(messages.PaceReply(message.number, False, NOT_PACING))
            return
        decision = self._pacers.take(
            report.upstream, report.incarnation, message.max_wait
        )
        link.send(
            messages.PaceReply(
                message.number, decision.permitted, decision.delay
            )
        )

    def on_reply(self, message):
        """Pass a reply on, unless it comes too late."""
        request = self._pending.take(message.number)
        if request is None:
            return
        if message.delay < 0.0:
            request.on_declined()
        else:
            request.callback(message)

    def sweep(self):
        """Remove the state of upstreams without a limit."""
        self._pacers.sweep()
        now = self._loop.now()
        self._silent_until = {
            router: until
            for router, until in self._silent_until.items()
            if now < until
        }
        limited = {report.upstream for report in self._limits.reports()}
        for upstream in set(self._pacing_routers) - limited:
            del self._pacing_routers[upstream]

    def _comes_first(self, upstream):
        """Return whether this router paces an upstream by its own list."""
        names = self._routers.running_names() or [self._name]
        return pacing_router(upstream, names) == self._name

    def _note_pacing_router(self, upstream, router, count):
        if self._pacing_routers.get(upstream) == router:
            return
        self._pacing_routers[upstream] = router
        log_event(
            'pacing_router_changed',
            upstream=upstream,
            router=router,
            routers=count,
        )

    def _ask_router(self, router, entry, max_wait, callback, on_declined):
        """Ask another router, or use the fallback if it can't be asked.

        `router` may be None. `on_declined()` is called if it does not pace the
        upstream.
        """
        if (
            router is None
            or self._is_silent(router)
            or not self._send_request(
                router, entry, max_wait, callback, on_declined
            )
        ):
            callback(self._take_fallback(entry))

    def _send_request(self, router, entry, max_wait, callback, on_declined):
        """Ask another router; return whether the message could be sent."""
        report = self._limits.report(entry.upstream, entry.incarnation)
        if report is None:
            return False
        number = self._pending.next_number()
        self.links.update_addresses({router: self._routers.address(router)})
        message = messages.PaceRequest(
            number, self._make_row(report), max_wait
        )
        if not self.links.send(router, message):
            return False
        request = _PendingRequest(router, entry, callback, on_declined)
        self._pending.add(number, request)
        return True

    def _on_timeout(self, request):
        if not self._is_silent(request.router):
            log_warning(
                'pacing_router_silent',
                peer=request.router,
                upstream=request.entry.upstream,
            )
        self._silent_until[request.router] = (
            self._loop.now() + SILENT_ROUTER_SECONDS
        )
        request.callback(self._take_fallback(request.entry))

    def _is_silent(self, router):
        return self._loop.now() < self._silent_until.get(router, 0.0)

    def _take_fallback(self, entry):
        if not self._routers.has_settled_once():
            return PaceDecision(False, FALLBACK_RETRY_SECONDS)
        return self._pacers.take_fallback(
            entry.upstream,
            entry.incarnation,
            self._name,
            self._routers.names(),
        )

    def _make_row(self, report):
        return messages.LimitRow(
            report.upstream,
            report.incarnation,
            NO_LIMIT if report.rate is None else report.rate,
            max(0.0, self._loop.now() - report.heard_at),
        )

    def _read_row(self, row):
        return LimitReport(
            row.upstream,
            row.incarnation,
            None if row.rate < 0.0 else row.rate,
            self._loop.now() - row.age,
        )
