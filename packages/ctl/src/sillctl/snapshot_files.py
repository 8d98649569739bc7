"""Snapshots of metrics in a directory, with one JSON Lines file per router.

A month of snapshots of one cell takes hundreds of megabytes. Old snapshots
are therefore downsampled before they are decoded.
"""

import math
import pathlib
import re

from bramleysill_kernel.common.exceptions import SettingsError
from sillctl.snapshots import STARTED_METRIC
from sillctl.snapshots import decode
from sillctl.snapshots import encode

FILE_SUFFIX = '.jsonl'
# All snapshots of the last hours are kept, since the short windows and the
# tolerance of the 6 h window need them.
FULL_RESOLUTION_SECONDS = 7 * 3600
# Pairs of (maximum age, step) in seconds: up to that age, one snapshot is kept
# in each step.
DOWNSAMPLING_STEPS = ((3.5 * 86400, 600), (math.inf, 3600))

_UNSAFE_CHARS = re.compile(r'[^A-Za-z0-9.-]')
_TIME_PATTERN = re.compile(r'\{"at":(\d+(?:\.\d+)?),')
_STARTED_PATTERN = re.compile(rf'"{STARTED_METRIC}",{{}},([0-9.]+)\]')
_NO_SAMPLES_TEXT = '"samples":null'


def append(directory, snapshot):
    """Append a snapshot to its router's file; raises SettingsError."""
    path = pathlib.Path(directory)
    name = _UNSAFE_CHARS.sub('_', snapshot.router) + FILE_SUFFIX
    try:
        path.mkdir(parents=True, exist_ok=True)
        with open(path / name, 'a', encoding='utf-8') as file:
            file.write(encode(snapshot) + '\n')
    except OSError as exc:
        raise _directory_error(
            'record', 'cannot write snapshots', path, exc
        ) from exc


def newest_time(directory):
    """Return the time of the newest snapshot, or None if there is none."""
    times = (
        _parse_time(line) for lines in _open_files(directory) for line in lines
    )
    return max((at for at in times if at is not None), default=None)


def load(directory, since, end):
    """Return (snapshots from `since` to `end`, number of malformed lines).

    Times are in seconds since the epoch. A line may be malformed because its
    writer was stopped while it wrote the line.
    """
    found, malformed = [], 0
    for lines in _open_files(directory):
        for line in downsample(lines, since, end):
            try:
                found.append(decode(line))
            except ValueError:
                malformed += 1
    return found, malformed


def downsample(lines, since, end):
    """Yield the lines of one router that a report needs.

    The lines must be in order of time. These are kept: the first of each
    step; the last before and the first after a restart, because the counts
    between the two are lost; and the newest, also without samples.
    """
    step = started = skipped = without_samples = None
    for line in lines:
        at = _parse_time(line)
        if at is None:
            yield line
        if at is None or not since <= at <= end:
            continue
        if _NO_SAMPLES_TEXT in line:
            without_samples = line
            continue
        without_samples = None
        is_new_step = step != (step := _sampling_step_key(at, end))
        has_restarted = started != (started := _parse_started(line, started))
        if has_restarted and skipped:
            yield skipped
        if is_new_step or has_restarted:
            yield line
        skipped = None if is_new_step or has_restarted else line
    yield from filter(None, (skipped, without_samples))


def _open_files(directory):
    """Yield each file of a directory, opened; raises SettingsError."""
    path = pathlib.Path(directory)
    try:
        # Unlike `glob`, `iterdir` fails if the directory does not exist, so a
        # wrong path is not taken for a directory without snapshots.
        for file in sorted(
            p for p in path.iterdir() if p.suffix == FILE_SUFFIX
        ):
            with open(file, encoding='utf-8', errors='replace') as lines:
                yield lines
    except OSError as exc:
        raise _directory_error(
            'snapshots', 'cannot read snapshots', path, exc
        ) from exc


def _parse_time(line):
    found = _TIME_PATTERN.match(line)
    return float(found[1]) if found else None


def _parse_started(line, default):
    found = _STARTED_PATTERN.search(line)
    return found[1] if found else default


def _sampling_step_key(at, end):
    """Return a key that is equal for all times in one sampling step."""
    age = end - at
    if age <= FULL_RESOLUTION_SECONDS:
        return at
    step = next(step for limit, step in DOWNSAMPLING_STEPS if age <= limit)
    return step, at // step


def _directory_error(option, what, path, exc):
    return SettingsError(
        f'{what}: {exc.strerror}',
        option,
        str(path),
        f'Give --{option} an accessible directory.',
    )
