"""The ownership table of a service: which upstream owns which key.

The keys of a service are divided into partitions: one for each declared key
range and a default partition for all other keys. Each partition has a fixed
number of shards, which are numbered consecutively over the whole service. A
single key has an entry of its own if an operator declared it or if it is hot.
Each shard and each such entry is a unit with an owner and a fencing token,
the fence, which increases with every assignment.
"""

import bisect
import dataclasses
import json

from bramleysill_kernel.common.exceptions import SillError
from bramleysill_kernel.common.hashing import hash64

NO_OWNER = ''
SINGLE_KEY_PREFIX = 'key:'


@dataclasses.dataclass(slots=True)
class Partition:
    """A range of keys and the shards that it is hashed to.

    `end_key` is exclusive; an empty one leaves the range open.
    """

    name: str
    first_key: str
    end_key: str
    first_shard: int
    shard_count: int
    eligible: tuple = ()


@dataclasses.dataclass(slots=True)
class Assignment:
    """The owner and fence of one unit, a shard or a single key."""

    owner: str = NO_OWNER
    fence: int = 0


class KeySpace:
    """Maps the keys of one service to partitions and shards; immutable.

    A unit is identified by its shard number as text, or by `key:` and the
    key for a single key.
    """

    __slots__ = ('service', 'partitions', '_ranges', '_first_keys')

    def __init__(self, service):
        self.service = service.name
        self.partitions = []
        self._ranges = []
        base = 0
        for key_range in sorted(service.ranges, key=lambda r: r.first):
            part = Partition(
                key_range.name,
                key_range.first,
                key_range.last,
                base,
                key_range.shards,
                key_range.upstreams,
            )
            self.partitions.append(part)
            self._ranges.append(part)
            base += key_range.shards
        self.partitions.append(
            Partition('default', '', '', base, service.shards)
        )
        self._first_keys = [p.first_key for p in self._ranges]

    @classmethod
    def from_layout(cls, service_name, layout):
        """Return the key space of a stored layout, as `layout` returns it."""
        space = cls.__new__(cls)
        space.service = service_name
        space.partitions = [Partition(*row) for row in layout]
        space._ranges = space.partitions[:-1]
        space._first_keys = [p.first_key for p in space._ranges]
        return space

    def layout(self):
        """Return one row per partition, as stored in an ownership table.

        A row holds the name, first key, end key, first shard and number of
        shards.
        """
        return [
            [p.name, p.first_key, p.end_key, p.first_shard, p.shard_count]
            for p in self.partitions
        ]

    @property
    def shard_count(self):
        """Return the total number of shards in all partitions."""
        last = self.partitions[-1]
        return last.first_shard + last.shard_count

    def partition_of(self, key):
        """Return the partition that contains a key."""
        index = bisect.bisect_right(self._first_keys, key) - 1
        if index >= 0:
            part = self._ranges[index]
            if not part.end_key or key < part.end_key:
                return part
        return self.partitions[-1]

    def shard_of(self, key):
        """Return the number of the shard that a key is hashed to."""
        part = self.partition_of(key)
        return part.first_shard + hash64(key) % part.shard_count

    def partition_of_shard(self, shard):
        """Return the partition that a shard belongs to."""
        for part in self.partitions:
            if part.first_shard <= shard < part.first_shard + part.shard_count:
                return part
        raise SillError(
            f'no shard {shard} in service {self.service}', 'lookup'
        )


class OwnershipTable:
    """The owners and fences of all units of one service.

    `version` is the version of the value in the store and `term` the term of
    the coordinator that wrote it. `write_id` identifies the write, so that
    the coordinator recognizes its own write if the reply was lost. `layout`
    is the division of keys into shards for which the owners were assigned. It
    is stored with them because a key must never be looked up in the owners of
    another layout.
    """

    __slots__ = (
        'service',
        'shards',
        'singles',
        'version',
        'term',
        'write_id',
        'layout',
    )

    def __init__(self, service, shard_count=0):
        self.service = service
        self.layout = []
        self.shards = [Assignment() for _ in range(shard_count)]
        self.singles = {}
        self.version = 0
        self.term = 0
        self.write_id = ''

    def unit_of(self, space, key):
        """Return the unit that determines the owner of a key."""
        if key in self.singles:
            return SINGLE_KEY_PREFIX + key
        return str(space.shard_of(key))

    def get(self, unit):
        """Return the assignment of a unit, or None if there is none."""
        if unit.startswith(SINGLE_KEY_PREFIX):
            return self.singles.get(unit[len(SINGLE_KEY_PREFIX) :])
        number = int(unit)
        if number >= len(self.shards):
            return None
        return self.shards[number]

    def assign(self, unit, owner):
        """Assign a unit to an owner with the next fence; return the fence."""
        current = self.get(unit)
        fence = (current.fence if current else 0) + 1
        self.put(unit, Assignment(owner, fence))
        return fence

    def put(self, unit, assignment):
        """Set the assignment of a unit without changing its fence."""
        if unit.startswith(SINGLE_KEY_PREFIX):
            self.singles[unit[len(SINGLE_KEY_PREFIX) :]] = assignment
        else:
            self.shards[int(unit)] = assignment

    def remove(self, unit):
        """Remove the entry of a single key."""
        self.singles.pop(unit[len(SINGLE_KEY_PREFIX) :], None)

    def highest_fence(self):
        """Return the highest fence of any unit, or 0 without units."""
        return max((a.fence for _, a in self.units()), default=0)

    def units(self):
        """Iterate over pairs of unit and assignment."""
        for number, assignment in enumerate(self.shards):
            yield str(number), assignment
        for key, assignment in self.singles.items():
            yield SINGLE_KEY_PREFIX + key, assignment

    def copy(self):
        """Return a deep copy."""
        return OwnershipTable.decode(self.encode(), self.version)

    def encode(self):
        """Return the stored representation, compact JSON as bytes."""
        names = sorted({a.owner for _, a in self.units()})
        index = {name: i for i, name in enumerate(names)}
        value = {
            'service': self.service,
            'term': self.term,
            'write_id': self.write_id,
            'layout': self.layout,
            'upstreams': names,
            'owners': [index[a.owner] for a in self.shards],
            'fences': [a.fence for a in self.shards],
            'singles': {
                k: [index[a.owner], a.fence] for k, a in self.singles.items()
            },
        }
        return json.dumps(value, separators=(',', ':')).encode()

    @classmethod
    def decode(cls, data, version):
        """Return the table of a stored value.

        Raises SillError if the value is malformed.
        """
        try:
            value = json.loads(data)
            names = value['upstreams']
            table = cls(value['service'])
            table.shards = [
                Assignment(names[o], int(f))
                for o, f in zip(value['owners'], value['fences'], strict=True)
            ]
            table.singles = {
                k: Assignment(names[o], int(f))
                for k, (o, f) in value['singles'].items()
            }
            table.term = int(value['term'])
            table.write_id = value['write_id']
            table.layout = value.get('layout', [])
        except (ValueError, KeyError, IndexError, TypeError) as exc:
            raise SillError(
                f'malformed ownership table: {exc}', 'decode', 'store'
            ) from exc
        table.version = version
        return table
