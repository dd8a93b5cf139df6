#include "src/sidecar/proof_host.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <string>
#include <variant>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// The store answers in a few ms, or up to 60 times slower under load.
constexpr milliseconds kStoreTimeout{1200};
// Other peers are queried meanwhile.
constexpr milliseconds kPeerTimeout{1000};

ConfigProofConfig ProofConfigOf(const FleetBounds& bounds) {
  ConfigProofConfig config;
  config.limit = bounds.revoke;
  return config;
}

}  // namespace

ProofHost::ProofHost(IoLoop& io_loop,
                     PeerTransport& peer_transport,
                     KeyedLogPort& store_port,
                     const PlatformPort& platform_port,
                     EventLog& event_log,
                     StoreCalls& store_calls,
                     ConfigHost& config_host,
                     const Settings& settings,
                     std::uint64_t seed)
    : loop(io_loop),
      peers(peer_transport),
      store(store_port),
      platform(platform_port),
      events(event_log),
      calls(store_calls),
      configs(config_host),
      demanded(settings.bounds.revoke_when_partitioned),
      proof(settings.address,
            settings.zone,
            seed,
            ProofConfigOf(settings.bounds)) {
  if (this->demanded) {
    this->configs.SetProof(this->proof);
  }
}

void ProofHost::SetMembers(const std::vector<Member>& members) {
  if (this->demanded) {
    this->proof.OnMembers(members);
  }
}

void ProofHost::SetConfig(const MeshConfig& config) {
  this->needed = this->demanded && config.has_accounts();
}

bool ProofHost::IsUnproven() const {
  return this->needed && !this->proof.IsRecent(BootNow());
}

double ProofHost::AgeInSeconds() const {
  const auto age = this->proof.Age(BootNow());
  return age ? std::chrono::duration<double>(*age).count() : -1;
}

void ProofHost::OnTick() {
  if (!this->needed) {
    return;
  }
  const BootInstant now = BootNow();
  this->LogChange(now);
  std::ranges::for_each(
      this->proof.Tick(
          now,
          [this](const NodeId& node) { return this->peers.IsConnected(node); }),
      [this](const ProofAction& action) {
        this->loop.SpawnHere([this, action] {
          std::visit([this](const auto& each) { this->Execute(each); }, action);
        });
      });
}

void ProofHost::LogChange(BootInstant now) {
  const bool is_recent = this->proof.IsRecent(now);
  if (is_recent == !this->unproven_since) {
    return;
  }
  const auto age = this->proof.Age(now);
  const std::int64_t age_ms =
      age ? duration_cast<milliseconds>(*age).count() : -1;
  if (is_recent) {
    this->events.Write(
        "configuration proven",
        {{"age_ms", age_ms},
         {"unproven_ms",
          duration_cast<milliseconds>(now - *this->unproven_since).count()}});
    this->unproven_since.reset();
  } else {
    this->events.Write("configuration unproven", {{"age_ms", age_ms}});
    this->unproven_since = now;
  }
}

// A reader follows the store, so that it learns of the records that this read
// finds. Another node reads the newest configuration as a whole.
void ProofHost::Execute(const ReadStoreForProof&) {
  const auto from = this->configs.applied_end();
  if (!this->configs.is_reader() || !from) {
    this->configs.RequestRead();
    return;
  }
  ++this->calls.proof_reads;
  constexpr std::size_t kOneRecord = 1;
  const BootInstant sent = BootNow();
  const auto page =
      this->store.Read(this->platform.ConfigStream(), *from, kOneRecord,
                       milliseconds(0), kStoreTimeout);
  if (page) {
    this->configs.OnEndRead(sent, page->end);
    return;
  }
  this->proof.OnStoreReadFailed(BootNow());
  if (page.error().kind == LogErrorKind::kExpired) {
    this->configs.RequestRead();
  }
}

void ProofHost::Execute(const AskPeerForProof& action) {
  wire::ConfigQuestion question;
  // The configuration itself is fetched by ConfigHost, if it is newer.
  question.known_version = std::numeric_limits<std::int64_t>::max();
  question.wants_proof = true;
  const BootInstant asked = BootNow();
  const auto bytes = this->peers.Request(action.peer, Channel::kConfig,
                                         Encode(question), kPeerTimeout);
  const auto answer = Decode<wire::ConfigAnswer>(bytes.value_or(std::string()));
  if (!bytes || !answer || answer->version < 0) {
    this->proof.OnPeerFailed();
    return;
  }
  this->configs.OnPeerNotice(action.peer, *bytes);
  this->proof.OnPeerAnswered();
  if (answer->__isset.proof_age_us) {
    this->proof.OnPeerProof(action.peer, asked,
                            static_cast<std::uint64_t>(answer->version),
                            microseconds(answer->proof_age_us));
  }
}

}  // namespace tanagerledge
