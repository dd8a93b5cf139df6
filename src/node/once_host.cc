#include "src/node/once_host.h"

#include <algorithm>
#include <utility>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"
#include "src/execution/rendezvous.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{5};
constexpr milliseconds kLongPollTimeout{200};
constexpr milliseconds kReadTimeout{1500};
constexpr milliseconds kReadRetryDelay{50};
constexpr milliseconds kIdlePollInterval{500};
constexpr milliseconds kAppendTimeout{2000};
constexpr milliseconds kVerdictMargin{500};
constexpr std::size_t kMaxRecordsPerRead = 256;
constexpr std::size_t kMaxCandidates = 3;
// Enough nodes to include some of other availability zones.
constexpr std::size_t kMaxRankedNodes = 64;

OnceTime CurrentTime() {
  return {Now(), std::chrono::system_clock::now()};
}

std::string StreamOf(int partition) {
  return "once-" + std::to_string(partition);
}

AppendResult ToAppendResult(const tl::expected<LogOffset, LogError>& offset) {
  if (offset) {
    return AppendResult::kDone;
  }
  return offset.error().kind == LogErrorKind::kAmbiguous
             ? AppendResult::kAmbiguous
             : AppendResult::kNothingWritten;
}

// Picks the candidates of a partition in rendezvous order. The best node of
// each availability zone comes first, so that owner and deputy are not both
// lost with one zone.
std::vector<NodeId> PickCandidates(
    int partition,
    const std::vector<NodeId>& live,
    const std::unordered_map<NodeId, Zone>& zones) {
  const std::vector<NodeId> ranked = BestNodesFor(
      static_cast<std::uint64_t>(partition), live, kMaxRankedNodes);
  std::vector<NodeId> picked;
  std::vector<NodeId> rest;
  std::vector<Zone> seen_zones;
  for (const NodeId& node : ranked) {
    const Zone& zone = zones.at(node);
    const bool is_new = std::ranges::find(seen_zones, zone) == seen_zones.end();
    (is_new ? picked : rest).push_back(node);
    seen_zones.push_back(zone);
  }
  picked.insert(picked.end(), rest.begin(), rest.end());
  picked.resize(std::min(picked.size(), kMaxCandidates));
  return picked;
}

}  // namespace

OnceHost::OnceHost(IoLoop& control_loop,
                   PeerPort& peer_port,
                   LogPort& log_port,
                   OnceConfig host_config)
    : control(control_loop),
      peers(peer_port),
      log(log_port),
      config(std::move(host_config)),
      process{this->config.self, this->config.incarnation.value},
      gate(this->process, this->config.timing) {
  for (int number = 0; number < kOncePartitions; ++number) {
    this->partitions.emplace_back(number, this->process, this->config.timing);
  }
}

void OnceHost::Start() {
  this->control.Spawn([this] {
    while (this->control.SleepFor(kTickInterval)) {
      this->Tick();
    }
  });
  for (int number = 0; number < kOncePartitions; ++number) {
    this->control.Spawn([this, number] { this->ReadStream(number); });
  }
}

// Peers ---------------------------------------------------------------------

void OnceHost::SetMembers(std::vector<Member> members) {
  std::unordered_map<NodeId, Zone> zones;
  zones[this->config.self] = this->config.zone;
  for (const Member& member : members) {
    if (IsLive(member)) {
      zones[member.node] = member.zone;
    }
  }
  std::vector<NodeId> live;
  std::ranges::transform(zones, std::back_inserter(live),
                         [](const auto& item) { return item.first; });
  for (int number = 0; number < kOncePartitions; ++number) {
    const std::vector<NodeId> best = PickCandidates(number, live, zones);
    this->gate.SetCandidates(number, best);
    this->partitions[static_cast<std::size_t>(number)].SetCandidates(best,
                                                                     live);
  }
}

std::string OnceHost::OnPeerRequest(const NodeId& /*from*/,
                                    std::string_view /*request*/) {
  return {};
}

void OnceHost::OnPeerMessage(const NodeId& from, std::string_view message) {
  const auto decoded = Decode<wire::OnceMessage>(message);
  if (decoded) {
    this->HandleMessage(from, *decoded);
    this->RunActions();
  }
}

void OnceHost::HandleMessage(const NodeId& from,
                             const wire::OnceMessage& message) {
  if (message.partition < 0 || message.partition >= kOncePartitions) {
    return;
  }
  const auto number = static_cast<std::size_t>(message.partition);
  this->partitions[number].OnMessage(from, message, CurrentTime());
  this->gate.OnMessage(from, message, CurrentTime());
}

void OnceHost::SendMessage(const OnceSend& send) {
  if (send.to != this->config.self) {
    this->peers.Send(send.to, Channel::kOnce, Encode(send.message));
    return;
  }
  this->control.Spawn([this, message = send.message] {
    this->HandleMessage(this->config.self, message);
    this->RunActions();
  });
}

// Request path --------------------------------------------------------------

OnceVerdict OnceHost::Begin(const OnceKey& key,
                            Fingerprint fingerprint,
                            Instant deadline) {
  if (key.value.size() > kMaxOnceKeyBytes) {
    return OnceRefusal{Outcome::kNotRun, Reason::kBadRequest,
                       "the idempotency key is too long"};
  }
  auto call = std::make_shared<Pending>();
  boost::fibers::future<OnceVerdict> verdict = call->verdict.get_future();
  this->control.Spawn([this, call, id = IdOf(key), fingerprint, deadline,
                       mint = MintTimeOf(key.value)] {
    const std::uint64_t number =
        this->gate.Begin(id, mint, fingerprint, deadline, CurrentTime());
    this->pending[number] = call;
    this->RunActions();
  });
  const bool is_ready = verdict.wait_until(deadline + kVerdictMargin) ==
                        boost::fibers::future_status::ready;
  if (!is_ready && !call->is_settled.exchange(true)) {
    return OnceRefusal{Outcome::kUnknown, Reason::kKeyUnsettled,
                       "the control thread did not answer in time"};
  }
  return verdict.get();
}

void OnceHost::Finish(const OnceTicket& ticket, OnceResult result) {
  this->control.Spawn([this, ticket, result = std::move(result)] {
    this->gate.Finish(ticket.attempt.number, result, CurrentTime());
    this->RunActions();
  });
}

void OnceHost::DeliverVerdict(const AttemptVerdict& decided) {
  const auto found = this->pending.find(decided.number);
  if (found == this->pending.end()) {
    return;
  }
  const std::shared_ptr<Pending> call = found->second;
  this->pending.erase(found);
  if (!call->is_settled.exchange(true)) {
    call->verdict.set_value(decided.verdict);
  } else if (std::holds_alternative<OnceTicket>(decided.verdict)) {
    const OnceResult not_run{Outcome::kNotRun, Reason::kDeadline, {}, false};
    this->gate.Finish(decided.number, not_run, CurrentTime());
  }
}

// Control thread ------------------------------------------------------------

void OnceHost::Tick() {
  this->gate.OnTick(CurrentTime());
  for (OncePartition& partition : this->partitions) {
    if (partition.NeedsStream()) {
      partition.OnTick(CurrentTime());
    }
  }
  this->RunActions();
}

void OnceHost::RunActions() {
  for (int number = 0; number < kOncePartitions; ++number) {
    OncePartition& partition =
        this->partitions[static_cast<std::size_t>(number)];
    for (const OnceAction& action : partition.TakeActions()) {
      if (const auto* append = std::get_if<OnceAppend>(&action)) {
        this->Append(number, *append);
      } else {
        this->SendMessage(std::get<OnceSend>(action));
      }
    }
  }
  for (const OnceSend& send : this->gate.TakeMessages()) {
    this->SendMessage(send);
  }
  for (const AttemptVerdict& decided : this->gate.TakeVerdicts()) {
    this->DeliverVerdict(decided);
  }
}

void OnceHost::Append(int number, const OnceAppend& append) {
  this->control.Spawn([this, number, append] {
    const auto offset =
        this->log.Append(StreamOf(number), append.record, kAppendTimeout);
    this->partitions[static_cast<std::size_t>(number)].OnAppendResult(
        append.proposal, ToAppendResult(offset));
  });
}

void OnceHost::ReadStream(int number) {
  const OncePartition& partition =
      this->partitions[static_cast<std::size_t>(number)];
  while (!this->control.stopping()) {
    if (partition.NeedsStream()) {
      this->ReadPage(number);
    } else {
      this->control.SleepFor(kIdlePollInterval);
    }
  }
}

void OnceHost::ReadPage(int number) {
  OncePartition& partition = this->partitions[static_cast<std::size_t>(number)];
  const LogOffset from = partition.next();
  const auto page = this->log.Read(StreamOf(number), from, kMaxRecordsPerRead,
                                   kLongPollTimeout, kReadTimeout);
  if (!page) {
    if (page.error().kind == LogErrorKind::kExpired) {
      partition.OnExpired(page.error().first_kept);
    }
    this->control.SleepFor(kReadRetryDelay);
    return;
  }
  const std::uint64_t read_to = page->records.empty()
                                    ? from.value
                                    : page->records.back().offset.value + 1;
  partition.OnRecords(page->records, read_to >= page->end.value, CurrentTime());
  this->RunActions();
}

}  // namespace tanagerledge
