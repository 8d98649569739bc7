"""Chooses the organisations that metrics name; their number is bounded."""

# Metrics name this many organisations; the others are counted together.
MAX_NAMED_ORGANISATIONS = 50
OTHERS = 'others'
# For requests without an organisation.
NO_ORGANISATION = ''


class OrganisationLabels:
    """Chooses the organisations that metrics name.

    Those with the highest rates come first. All routers name the same ones
    then, unless the configuration changes: a name that has been given stays,
    so that the number of names is bounded over the life of the process.
    """

    __slots__ = ('_named',)

    def __init__(self):
        self._named = set()

    def update(self, organisations):
        """Name the organisations of a new configuration, if there is room."""
        room = MAX_NAMED_ORGANISATIONS - len(self._named)
        new = [o for o in organisations if o.name not in self._named]
        new.sort(key=lambda o: (-o.rate, o.name))
        self._named.update(o.name for o in new[: max(0, room)])

    def label(self, organisation):
        """Return the label of an organisation or of None."""
        if organisation is None:
            return NO_ORGANISATION
        if organisation.name in self._named:
            return organisation.name
        return OTHERS
