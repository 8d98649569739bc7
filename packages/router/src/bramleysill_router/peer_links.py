"""Links between routers: framed messages over TCP, one link per pair.

The router that needs a link first dials; messages go both ways. Schema
versions are compared in the first frame and a mismatch closes the link.
"""

from absl import logging

from bramleysill_kernel import messages
from bramleysill_kernel.exceptions import FrameError
from bramleysill_net.conn import Conn
from bramleysill_net.conn import Listener
from bramleysill_router.logs import log_event
from bramleysill_router.logs import log_warning
from bramleysill_wire import codec

# What may wait for a slow peer before the link is given up.
MAX_BUFFERED_BYTES = 64 << 20
HELLO_TIMEOUT_SECONDS = 1.0
REDIAL_SECONDS = 0.2
# A peer that acknowledges nothing for so long has vanished.
SILENT_PEER_MS = 2000


class PeerLink:
    """One connection to another router.

    Messages sent before the peer's Hello wait. `streams` maps stream
    numbers to the local objects that handle their messages.
    """

    __slots__ = (
        'links',
        'conn',
        'router',
        'ready',
        'dialled',
        'streams',
        'serving',
        'next_stream',
        '_reader',
        '_waiting',
    )

    def __init__(self, links, conn=None, router='', dialled=False):
        self.links = links
        self.conn = conn
        self.router = router
        self.dialled = dialled
        self.ready = False
        # Streams that this side opened, and those that the peer opened.
        self.streams = {}
        self.serving = {}
        # Odd numbers on the dialling side and even ones on the other keep
        # the streams of both apart.
        self.next_stream = 1 if dialled else 2
        self._reader = codec.FrameReader()
        self._waiting = []

    @property
    def closed(self):
        """Tell whether the link is gone."""
        return self.conn.closed

    def send(self, message):
        """Send a message; it is dropped if the link is gone."""
        if self.conn.closed:
            return
        if not self.ready:
            self._waiting.append(message)
            return
        self.send_encoded(message, codec.encode(message))

    def send_encoded(self, message, data):
        """Send the frame of a message that goes to several peers."""
        if self.conn.closed or not self.ready:
            return
        self.links.count_sent(message, len(data))
        self.conn.write(data)
        if self.conn.buffered > MAX_BUFFERED_BYTES:
            log_warning('peer_link_overrun', peer=self.router)
            self.conn.abort()

    def on_connect(self):
        """Introduce this router to the one that was dialled."""
        self.conn.write(codec.encode(self.links.hello))

    def on_data(self, data):
        """Handle the frames that are complete."""
        try:
            found = self._reader.feed(data)
            if not self.ready and found:
                self._on_hello(found.pop(0))
        except FrameError as exc:
            log_warning('peer_link_error', peer=self.conn.peer, error=exc)
            self.conn.abort()
            return
        self.links.received(self, found, len(data))

    def on_drain(self):
        """Streams go on by credit, not by the link's buffer."""

    def on_close(self, exc):
        """Fail the streams of this link."""
        self.links.closed(self, exc)

    def _on_hello(self, message):
        if not isinstance(message, messages.Hello):
            raise FrameError('the first message is not Hello', 'hello')
        if message.schema_version != messages.SCHEMA_VERSION:
            raise FrameError(
                f'peer has schema version {message.schema_version}, this '
                f'router {messages.SCHEMA_VERSION}',
                'hello',
                message.router,
                hint='Update the older of the two routers.',
            )
        if message.cell != self.links.hello.cell:
            raise FrameError(
                f'peer is of cell {message.cell}', 'hello', message.router
            )
        self.router = message.router
        if not self.dialled:
            self.conn.write(codec.encode(self.links.hello))
        self.ready = True
        self.links.opened(self, message)
        waiting, self._waiting = self._waiting, []
        for item in waiting:
            self.send(item)


class PeerLinks:
    """All links of this router.

    `on_control(link, message)` gets control messages, `on_stream(link,
    message)` those of streams, `on_lost(link)` a closed link.
    """

    __slots__ = (
        'hello',
        '_loop',
        '_metrics',
        '_links',
        '_dialling',
        '_listener',
        '_addresses',
        'on_control',
        'on_stream',
        'on_lost',
        '_retry_at',
    )

    def __init__(self, loop, hello, metrics):
        self.hello = hello
        self._loop = loop
        self._metrics = metrics
        self._links = {}
        self._dialling = {}
        self._listener = None
        self._addresses = {}
        self._retry_at = {}
        self.on_control = None
        self.on_stream = None
        self.on_lost = None

    def listen(self, host, port):
        """Accept links; return the bound address."""
        self._listener = Listener(self._loop, host, port, self._accepted)
        return self._listener.address

    def learn(self, members):
        """Note the peer addresses of routers, as `host:port` text."""
        self._addresses.update(members)

    def get(self, router):
        """Return an open link to a router, dialling it if needed.

        Returns None if its address is unknown or it was refused lately.
        """
        link = self._links.get(router)
        if link is not None and not link.closed:
            return link
        address = self._addresses.get(router)
        if not address:
            return None
        return self.dial(address, router)

    def dial(self, address, router=''):
        """Return a link to an address, reusing one that is being dialled."""
        link = self._dialling.get(address)
        if link is not None and not link.closed:
            return link
        now = self._loop.now()
        if self._retry_at.get(address, 0.0) > now:
            return None
        self._retry_at[address] = now + REDIAL_SECONDS
        host, _, port = address.rpartition(':')
        link = PeerLink(self, router=router, dialled=True)
        self._dialling[address] = link
        link.conn = Conn.connect(self._loop, host, int(port), link)
        link.conn.set_peer_timeout(SILENT_PEER_MS)
        self._loop.scheduler.call_at(
            now + HELLO_TIMEOUT_SECONDS, lambda: self._check_hello(link)
        )
        return link

    def send(self, router, message):
        """Send a control message; False if there is no way to the router."""
        link = self.get(router)
        if link is None:
            return False
        link.send(message)
        return True

    def broadcast(self, message):
        """Send a message to all peers with an open link."""
        data = codec.encode(message)
        for link in self.open_links():
            link.send_encoded(message, data)

    def open_links(self):
        """Return the open links."""
        return [link for link in self._links.values() if not link.closed]

    def close(self):
        """Stop listening and close all links after their data is sent."""
        if self._listener is not None:
            self._listener.close()
        for link in self.open_links():
            link.conn.close()

    def opened(self, link, hello):
        """A link has completed its handshake."""
        old = self._links.get(link.router)
        if old is None or old.closed or not old.streams:
            self._links[link.router] = link
        if hello.address:
            self._addresses[link.router] = hello.address
        log_event('peer_link_opened', peer=link.router)

    def closed(self, link, exc):
        """A link is gone."""
        if self._links.get(link.router) is link:
            del self._links[link.router]
        for address, other in list(self._dialling.items()):
            if other is link:
                del self._dialling[address]
        if link.ready:
            log_event('peer_link_closed', peer=link.router, error=exc or '')
        self.on_lost(link)

    def received(self, link, found, size):
        """Pass on messages of a link."""
        control = False
        for message in found:
            is_stream = type(message).__module__ == _STREAMS_MODULE
            control = control or not is_stream
            handle = self.on_stream if is_stream else self.on_control
            try:
                handle(link, message)
            except Exception:
                # A fault in the handling of one message must not end the
                # link, and with it all requests of other callers.
                logging.exception('event=message_error peer=%s', link.router)
                self._metrics.events['message_error'] += 1
        if control:
            self._metrics.control_bytes['received'] += size

    def count_sent(self, message, size):
        """Count the bytes of control messages."""
        if type(message).__module__ != _STREAMS_MODULE:
            self._metrics.control_bytes['sent'] += size

    def _accepted(self, conn):
        link = PeerLink(self, conn)
        deadline = self._loop.now() + HELLO_TIMEOUT_SECONDS
        self._loop.scheduler.call_at(deadline, lambda: self._check_hello(link))
        return link

    def _check_hello(self, link):
        if not link.ready and not link.closed:
            link.conn.abort()


_STREAMS_MODULE = 'bramleysill_wire.streams'
