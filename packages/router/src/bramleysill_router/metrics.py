"""Metrics of a router, in an aioprometheus registry.

Counters of the request path are plain integers and are copied into the
registry when /metrics is read: an increment of a labelled aioprometheus
counter costs several microseconds.
"""

import collections

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Registry
from aioprometheus import render

# Upper bounds of latency buckets in seconds; 9 ms is the stated target.
LATENCY_BUCKETS = (
    0.001,
    0.002,
    0.004,
    0.009,
    0.018,
    0.036,
    0.1,
    0.25,
    1.0,
    5.0,
)


class Metrics:
    """Counts what the router does; labels are positional tuples.

    `requests` counts by (service, outcome code), `latency` by (service,
    bucket bound), `latency_sum` is in seconds by service.
    """

    __slots__ = (
        'requests',
        'latency',
        'latency_sum',
        'control_bytes',
        'events',
        '_gauges',
        '_registry',
        '_published',
    )

    def __init__(self):
        self.requests = collections.Counter()
        self.latency = collections.Counter()
        self.latency_sum = collections.Counter()
        self.control_bytes = collections.Counter()
        self.events = collections.Counter()
        self._gauges = []
        self._published = collections.Counter()
        self._registry = Registry()
        _register_collectors(self._registry)

    def observe(self, service, code, seconds):
        """Count one request with its outcome and latency."""
        self.requests[service, code] += 1
        self.latency_sum[service] += seconds
        for bound in LATENCY_BUCKETS:
            if seconds <= bound:
                self.latency[service, bound] += 1
                return
        self.latency[service, float('inf')] += 1

    def add_gauge(self, callback):
        """Add a function that returns (name, labels, value) triples."""
        self._gauges.append(callback)

    def render(self, accept=()):
        """Return (body, headers) in a Prometheus exposition format."""
        self._publish()
        return render(self._registry, list(accept))

    def _publish(self):
        for (service, code), value in self.requests.items():
            labels = {'service': service, 'code': code}
            self._raise_to('bramleysill_requests_total', labels, value)
        self._publish_latency()
        for kind, value in self.control_bytes.items():
            labels = {'direction': kind}
            self._raise_to('bramleysill_control_bytes_total', labels, value)
        for event, value in self.events.items():
            labels = {'event': event}
            self._raise_to('bramleysill_events_total', labels, value)
        for callback in self._gauges:
            for name, labels, value in callback():
                self._registry.get(name).set(labels, value)

    def _publish_latency(self):
        for service, total in self.latency_sum.items():
            labels = {'service': service}
            self._raise_to('bramleysill_latency_seconds_sum', labels, total)
            count = 0
            for bound in (*LATENCY_BUCKETS, float('inf')):
                count += self.latency[service, bound]
                le = '+Inf' if bound == float('inf') else str(bound)
                labels = {'service': service, 'le': le}
                self._raise_to(
                    'bramleysill_latency_seconds_bucket', labels, count
                )

    def _raise_to(self, name, labels, value):
        key = (name, tuple(labels.items()))
        increase = value - self._published[key]
        if increase or key not in self._published:
            self._published[key] = value
            self._registry.get(name).add(labels, increase)


def _register_collectors(registry):
    # A collector registers itself, by default in one for the process.
    for kind, name, text in _COLLECTORS:
        kind(name, text, registry=registry)


_COLLECTORS = (
    (Counter, 'bramleysill_requests_total', 'Requests by outcome code.'),
    (Counter, 'bramleysill_latency_seconds_bucket', 'Requests by latency.'),
    (Counter, 'bramleysill_latency_seconds_sum', 'Sum of latencies.'),
    (Counter, 'bramleysill_control_bytes_total', 'Bytes of control.'),
    (Counter, 'bramleysill_events_total', 'Events by kind.'),
    (Gauge, 'bramleysill_in_flight', 'Requests running at an upstream.'),
    (Gauge, 'bramleysill_most_in_flight', 'Most that ever ran at once.'),
    (Gauge, 'bramleysill_queued', 'Requests queued for an upstream.'),
    (Gauge, 'bramleysill_limit', 'Concurrency limit of an upstream.'),
    (Gauge, 'bramleysill_lease_seconds', 'What remains of the lease.'),
    (Gauge, 'bramleysill_manifest_version', 'Manifest in force.'),
    (Gauge, 'bramleysill_units', 'Units by condition.'),
)
