"""Starts the processes of the demo and terminates them by their ids."""

import pathlib
import subprocess
import time

START_TIMEOUT_SECONDS = 20.0
TERMINATE_TIMEOUT_SECONDS = 5.0
LOG_TAIL_BYTES = 2000
_POLL_INTERVAL_SECONDS = 0.05


class ProcessFailed(Exception):
    """A process did not start, did not exit or returned an error.

    The message includes the end of the process's error output.
    """


class Process:
    """One child process; its output goes to files in `directory`."""

    def __init__(self, name, command, directory):
        self.name = name
        self.out = pathlib.Path(directory) / f'{name}.out'
        self.err = pathlib.Path(directory) / f'{name}.err'
        with self.out.open('wb') as out, self.err.open('wb') as err:
            self._popen = subprocess.Popen(
                [str(word) for word in command],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
            )

    @property
    def pid(self):
        """Return the process id."""
        return self._popen.pid

    def lines(self):
        """Return the lines printed to standard output so far."""
        return self.out.read_text().splitlines()

    def is_running(self):
        """Return whether the process is running."""
        return self._popen.poll() is None

    def wait_for(self, is_ready, what, seconds=START_TIMEOUT_SECONDS):
        """Wait until `is_ready()` is true; raises ProcessFailed."""
        deadline = time.monotonic() + seconds
        while not is_ready():
            if not self.is_running():
                raise self._failed(f'exited before it was {what}')
            if time.monotonic() > deadline:
                raise self._failed(f'not {what} after {seconds:.0f} s')
            time.sleep(_POLL_INTERVAL_SECONDS)

    def finish(self, seconds):
        """Wait until the process exits with 0; raises ProcessFailed."""
        try:
            code = self._popen.wait(seconds)
        except subprocess.TimeoutExpired:
            raise self._failed(
                f'did not exit within {seconds:.0f} s'
            ) from None
        if code:
            raise self._failed(f'exited with code {code}')

    def kill(self):
        """Kill the process, to simulate the loss of a VM."""
        if self.is_running():
            self._popen.kill()
        self._popen.wait()

    def terminate(self):
        """Terminate the process; kill it if it does not exit in time."""
        if self.is_running():
            self._popen.terminate()
        try:
            self._popen.wait(TERMINATE_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()

    def _failed(self, what):
        log = self.err.read_bytes()[-LOG_TAIL_BYTES:].decode(errors='replace')
        return ProcessFailed(f'{self.name}: {what}\n{log}')


class ProcessGroup:
    """All processes of a demo run; a context manager that ends them."""

    def __init__(self, directory):
        self.directory = directory
        self._processes = []

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.terminate_all()

    def start(self, name, command):
        """Start a process and return it."""
        process = Process(name, command, self.directory)
        self._processes.append(process)
        return process

    def find(self, name):
        """Return the process most recently started under a name."""
        return next(p for p in reversed(self._processes) if p.name == name)

    def terminate_all(self):
        """Terminate the processes in the reverse order of their start."""
        while self._processes:
            self._processes.pop().terminate()
