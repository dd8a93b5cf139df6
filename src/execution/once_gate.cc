#include "src/execution/once_gate.h"

#include <algorithm>
#include <utility>

#include "src/execution/once_wire.h"

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kClaimResendInterval{200};
// Two nodes may each believe that the other one is the owner.
constexpr int kMaxRedirects = 3;
constexpr seconds kFinishResendInterval{2};
constexpr std::size_t kMaxFinishResendsPerTick = 4;
constexpr std::size_t kMaxAttempts = 100000;

bool IsPartition(int partition) {
  return partition >= 0 && partition < kOncePartitions;
}

}  // namespace

OnceGate::OnceGate(OnceProcess own_process, OnceTiming own_timing)
    : self(std::move(own_process)), timing(own_timing) {}

void OnceGate::SetCandidates(int partition, std::vector<NodeId> candidates) {
  this->routes.at(static_cast<std::size_t>(partition)).candidates =
      std::move(candidates);
}

// Attempts ------------------------------------------------------------------

std::uint64_t OnceGate::Begin(const OnceKeyId& key,
                              std::optional<WallTime> mint,
                              Fingerprint fingerprint,
                              Instant deadline,
                              OnceTime time) {
  const std::uint64_t number = ++this->last_number;
  Attempt& attempt = this->attempts[number];
  attempt.key = key;
  attempt.mint = mint;
  attempt.fingerprint = fingerprint;
  attempt.deadline = deadline;
  this->claiming.push_back(number);
  this->SendClaim(number, attempt, time);
  return number;
}

void OnceGate::Finish(std::uint64_t number,
                      const OnceResult& result,
                      OnceTime time) {
  const auto found = this->attempts.find(number);
  if (found != this->attempts.end() && found->second.state == State::kRunning) {
    this->End(number, found->second, result, time);
  }
}

// Ends an attempt that received no verdict in time. It never runs, even if its
// grant still arrives.
void OnceGate::GiveUp(std::uint64_t number, Attempt& attempt, OnceTime time) {
  this->verdicts.push_back(
      {number, OnceRefusal{Outcome::kUnknown, Reason::kKeyUnsettled,
                           "no owner of the key answered in time"}});
  const OnceResult not_run{Outcome::kNotRun, Reason::kDeadline, {}, false};
  this->End(number, attempt, not_run, time);
}

void OnceGate::End(std::uint64_t number,
                   Attempt& attempt,
                   const OnceResult& result,
                   OnceTime time) {
  attempt.state = State::kEnded;
  attempt.result = result;
  this->unlogged.push_back(number);
  this->SendFinish(number, attempt, time);
}

// Messages ------------------------------------------------------------------

void OnceGate::OnMessage(const NodeId& from,
                         const wire::OnceMessage& message,
                         OnceTime time) {
  if (!IsPartition(message.partition)) {
    return;
  }
  if (message.__isset.answer) {
    this->OnAnswer(from, message.partition, message.answer, time);
  }
  if (message.__isset.finish_ack) {
    this->OnFinishAck(message.partition, message.finish_ack);
  }
  if (message.__isset.status_ask) {
    this->OnStatusAsk(from, message.partition, message.status_ask);
  }
}

void OnceGate::OnAnswer(const NodeId& from,
                        int partition,
                        const wire::OnceAnswer& answer,
                        OnceTime time) {
  const auto kind = static_cast<ClaimAnswer>(answer.answer);
  this->LearnOwner(partition, answer.owner);
  const std::optional<std::uint64_t> number = this->OwnNumber(answer.attempt);
  const auto found =
      number ? this->attempts.find(*number) : this->attempts.end();
  if (found == this->attempts.end() ||
      found->second.state != State::kClaiming) {
    return;
  }
  Attempt& attempt = found->second;
  if (time.now >= attempt.deadline) {
    return;  // OnTick gives up the attempt.
  }
  if (kind == ClaimAnswer::kNotOwner) {
    const bool has_other_owner =
        !answer.owner.empty() && answer.owner != from.value;
    if (has_other_owner && attempt.redirects < kMaxRedirects) {
      ++attempt.redirects;
      this->SendClaim(*number, attempt, time);
    }
    return;
  }
  std::optional<OnceVerdict> verdict;
  switch (kind) {
    case ClaimAnswer::kGranted:
      verdict =
          OnceTicket{attempt.key, {this->self, *number}, attempt.deadline};
      break;
    case ClaimAnswer::kStored: {
      const std::optional<OnceResult> result = ToResult(answer.result);
      if (result) {
        verdict = OnceStored{*result};
      }
      break;
    }
    case ClaimAnswer::kUnknown:
      verdict = OnceRefusal{Outcome::kUnknown, Reason::kKeyUnsettled,
                            "an earlier attempt may have run"};
      break;
    case ClaimAnswer::kMismatch:
      verdict = OnceRefusal{Outcome::kNotRun, Reason::kBadRequest,
                            "the key belongs to another call"};
      break;
    case ClaimAnswer::kRefused:
      verdict = OnceRefusal{Outcome::kUnknown, Reason::kKeyUnsettled,
                            "the key cannot be admitted now"};
      break;
    case ClaimAnswer::kNotOwner:
      break;
  }
  if (!verdict) {
    return;
  }
  this->verdicts.push_back({*number, std::move(*verdict)});
  if (kind == ClaimAnswer::kGranted) {
    attempt.state = State::kRunning;
  } else {
    // The attempt does not hold the key, so there is no result to report.
    this->attempts.erase(found);
  }
}

void OnceGate::OnFinishAck(int partition, const wire::OnceFinishAck& ack) {
  this->LearnOwner(partition, ack.owner);
  const std::optional<std::uint64_t> number = this->OwnNumber(ack.attempt);
  const auto found =
      number ? this->attempts.find(*number) : this->attempts.end();
  if (found != this->attempts.end() && ack.taken) {
    found->second.is_logged = true;
  }
}

void OnceGate::OnStatusAsk(const NodeId& from,
                           int partition,
                           const wire::OnceStatusAsk& ask) {
  wire::OnceStatus status;
  status.key = ask.key;
  status.attempt = ask.attempt;
  const std::optional<std::uint64_t> number = this->OwnNumber(ask.attempt);
  const auto found =
      number ? this->attempts.find(*number) : this->attempts.end();
  if (found == this->attempts.end()) {
    status.lost = true;
  } else if (found->second.state == State::kEnded) {
    status.__set_result(ToWire(found->second.result));
  }
  wire::OnceMessage message = this->NewMessage(partition);
  message.__set_status(status);
  this->messages.push_back({from, std::move(message)});
}

void OnceGate::SendClaim(std::uint64_t number,
                         Attempt& attempt,
                         OnceTime time) {
  const int partition = PartitionOf(attempt.key);
  const std::optional<NodeId> target = this->TargetOf(partition);
  attempt.last_sent = time.now;
  if (!target) {
    return;
  }
  wire::OnceClaim claim;
  claim.key = ToWire(attempt.key);
  claim.attempt = ToWire(OnceAttempt{this->self, number});
  claim.fingerprint = static_cast<std::int64_t>(attempt.fingerprint.value);
  claim.mint_ms = attempt.mint ? ToMillis(*attempt.mint) : 0;
  claim.remaining_us =
      std::chrono::duration_cast<microseconds>(attempt.deadline - time.now)
          .count();
  wire::OnceMessage message = this->NewMessage(partition);
  message.__set_claim(claim);
  this->messages.push_back({*target, std::move(message)});
}

void OnceGate::SendFinish(std::uint64_t number,
                          Attempt& attempt,
                          OnceTime time) {
  const int partition = PartitionOf(attempt.key);
  const std::optional<NodeId> target = this->TargetOf(partition);
  attempt.last_sent = time.now;
  if (!target) {
    return;
  }
  wire::OnceFinish finish;
  finish.key = ToWire(attempt.key);
  finish.attempt = ToWire(OnceAttempt{this->self, number});
  finish.fingerprint = static_cast<std::int64_t>(attempt.fingerprint.value);
  finish.result = ToWire(attempt.result);
  wire::OnceMessage message = this->NewMessage(partition);
  message.__set_finish(finish);
  this->messages.push_back({*target, std::move(message)});
}

// Time ----------------------------------------------------------------------

void OnceGate::OnTick(OnceTime time) {
  std::vector<std::uint64_t> still_claiming;
  for (const std::uint64_t number : std::exchange(this->claiming, {})) {
    const auto found = this->attempts.find(number);
    if (found == this->attempts.end() ||
        found->second.state != State::kClaiming) {
      continue;
    }
    Attempt& attempt = found->second;
    if (time.now >= attempt.deadline) {
      this->GiveUp(number, attempt, time);
      continue;
    }
    still_claiming.push_back(number);
    if (time.now >= attempt.last_sent + kClaimResendInterval) {
      // The owner may be dead: the next candidate knows the current owner.
      Route& route = this->routes[PartitionOf(attempt.key)];
      route.owner.reset();
      ++route.tries;
      attempt.redirects = 0;
      this->SendClaim(number, attempt, time);
    }
  }
  this->claiming = std::move(still_claiming);
  this->ResendFinishes(time);
  this->EvictOldAttempts(time);
}

// Sends only a few per tick, because a log outage may leave a large number of
// unlogged outcomes.
void OnceGate::ResendFinishes(OnceTime time) {
  for (std::size_t i = 0; i < kMaxFinishResendsPerTick; ++i) {
    if (this->unlogged.empty()) {
      return;
    }
    const std::uint64_t number = this->unlogged.front();
    const auto found = this->attempts.find(number);
    if (found == this->attempts.end() || found->second.is_logged) {
      this->unlogged.pop_front();
      continue;
    }
    if (time.now < found->second.last_sent + kFinishResendInterval) {
      return;
    }
    this->unlogged.pop_front();
    this->unlogged.push_back(number);
    this->SendFinish(number, found->second, time);
  }
}

void OnceGate::EvictOldAttempts(OnceTime time) {
  while (!this->attempts.empty()) {
    const auto oldest = this->attempts.begin();
    const bool is_old =
        time.now >= oldest->second.deadline + this->timing.resend_window;
    const bool is_over = oldest->second.state == State::kEnded;
    if (!is_over || !(is_old || this->attempts.size() > kMaxAttempts)) {
      return;
    }
    this->attempts.erase(oldest);
  }
}

// Owners --------------------------------------------------------------------

std::optional<NodeId> OnceGate::TargetOf(int partition) {
  const Route& route = this->routes[static_cast<std::size_t>(partition)];
  if (route.owner) {
    return route.owner;
  }
  if (route.candidates.empty()) {
    return std::nullopt;
  }
  return route.candidates[route.tries % route.candidates.size()];
}

void OnceGate::LearnOwner(int partition, const std::string& owner) {
  if (!owner.empty()) {
    this->routes[static_cast<std::size_t>(partition)].owner = NodeId{owner};
  }
}

std::optional<std::uint64_t> OnceGate::OwnNumber(
    const wire::OnceAttempt& attempt) {
  const OnceAttempt own = ToAttempt(attempt);
  return own.process == this->self ? std::optional(own.number) : std::nullopt;
}

wire::OnceMessage OnceGate::NewMessage(int partition) const {
  wire::OnceMessage message;
  message.start = static_cast<std::int64_t>(this->self.start);
  message.partition = partition;
  return message;
}

std::vector<OnceSend> OnceGate::TakeMessages() {
  return std::exchange(this->messages, {});
}

std::vector<AttemptVerdict> OnceGate::TakeVerdicts() {
  return std::exchange(this->verdicts, {});
}

}  // namespace tanagerledge
