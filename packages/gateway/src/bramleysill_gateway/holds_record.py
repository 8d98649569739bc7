"""Encodes the holds that a leader leaves in the store when it shuts down.

The next leader may be a process that knows no former one to ask. The record
has the seconds that were left when it was written, so that a reader, which
counts them from its reading, never takes a hold to end too early.
"""

import json
import math

from bramleysill_kernel.common.bounded_values import is_token
from bramleysill_kernel.election.leadership import MAX_STORE_CLOCK_RATE_ERROR
from bramleysill_kernel.ranges.former_holds import FormerHold
from bramleysill_kernel.ranges.former_holds import FormerHolds

# What reading a document of another shape than a record's may raise.
_MALFORMED_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    RecursionError,
)


def encode_holds(former, now):
    """Return the record of FormerHolds as bytes."""
    rows = [
        [
            upstream,
            incarnation,
            max(0.0, hold.held_until - now),
            max(0.0, hold.unanswered_until - now),
        ]
        for (upstream, incarnation), hold in former.holds.items()
        if hold.held_until > now
    ]
    document = {
        'era': former.era,
        'table_revision': former.table_revision,
        'inherited': max(0.0, former.inherited_until - now),
        'rows': rows,
    }
    return json.dumps(document).encode()


def decode_holds(data, now):
    """Return the FormerHolds of a record, or None if it is malformed."""
    try:
        document = json.loads(data)
        holds = {}
        for upstream, incarnation, held, unanswered in document['rows']:
            if not is_token(upstream):
                raise ValueError('the name of the upstream is malformed')
            holds[upstream, int(incarnation)] = FormerHold(
                _to_time(held, now), _to_time(unanswered, now)
            )
        return FormerHolds(
            int(document['era']),
            int(document['table_revision']),
            _to_time(document['inherited'], now),
            holds,
        )
    except _MALFORMED_ERRORS:
        return None


def _to_time(seconds, now):
    if not math.isfinite(seconds) or seconds < 0.0:
        raise ValueError('the time left is malformed')
    # The clocks of two machines may differ in their rates.
    return now + seconds * (1 + MAX_STORE_CLOCK_RATE_ERROR)
