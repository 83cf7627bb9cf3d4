"""Authenticated connections to other daemons.

A `PeerConnection` exists only after both sides have proved that they know the fleet's
key, so every frame that it returns comes from a member. It counts bytes by kind of
frame and applies the link faults that tests configure.
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
from lavendertide.runtime import sockets, tasks

CONNECT_TIMEOUT_S: Final = 0.5
HANDSHAKE_TIMEOUT_S: Final = 1.0
# Time limit of a handshake, which takes milliseconds, however its bytes arrive.
HANDSHAKE_S: Final = 5.0
# The longest frame of a handshake; a member's record takes some hundred bytes. A peer
# that has proved no key could otherwise have this process hold 8 MiB for each of its
# connections, and hundreds of megabytes once a frame of empty records is decoded.
HANDSHAKE_FRAME_MAX_BYTES: Final = 16_384
REFUSED_LOGGED_MAX: Final = 1_024
# Values of the label `kind` of the byte counters.
DATA: Final = "data"
CONTROL: Final = "control"

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RemoteEnd:
    """The authenticated peer of a new connection.

    Attributes:
        member: The record that the peer sent.
        accepts_compressed: Whether it reads compressed frames; older releases do not.
    """

    member: MemberRecord
    accepts_compressed: bool


class PeerConnection:
    """Sends frames to one member and receives frames from it."""

    def __init__(
        self, stream: FrameStream, remote: RemoteEnd, faults: LinkFaults
    ) -> None:
        self._stream = stream
        self._member = remote.member
        self._accepts_compressed = remote.accepts_compressed
        self._faults = faults

    @property
    def daemon(self) -> DaemonId:
        """The member at the other end."""
        return self._member.daemon

    @property
    def member(self) -> MemberRecord:
        """The record that the other end sent in the handshake."""
        return self._member

    @property
    def bytes_sent(self) -> int:
        """Bytes sent since the connection was opened."""
        return self._stream.bytes_sent

    @property
    def empty_at_s(self) -> float:
        """Monotonic time at which there was last nothing left to read."""
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
        # Callers wait for data frames, and compression would delay them.
        is_compressed = self._accepts_compressed and kind == CONTROL
        self._stream.send(frame, is_compressed)
        sent = self._stream.bytes_sent - before
        PEER_BYTES.labels(kind, "sent").inc(sent)

    def receive(self) -> Frame | None:
        """Waits for the next frame; returns none once the connection has ended."""
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
        """Closes the connection; a `receive` that waits returns none."""
        self._stream.close()


class PeerConnector:
    """Opens and accepts connections for this daemon.

    Args:
        key: The fleet's key.
        roster: Holds this daemon's own record.
        faults: Selects frames to drop or delay, in tests.
        make_stream: Wraps a socket in a stream of frames.
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
        self._refused_ips: set[str] = set()

    def dial(self, address: Address) -> PeerConnection | None:
        """Opens a connection; none if no member of this fleet accepts it."""
        if not self._faults.allows_dial(address):
            return None
        try:
            connection = sockets.connect(address, CONNECT_TIMEOUT_S)
        except OSError:
            return None
        ip, _ = sockets.split_address(address)
        return self._run_handshake(connection, ip, self._handshake_as_dialler)

    def accept(self, connection: socket.socket) -> PeerConnection | None:
        """Accepts a connection; none if the peer does not prove the fleet's key."""
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            ip = str(connection.getpeername()[0])
        except OSError:
            connection.close()
            return None
        return self._run_handshake(connection, ip, self._handshake_as_acceptor)

    def _run_handshake(
        self,
        connection: socket.socket,
        ip: str,
        handshake: Callable[[FrameStream, str], RemoteEnd | None],
    ) -> PeerConnection | None:
        stream = self._make_stream(connection)
        try:
            stream.limit_waits(HANDSHAKE_TIMEOUT_S)
            with tasks.time_limit(HANDSHAKE_S):
                remote = handshake(stream, ip)
            stream.limit_waits(None)
        except OSError:
            remote = None
        if remote is None:
            stream.close()
            return None
        PEER_BYTES.labels(CONTROL, "sent").inc(stream.bytes_sent)
        PEER_BYTES.labels(CONTROL, "received").inc(stream.bytes_received)
        return PeerConnection(stream, remote, self._faults)

    def _handshake_as_dialler(self, stream: FrameStream, ip: str) -> RemoteEnd | None:
        own, nonce = self._roster.own, new_nonce()
        stream.send(Hello(own, nonce, accepts_compressed=True))
        match stream.receive(HANDSHAKE_FRAME_MAX_BYTES):
            case Challenge(member, their_nonce, acceptor_proof, accepts_compressed):
                dialler_proof = self._key.sign(Role.DIALLER, own, their_nonce, nonce)
                stream.send(ChallengeAnswer(dialler_proof))
                acceptor = Role.ACCEPTOR
                if self._key.verifies(
                    acceptor_proof, acceptor, member, nonce, their_nonce
                ):
                    return RemoteEnd(member, accepts_compressed)
                self._record_refused(ip)
        return None

    def _handshake_as_acceptor(self, stream: FrameStream, ip: str) -> RemoteEnd | None:
        hello = stream.receive(HANDSHAKE_FRAME_MAX_BYTES)
        if not isinstance(hello, Hello):
            return None
        if not self._faults.passes_to(hello.member.peer_address):
            return None
        own, nonce = self._roster.own, new_nonce()
        acceptor_proof = self._key.sign(Role.ACCEPTOR, own, hello.nonce, nonce)
        stream.send(Challenge(own, nonce, acceptor_proof, accepts_compressed=True))
        match stream.receive(HANDSHAKE_FRAME_MAX_BYTES):
            case ChallengeAnswer(dialler_proof):
                dialler = hello.member
                if self._key.verifies(
                    dialler_proof, Role.DIALLER, dialler, nonce, hello.nonce
                ):
                    return RemoteEnd(dialler, hello.accepts_compressed)
                self._record_refused(ip)
        return None

    def _record_refused(self, ip: str) -> None:
        PEERS_REFUSED.inc()
        if ip in self._refused_ips or len(self._refused_ips) >= REFUSED_LOGGED_MAX:
            return
        self._refused_ips.add(ip)
        _log.warning("peer at %s refused: it does not prove the fleet's key", ip)


def _kind(frame: Frame) -> str:
    match frame:
        case SubRequests() | SubReplies() | Cancels() | TicketRequest() | TicketReply():
            return DATA
        case _:
            return CONTROL
