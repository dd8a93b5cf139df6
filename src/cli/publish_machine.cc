#include "src/cli/publish_machine.h"

#include <algorithm>
#include <utility>

namespace tanagerledge {
namespace {

constexpr std::chrono::milliseconds kInitialBackoff{100};
constexpr std::chrono::milliseconds kMaxBackoff{2000};

bool IsAccepted(const Verdict& verdict) {
  if (const auto* repeat = std::get_if<Repeat>(&verdict.result)) {
    return repeat->release.value > 0;
  }
  return std::holds_alternative<Accepted>(verdict.result);
}

}  // namespace

PublishMachine::PublishMachine(std::string id, Instant publish_deadline)
    : publish_id(std::move(id)),
      deadline(publish_deadline),
      backoff(kInitialBackoff) {}

PublishAction PublishMachine::Start(Instant now) {
  return this->OnEvent(PauseEnded{}, now);
}

PublishAction PublishMachine::OnEvent(const PublishEvent& event, Instant now) {
  PublishAction action = std::visit(
      [this](const auto& alternative) { return this->On(alternative); }, event);
  const bool finished = std::holds_alternative<Finish>(action);
  if (!finished && now >= this->deadline) {
    return Finish{this->UnsettledReport()};
  }
  return action;
}

PublishAction PublishMachine::On(const AppendEnded& event) {
  if (event.result) {
    this->may_be_written = true;
    this->written_offset = *event.result;
    return ReadNextPage{};
  }
  this->last_error = event.result.error().text;
  switch (event.result.error().kind) {
    case LogErrorKind::kAmbiguous:
      this->may_be_written = true;
      return ReadNextPage{};
    case LogErrorKind::kUnavailable:
      return this->BackOff();
    case LogErrorKind::kExpired:
    case LogErrorKind::kRefused:
    case LogErrorKind::kConflict:  // Only of conditional appends.
      break;
  }
  if (this->may_be_written) {
    return this->BackOff();
  }
  return Finish{this->UnsettledReport()};
}

PublishAction PublishMachine::On(const VerdictSeen& event) {
  // The verdict on a record that cannot be judged has no publish id, so the
  // offset is compared too.
  const bool is_own = event.verdict.publish_id == this->publish_id ||
                      event.verdict.offset == this->written_offset;
  if (is_own && !this->verdict) {
    this->verdict = event.verdict;
  }
  return ReadNextPage{};
}

PublishAction PublishMachine::On(const ReadEnded& event) {
  if (this->verdict) {
    const auto outcome = IsAccepted(*this->verdict) ? PublishOutcome::kAccepted
                                                    : PublishOutcome::kRejected;
    return Finish{{outcome, this->verdict, {}}};
  }
  if (this->written_offset && event.next > *this->written_offset) {
    this->last_error = "this version of the program cannot judge the record";
    return Finish{this->UnsettledReport()};
  }
  if (event.next < event.end || this->written_offset) {
    return ReadNextPage{};
  }
  // The stream was read to its end and does not contain the record, so it is
  // appended again with the same publish id.
  return AppendNote{};
}

PublishAction PublishMachine::On(const ReadFailed& event) {
  this->last_error = event.text;
  return this->BackOff();
}

PublishAction PublishMachine::On(const PauseEnded&) {
  if (this->may_be_written) {
    return ReadNextPage{};
  }
  return AppendNote{};
}

PublishAction PublishMachine::BackOff() {
  const auto delay = this->backoff;
  this->backoff = std::min(this->backoff * 2, kMaxBackoff);
  return Pause{delay};
}

PublishReport PublishMachine::UnsettledReport() const {
  const auto outcome = this->may_be_written ? PublishOutcome::kNotYetKnown
                                            : PublishOutcome::kNotPublished;
  return {outcome, std::nullopt, this->last_error};
}

}  // namespace tanagerledge
