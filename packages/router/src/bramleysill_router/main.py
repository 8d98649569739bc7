"""Command line of the router process."""

import signal
import sys

from absl import logging
import fire

from bramleysill_kernel.exceptions import SillError
from bramleysill_router.process import RouterProcess
from bramleysill_router.settings import read_settings

EXIT_OK = 0
EXIT_SETTINGS = 2


def run(config, verbose=False):
    """Run a router until it is told to stop.

    Args:
        config: path of the INI settings file.
        verbose: also log one line for each request.
    """
    logging.set_verbosity(logging.DEBUG if verbose else logging.INFO)
    logging.use_absl_handler()
    try:
        process = RouterProcess(read_settings(config))
    except SillError as exc:
        print(f'bramleysill: {exc}', file=sys.stderr)
        print(f'  {exc.hint}', file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    except OSError as exc:
        print(f'bramleysill: cannot listen: {exc}', file=sys.stderr)
        print('  Choose free addresses in the settings.', file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    process.run()


def main():
    """Entry point of the `bramleysill` binary."""
    fire.Fire(run, name='bramleysill')
