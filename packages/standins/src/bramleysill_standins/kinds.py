"""Kinds of requests, and the checks of the content of their responses."""

import hashlib
import json

from bramleysill_kernel.common.registry import Registry
from bramleysill_standins.client_conn import HttpCall
from bramleysill_standins.pattern import iter_pattern
from bramleysill_standins.pattern import pattern_digest

UPLOAD_BYTES = 2 << 20
DOWNLOAD_BYTES = 1 << 20

kinds = Registry('request kind')


class PlannedRequest:
    """One request that the load generator is to send.

    `due_at` is its intended start in seconds on the loop's clock. The call id
    and the idempotency key stay the same over retries.
    """

    __slots__ = (
        'kind',
        'number',
        'key',
        'call_id',
        'due_at',
        'method',
        'path',
        'body_size',
        'download_size',
        'idempotency_key',
        'attempts',
        '_body_digest',
    )

    def __init__(self, kind, number, key, call_id, due_at):
        self.kind = kind
        self.number = number
        self.key = key
        self.call_id = call_id
        self.due_at = due_at
        self.method = 'GET'
        self.path = ''
        self.body_size = 0
        self.download_size = 0
        self.idempotency_key = ''
        self.attempts = 0
        self._body_digest = None

    def make_call(self, timeout_ms):
        """Return the request for one attempt."""
        headers = [
            ('X-Call-Id', self.call_id),
            ('Sill-Timeout-Ms', str(timeout_ms)),
        ]
        if self.idempotency_key:
            headers.append(('Idempotency-Key', self.idempotency_key))
        pieces = iter_pattern(self.call_id, self.body_size)
        return HttpCall(
            self.method, self.path, headers, self.body_size, pieces
        )

    @property
    def body_digest(self):
        """Return the SHA-256 of the request's body in hex."""
        if self._body_digest is None:
            digest = pattern_digest(self.call_id, self.body_size)
            self._body_digest = digest
        return self._body_digest

    def matches_response(self, response):
        """Return whether a 2xx response has the content for this request."""
        echoed = response.headers.get('x-call-id', self.call_id)
        if echoed != self.call_id:
            return False
        if self.download_size:
            return self._matches_download(response)
        return self._matches_echo(response)

    def _matches_download(self, response):
        expected = pattern_digest(self.key, self.download_size)
        return response.digest.hexdigest() == expected

    def _matches_echo(self, response):
        try:
            result = json.loads(response.body)
            found = (result['key'], result['call_id'])
            digest = result.get('sha256', '')
        except (ValueError, KeyError, TypeError, AttributeError):
            return False
        expected = self.body_digest if self.body_size else ''
        return found == (self.key, self.call_id) and digest == expected


@kinds.register('lookup')
def plan_lookup(plan):
    """Plan the lookup of a key of the ledger."""
    plan.path = f'/ledger/{plan.key}'


@kinds.register('handover')
def plan_handover(plan):
    """Plan a request that records a handover; it is not repeatable."""
    _plan_record(plan, 'handovers')


@kinds.register('opening')
def plan_opening(plan):
    """Plan a request that records an opening; it is not repeatable."""
    _plan_record(plan, 'openings')


@kinds.register('upload')
def plan_upload(plan):
    """Plan an upload to the intake, under a key for this call only."""
    plan.key = f'up-{plan.call_id}'
    plan.method = 'PUT'
    plan.path = f'/intake/{plan.key}'
    plan.body_size = UPLOAD_BYTES


@kinds.register('download')
def plan_download(plan):
    """Plan a download from the intake."""
    plan.download_size = DOWNLOAD_BYTES
    plan.path = f'/intake/{plan.key}?bytes={plan.download_size}'


def _plan_record(plan, effect):
    plan.method = 'POST'
    plan.path = f'/ledger/{plan.key}/{effect}'
    plan.body_size = 64
    plan.idempotency_key = hashlib.sha256(plan.call_id.encode()).hexdigest()
