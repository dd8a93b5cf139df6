// Frames between nodes: one connection per peer and loop, many requests on it.
//
// A frame is `u32 length | u8 channel | u8 kind | u64 id | payload`, numbers in
// network order. The first frame each way is a Hello; a peer of another fleet
// or protocol version is cut off and counted.
//
// Each loop has a PeerTransport of its own and uses only that one. Handlers run
// in fibers of the loop that got the frame.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_PEER_TRANSPORT_H_
#define TANAGERLEDGE_SRC_ADAPTERS_PEER_TRANSPORT_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "src/adapters/fiber_io.h"
#include "src/adapters/net.h"
#include "tanagerledge/ports.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

inline constexpr std::size_t kMaxFrameBytes = 4 * 1024 * 1024;
inline constexpr std::int32_t kPeerProtocolVersion = 1;

// Who this node is, and how far away the zones are when an experiment says so.
struct PeerIdentity {
  std::string fleet;
  NodeId node;
  Zone zone;
  Incarnation incarnation;
  // Added to each frame on its way to a node of that zone. Experiments only.
  std::map<Zone, std::chrono::microseconds> one_way_delay;
};

// What arrives, by channel. Filled before the transports start.
struct PeerHandlers {
  std::array<PeerPort::RequestHandler, kChannelCount> on_request;
  std::array<PeerPort::MessageHandler, kChannelCount> on_message;
};

// Shared by all transports of a process; for metrics.
struct PeerCounters {
  std::array<std::atomic<std::uint64_t>, kChannelCount> bytes_sent{};
  std::array<std::atomic<std::uint64_t>, kChannelCount> frames_sent{};
  std::atomic<std::uint64_t> hellos_refused{0};
  std::atomic<std::uint64_t> bad_frames{0};
  std::atomic<std::uint64_t> connects{0};
};

// How soon a connection that went silent without a reset is noticed.
struct LinkWatch {
  std::chrono::milliseconds tick{250};
  // Nothing heard for so long while replies are due: the peer is asked for a
  // sign of life, and cut off when it gives none.
  std::chrono::milliseconds ask_after{250};
  std::chrono::milliseconds cut_after{1000};
  // The same for a connection on which nothing is due.
  std::chrono::milliseconds idle_ask_after{1500};
  std::chrono::milliseconds idle_cut_after{4000};
};

class PeerConnection;

class PeerTransport : public PeerPort {
 public:
  PeerTransport(IoLoop& loop,
                const PeerIdentity& identity,
                const PeerHandlers& handlers,
                PeerCounters& counters);
  ~PeerTransport() override;

  // Accepts peers on the address; several loops may share it.
  tl::expected<boost::asio::ip::tcp::endpoint, AddressError> Accept(
      const boost::asio::ip::tcp::endpoint& endpoint);

  // Looks after the connections that this node opened, until Close.
  void StartKeepalive(LinkWatch watch);

  // Opens a connection unless there is one, so that the first call need not
  // wait for it.
  void Connect(const NodeId& to);
  // Whether frames to the node would leave at once.
  bool IsConnected(const NodeId& to) const;
  // The start of the node at the other end; nothing before its Hello came.
  std::optional<Incarnation> IncarnationOf(const NodeId& to) const;

  // Fibers that wait for a reply get kLost or kNotSent.
  void CancelRequests();

  // No new connections; those that stand end once all is written and their peer
  // has read it.
  void DrainAndClose();
  std::size_t connections() const {
    return this->outgoing.size() + this->incoming.size();
  }
  // Bytes that wait to be handed to the sockets.
  std::size_t unwritten_bytes() const;

  // Closes all connections: fibers that wait get kLost or kNotSent.
  void Close();

  // PeerPort. Only from the transport's loop.
  void Send(const NodeId& to, Channel channel, std::string message) override;
  tl::expected<std::string, PeerError> Request(
      const NodeId& to,
      Channel channel,
      std::string request,
      std::chrono::microseconds timeout) override;

 private:
  friend class PeerConnection;

  void CloseAcceptor();
  std::shared_ptr<PeerConnection> ConnectionTo(const NodeId& to);
  void Forget(const PeerConnection& connection);

  IoLoop& loop;
  const PeerIdentity& identity;
  const PeerHandlers& handlers;
  PeerCounters& counters;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  std::unordered_map<NodeId, std::shared_ptr<PeerConnection>> outgoing;
  std::set<std::shared_ptr<PeerConnection>> incoming;
  bool finishing = false;
  bool closed = false;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_PEER_TRANSPORT_H_
