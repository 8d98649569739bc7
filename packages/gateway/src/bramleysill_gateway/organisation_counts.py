"""Counts requests by organisation, and shows the age of the configuration."""

from bramleysill_kernel.config.organisation_labels import OrganisationLabels


class OrganisationCounts:
    """Counts the outcomes of requests in `metrics`.

    `state` has the configuration in force and its Freshness.
    """

    def __init__(self, cfg, state, metrics):
        self._cfg = cfg
        self._state = state
        self._metrics = metrics
        self._labels = OrganisationLabels()
        self._config = None
        metrics.add_gauge(self._gauges)

    def note(self, organisation, code):
        """Count a request that has ended with an outcome code."""
        config = self._state.config
        if config is not self._config:
            self._config = config
            self._labels.update(config.organisations or ())
        label = self._labels.label(organisation)
        self._metrics.organisation_requests[label, code] += 1

    def _gauges(self):
        config = self._state.config
        organisations = config.organisations if config is not None else None
        if organisations is None:
            return
        yield 'bramleysill_organisations', {}, len(organisations)
        freshness = self._state.config_freshness
        # Otherwise nothing keeps it recent, and nothing depends on it.
        if self._cfg.bounds.strict_revoke and freshness.as_of is not None:
            yield 'bramleysill_config_age_seconds', {}, freshness.age()
