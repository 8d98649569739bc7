"""Arrival processes: infinite iterators of seconds since the start."""

from bramleysill_kernel.common.registry import Registry

arrivals = Registry('arrivals')


@arrivals.register('constant')
def constant(rate, rng):
    """Yield times `1 / rate` seconds apart."""
    number = 0
    while True:
        yield number / rate
        number += 1


@arrivals.register('poisson')
def poisson(rate, rng):
    """Yield the times of a Poisson process with a mean gap of `1 / rate`."""
    at = 0.0
    while True:
        at += rng.expovariate(rate)
        yield at
