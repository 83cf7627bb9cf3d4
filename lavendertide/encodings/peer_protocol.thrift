// The frames that daemons of one fleet exchange. Times are milliseconds.
namespace py peer_protocol

struct MemberRecord {
  1: string daemon,
  2: string host,
  3: string region,
  4: string failure_domain,
  5: string peer_address,
  6: string caller_address,
  7: i64 incarnation,
  8: string state,
  20: i32 refutation,
  70: i32 capacity,
  71: bool is_loaded,
}

struct SubRequest {
  1: string attempt,
  2: string query,
  3: string owner,
  4: string index,
  5: i32 shard,
  6: i64 version,
  7: string target,
  8: string operation,
  9: string body,
  10: i32 remaining_ms,
  11: string fingerprint,
  40: string plan_class,
  50: i32 page_size,
}

struct Row {
  1: string key,
  2: double score,
  3: string document,
}

struct SubReply {
  1: string attempt,
  2: string kind,
  3: string reason,
  4: i32 shard,
  5: i64 version,
  6: list<Row> rows,
  7: i64 matches,
  8: i64 amount,
  9: string query,
  40: i32 spare_slots,
}

struct Hello {
  1: MemberRecord member,
  20: string nonce,
  21: bool takes_compressed,
}

struct Challenge {
  20: MemberRecord member,
  21: string nonce,
  22: string proof,
  23: bool takes_compressed,
}

struct ChallengeAnswer {
  20: string proof,
}

struct Heartbeat {
  1: i64 sequence,
  3: list<MemberRecord> news,
  4: i64 configuration_version,
  20: i64 digest,
}

struct HeartbeatAck {
  1: i64 sequence,
  3: list<MemberRecord> news,
  4: i64 configuration_version,
  20: i64 digest,
}

struct RosterPull {
  20: list<i64> digests,
}

struct RosterPush {
  20: list<MemberRecord> records,
}

struct ReachRequest {
  20: string exchange,
  21: string daemon,
}

struct ReachReply {
  20: string exchange,
  21: bool is_reached,
}

struct SubRequests {
  1: list<SubRequest> items,
}

struct SubReplies {
  1: list<SubReply> items,
}

struct Cancels {
  1: list<string> attempts,
}

struct ConfigurationStamp {
  1: i64 version,
  2: binary digest,
}

struct ConfigurationRefusal {
  1: i64 over_version,
  2: ConfigurationStamp stamp,
  3: string message,
  4: string remedy,
}

struct ConfigurationOffer {
  1: ConfigurationStamp stamp,
  2: bool is_confirmed,
  3: ConfigurationRefusal refusal,
  4: i64 ask,
}

struct ConfigurationPull {
  30: ConfigurationStamp known,
  31: i64 ask,
}

// The lists are JSON, compressed by zlib.
struct ConfigurationPush {
  2: binary lists,
  30: ConfigurationStamp stamp,
}

// The changed entries are lines of kind, space and JSON, compressed by zlib.
struct ConfigurationDelta {
  1: ConfigurationStamp base,
  2: ConfigurationStamp stamp,
  3: list<string> removed,
  4: binary changed,
}

struct TicketRequest {
  1: string exchange,
  2: string ticket,
  3: string plan,
  4: string index,
  5: string operation,
  6: string body,
  7: i32 remaining_ms,
  50: bool is_inquiry,
}

struct TicketReply {
  1: string exchange,
  2: string outcome,
  3: string detail,
  50: string refusal_kind,
  51: string refusal_remedy,
  52: string refusal_fault,
}

struct PlanClaim {
  60: string plan,
  61: double demand_per_s,
  62: double share,
  63: i32 reached,
  64: i32 allocators,
}

struct PlanClaims {
  60: string exchange,
  61: string daemon,
  62: i64 incarnation,
  63: list<PlanClaim> claims,
}

struct PlanGrant {
  60: string plan,
  61: double share,
  62: bool is_settled,
}

struct PlanGrants {
  60: string exchange,
  61: list<PlanGrant> grants,
}

struct Verdict {
  40: string fingerprint,
  41: i32 shard,
  42: string kind,
  43: i32 crashes,
  44: i32 valid_ms,
}

struct Verdicts {
  40: list<Verdict> items,
}

struct TargetRun {
  70: string target,
  71: i64 born_ms,
}

struct Evacuation {
  70: string failure_domain,
  71: i64 revision,
  72: bool is_evacuated,
  73: optional i64 era,
}

struct CapacityNotice {
  70: string target,
  71: i32 slowness_percent,
  72: i32 age_ms,
}

struct OverloadNotice {
  70: i32 group,
  71: i16 pressure_percent,
  72: i16 weight,
  73: i16 age_ms,
  74: i16 took_ms,
  75: i16 queued_ms,
  76: bool is_urgent,
  77: i16 level_percent,
}

struct ColdGrant {
  70: string target,
  71: i64 born_ms,
  72: string receiver,
  73: i32 requests,
  74: i32 valid_ms,
  75: i64 serial,
}

struct StallNotices {
  70: list<string> targets,
  71: list<TargetRun> leaving,
  72: optional list<Evacuation> evacuations,
  73: optional list<CapacityNotice> capacities,
  74: optional list<OverloadNotice> overloads,
  75: optional list<ColdGrant> cold_grants,
}

struct TrialClaim {
  40: string exchange,
  41: string sender,
  42: string fingerprint,
  43: i32 duration_ms,
}

struct TrialGrant {
  40: string exchange,
  41: bool is_granted,
}

struct SlotClaim {
  40: string target,
  41: i64 serial,
}

struct SlotClaims {
  40: string sender,
  41: list<SlotClaim> items,
}

struct SlotReleases {
  40: string sender,
  41: list<SlotClaim> items,
}

struct TargetEntry {
  70: string target,
  71: string service_name,
  72: string address,
  73: string failure_domain,
  74: i32 slots,
  75: string state,
  76: i64 born_ms,
  77: optional i32 cold_left_ms,
}

struct RegistryPull {
  70: string exchange,
  71: i64 revision,
  72: optional i64 era,
}

struct RegistryPush {
  70: string exchange,
  71: i64 revision,
  72: list<TargetEntry> records,
  73: list<string> withdrawn,
  74: bool is_whole,
  75: bool is_current,
  76: i64 routes_version,
  77: optional list<Evacuation> evacuations,
  78: optional i64 era,
}

union Frame {
  1: Hello hello,
  2: Heartbeat heartbeat,
  3: HeartbeatAck heartbeat_ack,
  4: SubRequests sub_requests,
  5: SubReplies sub_replies,
  6: Cancels cancels,
  7: ConfigurationPull configuration_pull,
  8: ConfigurationPush configuration_push,
  9: TicketRequest ticket_request,
  10: TicketReply ticket_reply,
  60: PlanClaims plan_claims,
  61: PlanGrants plan_grants,
  30: ConfigurationOffer configuration_offer,
  31: ConfigurationDelta configuration_delta,
  20: Challenge challenge,
  21: ChallengeAnswer challenge_answer,
  22: RosterPull roster_pull,
  23: RosterPush roster_push,
  24: ReachRequest reach_request,
  25: ReachReply reach_reply,
  40: Verdicts verdicts,
  41: TrialClaim trial_claim,
  42: TrialGrant trial_grant,
  43: SlotClaims slot_claims,
  44: SlotReleases slot_releases,
  70: StallNotices stall_notices,
  71: RegistryPull registry_pull,
  72: RegistryPush registry_push,
}
