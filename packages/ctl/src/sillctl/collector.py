"""Polls the metrics of routers a limited number of times."""

import concurrent.futures

from bramleysill_kernel.common.exceptions import SettingsError
from sillctl import router_client
from sillctl.exceptions import RouterUnavailable
from sillctl.snapshots import Snapshot
from sillctl.store_clients import parse_address

MAX_POLLS = 1000
MAX_INTERVAL_SECONDS = 3600.0
# A cell has at most 40 routers. All are polled concurrently, since a poll of a
# router that is down lasts for the whole timeout.
MAX_CONCURRENT_POLLS = 40


def parse_routers(text):
    """Return the addresses of `HOST:PORT,...`; raises SettingsError."""
    addresses = [part.strip() for part in text.split(',') if part.strip()]
    for address in addresses:
        parse_address(address)
    return list(dict.fromkeys(addresses))


def check_schedule(polls, interval):
    """Raise SettingsError if `polls` or `interval` is out of range."""
    if not _is_number(polls, int) or not 1 <= polls <= MAX_POLLS:
        raise SettingsError(
            f'invalid value of --polls: {polls!r}',
            'settings',
            hint=f'Write a whole number from 1 to {MAX_POLLS}.',
        )
    is_valid = _is_number(interval, (int, float))
    if not is_valid or not 0 < interval <= MAX_INTERVAL_SECONDS:
        raise SettingsError(
            f'invalid value of --interval: {interval!r}',
            'settings',
            hint='Write a positive number of seconds up to '
            f'{MAX_INTERVAL_SECONDS:g}.',
        )


def _is_number(value, kinds):
    return isinstance(value, kinds) and not isinstance(value, bool)


def poll(routers, polls, interval, clock, sleep):
    """Yield the snapshots of all routers, `polls` times.

    `clock()` returns seconds since the epoch; `sleep(interval)` is called
    between polls. A router that does not respond yields a snapshot without
    samples.
    """
    if not routers:
        return
    workers = min(MAX_CONCURRENT_POLLS, len(routers))
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        for number in range(polls):
            if number:
                sleep(interval)
            yield from pool.map(lambda r: _poll_router(r, clock), routers)


def _poll_router(router, clock):
    try:
        samples = router_client.read_metrics(router)
    except RouterUnavailable as exc:
        return Snapshot(clock(), router, None, exc.message)
    return Snapshot(clock(), router, samples)
