"""Tests of the platform store's replies as the adapter decodes them."""

import json

import testtools

from bramleysill_kernel.common.store_types import StoreOutcome
from bramleysill_net.http_calls import CallResult
from bramleysill_platform import store

ITEM = {'key': 'k', 'value': 'eA==', 'revision': 3, 'lease': 0}


def _decode(document, decode):
    body = json.dumps(document).encode()
    return store._decode_reply(CallResult(200, {}, body, True, False), decode)


class MalformedReplyTest(testtools.TestCase):
    """A reply that can't be read does not tell whether the call was made."""

    def _check_rejected(self, document, decode):
        reply = _decode(document, decode)
        self.assertEqual(StoreOutcome.NO_REPLY, reply.outcome)

    def test_replies_that_are_no_objects(self):
        """Guards against an exception in the loop that reads the reply."""
        for document in ([], [1], 'text', 5, None, True):
            for decode in (
                store._decode_single_item,
                store._decode_page,
                store._decode_events,
                store._decode_write,
                store._decode_lease,
            ):
                self._check_rejected(document, decode)

    def test_rows_that_are_no_items(self):
        """Guards against an exception in the loop that reads the reply."""
        for rows in (5, 'text', {}, [1], [None], [[]], [{**ITEM, 'key': 5}]):
            document = {'items': rows, 'events': rows, 'current_rev': 3}
            self._check_rejected(document, store._decode_page)
            self._check_rejected(document, store._decode_events)

    def test_a_lease_that_is_no_number(self):
        """Guards against calls about a lease that does not exist."""
        for lease in ('7', None, [], 1.5, True):
            document = {'lease': lease, 'ttl_time': '2000ms'}
            self._check_rejected(document, store._decode_lease)
            row = {**ITEM, 'lease': lease, 'current_rev': 3}
            self._check_rejected(row, store._decode_single_item)

    def test_well_formed_replies_are_read(self):
        """Guards against a check that rejects what the store sends."""
        document = {'items': [ITEM], 'current_rev': 3, 'more_pages': False}
        reply = _decode(document, store._decode_page)
        self.assertEqual(StoreOutcome.OK, reply.outcome)
        self.assertEqual(b'x', reply.items[0].value)
        reply = _decode({'lease': 7, 'ttl_time': '2s'}, store._decode_lease)
        self.assertEqual((7, 2.0), (reply.lease, reply.lease_seconds))
