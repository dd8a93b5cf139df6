#include "src/node/release_host.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"

namespace tanagerledge {
namespace {

constexpr std::size_t kMaxHistory = 256;
constexpr std::size_t kMaxMessageBytes = 20 * 1024 * 1024;
constexpr std::chrono::milliseconds kLogTimeout{2000};

}  // namespace

ReleaseHost::ReleaseHost(IoLoop& io_loop,
                         PeerPort& peer_port,
                         LogPort& log_port,
                         ReleaseHostConfig host_config,
                         StateHandler state_handler)
    : loop(io_loop),
      peers(peer_port),
      log(log_port),
      config(std::move(host_config)),
      on_state(std::move(state_handler)),
      machine(this->config.distribution, Now()) {}

void ReleaseHost::Start() {
  this->loop.Spawn([this] { this->RunTicks(); });
}

// Events --------------------------------------------------------------------

void ReleaseHost::RunTicks() {
  do {
    this->UpdateTopology();
    this->EnqueueEvent(TimePassed{});
  } while (this->loop.SleepFor(this->config.tick));
}

void ReleaseHost::SetMembers(std::vector<Member> new_members) {
  this->members = std::move(new_members);
  this->members_changed = true;
}

// Passes changed members on as a new topology. Members change in bursts and
// each topology costs a sort, so there is a minimum interval between two of
// them.
void ReleaseHost::UpdateTopology() {
  const Instant now = Now();
  if (!this->members_changed ||
      now - this->topology_updated_at < this->config.topology_interval) {
    return;
  }
  this->members_changed = false;
  this->topology_updated_at = now;
  const NodeId& self = this->config.distribution.node;
  std::erase_if(this->members,
                [&self](const Member& member) { return member.node == self; });
  Member own;
  own.node = self;
  own.zone = this->config.distribution.zone;
  this->members.push_back(std::move(own));
  this->EnqueueEvent(
      MembersChanged{std::make_shared<const Topology>(this->members)});
}

void ReleaseHost::OnPeerMessage(const NodeId& from, std::string_view message) {
  if (message.size() > kMaxMessageBytes) {
    ++this->counters.undecodable_messages;
    return;
  }
  auto decoded = Decode<wire::ReleaseMessage>(message);
  if (!decoded) {
    ++this->counters.undecodable_messages;
    return;
  }
  this->EnqueueEvent(MessageArrived{from, std::move(*decoded)});
}

// Requests are handled like one-way messages, since all messages on this
// channel are one-way: an answer is sent as another message.
std::string ReleaseHost::OnPeerRequest(const NodeId& from,
                                       std::string_view request) {
  this->OnPeerMessage(from, request);
  return {};
}

// Handling an event may trigger another one through `on_state` or the ports.
// Such an event is queued until the current one is done.
void ReleaseHost::EnqueueEvent(DistributionEvent event) {
  this->events.push_back(std::move(event));
  if (this->handling_events) {
    return;
  }
  this->handling_events = true;
  while (!this->events.empty()) {
    const DistributionEvent next = std::move(this->events.front());
    this->events.pop_front();
    this->ProcessEvent(next);
  }
  this->handling_events = false;
}

void ReleaseHost::ProcessEvent(const DistributionEvent& event) {
  const Distribution::Actions actions = this->machine.OnEvent(event, Now());
  for (const DistributionAction& action : actions) {
    std::visit([this](const auto& each) { this->Perform(each); }, action);
  }
  this->ready.store(this->machine.readiness() == Readiness::kReady);
}

// Actions -------------------------------------------------------------------

void ReleaseHost::Perform(const SendRelease& action) {
  std::string bytes = Encode(action.message);
  const auto purpose = static_cast<std::size_t>(action.purpose);
  ++this->counters.messages_sent[purpose];
  this->counters.bytes_sent[purpose] += bytes.size();
  this->peers.Send(action.to, Channel::kRelease, std::move(bytes));
}

void ReleaseHost::Perform(const ReadLog& action) {
  this->loop.Spawn([this, action] {
    ++this->counters.log_reads;
    auto page =
        this->log.Read(this->config.stream, action.from, action.max_records,
                       action.wait, action.wait + kLogTimeout);
    this->counters.log_read_failures += page ? 0 : 1;
    this->EnqueueEvent(LogReadDone{action.purpose, std::move(page)});
  });
}

void ReleaseHost::Perform(const AppendLog& action) {
  this->loop.Spawn([this, record = action.record] {
    ++this->counters.log_appends;
    this->EnqueueEvent(LogAppendDone{
        this->log.Append(this->config.stream, record, kLogTimeout)});
  });
}

void ReleaseHost::Perform(const ActivateState& action) {
  this->on_state(action.state);
}

void ReleaseHost::Perform(const ReportVerdict& action) {
  this->history.push_back(action.verdict);
  if (this->history.size() > kMaxHistory) {
    this->history.pop_front();
  }
}

// Status --------------------------------------------------------------------

std::string ReleaseHost::NotReadyReason() const {
  const Readiness readiness = this->machine.readiness();
  return readiness == Readiness::kReady ? std::string() : ToText(readiness);
}

std::vector<Verdict> ReleaseHost::History() const {
  return {this->history.begin(), this->history.end()};
}

ReleaseStatus ReleaseHost::Status() const {
  ReleaseStatus status;
  status.readiness = this->machine.readiness();
  status.release = this->machine.fold().State()->release;
  status.digest = this->machine.fold().State()->digest;
  status.next_offset = this->machine.fold().next_offset();
  status.reads_log = this->machine.IsReader();
  status.alarms = this->machine.alarms();
  status.counters = this->counters;
  return status;
}

}  // namespace tanagerledge
