// Tests MembershipHost over UDP on the loopback interface: nodes find each
// other by a seed.

#include "src/node/membership_host.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "fakes/reserved_address.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

// Passes each request directly to the host at that address, on the same loop.
class DirectPeers : public PeerPort {
 public:
  void Send(const NodeId&, Channel, std::string) override {}

  tl::expected<std::string, PeerError> Request(
      const NodeId& to,
      Channel,
      std::string request,
      std::chrono::microseconds) override {
    const auto found = this->hosts.find(to);
    if (found == this->hosts.end()) {
      return tl::unexpected(PeerError{PeerErrorKind::kNotSent, "no such node"});
    }
    return found->second->OnPeerRequest({"peer"}, request);
  }

  std::unordered_map<NodeId, MembershipHost*> hosts;
};

class MembershipHostTest : public testing::Test {
 protected:
  static constexpr std::size_t kNodes = 4;

  void SetUp() override {
    std::vector<NodeId> ids;
    for (std::size_t i = 0; i < kNodes; ++i) {
      ids.push_back({ReserveAddress()});
    }
    for (std::size_t i = 0; i < kNodes; ++i) {
      MembershipConfig config;
      config.self = ids[i];
      config.zone = {i % 2 == 0 ? "north" : "south"};
      config.fleet = "host-test";
      config.incarnation = {1000};
      config.seeds = {ids[0]};
      config.seed = i + 1;
      config.period = milliseconds(100);
      config.tick = milliseconds(10);
      config.probe_timeout = milliseconds(50);
      this->seen.emplace_back();
      this->ports.push_back(std::make_unique<UdpPort>(this->loop, ids[i]));
      this->hosts.push_back(std::make_unique<MembershipHost>(
          this->loop, this->peers, *this->ports[i], config,
          [this, i](const std::vector<Member>& members) {
            this->seen[i] = members;
            this->OnSeen();
          }));
      this->peers.hosts[ids[i]] = this->hosts[i].get();
    }
  }

  // Runs until `done` returns true, checked at each change, for at most a
  // minute.
  void RunUntil(std::function<bool()> done) {
    this->condition = std::move(done);
    this->loop.Spawn([this] {
      for (auto& host : this->hosts) {
        ASSERT_TRUE(host->Start().has_value());
      }
    });
    this->loop.Spawn([this] {
      this->loop.SleepFor(std::chrono::minutes(1));
      this->loop.Stop();
    });
    this->loop.Run();
  }

  void OnSeen() {
    if (this->condition && this->condition()) {
      this->condition_met = true;
      this->loop.Stop();
    }
  }

  bool AllSeeAlive(std::size_t count) const {
    return std::ranges::all_of(this->seen, [&](const auto& members) {
      return std::ranges::count(members, MemberState::kAlive, &Member::state) ==
             static_cast<std::ptrdiff_t>(count);
    });
  }

  IoLoop loop;
  DirectPeers peers;
  std::vector<std::unique_ptr<UdpPort>> ports;
  std::vector<std::unique_ptr<MembershipHost>> hosts;
  std::vector<std::vector<Member>> seen;
  std::function<bool()> condition;
  bool condition_met = false;
};

TEST_F(MembershipHostTest, NodesWithOneSeed_FindEachOther) {
  this->RunUntil([this] { return this->AllSeeAlive(kNodes); });
  EXPECT_TRUE(this->condition_met);
  EXPECT_GT(this->hosts[1]->counters().by_purpose[0].sent_bytes, 0u);
}

TEST_F(MembershipHostTest, DrainingBackend_IsReportedToEveryNode) {
  Endpoint endpoint;
  endpoint.service = {"claims"};
  endpoint.slots = 13;
  this->hosts[3]->Announce(endpoint);
  this->hosts[3]->Drain();
  const auto is_draining = [](const Member& member) {
    return member.endpoint &&
           member.endpoint->state == EndpointState::kDraining;
  };
  this->RunUntil([&] {
    return std::ranges::all_of(this->seen, [&](const auto& members) {
      return std::ranges::any_of(members, is_draining);
    });
  });
  EXPECT_TRUE(this->condition_met);
}

}  // namespace
}  // namespace tanagerledge
