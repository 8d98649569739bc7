"""Links between routers: framed messages over TCP, one link per pair.

The first router that needs a link opens the connection; messages go both
ways. The first frame of each side is a Hello. A different schema version or
cell in it closes the link.
"""

from absl import logging

from bramleysill_kernel.common import messages
from bramleysill_kernel.common.exceptions import FrameError
from bramleysill_kernel.load.receive_budget import PEER
from bramleysill_kernel.load.receive_budget import Reservation
from bramleysill_net.conn import Conn
from bramleysill_net.conn import Listener
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning
from bramleysill_wire import codec

# Default of `PeerLinks.max_buffered_bytes`.
MAX_BUFFERED_BYTES = 64 << 20
HELLO_TIMEOUT_SECONDS = 1.0
# More than this without a complete Hello closes the link.
MAX_HELLO_BYTES = 4096
REDIAL_DELAY_SECONDS = 0.2
# A peer that acknowledges no data for this long is considered lost.
UNACKNOWLEDGED_TIMEOUT_MS = 2000


class PeerLink:
    """One connection to another router.

    Messages that are sent before the peer's Hello has arrived are queued.
    `streams` and `peer_streams` map stream numbers to the objects that handle
    the messages of the stream.
    """

    __slots__ = (
        'links',
        'conn',
        'router',
        'ready',
        'dialled',
        'streams',
        'peer_streams',
        'next_stream',
        '_reader',
        '_unsent',
    )

    def __init__(self, links, conn=None, router='', dialled=False):
        self.links = links
        self.conn = conn
        self.router = router
        self.dialled = dialled
        self.ready = False
        # Streams that this side has opened, then those that the peer has.
        self.streams = {}
        self.peer_streams = {}
        # The dialling side uses odd stream numbers and the other side even
        # ones, so that they cannot collide.
        self.next_stream = 1 if dialled else 2
        self._reader = codec.FrameReader(
            Reservation(links.receive_budget, PEER)
        )
        self._unsent = []

    @property
    def closed(self):
        """Return whether the connection is closed."""
        return self.conn.closed

    def send(self, message):
        """Send a message; drop it if the link is closed."""
        if self.conn.closed:
            return
        if not self.ready:
            self._unsent.append(message)
            return
        self.send_encoded(message, codec.encode(message))

    def send_encoded(self, message, data):
        """Send an encoded message; drop it if the link is not open.

        `message` is only used to count its bytes by kind.
        """
        if self.conn.closed or not self.ready:
            return
        self.links.count_sent(message, len(data))
        self.conn.write(data)
        if self.conn.buffered > self.links.max_buffered_bytes:
            log_warning('peer_link_overrun', peer=self.router)
            self.conn.abort()

    def on_connect(self):
        """Send the Hello of this router to the peer."""
        self.conn.write(codec.encode(self.links.hello))

    def on_data(self, data):
        """Decode the received bytes and pass on complete messages."""
        try:
            received = self._reader.feed(data)
            if not self.ready and received:
                self._on_hello(received.pop(0))
            if not self.ready and self._reader.buffered > MAX_HELLO_BYTES:
                raise FrameError('the Hello of the peer is too long', 'hello')
        except FrameError as exc:
            log_warning('peer_link_error', peer=self.conn.peer, error=exc)
            self.conn.abort()
            return
        self.links.on_messages(self, received, len(data))

    def on_drain(self):
        """Do nothing: credit, not the send buffer, limits the streams."""

    def on_close(self, exc):
        """Remove the link, which fails its streams."""
        self._reader.close()
        self.links.on_link_closed(self, exc)

    def _on_hello(self, message):
        if not isinstance(message, messages.Hello):
            raise FrameError(
                'the first message of the peer is not a Hello', 'hello'
            )
        if message.schema_version != messages.SCHEMA_VERSION:
            raise FrameError(
                f'the peer has schema version {message.schema_version}, this '
                f'router has {messages.SCHEMA_VERSION}',
                'hello',
                message.router,
                hint='Upgrade the router with the lower schema version.',
            )
        if message.cell != self.links.hello.cell:
            raise FrameError(
                f'the peer belongs to cell {message.cell}',
                'hello',
                message.router,
            )
        self.router = message.router
        if not self.dialled:
            self.conn.write(codec.encode(self.links.hello))
        self.ready = True
        self.links.on_link_opened(self, message)
        unsent, self._unsent = self._unsent, []
        for queued in unsent:
            self.send(queued)


class PeerLinks:
    """Opens, accepts and closes the links of this router.

    Set the callbacks before `listen()`: `on_control(link, message)` gets
    control messages, `on_stream(link, message)` gets messages of streams, and
    `on_lost(link)` is called when a link has closed.
    """

    __slots__ = (
        'hello',
        'max_buffered_bytes',
        'receive_budget',
        '_loop',
        '_metrics',
        '_links',
        '_dialled_links',
        '_listener',
        '_addresses',
        'on_control',
        'on_stream',
        'on_lost',
        '_redial_allowed_at',
    )

    def __init__(self, loop, hello, metrics):
        self.hello = hello
        # A link is closed if more than this waits to be sent to a slow peer.
        self.max_buffered_bytes = MAX_BUFFERED_BYTES
        self.receive_budget = loop.receive_budget
        self._loop = loop
        self._metrics = metrics
        self._links = {}
        self._dialled_links = {}
        self._listener = None
        self._addresses = {}
        self._redial_allowed_at = {}
        self.on_control = None
        self.on_stream = None
        self.on_lost = None

    def listen(self, host, port):
        """Listen for links; return the bound address."""
        self._listener = Listener(self._loop, host, port, self._on_accepted)
        return self._listener.address

    def update_addresses(self, members):
        """Add or replace addresses, as {router: 'host:port'}."""
        self._addresses.update(members)

    def get(self, router):
        """Return a link to a router, and connect it if there is none.

        Returns None if the address is unknown, or if the last attempt to
        connect is less than REDIAL_DELAY_SECONDS ago.
        """
        link = self._links.get(router)
        if link is not None and not link.closed:
            return link
        address = self._addresses.get(router)
        if not address:
            return None
        return self.dial(address, router)

    def dial(self, address, router=''):
        """Return a link to an address; reuse one dialled earlier.

        Returns None within REDIAL_DELAY_SECONDS of the last attempt.
        """
        link = self._dialled_links.get(address)
        if link is not None and not link.closed:
            return link
        now = self._loop.now()
        if self._redial_allowed_at.get(address, 0.0) > now:
            return None
        self._redial_allowed_at[address] = now + REDIAL_DELAY_SECONDS
        host, _, port = address.rpartition(':')
        link = PeerLink(self, router=router, dialled=True)
        self._dialled_links[address] = link
        link.conn = Conn.connect(self._loop, host, int(port), link)
        link.conn.set_unacknowledged_timeout(UNACKNOWLEDGED_TIMEOUT_MS)
        self._loop.scheduler.call_at(
            now + HELLO_TIMEOUT_SECONDS,
            lambda: self._abort_without_hello(link),
        )
        return link

    def send(self, router, message):
        """Send a control message; return False if there is no link."""
        link = self.get(router)
        if link is None:
            return False
        link.send(message)
        return True

    def broadcast(self, message, packed=False):
        """Send a message to all peers with an open link.

        `packed` compresses a long one, once for all of them.
        """
        encode = codec.encode_packed if packed else codec.encode
        data = encode(message)
        for link in self.open_links():
            link.send_encoded(message, data)

    def link_count(self):
        """Return the number of links."""
        return len(self._links)

    def unsent_bytes(self):
        """Return the bytes that wait to be sent on all links."""
        return sum(link.conn.buffered for link in self._links.values())

    def open_links(self):
        """Return the open links."""
        return [link for link in self._links.values() if not link.closed]

    def close(self):
        """Stop listening and close all links after their data is sent."""
        if self._listener is not None:
            self._listener.close()
        for link in self.open_links():
            link.conn.close()

    def on_link_opened(self, link, hello):
        """Register a link that has completed its handshake."""
        old = self._links.get(link.router)
        if old is None or old.closed or not old.streams:
            self._links[link.router] = link
        if hello.address:
            self._addresses[link.router] = hello.address
        log_event('peer_link_opened', peer=link.router)

    def on_link_closed(self, link, exc):
        """Remove a link that has closed."""
        if self._links.get(link.router) is link:
            del self._links[link.router]
        for address, other in list(self._dialled_links.items()):
            if other is link:
                del self._dialled_links[address]
        if link.ready:
            log_event('peer_link_closed', peer=link.router, error=exc or '')
        self.on_lost(link)

    def on_messages(self, link, received, size):
        """Pass messages of a link to their handlers.

        `size` is the number of bytes in which they arrived.
        """
        has_control = False
        for message in received:
            is_stream = type(message).__module__ == _STREAMS_MODULE
            has_control = has_control or not is_stream
            handler = self.on_stream if is_stream else self.on_control
            try:
                handler(link, message)
            except Exception:
                # An error in handling one message must not close the link,
                # which carries the requests of all callers.
                logging.exception('event=message_error peer=%s', link.router)
                self._metrics.events['message_error'] += 1
        if has_control:
            self._metrics.control_bytes['received'] += size

    def count_sent(self, message, size):
        """Count the bytes of a message if it is a control message."""
        if type(message).__module__ != _STREAMS_MODULE:
            self._metrics.control_bytes['sent'] += size

    def _on_accepted(self, conn):
        link = PeerLink(self, conn)
        deadline = self._loop.now() + HELLO_TIMEOUT_SECONDS
        self._loop.scheduler.call_at(
            deadline, lambda: self._abort_without_hello(link)
        )
        return link

    def _abort_without_hello(self, link):
        if not link.ready and not link.closed:
            link.conn.abort()


_STREAMS_MODULE = 'bramleysill_wire.streams'
