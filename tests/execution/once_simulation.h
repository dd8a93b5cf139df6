// Simulates a few nodes, a log and callers in virtual time, with all faults
// that at-most-once execution has to tolerate. There is one partition. The
// caller of a key may send it again to any node.

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
    bool answered = false;  // The caller received the outcome of the run.
    int unknown = 0;
    microseconds first_answer{-1};
    microseconds sent{};
  };

  struct Options {
    int nodes = 4;
    std::uint64_t seed = 1;
    OnceTiming timing{seconds(60), milliseconds(250), seconds(10), 300};
    double loss = 0;         // Fraction of messages between nodes.
    double append_loss = 0;  // Fraction of responses to appends.
    double crash_in_run =
        0;  // Fraction of runs during call_index the node crashes.
    double refusal = 0.05;  // Fraction of runs that the backend server refuses.
    bool skewed_clocks = true;
  };

  explicit OnceSimulation(Options simulation_options)
      : options(simulation_options), random(simulation_options.seed) {
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
    ++this->nodes[node].incarnation;
  }
  void Restart(std::size_t node) {
    if (!this->nodes[node].up) {
      this->Start(node);
    }
  }
  void SetNetworkSegment(std::size_t node, int segment) {
    this->nodes[node].segment = segment;
  }
  void SetLogReachable(std::size_t node, bool reachable) {
    this->nodes[node].log_reachable = reachable;
  }
  // Expires all records except the newest `count`.
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
      this->nodes[i].segment = 0;
      this->nodes[i].log_reachable = true;
      this->nodes[i].paused_until = this->now;
      this->Restart(i);
    }
  }

  // Calls --------------------------------------------------------------------

  // Creates a call with a new key. Send sends it.
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
    this->RunOnNode(node, [this, call, node, deadline] {
      Node& at = this->nodes[node];
      const OnceTime time = this->TimeOf(at);
      const OnceKey& key = this->calls[call].key;
      const std::uint64_t number = at.gate->Begin(
          IdOf(key), MintTimeOf(key.value), {7},
          time.now + std::chrono::duration_cast<Instant::duration>(deadline),
          time);
      at.begun[number] = call;
      this->ProcessActions(node);
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
  // Returns the node that considers itself the owner, or size().
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
  std::uint64_t false_answers = 0;  // `ok` or `not-run` answers that are wrong.
  microseconds now{0};

 private:
  struct Node {
    NodeId id;
    std::uint64_t starts = 0;
    std::uint64_t incarnation = 0;
    bool up = false;
    bool log_reachable = true;
    int segment = 0;
    microseconds paused_until{0};
    double rate = 1.0;
    milliseconds wall_offset{0};
    bool reading = false;
    std::unique_ptr<OnceGate> gate;
    std::unique_ptr<OncePartition> partition;
    // Maps the number of an attempt to the index of its call.
    std::map<std::uint64_t, std::size_t> begun;
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
    this->events.push({time, ++this->event_count, std::move(work)});
  }
  void After(microseconds time, std::function<void()> work) {
    this->At(this->now + time, std::move(work));
  }

  // Runs `work` on the current process of the node, after its pause if it is
  // paused.
  void RunOnNode(std::size_t index, std::function<void()> work) {
    const std::uint64_t incarnation = this->nodes[index].incarnation;
    this->RunInIncarnation(index, incarnation, std::move(work));
  }
  void RunInIncarnation(std::size_t index,
                        std::uint64_t incarnation,
                        std::function<void()> work) {
    const Node& node = this->nodes[index];
    if (!node.up || node.incarnation != incarnation) {
      return;
    }
    if (node.paused_until > this->now) {
      this->At(node.paused_until,
               [this, index, incarnation, work = std::move(work)] {
                 this->RunInIncarnation(index, incarnation, work);
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
      // These two draws keep their order, because PreviouslyFailingSeeds_Pass
      // depends on it.
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
    ++node.incarnation;
    ++node.starts;
    node.begun.clear();
    const OnceProcess process{node.id, node.starts};
    node.gate = std::make_unique<OnceGate>(process, this->options.timing);
    node.partition =
        std::make_unique<OncePartition>(0, process, this->options.timing);
    this->Tick(index, node.incarnation);
  }

  // Updates the candidates as membership would: nodes that are up and in the
  // same network segment.
  void UpdateMembership(std::size_t index) {
    Node& node = this->nodes[index];
    std::vector<NodeId> live;
    for (const Node& other : this->nodes) {
      if (other.up && other.segment == node.segment) {
        live.push_back(other.id);
      }
    }
    std::vector<NodeId> best = live;
    best.resize(std::min<std::size_t>(best.size(), 3));
    node.gate->SetCandidates(0, best);
    node.partition->SetCandidates(best, live);
  }

  void Tick(std::size_t index, std::uint64_t incarnation) {
    this->RunInIncarnation(index, incarnation, [this, index, incarnation] {
      Node& node = this->nodes[index];
      if (++this->ticks % 16 == 0 || node.begun.empty()) {
        this->UpdateMembership(index);
      }
      node.gate->OnTick(this->TimeOf(node));
      node.partition->OnTick(this->TimeOf(node));
      this->ProcessActions(index);
      this->Read(index);
      this->After(kTick, [this, index, incarnation] {
        this->Tick(index, incarnation);
      });
    });
  }

  // Log ----------------------------------------------------------------------

  microseconds LogDelay() {
    return this->log_state == LogState::kSlow
               ? milliseconds(this->Below(3000))
               : microseconds(500 + this->Below(3000));
  }
  bool Reaches(const Node& node) const {
    return node.log_reachable && this->log_state != LogState::kDown;
  }

  void Read(std::size_t index) {
    Node& node = this->nodes[index];
    if (node.reading || !this->Reaches(node)) {
      return;
    }
    node.reading = true;
    const std::uint64_t incarnation = node.incarnation;
    const LogOffset from = node.partition->next();
    this->After(this->LogDelay(), [this, index, incarnation, from] {
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
        this->RunInIncarnation(index, incarnation, [=, this] {
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
          this->ProcessActions(index);
        });
      });
    });
  }

  void Append(std::size_t index, const OnceAppend& append) {
    ++this->appends;
    this->append_bytes += append.record.size();
    const std::uint64_t incarnation = this->nodes[index].incarnation;
    const auto answer = [this, index, incarnation, append](AppendResult end) {
      this->RunInIncarnation(index, incarnation, [this, index, append, end] {
        this->nodes[index].partition->OnAppendResult(append.proposal, end);
      });
    };
    // The log went down before the append arrived or while it was in transit.
    if (!this->Reaches(this->nodes[index])) {
      const bool is_known = this->Chance() < 0.5;
      this->After(milliseconds(2), [answer, is_known] {
        answer(is_known ? AppendResult::kNothingWritten
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

  void ProcessActions(std::size_t index) {
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
    for (const AttemptVerdict& verdict : node.gate->TakeVerdicts()) {
      this->OnVerdict(index, verdict);
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
        if (this->nodes[from].segment != this->nodes[to].segment) {
          return;
        }
        this->RunOnNode(to, [this, from, to, message] {
          Node& node = this->nodes[to];
          const OnceTime time = this->TimeOf(node);
          node.partition->OnMessage(this->nodes[from].id, message, time);
          node.gate->OnMessage(this->nodes[from].id, message, time);
          this->ProcessActions(to);
        });
      });
    }
  }

  // Execution ----------------------------------------------------------------

  void OnVerdict(std::size_t index, const AttemptVerdict& verdict) {
    Node& node = this->nodes[index];
    const std::size_t call_index = node.begun.at(verdict.number);
    Call& call = this->calls[call_index];
    if (call.first_answer.count() < 0) {
      call.first_answer = this->now - call.sent;
    }
    if (const auto* stored = std::get_if<OnceStored>(&verdict.verdict)) {
      const bool is_ok = stored->result.outcome == Outcome::kOk;
      this->false_answers += is_ok && call.runs == 0 ? 1 : 0;
      this->false_answers += stored->result.outcome == Outcome::kNotRun ? 1 : 0;
      call.answered = call.answered || is_ok;
      call.unknown += is_ok ? 0 : 1;
      return;
    }
    if (const auto* refusal = std::get_if<OnceRefusal>(&verdict.verdict)) {
      const bool is_not_run = refusal->outcome == Outcome::kNotRun;
      this->false_answers += is_not_run && call.runs > 0 ? 1 : 0;
      ++call.unknown;
      return;
    }
    ++call.tickets;
    const Instant run_by = std::get<OnceTicket>(verdict.verdict).run_by;
    const std::uint64_t number = verdict.number;
    const std::uint64_t incarnation = node.incarnation;
    // The node may be paused for long between the verdict and the run on the
    // backend server.
    this->After(microseconds(this->Below(3000)), [=, this] {
      this->RunInIncarnation(index, incarnation, [=, this] {
        this->RunAtBackend(index, call_index, number, run_by);
      });
    });
  }

  void RunAtBackend(std::size_t index,
                    std::size_t call_index,
                    std::uint64_t number,
                    Instant run_by) {
    Node& node = this->nodes[index];
    const std::uint64_t incarnation = node.incarnation;
    const bool is_refused = this->TimeOf(node).now >= run_by ||
                            this->Chance() < this->options.refusal;
    if (is_refused) {
      // A ticket implies that no earlier attempt ran.
      this->false_answers += this->calls[call_index].runs > 0 ? 1 : 0;
    } else {
      ++this->calls[call_index].runs;
      if (this->Chance() < this->options.crash_in_run) {
        this->Crash(index);
        return;
      }
    }
    this->After(milliseconds(1 + this->Below(50)), [=, this] {
      this->RunInIncarnation(index, incarnation, [=, this] {
        Node& at = this->nodes[index];
        const OnceResult ran{Outcome::kOk, Reason::kNone, "done", false};
        const OnceResult refused{Outcome::kNotRun, Reason::kBackendRefused, "",
                                 false};
        at.gate->Finish(number, is_refused ? refused : ran, this->TimeOf(at));
        Call& call = this->calls[call_index];
        call.answered = call.answered || !is_refused;
        this->ProcessActions(index);
      });
    });
  }

  Options options;
  std::mt19937_64 random;
  std::vector<Node> nodes;
  std::priority_queue<Event> events;
  std::uint64_t event_count = 0;
  std::uint64_t ticks = 0;
  std::vector<std::string> log;
  std::size_t first_kept = 0;
  LogState log_state = LogState::kUp;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_TESTS_EXECUTION_ONCE_SIMULATION_H_
