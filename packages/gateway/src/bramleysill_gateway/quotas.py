"""Asks the quota owners of organisations for tokens, and replies as an owner.

docs/design/quotas.md describes how a quota is kept over all routers.
"""

from bramleysill_gateway.pending_requests import PendingRequests
from bramleysill_kernel.common import messages
from bramleysill_kernel.load.organisation_quotas import OrganisationQuotas
from bramleysill_kernel.load.token_leases import REPLY_TIMEOUT_SECONDS
from bramleysill_kernel.load.token_leases import QuotaAction
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning

# The delay in the reply of a router that isn't the owner.
NOT_OWNER_DELAY = -1.0


class _Waiter:
    """A request that waits; `callback` gets the QuotaDecision."""

    __slots__ = ('organisation', 'callback')

    def __init__(self, organisation, callback):
        self.organisation = organisation
        self.callback = callback


class Quotas:
    """This router's part in keeping the quotas of organisations.

    `freshness` is the Freshness of the prefix that registers routers. Set
    `links` before the first request.
    """

    def __init__(self, loop, cfg, state, freshness, metrics):
        self.links = None
        self._loop = loop
        self._cfg = cfg
        self._state = state
        self._metrics = metrics
        self._quotas = OrganisationQuotas(
            loop, cfg.name, state.routers, freshness
        )
        self._config = None
        self._bounds = None
        self._has_limits = False
        # A cell that never had a limit shows no metrics of quotas.
        self._had_limits = False
        self._was_active = False
        self._pending = PendingRequests(
            loop, REPLY_TIMEOUT_SECONDS, self._on_timeout
        )
        metrics.add_gauge(self._gauges)

    @property
    def has_limits(self):
        """Return whether any organisation has a limit."""
        self._apply_config()
        return self._has_limits

    def has_limit(self, organisation):
        """Return whether requests of an organisation need a token."""
        self._apply_config()
        return self._quotas.limit(organisation) is not None

    def ask(self, organisation, callback):
        """Call `callback(QuotaDecision)` on a request; return its waiter.

        The organisation has a limit. The waiter is for `cancel`, and None if
        the callback was called.
        """
        self._update()
        waiter = _Waiter(organisation, callback)
        decision = self._quotas.request(organisation, waiter)
        if decision is not None:
            self._settle([(waiter, decision)])
            return None
        self._send_request(organisation)
        return waiter

    def cancel(self, waiter):
        """Remove a waiter whose request has ended."""
        self._quotas.cancel(waiter.organisation, waiter)

    def give_back(self, organisation, token):
        """Take back the token of a request that has certainly not run."""
        self._quotas.give_back(organisation, token)

    def on_request(self, link, message):
        """Reply to a router that asks for tokens."""
        self._update()
        grant = self._quotas.grant(
            message.organisation, message.waiting, message.wanted
        )
        if grant is None:
            reply = messages.QuotaReply(message.number, 0, NOT_OWNER_DELAY)
        else:
            reply = messages.QuotaReply(
                message.number, grant.granted, grant.delay
            )
        link.send(reply)

    def on_reply(self, message):
        """Use the tokens of a reply, unless it comes too late."""
        request = self._pending.take(message.number)
        if request is None:
            return
        self._update()
        self._finish(
            request,
            self._quotas.on_reply(request, message.granted, message.delay),
        )

    def tick(self):
        """Follow changes of the configuration and of the list of routers."""
        self._apply_config()
        if not self._has_limits:
            return
        self._update()
        if self._quotas.ownership.must_read_list():
            self._state.read_routers()

    def sweep(self):
        """Remove the state that is no longer needed."""
        self._quotas.sweep()

    def stop(self):
        """Own no organisation any more, as the process ends."""
        self._quotas.ownership.stop()

    def _apply_config(self):
        config, bounds = self._state.config, self._cfg.bounds
        if config is self._config and bounds is self._bounds:
            return
        self._config, self._bounds = config, bounds
        table = config.organisations if config is not None else None
        by_name = table.by_name if table is not None else {}
        settled = self._quotas.apply(by_name, bounds)
        self._has_limits = self._quotas.has_limits()
        self._had_limits = self._had_limits or self._has_limits
        self._settle(settled)

    def _update(self):
        self._apply_config()
        ownership = self._quotas.ownership
        ownership.update(self._state.store_era)
        if ownership.is_active != self._was_active:
            self._was_active = ownership.is_active
            log_event(
                'quota_ownership_changed',
                active=ownership.is_active,
                routers=len(ownership.ranking.routers),
            )

    def _send_request(self, organisation):
        """Ask the owner, if a request for tokens is due."""
        request = self._quotas.next_request(organisation)
        if request is None:
            return
        if request.owner == self._cfg.name:
            self._take_own(request)
        elif request.owner is None or not self._send_message(request):
            self._finish(request, self._quotas.on_no_owner(request))

    def _take_own(self, request):
        grant = self._quotas.grant(
            request.organisation, request.waiting, request.wanted
        )
        if grant is None:
            settled = self._quotas.on_no_owner(request)
        else:
            settled = self._quotas.on_reply(
                request, grant.granted, grant.delay
            )
        self._finish(request, settled)

    def _send_message(self, request):
        """Ask another router; return whether the message could be sent."""
        number = self._pending.next_number()
        address = self._state.routers.address(request.owner)
        self.links.update_addresses({request.owner: address})
        message = messages.QuotaRequest(
            number, request.organisation, request.waiting, request.wanted
        )
        if not self.links.send(request.owner, message):
            return False
        self._pending.add(number, request)
        return True

    def _on_timeout(self, request):
        if not self._quotas.is_silent(request.owner):
            log_warning(
                'quota_owner_silent',
                peer=request.owner,
                organisation=request.organisation,
            )
        self._finish(request, self._quotas.on_silent(request))

    def _finish(self, request, settled):
        """Report decisions, and ask for the requests that came meanwhile."""
        self._settle(settled)
        self._send_request(request.organisation)

    def _settle(self, settled):
        for waiter, decision in settled:
            self._metrics.quota_decisions[_decision_label(decision)] += 1
            waiter.callback(decision)

    def _gauges(self):
        if not self._had_limits:
            return
        buckets, leases = self._quotas.counts()
        yield 'bramleysill_quota_buckets', {}, buckets
        yield 'bramleysill_quota_organisations', {}, leases
        active = int(self._quotas.ownership.is_active)
        yield 'bramleysill_quota_owner_active', {}, active


def _decision_label(decision):
    """Return the label of a decision in the metrics."""
    if decision.action is not QuotaAction.SEND:
        return decision.action.value
    if decision.token is not None and decision.token.fallback_at is not None:
        return 'fallback'
    return QuotaAction.SEND.value
