/** Messages about roll-outs between nodes. Fields are only ever added. */
namespace cpp tanagerledge.wire

struct RolloutOrderRecord {
  1: string service_name
  2: string new_version
  3: i64 duration_ms
  /** Where the store holds the order, and in which era of the store. */
  4: i64 offset
  5: i64 era
}

/** What the deciding node allows each node to send to the target version. */
struct RolloutDirective {
  1: RolloutOrderRecord order
  2: i64 age_ms
  /** A value of RolloutPhase. */
  3: i32 phase
  4: i32 share_permille
  /** The backend servers of the target version that take the share. */
  5: list<string> servers
  /** The receiver's start and the revision of its report that were processed. */
  6: i64 seen_incarnation
  7: i64 seen_revision
  /** Most nodes that were live at once, as far as the deciding node knows. */
  8: i32 fleet_size
}

/** Cumulative counts. */
struct RolloutEvidenceRow {
  /** Node of the backend server; empty for all of other versions. */
  1: string server
  2: string route
  3: i64 answers
  4: i64 failures
  /** By bins of time, from the first bin that is not empty. */
  5: list<i32> times
  6: i32 first_bin
}

/** The reply to a directive: rows that changed since the seen revision. */
struct RolloutReport {
  1: i64 incarnation
  2: i64 revision
  3: list<RolloutEvidenceRow> rows
  /** The last phase that this node knows; a value of RolloutPhase. */
  4: i32 phase
  5: i64 age_ms
  /** Set when this node knows a newer order than that of the directive. */
  6: optional RolloutOrderRecord newer_order
}
