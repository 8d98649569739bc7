"""Errors of the operators' tool, and the exit code of each error class."""

from bramleysill_kernel import exceptions

EXIT_OK = 0
EXIT_INTERNAL = 1
# Used by fire for a command line that it can't read.
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
    """No connection to the store could be made, so nothing was sent."""

    code = 'store_not_reached'
    hint = 'Check --store or SILLCTL_STORE; nothing was changed.'


class OutcomeUnknown(exceptions.StoreError):
    """A write may or may not have taken effect, or may do so later."""

    code = 'outcome_unknown'
    hint = (
        'Run `sillctl status` to see what is in force. Running the same '
        'command again is safe: it compares versions first.'
    )


class ManifestConflict(exceptions.StoreConflict):
    """Another operator's manifest was written first.

    `winner` is who wrote the current version, `difference` what a new
    `apply` would change in it.
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
    """The store has no such service, upstream, failure domain or value."""

    code = 'not_found'
    hint = 'Run `sillctl status` to see what is declared.'


class CellChanged(exceptions.SillError):
    """A sheet is of another region or cell than the store's.

    The ownership tables and their fences are kept by cell, so the new cell
    would start without knowing the owners of the old one.
    """

    code = 'cell_changed'
    hint = (
        'Check that the file and the store are of the same cell; add --force '
        'only when no router of the old cell runs.'
    )


class AddressChanged(exceptions.SillError):
    """An upstream has another address than in force.

    The server at the old address may still hold grants of its name, so that
    two servers could own the same keys for a while.
    """

    code = 'address_changed'
    hint = (
        'Declare the server at the new address under a new name, or add '
        '--force when no server runs at the old address.'
    )


class NoUpstreamLeft(exceptions.SillError):
    """A drain would leave a service without any upstream."""

    code = 'no_upstream_left'
    hint = 'Restore something first, or add --force to accept refusals.'


class RouterUnavailable(exceptions.SillError):
    """The router's admin port did not answer."""

    code = 'router_unavailable'
    hint = 'Check --router, which is the address of the admin port.'


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
    """Return the exit code of the nearest listed class of an error."""
    for cls in type(exc).__mro__:
        if cls in EXIT_CODES:
            return EXIT_CODES[cls]
    return EXIT_INTERNAL
