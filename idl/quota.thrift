/** Messages between nodes about the quotas of client accounts. Fields are only
 * ever added. */
namespace cpp tanagerledge.wire

/** What one node has and needs of an account's tokens. The counters cover one
 * session: the time in which the node holds a lease of one granting node. */
struct QuotaNeed {
  1: string account
  /** Greater for each later session of the node. */
  2: i64 session
  /** Greater for each later message of the session. */
  3: i64 sequence
  /** Tokens granted so far, as far as the node knows. */
  4: i64 granted
  /** Tokens used so far, with those that waiting requests need now. */
  5: i64 used
  /** Unused tokens given back so far. */
  6: i64 returned
  /** Unused tokens that the node would like to hold for later requests. */
  7: i64 want
}

/** Asks the granting node; as a one-way message it only gives tokens back. */
struct QuotaQuestion {
  1: list<QuotaNeed> needs
  /** Groups of accounts that the node asks another node about from now on. */
  2: list<i32> left_groups
  /** Groups that the node asks this node about from now on. */
  3: list<i32> joined_groups
}

struct QuotaGrant {
  1: string account
  2: i64 session
  /** Tokens granted in the session so far. */
  3: i64 granted
  /** Time until the node may ask again; 0 unless it got less than it needs. */
  4: i64 wait_us
}

struct QuotaAnswer {
  1: list<QuotaGrant> grants
}
