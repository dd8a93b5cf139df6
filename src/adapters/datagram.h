// Datagrams between nodes: best effort, unordered, at most one packet each.
//
//   UdpPort port(loop, {"127.0.0.1:7000"});
//   auto opened = port.Open([](const NodeId& from, std::string_view bytes) {});
//   port.Send({"127.0.0.1:7001"}, bytes);

#ifndef TANAGERLEDGE_SRC_ADAPTERS_DATAGRAM_H_
#define TANAGERLEDGE_SRC_ADAPTERS_DATAGRAM_H_

#include "src/adapters/fiber_io.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tanagerledge/types.h"

namespace tanagerledge {

// Port ----------------------------------------------------------------------

class DatagramPort {
 public:
  // Handles one datagram; `from` is the sender's address. Runs on the loop's
  // thread and must not wait.
  using Handler = std::function<void(const NodeId& from, std::string_view)>;

  virtual ~DatagramPort() = default;

  // Starts receiving. The error says why the address can't be used.
  virtual tl::expected<void, std::string> Open(Handler handler) = 0;

  // Sends one datagram. Never waits: a datagram that can't be sent immediately
  // is dropped.
  virtual void Send(const NodeId& to, std::string_view bytes) = 0;

  // Stops receiving. Must be called on the loop's thread.
  virtual void Close() = 0;
};

// UDP -----------------------------------------------------------------------

// All calls must be made on the loop's thread, except Open before the loop
// runs.
class UdpPort : public DatagramPort {
 public:
  UdpPort(IoLoop& io_loop, NodeId local_address);
  ~UdpPort() override;

  tl::expected<void, std::string> Open(Handler handler) override;
  void Send(const NodeId& to, std::string_view bytes) override;
  void Close() override;

  // Number of datagrams dropped because the socket would block, another send
  // error occurred, or the address was invalid.
  std::uint64_t dropped() const { return this->drops; }

 private:
  struct Receiver;

  IoLoop& loop;
  NodeId local;
  std::shared_ptr<Receiver> receiver;
  std::uint64_t drops = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_DATAGRAM_H_
