"""Registries of the benchmarks."""

from bramleysill_kernel.registry import Registry

scenarios = Registry('scenario')
