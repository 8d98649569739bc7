"""The dispatchers of all upstreams that this router serves."""

from bramleysill_kernel.common import refusals
from bramleysill_kernel.config.manifest import KIND_KEYED
from bramleysill_router.dispatcher import UpstreamDispatcher
from bramleysill_router.upstream_control import UpstreamControl
from bramleysill_router.upstream_pool import UpstreamPool


class Dispatchers:
    """Creates a dispatcher for each role, and drops it when it is unused.

    A dispatcher stays after its role has ended until its requests have ended.
    """

    __slots__ = ('_context', '_by_upstream')

    def __init__(self, context):
        self._context = context
        self._by_upstream = {}

    def submit(self, head, sink):
        """Start an attempt at an upstream; return it, or None if refused."""
        dispatcher = self.get(head.upstream)
        if dispatcher is None:
            sink.on_refused(
                refusals.NotDispatcher(
                    'this router is not the dispatcher of the upstream',
                    'dispatch',
                    head.upstream,
                )
            )
            return None
        return dispatcher.submit(head, sink)

    def get(self, upstream):
        """Return the dispatcher of an upstream, or None.

        It is created if the router holds the role and has none yet.
        """
        dispatcher = self._by_upstream.get(upstream)
        if dispatcher is None and self._context.agent.may_dispatch(upstream):
            dispatcher = self._create(upstream)
        return dispatcher

    def must_report_held(self, upstream):
        """Return whether a withdrawn role is still reported as held.

        That is so while requests run at an owner that doesn't check
        authority: only this router knows about them. An upstream that checks
        authority continues under the next dispatcher's grants, and a shared
        service has no owner to protect.
        """
        dispatcher = self._by_upstream.get(upstream)
        if dispatcher is None or dispatcher.service.authority:
            return False
        return dispatcher.service.kind == KIND_KEYED and dispatcher.is_busy()

    def busy_count(self):
        """Return the number of upstreams with requests in flight."""
        return sum(d.is_busy() for d in self._by_upstream.values())

    def on_state_changed(self):
        """Apply new roles and tables: create dispatchers, renew grants."""
        agent = self._context.agent
        for upstream in list(agent.held):
            if self.get(upstream) is not None:
                self._by_upstream[upstream].on_state_changed()

    def tick(self):
        """Tick all dispatchers; drop those that are unused."""
        for upstream, dispatcher in list(self._by_upstream.items()):
            dispatcher.tick()
            if dispatcher.is_unused():
                dispatcher.close()
                del self._by_upstream[upstream]

    def report_all(self):
        """Add a report of each held upstream to the next heartbeat."""
        agent = self._context.agent
        for upstream, dispatcher in self._by_upstream.items():
            if upstream in agent.held:
                agent.report(dispatcher.report())

    def probe(self, upstream, callback):
        """Probe an upstream at the coordinator's request.

        Calls `callback(reachable)`. The coordinator requests it for an
        upstream that its dispatcher reports as unreachable.
        """
        pool = UpstreamPool(
            self._context.loop, upstream.host, upstream.port, 1
        )

        def on_reply(status, document):
            pool.close()
            callback(status == 200)

        UpstreamControl(self._context.loop, pool).probe(on_reply)

    def gauges(self):
        """Yield (name, labels, value) of the gauges of all upstreams."""
        for name, dispatcher in self._by_upstream.items():
            labels = {'upstream': name}
            admission = dispatcher.admission
            yield 'bramleysill_in_flight', labels, admission.in_flight
            most = admission.most_in_flight
            yield 'bramleysill_most_in_flight', labels, most
            yield 'bramleysill_queued', labels, admission.queued
            yield 'bramleysill_limit', labels, admission.limit

    def _create(self, upstream):
        manifest = self._context.state.manifest
        declared = manifest.upstreams.get(upstream) if manifest else None
        if declared is None:
            return None
        service = manifest.services[declared.service]
        dispatcher = UpstreamDispatcher(self._context, declared, service)
        self._by_upstream[upstream] = dispatcher
        return dispatcher
