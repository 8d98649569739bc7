"""The holds that a leader had granted when its term ended.

Without them, the next leader must assume that every upstream which has not
confirmed a grant of its own still holds its keys, for the longest possible
time. A former leader that still runs tells the next one what it knows.

They count only if the table in the store is the one that the former leader
wrote last: any leader in between would have written another one before its
first grant.
"""


class FormerHold:
    """How long one upstream process may hold keys, in seconds of a clock.

    `unanswered_until` is the end of the holds whose grants were not answered
    and may still arrive; `held_until` is the end of all.
    """

    __slots__ = ('held_until', 'unanswered_until')

    def __init__(self, held_until=0.0, unanswered_until=0.0):
        self.held_until = held_until
        self.unanswered_until = unanswered_until


class FormerHolds:
    """All holds of a former term, by (upstream, incarnation).

    `inherited_until` is the end of holds that the former leader knew no more
    about, and `table_revision` that of the last table that it wrote.
    """

    __slots__ = ('era', 'table_revision', 'inherited_until', 'holds')

    def __init__(self, era, table_revision, inherited_until, holds):
        self.era = era
        self.table_revision = table_revision
        self.inherited_until = inherited_until
        self.holds = holds

    def of_owner(self, item):
        """Return the FormerHold of the process that owns a range."""
        known = self.holds.get((item.owner, item.incarnation), FormerHold())
        return FormerHold(
            max(self.inherited_until, known.held_until),
            max(self.inherited_until, known.unanswered_until),
        )
