// Releases on one node: reads them, puts them in force in order, and passes
// them on to other nodes.
//
// Wires the machine of src/distribution to the ports.
//
//   ReleaseHost host(loop, peers, log, config, [](auto state) { ... });
//   host.Start();
//   host.SetMembers(members);   // Whenever membership changes.
//
// Everything is called on the loop's thread, except `IsReady`.

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
  DistributionConfig distribution;  // Own node, zone, seed, intervals.
  std::string stream{kReleaseStream};
  std::chrono::milliseconds tick{50};
  std::chrono::milliseconds members_pause{200};  // Between two views of them.
};

// What the host did, counted since its start.
struct ReleaseCounters {
  std::uint64_t log_reads = 0;
  std::uint64_t log_read_failures = 0;
  std::uint64_t log_appends = 0;
  std::uint64_t undecodable_messages = 0;
  // By SendPurpose.
  std::array<std::uint64_t, kSendPurposeCount> messages_sent{};
  std::array<std::uint64_t, kSendPurposeCount> bytes_sent{};
};

// For the admin page.
struct ReleaseStatus {
  Readiness readiness = Readiness::kNoLogEnd;
  ReleaseNumber release;
  Digest digest{};
  LogOffset next_offset;
  bool reads_log = false;
  DistributionAlarms alarms;
  ReleaseCounters counters;
};

class ReleaseHost {
 public:
  // Gets each state put in force, in order.
  using Sink = std::function<void(std::shared_ptr<const FleetState>)>;

  ReleaseHost(IoLoop& loop,
              PeerPort& peers,
              LogPort& log,
              ReleaseHostConfig config,
              Sink sink);

  // Starts the host's fibers; they end when the loop stops.
  void Start();

  void SetMembers(std::vector<Member> members);
  void OnPeerMessage(const NodeId& from, std::string_view message);
  std::string OnPeerRequest(const NodeId& from, std::string_view request);

  // True once the node may serve: it has every release that it can have served
  // before a restart. From any thread.
  bool IsReady() const { return this->ready.load(); }
  std::string NotReadyReason() const;

  // The newest verdicts, oldest first.
  std::vector<Verdict> History() const;
  ReleaseStatus Status() const;

  // What became of a publish id, also when this node never saw the record; its
  // reasons are then with nodes that did. Nothing once it is forgotten.
  std::optional<wire::JudgedPublish> FindJudged(
      std::string_view publish_id) const {
    return this->machine.fold().FindJudged(publish_id);
  }

 private:
  void TickForEver();
  void ShowMembers();
  void Feed(DistributionEvent event);
  void FeedOne(const DistributionEvent& event);

  void Do(const SendRelease& action);
  void Do(const ReadLog& action);
  void Do(const AppendLog& action);
  void Do(const ActivateState& action);
  void Do(const ReportVerdict& action);

  IoLoop& loop;
  PeerPort& peers;
  LogPort& log;
  ReleaseHostConfig config;
  Sink sink;
  Distribution machine;
  std::vector<Member> members;
  bool members_changed = false;
  Instant members_shown{};
  std::deque<DistributionEvent> events;
  bool feeding = false;
  std::deque<Verdict> history;
  ReleaseCounters counters;
  std::atomic<bool> ready{false};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_RELEASE_HOST_H_
