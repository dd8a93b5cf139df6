// A TCP proxy on loopback that can be told to misbehave: between a node and the
// store, or a node and the backend server beside it.

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
  kDelay,    // Bytes are passed on late, both ways.
  kSilence,  // Nothing is passed on, new connections are taken.
  kOneWay,   // What the server sends is held back.
  kReset,    // Open connections are reset, new ones at once.
};

// Belongs to the thread of its loop.
class Proxy {
 public:
  Proxy(IoLoop& loop, std::string server);

  // Where to connect instead of the server.
  const std::string& address() const { return this->own_address; }
  void Set(LinkFault next);
  // Whether bytes may be late: a fault is in force, or was of late.
  bool Harmed(std::chrono::milliseconds lately) const;
  void Close();

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Link {
    explicit Link(boost::asio::io_context& io) : near(io), far(io) {}
    Socket near;  // To the node.
    Socket far;   // To the server.
  };
  using LinkPtr = std::shared_ptr<Link>;

  void Accept();
  void Serve(const LinkPtr& link);
  void Pump(const LinkPtr& link, Socket& from, Socket& to, bool to_node);
  static void Reset(Link& link);

  IoLoop& loop;
  std::string server_address;
  std::string own_address;
  boost::asio::ip::tcp::acceptor acceptor;
  std::set<LinkPtr> links;
  LinkFault fault = LinkFault::kNone;
  Instant healed{};
  bool closed = false;
};

}  // namespace tanagerledge::soak

#endif  // TANAGERLEDGE_SOAK_PROXY_H_
