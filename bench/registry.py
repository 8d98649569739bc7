"""Registry of the scenarios of the availability benchmark."""

from bramleysill_kernel.registry import Registry

scenarios = Registry('scenario')
