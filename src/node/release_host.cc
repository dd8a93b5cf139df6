#include "src/node/release_host.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"

namespace tanagerledge {
namespace {

constexpr std::size_t kHistoryLength = 256;
constexpr std::size_t kMaxMessageBytes = 20 * 1024 * 1024;
constexpr std::chrono::milliseconds kLogTimeout{2000};

}  // namespace

ReleaseHost::ReleaseHost(IoLoop& io_loop,
                         PeerPort& peer_port,
                         LogPort& log_port,
                         ReleaseHostConfig host_config,
                         Sink state_sink)
    : loop(io_loop),
      peers(peer_port),
      log(log_port),
      config(std::move(host_config)),
      sink(std::move(state_sink)),
      machine(this->config.distribution, Now()) {}

void ReleaseHost::Start() {
  this->loop.Spawn([this] { this->TickForEver(); });
}

// Events --------------------------------------------------------------------

void ReleaseHost::TickForEver() {
  do {
    this->ShowMembers();
    this->Feed(TimePassed{});
  } while (this->loop.SleepFor(this->config.tick));
}

void ReleaseHost::SetMembers(std::vector<Member> new_members) {
  this->members = std::move(new_members);
  this->members_changed = true;
}

// Members change in bursts, and each view of them costs a sort.
void ReleaseHost::ShowMembers() {
  const Instant now = Now();
  if (!this->members_changed ||
      now - this->members_shown < this->config.members_pause) {
    return;
  }
  this->members_changed = false;
  this->members_shown = now;
  const NodeId& self = this->config.distribution.node;
  std::erase_if(this->members,
                [&self](const Member& member) { return member.node == self; });
  Member own;
  own.node = self;
  own.zone = this->config.distribution.zone;
  this->members.push_back(std::move(own));
  this->Feed(MembersChanged{std::make_shared<const Topology>(this->members)});
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
  this->Feed(MessageArrived{from, std::move(*decoded)});
}

// Every message of this channel is one-way: its answer is another message.
std::string ReleaseHost::OnPeerRequest(const NodeId& from,
                                       std::string_view request) {
  this->OnPeerMessage(from, request);
  return {};
}

// The sink and the ports may bring the next event before this one is done.
void ReleaseHost::Feed(DistributionEvent event) {
  this->events.push_back(std::move(event));
  if (this->feeding) {
    return;
  }
  this->feeding = true;
  while (!this->events.empty()) {
    const DistributionEvent next = std::move(this->events.front());
    this->events.pop_front();
    this->FeedOne(next);
  }
  this->feeding = false;
}

void ReleaseHost::FeedOne(const DistributionEvent& event) {
  const Distribution::Actions actions = this->machine.OnEvent(event, Now());
  for (const DistributionAction& action : actions) {
    std::visit([this](const auto& one) { this->Do(one); }, action);
  }
  this->ready.store(this->machine.readiness() == Readiness::kReady);
}

// Actions -------------------------------------------------------------------

void ReleaseHost::Do(const SendRelease& action) {
  std::string bytes = Encode(action.message);
  const auto purpose = static_cast<std::size_t>(action.purpose);
  ++this->counters.messages_sent[purpose];
  this->counters.bytes_sent[purpose] += bytes.size();
  this->peers.Send(action.to, Channel::kRelease, std::move(bytes));
}

void ReleaseHost::Do(const ReadLog& action) {
  this->loop.Spawn([this, action] {
    ++this->counters.log_reads;
    auto page =
        this->log.Read(this->config.stream, action.from, action.max_records,
                       action.wait, action.wait + kLogTimeout);
    this->counters.log_read_failures += page ? 0 : 1;
    this->Feed(LogReadDone{action.purpose, std::move(page)});
  });
}

void ReleaseHost::Do(const AppendLog& action) {
  this->loop.Spawn([this, record = action.record] {
    ++this->counters.log_appends;
    this->Feed(LogAppendDone{
        this->log.Append(this->config.stream, record, kLogTimeout)});
  });
}

void ReleaseHost::Do(const ActivateState& action) {
  this->sink(action.state);
}

void ReleaseHost::Do(const ReportVerdict& action) {
  this->history.push_back(action.verdict);
  if (this->history.size() > kHistoryLength) {
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
