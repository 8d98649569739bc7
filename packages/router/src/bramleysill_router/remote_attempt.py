"""Attempts over a peer link: the entry's side and the dispatcher's side.

Both sides limit the bytes in flight of a stream: a receiver returns credit
with StreamWindow messages as it takes the data.
"""

from bramleysill_kernel.common import refusals
from bramleysill_kernel.common.exceptions import OUTCOME_UNKNOWN
from bramleysill_kernel.common.exceptions import Refusal
from bramleysill_kernel.common.exceptions import SettingsError
from bramleysill_router.attempts import WINDOW_BYTES
from bramleysill_router.attempts import RequestHead
from bramleysill_wire import streams

CANCEL_CODE = 'cancelled'


def refusal_to_reset(stream, refusal):
    """Return the message that carries a refusal to the entry router."""
    retry_after_ms = streams.NO_RETRY_AFTER
    if refusal.retry_after is not None:
        retry_after_ms = int(refusal.retry_after * 1000)
    return streams.StreamReset(
        stream,
        refusal.code,
        refusal.message,
        refusal.step,
        refusal.peer,
        refusal.outcome,
        retry_after_ms,
    )


def reset_to_refusal(message):
    """Return the refusal that a message carries.

    An unknown code becomes a plain Refusal.
    """
    try:
        cls = refusals.refusals.get(message.code)
    except SettingsError:
        cls = Refusal
    retry_after = None
    if message.retry_after_ms >= 0:
        retry_after = message.retry_after_ms / 1000
    return cls(
        message.message,
        message.step,
        message.peer,
        outcome=message.outcome or OUTCOME_UNKNOWN,
        retry_after=retry_after,
    )


class RemoteAttempt:
    """The entry's side: an attempt at another router's dispatcher."""

    __slots__ = (
        '_link',
        '_stream',
        '_sink',
        'buffered',
        '_unreturned_credit',
        '_paused',
    )

    def __init__(self, link, head, sink, now, body=b'', body_complete=True):
        self._link = link
        self._sink = sink
        self.buffered = len(body)
        self._unreturned_credit = 0
        self._paused = False
        self._stream = link.next_stream
        link.next_stream += 2
        link.streams[self._stream] = self
        link.send(_encode_open(self._stream, head, now, body, body_complete))

    def write(self, data):
        """Send a piece of the request's body."""
        self.buffered += len(data)
        self._link.send(streams.StreamData(self._stream, data))

    def end(self):
        """End the request's body."""
        self._link.send(streams.StreamData(self._stream, b'', True))

    def cancel(self):
        """Cancel the attempt.

        The dispatcher frees the slot once the upstream has stopped the work.
        """
        if self._sink is not None:
            self._detach()
            self._link.send(streams.StreamReset(self._stream, CANCEL_CODE))

    def pause(self):
        """Return no credit until the caller has taken the data."""
        self._paused = True

    def resume(self):
        """Return the credit that was withheld."""
        self._paused = False
        self._return_credit()

    def on_message(self, message):
        """Handle a message of this stream from the dispatcher."""
        sink = self._sink
        if sink is not None:
            _ATTEMPT_HANDLERS[type(message)](self, sink, message)

    def on_link_lost(self):
        """Refuse: the link was lost, and the request may have run."""
        sink = self._detach()
        if sink is None:
            return
        # A link sends nothing before its handshake, so the request can't have
        # run if the link is not ready.
        cls = refusals.NotDispatcher
        if self._link.ready:
            cls = refusals.ConnectionLost
        sink.on_refused(
            cls(
                'the link to the dispatcher was lost',
                'forward',
                self._link.router,
            )
        )

    def _on_admitted(self, sink, message):
        sink.on_admitted()

    def _on_window(self, sink, message):
        self.buffered -= message.credit
        sink.on_drain()

    def _on_head(self, sink, message):
        fields = streams.decode_header_block(message.head)
        length = message.length if message.length >= 0 else None
        if message.last:
            self._detach()
        sink.on_response_head(message.status, fields, length)
        if message.body:
            self._unreturned_credit += len(message.body)
            sink.on_response_body(message.body)
        if message.last:
            sink.on_response_end()
        else:
            self._return_credit()

    def _on_data(self, sink, message):
        if message.last:
            self._detach()
        if message.data:
            self._unreturned_credit += len(message.data)
            sink.on_response_body(message.data)
        if message.last:
            sink.on_response_end()
        else:
            self._return_credit()

    def _on_reset(self, sink, message):
        self._detach()
        sink.on_refused(reset_to_refusal(message))

    def _return_credit(self):
        if self._paused or self._sink is None or not self._unreturned_credit:
            return
        credit, self._unreturned_credit = self._unreturned_credit, 0
        self._link.send(streams.StreamWindow(self._stream, credit))

    def _detach(self):
        sink, self._sink = self._sink, None
        self._link.streams.pop(self._stream, None)
        return sink


_ATTEMPT_HANDLERS = {
    streams.StreamAdmitted: RemoteAttempt._on_admitted,
    streams.StreamWindow: RemoteAttempt._on_window,
    streams.StreamHead: RemoteAttempt._on_head,
    streams.StreamData: RemoteAttempt._on_data,
    streams.StreamReset: RemoteAttempt._on_reset,
}


def _encode_open(stream, head, now, body, body_complete):
    timeout_ms = max(0, int((head.deadline - now) * 1000))
    names = streams.join_texts(
        head.request_id,
        head.upstream,
        head.service,
        head.unit,
        head.method,
        head.target,
        head.caller,
        head.idempotency_key,
        head.route,
        head.key,
    )
    return streams.StreamOpen(
        stream,
        names,
        head.fence,
        streams.encode_header_block(head.headers),
        head.length,
        timeout_ms,
        head.repeatable,
        head.priority,
        body,
        body_complete,
    )


class ServedAttempt:
    """The dispatcher's side: runs a local attempt, responds over the link.

    It is the sink of the local attempt.
    """

    __slots__ = (
        '_link',
        '_stream',
        '_attempt',
        '_head',
        '_body',
        '_unacked_bytes',
        '_unreturned_credit',
        '_finished',
        '_link_lost',
        '_streaming',
    )

    def __init__(self, link, message, submit, now):
        self._link = link
        self._stream = message.stream
        self._attempt = None
        self._head = None
        self._body = b''
        self._unacked_bytes = 0
        self._unreturned_credit = 0
        self._finished = False
        self._link_lost = False
        self._streaming = not message.last
        link.peer_streams[message.stream] = self
        self._attempt = submit(_decode_open(message, now), self)
        if self._link_lost:
            self._attempt.cancel()
        if self._finished:
            return
        if message.body:
            self._unreturned_credit += len(message.body)
            self._attempt.write(message.body)
        if message.last:
            self._attempt.end()
        else:
            self._return_credit()

    def on_message(self, message):
        """Handle a message of this stream from the entry."""
        if self._finished:
            return
        if isinstance(message, streams.StreamData):
            self._on_request_body(message)
        elif isinstance(message, streams.StreamWindow):
            self._unacked_bytes -= message.credit
            if self._unacked_bytes < WINDOW_BYTES:
                self._attempt.resume()
        elif isinstance(message, streams.StreamReset):
            self.on_link_lost()

    def on_link_lost(self):
        """Cancel the attempt, because the entry no longer waits for it."""
        if self._finished:
            return
        self._finish()
        self._link_lost = True
        if self._attempt is not None:
            self._attempt.cancel()

    # The sink of the attempt.

    def on_admitted(self):
        """Tell the entry that it may stream the rest of the body."""
        if self._streaming:
            self._link.send(streams.StreamAdmitted(self._stream))
            self._return_credit()

    def on_drain(self):
        """Return credit for what the upstream has taken."""
        self._return_credit()

    def on_response_head(self, status, fields, length):
        """Keep the head, to send it with the first piece of the body."""
        block = streams.encode_header_block(fields)
        wire_length = streams.CHUNKED if length is None else length
        self._head = streams.StreamHead(
            self._stream, status, block, wire_length
        )

    def on_response_body(self, data):
        """Send a piece of the response; pause the upstream at the window."""
        head = self._head
        if head is not None and len(data) == head.length:
            # The body is complete: head, body and end go in one frame.
            self._body = data
            return
        self._unacked_bytes += len(data)
        if head is not None:
            self._head = None
            head.body = data
            self._link.send(head)
        else:
            self._link.send(streams.StreamData(self._stream, data))
        if self._unacked_bytes >= WINDOW_BYTES:
            self._attempt.pause()

    def on_response_end(self):
        """Send the end of the response."""
        head = self._head
        if head is not None:
            head.body = self._body
            head.last = True
            self._link.send(head)
        else:
            self._link.send(streams.StreamData(self._stream, b'', True))
        self._finish()

    def on_refused(self, refusal):
        """Send a refusal to the entry."""
        self._link.send(refusal_to_reset(self._stream, refusal))
        self._finish()

    def _on_request_body(self, message):
        if message.data:
            self._unreturned_credit += len(message.data)
            self._attempt.write(message.data)
            self._return_credit()
        if message.last:
            self._attempt.end()

    def _return_credit(self):
        attempt = self._attempt
        if attempt is None or self._finished or not self._unreturned_credit:
            return
        taken = self._unreturned_credit - attempt.buffered
        if taken > 0 and attempt.buffered < WINDOW_BYTES:
            self._unreturned_credit -= taken
            self._link.send(streams.StreamWindow(self._stream, taken))

    def _finish(self):
        self._finished = True
        self._link.peer_streams.pop(self._stream, None)


def _decode_open(message, now):
    names = dict(
        zip(
            streams.TEXT_FIELDS,
            streams.split_texts(message.names),
            strict=True,
        )
    )
    return RequestHead(
        fence=message.fence,
        headers=streams.decode_header_block(message.head),
        length=message.length,
        deadline=now + message.timeout_ms / 1000,
        repeatable=message.repeatable,
        priority=message.priority,
        **names,
    )


class StreamDemultiplexer:
    """Passes the stream messages of all links to the attempts.

    Messages of an unknown stream are dropped: the stream has ended or was
    cancelled, since stream numbers are never reused on a link.
    """

    __slots__ = ('_submit', '_now')

    def __init__(self, submit, now):
        self._submit = submit
        self._now = now

    def on_stream(self, link, message):
        """Handle a stream message of a link."""
        if isinstance(message, streams.StreamOpen):
            ServedAttempt(link, message, self._submit, self._now())
            return
        number = message.stream
        target = link.streams.get(number) or link.peer_streams.get(number)
        if target is not None:
            target.on_message(message)

    def on_lost(self, link):
        """End all streams of a lost link."""
        for stream in list(link.streams.values()):
            stream.on_link_lost()
        for stream in list(link.peer_streams.values()):
            stream.on_link_lost()
