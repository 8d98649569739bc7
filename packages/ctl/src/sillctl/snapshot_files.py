"""Snapshots of metrics in a directory, one file of lines per router."""

import pathlib
import re

from bramleysill_kernel.exceptions import SettingsError
from sillctl.snapshots import decode
from sillctl.snapshots import encode

SUFFIX = '.jsonl'
_UNSAFE = re.compile(r'[^A-Za-z0-9.-]')


def append(directory, snapshot):
    """Append a snapshot to its router's file; raises SettingsError."""
    path = pathlib.Path(directory)
    name = _UNSAFE.sub('_', snapshot.router) + SUFFIX
    try:
        path.mkdir(parents=True, exist_ok=True)
        with open(path / name, 'a', encoding='utf-8') as file:
            file.write(encode(snapshot) + '\n')
    except OSError as exc:
        raise _failed('record', 'cannot write snapshots', path, exc) from exc


def load(directory, since):
    """Return (snapshots not older than `since`, count of malformed lines).

    A line may be malformed because a writer was stopped in the middle of it.
    """
    path = pathlib.Path(directory)
    found, malformed = [], 0
    try:
        # A path without a directory would otherwise look like no snapshots.
        files = sorted(p for p in path.iterdir() if p.suffix == SUFFIX)
        for file in files:
            for line in file.read_text('utf-8', 'replace').splitlines():
                try:
                    snapshot = decode(line)
                except ValueError:
                    malformed += 1
                    continue
                if snapshot.at >= since:
                    found.append(snapshot)
    except OSError as exc:
        raise _failed('snapshots', 'cannot read snapshots', path, exc) from exc
    return found, malformed


def _failed(option, what, path, exc):
    return SettingsError(
        f'{what}: {exc.strerror}',
        option,
        str(path),
        f'Give --{option} a directory that can be used.',
    )
