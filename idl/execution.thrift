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
}

struct SuspectRequest {
  1: optional SuspectTell tell
  2: optional SuspectLeaseRequest lease
}

// At most once ----------------------------------------------------------------

/** One attempt to run a keyed call; unique over all nodes and starts. */
struct OnceAttempt {
  1: string node
  2: i64 incarnation
  3: i64 number
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

/** The first intent for a key wins, by offset. */
struct IntentEntry {
  1: binary key
  2: OnceAttempt attempt
  3: i64 fingerprint
}

/** How an attempt ended. `not-run` opens the key again. */
struct OutcomeEntry {
  1: binary key
  2: OnceAttempt attempt
  3: OnceResult result
}

/** One append to an intent stream. */
struct IntentBatch {
  1: string batch_id
  2: list<IntentEntry> intents
  3: list<OutcomeEntry> outcomes
}
