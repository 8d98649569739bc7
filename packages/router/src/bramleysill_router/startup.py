"""Starts a process, or tells the user why it can't start."""

import signal
import sys

from bramleysill_kernel.exceptions import SillError

EXIT_START_FAILED = 2


def run_process(make_process):
    """Build a process with `make()` and run it to its end.

    Faulty settings and addresses in use end the program with a message that
    tells what to do, and the exit code EXIT_SETTINGS.
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
