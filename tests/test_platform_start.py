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
# The interpreter removes signal handlers before it deletes the modules, and so
# before it deletes this object.
SIGNAL_AT_EXIT_SCRIPT = """
import os
import runpy
import signal
import sys
import types


class SignalAtExit:
    def __del__(self, kill=os.kill, pid=os.getpid(), signo=signal.{name}):
        kill(pid, signo)


stub = types.ModuleType('bramleysill_platform.main')
sys.modules[stub.__name__] = stub
stub.at_exit = SignalAtExit()
stub.main = lambda: signal.signal(signal.{name}, lambda signo, frame: None)
runpy.run_module('bramleysill_platform', run_name='__main__')
"""
TIMEOUT_SECONDS = 60


class EarlyAndLateSignalsTest(testtools.TestCase):
    def _run(self, script):
        return subprocess.run(
            [sys.executable, '-c', script],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )

    def test_sighup_during_import_does_not_end_the_process(self):
        """Guards against a router that SIGHUP terminates while it restarts.

        The settings changed while the router was starting, and the default
        action of the signal ended the process (seed 145 of the soak test).
        """
        completed = self._run(SIGHUP_DURING_IMPORT_SCRIPT)
        self.assertEqual(
            (0, 'alive\n'),
            (completed.returncode, completed.stdout),
            completed.stderr,
        )

    def test_signals_at_exit_do_not_change_the_exit_code(self):
        """Guards against a shutdown that looks like a crash.

        The settings changed when the router had already stopped (seed 309 of
        the soak test).
        """
        for name in ('SIGHUP', 'SIGTERM'):
            completed = self._run(SIGNAL_AT_EXIT_SCRIPT.format(name=name))
            self.assertEqual(0, completed.returncode, completed.stderr)
