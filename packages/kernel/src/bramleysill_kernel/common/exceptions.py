"""Exception classes, each with a stable error code.

Every error names the processing step in which it was raised and the peer
involved, so that a log line or a refusal can be traced to its origin.
"""

OUTCOME_NOT_RUN = 'not_run'
OUTCOME_UNKNOWN = 'unknown'


class SillError(Exception):
    """Base class of all errors of this project.

    `code` is stable and documented in docs/errors.md, `step` is the
    processing step, `peer` the VM, upstream or file involved, and `hint`
    tells the user what to do. `status` is the HTTP status.
    """

    code = 'internal'
    status = 500
    hint = 'Report this error with the log lines that have its request ID.'

    def __init__(self, message, step='', peer='', hint=None):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer
        if hint is not None:
            self.hint = hint

    def __str__(self):
        text = f'{self.code}: {self.message}'
        if self.step:
            text += f' (step {self.step}'
            text += f', peer {self.peer})' if self.peer else ')'
        return text


class ManifestError(SillError):
    """A manifest is invalid; `problems` lists everything that is wrong."""

    code = 'manifest_invalid'
    hint = 'Correct the listed lines and run `sillctl check` again.'

    def __init__(self, problems, peer=''):
        super().__init__(
            f'{len(problems)} problems in the manifest', 'check', peer
        )
        self.problems = problems


class SettingsError(SillError):
    """A setting of the process is missing or malformed."""

    code = 'settings_invalid'
    hint = 'Correct the setting; docs/settings.md lists all settings.'


class StoreError(SillError):
    """Base class of errors of the platform's key-value store."""

    code = 'store_error'
    hint = 'Check that the platform store responds.'


class StoreUnavailable(StoreError):
    """The store did not respond; a write may have taken effect."""

    code = 'store_unavailable'


class StoreConflict(StoreError):
    """A compare-and-swap failed because another writer was first."""

    code = 'store_conflict'

    def __init__(self, key, version):
        super().__init__(f'{key} is at version {version}', 'cas', key)
        self.version = version


class FrameError(SillError):
    """A frame on a peer link is malformed or has another schema version."""

    code = 'frame_invalid'


class Refusal(SillError):
    """A request was refused; `outcome` tells whether it may have run.

    `retry_after` is in seconds, or None if a retry can't help.
    """

    code = 'refused'
    status = 503
    outcome = OUTCOME_NOT_RUN

    def __init__(
        self,
        message,
        step='',
        peer='',
        hint=None,
        outcome=None,
        retry_after=None,
    ):
        super().__init__(message, step, peer, hint)
        if outcome is not None:
            self.outcome = outcome
        self.retry_after = retry_after
