"""Tests of the key space and the ownership table."""

import testtools

from bramleysill_kernel.common.exceptions import SillError
from bramleysill_kernel.config import manifest
from bramleysill_kernel.units import ownership


def _service():
    service = manifest.Service('ledger', manifest.KIND_KEYED, '/ledger/')
    service.shards = 16
    service.ranges = [
        manifest.KeyRange('north', 'ledger', 'A', 'M', ('u1',), 4),
        manifest.KeyRange('south', 'ledger', 'M', '', ('u2',), 4),
    ]
    return service


class KeySpaceTest(testtools.TestCase):
    def test_ranges_include_first_and_exclude_last(self):
        """Guards against a boundary key that belongs to two partitions."""
        space = ownership.KeySpace(_service())
        self.assertEqual('north', space.partition_of('A').name)
        self.assertEqual('north', space.partition_of('Lz').name)
        self.assertEqual('south', space.partition_of('M').name)
        self.assertEqual('default', space.partition_of('0').name)

    def test_shards_of_partitions_do_not_overlap(self):
        """Guards against two ranges that share a shard."""
        space = ownership.KeySpace(_service())
        self.assertEqual(24, space.shard_count)
        names = [space.partition_of_shard(s).name for s in range(24)]
        self.assertEqual(
            ['north'] * 4 + ['south'] * 4 + ['default'] * 16, names
        )


class OwnershipTableTest(testtools.TestCase):
    def test_fence_increases_with_every_assignment(self):
        """Guards against two owners with the same fence."""
        table = ownership.OwnershipTable('ledger', 4)
        fences = [table.assign('2', name) for name in ('a', 'b', 'a')]
        self.assertEqual([1, 2, 3], fences)

    def test_encoding_keeps_everything(self):
        """Guards against a stored table that loses an entry."""
        table = ownership.OwnershipTable('ledger', 4)
        table.assign('1', 'a')
        table.assign('key:CAP-7', 'b')
        table.term = 3
        copy = ownership.OwnershipTable.decode(table.encode(), 9)
        self.assertEqual(dict(table.units()), dict(copy.units()))
        self.assertEqual((3, 9), (copy.term, copy.version))

    def test_malformed_value_is_an_error(self):
        """Guards against a corrupt value that is decoded as a table."""
        for data in (b'', b'{}', b'[1]', b'{"service": "x"}'):
            self.assertRaises(
                SillError, ownership.OwnershipTable.decode, data, 1
            )
