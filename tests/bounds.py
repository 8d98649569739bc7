"""Default platform bounds, and the timings derived from them, for tests."""

from bramleysill_kernel.config.node_settings import Bounds
from bramleysill_kernel.config.timings import Timings

MIN_LEASE_SECONDS = 1.0
HEARTBEAT_SECONDS = 1.0


def make_bounds(**changes):
    """Return the default bounds with some values replaced."""
    values = {
        'shutdown_grace': 6.0,
        'undisturbed': 3.0,
        'config_apply': 2.0,
        'drain': 2.0,
        'evacuation': 5.0,
        'longest_hold': 10.0,
        'retry_ratio': 0.2,
        'retry_window': 10.0,
        'retry_extra': 64,
        'cold_factor': 1.5,
        'cold_extra': 5,
        'address_reuse': 2.0,
    }
    return Bounds(**{**values, **changes})


def make_timings(
    min_lease_seconds=MIN_LEASE_SECONDS,
    heartbeat=HEARTBEAT_SECONDS,
    **changes,
):
    """Return the timings for `make_bounds(**changes)`."""
    return Timings(make_bounds(**changes), min_lease_seconds, heartbeat)
