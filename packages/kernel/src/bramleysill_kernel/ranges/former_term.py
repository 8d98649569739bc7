"""What a router knows of its last term as the leader.

After the store was restored from an older copy, the last leader may know all
owners although the store has lost them. That is certain if nobody else can
have moved keys since: another leader can have been elected only after the
lease of this one, and moves no keys for some time.
"""

from bramleysill_kernel.ranges.key_ranges import ALL_KEYS
from bramleysill_kernel.ranges.reassignment import FIRST_MOVE_DELAY_SECONDS


class FormerTerm:
    """The end of a term as the leader.

    `valid_until` is when the lease ended by this router's clock, and
    `unconfirmed` has the spans of keys by service in writes of the table whose
    outcome is unknown. `settled_at` is when the keys that were unsettled in
    this term could be granted, by service.
    """

    __slots__ = ('valid_until', 'unconfirmed', 'settled_at')

    def __init__(self, valid_until, unconfirmed, settled_at):
        self.valid_until = valid_until
        self.unconfirmed = unconfirmed
        self.settled_at = settled_at

    def knows_owners(self, era_seen_at):
        """Return whether no other leader can have moved keys since.

        `era_seen_at` is when the store was first seen to be restored.
        """
        return era_seen_at < self.valid_until + FIRST_MOVE_DELAY_SECONDS

    def uncertain_spans(self, service):
        """Return the spans of keys whose owner is not known.

        These are all keys of a service whose table was not read in this term.
        """
        return self.unconfirmed.get(service, [ALL_KEYS])

    def keys_settle_at(self, service):
        """Return when keys that are still unsettled may be granted, or None.

        Nobody has granted them in this term, so they wait no longer than in
        it. A write of unknown outcome may have given others an owner.
        """
        if self.unconfirmed.get(service):
            return None
        return self.settled_at.get(service)
