"""Ranges of keys and their owners: the table that decides who serves a key.

The table of a service covers the whole key space without gaps. It is kept
in the store as JSON text. Each range carries the fence of its last change of
owner; fences only rise.

Example::

    table = RangeTable.empty()
    table = table.assign([Assignment(0, 65535, 'i-1', 17)])
    table.find(4711).owner
"""

import bisect
import json

from bramleysill_kernel.exceptions import SillError

KEY_SPACE = 65536
FORMAT_VERSION = 1


class TableError(SillError):
    """A stored table can't be read."""

    code = 'table_invalid'
    hint = 'Restore the key of the table in the store, or delete it.'


class KeyRange:
    """Keys `first` to `last`, both inclusive, and their owner.

    `owner` is '' while nobody holds the keys; `life` is the start of the
    owner's process.
    """

    __slots__ = ('first', 'last', 'fence', 'owner', 'incarnation')

    def __init__(self, first, last, fence=0, owner='', incarnation=0):
        self.first = first
        self.last = last
        self.fence = fence
        self.owner = owner
        self.incarnation = incarnation

    @property
    def width(self):
        """Return the number of keys."""
        return self.last - self.first + 1

    @property
    def holder(self):
        """Return (owner, life, fence), which names one assignment."""
        return self.owner, self.incarnation, self.fence

    def subrange(self, first, last):
        """Return a part of this range with the same owner and fence."""
        return KeyRange(first, last, self.fence, self.owner, self.incarnation)


class Assignment:
    """A decision that keys `first` to `last` go to an upstream."""

    __slots__ = ('first', 'last', 'owner', 'incarnation')

    def __init__(self, first, last, owner, incarnation):
        self.first = first
        self.last = last
        self.owner = owner
        self.incarnation = incarnation


class RangeTable:
    """An immutable table of ranges in order of their keys."""

    __slots__ = ('ranges', 'next_fence', '_starts')

    def __init__(self, ranges, next_fence):
        self.ranges = ranges
        self.next_fence = next_fence
        self._starts = [r.first for r in ranges]

    @classmethod
    def empty(cls):
        """Return a table in which nobody holds a key."""
        return cls([KeyRange(0, KEY_SPACE - 1)], 1)

    def find(self, key):
        """Return the range of a key."""
        return self.ranges[bisect.bisect_right(self._starts, key) - 1]

    def overlapping(self, first, last):
        """Return the ranges that share keys with `first` to `last`."""
        start = bisect.bisect_right(self._starts, first) - 1
        end = bisect.bisect_right(self._starts, last)
        return self.ranges[start:end]

    def assign(self, assignments):
        """Return a table with the assignments carried out.

        Each assignment gets a fence above all fences that were ever used.
        """
        table = self
        for item in assignments:
            table = table._assign_one(item)
        return table

    def renew_fences(self):
        """Return a table with the same owners and all fences new.

        Neighbouring ranges of one owner become one range.
        """
        merged = []
        fence = self.next_fence
        for item in self.ranges:
            last = merged[-1] if merged else None
            if last and (last.owner, last.incarnation) == (
                item.owner,
                item.incarnation,
            ):
                last.last = item.last
                continue
            merged.append(
                KeyRange(
                    item.first, item.last, fence, item.owner, item.incarnation
                )
            )
            fence += 1
        return RangeTable(merged, fence)

    def encode(self):
        """Return the text that is kept in the store."""
        rows = [
            [r.first, r.last, r.fence, r.owner, r.incarnation]
            for r in self.ranges
        ]
        document = {
            'format': FORMAT_VERSION,
            'next_fence': self.next_fence,
            'ranges': rows,
        }
        return json.dumps(document, separators=(',', ':')).encode()

    @classmethod
    def decode(cls, data):
        """Return the table of a text; raises TableError."""
        try:
            document = json.loads(data)
            if document['format'] != FORMAT_VERSION:
                raise TableError(
                    f'unknown format {document["format"]}', 'decode'
                )
            ranges = [KeyRange(*row) for row in document['ranges']]
            table = cls(ranges, document['next_fence'])
        except (ValueError, KeyError, TypeError) as exc:
            raise TableError(f'unreadable table: {exc}', 'decode') from exc
        table._validate()
        return table

    def _assign_one(self, item):
        kept = []
        new = KeyRange(
            item.first,
            item.last,
            self.next_fence,
            item.owner,
            item.incarnation,
        )
        for old in self.ranges:
            if old.last < item.first or old.first > item.last:
                kept.append(old)
                continue
            if old.first < item.first:
                kept.append(old.subrange(old.first, item.first - 1))
            if old.first <= item.first <= old.last:
                kept.append(new)
            if old.last > item.last:
                kept.append(old.subrange(item.last + 1, old.last))
        return RangeTable(kept, self.next_fence + 1)

    def _validate(self):
        expected = 0
        for item in self.ranges:
            if item.first != expected or item.last < item.first:
                raise TableError(f'gap or overlap at {expected}', 'decode')
            if item.fence >= self.next_fence:
                raise TableError(f'fence {item.fence} is too high', 'decode')
            expected = item.last + 1
        if expected != KEY_SPACE:
            raise TableError(f'the table ends at {expected}', 'decode')
