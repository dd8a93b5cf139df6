// Keeps the newest configuration of the operator in force on this node.
//
// Wires ConfigFollower to the store and to the other nodes.

#ifndef TANAGERLEDGE_SRC_SIDECAR_CONFIG_HOST_H_
#define TANAGERLEDGE_SRC_SIDECAR_CONFIG_HOST_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/adapters/event_log.h"
#include "src/adapters/fiber_io.h"
#include "src/adapters/peer_transport.h"
#include "src/sidecar/platform_port.h"
#include "tanagerledge/config_follower.h"
#include "tanagerledge/member.h"
#include "tanagerledge/ports.h"

namespace tanagerledge {

class ConfigHost {
 public:
  // Gets each configuration that comes into force.
  using Sink = std::function<void(std::shared_ptr<const MeshConfig>)>;

  ConfigHost(IoLoop& loop,
             PeerTransport& peers,
             KeyedLogPort& store,
             const PlatformPort& platform,
             EventLog& events,
             Sink sink);

  // Every 20 ms or so.
  void OnTick();
  void SetMembers(const std::vector<Member>& members,
                  const NodeId& self,
                  const Zone& zone);

  bool store_answers() const { return this->follower.store_answers(); }

  // Another node asks for anything newer than it has.
  std::string OnPeerQuestion(std::string_view question);
  // Another node says which version it has.
  void OnPeerNotice(const NodeId& from, std::string_view notice);

 private:
  void Do(const ReadNewestConfig& action);
  void Do(const ReadConfigRecords& action);
  void Do(const AskPeerForConfig& action);
  void OnStoreError(const LogError& error);
  // A record of the store, unless it is the one that was offered last.
  void OfferRecord(const KeyedRecord& record);
  // Puts a configuration in force if it is newer; whether it is in force now.
  bool Offer(std::string_view content, std::string_view source);
  void TellPeers(std::uint64_t version);
  std::optional<NodeId> NextPeer();
  void OnPeerAnswer(const NodeId& peer, std::string_view bytes);

  IoLoop& loop;
  PeerTransport& peers;
  KeyedLogPort& store;
  const PlatformPort& platform;
  EventLog& events;
  Sink sink;
  ConfigFollower follower;
  // In force, as the store holds it; compressed once a peer has asked.
  std::string content;
  std::string packed;
  std::vector<NodeId> near;  // Other nodes of the own zone.
  std::vector<NodeId> far;
  int peer_questions = 0;
  std::optional<LogOffset> offered;  // The last record of the store.
  std::optional<NodeId> newer_peer;  // Said to have a newer version.
  bool store_was_answering = true;
  // Until then, what comes into force is told to the other nodes: the store may
  // not answer all of them.
  Instant tell_peers_until{};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_CONFIG_HOST_H_
