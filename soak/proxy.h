// TCP proxy on loopback that injects link faults between a node and the store,
// or between a node and its backend server.

#ifndef TANAGERLEDGE_SOAK_PROXY_H_
#define TANAGERLEDGE_SOAK_PROXY_H_

#include <chrono>
#include <memory>
#include <set>
#include <string>

#include "src/adapters/fiber_io.h"
#include "src/adapters/net.h"
#include "tanagerledge/types.h"

namespace tanagerledge::soak {

enum class LinkFault {
  kNone,
  kDelay,    // Forwards bytes in both directions with a delay.
  kSilence,  // Accepts connections, but forwards no bytes.
  kOneWay,   // Holds back the bytes from the server to the node.
  kReset,    // Resets open connections, and new ones right after accepting.
};

// All methods must be called on the thread of the loop.
class Proxy {
 public:
  Proxy(IoLoop& loop, std::string server);

  // Address that the node connects to instead of the server's own one.
  const std::string& address() const { return this->own_address; }
  void SetFault(LinkFault new_fault);
  // Whether bytes may arrive late: a fault is active, or ended less than
  // `window` ago.
  bool DisturbedWithin(std::chrono::milliseconds window) const;
  // Stops listening and resets all connections.
  void Close();

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Link {
    explicit Link(boost::asio::io_context& io)
        : node_socket(io), server_socket(io) {}
    Socket node_socket;
    Socket server_socket;
  };
  using LinkPtr = std::shared_ptr<Link>;

  void Accept();
  void Serve(const LinkPtr& link);
  void Forward(const LinkPtr& link, Socket& from, Socket& to, bool to_node);
  static void Reset(Link& link);

  IoLoop& loop;
  std::string server_address;
  std::string own_address;
  boost::asio::ip::tcp::acceptor acceptor;
  std::set<LinkPtr> links;
  LinkFault fault = LinkFault::kNone;
  Instant fault_ended{};
  bool closed = false;
};

}  // namespace tanagerledge::soak

#endif  // TANAGERLEDGE_SOAK_PROXY_H_
