"""Decides which organisation a request belongs to, by its API key.

identity = identify(table, route.public, ['Bearer k1'], lambda: True)
identity.organisation
"""

from bramleysill_kernel.common import refusals
from bramleysill_kernel.config.organisations import is_credential

_SCHEME = 'bearer'


class Identity:
    """The organisation of a request, or None, and why it is refused.

    `organisation` is also set if the request is refused although its key is
    known.
    """

    __slots__ = ('organisation', 'refusal_class')

    def __init__(self, organisation=None, refusal_class=None):
        self.organisation = organisation
        self.refusal_class = refusal_class


ANONYMOUS = Identity()
_UNAUTHENTICATED = Identity(refusal_class=refusals.Unauthenticated)
_CONFIG_STALE = Identity(refusal_class=refusals.ConfigStale)


def parse_bearer(values):
    """Return the API key of the Authorization fields of a request, or None.

    A request with several such fields has none: another program on the way
    might read another one of them.
    """
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip(' \t').partition(' ')
    key = key.lstrip(' ')
    if scheme.lower() != _SCHEME or not is_credential(key):
        return None
    return key


def identify(organisations, public, values, is_recent):
    """Return the Identity of a request.

    `values` are its Authorization fields. `is_recent()` tells whether the
    configuration is recent enough to rely on a key. If it isn't, a key may
    have been revoked or added meanwhile, so that a request with one is neither
    served for its organisation nor told that the key is invalid.
    """
    key = parse_bearer(values)
    organisation = None if key is None else organisations.find(key)
    if organisation is not None:
        if is_recent():
            return Identity(organisation)
        return Identity(organisation, refusals.ConfigStale)
    if public:
        return ANONYMOUS
    if key is not None and not is_recent():
        return _CONFIG_STALE
    return _UNAUTHENTICATED
