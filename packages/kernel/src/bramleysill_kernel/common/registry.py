"""Registries of named implementations, such as load balancers.

An implementation registers itself when its module is imported::

    balancers = Registry('balancer')

    @balancers.register('random')
    class RandomBalancer:
        ...

    balancers.get('random')
"""

from bramleysill_kernel.common.exceptions import SettingsError


class Registry:
    """A set of implementations of one kind, each under a unique name."""

    __slots__ = ('kind', '_variants')

    def __init__(self, kind):
        self.kind = kind
        self._variants = {}

    def register(self, name):
        """Return a decorator that registers a class or function.

        Raises SettingsError if the name is already registered.
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
        """Return an implementation; raises SettingsError if it is unknown."""
        try:
            return self._variants[name]
        except KeyError:
            known = ', '.join(self.names())
            raise SettingsError(
                f'unknown {self.kind} {name!r}; known names: {known}', 'lookup'
            ) from None

    def names(self):
        """Return the registered names, sorted."""
        return sorted(self._variants)
