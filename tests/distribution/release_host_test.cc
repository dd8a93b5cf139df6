// Runs ReleaseHost on real fibers: three nodes with one log, from a record in
// the log to the callbacks that receive the active state.

#include "src/node/release_host.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/distribution/fleet_driver.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_fleet::ServiceRecord;

// An in-memory log. It ends a long poll after 10 ms, so that the loop can stop.
class MemoryLog : public LogPort {
 public:
  explicit MemoryLog(IoLoop& io_loop) : loop(io_loop) {}

  tl::expected<LogOffset, LogError> Append(std::string_view,
                                           std::string_view record,
                                           milliseconds) override {
    this->records.emplace_back(record);
    return LogOffset{this->records.size() - 1};
  }

  tl::expected<LogPage, LogError> Read(std::string_view,
                                       LogOffset from,
                                       std::size_t max_records,
                                       milliseconds wait,
                                       milliseconds) override {
    if (wait.count() > 0 && from.value >= this->records.size()) {
      this->loop.SleepFor(milliseconds(10));
    }
    LogPage page;
    page.end = {this->records.size()};
    for (std::size_t i = from.value;
         i < this->records.size() && page.records.size() < max_records; ++i) {
      page.records.push_back({{i}, this->records[i]});
    }
    return page;
  }

  std::vector<std::string> records;

 private:
  IoLoop& loop;
};

class MemoryPeers : public PeerPort {
 public:
  MemoryPeers(IoLoop& io_loop,
              NodeId own_id,
              std::map<NodeId, ReleaseHost*>& all_hosts)
      : loop(io_loop), self(std::move(own_id)), hosts(all_hosts) {}

  void Send(const NodeId& to, Channel, std::string message) override {
    this->loop.Post([this, to, message = std::move(message)] {
      this->hosts.at(to)->OnPeerMessage(this->self, message);
    });
  }

  tl::expected<std::string, PeerError> Request(
      const NodeId&,
      Channel,
      std::string,
      std::chrono::microseconds) override {
    return tl::unexpected(PeerError{});
  }

 private:
  IoLoop& loop;
  NodeId self;
  std::map<NodeId, ReleaseHost*>& hosts;
};

class ReleaseHostTest : public testing::Test {
 protected:
  static constexpr std::size_t kNodes = 3;

  void StartNode(std::size_t index) {
    ReleaseHostConfig config;
    config.distribution.node = {"10.0.0.1:" + std::to_string(index)};
    config.distribution.zone = {"zone-" + std::to_string(index)};
    config.distribution.seed = index;
    const NodeId id = config.distribution.node;
    this->ports.push_back(
        std::make_unique<MemoryPeers>(this->loop, id, this->by_id));
    this->hosts.push_back(std::make_unique<ReleaseHost>(
        this->loop, *this->ports.back(), this->log, config,
        [this, index](const std::shared_ptr<const FleetState>& state) {
          this->activated_releases[index].push_back(state->release.value);
          this->OnStateActivated();
        }));
    this->by_id[id] = this->hosts.back().get();
  }

  // Publishes a second record once all nodes serve the first, and stops the
  // loop once all serve the second.
  void OnStateActivated() {
    const auto all_serve = [this](std::uint64_t release) {
      return std::ranges::all_of(
          this->activated_releases, [release](const auto& states) {
            return !states.empty() && states.back() >= release;
          });
    };
    if (all_serve(2)) {
      this->loop.Stop();
    } else if (all_serve(1) && this->log.records.size() == 1) {
      this->log.records.push_back(ServiceRecord(2));
    }
  }

  IoLoop loop;
  MemoryLog log{loop};
  std::map<NodeId, ReleaseHost*> by_id;
  std::vector<std::unique_ptr<MemoryPeers>> ports;
  std::vector<std::unique_ptr<ReleaseHost>> hosts;
  std::vector<std::vector<std::uint64_t>> activated_releases{kNodes};
};

TEST_F(ReleaseHostTest, TwoRecords_AreActivatedOnEveryNodeInOrder) {
  this->log.records.push_back(ServiceRecord(1));
  std::vector<Member> members(kNodes);
  for (std::size_t i = 0; i < kNodes; ++i) {
    this->StartNode(i);
    members[i].node = {"10.0.0.1:" + std::to_string(i)};
    members[i].zone = {"zone-" + std::to_string(i)};
  }
  for (const auto& host : this->hosts) {
    EXPECT_FALSE(host->IsReady());
    EXPECT_FALSE(host->NotReadyReason().empty());
    host->SetMembers(members);
    host->Start();
  }
  this->loop.Spawn([this] {
    this->loop.SleepFor(seconds(20));
    this->loop.Stop();
  });
  this->loop.Run();
  for (std::size_t i = 0; i < kNodes; ++i) {
    EXPECT_EQ(this->activated_releases[i], (std::vector<std::uint64_t>{1, 2}));
    EXPECT_TRUE(this->hosts[i]->IsReady());
    EXPECT_EQ(this->hosts[i]->Status().release.value, 2u);
    EXPECT_EQ(this->hosts[i]->Status().counters.undecodable_messages, 0u);
  }
}

TEST_F(ReleaseHostTest, UndecodablePeerMessage_IsCountedAndChangesNothing) {
  this->StartNode(0);
  this->hosts[0]->OnPeerMessage({"10.0.0.1:9"}, "\xff\xfe\x01noise");
  EXPECT_EQ(this->hosts[0]->Status().counters.undecodable_messages, 1u);
  EXPECT_EQ(this->hosts[0]->Status().next_offset.value, 0u);
}

}  // namespace
}  // namespace tanagerledge
