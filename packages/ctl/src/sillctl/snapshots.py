"""Snapshots of a router's metrics and their encoding in files.

A snapshot is encoded as a JSON document on one line::

    {"at": 1796363000.0, "router": "10.0.1.4:9901", "error": "",
     "samples": [["bramleysill_requests_total",
                  {"service": "ledger", "code": "ok"}, 12.0]]}
"""

import functools
import json
import math

from prometheus_client.parser import text_string_to_metric_families

REQUESTS_METRIC = 'bramleysill_requests_total'
LATENCY_METRIC = 'bramleysill_latency_seconds_bucket'
DOMAIN_MOVES_METRIC = 'bramleysill_failure_domain_moves_total'
DOMAIN_OUT_METRIC = 'bramleysill_failure_domain_out'
UNITS_METRIC = 'bramleysill_units'
STARTED_METRIC = 'bramleysill_started_seconds'
COUNTER_METRICS = frozenset(
    (REQUESTS_METRIC, LATENCY_METRIC, DOMAIN_MOVES_METRIC)
)
RECORDED_METRICS = COUNTER_METRICS | {
    DOMAIN_OUT_METRIC,
    UNITS_METRIC,
    STARTED_METRIC,
}
_COUNTER_SUFFIX = '_total'


class Snapshot:
    """The metrics of one router at one time.

    `at` is in seconds since the epoch. `samples` maps (name, sorted labels)
    to values and is None if the router did not respond; `error` says why.
    """

    __slots__ = ('at', 'router', 'samples', 'error')

    def __init__(self, at, router, samples=None, error=''):
        self.at = at
        self.router = router
        self.samples = samples
        self.error = error

    def counters(self):
        """Return the samples of counters."""
        return {
            k: v for k, v in self.samples.items() if k[0] in COUNTER_METRICS
        }

    def gauges(self, name):
        """Return (labels, value) pairs of a gauge."""
        found = (self.samples or {}).items()
        return [(dict(k[1]), v) for k, v in found if k[0] == name]

    @property
    def started_at(self):
        """Return the start time of the router's process, or None."""
        return self.samples.get((STARTED_METRIC, ()))


def sample_key(name, labels):
    """Return the key of a sample: (name, sorted pairs of labels)."""
    return _cached_key(name, tuple(sorted(labels.items())))


@functools.lru_cache(maxsize=100_000)
def _cached_key(name, labels):
    # All snapshots have the same keys, which take more memory than the values,
    # so each key is kept only once.
    return name, labels


def parse_exposition(text):
    """Return the samples in RECORDED_METRICS of a /metrics page.

    Raises ValueError if the page is malformed.
    """
    found = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            name = _metric_name(sample.name)
            if name in RECORDED_METRICS and math.isfinite(sample.value):
                found[sample_key(name, sample.labels)] = float(sample.value)
    return found


def _metric_name(name):
    # The parser appends _total to the names of counters that lack it.
    short = name.removesuffix(_COUNTER_SUFFIX)
    return short if short in RECORDED_METRICS else name


def encode(snapshot):
    """Return a snapshot as one line of JSON."""
    samples = None
    if snapshot.samples is not None:
        samples = [[n, dict(ls), v] for (n, ls), v in snapshot.samples.items()]
    document = {
        'at': snapshot.at,
        'router': snapshot.router,
        'error': snapshot.error,
        'samples': samples,
    }
    return json.dumps(document, separators=(',', ':'))


def decode(line):
    """Return the snapshot in a line; raises ValueError if malformed."""
    try:
        document = json.loads(line)
        samples = document['samples']
        if samples is not None:
            samples = {sample_key(n, ls): float(v) for n, ls, v in samples}
        at = float(document['at'])
        if not math.isfinite(at):
            raise ValueError('the time is not finite')
        return Snapshot(
            at, str(document['router']), samples, str(document['error'])
        )
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f'malformed snapshot: {exc!r}') from exc
