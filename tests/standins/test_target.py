"""Tests of `standins.target`."""

import socket
import unittest

import eventlet

from standins.ports import PortBlock
from standins.target import StandInTarget, TargetBehaviour

CONNECT_S = 0.3
RESTART_S = 0.05
GIVE_UP_S = 10.0


class CrashTest(unittest.TestCase):
    """Guards against connections that survive a crash and a target that stays down.

    A connection that is still being opened has no `connection` attribute yet, so it is
    easily missed when the target drops its connections.
    """

    def setUp(self) -> None:
        ports = PortBlock()
        self.addCleanup(ports.release)
        address = ports.allocate(1)[0]
        behaviour = TargetBehaviour(
            2, 8, connect_ms=1_000 * CONNECT_S, restart_ms=1_000 * RESTART_S
        )
        self.target = StandInTarget("target", address, behaviour, 1)
        task = eventlet.spawn(self.target.serve)
        self.addCleanup(task.kill)
        host, port = address.split(":")
        self.address = host, int(port)

    def connect(self) -> socket.socket:
        """Connects to the target, retrying until it listens."""
        green = eventlet.import_patched("socket")
        for _ in range(round(GIVE_UP_S / RESTART_S)):
            try:
                connection: socket.socket = green.create_connection(self.address)
            except OSError:
                eventlet.sleep(RESTART_S)
                continue
            connection.settimeout(GIVE_UP_S)
            self.addCleanup(connection.close)
            return connection
        raise AssertionError("the target does not listen")

    def test_a_connection_that_is_being_opened_is_dropped_too(self) -> None:
        connection = self.connect()
        while not self.target._open_connections:
            eventlet.sleep(RESTART_S / 10)
        self.target.crash()
        self.assertEqual(connection.recv(1), b"")
        self.assertEqual(self.target.counts.crashes, 1)
        self.connect()
