"""Compares the imbalance and churn of the placement methods.

All methods place the same units in one run. `imbalance` is the largest number
of units of an upstream divided by the mean. `churn` is the number of units
moved divided by the number of units of the lost upstreams; 1 is the least
that is possible.
"""

import random
import time

from bramleysill_kernel.units import placement

UNITS_PER_UPSTREAM = 16
FAILURE_DOMAINS = 3
COMPARED_UPSTREAMS = (30, 120)
TARGET_UPSTREAMS = 5100
# `rendezvous` scores every pair of unit and upstream. At the target size
# these are 416 million scores, so only `bounded` runs there.
TARGET_SIZE_METHODS = ('bounded',)
SEED = 1


class _PlacedUnits:
    """The owners of all units, as assigned by one method."""

    def __init__(self, method, upstreams):
        self.method = placement.placements.get(method)
        self.names = tuple(f'u{n}' for n in range(upstreams))
        self.units = [str(n) for n in range(upstreams * UNITS_PER_UPSTREAM)]
        self.owners = dict.fromkeys(self.units, '')
        self.seconds = 0.0

    def place(self, names):
        """Place the units on upstreams; return the number of moves."""
        by_owner = {}
        for unit, owner in self.owners.items():
            by_owner.setdefault(owner, []).append(unit)
        eligible = dict.fromkeys(self.units, names)
        start = time.perf_counter()
        moves = self.method(
            by_owner, eligible, {}, {}, len(self.units), random.Random(SEED)
        )
        self.seconds = time.perf_counter() - start
        for move in moves:
            self.owners[move.unit] = move.target
        return len(moves)

    def imbalance(self, names):
        """Return the largest number of units divided by the mean."""
        counts = dict.fromkeys(names, 0)
        for owner in self.owners.values():
            counts[owner] += 1
        return max(counts.values()) * len(names) / len(self.units)


def _loss_cases(names):
    """Return pairs of a case and its surviving upstreams."""
    return (
        ('one lost', names[1:]),
        (
            'domain lost',
            tuple(n for n in names if int(n[1:]) % FAILURE_DOMAINS),
        ),
    )


def measure_method(method, upstreams):
    rows = []
    for case in (0, 1):
        placed = _PlacedUnits(method, upstreams)
        placed.place(placed.names)
        imbalance_before = placed.imbalance(placed.names)
        name, survivors = _loss_cases(placed.names)[case]
        lost = set(placed.names) - set(survivors)
        min_moves = sum(1 for o in placed.owners.values() if o in lost)
        for step, names in ((name, survivors), ('return', placed.names)):
            moves = placed.place(names)
            rows.append(
                {
                    'method': method,
                    'upstreams': upstreams,
                    'case': step if step == name else f'{name}, {step}',
                    'imbalance_before': imbalance_before,
                    'imbalance': placed.imbalance(names),
                    'churn': moves / max(min_moves, 1),
                    'seconds': placed.seconds,
                }
            )
    return rows


def run():
    """Run all measurements; return {'rows': [...]}."""
    rows = []
    for size in COMPARED_UPSTREAMS:
        for method in placement.placements.names():
            rows.extend(measure_method(method, size))
    for method in TARGET_SIZE_METHODS:
        rows.extend(measure_method(method, TARGET_UPSTREAMS))
    return {'rows': rows}


def main():
    """Print the table of results."""
    print('method      upstreams  case                 imbalance churn  ms')
    for row in run()['rows']:
        print(
            f'{row["method"]:11} {row["upstreams"]:9}  {row["case"]:20} '
            f'{row["imbalance"]:9.3f} {row["churn"]:5.2f} '
            f'{row["seconds"] * 1000:5.1f}'
        )


if __name__ == '__main__':
    main()
