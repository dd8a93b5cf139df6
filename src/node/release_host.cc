#include "src/node/release_host.h"

#include <utility>

namespace tanagerledge {
namespace {

constexpr std::size_t kHistoryLength = 256;
constexpr std::size_t kRecordsPerRead = 500;
constexpr std::chrono::milliseconds kLongPoll{10'000};
constexpr std::chrono::milliseconds kReadTimeout{12'000};
constexpr std::chrono::milliseconds kRetryPause{500};

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
      sink(std::move(state_sink)) {}

void ReleaseHost::Start() {
  this->loop.Spawn([this] { this->ReadForEver(); });
}

void ReleaseHost::SetMembers(std::vector<Member> new_members) {
  this->members = std::move(new_members);
}

void ReleaseHost::OnPeerMessage(const NodeId& /*from*/,
                                std::string_view /*message*/) {}

std::string ReleaseHost::OnPeerRequest(const NodeId& /*from*/,
                                       std::string_view /*request*/) {
  return {};
}

void ReleaseHost::ReadForEver() {
  while (!this->loop.stopping()) {
    ++this->counters.log_reads;
    const auto wait =
        this->ready.load() ? kLongPoll : std::chrono::milliseconds(0);
    const auto page =
        this->log.Read(this->config.stream, this->fold.next_offset(),
                       kRecordsPerRead, wait, kReadTimeout);
    if (page) {
      this->TakePage(*page);
      continue;
    }
    ++this->counters.log_read_failures;
    this->loop.SleepFor(kRetryPause);
  }
}

void ReleaseHost::TakePage(const LogPage& page) {
  for (const LogRecord& record : page.records) {
    this->TakeRecord(record);
  }
  if (!this->ready.load() && this->fold.next_offset() >= page.end) {
    this->sink(this->fold.State());
    this->ready.store(true);
  }
}

void ReleaseHost::TakeRecord(const LogRecord& record) {
  const auto before = this->fold.State();
  if (auto verdict = this->fold.Apply(record.offset, record.bytes)) {
    this->history.push_back(std::move(*verdict));
    if (this->history.size() > kHistoryLength) {
      this->history.pop_front();
    }
  }
  if (this->ready.load() && this->fold.State() != before) {
    this->sink(this->fold.State());
  }
}

std::string ReleaseHost::NotReadyReason() const {
  return this->ready.load() ? std::string() : this->reason;
}

std::vector<Verdict> ReleaseHost::History() const {
  return {this->history.begin(), this->history.end()};
}

ReleaseStatus ReleaseHost::Status() const {
  ReleaseStatus status;
  status.ready = this->IsReady();
  status.not_ready_reason = this->NotReadyReason();
  status.release = this->fold.State()->release;
  status.digest = this->fold.State()->digest;
  status.next_offset = this->fold.next_offset();
  status.counters = this->counters;
  return status;
}

}  // namespace tanagerledge
