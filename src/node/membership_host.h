// Runs the membership state machine of tanagerledge/membership.h on the control
// loop and connects it to the network.
//
//   MembershipHost host(loop, peers, datagrams, config, on_change);
//   host.Start();
//   // Pass requests on Channel::kMembership and Channel::kReach to
//   // OnPeerRequest.
//
// All methods are called on the control thread.

#ifndef TANAGERLEDGE_SRC_NODE_MEMBERSHIP_HOST_H_
#define TANAGERLEDGE_SRC_NODE_MEMBERSHIP_HOST_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "src/adapters/datagram.h"
#include "src/adapters/fiber_io.h"
#include "tanagerledge/membership.h"
#include "tanagerledge/ports.h"

namespace tanagerledge {

// Messages and bytes sent and received for one purpose, without the headers of
// UDP and TCP.
struct MembershipTraffic {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
};

struct MembershipCounters {
  std::array<MembershipTraffic, kMembershipPurposeCount> by_purpose;
  // Messages dropped because they could not be decoded, were too large or came
  // from another fleet.
  std::uint64_t malformed = 0;
  std::uint64_t changes = 0;  // Calls of the change handler.
};

class MembershipHost {
 public:
  // Receives all members, including this node. Called on the control thread
  // after a change, at most once per kChangeInterval.
  using ChangeHandler = std::function<void(const std::vector<Member>&)>;

  static constexpr std::chrono::milliseconds kChangeInterval{200};

  MembershipHost(IoLoop& io_loop,
                 PeerPort& peer_port,
                 DatagramPort& datagram_port,
                 MembershipConfig membership_config,
                 ChangeHandler change_handler);
  ~MembershipHost();

  // Opens the datagram port and starts the host's fibers.
  tl::expected<void, std::string> Start();
  // Closes the datagram port and makes the fibers end at their next step. The
  // object must outlive the loop's Run.
  void Stop();

  // Publish the state of this node to the fleet: see Membership.
  void Announce(const Endpoint& endpoint);
  void Drain();
  void Leave();
  void SetInForce(ReleaseNumber release);
  // Sets what probes carry of this node's quarantines, and who learns the
  // digest of another node. A digest of 0 is not sent.
  void SetQuarantineDigest(
      std::function<std::int64_t()> own,
      std::function<void(const NodeId& from, std::int64_t digest)> received) {
    this->own_digest = std::move(own);
    this->on_digest = std::move(received);
  }
  // Adds seed nodes that were learned after the start.
  void AddSeeds(const std::vector<NodeId>& seeds);

  // Answers a request on Channel::kMembership or Channel::kReach.
  std::string OnPeerRequest(const NodeId& from, std::string_view bytes);

  std::vector<Member> Members() const;
  bool isolated() const { return this->machine.isolated(); }

  // Asks the summarizer of each availability zone how far the release has
  // spread. Waits for the answers, so it must be called from a fiber of the
  // control loop.
  ReachReport Reach(ReleaseNumber release);

  const MembershipCounters& counters() const { return this->traffic_counters; }

 private:
  void RunTicks();
  void Perform(MembershipActions actions);
  void SendNow(SendDatagram& action);
  void StartSync(SendSync action);
  void OnDatagram(const NodeId& from, std::string_view bytes);
  void ReportChange(Instant now);
  void CountSent(MembershipPurpose purpose, std::size_t bytes);
  void CountReceived(MembershipPurpose purpose, std::size_t bytes);
  ZoneReach QueryZone(const ZoneSummarizer& zone, ReleaseNumber release);
  std::optional<wire::ReachReply> QueryReach(const NodeId& node,
                                             ReleaseNumber release,
                                             bool redirected);

  IoLoop& loop;
  PeerPort& peers;
  DatagramPort& datagrams;
  std::string fleet;
  NodeId self;
  std::chrono::milliseconds tick;
  Membership machine;
  ChangeHandler on_change;
  std::function<std::int64_t()> own_digest = [] { return 0; };
  std::function<void(const NodeId&, std::int64_t)> on_digest =
      [](const NodeId&, std::int64_t) {};
  MembershipCounters traffic_counters;
  Instant last_report{};
  bool stopped = false;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_MEMBERSHIP_HOST_H_
