"""Compare-and-swap writes that detect their outcome after a lost reply."""

import uuid

from bramleysill_kernel.common.exceptions import StoreConflict
from bramleysill_kernel.common.exceptions import StoreUnavailable
from sillctl.exceptions import OutcomeUnknown
from sillctl.exceptions import StoreNotReached

MAX_READ_BACK_ATTEMPTS = 3


def new_write_id():
    """Return a unique id for a write."""
    return uuid.uuid4().hex


def compare_and_swap(store, key, data, expected, is_own_write):
    """Write a value once; return its version.

    `is_own_write(data)` returns whether a stored value has the id of this
    write. After a lost reply the value is read back; it is never written
    a second time. Raises StoreConflict if another write was first, and
    OutcomeUnknown if the outcome can't be determined.
    """
    try:
        return store.write(key, data, expected)
    except StoreNotReached:
        raise
    except (StoreConflict, StoreUnavailable) as exc:
        return _read_back(store, key, expected, is_own_write, exc)


def _read_back(store, key, expected, is_own_write, cause):
    for attempt in range(MAX_READ_BACK_ATTEMPTS):
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
        f'the write of {key} over version {expected} got no reply; it may '
        'still take effect',
        'read_back',
        key,
    ) from cause


def _conflict_error(key, expected, value, cause):
    """Return the error for a stored value that another write has set.

    Each write increases the version. If the other write has the version right
    after `expected`, this write never took effect. At a later version, this
    write may have taken effect and been replaced.
    """
    took_no_effect = (
        isinstance(cause, StoreConflict) or value.version == expected + 1
    )
    if took_no_effect:
        return StoreConflict(key, value.version)
    return OutcomeUnknown(
        f'{key} is at version {value.version} by another writer; this write '
        f'over version {expected} was replaced or never took effect',
        'read_back',
        key,
    )
