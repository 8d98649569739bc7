"""Checks of a manifest against the one in force, before it is applied."""

from sillctl.exceptions import AddressChanged
from sillctl.exceptions import CellChanged


def check_cell(old, new):
    """Raise CellChanged if the region or cell differs."""
    if old is None or (old.region, old.cell) == (new.region, new.cell):
        return
    raise CellChanged(
        f'the store holds cell {old.cell} of region {old.region}, the file '
        f'declares cell {new.cell} of region {new.region}',
        'apply',
        new.cell,
    )


def check_addresses(old, new):
    """Raise AddressChanged if an upstream has a new address."""
    for name, upstream in new.upstreams.items():
        current = old.upstreams.get(name) if old is not None else None
        if current is None:
            continue
        if (current.host, current.port) != (upstream.host, upstream.port):
            raise AddressChanged(
                f'upstream {name} is at {current.host}:{current.port} and the '
                f'file declares {upstream.host}:{upstream.port}',
                'apply',
                name,
            )
