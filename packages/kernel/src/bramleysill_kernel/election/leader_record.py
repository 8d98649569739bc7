"""The leader record of a cell, as kept in the store."""

import json


def leader_key(cell):
    """Return the store key of a cell's leader record."""
    return f'cell/{cell}/leader'


class LeaderRecord:
    """Who leads the cell, and which routers may stand for election next.

    `candidates` maps router names to incarnations. `write_id` identifies the
    write, so that the writer can find out whether it took effect. `version`
    is the store's version of the key and is not part of the stored value.
    """

    __slots__ = (
        'term',
        'holder',
        'incarnation',
        'address',
        'candidates',
        'write_id',
        'version',
    )

    def __init__(self, term, holder, incarnation, address, candidates):
        self.term = term
        self.holder = holder
        self.incarnation = incarnation
        self.address = address
        self.candidates = dict(candidates)
        self.write_id = ''
        self.version = 0

    def encode(self):
        """Return the stored form, as JSON in bytes."""
        names = [n for n in self.__slots__ if n != 'version']
        return json.dumps({n: getattr(self, n) for n in names}).encode()

    @classmethod
    def decode(cls, data, version):
        """Return the record of a stored value and its version."""
        value = json.loads(data)
        write_id = value.pop('write_id')
        record = cls(**value)
        record.write_id = write_id
        record.version = version
        return record
