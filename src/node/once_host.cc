#include "src/node/once_host.h"

#include <algorithm>
#include <boost/fiber/future.hpp>
#include <memory>
#include <utility>

#include "src/adapters/codec.h"
#include "src/execution/once_wire.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kStream = "intents-0";
constexpr std::size_t kRecordsPerRead = 256;
constexpr milliseconds kLogTimeout{1000};
constexpr milliseconds kNoWait{0};

Instant Now() {
  return std::chrono::steady_clock::now();
}

milliseconds TimeLeft(Instant deadline) {
  const auto left = std::chrono::duration_cast<milliseconds>(deadline - Now());
  return std::clamp(left, kNoWait, kLogTimeout);
}

}  // namespace

OnceHost::OnceHost(IoLoop& control_loop,
                   PeerPort& /*peer_port*/,
                   LogPort& log_port,
                   OnceConfig host_config)
    : control(control_loop), log(log_port), config(std::move(host_config)) {}

void OnceHost::Start() {}

void OnceHost::SetMembers(std::vector<Member> /*members*/) {}

std::string OnceHost::OnPeerRequest(const NodeId& /*from*/,
                                    std::string_view /*request*/) {
  return {};
}

void OnceHost::OnPeerMessage(const NodeId& /*from*/,
                             std::string_view /*message*/) {}

// Request path --------------------------------------------------------------

OnceVerdict OnceHost::Begin(const OnceKey& key,
                            Fingerprint fingerprint,
                            Instant deadline) {
  auto promise = std::make_shared<boost::fibers::promise<OnceVerdict>>();
  boost::fibers::future<OnceVerdict> verdict = promise->get_future();
  this->control.Spawn([this, promise, id = IdOf(key), fingerprint, deadline] {
    promise->set_value(this->Decide(id, fingerprint, deadline));
  });
  return verdict.get();
}

void OnceHost::Finish(const OnceTicket& ticket, OnceResult result) {
  this->control.Spawn([this, ticket, result = std::move(result)] {
    this->AppendOutcome(ticket, result);
  });
}

// Control thread ------------------------------------------------------------

OnceVerdict OnceHost::Decide(OnceKeyId key,
                             Fingerprint fingerprint,
                             Instant deadline) {
  const OnceAttempt attempt{this->config.self, this->config.incarnation,
                            ++this->attempts};
  wire::IntentEntry intent;
  intent.key = ToWire(key);
  intent.attempt = ToWire(attempt);
  intent.fingerprint = static_cast<std::int64_t>(fingerprint.value);
  wire::IntentBatch batch;
  batch.intents.push_back(std::move(intent));
  const auto offset =
      this->log.Append(kStream, Encode(batch), TimeLeft(deadline));
  if (!offset) {
    return OnceRefusal{Outcome::kNotRun, Reason::kKeyUnsettled,
                       "the log did not take the intent"};
  }
  if (!this->CatchUp({offset->value + 1}, deadline)) {
    return OnceRefusal{Outcome::kNotRun, Reason::kKeyUnsettled,
                       "the log could not be read"};
  }
  const KnownKey& known = this->keys.at(key);
  if (known.attempt == attempt) {
    return OnceTicket{key, attempt, deadline};
  }
  if (known.fingerprint != fingerprint) {
    return OnceRefusal{Outcome::kNotRun, Reason::kBadRequest,
                       "the key belongs to another call"};
  }
  if (known.ended) {
    return OnceStored{known.result};
  }
  return OnceRefusal{Outcome::kUnknown, Reason::kDuplicate,
                     "an earlier attempt is not settled"};
}

// Folds the stream up to `through`, one past the last offset wanted.
bool OnceHost::CatchUp(LogOffset through, Instant deadline) {
  while (this->folded < through) {
    const auto page = this->log.Read(kStream, this->folded, kRecordsPerRead,
                                     kNoWait, TimeLeft(deadline));
    if (!page || page->records.empty()) {
      return false;
    }
    for (const LogRecord& record : page->records) {
      if (record.offset >= this->folded) {
        this->Fold(record.bytes);
        this->folded = {record.offset.value + 1};
      }
    }
  }
  return true;
}

void OnceHost::Fold(std::string_view record) {
  const auto batch = Decode<wire::IntentBatch>(record);
  if (!batch) {
    return;
  }
  for (const wire::IntentEntry& intent : batch->intents) {
    const std::optional<OnceKeyId> key = ToKeyId(intent.key);
    if (key) {
      const Fingerprint fingerprint{
          static_cast<std::uint64_t>(intent.fingerprint)};
      this->keys.try_emplace(
          *key, KnownKey{ToAttempt(intent.attempt), fingerprint, false, {}});
    }
  }
  for (const wire::OutcomeEntry& entry : batch->outcomes) {
    const std::optional<OnceKeyId> key = ToKeyId(entry.key);
    const std::optional<OnceResult> result = ToResult(entry.result);
    const auto found = key ? this->keys.find(*key) : this->keys.end();
    if (!result || found == this->keys.end() ||
        found->second.attempt != ToAttempt(entry.attempt)) {
      continue;
    }
    if (result->outcome == Outcome::kNotRun) {
      this->keys.erase(found);
    } else {
      found->second.ended = true;
      found->second.result = *result;
    }
  }
}

void OnceHost::AppendOutcome(const OnceTicket& ticket,
                             const OnceResult& result) {
  wire::OutcomeEntry entry;
  entry.key = ToWire(ticket.key);
  entry.attempt = ToWire(ticket.attempt);
  entry.result = ToWire(result);
  wire::IntentBatch batch;
  batch.outcomes.push_back(std::move(entry));
  // A lost append leaves the key unsettled: repeats are told `unknown`.
  (void)this->log.Append(kStream, Encode(batch), kLogTimeout);
}

}  // namespace tanagerledge
