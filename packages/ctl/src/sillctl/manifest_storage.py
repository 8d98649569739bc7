"""Reads manifests from files, and reads and writes the stored manifest.

The text of a stored manifest starts with a header comment, which has the id
and the author of the write::

    ; sillctl write_id=5f0c... by=mei@ops1 at=2026-12-04T05:40:00Z
"""

import dataclasses
import datetime
import getpass
import pathlib
import socket

from bramleysill_kernel.common import exceptions
from bramleysill_kernel.config.manifest import Manifest
from bramleysill_kernel.config.manifest_parser import parse_manifest
from sillctl import store_writes

MANIFEST_KEY = 'manifest'
HEADER_PREFIX = '; sillctl '


@dataclasses.dataclass(slots=True)
class StoredManifest:
    """The stored manifest; `manifest` is None if it is missing or invalid."""

    text: str = ''
    version: int = 0
    manifest: Manifest | None = None
    error: exceptions.ManifestError | None = None

    @property
    def author(self):
        """Return who wrote the manifest, from its header comment."""
        name = parse_header(self.text).get('by', 'an unknown author')
        return name if name.isprintable() else ascii(name)


def load_file(path):
    """Return the text of a manifest file.

    Raises SettingsError if the file can't be read.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise exceptions.SettingsError(
            f'cannot read the file: {exc.strerror}',
            'read',
            str(path),
            'Give the path of a readable manifest file.',
        ) from exc
    # Bytes that aren't UTF-8 become surrogates, which the parser reports.
    return data.decode('utf-8-sig', errors='surrogateescape')


def load_stored(store):
    """Return the StoredManifest; an invalid one has `error` set."""
    value = store.read(MANIFEST_KEY)
    text = value.data.decode('utf-8', errors='replace')
    stored = StoredManifest(text, value.version)
    if value.version:
        try:
            stored.manifest = parse_manifest(text, 'store', value.version)
        except exceptions.ManifestError as exc:
            stored.error = exc
    return stored


def current_user():
    """Return the user of this process as user@host."""
    try:
        user = getpass.getuser()
    except (OSError, KeyError):
        user = 'unknown'
    return f'{user}@{socket.gethostname()}'.replace(' ', '_')


def strip_header(text):
    """Return a manifest's text without header comments at its start."""
    lines = text.split('\n')
    while lines and lines[0].startswith(HEADER_PREFIX):
        del lines[0]
    return '\n'.join(lines)


def add_header(text, write_id):
    """Return a manifest's text with the header comment of this write."""
    now = datetime.datetime.now(datetime.UTC).strftime('%Y-%m-%dT%H:%M:%SZ')
    fields = f'write_id={write_id} by={current_user()} at={now}'
    return f'{HEADER_PREFIX}{fields}\n{strip_header(text)}'


def parse_header(text):
    """Return the fields of the header comment as a dict."""
    first = text.split('\n', 1)[0]
    if not first.startswith(HEADER_PREFIX):
        return {}
    words = first.removeprefix(HEADER_PREFIX).split()
    return dict(word.split('=', 1) for word in words if '=' in word)


def write_manifest(store, text, expected):
    """Write a manifest over version `expected`; return (write id, version).

    The text is checked with its header comment, as it is stored. Raises
    ManifestError, StoreConflict or OutcomeUnknown.
    """
    write_id = store_writes.new_write_id()
    text_with_header = add_header(text, write_id)
    parse_manifest(text_with_header, MANIFEST_KEY)

    def is_own_write(data):
        found = parse_header(data.decode('utf-8', errors='replace'))
        return found.get('write_id') == write_id

    data = text_with_header.encode()
    version = store_writes.compare_and_swap(
        store, MANIFEST_KEY, data, expected, is_own_write
    )
    return write_id, version
