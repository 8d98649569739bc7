"""The outcome of a call that changes who may hold keys."""

import enum


class CallOutcome(enum.Enum):
    """The outcome of a grant, a release or a table write.

    After `REFUSED` nothing was changed. After `NO_RESPONSE` the call may
    have taken effect or may still do so. `REPLACED` means that another process
    has the upstream's address, so the upstream's own process has ended.
    """

    OK = 'ok'
    REFUSED = 'refused'
    CONFLICT = 'conflict'
    NO_RESPONSE = 'no_answer'
    REPLACED = 'replaced'
