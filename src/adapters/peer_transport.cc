#include "src/adapters/peer_transport.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <deque>
#include <functional>
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
// A round trip within a region takes a few ms. A lost SYN is resent only after
// a second; rather than wait for that, the caller should try another node.
constexpr std::chrono::milliseconds kConnectTimeout{400};
// TCP_USER_TIMEOUT: a connection ends when sent bytes remain unacknowledged for
// this time.
constexpr int kUserTimeoutMs = 2000;
// An incoming connection is closed when it received nothing, not even pings,
// for this time.
constexpr std::chrono::seconds kIncomingSilenceTimeout{20};
constexpr std::chrono::milliseconds kHelloTimeout{3000};

enum class FrameKind : std::uint8_t {
  kMessage = 0,
  kRequest = 1,
  kReply = 2,
  kPing = 3,  // Requests a kPong, for keepalive.
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

// Parses one frame at the start of `bytes`; sets `used` to its size.
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

using ReplyPromise = FiberPromise<tl::expected<std::string, PeerError>>;

// A request that waits for its reply. It is on the stack of the fiber that sent
// it.
struct Pending {
  ReplyPromise reply;
  bool may_have_left = false;  // Some of its bytes may have left this node.
};

// A frame that waits until the write in progress is complete.
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
        already_connected(true),
        timer(owner.loop.context()) {}

  PeerConnection(PeerTransport& owner, NodeId to)
      : peer(std::move(to)),
        transport(owner),
        socket(owner.loop.context()),
        already_connected(false),
        timer(owner.loop.context()) {}

  // Connects if necessary and reads frames until the connection ends. Runs in
  // the calling fiber.
  void Run() {
    // The transport may have been closed since this fiber was spawned, or while
    // the connection was being accepted.
    if (!this->transport.closed &&
        (this->already_connected || this->Connect())) {
      this->established = true;
      this->last_received_at = Now();
      this->SendHello();
      this->Flush();
      this->ReadFrames();
    }
    this->Fail();
  }

  // Queues a frame, after the configured artificial delay if there is one.
  void Queue(const Frame& frame) {
    this->transport.counters.bytes_sent[Index(frame.channel)] +=
        kLengthBytes + kHeadBytes + frame.payload.size();
    ++this->transport.counters.frames_sent[Index(frame.channel)];
    QueuedFrame entry;
    entry.request_id = frame.kind == FrameKind::kRequest ? frame.id : 0;
    entry.bytes = EncodeFrame(frame);
    const std::chrono::microseconds delay = this->Delay();
    if (delay.count() == 0) {
      this->QueueWithoutDelay(std::move(entry));
      return;
    }
    auto delay_timer = std::make_shared<boost::asio::steady_timer>(
        this->transport.loop.context(), delay);
    delay_timer->async_wait([self = this->shared_from_this(), delay_timer,
                             delayed =
                                 std::move(entry)](error_code error) mutable {
      if (!error && !self->failed && !self->IsCancelled(delayed.request_id)) {
        self->QueueWithoutDelay(std::move(delayed));
      }
    });
  }

  tl::expected<std::string, PeerError> Request(Channel channel,
                                               std::string request,
                                               Instant deadline) {
    if (this->failed || this->queued_bytes > kMaxQueuedBytes) {
      return tl::unexpected(PeerError{
          PeerErrorKind::kNotSent, "connection closed or its queue is full"});
    }
    const std::uint64_t id = ++this->last_id;
    if (this->pending.empty()) {
      this->first_pending_at = Now();
    }
    Pending waiting;
    this->pending.emplace(id, &waiting);
    this->Queue({channel, FrameKind::kRequest, id, request});
    std::string().swap(request);  // Frees its memory during the wait.
    auto reply = waiting.reply.WaitUntil(deadline);
    this->pending.erase(id);
    if (reply.has_value()) {
      return std::move(*reply);
    }
    this->RemoveFromQueue(id);
    return tl::unexpected(PeerError{LossKind(waiting), "timeout"});
  }

  void Close() {
    error_code ignored;
    this->timer.cancel();
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
  }

  void CancelRequests() {
    for (const auto& [id, waiting] : this->pending) {
      const PeerErrorKind kind = LossKind(*waiting);
      this->RemoveFromQueue(id);
      waiting->reply.SetValue(
          tl::unexpected(PeerError{kind, "request cancelled"}));
    }
    this->pending.clear();
  }

  void DrainAndClose() {
    this->draining = true;
    this->ShutdownIfWritten();
  }

  std::size_t UnwrittenBytes() const {
    return this->writing.size() + this->queued_bytes;
  }

  const NodeId& Peer() const { return this->peer; }
  bool IsOpen() const { return this->established && !this->failed; }
  std::optional<Incarnation> PeerIncarnation() const {
    return this->peer_incarnation;
  }

  // Pings a peer that has been silent, and closes the connection if it stays
  // silent.
  void CheckKeepalive(const KeepaliveConfig& config, Instant now) {
    if (!this->IsOpen()) {
      return;
    }
    const bool replies_pending = !this->pending.empty();
    const auto silence =
        now - std::max(this->last_received_at, this->first_pending_at);
    if (silence >
        (replies_pending ? config.close_after : config.idle_close_after)) {
      this->Close();
    } else if (silence >
               (replies_pending ? config.ping_after : config.idle_ping_after)) {
      this->Queue({Channel::kHello, FrameKind::kPing, 0, {}});
    }
  }

  void CloseIfSilent(Instant now) {
    if (this->IsOpen() &&
        now - this->last_received_at > kIncomingSilenceTimeout) {
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
    // The Hello precedes all frames that were queued while connecting.
    const std::string payload = Encode(hello);
    const Frame frame{Channel::kHello, FrameKind::kMessage, 0, payload};
    this->queued.push_front({0, EncodeFrame(frame)});
    this->queued_bytes += this->queued.front().bytes.size();
    this->CloseAfter(kHelloTimeout);
  }

  // Writing -----------------------------------------------------------------

  void QueueWithoutDelay(QueuedFrame entry) {
    if (this->write_shutdown) {
      return;
    }
    this->queued_bytes += entry.bytes.size();
    this->queued.push_back(std::move(entry));
    if (this->established) {
      this->Flush();
    }
  }

  // Removes a cancelled request that was not yet written: a request that is
  // reported as not sent must not be sent later.
  void RemoveFromQueue(std::uint64_t id) {
    const auto found =
        std::ranges::find(this->queued, id, &QueuedFrame::request_id);
    if (found != this->queued.end()) {
      this->queued_bytes -= found->bytes.size();
      this->queued.erase(found);
    }
  }

  bool IsCancelled(std::uint64_t request_id) const {
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
        waiting->second->may_have_left = true;
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
            self->ShutdownIfWritten();
          }
        });
  }

  // While draining, ends the write direction once everything is written. The
  // peer closes the connection when it has read everything.
  void ShutdownIfWritten() {
    if (!this->draining || this->UnwrittenBytes() > 0 || this->write_shutdown) {
      return;
    }
    this->write_shutdown = true;
    error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
  }

  // Reading -----------------------------------------------------------------

  // Waits until the connection ends. Frames are handled as soon as they arrive,
  // not in a fiber: on a busy loop, a cancellation would wait behind the fibers
  // of the calls that it is about.
  void ReadFrames() {
    AwaitError([this](auto ended) {
      this->on_read_end = std::move(ended);
      this->WaitForBytes();
    });
  }

  void WaitForBytes() {
    this->socket.async_wait(tcp::socket::wait_read,
                            [self = this->shared_from_this()](
                                error_code error) { self->OnReadable(error); });
  }

  void OnReadable(error_code error) {
    if (!error) {
      error = this->ReadAvailable();
    }
    if (error) {
      std::exchange(this->on_read_end, nullptr)(error);
    } else {
      this->WaitForBytes();
    }
  }

  // Reads and handles what has arrived. An error ends the connection.
  error_code ReadAvailable() {
    error_code error;
    this->socket.non_blocking(true, error);
    std::vector<char>& chunk = this->transport.read_chunk;
    std::size_t read = chunk.size();
    while (!error && read == chunk.size()) {
      read = this->socket.receive(boost::asio::buffer(chunk), 0, error);
      if (!error && read == 0) {
        error = boost::asio::error::eof;
      }
      if (error) {
        break;
      }
      this->last_received_at = Now();
      this->unhandled.append(chunk.data(), read);
      if (!this->HandleFrames(this->unhandled)) {
        ++this->transport.counters.bad_frames;
        error = boost::asio::error::invalid_argument;
      }
    }
    return error == boost::asio::error::would_block ? error_code() : error;
  }

  // Handles the complete frames in the buffer and removes them. False when the
  // peer violated the protocol.
  bool HandleFrames(std::string& buffer) {
    std::string_view rest = buffer;
    Frame frame;
    std::size_t used = 0;
    ParseState state = ParseFrame(rest, frame, used);
    while (state == ParseState::kFrame) {
      if (!this->HandleFrame(frame)) {
        return false;
      }
      rest.remove_prefix(used);
      state = ParseFrame(rest, frame, used);
    }
    buffer.erase(0, buffer.size() - rest.size());
    if (buffer.empty() && buffer.capacity() > kReadChunkBytes) {
      std::string().swap(buffer);  // Frees the memory of a large frame.
    }
    return state != ParseState::kBad;
  }

  bool HandleFrame(const Frame& frame) {
    if (!this->hello_received) {
      return this->HandleHello(frame);
    }
    switch (frame.kind) {
      case FrameKind::kReply:
        this->HandleReply(frame);
        return true;
      case FrameKind::kRequest:
        this->HandleRequest(frame);
        return true;
      case FrameKind::kMessage:
        this->HandleMessage(frame);
        return true;
      case FrameKind::kPing:
        this->Queue({Channel::kHello, FrameKind::kPong, 0, {}});
        return true;
      case FrameKind::kPong:
        return true;
    }
    return false;
  }

  bool HandleHello(const Frame& frame) {
    const auto hello = Decode<wire::Hello>(frame.payload);
    const bool ours = frame.channel == Channel::kHello && hello.has_value() &&
                      hello->fleet == this->transport.identity.fleet &&
                      hello->version == kPeerProtocolVersion;
    if (!ours) {
      ++this->transport.counters.hellos_rejected;
      return false;
    }
    this->timer.cancel();
    this->peer = NodeId{hello->node};
    this->peer_zone = Zone{hello->zone};
    this->peer_incarnation =
        Incarnation{static_cast<std::uint64_t>(hello->incarnation)};
    this->hello_received = true;
    return true;
  }

  void HandleReply(const Frame& frame) {
    const auto found = this->pending.find(frame.id);
    if (found != this->pending.end()) {
      found->second->reply.SetValue(std::string(frame.payload));
    }
  }

  void HandleRequest(const Frame& frame) {
    const auto& handler =
        this->transport.handlers.on_request[Index(frame.channel)];
    if (!handler) {
      return;
    }
    this->transport.loop.SpawnHere(
        [self = this->shared_from_this(), &handler, channel = frame.channel,
         id = frame.id, request = std::string(frame.payload), arrived = Now()] {
          std::string reply = handler(self->peer, request, arrived);
          if (reply.size() > kMaxFrameBytes) {
            ++self->transport.counters.oversized_replies;
            reply.clear();  // Not readable, so that only this request fails.
          }
          if (!self->failed) {
            self->Queue({channel, FrameKind::kReply, id, reply});
          }
        });
  }

  void HandleMessage(const Frame& frame) {
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

  static PeerErrorKind LossKind(const Pending& waiting) {
    return waiting.may_have_left ? PeerErrorKind::kLost
                                 : PeerErrorKind::kNotSent;
  }

  void Fail() {
    this->failed = true;
    this->Close();
    for (const auto& [id, waiting] : this->pending) {
      waiting->reply.SetValue(
          tl::unexpected(PeerError{LossKind(*waiting), "connection lost"}));
    }
    this->pending.clear();
    this->transport.RemoveConnection(*this);
  }

  NodeId peer;
  Zone peer_zone;
  std::optional<Incarnation> peer_incarnation;
  PeerTransport& transport;
  tcp::socket socket;
  const bool already_connected;
  boost::asio::steady_timer timer;
  bool established = false;
  bool hello_received = false;
  bool failed = false;
  bool draining = false;        // Ends once everything is written.
  bool write_shutdown = false;  // The write direction is shut down.
  Instant last_received_at{};   // When bytes last arrived.
  Instant first_pending_at{};   // When replies last became pending.

  std::string unhandled;  // Received bytes of an incomplete frame.
  std::function<void(error_code)> on_read_end;  // Set while frames are read.

  std::deque<QueuedFrame> queued;  // Waits for the write in progress.
  std::size_t queued_bytes = 0;
  std::string writing;  // Passed to the socket; being written.

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
      counters(peer_counters),
      read_chunk(kReadChunkBytes) {}

PeerTransport::~PeerTransport() = default;

tl::expected<tcp::endpoint, AddressError> PeerTransport::Accept(
    const tcp::endpoint& endpoint,
    PortSharing sharing) {
  auto listening = Listen(this->loop.context(), endpoint, sharing);
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  this->acceptor = std::make_unique<tcp::acceptor>(std::move(*listening));
  this->loop.Spawn([this] {
    while (!this->closed && !this->draining) {
      tcp::socket socket(this->loop.context());
      const error_code error = AwaitError([&](auto handler) {
        this->acceptor->async_accept(socket, std::move(handler));
      });
      if (error) {
        // E.g. out of file descriptors: retry soon, but not in a tight loop.
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
  this->draining = true;
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
    bytes += connection->UnwrittenBytes();
  }
  for (const auto& connection : this->incoming) {
    bytes += connection->UnwrittenBytes();
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

void PeerTransport::StartKeepalive(KeepaliveConfig config) {
  this->loop.Spawn([this, config] {
    while (!this->closed && this->loop.SleepFor(config.check_interval)) {
      const Instant now = Now();
      std::ranges::for_each(this->outgoing, [&](const auto& entry) {
        entry.second->CheckKeepalive(config, now);
      });
      std::ranges::for_each(this->incoming, [&](const auto& connection) {
        connection->CloseIfSilent(now);
      });
    }
  });
}

void PeerTransport::Connect(const NodeId& to) {
  if (!this->closed && !this->draining) {
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
    this->loop.SpawnHere([opened = connection] { opened->Run(); });
  }
  return connection;
}

void PeerTransport::RemoveConnection(const PeerConnection& connection) {
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
  if (!this->closed && !this->draining && message.size() <= kMaxFrameBytes) {
    this->ConnectionTo(to)->Queue({channel, FrameKind::kMessage, 0, message});
  }
}

tl::expected<std::string, PeerError> PeerTransport::Request(
    const NodeId& to,
    Channel channel,
    std::string request,
    std::chrono::microseconds timeout) {
  if (this->closed || this->draining || request.size() > kMaxFrameBytes) {
    return tl::unexpected(PeerError{PeerErrorKind::kNotSent,
                                    "transport closed or request too large"});
  }
  const Instant deadline = Now() + timeout;
  const std::shared_ptr<PeerConnection> connection = this->ConnectionTo(to);
  return connection->Request(channel, std::move(request), deadline);
}

}  // namespace tanagerledge
