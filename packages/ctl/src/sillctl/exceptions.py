"""Error classes of sillctl and the exit code of each class."""

from bramleysill_kernel.common import exceptions

EXIT_OK = 0
EXIT_INTERNAL = 1
# Used by fire for an invalid command line.
EXIT_USAGE = 2
EXIT_MANIFEST = 3
EXIT_SETTINGS = 4
EXIT_STORE = 5
EXIT_CONFLICT = 6
EXIT_UNKNOWN_OUTCOME = 7
EXIT_NOT_FOUND = 8
EXIT_NO_UPSTREAM_LEFT = 9
EXIT_ROUTER = 10
EXIT_CELL_CHANGED = 11
EXIT_ADDRESS_CHANGED = 12


class StoreNotReached(exceptions.StoreUnavailable):
    """No connection to the store was possible, so nothing was sent."""

    code = 'store_not_reached'
    hint = 'Check --store or SILLCTL_STORE; nothing was changed.'


class OutcomeUnknown(exceptions.StoreError):
    """A write may have taken effect, or may still do so."""

    code = 'outcome_unknown'
    hint = (
        'Run `sillctl status` to see what is in force. Running the same '
        'command again is safe: it compares versions first.'
    )


class ManifestConflict(exceptions.StoreConflict):
    """Another operator has written the manifest first.

    `winner` is the author of the current version, `difference` what the
    rejected manifest would change in it.
    """

    hint = (
        'Merge the difference into your file, then run `sillctl diff FILE` '
        'and `sillctl apply FILE` again.'
    )

    def __init__(self, key, version, expected, winner, difference):
        super().__init__(key, version)
        self.expected = expected
        self.winner = winner
        self.difference = difference
        ahead = version - expected
        self.message = (
            f'{winner} wrote {key} version {version}, which is {abs(ahead)} '
            f'{"after" if ahead > 0 else "before"} the expected version '
            f'{expected}; nothing was written'
        )


class NotFound(exceptions.SillError):
    """The service, upstream, failure domain or stored value is missing."""

    code = 'not_found'
    hint = 'Run `sillctl status` to see what is declared.'


class CellChanged(exceptions.SillError):
    """A manifest is of another region or cell than the stored one.

    Ownership tables and their fences are stored by cell, so the new cell
    would start without the owners of the old one.
    """

    code = 'cell_changed'
    hint = (
        'Check that the file and the store belong to the same cell; add '
        '--force only if no router of the old cell is running.'
    )


class AddressChanged(exceptions.SillError):
    """An upstream has another address than in the manifest in force.

    The server at the old address may still hold grants of that name, so two
    servers could own the same keys for a while.
    """

    code = 'address_changed'
    hint = (
        'Declare the server at the new address under a new name, or add '
        '--force if no server is running at the old address.'
    )


class NoUpstreamLeft(exceptions.SillError):
    """A drain would leave a service without upstreams."""

    code = 'no_upstream_left'
    hint = (
        'Restore another upstream or failure domain first, or add --force to '
        'accept that requests are refused.'
    )


class RouterUnavailable(exceptions.SillError):
    """The admin port of a router did not respond."""

    code = 'router_unavailable'
    hint = 'Check that --router is the address of the admin port.'


EXIT_CODES = {
    exceptions.SillError: EXIT_INTERNAL,
    exceptions.ManifestError: EXIT_MANIFEST,
    exceptions.SettingsError: EXIT_SETTINGS,
    exceptions.StoreError: EXIT_STORE,
    exceptions.StoreConflict: EXIT_CONFLICT,
    OutcomeUnknown: EXIT_UNKNOWN_OUTCOME,
    NotFound: EXIT_NOT_FOUND,
    NoUpstreamLeft: EXIT_NO_UPSTREAM_LEFT,
    RouterUnavailable: EXIT_ROUTER,
    CellChanged: EXIT_CELL_CHANGED,
    AddressChanged: EXIT_ADDRESS_CHANGED,
}


def exit_code(exc):
    """Return the exit code of the most specific class in EXIT_CODES."""
    for cls in type(exc).__mro__:
        if cls in EXIT_CODES:
            return EXIT_CODES[cls]
    return EXIT_INTERNAL
