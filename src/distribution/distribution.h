// The machine that spreads releases: one on every node.
//
// A few readers in each zone hold a long poll on the log. The first of them
// pushes new records down a tree of its zone and to the next zone's reader;
// where a push is lost, summaries between random nodes find the gap and a pull
// closes it. A node that is too far behind is given the whole state once. A
// restarted node serves nothing before its floor is known and reached.
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

  // TimePassed is due every few tens of milliseconds.
  Actions OnEvent(const DistributionEvent& event, Instant now);

  Readiness readiness() const;
  const Fold& fold() const { return this->own_fold; }
  const DistributionAlarms& alarms() const { return this->own_alarms; }
  bool IsReader() const;
  std::size_t transfers_in_use() const { return this->slots.in_use(); }

 private:
  // A request to a peer that is not answered yet.
  struct OpenRequest {
    Instant until{};
    bool IsOpen(Instant at) const { return at < this->until; }
    void Close() { this->until = {}; }
  };

  // Records that the log no longer keeps and this node lacks.
  struct Gap {
    LogOffset end;     // The first record that the log still has.
    LogOffset cursor;  // Where reading goes on meanwhile.
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

  void OnTail(const LogReadDone& event);
  void OnTailError(const LogError& error);
  void OnEnd(const LogReadDone& event);

  // Records -----------------------------------------------------------------
  bool Offer(LogOffset offset, std::string bytes);
  std::vector<LogOffset> OfferAll(
      const std::vector<wire::StreamRecord>& records);
  std::string TakeFromLog(const LogRecord& record);
  void Adopt(const wire::Checkpoint& checkpoint);
  void Drain();
  void PutInForceIfNew();

  // Spreading ---------------------------------------------------------------
  bool IsFirstPush(LogOffset offset);
  std::optional<std::vector<wire::StreamRecord>> RangeFrom(LogOffset first);
  std::vector<wire::StreamRecord> RecordsAt(
      const std::vector<LogOffset>& offsets) const;
  void PushFromHere(const std::vector<LogOffset>& offsets);
  void PushToChildren(const std::vector<wire::StreamRecord>& records,
                      const NodeId& root);
  void PushTo(const NodeId& to,
              const std::vector<wire::StreamRecord>& records,
              const NodeId& root);
  void SendSummary(const NodeId& to);
  void RequestRecords(const NodeId& from);
  void RequestState(const NodeId& from);
  const PackedState& Packed();

  // What is due -------------------------------------------------------------
  void DoWhatIsDue();
  void SeekFloor();
  void SeekRecords();
  void ReadTail();
  void ReadEnd();
  void PushWhatIsDue();
  void WriteCheckpoint();
  void Summarize();

  bool ReadsEndItself() const;
  bool HasPeers() const;
  std::optional<NodeId> RandomPeer(std::uint64_t one_of_anywhere);
  std::optional<NodeId> ReaderToAsk();
  std::size_t WriterRank() const;
  LogOffset TailFrom() const;
  std::chrono::milliseconds Jittered(std::chrono::milliseconds time);
  void Send(const NodeId& to,
            SendPurpose purpose,
            wire::ReleaseMessage message);

  const DistributionConfig config;
  std::mt19937_64 random;
  Instant now;
  Actions actions;
  std::shared_ptr<const Topology> topology;

  // What this node has
  Fold own_fold;
  RecordStore store;
  std::shared_ptr<const FleetState> in_force;
  DistributionAlarms own_alarms;

  // Restart
  RestartFloor floor;
  bool serving = false;
  Instant settled_at;
  Instant ask_floor_at{};
  std::size_t floor_attempts = 0;
  Instant seek_at{};
  NodeId seek_hint;

  // Reading the log
  LogSchedule tail;
  LogSchedule log_end;
  LogOffset first_kept;
  std::optional<Gap> gap;
  std::map<NodeId, std::int64_t> end_waiters;    // Ticket of each.
  std::map<NodeId, std::int64_t> end_in_flight;  // Served by the running read.
  CheckpointClock checkpoint_clock;
  bool appending = false;

  // Peers
  LogOffset heard_next;  // The greatest that a peer said it has.
  OpenRequest records_request;
  OpenRequest state_request;
  TransferSlots slots;
  PackedState packed;
  std::optional<LogOffset> packed_at;
  std::map<LogOffset, Instant> push_due;  // When to push what was read.
  std::set<LogOffset> pushed;             // Seen in a push, or pushed.
  Instant summary_at;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_DISTRIBUTION_H_
