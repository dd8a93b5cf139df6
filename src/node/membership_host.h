// Runs the membership machine on the control loop.
//
//   MembershipHost host(loop, peers, datagrams, config, on_change);
//   host.Start();
//   // Frames on Channel::kMembership and Channel::kReach go to OnPeerRequest.
//
// Everything here runs on the control thread.

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

// Bytes and messages for one purpose, both ways, without headers of UDP or TCP.
struct MembershipTraffic {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
};

struct MembershipCounters {
  std::array<MembershipTraffic, kMembershipPurposeCount> by_purpose;
  std::uint64_t malformed = 0;  // Dropped: not ours, or not decodable.
  std::uint64_t changes = 0;    // Calls of the change handler.
};

class MembershipHost {
 public:
  // Gets every member, this node's too. Called on the control thread after a
  // change, at most once in kChangeInterval however many updates came.
  using ChangeHandler = std::function<void(const std::vector<Member>&)>;

  static constexpr std::chrono::milliseconds kChangeInterval{200};

  MembershipHost(IoLoop& io_loop,
                 PeerPort& peer_port,
                 DatagramPort& datagram_port,
                 MembershipConfig machine_config,
                 ChangeHandler change_handler);
  ~MembershipHost();

  // Opens the datagram port and starts the fibers.
  tl::expected<void, std::string> Start();
  // Ends the fibers soon; the object must outlive the loop's Run.
  void Stop();

  // What this node says of itself: see Membership.
  void Announce(const Endpoint& endpoint);
  void Drain();
  void Leave();
  void SetInForce(ReleaseNumber release);
  // More nodes to join by, learned after the start.
  void AddSeeds(const std::vector<NodeId>& seeds);

  // Answers a frame on Channel::kMembership or Channel::kReach.
  std::string OnPeerRequest(const NodeId& from, std::string_view bytes);

  std::vector<Member> Members() const;
  bool isolated() const { return this->machine.isolated(); }

  // Asks each zone's summarizer; waits, so from a fiber of the control loop.
  ReachReport Reach(ReleaseNumber release);

  const MembershipCounters& counters() const { return this->traffic; }

 private:
  void RunTicks();
  void Perform(MembershipActions actions);
  void SendNow(const SendDatagram& action);
  void StartSync(SendSync action);
  void OnDatagram(const NodeId& from, std::string_view bytes);
  void ReportChange(Instant now);
  void CountSent(MembershipPurpose purpose, std::size_t bytes);
  void CountReceived(MembershipPurpose purpose, std::size_t bytes);
  ZoneReach AskZone(const ZoneSummarizer& zone, ReleaseNumber release);
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
  MembershipCounters traffic;
  Instant last_report{};
  bool stopped = false;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_MEMBERSHIP_HOST_H_
