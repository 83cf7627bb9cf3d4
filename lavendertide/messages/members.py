"""Members of the fleet: who they are, how they open connections, and what they tell."""

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
    """What a daemon is known to be doing."""

    JOINING = "joining"
    SERVING = "serving"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One daemon as the fleet sees it; a higher incarnation overrides a lower one.

    Attributes:
        incarnation: Names one run of the daemon.
        refutation: Rises within a run when the daemon refutes a suspicion or says
            that its load has changed.
        capacity: What it may use of a processor, in hundredths of a core; zero if it
            does not say.
        is_loaded: Whether it uses most of that.
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
    """Opens a peer connection; the nonce is to be signed by the acceptor.

    Attributes:
        accepts_compressed: Whether the sender reads compressed frames.
    """

    member: MemberRecord
    nonce: str
    accepts_compressed: bool = False


@dataclass(frozen=True, slots=True)
class Challenge:
    """Answers a hello: signs its nonce and sets one for the dialling side.

    Attributes:
        accepts_compressed: Whether the sender reads compressed frames.
    """

    member: MemberRecord
    nonce: str
    proof: str
    accepts_compressed: bool = False


@dataclass(frozen=True, slots=True)
class ChallengeAnswer:
    """Signs the acceptor's nonce; other frames follow only after it."""

    proof: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tells a peer that the sender lives, and what it has learned.

    Attributes:
        gossip: Changed records, a bounded number.
        digest: Equal for equal rosters.
    """

    sequence: int
    gossip: tuple[MemberRecord, ...]
    configuration_version: ConfigurationVersion
    digest: int = 0


@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """Answers a heartbeat; the receiver's lease runs from the heartbeat's sending."""

    sequence: int
    gossip: tuple[MemberRecord, ...]
    configuration_version: ConfigurationVersion
    digest: int = 0


@dataclass(frozen=True, slots=True)
class RosterPull:
    """Asks for the records of all buckets whose digest differs.

    Attributes:
        digests: Digest of each bucket of the sender's roster, by bucket number.
    """

    digests: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RosterPush:
    """Records of the buckets that differ, removed members among them."""

    records: tuple[MemberRecord, ...]


@dataclass(frozen=True, slots=True)
class ReachRequest:
    """Asks a peer whether it can reach a member that the sender can't."""

    exchange: ExchangeId
    daemon: DaemonId


@dataclass(frozen=True, slots=True)
class ReachReply:
    """Says whether the member has answered the peer."""

    exchange: ExchangeId
    is_reached: bool
