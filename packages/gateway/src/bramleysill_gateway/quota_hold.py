"""Holds the quota token of one request.

A request whose organisation has a limit is sent with a token. A token that
was not used goes back, also while the request waits for something else, so
that others can use it. An attempt that certainly has not run leaves its token
to the next attempt; one that may have run has used it.

A decision only changes what the next dispatch finds, as in `limit_wait`.
"""

import enum

from bramleysill_gateway import request_refusals
from bramleysill_kernel.load.retry_rules import AttemptOutcome
from bramleysill_kernel.load.token_leases import QuotaAction


class _State(enum.Enum):
    """What a token of a request is used for, if there is one."""

    UNUSED = 'unused'
    # The request waits for a token.
    WAITING = 'waiting'
    SENT = 'sent'
    # The request was sent with the token, and has certainly not run.
    KEPT = 'kept'


class QuotaHold:
    """The token of one exchange, or its wait for one."""

    __slots__ = ('_exchange', '_token', '_waiter', '_state', '_denial')

    def __init__(self, exchange):
        self._exchange = exchange
        self._token = None
        self._waiter = None
        self._state = _State.UNUSED
        # The QuotaDecision against the request, or None.
        self._denial = None

    def may_dispatch(self, now):
        """Return whether the request needs no token or has one.

        Otherwise the exchange is dispatched again or refused later.
        """
        exchange = self._exchange
        organisation = exchange.organisation
        if organisation is None or exchange.route.public:
            return True
        if self._token is not None and self._token.is_valid(now):
            return True
        quotas = exchange.frontend.quotas
        if not quotas.has_limit(organisation.name):
            return True
        if self._denial is not None:
            self._refuse(self._denial)
            return False
        if self._state is _State.WAITING:
            return False
        self._token = None
        self._state = _State.WAITING
        waiter = quotas.ask(organisation.name, self._on_decision)
        if self._state is _State.WAITING:
            self._waiter = waiter
        return False

    def note_sent(self):
        """Record that the request is sent with the token."""
        self._state = _State.SENT

    def note_failed(self, outcome):
        """Keep the token for a retry if the attempt has certainly not run."""
        if outcome is AttemptOutcome.NOT_RUN:
            self._state = _State.KEPT
        else:
            self._token = None
            self._state = _State.UNUSED

    def release_unused(self):
        """Give the token back if the request was not sent now."""
        if self._state is _State.UNUSED:
            self._give_back()

    def finish(self):
        """End the wait, or give back a token that was not used."""
        if self._waiter is not None:
            self._exchange.frontend.quotas.cancel(self._waiter)
            self._waiter = None
        if self._state is not _State.SENT:
            self._give_back()

    def _give_back(self):
        token, self._token = self._token, None
        if token is not None:
            exchange = self._exchange
            exchange.frontend.quotas.give_back(
                exchange.organisation.name, token
            )

    def _on_decision(self, decision):
        exchange = self._exchange
        self._waiter = None
        # The token is unused even if the request was sent without it, once
        # the limit was removed.
        self._state = _State.UNUSED
        self._token = decision.token
        if exchange.finished:
            # Another decision of the same reply has ended this request.
            self._give_back()
            return
        if decision.action is not QuotaAction.SEND:
            self._denial = decision
        exchange.dispatch()

    def _refuse(self, decision):
        exchange = self._exchange
        exchange.refuse(
            request_refusals.over_quota(
                exchange.organisation.name,
                decision,
                exchange.bound_retry_after,
            )
        )
