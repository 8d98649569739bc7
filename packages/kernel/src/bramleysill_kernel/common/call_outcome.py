"""The outcome of a call that changes who may hold keys."""

import enum


class CallOutcome(enum.Enum):
    """The outcome of a grant, a release or a table write.

    After `REFUSED` nothing was changed. After `NO_RESPONSE` the call may
    have taken effect or may still do so. `REPLACED` means that another process
    has the upstream's address, so the upstream's own process has ended.
    `NEEDS_FENCE` means that a grant was not sent, since it might reach the
    next process of the upstream under a fence of the former one.
    """

    OK = 'ok'
    REFUSED = 'refused'
    CONFLICT = 'conflict'
    NO_RESPONSE = 'no_answer'
    REPLACED = 'replaced'
    NEEDS_FENCE = 'needs_fence'
