"""How callers choose keys: uniformly, or with hot keys that change."""

import itertools

from bramleysill_kernel.common.registry import Registry

# Exponent of the Zipf distribution; with 1, the hottest key of 1,000 takes
# an eighth of the requests.
ZIPF_EXPONENT = 1.0
# Interval at which the hot keys change; in production they change within
# minutes (section 1.5 of the design).
HOT_KEYS_INTERVAL_SECONDS = 60.0

key_pickers = Registry('key picker')


@key_pickers.register('uniform')
class UniformKeys:
    """Picks each key with the same probability."""

    __slots__ = ('_count',)

    def __init__(self, count):
        self._count = count

    def pick(self, rng, offset):
        """Return the number of a key for a request at `offset` seconds."""
        return rng.randrange(self._count)


@key_pickers.register('zipf')
class ZipfKeys:
    """Picks keys by a Zipf distribution whose hot keys change over time."""

    __slots__ = ('_numbers', '_weights')

    def __init__(self, count):
        self._numbers = range(count)
        weights = (1 / rank**ZIPF_EXPONENT for rank in range(1, count + 1))
        self._weights = list(itertools.accumulate(weights))

    def pick(self, rng, offset):
        """Return the number of a key for a request at `offset` seconds."""
        rank = rng.choices(self._numbers, cum_weights=self._weights)[0]
        shift = (
            int(offset / HOT_KEYS_INTERVAL_SECONDS) * len(self._numbers) // 3
        )
        return (rank + shift) % len(self._numbers)
