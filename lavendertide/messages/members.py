"""Messages of the fleet's membership protocol.

They cover the handshake of a peer connection, heartbeats with gossip, the exchange of
rosters and indirect probes.
"""

from dataclasses import dataclass
from enum import Enum

from lavendertide.ids import (
    Address,
    ConfigurationVersion,
    DaemonId,
    ExchangeId,
    FailureDomain,
    HostId,
    Incarnation,
    Region,
)


class MemberState(Enum):
    """Life-cycle state of a daemon, as recorded in the roster."""

    JOINING = "joining"
    SERVING = "serving"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Roster entry of one daemon; a higher incarnation overrides a lower one.

    Attributes:
        incarnation: Identifies one run of the daemon.
        refutation: Counter that the daemon increments within a run to refute a
            suspicion or to publish a change of its load.
        capacity: Processor time that the daemon may use, in hundredths of a core; zero
            if it is not known.
        is_loaded: Whether the daemon uses most of its capacity.
    """

    daemon: DaemonId
    host: HostId
    region: Region
    failure_domain: FailureDomain
    peer_address: Address
    caller_address: Address
    incarnation: Incarnation
    state: MemberState
    refutation: int = 0
    capacity: int = 0
    is_loaded: bool = False


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame of a peer connection, sent by the side that opened it.

    Attributes:
        nonce: Random text that the accepting side has to sign.
        accepts_compressed: Whether the sender can read compressed frames.
    """

    member: MemberRecord
    nonce: str
    accepts_compressed: bool = False


@dataclass(frozen=True, slots=True)
class Challenge:
    """Reply to a hello: signs its nonce and sets one for the side that opened.

    Attributes:
        nonce: Random text that the opening side has to sign.
        proof: Signature of the hello's nonce.
        accepts_compressed: Whether the sender can read compressed frames.
    """

    member: MemberRecord
    nonce: str
    proof: str
    accepts_compressed: bool = False


@dataclass(frozen=True, slots=True)
class ChallengeAnswer:
    """Signs the challenge's nonce; all other frames may follow only after this one."""

    proof: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows a peer that the sender is alive, and carries gossip.

    Attributes:
        sequence: Number that the acknowledgement repeats.
        gossip: Recently changed records, a bounded number of them.
        configuration_version: Version of the configuration in force on the sender.
        digest: Digest of the sender's roster; equal for equal rosters.
    """

    sequence: int
    gossip: tuple[MemberRecord, ...]
    configuration_version: ConfigurationVersion
    digest: int = 0


@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """Acknowledges a heartbeat.

    The lease of the daemon that receives it runs from the time at which it sent the
    heartbeat.
    """

    sequence: int
    gossip: tuple[MemberRecord, ...]
    configuration_version: ConfigurationVersion
    digest: int = 0


@dataclass(frozen=True, slots=True)
class RosterPull:
    """Requests the records of all roster buckets whose digests differ.

    Attributes:
        digests: Digest of each bucket of the sender's roster, by bucket number.
    """

    digests: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RosterPush:
    """Records of the differing buckets, including those of removed members."""

    records: tuple[MemberRecord, ...]


@dataclass(frozen=True, slots=True)
class ReachRequest:
    """Requests that a peer probes a member that the sender cannot reach itself."""

    exchange: ExchangeId
    daemon: DaemonId


@dataclass(frozen=True, slots=True)
class ReachReply:
    """Reply to a reach request.

    Attributes:
        is_reached: Whether the member has replied to the peer.
    """

    exchange: ExchangeId
    is_reached: bool
