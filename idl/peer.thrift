/** Messages between nodes on the path of a call. Fields are only ever added. */
namespace cpp tanagerledge.wire

/** Opens each connection, both ways. A mismatch closes it. */
struct Hello {
  1: string fleet
  2: i32 version
  3: string node
  4: string zone
  5: i64 incarnation
}

struct Header {
  1: string name
  2: string value
}

/** What the node beside the back end knows of its load. */
struct LoadReport {
  1: i32 limit
  2: i32 running
  3: i32 queued
  /** Ranks worth less than this are refused now. */
  4: i32 admission_level
  5: i64 service_time_us
  /** Of recent calls, those without a good answer. */
  6: i32 failing_permille
  /** Recent work time here over the usual one here; 0 if not known. */
  7: i32 relative_time_permille
  /** Of recent nested calls, those refused because of overload. */
  8: i32 rejecting_permille
  /** Running calls that wait for their own nested calls. */
  9: i32 waiting_for_calls
}

/** The usual time of one kind of work at one backend server. */
struct KindTime {
  /** The route. */
  1: string kind
  2: i64 time_us
  /** Calls that it is known from. */
  3: i32 samples
}

struct CallRequest {
  1: string service_name
  2: string rank
  3: string customer
  4: string method
  5: string target
  6: list<Header> headers
  7: binary body
  /** Time left when the message was sent, so that clocks need not agree. */
  8: i64 remaining_us
  9: bool idempotent
  10: string idempotency_key
  11: i64 release
  12: i32 depth
  13: i64 write_mark
  14: i64 fingerprint
  15: bool within_retry
  /** Names the caller's attempt. */
  16: string attempt_id
  /** The route, for estimates of its work. */
  17: string route
  /** 0 is the most urgent. */
  18: i32 priority
  /** Time left to the route's target when the message was sent. */
  19: i64 target_us
  /** Made by a request that holds a slot elsewhere. */
  20: bool nested
  /** Was turned away before and came back. */
  21: bool returning
  /** Names this send among all of its node, so that it may be asked for. */
  22: i64 send_id
  /** The client account that the request belongs to; empty without accounts. */
  23: string client_account
  /** The request that made this nested call, as its caller named it. */
  24: string parent_id
  /** A second send of a request whose first send is still under way. */
  25: bool hedge
  /** Its client account's share in the fair queue; 0 counts as 1. */
  26: i32 fair_weight
  /** Load of the backend server beside the sender. */
  40: optional LoadReport sender_load
  /** One of the kinds of work there, in turn. */
  41: optional KindTime sender_kind_time
}

struct CallReply {
  1: i32 outcome
  2: i32 reason
  3: string detail
  4: i32 status
  5: list<Header> headers
  6: binary body
  7: optional LoadReport load
  8: i64 write_mark
  9: i64 execution_us
  /** A hop further down has decided about a retry already. */
  10: bool judged
  /** With a refusal: when there will be room. */
  11: i64 room_in_us
  /** Part of execution_us at work, without the wait for nested calls. */
  40: i64 work_us
  /** The usual time of such calls at this backend server. */
  41: optional KindTime kind_time
}

/** What became of a send whose reply was lost with its connection. */
struct SendQuestion {
  1: i64 send_id
  /** The start of the node that it was sent to. */
  2: i64 incarnation
  3: i64 remaining_us
}

/** The caller behind a send has gone. */
struct SendCancel {
  1: i64 send_id
}

/** A request that must not run: back ends died running it. */
struct QuarantineRecord {
  1: i64 fingerprint
  2: i64 until_unix_ms
}

/** What the store's list of nodes says of one: hints for nodes that start. */
struct NodeRecord {
  1: string zone
  /** The back end beside the node; empty before the first. */
  2: string service_name
  3: string instance
  4: i64 born_ms
  5: i64 sequence
  6: string address
  7: i32 slots
  /** A value of EndpointState. */
  8: i32 state
  /** Requests under which back ends beside this node died. */
  9: optional list<QuarantineRecord> quarantined
}

/** The configuration that a node has, when it is newer than `known_version`. */
struct ConfigQuestion {
  1: i64 known_version
  /** Asks for the age of the proof that the configuration is the newest. */
  2: bool wants_proof
}

struct ConfigAnswer {
  1: i64 version
  /** As the store holds it, compressed; empty when the version is not newer. */
  2: binary content
  /** Age of the proof that `version` is the newest, when this was sent. */
  3: optional i64 proof_age_us
  /** The newest era of the store that the node has seen or heard of. */
  4: i64 store_era
}

/** A node asks to send a call with a long body. */
struct TransferRequest {
  1: i64 send_id
  2: i64 bytes
  /** How long it waits for the grant. */
  3: i64 max_wait_us
}

struct TransferReply {
  1: bool granted
  /** Without a grant: when there will be room. */
  2: i64 wait_us
}
