"""Outcome codes of requests and whether they count against an objective.

docs/report.md has the same table; a test compares the two.
"""

from bramleysill_kernel.common.refusals import refusals

OK = 'ok'
# Failures caused by the caller, which no router or upstream could avoid.
CALLER_ERROR_CODES = frozenset(
    (
        'bad_request',
        'unauthenticated',
        'unknown_service',
        'unknown_key',
        'body_too_large',
        'head_too_large',
        'key_mismatch',
        'quota_exceeded',
        'caller_left',
    )
)
# Failures because the key had no owner that could serve it.
UNAVAILABLE_CODES = frozenset(('owner_lost', 'owner_moving'))
# Outcomes that are not refusals, because no problem document was sent.
OTHER_CODES = (OK, 'answer_cut', 'caller_left')


def is_failure(code):
    """Return whether a request with this outcome burns the error budget.

    Unknown codes are failures, so that those with a code of a newer router
    are not hidden.
    """
    return code != OK and code not in CALLER_ERROR_CODES


def is_eligible(code):
    """Return whether the objective includes requests with this outcome."""
    return code not in CALLER_ERROR_CODES


def outcomes_table():
    """Return the table of docs/report.md in Markdown."""
    rows = ['| code | counts against the objective |', '|---|---|']
    for code in sorted({*OTHER_CODES, *refusals.names()}):
        rows.append(f'| `{code}` | {_describe(code)} |')
    return '\n'.join(rows)


def _describe(code):
    if code == OK:
        return 'no; the request succeeded'
    if code in CALLER_ERROR_CODES:
        return 'no; caused by the caller and excluded from the total'
    if code in UNAVAILABLE_CODES:
        return 'yes; the key was unavailable'
    return 'yes'
