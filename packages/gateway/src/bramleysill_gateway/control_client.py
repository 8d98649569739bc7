"""Calls to one upstream process, whose responses carry no id of their call.

A faulty upstream may write an earlier response once more on a connection, and
it would be taken for the response to the next call. A response that could be
an earlier one is therefore not used: the call is sent once more on a new
connection, on which there is no earlier response.
"""

import collections

from bramleysill_kernel.load.receive_budget import UPSTREAM
from bramleysill_kernel.ranges.process_fences import ProcessFences
from bramleysill_net.http_calls import CallResult
from bramleysill_net.http_calls import HttpCallClient
from bramleysill_router.logs import log_event

# A response that comes once more belongs to one of the last calls.
REMEMBERED_HANDOVERS = 32


class ControlClient:
    """Sends grants and releases to the process of a directory entry.

    Both are idempotent. `may_send()` tells whether a call may still be sent
    once more. All that a response tells is in its head; its body is skipped.
    """

    __slots__ = (
        '_upstream',
        '_client',
        '_may_send',
        '_fences',
        '_handovers',
    )

    def __init__(self, loop, entry, may_send):
        self._upstream = entry.upstream
        self._client = HttpCallClient(loop, *entry.address, UPSTREAM)
        self._may_send = may_send
        self._fences = ProcessFences()
        # Of the last releases; each release has a handover of its own.
        self._handovers = collections.deque(maxlen=REMEMBERED_HANDOVERS)

    def may_grant(self, fence, any_process):
        """Return whether to send a grant, as in ProcessFences."""
        epoch = self._client.connection_epoch
        return self._fences.may_send(fence, epoch, any_process)

    def grant(self, data, timeout_seconds, callback):
        """Send a grant; calls `callback(CallResult)` once.

        A repeated success can't be told from a new one; the keys count as held
        after either.
        """
        self._call(
            data,
            timeout_seconds,
            callback,
            lambda response: response.status == 200,
        )

    def release(self, data, timeout_seconds, handover_header, callback):
        """Send a release; calls `callback(CallResult)` once.

        A success is known to be new by its handover, which is in the header
        field `handover_header`.
        """

        def is_new(response):
            handover = response.headers.get(handover_header, '')
            if response.status != 200 or not handover:
                return False
            return handover not in self._handovers

        def on_response(response):
            self._handovers.append(response.headers.get(handover_header, ''))
            callback(response)

        self._call(data, timeout_seconds, on_response, is_new)

    def close(self):
        """Close the idle connections and abort the calls in progress."""
        self._client.close()

    def _call(self, data, timeout_seconds, callback, is_new):
        def on_response(response):
            unanswered = not response.status
            if unanswered or not response.reused or is_new(response):
                callback(response)
            elif self._may_send():
                log_event(
                    'control_call_repeated',
                    upstream=self._upstream,
                    status=response.status,
                )
                self._client.call(
                    data, timeout_seconds, callback, new_connection=True
                )
            else:
                callback(CallResult(0, {}, b'', True, True))

        self._client.call(data, timeout_seconds, on_response)
