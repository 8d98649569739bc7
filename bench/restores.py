"""Compares what a leader does when the store was restored from a copy.

A simulated cell of three routers moves keys to a new upstream. The store is
then away for some time and comes back as it was before these moves. The ways:

- `wait`: no leader trusts what it knows, and all keys wait until the holds of
  the era before have expired.
- `go_on`: the last leader goes on, if nobody else can have moved keys.

Printed are the seconds without an owner after the restore, of the keys on the
average and of the worst key. The run is in simulated time and gives the same
figures each time.

    python -m bench.restores
"""

from absl import logging

from bramleysill_kernel.common.registry import Registry
from bramleysill_kernel.ranges.former_term import FormerTerm
from tests.simulated_cell import STEP_SECONDS
from tests.simulated_cell import SimulatedCell

KEYS = range(0, 65536, 1021)
SEEDS = range(1, 6)
OUTAGE_SECONDS = (0.5, 2.0, 4.0)
START_SECONDS = 6.0
COPY_AGE_SECONDS = 3.0
OBSERVED_SECONDS = 25.0

ways = Registry('way')


@ways.register('wait')
def _wait(term, era_seen_at):
    return False


ways.register('go_on')(FormerTerm.knows_owners)


class _Gaps:
    """Counts the time in which each key has no owner."""

    def __init__(self):
        self.seconds = dict.fromkeys(KEYS, 0.0)

    def __call__(self, cell):
        for key in KEYS:
            if not cell.holders(key):
                self.seconds[key] += STEP_SECONDS


def measure(outage, seed):
    """Return the seconds without an owner of all keys."""
    cell = SimulatedCell(seed)
    cell.run(START_SECONDS)
    cell.add_upstream('u4')
    cell.run(2.0)
    gaps = _Gaps()
    cell.store_down = True
    cell.run(outage, gaps)
    cell.restore(COPY_AGE_SECONDS + outage)
    cell.store_down = False
    cell.run(OBSERVED_SECONDS, gaps)
    return list(gaps.seconds.values())


def run():
    """Print a row for each way and outage; return the rows."""
    logging.set_verbosity(logging.FATAL)
    rows = []
    original = FormerTerm.knows_owners
    for way in ('wait', 'go_on'):
        FormerTerm.knows_owners = ways.get(way)
        for outage in OUTAGE_SECONDS:
            seconds = [s for seed in SEEDS for s in measure(outage, seed)]
            mean = sum(seconds) / len(seconds)
            rows.append(
                {
                    'way': way,
                    'outage': outage,
                    'mean': mean,
                    'worst': max(seconds),
                }
            )
            print(
                f'{way:6} away {outage:.1f} s: mean {mean:.2f} s, '
                f'worst {max(seconds):.2f} s'
            )
    FormerTerm.knows_owners = original
    return rows


if __name__ == '__main__':
    run()
