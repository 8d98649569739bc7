"""Tests of a router process while its modules are imported."""

import subprocess
import sys

import testtools

# The imports take up to a second on a slow VM. The stub sends the signal at
# the point where the real module would import the router.
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
        """Guards against a router that SIGHUP terminates while it restarts.

        The settings changed while the router was starting, and the default
        action of the signal ended the process (seed 145 of the soak test).
        """
        completed = subprocess.run(
            [sys.executable, '-c', SIGHUP_DURING_IMPORT_SCRIPT],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
        self.assertEqual(
            (0, 'alive\n'),
            (completed.returncode, completed.stdout),
            completed.stderr,
        )
