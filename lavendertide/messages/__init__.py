"""Message types exchanged between callers' tasks, peers and targets.

All messages are plain data classes without behaviour of their own.
`lavendertide.encodings` serializes them; the aggregates decide when to send which one
to whom.
"""

from lavendertide.messages.configuration import (
    ConfigurationDelta as ConfigurationDelta,
    ConfigurationFrame as ConfigurationFrame,
    ConfigurationOffer as ConfigurationOffer,
    ConfigurationPull as ConfigurationPull,
    ConfigurationPush as ConfigurationPush,
    ConfigurationRefusal as ConfigurationRefusal,
    ConfigurationStamp as ConfigurationStamp,
    EntryKind as EntryKind,
    EntryText as EntryText,
)
from lavendertide.messages.members import (
    Challenge as Challenge,
    ChallengeAnswer as ChallengeAnswer,
    Heartbeat as Heartbeat,
    HeartbeatAck as HeartbeatAck,
    Hello as Hello,
    MemberRecord as MemberRecord,
    MemberState as MemberState,
    ReachReply as ReachReply,
    ReachRequest as ReachRequest,
    RosterPull as RosterPull,
    RosterPush as RosterPush,
)
from lavendertide.messages.plans import (
    PlanClaim as PlanClaim,
    PlanClaims as PlanClaims,
    PlanGrant as PlanGrant,
    PlanGrants as PlanGrants,
)
from lavendertide.messages.quarantine import (
    TrialClaim as TrialClaim,
    TrialGrant as TrialGrant,
    Verdict as Verdict,
    VerdictKind as VerdictKind,
    Verdicts as Verdicts,
)
from lavendertide.messages.queries import (
    NO_PLAN_CLASS as NO_PLAN_CLASS,
    Answered as Answered,
    Cancels as Cancels,
    Declined as Declined,
    DeclineReason as DeclineReason,
    LossReason as LossReason,
    Lost as Lost,
    Operation as Operation,
    Row as Row,
    SubReplies as SubReplies,
    SubReply as SubReply,
    SubRequest as SubRequest,
    SubRequests as SubRequests,
)
from lavendertide.messages.targets import (
    CapacityNotices as CapacityNotices,
    ColdGrants as ColdGrants,
    EvacuationNotices as EvacuationNotices,
    LeavingNotices as LeavingNotices,
    OverloadNotices as OverloadNotices,
    RegistryPull as RegistryPull,
    RegistryPush as RegistryPush,
    SlotClaim as SlotClaim,
    SlotClaims as SlotClaims,
    SlotReleases as SlotReleases,
    StallNotices as StallNotices,
)
from lavendertide.messages.tickets import (
    Outcome as Outcome,
    TicketReply as TicketReply,
    TicketRequest as TicketRequest,
)

Frame = (
    Hello
    | Challenge
    | ChallengeAnswer
    | Heartbeat
    | HeartbeatAck
    | RosterPull
    | RosterPush
    | ReachRequest
    | ReachReply
    | SubRequests
    | SubReplies
    | Cancels
    | ConfigurationOffer
    | ConfigurationPull
    | ConfigurationPush
    | ConfigurationDelta
    | TicketRequest
    | TicketReply
    | PlanClaims
    | PlanGrants
    | Verdicts
    | StallNotices
    | LeavingNotices
    | EvacuationNotices
    | CapacityNotices
    | ColdGrants
    | OverloadNotices
    | RegistryPull
    | RegistryPush
    | TrialClaim
    | TrialGrant
    | SlotClaims
    | SlotReleases
)
