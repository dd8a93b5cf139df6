#include "src/adapters/peer_transport.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"
#include "src/adapters/fiber_sync.h"
#include "src/generated/peer_types.h"

namespace tanagerledge {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeadBytes = 10;  // Channel, kind and id.
constexpr std::size_t kReadChunkBytes = 16 * 1024;
constexpr std::size_t kMaxQueuedBytes = 16 * 1024 * 1024;
// A round trip inside a region is a few ms; a lost opening packet is sent again
// after a second, and the caller's time is better spent on another node.
constexpr std::chrono::milliseconds kConnectTimeout{400};
// Unacknowledged bytes end a connection after this time, like silence does.
constexpr int kUserTimeoutMs = 2000;
// An incoming connection whose peer says nothing, not even pings, is dead.
constexpr std::chrono::seconds kIncomingSilence{20};
constexpr std::chrono::milliseconds kHelloTimeout{3000};

enum class FrameKind : std::uint8_t {
  kMessage = 0,
  kRequest = 1,
  kReply = 2,
  kPing = 3,  // Asks for a kPong: a sign of life.
  kPong = 4,
};

struct Frame {
  Channel channel = Channel::kHello;
  FrameKind kind = FrameKind::kMessage;
  std::uint64_t id = 0;
  std::string_view payload;
};

std::string EncodeFrame(const Frame& frame) {
  std::string bytes(kLengthBytes + kHeadBytes, '\0');
  auto* at = reinterpret_cast<unsigned char*>(bytes.data());
  const auto length =
      static_cast<std::uint32_t>(kHeadBytes + frame.payload.size());
  boost::endian::store_big_u32(at, length);
  at[4] = static_cast<unsigned char>(frame.channel);
  at[5] = static_cast<unsigned char>(frame.kind);
  boost::endian::store_big_u64(at + 6, frame.id);
  bytes.append(frame.payload);
  return bytes;
}

enum class ParseState { kNeedMore, kFrame, kBad };

// Takes one frame from the front of `bytes`; `used` says how much it took.
ParseState ParseFrame(std::string_view bytes, Frame& frame, std::size_t& used) {
  if (bytes.size() < kLengthBytes) {
    return ParseState::kNeedMore;
  }
  const auto* at = reinterpret_cast<const unsigned char*>(bytes.data());
  const std::size_t length = boost::endian::load_big_u32(at);
  if (length < kHeadBytes || length > kMaxFrameBytes + kHeadBytes) {
    return ParseState::kBad;
  }
  if (bytes.size() < kLengthBytes + length) {
    return ParseState::kNeedMore;
  }
  if (at[4] >= kChannelCount ||
      at[5] > static_cast<unsigned char>(FrameKind::kPong)) {
    return ParseState::kBad;
  }
  frame.channel = static_cast<Channel>(at[4]);
  frame.kind = static_cast<FrameKind>(at[5]);
  frame.id = boost::endian::load_big_u64(at + 6);
  frame.payload = bytes.substr(kLengthBytes + kHeadBytes, length - kHeadBytes);
  used = kLengthBytes + length;
  return ParseState::kFrame;
}

using ReplySlot = FiberPromise<tl::expected<std::string, PeerError>>;

// A request that waits; it lives on the stack of the fiber that sent it.
struct Pending {
  ReplySlot slot;
  bool handed = false;  // Some of its bytes may have left this node.
};

// A frame that waits for the write in progress.
struct QueuedFrame {
  std::uint64_t request_id = 0;  // 0 unless it is a request.
  std::string bytes;
};

}  // namespace

// One connection ------------------------------------------------------------

class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  PeerConnection(PeerTransport& owner, tcp::socket connected)
      : transport(owner),
        socket(std::move(connected)),
        connected_already(true),
        timer(owner.loop.context()) {}

  PeerConnection(PeerTransport& owner, NodeId to)
      : peer(std::move(to)),
        transport(owner),
        socket(owner.loop.context()),
        connected_already(false),
        timer(owner.loop.context()) {}

  // Runs the connection in the calling fiber until it ends.
  void Run() {
    // The transport may have been closed since this fiber was spawned, or while
    // the connection was being accepted.
    if (!this->transport.closed &&
        (this->connected_already || this->Connect())) {
      this->established = true;
      this->heard = Now();
      this->SendHello();
      this->Flush();
      this->ReadFrames();
    }
    this->Fail();
  }

  // Queues a frame, after the injected delay if there is one.
  void Queue(const Frame& frame) {
    this->transport.counters.bytes_sent[Index(frame.channel)] +=
        kLengthBytes + kHeadBytes + frame.payload.size();
    ++this->transport.counters.frames_sent[Index(frame.channel)];
    QueuedFrame entry;
    entry.request_id = frame.kind == FrameKind::kRequest ? frame.id : 0;
    entry.bytes = EncodeFrame(frame);
    const std::chrono::microseconds delay = this->Delay();
    if (delay.count() == 0) {
      this->QueueNow(std::move(entry));
      return;
    }
    auto hold = std::make_shared<boost::asio::steady_timer>(
        this->transport.loop.context(), delay);
    hold->async_wait([self = this->shared_from_this(), hold,
                      held = std::move(entry)](error_code error) mutable {
      if (!error && !self->failed && !self->GivenUp(held.request_id)) {
        self->QueueNow(std::move(held));
      }
    });
  }

  tl::expected<std::string, PeerError> Request(Channel channel,
                                               std::string_view request,
                                               Instant deadline) {
    if (this->failed || this->queued_bytes > kMaxQueuedBytes) {
      return tl::unexpected(PeerError{PeerErrorKind::kNotSent, "queue closed"});
    }
    const std::uint64_t id = ++this->last_id;
    if (this->pending.empty()) {
      this->quiet_since = Now();
    }
    Pending waiting;
    this->pending.emplace(id, &waiting);
    this->Queue({channel, FrameKind::kRequest, id, request});
    auto reply = waiting.slot.WaitUntil(deadline);
    this->pending.erase(id);
    if (reply.has_value()) {
      return std::move(*reply);
    }
    this->Unqueue(id);
    return tl::unexpected(PeerError{KindOfLoss(waiting), "timeout"});
  }

  void Close() {
    error_code ignored;
    this->timer.cancel();
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
  }

  void CancelRequests() {
    for (const auto& [id, waiting] : this->pending) {
      const PeerErrorKind kind = KindOfLoss(*waiting);
      this->Unqueue(id);
      waiting->slot.SetValue(tl::unexpected(PeerError{kind, "given up"}));
    }
    this->pending.clear();
  }

  void DrainAndClose() {
    this->finishing = true;
    this->EndIfWritten();
  }

  std::size_t Unwritten() const {
    return this->writing.size() + this->queued_bytes;
  }

  const NodeId& Peer() const { return this->peer; }
  bool IsOpen() const { return this->established && !this->failed; }
  std::optional<Incarnation> PeerIncarnation() const {
    return this->peer_incarnation;
  }

  // Asks a silent peer for a sign of life, and ends the connection without one.
  void CheckAlive(const LinkWatch& watch, Instant now) {
    if (!this->IsOpen()) {
      return;
    }
    const bool due = !this->pending.empty();
    const auto silent = now - std::max(this->heard, this->quiet_since);
    if (silent > (due ? watch.cut_after : watch.idle_cut_after)) {
      this->Close();
    } else if (silent > (due ? watch.ask_after : watch.idle_ask_after)) {
      this->Queue({Channel::kHello, FrameKind::kPing, 0, {}});
    }
  }

  void CloseIfSilent(Instant now) {
    if (this->IsOpen() && now - this->heard > kIncomingSilence) {
      this->Close();
    }
  }

 private:
  static std::size_t Index(Channel channel) {
    return static_cast<std::size_t>(channel);
  }

  bool Connect() {
    const auto address = ParseAddress(this->peer.value);
    if (!address) {
      return false;
    }
    ++this->transport.counters.connects;
    this->CloseAfter(kConnectTimeout);
    const error_code error = AwaitError([&](auto handler) {
      this->socket.async_connect(*address, std::move(handler));
    });
    this->timer.cancel();
    return !error && this->socket.is_open();
  }

  void CloseAfter(std::chrono::milliseconds time) {
    this->timer.expires_after(time);
    this->timer.async_wait([self = this->shared_from_this()](error_code error) {
      if (!error) {
        self->Close();
      }
    });
  }

  void SendHello() {
    error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->socket.set_option(TcpOption<TCP_USER_TIMEOUT>(kUserTimeoutMs),
                            ignored);
    const PeerIdentity& identity = this->transport.identity;
    wire::Hello hello;
    hello.fleet = identity.fleet;
    hello.version = kPeerProtocolVersion;
    hello.node = identity.node.value;
    hello.zone = identity.zone.value;
    hello.incarnation = static_cast<std::int64_t>(identity.incarnation.value);
    // The Hello goes before whatever was queued while connecting.
    const std::string payload = Encode(hello);
    const Frame frame{Channel::kHello, FrameKind::kMessage, 0, payload};
    this->queued.push_front({0, EncodeFrame(frame)});
    this->queued_bytes += this->queued.front().bytes.size();
    this->CloseAfter(kHelloTimeout);
  }

  // Writing -----------------------------------------------------------------

  void QueueNow(QueuedFrame entry) {
    if (this->write_ended) {
      return;
    }
    this->queued_bytes += entry.bytes.size();
    this->queued.push_back(std::move(entry));
    if (this->established) {
      this->Flush();
    }
  }

  // Takes back a request that gave up before it was handed over: what is
  // reported as not sent must not leave later.
  void Unqueue(std::uint64_t id) {
    const auto found =
        std::ranges::find(this->queued, id, &QueuedFrame::request_id);
    if (found != this->queued.end()) {
      this->queued_bytes -= found->bytes.size();
      this->queued.erase(found);
    }
  }

  bool GivenUp(std::uint64_t request_id) const {
    return request_id != 0 && !this->pending.contains(request_id);
  }

  void Flush() {
    if (!this->writing.empty() || this->queued.empty() || this->failed) {
      return;
    }
    this->writing.reserve(this->queued_bytes);
    for (const QueuedFrame& entry : this->queued) {
      this->writing.append(entry.bytes);
      const auto waiting = this->pending.find(entry.request_id);
      if (waiting != this->pending.end()) {
        waiting->second->handed = true;
      }
    }
    this->queued.clear();
    this->queued_bytes = 0;
    boost::asio::async_write(
        this->socket, boost::asio::buffer(this->writing),
        [self = this->shared_from_this()](error_code error, std::size_t) {
          self->writing.clear();
          if (error) {
            self->Close();
          } else {
            self->Flush();
            self->EndIfWritten();
          }
        });
  }

  // The peer closes the connection when it has read all.
  void EndIfWritten() {
    if (!this->finishing || this->Unwritten() > 0 || this->write_ended) {
      return;
    }
    this->write_ended = true;
    error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
  }

  // Reading -----------------------------------------------------------------

  void ReadFrames() {
    std::string buffer;
    std::vector<char> chunk(kReadChunkBytes);
    while (true) {
      const auto read = Await<std::size_t>([&](auto handler) {
        this->socket.async_read_some(boost::asio::buffer(chunk),
                                     std::move(handler));
      });
      if (!read) {
        return;
      }
      this->heard = Now();
      buffer.append(chunk.data(), read.value);
      if (!this->TakeFrames(buffer)) {
        ++this->transport.counters.bad_frames;
        return;
      }
    }
  }

  // False when the peer broke the protocol.
  bool TakeFrames(std::string& buffer) {
    std::string_view rest = buffer;
    Frame frame;
    std::size_t used = 0;
    ParseState state = ParseFrame(rest, frame, used);
    while (state == ParseState::kFrame) {
      if (!this->TakeFrame(frame)) {
        return false;
      }
      rest.remove_prefix(used);
      state = ParseFrame(rest, frame, used);
    }
    buffer.erase(0, buffer.size() - rest.size());
    return state != ParseState::kBad;
  }

  bool TakeFrame(const Frame& frame) {
    if (!this->greeted) {
      return this->TakeHello(frame);
    }
    switch (frame.kind) {
      case FrameKind::kReply:
        this->TakeReply(frame);
        return true;
      case FrameKind::kRequest:
        this->TakeRequest(frame);
        return true;
      case FrameKind::kMessage:
        this->TakeMessage(frame);
        return true;
      case FrameKind::kPing:
        this->Queue({Channel::kHello, FrameKind::kPong, 0, {}});
        return true;
      case FrameKind::kPong:
        return true;
    }
    return false;
  }

  bool TakeHello(const Frame& frame) {
    const auto hello = Decode<wire::Hello>(frame.payload);
    const bool ours = frame.channel == Channel::kHello && hello.has_value() &&
                      hello->fleet == this->transport.identity.fleet &&
                      hello->version == kPeerProtocolVersion;
    if (!ours) {
      ++this->transport.counters.hellos_refused;
      return false;
    }
    this->timer.cancel();
    this->peer = NodeId{hello->node};
    this->peer_zone = Zone{hello->zone};
    this->peer_incarnation =
        Incarnation{static_cast<std::uint64_t>(hello->incarnation)};
    this->greeted = true;
    return true;
  }

  void TakeReply(const Frame& frame) {
    const auto found = this->pending.find(frame.id);
    if (found != this->pending.end()) {
      found->second->slot.SetValue(std::string(frame.payload));
    }
  }

  void TakeRequest(const Frame& frame) {
    const auto& handler =
        this->transport.handlers.on_request[Index(frame.channel)];
    if (!handler) {
      return;
    }
    this->transport.loop.SpawnHere([self = this->shared_from_this(), &handler,
                                    channel = frame.channel, id = frame.id,
                                    request = std::string(frame.payload)] {
      const std::string reply = handler(self->peer, request);
      if (!self->failed) {
        self->Queue({channel, FrameKind::kReply, id, reply});
      }
    });
  }

  void TakeMessage(const Frame& frame) {
    const auto& handler =
        this->transport.handlers.on_message[Index(frame.channel)];
    if (handler) {
      handler(this->peer, frame.payload);
    }
  }

  // Ending ------------------------------------------------------------------

  std::chrono::microseconds Delay() const {
    const auto& delays = this->transport.identity.one_way_delay;
    const auto found = delays.find(this->peer_zone);
    return found == delays.end() ? std::chrono::microseconds{0} : found->second;
  }

  static PeerErrorKind KindOfLoss(const Pending& waiting) {
    return waiting.handed ? PeerErrorKind::kLost : PeerErrorKind::kNotSent;
  }

  void Fail() {
    this->failed = true;
    this->Close();
    for (const auto& [id, waiting] : this->pending) {
      waiting->slot.SetValue(
          tl::unexpected(PeerError{KindOfLoss(*waiting), "connection lost"}));
    }
    this->pending.clear();
    this->transport.Forget(*this);
  }

  NodeId peer;
  Zone peer_zone;
  std::optional<Incarnation> peer_incarnation;
  PeerTransport& transport;
  tcp::socket socket;
  const bool connected_already;
  boost::asio::steady_timer timer;
  bool established = false;
  bool greeted = false;
  bool failed = false;
  bool finishing = false;    // Ends once all is written.
  bool write_ended = false;  // All was written, and the peer was told.
  Instant heard{};           // When bytes came last.
  Instant quiet_since{};     // When replies became due after none were.

  std::deque<QueuedFrame> queued;  // Waits for the write in progress.
  std::size_t queued_bytes = 0;
  std::string writing;  // Handed to the socket.

  std::uint64_t last_id = 0;
  std::unordered_map<std::uint64_t, Pending*> pending;
};

// Transport -----------------------------------------------------------------

PeerTransport::PeerTransport(IoLoop& io_loop,
                             const PeerIdentity& own,
                             const PeerHandlers& peer_handlers,
                             PeerCounters& peer_counters)
    : loop(io_loop),
      identity(own),
      handlers(peer_handlers),
      counters(peer_counters) {}

PeerTransport::~PeerTransport() = default;

tl::expected<tcp::endpoint, AddressError> PeerTransport::Accept(
    const tcp::endpoint& endpoint) {
  auto listening = Listen(this->loop.context(), endpoint);
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  this->acceptor = std::make_unique<tcp::acceptor>(std::move(*listening));
  this->loop.Spawn([this] {
    while (!this->closed && !this->finishing) {
      tcp::socket socket(this->loop.context());
      const error_code error = AwaitError([&](auto handler) {
        this->acceptor->async_accept(socket, std::move(handler));
      });
      if (error) {
        // Out of descriptors, say: try again soon, but not in a tight loop.
        this->loop.SleepFor(std::chrono::milliseconds(10));
        continue;
      }
      auto connection =
          std::make_shared<PeerConnection>(*this, std::move(socket));
      this->incoming.insert(connection);
      this->loop.SpawnHere([connection] { connection->Run(); });
    }
  });
  return this->acceptor->local_endpoint();
}

void PeerTransport::CancelRequests() {
  for (const auto& [node, connection] : this->outgoing) {
    connection->CancelRequests();
  }
  for (const auto& connection : this->incoming) {
    connection->CancelRequests();
  }
}

void PeerTransport::DrainAndClose() {
  this->finishing = true;
  this->CloseAcceptor();
  for (const auto& [node, connection] : this->outgoing) {
    connection->DrainAndClose();
  }
  for (const auto& connection : this->incoming) {
    connection->DrainAndClose();
  }
}

std::size_t PeerTransport::unwritten_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [node, connection] : this->outgoing) {
    bytes += connection->Unwritten();
  }
  for (const auto& connection : this->incoming) {
    bytes += connection->Unwritten();
  }
  return bytes;
}

void PeerTransport::CloseAcceptor() {
  if (this->acceptor) {
    error_code ignored;
    this->acceptor->close(ignored);
  }
}

void PeerTransport::Close() {
  this->closed = true;
  this->CloseAcceptor();
  for (const auto& [node, connection] : this->outgoing) {
    connection->Close();
  }
  for (const auto& connection : this->incoming) {
    connection->Close();
  }
}

void PeerTransport::StartKeepalive(LinkWatch watch) {
  this->loop.Spawn([this, watch] {
    while (!this->closed && this->loop.SleepFor(watch.tick)) {
      const Instant now = Now();
      std::ranges::for_each(this->outgoing, [&](const auto& entry) {
        entry.second->CheckAlive(watch, now);
      });
      std::ranges::for_each(this->incoming, [&](const auto& connection) {
        connection->CloseIfSilent(now);
      });
    }
  });
}

void PeerTransport::Connect(const NodeId& to) {
  if (!this->closed && !this->finishing) {
    this->ConnectionTo(to);
  }
}

bool PeerTransport::IsConnected(const NodeId& to) const {
  const auto found = this->outgoing.find(to);
  return found != this->outgoing.end() && found->second->IsOpen();
}

std::optional<Incarnation> PeerTransport::IncarnationOf(
    const NodeId& to) const {
  const auto found = this->outgoing.find(to);
  return found == this->outgoing.end() ? std::nullopt
                                       : found->second->PeerIncarnation();
}

std::shared_ptr<PeerConnection> PeerTransport::ConnectionTo(const NodeId& to) {
  std::shared_ptr<PeerConnection>& connection = this->outgoing[to];
  if (!connection) {
    connection = std::make_shared<PeerConnection>(*this, to);
    this->loop.SpawnHere([held = connection] { held->Run(); });
  }
  return connection;
}

void PeerTransport::Forget(const PeerConnection& connection) {
  std::erase_if(this->outgoing, [&connection](const auto& entry) {
    return entry.second.get() == &connection;
  });
  std::erase_if(this->incoming, [&connection](const auto& entry) {
    return entry.get() == &connection;
  });
}

void PeerTransport::Send(const NodeId& to,
                         Channel channel,
                         std::string message) {
  if (!this->closed && !this->finishing && message.size() <= kMaxFrameBytes) {
    this->ConnectionTo(to)->Queue({channel, FrameKind::kMessage, 0, message});
  }
}

tl::expected<std::string, PeerError> PeerTransport::Request(
    const NodeId& to,
    Channel channel,
    std::string request,
    std::chrono::microseconds timeout) {
  if (this->closed || this->finishing || request.size() > kMaxFrameBytes) {
    return tl::unexpected(
        PeerError{PeerErrorKind::kNotSent, "closed or oversize"});
  }
  const Instant deadline = Now() + timeout;
  const std::shared_ptr<PeerConnection> connection = this->ConnectionTo(to);
  return connection->Request(channel, request, deadline);
}

}  // namespace tanagerledge
