#include "src/sidecar/body_transfers.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// The reply of the receiving node may take this much longer than its gate.
constexpr milliseconds kReplyMargin{60};
constexpr microseconds kMaxWait{std::chrono::seconds(10)};
// Retry delay when the receiving node did not reply.
constexpr milliseconds kLostReplyDelay{200};

TransferId IdOf(const NodeId& from, std::int64_t send_id) {
  return from.value + "#" + std::to_string(send_id);
}

}  // namespace

BodyTransfers::BodyTransfers(PeerTransport& peer_transport,
                             TransferGateConfig config)
    : peers(peer_transport),
      enabled(config.link_bytes_per_second > 0),
      gate(config) {}

tl::expected<void, microseconds> BodyTransfers::Await(const NodeId& node,
                                                      std::int64_t send_id,
                                                      std::size_t bytes,
                                                      microseconds max_wait) {
  wire::TransferRequest request;
  request.send_id = send_id;
  request.bytes = static_cast<std::int64_t>(bytes);
  request.max_wait_us = max_wait.count();
  const auto bytes_read = this->peers.Request(
      node, Channel::kTransfer, Encode(request), max_wait + kReplyMargin);
  if (!bytes_read) {
    return tl::unexpected(kLostReplyDelay);
  }
  const auto reply = Decode<wire::TransferReply>(*bytes_read);
  if (!reply) {
    return tl::unexpected(kLostReplyDelay);
  }
  if (!reply->granted) {
    return tl::unexpected(
        std::clamp(microseconds(reply->wait_us), microseconds{0}, kMaxWait));
  }
  return {};
}

std::string BodyTransfers::OnRequest(const NodeId& from,
                                     std::string_view bytes) {
  wire::TransferReply reply;
  const auto request = Decode<wire::TransferRequest>(bytes);
  if (!request || request->bytes < 0) {
    return Encode(reply);
  }
  const TransferId id = IdOf(from, request->send_id);
  const microseconds max_wait =
      std::clamp(microseconds(request->max_wait_us), microseconds{0}, kMaxWait);
  const Instant now = Now();
  const auto waiter = std::make_shared<FiberPromise<Decision>>();
  this->waiters[id] = waiter;
  this->Apply(this->gate.OnRequest(id, static_cast<std::size_t>(request->bytes),
                                   max_wait, now));
  const Decision decision =
      waiter->WaitUntil(now + max_wait + kReplyMargin).value_or(Decision{});
  if (const auto found = this->waiters.find(id);
      found != this->waiters.end() && found->second == waiter) {
    this->waiters.erase(found);
  }
  if (!decision.granted) {
    this->OnEnded(from, request->send_id);
  }
  reply.granted = decision.granted;
  reply.wait_us = decision.wait.count();
  return Encode(reply);
}

void BodyTransfers::OnEnded(const NodeId& from, std::int64_t send_id) {
  this->Apply(this->gate.OnEnded(IdOf(from, send_id), Now()));
}

void BodyTransfers::OnTick() {
  this->Apply(this->gate.OnTick(Now()));
}

void BodyTransfers::Apply(const TransferActions& actions) {
  const auto decide = [this](const TransferId& id, Decision decision) {
    if (const auto found = this->waiters.find(id);
        found != this->waiters.end()) {
      found->second->SetValue(decision);
    }
  };
  std::ranges::for_each(actions, [&](const TransferAction& action) {
    if (const auto* grant = std::get_if<GrantTransfer>(&action)) {
      decide(grant->id, {true, {}});
    } else {
      const auto& refusal = std::get<RefuseTransfer>(action);
      ++this->refused_count;
      decide(refusal.id, {false, refusal.wait});
    }
  });
}

}  // namespace tanagerledge
