"""Command line of the `bramleysill` router."""

from absl import logging
import fire

from bramleysill_router.process import RouterProcess
from bramleysill_router.settings import read_settings
from bramleysill_router.startup import run_process


def run(config, verbose=False):
    """Run a router until a signal terminates it.

    Args:
        config: path of the INI settings file.
        verbose: also write debug lines, one for each hop of a request.
    """
    logging.set_verbosity(logging.DEBUG if verbose else logging.INFO)
    logging.use_absl_handler()
    run_process(lambda: RouterProcess(read_settings(config)))


def main():
    """Run the `bramleysill` command."""
    fire.Fire(run, name='bramleysill')
