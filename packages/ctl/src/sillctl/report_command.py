"""Implements `sillctl report`: collects snapshots and builds the report."""

import math
import pathlib
import time

from bramleysill_kernel.common.exceptions import SettingsError
from bramleysill_kernel.common.latency_buckets import LATENCY_BUCKETS_SECONDS
from sillctl import collector
from sillctl import snapshot_files
from sillctl.alert_rules import alert_rules
from sillctl.burn_report import BUDGET_WINDOW
from sillctl.burn_report import make_report
from sillctl.report_output import to_html
from sillctl.windows import FULL_COVERAGE_RATIO

UNTIL_LATEST = 'latest'


class ReportOptions:
    """Options of the command; SettingsError is raised if one is invalid."""

    __slots__ = ('routers', 'snapshots', 'record', 'polls', 'interval')

    def __init__(self, routers, snapshots, record, polls, interval):
        self.routers = collector.parse_routers(routers)
        self.snapshots = snapshots
        self.record = record
        self.polls = polls
        self.interval = interval
        collector.check_schedule(polls, interval)
        if not self.routers and not snapshots:
            raise SettingsError(
                'no source of metrics',
                'settings',
                hint='Add --routers HOST:PORT,... or --snapshots DIR.',
            )
        if record and not self.routers:
            raise SettingsError(
                '--record needs routers to poll',
                'settings',
                hint='Add --routers HOST:PORT,...',
            )


def objectives_of(manifest):
    """Return the objective of each service, or None, by name."""
    return {s.name: s.objective for s in manifest.services.values()}


def rules_text(manifest):
    """Return the text of a rule file; raises SettingsError."""
    objectives = objectives_of(manifest)
    declared = {name: o for name, o in objectives.items() if o is not None}
    if not declared:
        raise SettingsError(
            'the manifest declares no objective',
            'report',
            hint='Add a section [objective SERVICE]; see docs/manifest.md.',
        )
    return alert_rules(declared, LATENCY_BUCKETS_SECONDS)


def build_report(
    options, manifest, until='', clock=time.time, sleep=time.sleep
):
    """Return the burn report as a dict."""
    # The routers are polled first, so that the windows end after the polls.
    snapshots = list(_collect(options, clock, sleep))
    end = _end_time(until, options, snapshots, clock())
    malformed = 0
    if options.snapshots:
        # The reading at the start of a window may be older than the window by
        # a tenth of its length.
        since = end - BUDGET_WINDOW.seconds * (2 - FULL_COVERAGE_RATIO)
        recorded, malformed = snapshot_files.load(
            options.snapshots, since, end
        )
        # Snapshots that this call has recorded are read a second time. They
        # add nothing, since no time passes between equal readings.
        snapshots += recorded
    report = make_report(snapshots, objectives_of(manifest), end)
    return {**report, 'malformed_lines': malformed}


def _collect(options, clock, sleep):
    polled = collector.poll(
        options.routers, options.polls, options.interval, clock, sleep
    )
    for snapshot in polled:
        if options.record:
            snapshot_files.append(options.record, snapshot)
        yield snapshot


def _end_time(until, options, snapshots, now):
    if not until:
        return now
    if until == UNTIL_LATEST:
        times = [s.at for s in snapshots]
        if options.snapshots:
            newest = snapshot_files.newest_time(options.snapshots)
            times += [newest] if newest is not None else []
        return max(times, default=now)
    try:
        end = float(until)
    except ValueError:
        end = math.nan
    if not math.isfinite(end):
        raise SettingsError(
            f'invalid value of --until: {until!r}',
            'settings',
            hint=f'Write `{UNTIL_LATEST}` or seconds since the epoch.',
        )
    return end


def write_html(report, path):
    """Write the HTML page; raises SettingsError."""
    try:
        pathlib.Path(path).write_text(to_html(report), encoding='utf-8')
    except OSError as exc:
        raise SettingsError(
            f'cannot write the page: {exc.strerror}',
            'html',
            str(path),
            'Give --html the path of a writable file.',
        ) from exc
