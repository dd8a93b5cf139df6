#include "src/cli/release_reader.h"

#include <algorithm>
#include <utility>

#include "src/adapters/codec.h"

namespace tanagerledge {
namespace {

constexpr std::size_t kRecordsPerRead = 500;
constexpr std::chrono::milliseconds kReadTimeout{5000};

}  // namespace

ReleaseReader::ReleaseReader(LogPort& log_port) : log(log_port) {}

void ReleaseReader::RetainStates(std::set<ReleaseNumber> numbers) {
  this->retained_releases = std::move(numbers);
  this->RetainState();
}

tl::expected<ReadProgress, LogError> ReleaseReader::ReadPage(
    std::chrono::milliseconds wait) {
  auto page = this->Read(this->releases.next_offset(), wait);
  if (!page && page.error().kind == LogErrorKind::kExpired) {
    const auto adopted = this->AdoptCheckpoint(page.error().first_kept);
    if (!adopted) {
      return tl::unexpected(adopted.error());
    }
    page = this->Read(this->releases.next_offset(), wait);
  }
  if (!page) {
    return tl::unexpected(page.error());
  }
  ReadProgress progress;
  std::ranges::for_each(page->records, [&](const LogRecord& record) {
    auto verdict = this->releases.Apply(record.offset, record.bytes);
    if (verdict) {
      progress.verdicts.push_back(*verdict);
      this->all_verdicts.push_back(std::move(*verdict));
    }
    this->RetainState();
  });
  progress.next = this->releases.next_offset();
  progress.end = page->end;
  return progress;
}

tl::expected<void, LogError> ReleaseReader::CatchUp() {
  while (true) {
    const LogOffset before = this->releases.next_offset();
    const auto progress = this->ReadPage(std::chrono::milliseconds(0));
    if (!progress) {
      return tl::unexpected(progress.error());
    }
    if (progress->next >= progress->end || progress->next == before) {
      return {};
    }
  }
}

std::shared_ptr<const FleetState> ReleaseReader::StateOf(
    ReleaseNumber release) const {
  const auto found = this->retained_states.find(release);
  return found == this->retained_states.end() ? nullptr : found->second;
}

tl::expected<LogPage, LogError> ReleaseReader::Read(
    LogOffset from,
    std::chrono::milliseconds wait) {
  return this->log.Read(kReleaseStream, from, kRecordsPerRead, wait,
                        kReadTimeout + wait);
}

tl::expected<void, LogError> ReleaseReader::AdoptCheckpoint(
    LogOffset first_kept) {
  this->oldest_kept = first_kept;
  LogOffset next = first_kept;
  while (true) {
    const auto page = this->Read(next, std::chrono::milliseconds(0));
    if (!page) {
      return tl::unexpected(page.error());
    }
    for (const LogRecord& record : page->records) {
      const auto decoded = Decode<wire::ReleaseRecord>(record.bytes);
      if (!decoded || !decoded->__isset.checkpoint) {
        continue;
      }
      this->releases.Adopt(decoded->checkpoint);
      if (this->releases.next_offset() >= first_kept) {
        this->RetainState();
        return {};
      }
    }
    next = {next.value + page->records.size()};
    if (page->records.empty() || next >= page->end) {
      return tl::unexpected(
          LogError{LogErrorKind::kExpired,
                   "older records have expired and no checkpoint covers them",
                   first_kept});
    }
  }
}

void ReleaseReader::RetainState() {
  const auto state = this->releases.State();
  if (this->retained_releases.contains(state->release)) {
    this->retained_states.emplace(state->release, state);
  }
}

}  // namespace tanagerledge
