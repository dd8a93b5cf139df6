/** Messages that spread releases from node to node. Fields are only ever added. */
namespace cpp tanagerledge.wire

/** One record of the stream, as the log holds it; checkpoints come emptied. */
struct StreamRecord {
  1: i64 offset
  2: binary bytes
}

/** New records on their way down the tree of one zone. */
struct ReleasePush {
  1: list<StreamRecord> records
  /** The node at the root of the tree in the receiver's zone. */
  2: string root
}

/** What the sender has. */
struct ReleaseSummary {
  1: i64 next_offset
  2: i64 release
  3: binary digest
}

struct RecordsRequest {
  1: i64 from_offset
}

struct RecordsReply {
  1: list<StreamRecord> records
  /** The sender no longer has all of them: ask for its whole state. */
  2: bool state_needed
}

struct StateRequest {
  1: i64 ticket
}

struct StateReply {
  1: i64 ticket
  /** A Checkpoint, zstd; empty when there is none now. */
  2: binary packed
  /** XXH3 128 of the Checkpoint's bytes. */
  3: binary hash
  4: i64 retry_after_ms
  /** A node that was given the state lately. */
  5: string other_holder
}

/** Frees the sender's place at the node that gave it the state. */
struct StateTaken {
  1: i64 ticket
}

/** Asks a reader for an end of the log that it reads from now on. */
struct LogEndRequest {
  1: i64 ticket
}

struct LogEndReply {
  1: i64 ticket
  2: i64 end_offset
  /** The log gave the reader no answer. */
  3: bool unavailable
}

/** One of its fields is set. */
struct ReleaseMessage {
  1: optional ReleasePush push
  2: optional ReleaseSummary summary
  3: optional RecordsRequest records_request
  4: optional RecordsReply records
  5: optional StateRequest state_request
  6: optional StateReply state
  7: optional StateTaken state_taken
  8: optional LogEndRequest log_end_request
  9: optional LogEndReply log_end
}
