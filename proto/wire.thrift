// Frames between nodes: Thrift compact protocol after a 4-byte big-endian length prefix.
namespace cpp dandelionfall.wire

struct Incarnation { 1: i64 high, 2: i64 low }
struct RequestId { 1: Incarnation ingress, 2: i64 sequence }
struct Stamp { 1: i64 version, 2: i64 digest }
struct Capacity {
  1: i32 in_flight, 2: i32 queued, 3: i32 limit, 4: i64 service_time_us, 5: optional double stated_rate
}
struct HttpField { 1: string name, 2: binary value }
struct HttpRequest { 1: string method, 2: binary path, 3: string host_name, 4: list<HttpField> fields, 5: binary body }
struct HttpResponse { 1: i32 status, 2: list<HttpField> fields, 3: binary body }

// A missing rate means that the target states none.
struct TargetStatement { 1: optional double requests_per_second, 2: bool leaving }

struct TrafficHello {
  1: string host, 2: Incarnation ingress, 3: i64 epoch, 4: i64 version, 5: optional bool pulls_answers
}
struct TrafficWelcome { 1: string host, 2: Incarnation gate, 3: i64 epoch, 4: i64 version, 5: Capacity capacity }
struct Dispatch {
  1: RequestId id, 2: i64 epoch, 3: Incarnation gate, 4: i64 remaining_us, 5: i64 version,
  6: string service_name, 7: string target_name, 8: bool idempotent, 9: HttpRequest request,
  10: string kind, 11: i32 priority, 12: i64 wanted_in_us, 13: optional double stated_rate,
  14: optional bool as_suspect, 15: optional bool repeatable, 16: optional string team
}
struct Answer { 1: RequestId id, 2: HttpResponse response, 3: Capacity capacity, 4: TargetStatement statement }
struct AnswerOffer { 1: RequestId id, 2: i64 body_bytes, 3: Capacity capacity }
struct AnswerPull { 1: RequestId id }
struct Refusal {
  1: RequestId id, 2: i32 reason, 3: i64 retry_after_us, 4: i64 version, 5: Capacity capacity,
  6: optional TargetStatement statement
}
struct Failure { 1: RequestId id, 2: string detail, 3: Capacity capacity, 4: optional RequestId target_end }
struct Inquiry { 1: list<RequestId> ids }
struct InquiryReply { 1: RequestId id, 2: i32 state }
struct Settled { 1: list<RequestId> ids }
struct Cancel { 1: RequestId id }
struct TrafficPing { 1: i64 sequence, 2: i64 version, 3: optional i64 ends_in_us }
struct TrafficPong { 1: i64 sequence, 2: i64 version, 3: Capacity capacity }
struct TrafficGoAway {}
struct CrashEvidence {
  1: i64 fingerprint_high, 2: i64 fingerprint_low, 3: bool cleared, 4: RequestId target_end, 5: i64 seen_ago_us,
  6: bool as_suspect, 7: bool was_answered
}
struct CrashNotice { 1: list<CrashEvidence> evidence }
struct TargetInstance { 1: string name, 2: i64 started_at_ms }
struct LeavingNotice { 1: list<TargetInstance> targets }
struct CreditRequest { 1: i64 sequence, 2: string team, 3: i32 wanted, 4: i32 returned }
struct CreditGrant { 1: i64 sequence, 2: string team, 3: i32 granted, 4: i64 lease_us, 5: i64 retry_after_us }

struct ControlHello {
  1: string host, 2: string zone, 3: Incarnation incarnation, 4: string address,
  5: Stamp held, 6: Stamp applied, 7: Stamp host_list
}
struct Announce { 1: i32 stream, 2: Stamp held }
struct Pull { 1: i32 stream, 2: Stamp have }
struct Part { 1: string name, 2: binary text }
struct ChangeRecord { 1: Stamp base, 2: Stamp stamp, 3: list<Part> changed, 4: list<string> removed }
struct ChangeRecords { 1: i32 stream, 2: list<ChangeRecord> records }
struct SnapshotChunk { 1: i32 stream, 2: Stamp stamp, 3: i32 index, 4: i32 count, 5: list<Part> parts }
struct HeldAck { 1: i32 stream, 2: Stamp held }
// The last two fields are -1 if no such call is known.
struct Heartbeat {
  1: i64 sequence, 2: Stamp held, 3: Stamp applied, 4: Stamp host_list,
  5: i64 source_tried_ago_us = -1, 6: i64 source_reached_ago_us = -1
}
struct ControlGoAway {}
// A record without a value is a tombstone: the key was removed.
struct StoreRecord { 1: string key, 2: i64 revision, 3: optional binary value }
// The version is -1 if no configuration is wanted beside the records.
struct RecordsPull { 1: i64 have, 2: i64 in_force = -1 }
struct TargetDeparture { 1: string key, 2: i64 started_at_ms, 3: i64 sequence, 4: i64 left_as_of }
struct RecordsPush {
  1: i64 as_of, 2: bool whole, 3: list<StoreRecord> records, 4: optional StoreRecord retained,
  5: list<TargetDeparture> departures
}
struct FollowRevisions {
  1: i64 held, 2: bool wants_patches = true, 3: i64 retained = 0, 4: map<string, list<i64>> bases,
  5: i64 received_patches = -1
}
// The time is -1 if the store has not confirmed the revision.
// Field 5 was a list of pieces in earlier versions.
struct RecordPatch { 1: string key, 2: i64 revision, 3: i64 base, 4: i64 digest, 6: binary compressed }
struct RevisionNotice {
  1: i64 revision, 2: i64 held, 3: i64 confirmed_ago_us = -1, 4: bool refused, 5: list<StoreRecord> records,
  6: list<RecordPatch> patches, 7: map<string, i64> large, 8: bool complete,
  9: i64 retained = 0, 10: i64 proved_ago_us = -1, 11: optional i64 probe
}
struct FreshnessProbe { 1: i64 number }

union Body {
  1: TrafficHello traffic_hello
  2: TrafficWelcome traffic_welcome
  3: Dispatch dispatch
  4: Answer answer
  5: Refusal refusal
  6: Failure failure
  7: Inquiry inquiry
  8: InquiryReply inquiry_reply
  9: Settled settled
  10: Cancel cancel
  11: TrafficPing traffic_ping
  12: TrafficPong traffic_pong
  13: TrafficGoAway traffic_go_away
  14: CrashNotice crash_notice
  15: LeavingNotice leaving_notice
  16: CreditRequest credit_request
  17: CreditGrant credit_grant
  18: AnswerOffer answer_offer
  19: AnswerPull answer_pull
  20: ControlHello control_hello
  21: Announce announce
  22: Pull pull
  23: ChangeRecords change_records
  24: SnapshotChunk snapshot_chunk
  25: HeldAck held_ack
  26: Heartbeat heartbeat
  27: ControlGoAway control_go_away
  28: RecordsPull records_pull
  29: RecordsPush records_push
  30: FollowRevisions follow_revisions
  31: RevisionNotice revision_notice
  32: FreshnessProbe freshness_probe
}

// The logical time gives the events of all processes a common order.
struct Frame { 1: i64 logical_time, 2: Body body }
