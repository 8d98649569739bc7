"""Typed errors that format themselves and carry a stable code.

Every error names the step at which it arose and the peer that was involved,
so that a log line or a refusal can be traced to one place.
"""

OUTCOME_NOT_RUN = 'not_run'
OUTCOME_UNKNOWN = 'unknown'


class SillError(Exception):
    """Base class of all errors of this project.

    `code` is stable and documented in docs/errors.md, `step` is the stage of
    processing, `peer` the VM, upstream or file involved, and `hint` tells
    the user what to do.
    """

    code = 'internal'
    status = 500
    hint = 'Report this with the log lines of the request id.'

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
    """A manifest has one or more problems; see `problems`."""

    code = 'manifest_invalid'
    hint = 'Correct the listed lines and run sillctl check again.'

    def __init__(self, problems, peer=''):
        super().__init__(
            f'{len(problems)} problems in the manifest', 'check', peer
        )
        self.problems = problems


class SettingsError(SillError):
    """A setting of the process is missing or malformed."""

    code = 'settings_invalid'
    hint = 'Correct the setting; docs/settings.md lists all of them.'


class StoreError(SillError):
    """Base class of errors of the platform's key-value service."""

    code = 'store_error'
    hint = 'Check that the platform store answers.'


class StoreUnavailable(StoreError):
    """The store did not answer; a write may have taken effect."""

    code = 'store_unavailable'


class StoreConflict(StoreError):
    """A compare-and-swap lost against another writer."""

    code = 'store_conflict'

    def __init__(self, key, version):
        super().__init__(f'{key} is at version {version}', 'cas', key)
        self.version = version


class FrameError(SillError):
    """A frame on a peer link is malformed or of another schema version."""

    code = 'frame_invalid'


class Refusal(SillError):
    """A request is refused; `outcome` says whether it may have run.

    `retry_after` is in seconds, or None where retrying does not help.
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
