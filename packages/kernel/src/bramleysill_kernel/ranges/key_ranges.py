"""Key ranges and the table that maps them to their owners.

The table of a service covers the whole key space without gaps or overlaps
and is stored as JSON. Each range carries a fence: a fencing token that was
assigned at the last change of owner. Fences only increase.

Example::

    table = RangeTable.empty()
    table = table.assign([Assignment(0, 65535, 'i-1', 17)])
    table.find(4711).owner
"""

import bisect
import json

from bramleysill_kernel.common.exceptions import SillError

KEY_SPACE = 65536
ALL_KEYS = (0, KEY_SPACE - 1)
FORMAT_VERSION = 1
# The era of a store that was never restored from an older copy of itself.
FIRST_ERA = 1
# An era of the store may use this many bits of the fences; the rest of 64 bits
# counts the eras.
FENCE_BITS_PER_ERA = 40
# What reading a document of another shape than a table's may raise.
_MALFORMED_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class TableError(SillError):
    """A stored range table can't be decoded."""

    code = 'table_invalid'
    hint = 'Restore the stored table from a backup, or delete its key.'


class KeyRange:
    """Keys `first` to `last`, both inclusive, and their owner.

    `owner` is the id of an upstream, or '' while the range is vacant.
    `incarnation` is the start time of the owner's process. `unsettled` means
    that another upstream may hold the keys by a later table, which the store
    has lost, so that they must not be granted yet.
    """

    __slots__ = (
        'first',
        'last',
        'fence',
        'owner',
        'incarnation',
        'unsettled',
    )

    def __init__(
        self, first, last, fence=0, owner='', incarnation=0, unsettled=False
    ):
        self.first = first
        self.last = last
        self.fence = fence
        self.owner = owner
        self.incarnation = incarnation
        self.unsettled = unsettled

    @property
    def width(self):
        """Return the number of keys."""
        return self.last - self.first + 1

    @property
    def holder(self):
        """Return (owner, incarnation, fence), unique to each assignment."""
        return self.owner, self.incarnation, self.fence

    def subrange(self, first, last):
        """Return a subrange with the same owner and fence."""
        return KeyRange(
            first,
            last,
            self.fence,
            self.owner,
            self.incarnation,
            self.unsettled,
        )


class Assignment:
    """A decision to make an upstream the owner of a range."""

    __slots__ = ('first', 'last', 'owner', 'incarnation')

    def __init__(self, first, last, owner, incarnation):
        self.first = first
        self.last = last
        self.owner = owner
        self.incarnation = incarnation


class RangeTable:
    """An immutable table of ranges, sorted by key.

    `settles_in` is for how many seconds after the write of this table its
    unsettled keys must not be granted, or None if that isn't known.
    """

    __slots__ = ('ranges', 'next_fence', 'settles_in', '_starts')

    def __init__(self, ranges, next_fence, settles_in=None):
        self.ranges = ranges
        self.next_fence = next_fence
        self.settles_in = settles_in
        self._starts = [r.first for r in ranges]

    @classmethod
    def empty(cls):
        """Return a table in which all keys are vacant."""
        return cls([KeyRange(0, KEY_SPACE - 1)], 1)

    def find(self, key):
        """Return the range that contains a key."""
        return self.ranges[bisect.bisect_right(self._starts, key) - 1]

    def overlapping(self, first, last):
        """Return the ranges that overlap `first` to `last`."""
        start = bisect.bisect_right(self._starts, first) - 1
        end = bisect.bisect_right(self._starts, last)
        return self.ranges[start:end]

    def assign(self, assignments):
        """Return a new table with the assignments applied.

        Each assignment gets a fence that is higher than any used before.
        """
        numbered = [
            KeyRange(
                item.first,
                item.last,
                self.next_fence + number,
                item.owner,
                item.incarnation,
            )
            for number, item in enumerate(assignments)
        ]
        batches = [sorted(numbered, key=lambda item: item.first)]
        if _have_overlap(batches[0]):
            # The later ones of the list count.
            batches = [[item] for item in numbered]
        ranges = self.ranges
        for batch in batches:
            ranges = _overlay(ranges, batch)
        return RangeTable(ranges, self.next_fence + len(numbered))

    def renew_fences(self, lowest=0):
        """Return a table with the same owners and a new fence per range.

        Adjacent ranges of the same owner are merged. All new fences are at
        least `lowest`.
        """
        merged = []
        fence = max(self.next_fence, lowest)
        for item in self.ranges:
            last = merged[-1] if merged else None
            if last and _may_merge(last, item):
                last.last = item.last
                continue
            part = item.subrange(item.first, item.last)
            part.fence = fence
            merged.append(part)
            fence += 1
        return RangeTable(merged, fence)

    def with_unsettled(self, spans):
        """Return a table in which the keys of these spans are unsettled.

        A span is (first, last).
        """
        ranges = self.ranges
        for first, last in spans:
            ranges = _mark_unsettled(ranges, first, last)
        return RangeTable(ranges, self.next_fence)

    def settled(self):
        """Return a table without unsettled keys."""
        ranges = [item.subrange(item.first, item.last) for item in self.ranges]
        for item in ranges:
            item.unsettled = False
        return RangeTable(ranges, self.next_fence)

    def settling_in(self, seconds):
        """Return a table whose unsettled keys wait for so many seconds."""
        return RangeTable(self.ranges, self.next_fence, seconds)

    def has_unsettled(self):
        """Return whether any keys are unsettled."""
        return any(item.unsettled for item in self.ranges)

    def encode(self):
        """Return the table as JSON, as it is stored."""
        rows = [_encode_row(item) for item in self.ranges]
        document = {
            'format': FORMAT_VERSION,
            'next_fence': self.next_fence,
            'ranges': rows,
        }
        if self.settles_in is not None:
            document['settles_in'] = self.settles_in
        return json.dumps(document, separators=(',', ':')).encode()

    @classmethod
    def decode(cls, data):
        """Return the table that `data` encodes, or raise TableError."""
        try:
            document = json.loads(data)
            if document['format'] != FORMAT_VERSION:
                raise TableError(
                    f'unsupported table format {document["format"]}', 'decode'
                )
            ranges = [KeyRange(*row) for row in document['ranges']]
            settles_in = document.get('settles_in')
            if settles_in is not None:
                settles_in = float(settles_in)
            table = cls(ranges, document['next_fence'], settles_in)
            table._validate()
        except _MALFORMED_ERRORS as exc:
            raise TableError(
                f'malformed range table: {exc}', 'decode'
            ) from exc
        return table

    def _validate(self):
        expected = 0
        for item in self.ranges:
            if item.first != expected or item.last < item.first:
                raise TableError(f'gap or overlap at key {expected}', 'decode')
            if item.fence >= self.next_fence:
                raise TableError(
                    f'fence {item.fence} is not below next_fence', 'decode'
                )
            expected = item.last + 1
        if expected != KEY_SPACE:
            raise TableError(
                f'table covers {expected} keys, not the whole key space',
                'decode',
            )


def first_fence(era):
    """Return the lowest fence of an era of the store.

    A restored store has lost which fences were given out, so each era has
    fences of its own, above those of all earlier eras.
    """
    return max(0, era - FIRST_ERA) << FENCE_BITS_PER_ERA


def _have_overlap(ranges):
    """Return whether any of the ranges, sorted by key, overlap."""
    return any(
        item.last >= after.first
        for item, after in zip(ranges, ranges[1:], strict=False)
    )


def _overlay(ranges, new):
    """Return the ranges with others laid over them; both are sorted by key."""
    kept = []
    position = 0
    for item in ranges:
        first = item.first
        while position < len(new) and new[position].first <= item.last:
            over = new[position]
            if first < over.first:
                kept.append(item.subrange(first, over.first - 1))
            if over.first >= item.first:
                kept.append(over)
            first = max(first, over.last + 1)
            if over.last > item.last:
                break
            position += 1
        if first <= item.last:
            kept.append(
                item
                if first == item.first
                else item.subrange(first, item.last)
            )
    return kept


def _may_merge(item, next_item):
    return (item.owner, item.incarnation, item.unsettled) == (
        next_item.owner,
        next_item.incarnation,
        next_item.unsettled,
    )


def _mark_unsettled(ranges, first, last):
    """Return the ranges, split so that only these keys become unsettled."""
    marked = []
    for item in ranges:
        if item.last < first or item.first > last:
            marked.append(item)
            continue
        if item.first < first:
            marked.append(item.subrange(item.first, first - 1))
        part = item.subrange(max(item.first, first), min(item.last, last))
        part.unsettled = True
        marked.append(part)
        if item.last > last:
            marked.append(item.subrange(last + 1, item.last))
    return marked


def _encode_row(item):
    row = [item.first, item.last, item.fence, item.owner, item.incarnation]
    return [*row, True] if item.unsettled else row
