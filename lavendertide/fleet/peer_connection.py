"""One authenticated connection to another daemon, and the edge that opens them.

A `PeerConnection` exists only after both sides have proved the fleet's key, so every
frame that it hands out comes from a member. It counts bytes by kind and applies the
link faults of tests.
"""

import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from lavendertide.fleet.frame_stream import FrameStream
from lavendertide.fleet.handshake import FleetKey, Role, new_nonce
from lavendertide.fleet.link_faults import LinkFaults
from lavendertide.fleet.metrics import PEER_BYTES, PEERS_REFUSED
from lavendertide.fleet.roster import Roster
from lavendertide.ids import Address, DaemonId
from lavendertide.messages import (
    Cancels,
    Challenge,
    ChallengeAnswer,
    Frame,
    Hello,
    MemberRecord,
    SubReplies,
    SubRequests,
    TicketReply,
    TicketRequest,
)
from lavendertide.runtime import sockets

CONNECT_TIMEOUT_S: Final = 0.5
HANDSHAKE_TIMEOUT_S: Final = 1.0
REFUSED_LOGGED_MAX: Final = 1_024
# The kinds of frames, as metrics name them.
DATA: Final = "data"
CONTROL: Final = "control"

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class OtherEnd:
    """Who is at the other end of a new connection.

    Attributes:
        takes_compressed: Whether it reads compressed frames; older releases do not.
    """

    member: MemberRecord
    takes_compressed: bool


class PeerConnection:
    """Frames to and from one member."""

    def __init__(
        self, stream: FrameStream, opened: OtherEnd, faults: LinkFaults
    ) -> None:
        self._stream = stream
        self._member = opened.member
        self._takes_compressed = opened.takes_compressed
        self._faults = faults

    @property
    def daemon(self) -> DaemonId:
        """Who is at the other end."""
        return self._member.daemon

    @property
    def member(self) -> MemberRecord:
        """The record that the other end has sent on opening."""
        return self._member

    @property
    def bytes_sent(self) -> int:
        """Bytes sent since it was opened."""
        return self._stream.bytes_sent

    @property
    def empty_at_s(self) -> float:
        """When there was last nothing left to read."""
        return self._stream.empty_at_s

    def send(self, frame: Frame) -> None:
        """Sends a frame.

        Raises:
            OSError: The connection is broken.
        """
        if not self._faults.passes_to(self._member.peer_address):
            return
        before = self._stream.bytes_sent
        kind = _kind(frame)
        # Callers wait for data, and compressing it would cost them time.
        is_compressed = self._takes_compressed and kind == CONTROL
        self._stream.send(frame, is_compressed)
        sent = self._stream.bytes_sent - before
        PEER_BYTES.labels(kind, "sent").inc(sent)

    def receive(self) -> Frame | None:
        """Waits for the next frame; none once the connection has ended."""
        while True:
            before = self._stream.bytes_received
            frame = self._stream.receive()
            if frame is None:
                return None
            received = self._stream.bytes_received - before
            PEER_BYTES.labels(_kind(frame), "received").inc(received)
            if self._faults.passes_from(self._member.peer_address):
                return frame

    def close(self) -> None:
        """Ends the connection; a waiting receive returns."""
        self._stream.close()


class PeerConnector:
    """Opens and accepts connections for this daemon.

    Args:
        key: The fleet's key.
        roster: Holds this daemon's own record.
        faults: Which frames to lose, in tests.
        make_stream: Turns a socket into a stream of frames.
    """

    def __init__(
        self,
        key: str,
        roster: Roster,
        faults: LinkFaults,
        make_stream: Callable[[socket.socket], FrameStream],
    ) -> None:
        self._key = FleetKey(key)
        self._make_stream = make_stream
        self._roster = roster
        self._faults = faults
        self._refused: set[str] = set()

    def dial(self, address: Address) -> PeerConnection | None:
        """Opens a connection; none if nobody of this fleet answers there."""
        if not self._faults.allows_dial(address):
            return None
        try:
            connection = sockets.connect(address, CONNECT_TIMEOUT_S)
        except OSError:
            return None
        ip, _ = sockets.split_address(address)
        return self._guard(connection, ip, self._open)

    def accept(self, connection: socket.socket) -> PeerConnection | None:
        """Takes a connection that a peer has dialled; none if it proves nothing."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            ip = str(connection.getpeername()[0])
        except OSError:
            return None
        return self._guard(connection, ip, self._admit)

    def _guard(
        self,
        connection: socket.socket,
        ip: str,
        shake: Callable[[FrameStream, str], OtherEnd | None],
    ) -> PeerConnection | None:
        stream = self._make_stream(connection)
        try:
            connection.settimeout(HANDSHAKE_TIMEOUT_S)
            opened = shake(stream, ip)
            connection.settimeout(None)
        except OSError:
            opened = None
        if opened is None:
            stream.close()
            return None
        PEER_BYTES.labels(CONTROL, "sent").inc(stream.bytes_sent)
        PEER_BYTES.labels(CONTROL, "received").inc(stream.bytes_received)
        return PeerConnection(stream, opened, self._faults)

    def _open(self, stream: FrameStream, ip: str) -> OtherEnd | None:
        own, nonce = self._roster.own, new_nonce()
        stream.send(Hello(own, nonce, takes_compressed=True))
        match stream.receive():
            case Challenge(member, theirs, proof, takes_compressed):
                answer = self._key.sign(Role.DIALLER, own, theirs, nonce)
                stream.send(ChallengeAnswer(answer))
                acceptor = Role.ACCEPTOR
                if self._key.verifies(proof, acceptor, member, nonce, theirs):
                    return OtherEnd(member, takes_compressed)
                self._refuse(ip)
        return None

    def _admit(self, stream: FrameStream, ip: str) -> OtherEnd | None:
        hello = stream.receive()
        if not isinstance(hello, Hello):
            return None
        if not self._faults.passes_to(hello.member.peer_address):
            return None
        own, nonce = self._roster.own, new_nonce()
        proof = self._key.sign(Role.ACCEPTOR, own, hello.nonce, nonce)
        stream.send(Challenge(own, nonce, proof, takes_compressed=True))
        match stream.receive():
            case ChallengeAnswer(answer):
                dialler = hello.member
                if self._key.verifies(
                    answer, Role.DIALLER, dialler, nonce, hello.nonce
                ):
                    return OtherEnd(dialler, hello.takes_compressed)
                self._refuse(ip)
        return None

    def _refuse(self, ip: str) -> None:
        PEERS_REFUSED.inc()
        if ip in self._refused or len(self._refused) >= REFUSED_LOGGED_MAX:
            return
        self._refused.add(ip)
        _log.warning("peer at %s refused: it does not prove the fleet's key", ip)


def _kind(frame: Frame) -> str:
    match frame:
        case SubRequests() | SubReplies() | Cancels() | TicketRequest() | TicketReply():
            return DATA
        case _:
            return CONTROL
