"""Registry of the scenarios of the availability benchmark."""

from bramleysill_kernel.common.registry import Registry

scenarios = Registry('scenario')
