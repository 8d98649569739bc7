"""Compare-and-swap whose outcome is known even if the answer is lost."""

import uuid

from bramleysill_kernel.exceptions import StoreConflict
from bramleysill_kernel.exceptions import StoreUnavailable
from sillctl.exceptions import OutcomeUnknown
from sillctl.exceptions import StoreNotReached

READ_BACK_ATTEMPTS = 3


def new_write_id():
    """Return an id that no other write has."""
    return uuid.uuid4().hex


def compare_and_swap(store, key, data, expected, is_own_write):
    """Write a value once; return its version.

    `is_own_write(data)` tells whether a stored value carries the id of this
    write. After a lost answer the value is read back; it is never written
    a second time. Raises StoreConflict if another write was first, and
    OutcomeUnknown if that can't be told.
    """
    try:
        return store.write(key, data, expected)
    except StoreNotReached:
        raise
    except (StoreConflict, StoreUnavailable) as exc:
        return _read_back(store, key, expected, is_own_write, exc)


def _read_back(store, key, expected, is_own_write, cause):
    for attempt in range(READ_BACK_ATTEMPTS):
        if attempt:
            store.pause()
        try:
            value = store.read(key)
        except StoreUnavailable:
            continue
        if is_own_write(value.data):
            return value.version
        if value.version != expected:
            raise _conflict_error(key, expected, value, cause) from cause
    if isinstance(cause, StoreConflict):
        raise cause
    raise OutcomeUnknown(
        f'the write of {key} after version {expected} was not answered; it '
        'may still take effect',
        'read_back',
        key,
    ) from cause


def _conflict_error(key, expected, value, cause):
    """Return the error for a value that another write has set.

    Versions grow with each write. The version after the expected one
    therefore shows that this write never took effect; a later one may have
    replaced it.
    """
    lost = isinstance(cause, StoreConflict) or value.version == expected + 1
    if lost:
        return StoreConflict(key, value.version)
    return OutcomeUnknown(
        f'{key} is at version {value.version} by another writer; this write '
        f'after version {expected} was replaced or never took effect',
        'read_back',
        key,
    )
