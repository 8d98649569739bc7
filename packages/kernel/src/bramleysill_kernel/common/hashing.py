"""Stable hashing of keys and names."""

import xxhash


def hash64(text):
    """Return the 64-bit xxh3 hash of a string, the same on every VM."""
    return xxhash.xxh3_64_intdigest(text.encode())


def rendezvous_score(name, item):
    """Return the score by which rendezvous hashing ranks a name for an item.

    All routers compute the same ranking, which differs from item to item.
    """
    return xxhash.xxh3_64_intdigest(f'{name}|{item}'.encode())
