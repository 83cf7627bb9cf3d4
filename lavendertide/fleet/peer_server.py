"""Serves connections that peers open, with one reading and one writing task each."""

import logging
import socket
from collections.abc import Callable
from typing import Final, Protocol

from lavendertide.fleet.peer_connection import (
    HANDSHAKE_S,
    PeerConnection,
    PeerConnector,
)
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.messages import Frame, ReachReply, ReachRequest, SubReply
from lavendertide.runtime import clock, sockets, tasks

REACH_TIMEOUT_S: Final = 0.7
# Replies that may wait for a peer to read. One that sends requests without reading is
# closed then and dials again; its link has the same bound for what it sends.
OUTBOX_MAX: Final = 4_096
# Connections that have yet to prove the fleet's key. A host that starts is dialled by
# all others at once, 509 in the largest fleet.
UNPROVEN_MAX: Final = 600

_log = logging.getLogger(__name__)

Outbox = tasks.Mailbox[SubReply | Frame]


class FrameHandler(Protocol):
    """Handles the frames of peers and writes the replies."""

    def handle(self, peer: PeerConnection, frame: Frame, outbox: Outbox) -> None:
        """Handles a frame; replies are put into the outbox."""

    def write(
        self, peer: PeerConnection, outbox: Outbox, first: SubReply | Frame
    ) -> None:
        """Writes the first item and all others that are ready.

        Raises:
            OSError: The connection is broken.
        """


class PeerServer:
    """Accepts connections from peers and passes their frames to a handler.

    Args:
        connector: Proves the fleet's key.
        roster: Learns of the peers.
        handler: Handles their frames.
        find_max: Returns how many accepted connections may be open; unbounded if none.
            A peer whose connection is closed for it dials again.
    """

    def __init__(
        self,
        connector: PeerConnector,
        roster: Roster,
        handler: FrameHandler,
        find_max: Callable[[], int] | None = None,
    ) -> None:
        self._find_max = find_max
        self._open = 0
        self._connector = connector
        self._roster = roster
        self._handler = handler
        self._unproven = 0

    def serve(self, listener: socket.socket) -> None:
        """Accepts connections for as long as the listener is open."""
        while (connection := sockets.accept(listener)) is not None:
            if self._unproven >= UNPROVEN_MAX or self._is_full():
                connection.close()
                continue
            self._unproven += 1
            self._open += 1
            tasks.spawn(self._serve_connection, connection)

    def _is_full(self) -> bool:
        return self._find_max is not None and self._open >= self._find_max()

    def _serve_connection(self, accepted: socket.socket) -> None:
        try:
            self._serve_peer(accepted)
        finally:
            self._open -= 1

    def _serve_peer(self, accepted: socket.socket) -> None:
        peer = None
        try:
            with tasks.time_limit(HANDSHAKE_S):
                peer = self._connector.accept(accepted)
        except TimeoutError:
            accepted.close()
        finally:
            self._unproven -= 1
        if peer is None:
            return
        self._roster.apply_records((peer.member,), clock.monotonic_s())
        outbox: Outbox = tasks.Mailbox()
        writer = tasks.spawn(self._write_frames, peer, outbox)
        try:
            while (frame := peer.receive()) is not None:
                self._handler.handle(peer, frame, outbox)
                if len(outbox) >= OUTBOX_MAX:
                    _log.warning(
                        "peer closed: it reads too slowly",
                        extra={"peer": peer.member.daemon},
                    )
                    return
        finally:
            # Also after an unexpected exception: a peer whose frames are no longer read
            # has to dial again.
            writer.stop()
            peer.close()

    def _write_frames(self, peer: PeerConnection, outbox: Outbox) -> None:
        try:
            while (first := outbox.receive()) is not None:
                self._handler.write(peer, outbox, first)
        except OSError:
            pass
        finally:
            peer.close()


def reply_to_reach_request(
    request: ReachRequest, roster: Roster, peers: Peers
) -> ReachReply:
    """Probes a member on behalf of a peer, waiting up to `REACH_TIMEOUT_S`."""
    member = roster.find(request.daemon)
    is_reached = member is not None and peers.link_to(member).probe(REACH_TIMEOUT_S)
    return ReachReply(request.exchange, is_reached)
