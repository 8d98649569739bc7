"""Tells a TCP peer that was lost from one that keeps its window closed.

TCP_USER_TIMEOUT can't: Linux also counts the time for which the peer's receive
window is closed, even if the peer acknowledges each window probe. TCP_INFO
tells when the last acknowledgement arrived, and whether anything was sent
since.

    detector = LossDetector(timeout_ms=1000)
    info = TcpInfo.of(sock)
    lost = detector.is_lost(info)  # every CHECK_INTERVAL_SECONDS
"""

import math
import socket
import struct

CHECK_INTERVAL_SECONDS = 0.25
# Linux answers at most one empty window probe in 500 ms. The probe after an
# answered one may thus stay unanswered, and the next one follows within twice
# these 500 ms. The rest is for a round trip.
PROBE_TIMEOUT_SECONDS = 1.25
# From <linux/tcp.h>; all fields that are read have the same offset and the
# byte order of the machine on all 64-bit architectures. `tcpi_notsent_bytes`
# exists since Linux 4.6.
_STATE_OFFSET = 0
_PROBES_OFFSET = 3
_UNACKED_OFFSET = 24
_LAST_DATA_SENT_OFFSET = 44
_LAST_ACK_RECEIVED_OFFSET = 56
_NOTSENT_BYTES_OFFSET = 144
_TCP_INFO_BYTES = 148
_TCP_SYN_SENT = 2
_UINT32 = struct.Struct('=I')


class TcpInfo:
    """What is read from TCP_INFO; ages are in milliseconds.

    `unacknowledged` counts segments in flight, `unsent` bytes that the kernel
    holds back, and `probes` the window probes since the last acknowledgement.
    """

    __slots__ = (
        'connecting',
        'probes',
        'unacknowledged',
        'unsent',
        'sent_age',
        'acknowledged_age',
    )

    def __init__(
        self,
        connecting=False,
        probes=0,
        unacknowledged=0,
        unsent=0,
        sent_age=0,
        acknowledged_age=0,
    ):
        self.connecting = connecting
        self.probes = probes
        self.unacknowledged = unacknowledged
        self.unsent = unsent
        self.sent_age = sent_age
        self.acknowledged_age = acknowledged_age

    @classmethod
    def of(cls, sock):
        """Return the TcpInfo of a TCP socket."""
        data = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
        )

        def number_at(offset):
            return _UINT32.unpack_from(data, offset)[0]

        return cls(
            data[_STATE_OFFSET] == _TCP_SYN_SENT,
            data[_PROBES_OFFSET],
            number_at(_UNACKED_OFFSET),
            number_at(_NOTSENT_BYTES_OFFSET),
            number_at(_LAST_DATA_SENT_OFFSET),
            number_at(_LAST_ACK_RECEIVED_OFFSET),
        )

    @property
    def idle(self):
        """Return whether the peer has acknowledged all that was written."""
        return not (self.connecting or self.unacknowledged or self.unsent)

    @property
    def unanswered(self):
        """Return whether something sent awaits an answer of the peer's TCP.

        A peer with a closed window owes one only after a window probe.
        """
        if self.connecting or self.probes:
            return True
        # A retransmission counts as sent. If a peer without memory discards
        # data, it still acknowledges each retransmission.
        return (
            self.unacknowledged > 0 and self.sent_age < self.acknowledged_age
        )


class LossDetector:
    """Decides from regular samples whether the peer of a connection is lost.

    It counts samples instead of time, so that neither a suspended machine nor
    a late event loop makes a peer look silent.
    """

    __slots__ = ('_limit', '_probe_limit', '_unanswered', '_acknowledged_age')

    def __init__(self, timeout_ms):
        self._limit = _samples_within(timeout_ms / 1000)
        self._probe_limit = max(
            self._limit, _samples_within(PROBE_TIMEOUT_SECONDS)
        )
        self._unanswered = 0
        self._acknowledged_age = 0

    def is_lost(self, info):
        """Return whether the peer has been silent for the whole timeout."""
        # Without an acknowledgement between two samples its age rises.
        acknowledged = info.acknowledged_age < self._acknowledged_age
        self._acknowledged_age = info.acknowledged_age
        if acknowledged or not info.unanswered:
            self._unanswered = 0
        if not info.unanswered:
            return False
        self._unanswered += 1
        limit = self._probe_limit if info.probes else self._limit
        return self._unanswered >= limit


def _samples_within(seconds):
    """Return how many samples in a row span at least this time."""
    return math.ceil(seconds / CHECK_INTERVAL_SECONDS) + 1
