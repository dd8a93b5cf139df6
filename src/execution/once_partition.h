// The state machine of one node for one partition. The node may own the seat,
// be its deputy, or only follow the stream. The machine receives events with
// their time and returns actions.
//
//   partition.OnRecords(page, time);  // Reads the stream continuously.
//   partition.OnMessage(from, message, time);
//   partition.OnTick(time);           // Every few milliseconds.
//   for (OnceAction& action : partition.TakeActions()) { ... }

#ifndef TANAGERLEDGE_SRC_EXECUTION_ONCE_PARTITION_H_
#define TANAGERLEDGE_SRC_EXECUTION_ONCE_PARTITION_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "execution_types.h"
#include "src/execution/intent_batcher.h"
#include "src/execution/partition_fold.h"
#include "tanagerledge/once.h"
#include "tanagerledge/ports.h"

namespace tanagerledge {

// Actions -------------------------------------------------------------------

// Append a record to the partition's stream and report the result to
// OnAppendResult.
struct OnceAppend {
  std::string record;
  // Passed to OnAppendResult; 0 for a batch of entries.
  std::int64_t proposal = 0;
};

struct OnceSend {
  NodeId to;
  wire::OnceMessage message;
};

using OnceAction = std::variant<OnceAppend, OnceSend>;

enum class AppendResult { kDone, kNothingWritten, kAmbiguous };

// The owner's response to a claim. The values are sent between nodes: only
// append new ones.
enum class ClaimAnswer {
  kGranted = 0,   // The attempt may run; no other attempt will.
  kStored = 1,    // An earlier attempt ended with this result.
  kUnknown = 2,   // An earlier attempt may have run.
  kMismatch = 3,  // The key was used for a different call.
  kNotOwner = 4,  // Another node owns the partition.
  kRefused = 5,  // The key cannot be admitted now. No earlier attempt is known.
};

// Machine -------------------------------------------------------------------

// How the owner admits keys.
enum class OnceMode {
  kLogged,  // A key is granted once its intent is on the log.
  // The log is unavailable. Keys are granted at once under the deputy's
  // promise.
  kOffLog,
  // The log is available again. New keys wait for it, while entries from the
  // outage are being written.
  kReturning,
};

class OncePartition {
 public:
  OncePartition(int partition, OnceProcess self, OnceTiming timing);

  // Sets the candidates for the seat, best first, and the nodes that are
  // believed to be live.
  void SetCandidates(std::vector<NodeId> candidates, std::vector<NodeId> live);

  // Handles records read from `next()` on. `at_end` is set if there are no
  // more.
  void OnRecords(const std::vector<LogRecord>& records,
                 bool at_end,
                 OnceTime time);
  // The records before `first_kept` have expired.
  void OnExpired(LogOffset first_kept);
  void OnAppendResult(std::int64_t proposal, AppendResult result);

  void OnMessage(const NodeId& from,
                 const wire::OnceMessage& message,
                 OnceTime time);
  void OnTick(OnceTime time);

  std::vector<OnceAction> TakeActions();

  LogOffset next() const { return this->fold.next(); }
  bool IsOwner() const {
    return this->fold.IsOwner(this->self) &&
           this->fold.epoch() != this->lost_epoch;
  }
  bool IsDeputy() const { return this->fold.IsDeputy(this->self); }
  // Whether this node has to read the stream.
  bool NeedsStream() const;
  OnceMode mode() const { return this->own_mode; }
  const PartitionFold& state() const { return this->fold; }

 private:
  // A claim that has not been answered yet.
  struct PendingClaim {
    NodeId from;
    OnceKeyId key;
    OnceAttempt attempt;
    Fingerprint fingerprint;
    std::optional<WallTime> mint;
    Instant until{};
  };

  struct Proposal {
    std::string record;
    std::int64_t number = 0;
    Instant sent{};
    bool may_be_logged = false;  // A copy may be on the log.
  };

  // Claims
  void OnClaim(const NodeId& from, const wire::OnceClaim& claim, OnceTime time);
  void Decide(const PendingClaim& pending, OnceTime time);
  void Admit(const PendingClaim& pending, OnceTime time);
  void AnswerRepeatedClaim(const PendingClaim& pending,
                           const KeyIndex::Entry& entry);
  void AddPendingClaim(const PendingClaim& pending);
  void DecidePendingClaims(const OnceKeyId& key, OnceTime time);
  void Answer(const PendingClaim& pending,
              ClaimAnswer answer,
              const OnceResult* result = nullptr);

  // Outcomes
  void OnFinish(const NodeId& from,
                const wire::OnceFinish& finish,
                OnceTime time);
  void OnStatus(const wire::OnceStatus& status, OnceTime time);
  void End(const OnceKeyId& key,
           const OnceAttempt& attempt,
           Fingerprint fingerprint,
           const OnceResult& result,
           OnceTime time);
  void RequestStatuses(OnceTime time);
  void Acknowledge(const OnceAttempt& attempt);

  // Owner
  void TickAsOwner(OnceTime time);
  void OnOwnRecord(const wire::OnceRecord& record, OnceTime time);
  void AppendBatch(OnceTime time);
  void RequestPromise(OnceTime time);
  void OnPromise(const NodeId& from,
                 const wire::OncePromise& promise,
                 OnceTime time);
  void EnterOffLogMode(OnceTime time);
  void ReturnToLog(OnceTime time);
  bool MayGoOffLog(Instant now) const;
  bool IsLogSlow(Instant now) const;
  void OnSeatLost();

  // Seats
  void TickSeat(OnceTime time);
  std::optional<SeatCause> SeatChangeCause(OnceTime time) const;
  bool MayPropose(OnceTime time);
  void Propose(SeatCause cause, OnceTime time);
  std::optional<OnceProcess> PickDeputy() const;
  void RequestStarts(OnceTime time);
  bool IsLive(const NodeId& node) const;
  bool IsProvenDead(const OnceProcess& process) const;
  bool HasUnsettledPromise() const;

  wire::OnceMessage NewMessage() const;
  void Send(const NodeId& to, wire::OnceMessage message);
  wire::OnceRecord NewRecord(OnceTime time) const;

  const int partition;
  const OnceProcess self;
  const OnceTiming timing;
  PartitionFold fold;
  std::vector<OnceAction> actions;

  // Log
  Instant last_read{};  // When the stream was last read to its end.
  std::optional<Instant> first_read;
  bool is_caught_up = false;

  // Peers
  std::vector<NodeId> candidates;
  std::vector<NodeId> live;
  // The newest start known of each node.
  std::map<NodeId, std::uint64_t> starts;
  Instant last_start_request{};

  // Owner
  IntentBatcher batcher;
  std::string batch_record;  // The record of the append in flight.
  std::int64_t record_count = 0;
  OnceMode own_mode = OnceMode::kLogged;
  // A seat that was lost because records were missed is not used again, because
  // keys admitted off the log under it are no longer protected.
  std::int64_t lost_epoch = -1;
  // When the last own record that was read back had been sent.
  Instant log_contact{};
  std::int64_t requested_promise = 0;
  std::int64_t settled_promise = 0;
  Instant last_promise_request{};
  Instant seated_at{};
  std::unordered_map<OnceKeyId, std::vector<PendingClaim>> pending_claims;
  Instant last_status_request{};

  // Deputy
  std::int64_t promised_epoch = -1;
  std::int64_t promised = 0;

  // Seats
  std::optional<Proposal> proposal;
  std::int64_t proposal_count = 0;
  Instant proposed_at{};
  std::optional<Instant> vacant_since;
  Instant seat_changed_at{};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_EXECUTION_ONCE_PARTITION_H_
