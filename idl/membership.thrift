/** Messages of membership between nodes. Fields are only ever added. */
namespace cpp tanagerledge.wire

/** What a node says of the back end beside it. */
struct Announcement {
  1: string service_name
  2: i32 slots
  3: i32 state
  /** Time in the state when the message was sent, so that clocks need not agree. */
  4: i64 age_ms
  /** Version of the back end's software, where roll-outs are limited. */
  5: optional string backend_version
}

/** One member as the sender knows it. An accusation is only the first three. */
struct MemberUpdate {
  1: string node
  2: i64 incarnation
  3: i32 state
  4: optional string zone
  /** Counts the node's own announcements under one incarnation. */
  5: optional i32 version
  6: optional Announcement announcement
}

/** How many nodes of a subtree have a release in force. */
struct ReleaseCount {
  1: i64 release
  2: i32 nodes
}

struct LaggardItem {
  1: string node
  2: i64 release
  3: i32 reason
}

/** One node's subtree of its zone, for the reach of releases. */
struct SubtreeReach {
  1: list<ReleaseCount> counts
  2: list<LaggardItem> laggards
}

enum DatagramKind {
  PING = 1,
  ACK = 2,
  INDIRECT_PING = 3,
  GOSSIP = 4,
  DIGEST = 5,
  DIGEST_DIFFERENCE = 6,
  REACH = 7
}

struct MembershipDatagram {
  /** Hash of the fleet's name: strangers are dropped. */
  1: i32 fleet
  2: DatagramKind kind
  3: i64 incarnation
  4: i64 release
  5: optional i64 sequence
  /** With INDIRECT_PING: whom to ping. */
  6: optional string target
  /** The receiver should tell who it is. */
  7: optional bool introduce
  8: optional list<MemberUpdate> updates
  /** With DIGEST: 4 bytes a bucket. */
  9: optional binary digest
  /** With DIGEST_DIFFERENCE: the buckets that differ, of so many. */
  10: optional list<i16> buckets
  11: optional i32 bucket_count
  12: optional SubtreeReach reach
  /** Digest of what the sender has quarantined; unset if nothing. */
  13: optional i64 quarantine
}

/** Asks for the members in some buckets and gives the sender's own. */
struct SyncRequest {
  1: list<i16> buckets
  2: i32 bucket_count
  3: list<MemberUpdate> updates
}

struct SyncReply {
  1: list<MemberUpdate> updates
  /** The peer is busy: ask another one. */
  2: bool busy
}

struct ReachQuery {
  1: i64 release
  /** Another node named the receiver: answer, whoever sums up by its view. */
  2: bool redirected
}

struct ReachReply {
  /** Members of the zone that the replying node knows to live. */
  1: i32 members
  2: SubtreeReach reach
  /** Who sums up the zone in the replying node's view, if another one. */
  3: optional string summarizer
}

struct MembershipRequest {
  1: string fleet
  2: optional SyncRequest sync
  3: optional ReachQuery reach
}

struct MembershipReply {
  1: optional SyncReply sync
  2: optional ReachReply reach
}
