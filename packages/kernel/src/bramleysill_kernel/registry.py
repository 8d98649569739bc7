"""Registries of variants that decorators fill.

A plug-in registers itself when its module is imported::

    balancers = Registry('balancer')

    @balancers.register('random')
    class RandomBalancer:
        ...

    balancers.get('random')
"""

from bramleysill_kernel.exceptions import SettingsError


class Registry:
    """A named set of variants, each under a unique name."""

    __slots__ = ('kind', '_variants')

    def __init__(self, kind):
        self.kind = kind
        self._variants = {}

    def register(self, name):
        """Return a decorator that registers a class or function.

        Raises SettingsError if the name is taken.
        """

        def decorate(variant):
            if name in self._variants:
                raise SettingsError(
                    f'{self.kind} {name!r} is registered twice', 'register'
                )
            self._variants[name] = variant
            return variant

        return decorate

    def get(self, name):
        """Return the variant, or raise SettingsError that lists them all."""
        try:
            return self._variants[name]
        except KeyError:
            known = ', '.join(self.names())
            raise SettingsError(
                f'unknown {self.kind} {name!r}; known are: {known}', 'lookup'
            ) from None

    def names(self):
        """Return the registered names in order."""
        return sorted(self._variants)
