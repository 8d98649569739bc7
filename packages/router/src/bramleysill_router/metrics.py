"""Metrics of a router, in an aioprometheus registry.

The request path counts in plain integers, which are copied into the registry
when /metrics is read, because incrementing a labelled aioprometheus counter
takes several microseconds.
"""

import collections
import time

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Registry
from aioprometheus import render

from bramleysill_kernel.common.latency_buckets import LATENCY_BUCKETS_SECONDS

# Upper bounds of the buckets of the age of load reports, in seconds.
REPORT_AGE_BUCKETS_SECONDS = (0.05, 0.1, 0.2, 0.5, 1.0, 2.0)

# Collector class and help text by metric name.
COLLECTORS = {
    'bramleysill_requests_total': (Counter, 'Requests by outcome code.'),
    'bramleysill_latency_seconds_bucket': (Counter, 'Requests by latency.'),
    'bramleysill_latency_seconds_sum': (Counter, 'Sum of latencies.'),
    'bramleysill_report_age_seconds_bucket': (
        Counter,
        'Sends to shared services by age of the load report.',
    ),
    'bramleysill_full_refusals_total': (
        Counter,
        'Refusals because an upstream was full.',
    ),
    'bramleysill_control_bytes_total': (Counter, 'Bytes of control messages.'),
    'bramleysill_events_total': (Counter, 'Events by kind.'),
    'bramleysill_failure_domain_moves_total': (
        Counter,
        'Times that a failure domain went out or came back.',
    ),
    'bramleysill_failure_domain_out': (
        Gauge,
        '1 while all upstreams of the domain are drained.',
    ),
    'bramleysill_started_seconds': (
        Gauge,
        'Start time in seconds since the epoch.',
    ),
    'bramleysill_in_flight': (Gauge, 'Requests running at an upstream.'),
    'bramleysill_most_in_flight': (
        Gauge,
        'Highest number of requests in flight.',
    ),
    'bramleysill_queued': (Gauge, 'Requests queued for an upstream.'),
    'bramleysill_limit': (Gauge, 'Concurrency limit of an upstream.'),
    'bramleysill_lease_seconds': (
        Gauge,
        'Seconds until the router lease expires.',
    ),
    'bramleysill_loop_lateness_seconds': (
        Gauge,
        'Longest delay of a timer within the last second.',
    ),
    'bramleysill_memory_budget_bytes': (
        Gauge,
        'Bytes that may be held for callers and peers; 0 without a limit.',
    ),
    'bramleysill_memory_held_bytes': (
        Gauge,
        'Bytes reserved for callers and peers, by kind.',
    ),
    'bramleysill_manifest_version': (Gauge, 'Version of the manifest in use.'),
    'bramleysill_organisation_requests_total': (
        Counter,
        'Requests by organisation and outcome code.',
    ),
    'bramleysill_organisations': (
        Gauge,
        'Organisations in the configuration in use.',
    ),
    'bramleysill_config_age_seconds': (
        Gauge,
        'Age of the last proof that the configuration is the latest.',
    ),
    'bramleysill_quota_decisions_total': (
        Counter,
        'Requests of organisations with a limit, by decision.',
    ),
    'bramleysill_quota_buckets': (Gauge, 'Token buckets kept as an owner.'),
    'bramleysill_quota_organisations': (
        Gauge,
        'Organisations with a limit in use at this router.',
    ),
    'bramleysill_quota_owner_active': (
        Gauge,
        '1 while the router may own quotas.',
    ),
    'bramleysill_unfinished_refused': (
        Gauge,
        'Messages given up because no memory was left for their rest.',
    ),
    'bramleysill_upstreams_bounded': (
        Gauge,
        'Upstreams that get fewer bytes after a loss.',
    ),
    'bramleysill_units': (Gauge, 'Units by condition.'),
}


class Metrics:
    """The counters of a router, and functions that compute its gauges.

    `requests` counts by (service, outcome code) and `latency` by (service,
    upper bound of the bucket). `latency_sum` is in seconds by service,
    `organisation_requests` counts by (organisation, outcome code),
    `report_ages` by (service, upper bound of the bucket), `full_refusals` by
    (service, refused by, whether others had a free slot), `control_bytes` by
    direction (`sent` or `received`), `events` by name, `quota_decisions` by
    decision and `domain_transitions` by (failure domain, `out` or `back`).
    """

    __slots__ = (
        'requests',
        'latency',
        'latency_sum',
        'organisation_requests',
        'report_ages',
        'full_refusals',
        'control_bytes',
        'events',
        'quota_decisions',
        'domain_transitions',
        '_domains_out',
        '_gauges',
        '_registry',
        '_published',
    )

    def __init__(self):
        self.requests = collections.Counter()
        self.latency = collections.Counter()
        self.latency_sum = collections.Counter()
        self.organisation_requests = collections.Counter()
        self.report_ages = collections.Counter()
        self.full_refusals = collections.Counter()
        self.control_bytes = collections.Counter()
        self.events = collections.Counter()
        self.quota_decisions = collections.Counter()
        self.domain_transitions = collections.Counter()
        self._domains_out = None
        self._gauges = []
        self._published = collections.Counter()
        self._registry = Registry()
        # Collectors join the global registry unless they are given another.
        # A second Metrics object would then find its names taken.
        for name, (collector, help_text) in COLLECTORS.items():
            collector(name, help_text, registry=self._registry)
        # Readers of the counters detect a restart by a change of this time.
        started = self._registry.get('bramleysill_started_seconds')
        started.set({}, round(time.time(), 3))

    def observe(self, service, code, seconds):
        """Count one request with its outcome and latency."""
        self.requests[service, code] += 1
        self.latency_sum[service] += seconds
        for bound in LATENCY_BUCKETS_SECONDS:
            if seconds <= bound:
                self.latency[service, bound] += 1
                return
        self.latency[service, float('inf')] += 1

    def note_report_age(self, service, seconds):
        """Count a send by the age of the upstream's load report."""
        for bound in REPORT_AGE_BUCKETS_SECONDS:
            if seconds <= bound:
                self.report_ages[service, bound] += 1
                return
        self.report_ages[service, float('inf')] += 1

    def note_failure_domains(self, manifest, drained):
        """Count failure domains that have gone out or come back.

        `drained` holds the names of the drained upstreams, `manifest` may be
        None. A failure domain is out while all its upstreams are drained. The
        first call only stores the state: a router that starts has seen no
        change.
        """
        if manifest is None:
            return
        now_out = failure_domain_states(manifest, drained)
        known = self._domains_out
        if known is not None:
            for name, is_out in now_out.items():
                if is_out != known.get(name, False):
                    self.domain_transitions[
                        name, 'out' if is_out else 'back'
                    ] += 1
        self._domains_out = now_out

    def add_gauge(self, callback):
        """Add a function that returns (name, labels, value) of gauges."""
        self._gauges.append(callback)

    def render(self, accept=()):
        """Return (body, headers) in a Prometheus exposition format."""
        self._publish()
        return render(self._registry, list(accept))

    def _publish(self):
        for (service, code), value in self.requests.items():
            labels = {'service': service, 'code': code}
            self._set_counter('bramleysill_requests_total', labels, value)
        for (organisation, code), value in self.organisation_requests.items():
            labels = {'organisation': organisation, 'code': code}
            self._set_counter(
                'bramleysill_organisation_requests_total', labels, value
            )
        self._publish_latency()
        self._publish_report_ages()
        for (service, by, others), value in self.full_refusals.items():
            labels = {'service': service, 'by': by, 'others': others}
            self._set_counter('bramleysill_full_refusals_total', labels, value)
        for direction, value in self.control_bytes.items():
            labels = {'direction': direction}
            self._set_counter('bramleysill_control_bytes_total', labels, value)
        for event, value in self.events.items():
            labels = {'event': event}
            self._set_counter('bramleysill_events_total', labels, value)
        for decision, value in self.quota_decisions.items():
            labels = {'decision': decision}
            self._set_counter(
                'bramleysill_quota_decisions_total', labels, value
            )
        self._publish_domains()
        for callback in self._gauges:
            for name, labels, value in callback():
                self._registry.get(name).set(labels, value)

    def _publish_domains(self):
        for (name, move), value in self.domain_transitions.items():
            labels = {'failure_domain': name, 'move': move}
            self._set_counter(
                'bramleysill_failure_domain_moves_total', labels, value
            )
        gauge = self._registry.get('bramleysill_failure_domain_out')
        for name, is_out in (self._domains_out or {}).items():
            gauge.set({'failure_domain': name}, int(is_out))

    def _publish_latency(self):
        for service, total in self.latency_sum.items():
            labels = {'service': service}
            self._set_counter('bramleysill_latency_seconds_sum', labels, total)
            self._publish_buckets(
                'bramleysill_latency_seconds_bucket',
                service,
                LATENCY_BUCKETS_SECONDS,
                self.latency,
            )

    def _publish_report_ages(self):
        for service in {service for service, _ in self.report_ages}:
            self._publish_buckets(
                'bramleysill_report_age_seconds_bucket',
                service,
                REPORT_AGE_BUCKETS_SECONDS,
                self.report_ages,
            )

    def _publish_buckets(self, name, service, bounds, counts):
        count = 0
        for bound in (*bounds, float('inf')):
            count += counts[service, bound]
            le = '+Inf' if bound == float('inf') else str(bound)
            self._set_counter(name, {'service': service, 'le': le}, count)

    def _set_counter(self, name, labels, value):
        key = (name, tuple(labels.items()))
        increase = value - self._published[key]
        if increase or key not in self._published:
            self._published[key] = value
            self._registry.get(name).add(labels, increase)


def failure_domain_states(manifest, drained):
    """Return {name of the failure domain: whether it is out}."""
    is_out = dict.fromkeys(manifest.failure_domains, True)
    for upstream in manifest.upstreams.values():
        if upstream.name not in drained:
            is_out[upstream.failure_domain] = False
    return is_out


def unit_gauges(tables, units_moving):
    """Yield gauges of units by condition, for `Metrics.add_gauge`.

    `tables` holds the ownership tables by service. `units_moving(service)`
    returns the units that are being moved, which only the coordinator knows.
    Each unit has one condition: `without_owner`, `moving` or `owned`.
    """
    for service, table in tables.items():
        counts = dict.fromkeys(('owned', 'moving', 'without_owner'), 0)
        moving = units_moving(service)
        for unit, assignment in table.units():
            if not assignment.owner:
                counts['without_owner'] += 1
            else:
                counts['moving' if unit in moving else 'owned'] += 1
        for condition, value in counts.items():
            labels = {'service': service, 'condition': condition}
            yield 'bramleysill_units', labels, value
