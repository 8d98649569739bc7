"""Identifies the callers of requests and counts requests by organisation.

Without organisations in the configuration, nothing here changes a request.
"""

from bramleysill_gateway.request_refusals import config_stale
from bramleysill_gateway.request_refusals import unauthenticated
from bramleysill_kernel.common import refusals
from bramleysill_kernel.config.credentials import ANONYMOUS
from bramleysill_kernel.config.credentials import identify
from bramleysill_kernel.discovery.freshness import may_use_keys

AUTHORIZATION = 'authorization'


class Identification:
    """Finds the organisation of each request.

    `freshness` is the Freshness of the configuration, and `counts` the
    OrganisationCounts to count refusals in.
    """

    def __init__(self, cfg, adapter, freshness, counts):
        self._cfg = cfg
        self._freshness = freshness
        self._counts = counts
        # Fields of callers that upstreams must not get.
        self._dropped_fields = frozenset(
            (AUTHORIZATION, adapter.organisation_header.lower())
        )

    def identify(self, config, route, req):
        """Return the Identity of a request of a route."""
        if config.organisations is None:
            return ANONYMOUS
        values = [v for name, v in req.headers if name == AUTHORIZATION]
        return identify(
            config.organisations, route.public, values, self._is_recent
        )

    def dropped_fields(self, config):
        """Return the names of callers' fields that are not forwarded."""
        if config.organisations is None:
            return frozenset()
        return self._dropped_fields

    def make_refusal(self, identity, time_left):
        """Return the refusal of a request that may not run, and count it.

        `time_left` is the time in seconds that its caller waits.
        """
        refusal_class = identity.refusal_class
        self._counts.note(identity.organisation, refusal_class.code)
        if refusal_class is refusals.ConfigStale:
            return config_stale(time_left)
        return unauthenticated()

    def _is_recent(self):
        return may_use_keys(self._freshness, self._cfg.bounds)
