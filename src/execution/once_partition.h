// One node's part in one partition: it may own the seat, stand by as deputy, or
// only watch. Events and a time come in, actions go out.
//
//   partition.OnRecords(page, time);          // Reading never stops.
//   partition.OnMessage(from, message, time);
//   partition.OnTick(time);                   // Every few milliseconds.
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

// Append to the partition's stream, and report with OnAppendResult.
struct OnceAppend {
  std::string record;
  std::int64_t proposal = 0;  // Hand it back; 0 for a batch of entries.
};

struct OnceSend {
  NodeId to;
  wire::OnceMessage message;
};

using OnceAction = std::variant<OnceAppend, OnceSend>;

enum class AppendResult { kDone, kNothingWritten, kAmbiguous };

// What the owner says to a claim. Values travel: append only.
enum class ClaimAnswer {
  kGranted = 0,   // Run it, and nobody else will.
  kStored = 1,    // An earlier attempt ended like this.
  kUnknown = 2,   // An earlier attempt may have run.
  kMismatch = 3,  // The key belongs to another call.
  kNotOwner = 4,  // Ask elsewhere.
  kRefused = 5,   // Cannot be admitted now; nothing is known against it.
};

// Machine -------------------------------------------------------------------

// The owner's ways of admitting a key.
enum class OnceMode {
  kLogged,     // The log takes the intent first.
  kOffLog,     // The log is away; the deputy's promise holds.
  kReturning,  // The log is back: new keys wait for it, older ones drain.
};

class OncePartition {
 public:
  OncePartition(int partition, OnceProcess self, OnceTiming timing);

  // Candidates for the seats, best first; and who is believed to live.
  void SetCandidates(std::vector<NodeId> candidates, std::vector<NodeId> live);

  // Records read from `next()` on; `at_end` when there are no more.
  void OnRecords(const std::vector<LogRecord>& records,
                 bool at_end,
                 OnceTime time);
  // The log keeps nothing before `first_kept`.
  void OnExpired(LogOffset first_kept);
  void OnAppendResult(std::int64_t proposal, AppendResult end);

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
  // A claim that has no answer yet.
  struct Waiter {
    NodeId from;
    OnceKeyId key;
    OnceAttempt attempt;
    Fingerprint fingerprint;
    std::optional<WallTime> mint;
    Instant until{};
  };

  struct Proposal {
    std::string record;
    std::int64_t mark = 0;
    Instant sent{};
    bool may_stand = false;  // A copy of it may be on the log.
  };

  // Claims
  void OnClaim(const NodeId& from, const wire::OnceClaim& claim, OnceTime time);
  void Decide(const Waiter& waiter, OnceTime time);
  void Admit(const Waiter& waiter, OnceTime time);
  void AnswerRepeat(const Waiter& waiter, const KeyIndex::Entry& entry);
  void Park(const Waiter& waiter);
  void Resolve(const OnceKeyId& key, OnceTime time);
  void Answer(const Waiter& waiter,
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
  void AskStatuses(OnceTime time);
  void Acknowledge(const OnceAttempt& attempt);

  // Owner
  void TickAsOwner(OnceTime time);
  void OnOwnRecord(const wire::OnceRecord& record, OnceTime time);
  void AppendBatch(OnceTime time);
  void AskPromise(OnceTime time);
  void OnPromise(const NodeId& from,
                 const wire::OncePromise& promise,
                 OnceTime time);
  void GoOffLog(OnceTime time);
  void ComeBack(OnceTime time);
  bool MayGoOffLog(Instant now) const;
  bool IsLogSlow(Instant now) const;
  void LoseSeat();

  // Seats
  void TickSeats(OnceTime time);
  std::optional<SeatCause> CauseToTakeSeat(OnceTime time) const;
  bool IsTurn(OnceTime time);
  void Propose(SeatCause cause, OnceTime time);
  std::optional<OnceProcess> PickDeputy() const;
  void AskStarts(OnceTime time);
  bool IsLive(const NodeId& node) const;
  bool IsProvenDead(const OnceProcess& process) const;
  bool HasPromiseOut() const;

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
  std::map<NodeId, std::uint64_t> starts;  // The newest heard from each.
  Instant last_start_ask{};

  // Owner
  IntentBatcher batcher;
  std::string batch;  // The record under way.
  std::int64_t records = 0;
  OnceMode own_mode = OnceMode::kLogged;
  // A seat lost by missing records is not taken up again: what was admitted
  // off the log meanwhile is no longer owed to it.
  std::int64_t lost_epoch = -1;
  Instant contact{};  // Sent time of the last own record read back.
  std::int64_t asked_promise = 0;
  std::int64_t settled_promise = 0;
  Instant last_promise_ask{};
  Instant seated{};
  std::unordered_map<OnceKeyId, std::vector<Waiter>> waiters;
  Instant last_status_ask{};

  // Deputy
  std::int64_t promised_epoch = -1;
  std::int64_t promised = 0;

  // Seats
  std::optional<Proposal> proposal;
  std::int64_t proposals = 0;
  Instant proposed{};
  std::optional<Instant> vacant_since;
  Instant seat_seen{};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_EXECUTION_ONCE_PARTITION_H_
