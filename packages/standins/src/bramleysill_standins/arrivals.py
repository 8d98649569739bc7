"""Arrival processes: endless iterators of seconds since the start."""

from bramleysill_kernel.registry import Registry

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
    """Yield times with exponential gaps of `1 / rate` seconds on average."""
    at = 0.0
    while True:
        at += rng.expovariate(rate)
        yield at
