"""The outcomes of a demo run, from the load report and the ledgers."""

from bramleysill_standins.ledger import find_ownership_violations
from bramleysill_standins.ledger import repeated_effects

# Section 1.5 of the design: a key is served again within 3 s of a loss.
MAX_UNAVAILABLE_SECONDS = 3.0
# The requirement is "a few seconds after a failure domain is taken out, it
# receives no new work". Requests may be held for 2 s and then run until their
# deadline.
MAX_DRAIN_SECONDS = 5.0
# Slots of each upstream; the manifest declares the same number.
SLOTS = 4
REPEATED_OPENINGS = 'openings recorded twice'
MAX_UNAVAILABILITY = 'longest time that a key was unavailable (s)'
LOST_RECORDS = 'acknowledged records lost'
DRAINED_WORK = 'requests run in the drained failure domain'
NOT_RESTORED = 'restored failure domain without work'
PEAK_IN_FLIGHT = 'most work in flight at an upstream'
COLLAPSES = 'collapses of cold upstreams'
RECORD_EFFECTS = {'opening': 'openings', 'handover': 'handovers'}


class Outcome:
    """One checked value; it is broken if it exceeds the limit."""

    __slots__ = ('name', 'value', 'limit')

    def __init__(self, name, value, limit=0):
        self.name = name
        self.value = value
        self.limit = limit

    @property
    def is_broken(self):
        """Return whether the value exceeds its limit."""
        return self.value > self.limit

    def __str__(self):
        mark = 'BROKEN' if self.is_broken else 'ok'
        value = self.value
        text = f'{value:.3f}' if isinstance(value, float) else str(value)
        return f'{self.name:<48}{text:>10}  {mark} (at most {self.limit})'


class DrainSpan:
    """The time during which a failure domain was drained.

    `drained_at` and `restored_at` are in seconds on the monotonic clock.
    """

    __slots__ = ('upstreams', 'drained_at', 'restored_at')

    def __init__(self, upstreams, drained_at, restored_at):
        self.upstreams = upstreams
        self.drained_at = drained_at
        self.restored_at = restored_at


def check_outcomes(report, ledgers, drain):
    """Return the checked outcomes.

    `report` is the report of the load generator, `ledgers` maps names of
    upstreams to their ledgers, both as dicts.
    """
    entries = {name: found['entries'] for name, found in ledgers.items()}
    late_count, restored_count = _count_drain_work(entries, drain)
    return [
        Outcome(
            REPEATED_OPENINGS,
            len(repeated_effects(entries, 'openings')),
        ),
        Outcome(
            'handovers recorded twice',
            len(repeated_effects(entries, 'handovers')),
        ),
        Outcome(LOST_RECORDS, _count_lost_records(report, entries)),
        Outcome('uploads lost', _count_lost_uploads(report, ledgers)),
        Outcome(
            'answers mixed up',
            len(report['mixed_up']) + report['unsolicited'],
        ),
        Outcome(
            'keys with two owners', len(find_ownership_violations(entries))
        ),
        Outcome(
            'refused as not run, but ran',
            _count_refused_but_ran(report, entries),
        ),
        Outcome('requests without an outcome', report['open']),
        Outcome(
            PEAK_IN_FLIGHT,
            max(found['max_in_flight'] for found in ledgers.values()),
            SLOTS,
        ),
        Outcome(
            COLLAPSES,
            sum(found['collapses'] for found in ledgers.values()),
        ),
        Outcome(DRAINED_WORK, late_count),
        Outcome(NOT_RESTORED, 0 if restored_count else 1),
        Outcome(
            'kinds of requests without a good answer',
            _count_unserved_kinds(report),
        ),
        Outcome(
            MAX_UNAVAILABILITY,
            float(report['unavailable_s']),
            MAX_UNAVAILABLE_SECONDS,
        ),
    ]


def _count_drain_work(entries, drain):
    """Return how many requests the drained upstreams ran.

    The first count is of requests that ran too late after the drain, the
    second one of those after the domain was restored.
    """
    late_count = restored_count = 0
    for name in drain.upstreams:
        for entry in entries[name]:
            at = entry['host_ms'] / 1000.0
            late_count += (
                drain.drained_at + MAX_DRAIN_SECONDS < at < drain.restored_at
            )
            restored_count += at >= drain.restored_at
    return late_count, restored_count


def _count_lost_records(report, entries):
    ran = {
        (entry['effect'], entry['call_id'])
        for found in entries.values()
        for entry in found
    }
    return sum(
        (effect, call_id) not in ran
        for kind, effect in RECORD_EFFECTS.items()
        for call_id in report['acknowledged'].get(kind, {})
    )


def _count_lost_uploads(report, ledgers):
    kept = set()
    for ledger in ledgers.values():
        for path, item in ledger['uploads'].items():
            kept.add((path, item['sha256']))
    uploads = report['acknowledged'].get('upload', {})
    return sum(
        (f'/intake/up-{call_id}', digest) not in kept
        for call_id, digest in uploads.items()
    )


def _count_refused_but_ran(report, entries):
    ran = {e['call_id'] for found in entries.values() for e in found}
    return len(ran.intersection(report['not_run']))


def _count_unserved_kinds(report):
    return sum(
        not report['outcomes'].get(f'{kind} ok')
        for kind in ('lookup', 'handover', 'opening', 'upload')
    )


def print_summary(report, ledgers, store, outcomes):
    """Print counters, latencies and outcomes.

    `store` maps the store's counters to their values.
    """
    ran = sum(len(ledger['entries']) for ledger in ledgers.values())
    print(f'requests sent {report["sent"]}, retries {report["retries"]}')
    print(f'requests that ran, by the ledgers {ran}')
    for name, count in report['outcomes'].items():
        print(f'  {name:<46}{count:>10}')
    for kind, found in sorted(report['latency_ms'].items()):
        print(
            f'  {kind} latency in ms: p50 {found["p50"]:.1f},'
            f' p99 {found["p99"]:.1f}, max {found["max"]:.1f}'
        )
    calls = ', '.join(f'{name} {n}' for name, n in sorted(store.items()))
    print(f'store calls: {calls}')
    for outcome in outcomes:
        print(outcome)
