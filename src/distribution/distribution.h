// The state machine that distributes releases. Every node runs one.
//
// A few readers in each zone long-poll the log. The primary reader pushes new
// records down its zone's forwarding tree and to the primary reader of the next
// zone. Nodes also exchange summaries with random peers (anti-entropy gossip),
// which detect a lost push, and pull the missing records. A node that is too
// far behind receives the whole state once. A restarted node does not serve
// until its restart floor is known and reached.
//
//   Distribution machine(config, now);
//   for (const DistributionAction& action : machine.OnEvent(event, now)) ...

#ifndef TANAGERLEDGE_SRC_DISTRIBUTION_DISTRIBUTION_H_
#define TANAGERLEDGE_SRC_DISTRIBUTION_DISTRIBUTION_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/distribution/checkpoint_clock.h"
#include "src/distribution/log_schedule.h"
#include "src/distribution/record_store.h"
#include "src/distribution/restart_floor.h"
#include "src/distribution/state_codec.h"
#include "src/distribution/topology.h"
#include "src/distribution/transfer_slots.h"
#include "tanagerledge/distribution.h"

namespace tanagerledge {

class Distribution {
 public:
  using Actions = std::vector<DistributionAction>;

  Distribution(DistributionConfig config, Instant start);
  Distribution(const Distribution&) = delete;
  Distribution& operator=(const Distribution&) = delete;

  // Handles an event and returns the actions to take. Send TimePassed every few
  // tens of milliseconds.
  Actions OnEvent(const DistributionEvent& event, Instant now);

  Readiness readiness() const;
  const Fold& fold() const { return this->own_fold; }
  const DistributionAlarms& alarms() const { return this->own_alarms; }
  bool IsReader() const;
  std::size_t transfers_in_use() const { return this->transfer_slots.in_use(); }

 private:
  // A pending request to a peer.
  struct PendingRequest {
    Instant timeout_at{};
    bool IsPending(Instant at) const { return at < this->timeout_at; }
    void Complete() { this->timeout_at = {}; }
  };

  // A range of records that the log no longer keeps and this node lacks.
  struct Gap {
    LogOffset end;     // The first record that the log still has.
    LogOffset cursor;  // Where reading the log continues meanwhile.
    Instant since{};
  };

  struct Handler {
    bool (*is_set)(const wire::ReleaseMessage& message);
    void (Distribution::*handle)(const NodeId& from,
                                 const wire::ReleaseMessage& message);
  };
  static const std::array<Handler, 9> kHandlers;

  // Events ------------------------------------------------------------------
  void On(const TimePassed& event);
  void On(const MembersChanged& event);
  void On(const MessageArrived& event);
  void On(const LogReadDone& event);
  void On(const LogAppendDone& event);

  void OnPush(const NodeId& from, const wire::ReleaseMessage& message);
  void OnSummary(const NodeId& from, const wire::ReleaseMessage& message);
  void OnRecordsRequest(const NodeId& from,
                        const wire::ReleaseMessage& message);
  void OnRecords(const NodeId& from, const wire::ReleaseMessage& message);
  void OnStateRequest(const NodeId& from, const wire::ReleaseMessage& message);
  void OnState(const NodeId& from, const wire::ReleaseMessage& message);
  void OnStateTaken(const NodeId& from, const wire::ReleaseMessage& message);
  void OnLogEndRequest(const NodeId& from, const wire::ReleaseMessage& message);
  void OnLogEnd(const NodeId& from, const wire::ReleaseMessage& message);

  void OnTailRead(const LogReadDone& event);
  void OnTailReadError(const LogError& error);
  void OnLogEndRead(const LogReadDone& event);

  // Records -----------------------------------------------------------------
  bool StoreRecord(LogOffset offset, std::string bytes);
  std::vector<LogOffset> StoreRecords(
      const std::vector<wire::StreamRecord>& records);
  std::string PrepareLogRecord(const LogRecord& record);
  void Adopt(const wire::Checkpoint& checkpoint);
  void ApplyStoredRecords();
  void ActivateIfNew();

  // Sending -----------------------------------------------------------------
  bool IsFirstPush(LogOffset offset);
  std::optional<std::vector<wire::StreamRecord>> RecordsFrom(LogOffset first);
  std::vector<wire::StreamRecord> RecordsAt(
      const std::vector<LogOffset>& offsets) const;
  void PushAsRoot(const std::vector<LogOffset>& offsets);
  void PushToChildren(const std::vector<wire::StreamRecord>& records,
                      const NodeId& root);
  void PushTo(const NodeId& to,
              const std::vector<wire::StreamRecord>& records,
              const NodeId& root);
  void SendSummary(const NodeId& to);
  void RequestRecords(const NodeId& from);
  void RequestState(const NodeId& from);
  const PackedState& PackedCurrentState();

  // Due work ----------------------------------------------------------------
  void RunDueWork();
  void RequestLogEnd();
  void PullMissingRecords();
  void ReadTail();
  void ReadLogEnd();
  void PushDueRecords();
  void WriteCheckpoint();
  void SendDueSummary();

  bool ReadsLogEndItself() const;
  bool HasPeers() const;
  std::optional<NodeId> RandomPeer(std::uint64_t calls_per_any_zone);
  std::optional<NodeId> NextReaderToAsk();
  std::size_t WriterRank() const;
  LogOffset TailReadOffset() const;
  std::chrono::milliseconds Jittered(std::chrono::milliseconds time);
  void Send(const NodeId& to,
            SendPurpose purpose,
            wire::ReleaseMessage message);

  const DistributionConfig config;
  std::mt19937_64 random;
  Instant now;
  Actions actions;
  std::shared_ptr<const Topology> topology;

  // State of this node
  Fold own_fold;
  RecordStore store;
  std::shared_ptr<const FleetState> active_state;
  DistributionAlarms own_alarms;

  // Restart
  RestartFloor restart_floor;
  bool serving = false;
  Instant members_settled_at;
  Instant next_log_end_request_at{};
  std::size_t log_end_requests_sent = 0;
  Instant next_pull_at{};
  NodeId preferred_peer;

  // Reading the log
  LogSchedule tail_schedule;
  LogSchedule log_end_schedule;
  LogOffset first_kept;
  std::optional<Gap> gap;
  // Nodes that wait for the log's end, with their tickets: the first map waits
  // for the next read, the second for the pending one.
  std::map<NodeId, std::int64_t> log_end_waiters;
  std::map<NodeId, std::int64_t> pending_log_end_waiters;
  CheckpointClock checkpoint_clock;
  bool appending = false;

  // Peers
  LogOffset max_peer_next;  // The greatest next offset that a peer reported.
  PendingRequest pending_records_request;
  PendingRequest pending_state_request;
  TransferSlots transfer_slots;
  PackedState packed_state;
  std::optional<LogOffset> packed_offset;
  std::map<LogOffset, Instant> push_due;  // When to push records read.
  std::set<LogOffset> pushed;             // Sent or received in a push.
  Instant next_summary_at;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_DISTRIBUTION_H_
