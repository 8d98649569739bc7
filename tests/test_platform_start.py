"""Tests of a router process while it is being loaded."""

import subprocess
import sys

import testtools

# Loading takes up to a second on a weak VM; the stub sends the signal where
# the real module begins to load the router.
SIGHUP_DURING_IMPORT_SCRIPT = """
import os
import runpy
import signal
import sys
import types

stub = types.ModuleType('bramleysill_platform.main')
sys.modules[stub.__name__] = stub
stub.main = lambda: (os.kill(os.getpid(), signal.SIGHUP), print('alive'))
runpy.run_module('bramleysill_platform', run_name='__main__')
"""
TIMEOUT_SECONDS = 60


class EarlySignalsTest(testtools.TestCase):
    def test_sighup_during_import_does_not_end_the_process(self):
        """Replays changed settings while a router starts again.

        Guards against a process that ends by the signal's default action
        (seed 145 of the soak).
        """
        done = subprocess.run(
            [sys.executable, '-c', SIGHUP_DURING_IMPORT_SCRIPT],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
        self.assertEqual(
            (0, 'alive\n'), (done.returncode, done.stdout), done.stderr
        )
