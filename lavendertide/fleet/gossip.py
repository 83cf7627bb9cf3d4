"""Builds heartbeats and handles the control frames that peers send.

Heartbeats and their acknowledgements carry changed member records, the version of the
configuration in force and a digest of the roster. A differing version or digest makes
this daemon pull what it lacks.
"""

import itertools
from collections.abc import Callable
from typing import Final, Protocol

from lavendertide.fleet.roster import Roster
from lavendertide.ids import NO_VERSION, ConfigurationVersion, DaemonId
from lavendertide.messages import (
    ConfigurationDelta,
    ConfigurationFrame,
    ConfigurationOffer,
    ConfigurationPull,
    ConfigurationPush,
    Frame,
    Heartbeat,
    HeartbeatAck,
    MemberRecord,
    RosterPull,
    RosterPush,
)

# Least time between two roster pulls that a differing digest causes.
SYNC_MIN_S: Final = 30.0
# Sent heartbeats that are kept until they are acknowledged, over all peers.
SENT_KEPT_MAX: Final = 512


class VersionedConfiguration(Protocol):
    """A configuration that daemons exchange by version."""

    @property
    def version(self) -> ConfigurationVersion:
        """The version in force, `NO_VERSION` if there is none."""


class Replication(Protocol):
    """Exchanges the configuration or the routes with peers."""

    def handle(
        self, frame: ConfigurationFrame, sender: DaemonId, now_s: float
    ) -> ConfigurationFrame | None:
        """Handles a peer's frame; returns the reply, if there is one."""

    def handle_version(
        self, version: ConfigurationVersion, now_s: float
    ) -> ConfigurationPull | None:
        """Returns a request for a peer's version if it should be pulled."""

    def needs_refresh(self, now_s: float) -> bool:
        """Returns whether peers have yet to confirm what is in force."""

    def refresh(self, now_s: float) -> None:
        """Requires a new confirmation by peers of what is in force."""


class Gossip:
    """Exchanges member records and configuration versions with peers.

    Args:
        roster: The records that are sent and updated.
        configuration: Gives the version that heartbeats announce.
        replication: Handles configuration frames.
        on_roster_change: Called after a peer's records have changed the roster.
    """

    def __init__(
        self,
        roster: Roster,
        configuration: VersionedConfiguration,
        replication: Replication,
        on_roster_change: Callable[[], None],
    ) -> None:
        self._roster = roster
        self._configuration = configuration
        self._replication = replication
        self._on_roster_change = on_roster_change
        self._sequence = itertools.count(1)
        self._sent_at_s: dict[int, float] = {}
        self._pulled_at_s: float | None = None
        self._synced_at_s: float | None = None

    def next_heartbeat(self, peer: DaemonId, now_s: float) -> Heartbeat:
        """Builds the next heartbeat to a peer and records when it is sent."""
        sequence = next(self._sequence)
        self._sent_at_s[sequence] = now_s
        if len(self._sent_at_s) > SENT_KEPT_MAX:
            del self._sent_at_s[next(iter(self._sent_at_s))]
        self._roster.contacts.record_sent(peer, now_s)
        return Heartbeat(sequence, *self._shared_fields(peer))

    def handle(self, peer: DaemonId, frame: Frame, now_s: float) -> Frame | None:
        """Handles a control frame on a connection that the peer opened.

        A peer that can reach this daemon need not be reachable from it. So only an
        acknowledged heartbeat of this daemon counts as evidence that the peer is alive.

        Returns:
            The reply, if there is one.
        """
        match frame:
            case Heartbeat(sequence=sequence, gossip=gossip):
                self._apply_records(gossip, now_s)
                self._roster.contacts.record_lease_grant(peer, now_s)
                return HeartbeatAck(sequence, *self._shared_fields(peer))
            case (
                ConfigurationOffer()
                | ConfigurationPull()
                | ConfigurationPush()
                | ConfigurationDelta()
            ):
                return self._replication.handle(frame, peer, now_s)
            case RosterPull(digests):
                return RosterPush(self._roster.records_differing_from(digests))
            case _:
                return None

    def handle_reply(self, peer: DaemonId, frame: Frame, now_s: float) -> Frame | None:
        """Handles a peer's reply; returns the next request to the peer, if any."""
        match frame:
            case HeartbeatAck(sequence, gossip, version, digest):
                self._record_heartbeat_ack(peer, sequence, now_s)
                self._apply_records(gossip, now_s)
                pull = self._replication.handle_version(version, now_s)
                return pull or self._next_pull(digest, now_s)
            case (
                ConfigurationOffer()
                | ConfigurationPull()
                | ConfigurationPush()
                | ConfigurationDelta()
            ):
                return self._replication.handle(frame, peer, now_s)
            case RosterPush(records):
                is_joining = self._synced_at_s is None
                self._apply_records(records, now_s, is_forwarded=not is_joining)
                self._synced_at_s = self._pulled_at_s
        return None

    @property
    def has_configuration(self) -> bool:
        """Whether a configuration is in force."""
        return self._configuration.version > NO_VERSION

    def is_current_since(self, since_s: float, now_s: float) -> bool:
        """Returns whether roster and configuration were synced since a time."""
        has_synced = self._synced_at_s is not None and self._synced_at_s >= since_s
        return has_synced and not self._replication.needs_refresh(now_s)

    def restart_sync(self, now_s: float) -> None:
        """Pulls roster and configuration again from the next peers that reply."""
        self._pulled_at_s = None
        self._synced_at_s = None
        self._replication.refresh(now_s)

    def _next_pull(self, digest: int, now_s: float) -> Frame | None:
        if self._pulled_at_s is not None:
            differs = digest != self._roster.digests.full
            if not differs or now_s - self._pulled_at_s < SYNC_MIN_S:
                return None
        self._pulled_at_s = now_s
        return RosterPull(self._roster.digests.buckets)

    def _record_heartbeat_ack(
        self, peer: DaemonId, sequence: int, now_s: float
    ) -> None:
        sent_at_s = self._sent_at_s.pop(sequence, None)
        if sent_at_s is not None:
            self._roster.contacts.record_heartbeat_ack(peer, sent_at_s, now_s)

    def _apply_records(
        self, records: tuple[MemberRecord, ...], now_s: float, is_forwarded: bool = True
    ) -> None:
        if self._roster.apply_records(records, now_s, is_forwarded):
            self._on_roster_change()

    def _shared_fields(
        self, peer: DaemonId
    ) -> tuple[tuple[MemberRecord, ...], ConfigurationVersion, int]:
        return (
            self._roster.gossip_for(peer),
            self._configuration.version,
            self._roster.digests.full,
        )
