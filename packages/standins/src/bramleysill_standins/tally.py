"""Counts outcomes, and measures latencies and unavailability of keys."""

import collections

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 99, 99.9)


class Unavailability:
    """The longest time during which a key was unavailable.

    This time begins at the intended start of the earliest request since the
    last successful response, and ends with the next successful response. It
    therefore includes the latency and the gap until the next request.
    """

    __slots__ = ('longest_seconds', 'longest_key', '_failed_since', '_by_key')

    def __init__(self):
        self.longest_seconds = 0.0
        self.longest_key = ''
        self._failed_since = {}
        self._by_key = {}

    def record_failure(self, key, due_at):
        """Record the failure of a request with this intended start."""
        since = self._failed_since.get(key, due_at)
        self._failed_since[key] = min(since, due_at)

    def record_success(self, key, due_at, end):
        """Record the success of a request with this intended start."""
        since = min(due_at, self._failed_since.pop(key, due_at))
        self._record_duration(key, end - since)

    def finish(self, end):
        """Count the keys that are still unavailable at the end."""
        for key, since in self._failed_since.items():
            self._record_duration(key, end - since)

    def percentiles(self):
        """Return percentiles, over all keys, of each key's longest time."""
        found = sorted(self._by_key.values()) or [0.0]
        at = {p: found[int((len(found) - 1) * p / 100)] for p in (50, 99)}
        return {'p50': at[50], 'p99': at[99], 'max': found[-1]}

    def _record_duration(self, key, seconds):
        self._by_key[key] = max(seconds, self._by_key.get(key, 0.0))
        if seconds > self.longest_seconds:
            self.longest_seconds = seconds
            self.longest_key = key


class Tally:
    """The counts and measurements of a load run."""

    __slots__ = (
        'sent',
        'outcomes',
        'mixed_up',
        'retries',
        'acknowledged',
        'not_run',
        'unavailability',
        'keyed_kinds',
        '_latencies',
    )

    def __init__(self, keyed_kinds):
        self.sent = 0
        self.outcomes = collections.Counter()
        self.mixed_up = []
        self.retries = 0
        # Kind -> call id -> digest of the request's body.
        self.acknowledged = collections.defaultdict(dict)
        # Ids of the calls whose attempts were all refused as not run.
        self.not_run = []
        self.unavailability = Unavailability()
        self.keyed_kinds = keyed_kinds
        self._latencies = {}

    def record_success(self, plan, end):
        """Record a successful response."""
        self.outcomes[f'{plan.kind} ok'] += 1
        if plan.kind not in self._latencies:
            histogram = HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self._latencies[plan.kind] = histogram
        latency_us = max(MIN_LATENCY_US, int((end - plan.due_at) * 1e6))
        self._latencies[plan.kind].record_value(latency_us)
        if plan.kind in self.keyed_kinds:
            self.unavailability.record_success(plan.key, plan.due_at, end)
        if plan.body_size:
            self.acknowledged[plan.kind][plan.call_id] = plan.body_digest

    def record_failure(self, plan, outcome):
        """Record a refusal, a closed connection or a timeout."""
        self.outcomes[f'{plan.kind} {outcome}'] += 1
        if plan.kind in self.keyed_kinds:
            self.unavailability.record_failure(plan.key, plan.due_at)

    def as_dict(self, end):
        """Return all results as a dict for JSON; latencies are in ms."""
        self.unavailability.finish(end)
        return {
            'sent': self.sent,
            'outcomes': dict(sorted(self.outcomes.items())),
            'mixed_up': self.mixed_up,
            'retries': self.retries,
            'acknowledged': self.acknowledged,
            'not_run': self.not_run,
            'unavailable_s': self.unavailability.longest_seconds,
            'unavailable_key': self.unavailability.longest_key,
            'unavailable_percentiles': self.unavailability.percentiles(),
            'latency_ms': {
                kind: _percentiles(histogram)
                for kind, histogram in self._latencies.items()
            },
        }


def _percentiles(histogram):
    found = {
        f'p{p}': histogram.get_value_at_percentile(p) / 1000.0
        for p in PERCENTILES
    }
    found['max'] = histogram.get_max_value() / 1000.0
    found['count'] = histogram.get_total_count()
    return found
