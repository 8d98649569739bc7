"""Which outcome codes of requests count against an objective.

docs/report.md has the same table; a test compares them.
"""

from bramleysill_kernel.refusals import refusals

OK = 'ok'
# The caller caused these; another router or upstream could not help.
CALLER_ERROR_CODES = frozenset(
    (
        'bad_request',
        'unknown_service',
        'unknown_key',
        'body_too_large',
        'head_too_large',
        'key_mismatch',
        'caller_left',
    )
)
# The key had no owner that could serve it.
UNAVAILABLE_CODES = frozenset(('owner_lost', 'owner_moving'))
# Outcomes that are no refusals, because no problem document was sent.
OTHER_CODES = (OK, 'answer_cut', 'caller_left')


def counts_against(code):
    """Tell whether a request with this outcome burns the error budget.

    An unknown code counts, so that a code of a newer router is not hidden.
    """
    return code != OK and code not in CALLER_ERROR_CODES


def is_eligible(code):
    """Tell whether a request with this outcome is measured at all."""
    return code not in CALLER_ERROR_CODES


def outcomes_table():
    """Return the documented table in Markdown."""
    rows = ['| code | counts against the objective |', '|---|---|']
    for code in sorted({*OTHER_CODES, *refusals.names()}):
        rows.append(f'| `{code}` | {_describe(code)} |')
    return '\n'.join(rows)


def _describe(code):
    if code == OK:
        return 'no; it is the good outcome'
    if code in CALLER_ERROR_CODES:
        return 'no; caused by the caller and left out of the total'
    if code in UNAVAILABLE_CODES:
        return 'yes; the key was unavailable'
    return 'yes'
