/** Records of the log stream `releases`. Fields are only ever added. */
namespace cpp tanagerledge.wire

struct ServiceItem {
  1: string name
}

struct RankItem {
  1: string name
  2: i64 target_ms
  3: i32 worth
  4: i32 floor_percent
}

struct RouteItem {
  1: string name
  2: string prefix
  3: string service_name
  4: string rank
  5: bool idempotent
  6: i64 deadline_ms
}

/** An item is added, changed or withdrawn; a withdrawal needs only the name. */
enum ChangeKind { ADD = 1, CHANGE = 2, WITHDRAW = 3 }

struct ServiceChange {
  1: ChangeKind kind
  2: ServiceItem item
}

struct RankChange {
  1: ChangeKind kind
  2: RankItem item
}

struct RouteChange {
  1: ChangeKind kind
  2: RouteItem item
}

struct Note {
  1: i64 base
  2: string title
  3: list<ServiceChange> services
  4: list<RankChange> ranks
  5: list<RouteChange> routes
}

struct Publish {
  1: string publish_id
  2: string operator_name
  3: i64 published_at_ms
  4: Note note
}

/** When each item last changed, so that racing notes are judged by item. */
struct Touched {
  1: string item
  2: i64 release
}

/** A publish id that was judged, so that a repeated append is told apart. */
struct JudgedPublish {
  1: string publish_id
  2: i64 offset
  /** The release it became; 0 when it was not accepted. */
  3: i64 release
}

/** The fold after a prefix of the stream: every list is sorted or in order. */
struct FoldState {
  1: i64 release
  2: binary digest
  3: list<ServiceItem> services
  4: list<RankItem> ranks
  5: list<RouteItem> routes
  6: list<Touched> touched
  7: list<JudgedPublish> judged
  8: i32 rules
}

struct Checkpoint {
  1: i64 through_offset
  2: FoldState state
}

/** From the next record on, notes are judged by these rules. */
struct RuleChange {
  1: i32 rules
}

struct ReleaseRecord {
  1: optional Publish publish
  2: optional Checkpoint checkpoint
  3: optional RuleChange rule_change
}
