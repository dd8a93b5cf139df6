// A few nodes, a log and callers in virtual time, with every fault that the
// at-most-once machines have to stand. One partition; the caller of a key sends
// it again to any node.

#ifndef TANAGERLEDGE_TESTS_EXECUTION_ONCE_SIMULATION_H_
#define TANAGERLEDGE_TESTS_EXECUTION_ONCE_SIMULATION_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/execution/once_gate.h"
#include "src/execution/once_partition.h"
#include "tanagerledge/once.h"

namespace tanagerledge {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

class OnceSimulation {
 public:
  enum class LogState { kUp, kSlow, kDown };

  struct Call {
    OnceKey key;
    int runs = 0;
    int tickets = 0;
    bool answered = false;  // The caller has the outcome of the run.
    int unknown = 0;
    microseconds first_answer{-1};
    microseconds sent{};
  };

  struct Options {
    int nodes = 4;
    std::uint64_t seed = 1;
    OnceTiming timing{seconds(60), milliseconds(250), seconds(10), 300};
    double loss = 0;          // Of messages between nodes.
    double append_loss = 0;   // Of answers to appends.
    double crash_in_run = 0;  // Of nodes while they run a call.
    double refusal = 0.05;    // Of runs, by the backend server.
    bool skewed_clocks = true;
  };

  explicit OnceSimulation(Options world_options)
      : options(world_options), random(world_options.seed) {
    for (int i = 0; i < this->options.nodes; ++i) {
      Node node;
      node.id = {"10.0.0." + std::to_string(i + 1) + ":1"};
      node.rate = this->options.skewed_clocks
                      ? 1.0 + (this->Chance() - 0.5) / 110
                      : 1.0;
      node.wall_offset =
          this->options.skewed_clocks
              ? milliseconds(this->Below(1900)) - milliseconds(950)
              : milliseconds(0);
      this->nodes.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      this->Start(i);
    }
  }

  // Faults -------------------------------------------------------------------

  void SetLog(LogState state) { this->log_state = state; }
  void SetRefusal(double share) { this->options.refusal = share; }
  void Pause(std::size_t node, microseconds time) {
    this->nodes[node].paused_until = this->now + time;
  }
  void Crash(std::size_t node) {
    this->nodes[node].up = false;
    ++this->nodes[node].life;
  }
  void Restart(std::size_t node) {
    if (!this->nodes[node].up) {
      this->Start(node);
    }
  }
  void SetIsland(std::size_t node, int island) {
    this->nodes[node].island = island;
  }
  void SetSeesLog(std::size_t node, bool sees) {
    this->nodes[node].sees_log = sees;
  }
  // Records before the newest `count` expire.
  void ExpireAllBut(std::size_t count) {
    const std::size_t end = this->log.size();
    this->first_kept =
        std::max(this->first_kept, end > count ? end - count : 0);
  }
  void Heal() {
    this->log_state = LogState::kUp;
    this->options.loss = 0;
    this->options.append_loss = 0;
    this->options.crash_in_run = 0;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      this->nodes[i].island = 0;
      this->nodes[i].sees_log = true;
      this->nodes[i].paused_until = this->now;
      this->Restart(i);
    }
  }

  // Calls --------------------------------------------------------------------

  // A new key; sent to `node`, or to any.
  std::size_t NewCall(bool has_mint_time = true) {
    Call call;
    call.sent = this->now;
    do {
      const milliseconds skew(this->options.skewed_clocks
                                  ? static_cast<int>(this->Below(6000)) - 3000
                                  : 0);
      call.key = {{"beryn"}, {"certifier"}, this->KeyText(has_mint_time, skew)};
    } while (PartitionOf(IdOf(call.key)) != 0);
    this->calls.push_back(call);
    return this->calls.size() - 1;
  }

  void Send(std::size_t call,
            std::size_t node,
            microseconds deadline = milliseconds(1500)) {
    Node& entry = this->nodes[node];
    if (!entry.up) {
      return;
    }
    this->OnNode(node, [this, call, node, deadline] {
      Node& at = this->nodes[node];
      const OnceTime time = this->TimeOf(at);
      const OnceKey& key = this->calls[call].key;
      const std::uint64_t number = at.gate->Begin(
          IdOf(key), MintTimeOf(key.value), {7},
          time.now + std::chrono::duration_cast<Instant::duration>(deadline),
          time);
      at.begun[number] = call;
      this->Pump(node);
    });
  }

  // Time ---------------------------------------------------------------------

  void RunFor(microseconds time) {
    const microseconds until = this->now + time;
    while (!this->events.empty() && this->events.top().at <= until) {
      Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.work();
    }
    this->now = until;
  }

  std::uint64_t Below(std::uint64_t bound) { return this->random() % bound; }
  double Chance() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  // Views --------------------------------------------------------------------

  std::size_t size() const { return this->nodes.size(); }
  bool IsUp(std::size_t node) const { return this->nodes[node].up; }
  OncePartition& PartitionAt(std::size_t node) {
    return *this->nodes[node].partition;
  }
  OnceGate& GateAt(std::size_t node) { return *this->nodes[node].gate; }
  // The node that owns the seat by its own view, or size().
  std::size_t Owner() const {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (this->nodes[i].up && this->nodes[i].partition->IsOwner()) {
        return i;
      }
    }
    return this->nodes.size();
  }
  std::size_t Deputy() const {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (this->nodes[i].up && this->nodes[i].partition->IsDeputy()) {
        return i;
      }
    }
    return this->nodes.size();
  }

  std::vector<Call> calls;
  std::uint64_t appends = 0;
  std::uint64_t append_bytes = 0;
  std::uint64_t messages = 0;
  std::uint64_t false_answers = 0;  // `ok` or not-run against the facts.
  microseconds now{0};

 private:
  struct Node {
    NodeId id;
    std::uint64_t starts = 0;
    std::uint64_t life = 0;
    bool up = false;
    bool sees_log = true;
    int island = 0;
    microseconds paused_until{0};
    double rate = 1.0;
    milliseconds wall_offset{0};
    bool reading = false;
    std::unique_ptr<OnceGate> gate;
    std::unique_ptr<OncePartition> partition;
    std::map<std::uint64_t, std::size_t> begun;  // Attempt number to call.
  };

  struct Event {
    microseconds at{};
    std::uint64_t order = 0;
    std::function<void()> work;

    bool operator<(const Event& other) const {
      return std::tie(this->at, this->order) > std::tie(other.at, other.order);
    }
  };

  static constexpr milliseconds kTick{10};
  static constexpr std::int64_t kEpochMillis = 1'790'000'000'000;

  void At(microseconds time, std::function<void()> work) {
    this->events.push({time, ++this->orders, std::move(work)});
  }
  void After(microseconds time, std::function<void()> work) {
    this->At(this->now + time, std::move(work));
  }

  // Runs on the node as it lives now, after its pause if it is paused.
  void OnNode(std::size_t index, std::function<void()> work) {
    const std::uint64_t life = this->nodes[index].life;
    this->OnLife(index, life, std::move(work));
  }
  void OnLife(std::size_t index,
              std::uint64_t life,
              std::function<void()> work) {
    const Node& node = this->nodes[index];
    if (!node.up || node.life != life) {
      return;
    }
    if (node.paused_until > this->now) {
      this->At(node.paused_until, [this, index, life, work = std::move(work)] {
        this->OnLife(index, life, work);
      });
      return;
    }
    work();
  }

  OnceTime TimeOf(const Node& node) const {
    const auto local = std::chrono::duration_cast<Instant::duration>(
        this->now * node.rate + seconds(1000));
    return {Instant(local),
            WallTime(milliseconds(kEpochMillis) + node.wall_offset +
                     std::chrono::duration_cast<milliseconds>(this->now))};
  }

  std::string KeyText(bool has_mint_time, milliseconds skew) {
    const std::int64_t mint =
        kEpochMillis + skew.count() +
        std::chrono::duration_cast<milliseconds>(this->now).count();
    char text[64];
    if (has_mint_time) {
      // The seeds that once failed were drawn in this order.
      const std::uint64_t low = this->random() >> 16;
      const std::uint64_t high = this->Below(0x1000);
      std::snprintf(text, sizeof(text), "%08llx-%04llx-7%03llx-8000-%012llx",
                    static_cast<unsigned long long>(mint >> 16),
                    static_cast<unsigned long long>(mint & 0xffff),
                    static_cast<unsigned long long>(high),
                    static_cast<unsigned long long>(low));
    } else {
      std::snprintf(text, sizeof(text), "opaque-%llx",
                    static_cast<unsigned long long>(this->random()));
    }
    return text;
  }

  void Start(std::size_t index) {
    Node& node = this->nodes[index];
    node.up = true;
    node.reading = false;
    ++node.life;
    ++node.starts;
    node.begun.clear();
    const OnceProcess process{node.id, node.starts};
    node.gate = std::make_unique<OnceGate>(process, this->options.timing);
    node.partition =
        std::make_unique<OncePartition>(0, process, this->options.timing);
    this->Tick(index, node.life);
  }

  // What membership would say: who is up, and not on another island.
  void Introduce(std::size_t index) {
    Node& node = this->nodes[index];
    std::vector<NodeId> live;
    for (const Node& other : this->nodes) {
      if (other.up && other.island == node.island) {
        live.push_back(other.id);
      }
    }
    std::vector<NodeId> best = live;
    best.resize(std::min<std::size_t>(best.size(), 3));
    node.gate->SetCandidates(0, best);
    node.partition->SetCandidates(best, live);
  }

  void Tick(std::size_t index, std::uint64_t life) {
    this->OnLife(index, life, [this, index, life] {
      Node& node = this->nodes[index];
      if (++this->ticks % 16 == 0 || node.begun.empty()) {
        this->Introduce(index);
      }
      node.gate->OnTick(this->TimeOf(node));
      node.partition->OnTick(this->TimeOf(node));
      this->Pump(index);
      this->Read(index);
      this->After(kTick, [this, index, life] { this->Tick(index, life); });
    });
  }

  // Log ----------------------------------------------------------------------

  microseconds LogDelay() {
    return this->log_state == LogState::kSlow
               ? milliseconds(this->Below(3000))
               : microseconds(500 + this->Below(3000));
  }
  bool Reaches(const Node& node) const {
    return node.sees_log && this->log_state != LogState::kDown;
  }

  void Read(std::size_t index) {
    Node& node = this->nodes[index];
    if (node.reading || !this->Reaches(node)) {
      return;
    }
    node.reading = true;
    const std::uint64_t life = node.life;
    const LogOffset from = node.partition->next();
    this->After(this->LogDelay(), [this, index, life, from] {
      const bool is_lost = !this->Reaches(this->nodes[index]);
      std::vector<LogRecord> records;
      const bool is_expired = from.value < this->first_kept;
      const LogOffset kept{this->first_kept};
      for (std::uint64_t at = from.value;
           !is_expired && at < this->log.size() && records.size() < 64; ++at) {
        records.push_back({{at}, this->log[at]});
      }
      const bool at_end = from.value + records.size() >= this->log.size();
      this->After(microseconds(500), [=, this, page = std::move(records)] {
        this->OnLife(index, life, [=, this] {
          Node& reader = this->nodes[index];
          reader.reading = false;
          if (is_lost) {
            return;
          }
          if (is_expired) {
            reader.partition->OnExpired(kept);
          } else {
            reader.partition->OnRecords(page, at_end, this->TimeOf(reader));
          }
          this->Pump(index);
        });
      });
    });
  }

  void Append(std::size_t index, const OnceAppend& append) {
    ++this->appends;
    this->append_bytes += append.record.size();
    const std::uint64_t life = this->nodes[index].life;
    const auto answer = [this, index, life, append](AppendResult end) {
      this->OnLife(index, life, [this, index, append, end] {
        this->nodes[index].partition->OnAppendResult(append.proposal, end);
      });
    };
    // Down before it came, or while it was on its way.
    if (!this->Reaches(this->nodes[index])) {
      const bool is_proved = this->Chance() < 0.5;
      this->After(milliseconds(2), [answer, is_proved] {
        answer(is_proved ? AppendResult::kNothingWritten
                         : AppendResult::kAmbiguous);
      });
      return;
    }
    this->After(this->LogDelay(), [this, append, answer] {
      if (this->log_state == LogState::kDown && this->Chance() < 0.5) {
        answer(AppendResult::kAmbiguous);
        return;
      }
      this->log.push_back(append.record);
      const bool is_lost = this->Chance() < this->options.append_loss;
      this->After(microseconds(500), [answer, is_lost] {
        answer(is_lost ? AppendResult::kAmbiguous : AppendResult::kDone);
      });
    });
  }

  // Messages -----------------------------------------------------------------

  void Pump(std::size_t index) {
    Node& node = this->nodes[index];
    for (const OnceAction& action : node.partition->TakeActions()) {
      if (const auto* append = std::get_if<OnceAppend>(&action)) {
        this->Append(index, *append);
      } else {
        this->Deliver(index, std::get<OnceSend>(action));
      }
    }
    for (const OnceSend& send : node.gate->TakeMessages()) {
      this->Deliver(index, send);
    }
    for (const AttemptVerdict& decided : node.gate->TakeVerdicts()) {
      this->OnDecided(index, decided);
    }
  }

  void Deliver(std::size_t from, const OnceSend& send) {
    const auto found = std::ranges::find(
        this->nodes, send.to, [](const Node& node) { return node.id; });
    if (found == this->nodes.end()) {
      return;
    }
    ++this->messages;
    const auto to = static_cast<std::size_t>(found - this->nodes.begin());
    const int copies = this->Chance() < this->options.loss   ? 0
                       : this->Chance() < this->options.loss ? 2
                                                             : 1;
    const bool is_late = this->Chance() < this->options.loss;
    for (int copy = 0; copy < copies; ++copy) {
      const microseconds delay =
          is_late ? milliseconds(this->Below(2000))
                  : microseconds(from == to ? 1 : 300 + this->Below(1500));
      this->After(delay, [this, from, to, message = send.message] {
        if (this->nodes[from].island != this->nodes[to].island) {
          return;
        }
        this->OnNode(to, [this, from, to, message] {
          Node& node = this->nodes[to];
          const OnceTime time = this->TimeOf(node);
          node.partition->OnMessage(this->nodes[from].id, message, time);
          node.gate->OnMessage(this->nodes[from].id, message, time);
          this->Pump(to);
        });
      });
    }
  }

  // Execution ----------------------------------------------------------------

  void OnDecided(std::size_t index, const AttemptVerdict& decided) {
    Node& node = this->nodes[index];
    const std::size_t which = node.begun.at(decided.number);
    Call& call = this->calls[which];
    if (call.first_answer.count() < 0) {
      call.first_answer = this->now - call.sent;
    }
    if (const auto* stored = std::get_if<OnceStored>(&decided.verdict)) {
      const bool is_ok = stored->result.outcome == Outcome::kOk;
      this->false_answers += is_ok && call.runs == 0 ? 1 : 0;
      this->false_answers += stored->result.outcome == Outcome::kNotRun ? 1 : 0;
      call.answered = call.answered || is_ok;
      call.unknown += is_ok ? 0 : 1;
      return;
    }
    if (const auto* refusal = std::get_if<OnceRefusal>(&decided.verdict)) {
      const bool is_not_run = refusal->outcome == Outcome::kNotRun;
      this->false_answers += is_not_run && call.runs > 0 ? 1 : 0;
      ++call.unknown;
      return;
    }
    ++call.tickets;
    const Instant run_by = std::get<OnceTicket>(decided.verdict).run_by;
    const std::uint64_t number = decided.number;
    const std::uint64_t life = node.life;
    // Between the verdict and the backend server the node may be paused for
    // long.
    this->After(microseconds(this->Below(3000)), [=, this] {
      this->OnLife(index, life, [=, this] {
        this->RunAtBackend(index, which, number, run_by);
      });
    });
  }

  void RunAtBackend(std::size_t index,
                    std::size_t which,
                    std::uint64_t number,
                    Instant run_by) {
    Node& node = this->nodes[index];
    const std::uint64_t life = node.life;
    const bool is_refused = this->TimeOf(node).now >= run_by ||
                            this->Chance() < this->options.refusal;
    if (is_refused) {
      // The ticket itself says that no earlier attempt ran.
      this->false_answers += this->calls[which].runs > 0 ? 1 : 0;
    } else {
      ++this->calls[which].runs;
      if (this->Chance() < this->options.crash_in_run) {
        this->Crash(index);
        return;
      }
    }
    this->After(milliseconds(1 + this->Below(50)), [=, this] {
      this->OnLife(index, life, [=, this] {
        Node& at = this->nodes[index];
        const OnceResult ran{Outcome::kOk, Reason::kNone, "done", false};
        const OnceResult refused{Outcome::kNotRun, Reason::kBackendRefused, "",
                                 false};
        at.gate->Finish(number, is_refused ? refused : ran, this->TimeOf(at));
        Call& call = this->calls[which];
        call.answered = call.answered || !is_refused;
        this->Pump(index);
      });
    });
  }

  Options options;
  std::mt19937_64 random;
  std::vector<Node> nodes;
  std::priority_queue<Event> events;
  std::uint64_t orders = 0;
  std::uint64_t ticks = 0;
  std::vector<std::string> log;
  std::size_t first_kept = 0;
  LogState log_state = LogState::kUp;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_TESTS_EXECUTION_ONCE_SIMULATION_H_
