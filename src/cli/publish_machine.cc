#include "src/cli/publish_machine.h"

#include <algorithm>
#include <utility>

namespace tanagerledge {
namespace {

constexpr std::chrono::milliseconds kFirstPause{100};
constexpr std::chrono::milliseconds kLongestPause{2000};

bool IsAccepted(const Verdict& verdict) {
  if (const auto* repeat = std::get_if<Repeat>(&verdict.result)) {
    return repeat->release.value > 0;
  }
  return std::holds_alternative<Accepted>(verdict.result);
}

}  // namespace

PublishMachine::PublishMachine(std::string id, Instant latest)
    : publish_id(std::move(id)), deadline(latest), pause(kFirstPause) {}

PublishAction PublishMachine::Start(Instant now) {
  return this->OnEvent(PauseEnded{}, now);
}

PublishAction PublishMachine::OnEvent(const PublishEvent& event, Instant now) {
  PublishAction action =
      std::visit([this](const auto& one) { return this->On(one); }, event);
  const bool finished = std::holds_alternative<Finish>(action);
  if (!finished && now >= this->deadline) {
    return Finish{this->Undecided()};
  }
  return action;
}

PublishAction PublishMachine::On(const AppendEnded& event) {
  if (event.result) {
    this->may_be_written = true;
    this->written_at = *event.result;
    return ReadOn{};
  }
  this->last_error = event.result.error().text;
  switch (event.result.error().kind) {
    case LogErrorKind::kAmbiguous:
      this->may_be_written = true;
      return ReadOn{};
    case LogErrorKind::kUnavailable:
      return this->PauseLonger();
    case LogErrorKind::kExpired:
    case LogErrorKind::kRefused:
      break;
  }
  if (this->may_be_written) {
    return this->PauseLonger();
  }
  return Finish{this->Undecided()};
}

PublishAction PublishMachine::On(const VerdictSeen& event) {
  // A record that cannot be judged has no publish id in its verdict.
  const bool own = event.verdict.publish_id == this->publish_id ||
                   event.verdict.offset == this->written_at;
  if (own && !this->verdict) {
    this->verdict = event.verdict;
  }
  return ReadOn{};
}

PublishAction PublishMachine::On(const ReadEnded& event) {
  if (this->verdict) {
    const auto outcome = IsAccepted(*this->verdict) ? PublishOutcome::kAccepted
                                                    : PublishOutcome::kRejected;
    return Finish{{outcome, this->verdict, {}}};
  }
  if (this->written_at && event.next > *this->written_at) {
    this->last_error = "this program cannot judge the record";
    return Finish{this->Undecided()};
  }
  if (event.next < event.end || this->written_at) {
    return ReadOn{};
  }
  // Read to the end and not there: sent again under the same id.
  return AppendNote{};
}

PublishAction PublishMachine::On(const ReadFailed& event) {
  this->last_error = event.text;
  return this->PauseLonger();
}

PublishAction PublishMachine::On(const PauseEnded&) {
  if (this->may_be_written) {
    return ReadOn{};
  }
  return AppendNote{};
}

PublishAction PublishMachine::PauseLonger() {
  const auto time = this->pause;
  this->pause = std::min(this->pause * 2, kLongestPause);
  return Pause{time};
}

PublishReport PublishMachine::Undecided() const {
  const auto outcome = this->may_be_written ? PublishOutcome::kNotYetKnown
                                            : PublishOutcome::kNotPublished;
  return {outcome, std::nullopt, this->last_error};
}

}  // namespace tanagerledge
