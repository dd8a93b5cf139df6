// Releases on one node: reads them, puts them in force in order, and passes
// them on to other nodes.
//
//   ReleaseHost host(loop, peers, log, config, [](auto state) { ... });
//   host.Start();
//   host.SetMembers(members);   // Whenever membership changes.
//
// Everything is called on the loop's thread, except `IsReady`.

#ifndef TANAGERLEDGE_SRC_NODE_RELEASE_HOST_H_
#define TANAGERLEDGE_SRC_NODE_RELEASE_HOST_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/adapters/fiber_io.h"
#include "tanagerledge/fold.h"
#include "tanagerledge/member.h"
#include "tanagerledge/ports.h"

namespace tanagerledge {

struct ReleaseHostConfig {
  NodeId node;
  Zone zone;
  std::string stream{kReleaseStream};
  std::uint64_t seed = 1;  // Of this node's random choices.
  std::chrono::milliseconds tick{50};
};

// What the host did, counted since its start.
struct ReleaseCounters {
  std::uint64_t log_reads = 0;
  std::uint64_t log_read_failures = 0;
  std::uint64_t log_appends = 0;
  std::uint64_t full_transfers_sent = 0;
  std::uint64_t full_transfers_taken = 0;
  std::uint64_t push_bytes = 0;
  std::uint64_t repair_bytes = 0;
  std::uint64_t summary_bytes = 0;
  std::uint64_t full_state_bytes = 0;
};

// For the admin page.
struct ReleaseStatus {
  bool ready = false;
  std::string not_ready_reason;  // Empty when ready.
  ReleaseNumber release;
  Digest digest{};
  LogOffset next_offset;
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

 private:
  void ReadForEver();
  void TakePage(const LogPage& page);
  void TakeRecord(const LogRecord& record);

  IoLoop& loop;
  [[maybe_unused]] PeerPort& peers;
  LogPort& log;
  ReleaseHostConfig config;
  Sink sink;
  Fold fold;
  std::vector<Member> members;
  std::deque<Verdict> history;
  ReleaseCounters counters;
  std::string reason = "the log has not answered since this node's start";
  std::atomic<bool> ready{false};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_RELEASE_HOST_H_
