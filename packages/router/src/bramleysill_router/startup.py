"""Builds and runs a process; reports why it cannot start."""

import signal
import sys

from bramleysill_kernel.common.exceptions import SillError

EXIT_START_FAILED = 2


def run_process(make_process):
    """Build a process with `make_process()` and run it until it ends.

    If building it fails, for example because of invalid settings or an
    address in use, write the error and a hint to standard error and exit with
    EXIT_START_FAILED.
    """
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    try:
        process = make_process()
    except SillError as exc:
        print(f'bramleysill: {exc}', file=sys.stderr)
        print(f'  {exc.hint}', file=sys.stderr)
        sys.exit(EXIT_START_FAILED)
    except OSError as exc:
        print(f'bramleysill: cannot listen: {exc}', file=sys.stderr)
        print('  Choose free addresses in the settings.', file=sys.stderr)
        sys.exit(EXIT_START_FAILED)
    process.run()
