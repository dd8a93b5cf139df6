/** Messages and log records of src/execution. Fields are only ever added. */
namespace cpp tanagerledge.wire

// Session ---------------------------------------------------------------------

struct SessionMark {
  1: string service_name
  2: i64 write_mark
  3: string node
  /** Orders the session's writes, so that the oldest are dropped first. */
  4: i64 sequence
}

struct Session {
  1: i64 release_floor
  2: list<SessionMark> marks
}

// Crash suspects --------------------------------------------------------------

/** What one node tells the others of a fingerprint. */
struct SuspectNews {
  1: i64 fingerprint
  /** Back ends that died while the call ran on them. */
  2: i32 deaths
  /** The call ran alone and its back end lived. */
  3: bool cleared
  /** The node beside the back ends that died. */
  4: string node
  /** How long the sender keeps a quarantine. */
  5: optional i64 ttl_ms
  /** Further deaths that are not held against the call. */
  6: optional i32 excused
}

struct SuspectTell {
  1: list<SuspectNews> news
}

struct SuspectLeaseRequest {
  1: i64 fingerprint
  2: i64 lease_us
}

struct SuspectLeaseReply {
  /** A value of LeaseAnswer. */
  1: i32 answer
  /** What the node has quarantined, if it was asked. */
  2: optional SuspectTell quarantined
}

struct SuspectRequest {
  1: optional SuspectTell tell
  2: optional SuspectLeaseRequest lease
  /** Asks what the receiver has quarantined. */
  3: optional bool list_quarantined
}

// At most once ----------------------------------------------------------------

/** One start of one node. */
struct OnceProcess {
  1: string node
  2: i64 start
}

/** One attempt to run a keyed call; unique over all nodes and starts. */
struct OnceAttempt {
  1: OnceProcess process
  2: i64 number
}

struct OnceResult {
  /** A value of Outcome. */
  1: i32 outcome
  /** A value of Reason. */
  2: i32 reason
  3: binary reply
  /** The reply was too large to keep; only the outcome is. */
  4: bool reply_dropped
}

/** An intent, or with a result how the attempt ended. */
struct OnceEntry {
  1: binary key
  2: OnceAttempt attempt
  3: i64 fingerprint
  4: optional OnceResult result
}

/** Who decides for a partition. */
struct OnceSeat {
  1: OnceProcess owner
  2: optional OnceProcess deputy
}

/** Asks for a new owner; in force only where the fold accepts it. */
struct OnceSeatChange {
  /** A value of SeatCause. */
  1: i32 cause
  /** The offset of the seat that it replaces, or -1. */
  2: i64 previous
  /** With a timeout: no record of an owner stands at or after this offset. */
  3: i64 quiet_since
  4: OnceSeat seat
}

/** One append to the stream of a partition. */
struct OnceRecord {
  /** The offset of the author's seat; -1 in a change without one before. */
  1: i64 epoch
  2: OnceProcess author
  3: OnceSeat seat
  /** Counts the author's records of the epoch, so that repeats are dropped; in
      a change, the author's own mark for it. */
  4: i64 number
  /** All that promises up to this one admitted stands in this stream. */
  5: i64 settled
  6: i64 stamp_ms
  7: optional OnceSeatChange change
  8: list<OnceEntry> entries
}

struct OnceClaim {
  1: binary key
  2: OnceAttempt attempt
  3: i64 fingerprint
  /** Mint time of a UUIDv7 key, or 0. */
  4: i64 mint_ms
  5: i64 remaining_us
}

struct OnceAnswer {
  1: OnceAttempt attempt
  /** A value of ClaimAnswer. */
  2: i32 answer
  3: optional OnceResult result
  /** With kNotOwner: who may be. */
  4: string owner
}

struct OnceFinish {
  1: binary key
  2: OnceAttempt attempt
  3: i64 fingerprint
  4: OnceResult result
}

struct OnceFinishAck {
  1: OnceAttempt attempt
  2: bool taken
  3: string owner
}

struct OnceStatusAsk {
  1: binary key
  2: OnceAttempt attempt
}

struct OnceStatus {
  1: binary key
  2: OnceAttempt attempt
  /** Neither ended nor lost: still under way. */
  3: bool lost
  4: optional OnceResult result
}

/** Asks the deputy not to take the seat; and its promise. */
struct OncePromise {
  1: i64 epoch
  2: i64 number
  3: bool granted
}

/** One way, between nodes. Every message tells the sender's start. */
struct OnceMessage {
  1: i64 start
  2: i32 partition
  3: optional OnceClaim claim
  4: optional OnceAnswer answer
  5: optional OnceFinish finish
  6: optional OnceFinishAck finish_ack
  7: optional OnceStatusAsk status_ask
  8: optional OnceStatus status
  9: optional OncePromise promise
  /** Asks for any answer, to learn the start. */
  10: bool who
}
