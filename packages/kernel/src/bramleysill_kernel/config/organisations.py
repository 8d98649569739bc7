"""The organisations of a configuration and the API keys of their callers.

Keys are kept as digests. A process that has decoded a configuration thus has
no key in memory, and a lookup compares digests, so that its duration tells
nothing about a key.
"""

import hashlib

# Longer credentials are refused before they are hashed.
MAX_CREDENTIAL_CHARS = 1024


def is_credential(text):
    """Return whether a text can be an API key: printable ASCII, no space."""
    return (
        0 < len(text) <= MAX_CREDENTIAL_CHARS
        and text.isascii()
        and text.isprintable()
        and ' ' not in text
    )


def digest_key(key):
    """Return the digest under which an API key is stored."""
    return hashlib.sha256(key.encode()).digest()


class Organisation:
    """A customer of the operator.

    `priority` replaces the priority of the route unless it is None. All
    routers together admit `rate` requests/s and `burst` requests beyond them;
    a `rate` of 0.0 is no limit.
    """

    __slots__ = ('name', 'priority', 'rate', 'burst')

    def __init__(self, name, priority=None, rate=0.0, burst=0.0):
        self.name = name
        self.priority = priority
        self.rate = rate
        self.burst = burst

    @property
    def limited(self):
        """Return whether the organisation has a limit of requests/s."""
        return self.rate > 0.0


class OrganisationTable:
    """The organisations of one version of the configuration; immutable.

    `by_digest` maps digests of keys to organisations. `unusable_keys` counts,
    by name of the organisation, the keys that no request can carry.

        table = OrganisationTable([acme], {digest_key('k1'): acme})
        assert table.find('k1') is acme
    """

    __slots__ = ('by_name', 'unusable_keys', '_by_digest')

    def __init__(self, organisations, by_digest, unusable_keys=None):
        self.by_name = {o.name: o for o in organisations}
        self.unusable_keys = unusable_keys or {}
        self._by_digest = by_digest

    def find(self, credential):
        """Return the organisation that holds an API key, or None."""
        if not is_credential(credential):
            return None
        return self._by_digest.get(digest_key(credential))

    def __len__(self):
        return len(self.by_name)

    def __iter__(self):
        return iter(self.by_name.values())
