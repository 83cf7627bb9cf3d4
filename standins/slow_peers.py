"""Peers that send large frames without proving the key, or prove it and don't read."""

import contextlib
import socket
import struct
from dataclasses import replace
from typing import Final

from lavendertide.encodings.peer_frames import LENGTH, decode_frame, encode_frame
from lavendertide.fleet.handshake import FleetKey, Role, new_nonce
from lavendertide.ids import (
    Address,
    DaemonId,
    ExchangeId,
    FailureDomain,
    HostId,
    Incarnation,
    Region,
)
from lavendertide.messages import (
    Challenge,
    ChallengeAnswer,
    Frame,
    Hello,
    MemberRecord,
    MemberState,
    RegistryPull,
)
from lavendertide.registry.history import NOTHING_READ

TIMEOUT_S: Final = 5.0
# The longest frame that peers send each other.
LONGEST_FRAME_BYTES: Final = 8 * 1_024 * 1_024
# Types of thrift's binary protocol.
_STRUCT: Final = 12
_LIST: Final = 15
_HEARTBEAT_FIELD: Final = 2
# Field of a heartbeat that is a list of member records.
_RECORDS_FIELD: Final = 3


def unfinished_frame() -> bytes:
    """Returns the longest frame without its last byte."""
    return LENGTH.pack(LONGEST_FRAME_BYTES) + bytes(LONGEST_FRAME_BYTES - 1)


def frame_of_empty_records(records: int) -> bytes:
    """Returns a heartbeat with records that have no fields, one byte each."""
    payload = b"".join(
        (
            struct.pack("!bh", _STRUCT, _HEARTBEAT_FIELD),
            struct.pack("!bh", _LIST, _RECORDS_FIELD),
            struct.pack("!bi", _STRUCT, records),
            bytes(records),
            bytes(2),
        )
    )
    return LENGTH.pack(len(payload)) + payload


def connect(port: int) -> socket.socket:
    """Opens a connection to a loopback port that takes little unread data."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
    connection.settimeout(TIMEOUT_S)
    connection.connect(("127.0.0.1", port))
    return connection


def send_unproven(port: int, data: bytes) -> socket.socket:
    """Sends data on a new connection, as far as the other side takes it."""
    connection = connect(port)
    with contextlib.suppress(OSError):
        connection.sendall(data)
    return connection


class SlowPeer:
    """A member that proves the fleet's key, sends frames and reads no replies.

    Args:
        port: The gateway's port for peers.
        number: Distinguishes this peer from others.
        key: The fleet's key.
    """

    def __init__(self, port: int, number: int, key: str) -> None:
        member = MemberRecord(
            daemon=DaemonId(f"slow-{number}"),
            host=HostId(f"slow-{number}"),
            region=Region("north"),
            failure_domain=FailureDomain("a"),
            peer_address=Address("127.0.0.1:1"),
            caller_address=Address("127.0.0.1:2"),
            incarnation=Incarnation(1),
            state=MemberState.JOINING,
        )
        nonce = new_nonce()
        self._connection = connect(port)
        self._send(Hello(member, nonce, accepts_compressed=False))
        challenge = self._receive()
        if not isinstance(challenge, Challenge):
            raise AssertionError(f"no challenge: {challenge!r}")
        proof = FleetKey(key).sign(Role.DIALLER, member, challenge.nonce, nonce)
        self._send(ChallengeAnswer(proof))

    def pull_registry(self, pulls: int) -> None:
        """Requests all target records again and again, as far as it is let."""
        pull = RegistryPull(ExchangeId(""), NOTHING_READ)
        frames = [
            encode_frame(replace(pull, exchange=ExchangeId(f"pull-{number}")))
            for number in range(pulls)
        ]
        with contextlib.suppress(OSError):
            self._connection.sendall(b"".join(frames))

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()

    def _send(self, frame: Frame) -> None:
        self._connection.sendall(encode_frame(frame))

    def _receive(self) -> Frame | None:
        (length,) = LENGTH.unpack(self._read(LENGTH.size))
        return decode_frame(self._read(length)).value_or(None)

    def _read(self, size: int) -> bytes:
        data = b""
        while len(data) < size:
            piece = self._connection.recv(size - len(data))
            if not piece:
                raise ConnectionResetError
            data += piece
        return data
