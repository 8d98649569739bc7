"""Command line of the router process."""

from absl import logging
import fire

from bramleysill_router.process import RouterProcess
from bramleysill_router.settings import read_settings
from bramleysill_router.startup import run_process


def run(config, verbose=False):
    """Run a router until it is told to stop.

    Args:
        config: path of the INI settings file.
        verbose: also log one line for each request.
    """
    logging.set_verbosity(logging.DEBUG if verbose else logging.INFO)
    logging.use_absl_handler()
    run_process(lambda: RouterProcess(read_settings(config)))


def main():
    """Entry point of the `bramleysill` binary."""
    fire.Fire(run, name='bramleysill')
