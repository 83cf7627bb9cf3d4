"""Connections that peers have opened: one task reads each, one writes to it."""

import socket
from typing import Final, Protocol

from lavendertide.fleet.peer_connection import PeerConnection, PeerEdge
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.messages import Frame, ReachReply, ReachRequest, SubReply
from lavendertide.runtime import clock, tasks

REACH_TIMEOUT_S: Final = 0.7

Outbox = tasks.Mailbox[SubReply | Frame]


class FrameHandler(Protocol):
    """Answers the frames of peers."""

    def handle(self, peer: PeerConnection, frame: Frame, outbox: Outbox) -> None:
        """Takes in a frame; what answers it goes to the outbox."""

    def write(
        self, peer: PeerConnection, outbox: Outbox, first: SubReply | Frame
    ) -> None:
        """Writes the first item and whatever else is ready.

        Raises:
            OSError: The connection is broken.
        """


class PeerServer:
    """Accepts the connections of peers and hands their frames to a handler."""

    def __init__(self, edge: PeerEdge, roster: Roster, handler: FrameHandler) -> None:
        self._edge = edge
        self._roster = roster
        self._handler = handler

    def serve(self, listener: socket.socket) -> None:
        """Accepts connections for as long as the listener is open."""
        while True:
            connection, _ = listener.accept()
            tasks.spawn(self._serve_connection, connection)

    def _serve_connection(self, accepted: socket.socket) -> None:
        peer = self._edge.accept(accepted)
        if peer is None:
            return
        self._roster.apply_records((peer.member,), clock.monotonic_s())
        outbox: Outbox = tasks.Mailbox()
        writer = tasks.spawn(self._write, peer, outbox)
        while (frame := peer.receive()) is not None:
            self._handler.handle(peer, frame, outbox)
        writer.stop()
        peer.close()

    def _write(self, peer: PeerConnection, outbox: Outbox) -> None:
        try:
            while (first := outbox.receive()) is not None:
                self._handler.write(peer, outbox, first)
        except OSError:
            peer.close()


def reply_to_reach_request(
    request: ReachRequest, roster: Roster, peers: Peers
) -> ReachReply:
    """Finds out for a peer whether a member answers this daemon; waits for it."""
    member = roster.find(request.daemon)
    is_reached = member is not None and peers.link_to(member).reach(REACH_TIMEOUT_S)
    return ReachReply(request.exchange, is_reached)
