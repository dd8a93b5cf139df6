// Sends requests and messages between nodes, multiplexed over one TCP
// connection per peer and loop.
//
// A frame is `u32 length | u8 channel | u8 kind | u64 id | payload`, with
// numbers in network byte order. The first frame in each direction is a Hello.
// A peer with another fleet or protocol version is disconnected and counted.
//
// Each loop has its own PeerTransport and uses only that one. Handlers run on
// the loop that received the frame: request handlers in a fiber for each
// request, and message handlers outside any fiber, so that they must not wait.

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
#include <vector>

#include "src/adapters/fiber_io.h"
#include "src/adapters/net.h"
#include "tanagerledge/ports.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

inline constexpr std::size_t kMaxFrameBytes = 4 * 1024 * 1024;
inline constexpr std::int32_t kPeerProtocolVersion = 1;

// Identity that this node sends in its Hello, and artificial delays for
// experiments.
struct PeerIdentity {
  std::string fleet;
  NodeId node;
  Zone zone;
  Incarnation incarnation;
  // Delay added to each frame sent to a node of that zone. For experiments
  // only.
  std::map<Zone, std::chrono::microseconds> one_way_delay;
};

// Handlers of incoming frames by channel. Set them before the transports start.
struct PeerHandlers {
  std::array<PeerPort::RequestHandler, kChannelCount> on_request;
  std::array<PeerPort::MessageHandler, kChannelCount> on_message;
};

// Counters for metrics, shared by all transports of a process.
struct PeerCounters {
  std::array<std::atomic<std::uint64_t>, kChannelCount> bytes_sent{};
  std::array<std::atomic<std::uint64_t>, kChannelCount> frames_sent{};
  std::atomic<std::uint64_t> hellos_rejected{0};
  std::atomic<std::uint64_t> bad_frames{0};
  std::atomic<std::uint64_t> connects{0};
  // Replies that were too long for a frame and sent empty.
  std::atomic<std::uint64_t> oversized_replies{0};
};

// Keepalive of outgoing connections, which detects peers that stop responding
// without closing the connection.
struct KeepaliveConfig {
  std::chrono::milliseconds check_interval{250};
  // Time without received bytes, while replies are pending, after which the
  // peer is pinged and the connection is closed, respectively.
  std::chrono::milliseconds ping_after{250};
  std::chrono::milliseconds close_after{1000};
  // The same while no replies are pending.
  std::chrono::milliseconds idle_ping_after{1500};
  std::chrono::milliseconds idle_close_after{4000};
};

class PeerConnection;

class PeerTransport : public PeerPort {
 public:
  PeerTransport(IoLoop& loop,
                const PeerIdentity& identity,
                const PeerHandlers& handlers,
                PeerCounters& counters);
  ~PeerTransport() override;

  // Starts accepting peers on the address. Returns the bound address.
  tl::expected<boost::asio::ip::tcp::endpoint, AddressError> Accept(
      const boost::asio::ip::tcp::endpoint& endpoint,
      PortSharing sharing = PortSharing::kExclusive);

  // Starts the fiber that pings silent peers and closes dead connections, until
  // Close.
  void StartKeepalive(KeepaliveConfig config);

  // Opens a connection if there is none, so that the first call doesn't have to
  // wait for it.
  void Connect(const NodeId& to);
  // Whether there is an open connection to the node.
  bool IsConnected(const NodeId& to) const;
  // Incarnation of the node at the other end; nullopt until its Hello arrived.
  std::optional<Incarnation> IncarnationOf(const NodeId& to) const;

  // Ends all pending requests with kLost or kNotSent.
  void CancelRequests();

  // Stops opening and accepting connections. Open ones end once everything is
  // written and the peer has read it.
  void DrainAndClose();
  std::size_t connections() const {
    return this->outgoing.size() + this->incoming.size();
  }
  // Bytes that are queued or being written.
  std::size_t unwritten_bytes() const;

  // Closes all connections. Pending requests end with kLost or kNotSent.
  void Close();

  // PeerPort. Must be called on the transport's loop.
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
  void RemoveConnection(const PeerConnection& connection);

  IoLoop& loop;
  const PeerIdentity& identity;
  const PeerHandlers& handlers;
  PeerCounters& counters;
  std::vector<char> read_chunk;  // Shared by all connections.
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  std::unordered_map<NodeId, std::shared_ptr<PeerConnection>> outgoing;
  std::set<std::shared_ptr<PeerConnection>> incoming;
  bool draining = false;
  bool closed = false;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_PEER_TRANSPORT_H_
