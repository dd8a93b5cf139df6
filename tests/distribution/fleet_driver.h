// Simulates a fleet of Distribution state machines in virtual time, with a
// lossy network and one log, and checks invariants at every step. Tests and
// benchmarks use it.

#ifndef TANAGERLEDGE_TESTS_DISTRIBUTION_FLEET_DRIVER_H_
#define TANAGERLEDGE_TESTS_DISTRIBUTION_FLEET_DRIVER_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "src/adapters/codec.h"
#include "src/distribution/distribution.h"

namespace tanagerledge::testing_fleet {

using std::chrono::milliseconds;

struct FleetOptions {
  std::size_t zones = 3;
  std::size_t nodes_per_zone = 4;
  std::uint64_t seed = 1;
  milliseconds latency{1};
  milliseconds jitter{2};
  milliseconds tick{50};
  double loss = 0;
  double duplication = 0;
  bool count_bytes = false;
  DistributionConfig config;
};

// An in-memory log that can fail and expire records.
struct FakeLog {
  std::vector<std::string> records;
  std::size_t first_kept = 0;
  bool down = false;
  std::size_t reads = 0;
  std::size_t checkpoints = 0;

  void Append(std::string record) {
    this->records.push_back(std::move(record));
  }
  void ExpireAll() { this->first_kept = this->records.size(); }

  tl::expected<LogPage, LogError> Read(const ReadLog& read) {
    ++this->reads;
    if (this->down) {
      return tl::unexpected(LogError{LogErrorKind::kUnavailable, "down", {}});
    }
    if (read.from.value < this->first_kept) {
      return tl::unexpected(
          LogError{LogErrorKind::kExpired, "expired", {this->first_kept}});
    }
    LogPage page;
    page.end = {this->records.size()};
    for (std::size_t i = read.from.value;
         i < this->records.size() && page.records.size() < read.max_records;
         ++i) {
      page.records.push_back({{i}, this->records[i]});
    }
    return page;
  }
};

struct FleetNode {
  NodeId id;
  Zone zone;
  std::unique_ptr<Distribution> machine;  // Null while the node is down.
  std::uint64_t start_count = 0;
  Instant started_at{};
  Instant paused_until{};
  std::optional<Instant> ready_at;
  Instant activated_at{};    // When its latest release became active.
  ReleaseNumber max_served;  // The newest ever served, over all starts.
  std::size_t sent = 0;
  std::size_t transfers = 0;
  std::size_t max_transfers = 0;
};

class FleetDriver {
 public:
  explicit FleetDriver(FleetOptions fleet_options)
      : options(std::move(fleet_options)), random(this->options.seed) {
    for (std::size_t i = 0;
         i < this->options.zones * this->options.nodes_per_zone; ++i) {
      FleetNode& node = this->nodes.emplace_back();
      node.id = {"10.0.0.1:" + std::to_string(10'000 + i)};
      node.zone = {"zone-" +
                   std::to_string(10 + i / this->options.nodes_per_zone)};
    }
    this->UpdateMembers();
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      this->Start(i);
    }
  }

  // Faults ------------------------------------------------------------------

  void Start(std::size_t index) {
    FleetNode& node = this->nodes[index];
    DistributionConfig config = this->options.config;
    config.node = node.id;
    config.zone = node.zone;
    config.seed = this->random();
    ++node.start_count;
    node.started_at = this->now;
    node.ready_at.reset();
    node.machine = std::make_unique<Distribution>(config, this->now);
    this->Deliver(index, MembersChanged{this->topology}, milliseconds(0));
    this->Deliver(index, TimePassed{},
                  milliseconds(this->random() % 1000 *
                               this->options.tick.count() / 1000));
  }

  void Kill(std::size_t index) { this->nodes[index].machine.reset(); }

  void Pause(std::size_t index, milliseconds time) {
    this->nodes[index].paused_until = this->now + time;
  }

  // Sends the current members to all nodes.
  void UpdateMembers() {
    std::vector<Member> members;
    for (const FleetNode& node : this->nodes) {
      Member& member = members.emplace_back();
      member.node = node.id;
      member.zone = node.zone;
      member.state = node.machine == nullptr && node.start_count > 0
                         ? MemberState::kDead
                         : MemberState::kAlive;
    }
    this->topology = std::make_shared<const Topology>(members);
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      this->Deliver(i, MembersChanged{this->topology}, milliseconds(0));
    }
  }

  // Appends a record and answers the pending long polls.
  void Append(std::string record) {
    this->log.Append(std::move(record));
    this->AnswerPolls();
  }

  void Expire() { this->log.ExpireAll(); }

  // Running -----------------------------------------------------------------

  void RunFor(milliseconds time) {
    const Instant end = this->now + time;
    while (!this->queue.empty() && this->queue.top().at <= end) {
      Pending pending = this->queue.top();
      this->queue.pop();
      this->now = std::max(this->now, pending.at);
      this->Step(pending);
    }
    this->now = end;
  }

  // Returns false if the condition did not become true within the limit.
  template <typename Condition>
  bool RunUntil(Condition condition, milliseconds limit) {
    constexpr milliseconds kStep{10};
    for (milliseconds spent{0}; spent < limit; spent += kStep) {
      if (condition()) {
        return true;
      }
      this->RunFor(kStep);
    }
    return condition();
  }

  bool AllServe(ReleaseNumber release) const {
    return std::ranges::all_of(this->nodes, [release](const FleetNode& node) {
      return node.machine == nullptr ||
             (node.machine->readiness() == Readiness::kReady &&
              node.machine->fold().State()->release >= release);
    });
  }

  std::size_t CountReadyNodes() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(this->nodes, [](const FleetNode& node) {
          return node.machine != nullptr &&
                 node.machine->readiness() == Readiness::kReady;
        }));
  }

  Instant Now() const { return this->now; }

  // Observations ------------------------------------------------------------

  FakeLog log;
  std::vector<FleetNode> nodes;
  std::vector<std::string> violations;  // Invariants that did not hold.
  std::array<std::size_t, kSendPurposeCount> messages{};
  std::array<std::size_t, kSendPurposeCount> bytes{};
  std::size_t log_bytes = 0;
  std::size_t cross_zone_pushes = 0;
  std::map<LogOffset, Verdict> verdicts;

 private:
  struct Pending {
    Instant at;
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::uint64_t start_count = 0;
    std::shared_ptr<const DistributionEvent> event;

    bool operator<(const Pending& other) const {
      return std::tie(this->at, this->order) > std::tie(other.at, other.order);
    }
  };

  struct Poll {
    std::size_t node = 0;
    std::uint64_t start_count = 0;
    ReadLog read;
    Instant until{};
  };

  void Deliver(std::size_t index, DistributionEvent event, milliseconds delay) {
    this->queue.push(
        {this->now + delay, ++this->order, index,
         this->nodes[index].start_count,
         std::make_shared<const DistributionEvent>(std::move(event))});
  }

  void Step(Pending& pending) {
    FleetNode& node = this->nodes[pending.node];
    const bool message = std::holds_alternative<MessageArrived>(*pending.event);
    // A message is delivered to a restarted node too, because it has the same
    // address. Other events belong to one start.
    const bool is_stale = node.machine == nullptr ||
                          (!message && node.start_count != pending.start_count);
    if (is_stale) {
      return;
    }
    if (this->now < node.paused_until) {
      pending.at = node.paused_until;
      this->queue.push(pending);
      return;
    }
    if (std::holds_alternative<TimePassed>(*pending.event)) {
      this->Deliver(pending.node, TimePassed{}, this->options.tick);
    }
    for (auto& action : node.machine->OnEvent(*pending.event, this->now)) {
      std::visit([&](auto& one) { this->Execute(pending.node, one); }, action);
    }
    if (!node.ready_at && node.machine->readiness() == Readiness::kReady) {
      node.ready_at = this->now;
    }
    node.max_transfers =
        std::max(node.max_transfers, node.machine->transfers_in_use());
  }

  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) <
           probability;
  }

  milliseconds Delay() {
    return this->options.latency +
           milliseconds(this->random() % static_cast<std::uint64_t>(
                                             this->options.jitter.count() + 1));
  }

  std::size_t IndexOf(const NodeId& id) const {
    return std::stoul(id.value.substr(id.value.find(':') + 1)) - 10'000;
  }

  void Execute(std::size_t from, SendRelease& send) {
    const auto purpose = static_cast<std::size_t>(send.purpose);
    const std::size_t to = this->IndexOf(send.to);
    ++this->messages[purpose];
    ++this->nodes[from].sent;
    if (this->options.count_bytes) {
      this->bytes[purpose] += Encode(send.message).size();
    }
    if (send.message.__isset.state && !send.message.state.packed.empty()) {
      ++this->nodes[from].transfers;
    }
    if (send.message.__isset.push &&
        this->nodes[from].zone != this->nodes[to].zone) {
      ++this->cross_zone_pushes;
    }
    const int copies = this->Chance(this->options.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (!this->Chance(this->options.loss)) {
        this->Deliver(to, MessageArrived{this->nodes[from].id, send.message},
                      this->Delay());
      }
    }
  }

  void Execute(std::size_t from, ReadLog& read) {
    const bool hold = !this->log.down && read.wait.count() > 0 &&
                      read.from.value >= this->log.records.size();
    if (hold) {
      this->polls.push_back(
          {from, this->nodes[from].start_count, read, this->now + read.wait});
      return;
    }
    this->Answer(from, read);
  }

  void Answer(std::size_t to, const ReadLog& read) {
    auto page = this->log.Read(read);
    if (page) {
      for (const LogRecord& record : page->records) {
        this->log_bytes += record.bytes.size();
      }
    }
    this->Deliver(to, LogReadDone{read.purpose, std::move(page)},
                  this->Delay());
  }

  void AnswerPolls() {
    for (const Poll& poll : std::exchange(this->polls, {})) {
      if (this->nodes[poll.node].start_count == poll.start_count) {
        this->Answer(poll.node, poll.read);
      }
    }
  }

  void Execute(std::size_t from, AppendLog& append) {
    if (this->log.down) {
      this->Deliver(from,
                    LogAppendDone{tl::unexpected(
                        LogError{LogErrorKind::kUnavailable, "down", {}})},
                    this->Delay());
      return;
    }
    ++this->log.checkpoints;
    const LogOffset offset{this->log.records.size()};
    this->Append(std::move(append.record));
    this->Deliver(from, LogAppendDone{offset}, this->Delay());
  }

  void Execute(std::size_t index, ActivateState& put) {
    FleetNode& node = this->nodes[index];
    const FleetState& state = *put.state;
    if (state.release < node.max_served) {
      this->violations.push_back(node.id.value + " went back from release " +
                                 std::to_string(node.max_served.value) +
                                 " to " + std::to_string(state.release.value));
    }
    node.max_served = std::max(node.max_served, state.release);
    node.activated_at = this->now;
    const auto [known, inserted] =
        this->digests.try_emplace(state.release, state.digest);
    if (!inserted && known->second != state.digest) {
      this->violations.push_back("two states under one release number");
    }
    for (const auto& [name, route] : state.routes) {
      if (!std::ranges::binary_search(state.services, route.service) ||
          !state.ranks.contains(route.rank)) {
        this->violations.push_back("route " + name.value + " dangles");
      }
    }
  }

  void Execute(std::size_t /*index*/, ReportVerdict& report) {
    const auto [known, inserted] =
        this->verdicts.try_emplace(report.verdict.offset, report.verdict);
    if (!inserted && known->second != report.verdict) {
      this->violations.push_back("two verdicts on one record");
    }
  }

  FleetOptions options;
  std::mt19937_64 random;
  Instant now{std::chrono::hours(1)};
  std::shared_ptr<const Topology> topology;
  std::priority_queue<Pending> queue;
  std::uint64_t order = 0;
  std::vector<Poll> polls;
  std::map<ReleaseNumber, Digest> digests;
};

// Records -------------------------------------------------------------------

inline std::string PublishRecord(const std::string& id, wire::Note note) {
  wire::ReleaseRecord record;
  record.publish.publish_id = id;
  record.publish.operator_name = "eira";
  record.publish.note = std::move(note);
  record.__isset.publish = true;
  return Encode(record);
}

inline wire::Note AddServiceNote(std::int64_t base, const std::string& name) {
  wire::Note note;
  note.base = base;
  wire::ServiceChange& change = note.services.emplace_back();
  change.kind = wire::ChangeKind::ADD;
  change.item.name = name;
  return note;
}

// The n-th record of a series of notes that are all accepted.
inline std::string ServiceRecord(std::size_t n) {
  return PublishRecord("publish-" + std::to_string(n),
                       AddServiceNote(0, "service-" + std::to_string(n)));
}

}  // namespace tanagerledge::testing_fleet

#endif  // TANAGERLEDGE_TESTS_DISTRIBUTION_FLEET_DRIVER_H_
