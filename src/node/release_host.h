// Reads releases from the log or from other nodes, puts them in force in order
// and passes them on to other nodes. Connects the state machine of
// src/distribution to the log, the peers and the clock.
//
//   ReleaseHost host(loop, peers, log, config, [](auto state) { ... });
//   host.Start();
//   host.SetMembers(members);   // After each change of membership.
//
// All methods are called on the loop's thread, except `IsReady`.

#ifndef TANAGERLEDGE_SRC_NODE_RELEASE_HOST_H_
#define TANAGERLEDGE_SRC_NODE_RELEASE_HOST_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/adapters/fiber_io.h"
#include "src/distribution/distribution.h"
#include "tanagerledge/fold.h"
#include "tanagerledge/member.h"
#include "tanagerledge/ports.h"

namespace tanagerledge {

struct ReleaseHostConfig {
  // Also holds this node's own id, availability zone and seed.
  DistributionConfig distribution;
  std::string stream{kReleaseStream};
  std::chrono::milliseconds tick{50};
  // Minimum time between two updates of the topology from the members.
  std::chrono::milliseconds topology_interval{200};
};

// Counters since the start of the host.
struct ReleaseCounters {
  std::uint64_t log_reads = 0;
  std::uint64_t log_read_failures = 0;
  std::uint64_t log_appends = 0;
  std::uint64_t undecodable_messages = 0;
  // Indexed by SendPurpose.
  std::array<std::uint64_t, kSendPurposeCount> messages_sent{};
  std::array<std::uint64_t, kSendPurposeCount> bytes_sent{};
};

// The state of the host for the admin pages and metrics.
struct ReleaseStatus {
  Readiness readiness = Readiness::kNoLogEnd;
  ReleaseNumber release;
  Digest digest{};
  LogOffset next_offset;
  bool reads_log = false;
  DistributionAlarms alarms;
  ReleaseCounters counters;
};

// The distribution of releases on one node.
class ReleaseHost {
 public:
  // Called with each new state in force, in order of releases.
  using StateHandler = std::function<void(std::shared_ptr<const FleetState>)>;

  ReleaseHost(IoLoop& loop,
              PeerPort& peers,
              LogPort& log,
              ReleaseHostConfig config,
              StateHandler on_state);

  // Starts the host's fibers, which end when the loop stops.
  void Start();

  void SetMembers(std::vector<Member> members);
  void OnPeerMessage(const NodeId& from, std::string_view message);
  std::string OnPeerRequest(const NodeId& from, std::string_view request);

  // True once the node may serve calls: it has every release that it may have
  // served before a restart. Thread-safe.
  bool IsReady() const { return this->ready.load(); }
  std::string NotReadyReason() const;

  // The most recent verdicts, oldest first.
  std::vector<Verdict> History() const;
  ReleaseStatus Status() const;

  // The verdict on a publish id, or nothing when it is unknown or too old. The
  // verdict is known even if this node never read the record; only nodes that
  // read it have the reasons for the verdict.
  std::optional<wire::JudgedPublish> FindJudged(
      std::string_view publish_id) const {
    return this->machine.fold().FindJudged(publish_id);
  }

 private:
  void RunTicks();
  void UpdateTopology();
  void EnqueueEvent(DistributionEvent event);
  void ProcessEvent(const DistributionEvent& event);

  void Perform(const SendRelease& action);
  void Perform(const ReadLog& action);
  void Perform(const AppendLog& action);
  void Perform(const ActivateState& action);
  void Perform(const ReportVerdict& action);

  IoLoop& loop;
  PeerPort& peers;
  LogPort& log;
  ReleaseHostConfig config;
  StateHandler on_state;
  Distribution machine;
  std::vector<Member> members;
  bool members_changed = false;
  Instant topology_updated_at{};
  std::deque<DistributionEvent> events;
  bool handling_events = false;
  std::deque<Verdict> history;
  ReleaseCounters counters;
  std::atomic<bool> ready{false};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_RELEASE_HOST_H_
