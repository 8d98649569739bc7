"""A reproducible byte pattern for downloads and uploads of any size."""

import hashlib

BLOCK_BYTES = 65536


def make_block(seed):
    """Return the block that the pattern of a seed (a str) repeats."""
    digest = hashlib.sha256(seed.encode()).digest()
    return digest * (BLOCK_BYTES // len(digest))


def iter_pattern(seed, size):
    """Yield pieces of the first `size` bytes of the pattern."""
    block = make_block(seed)
    while size > 0:
        yield block[:size] if size < BLOCK_BYTES else block
        size -= BLOCK_BYTES


def pattern_digest(seed, size):
    """Return the SHA-256 of the first `size` bytes of the pattern in hex."""
    digest = hashlib.sha256()
    for piece in iter_pattern(seed, size):
        digest.update(piece)
    return digest.hexdigest()
