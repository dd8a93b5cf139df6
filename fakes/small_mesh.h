// A small mesh in one process, on loopback: the log stand-in, nodes, and a
// backend server stand-in beside some of them. For tests and benchmarks.
//
//   SmallMesh mesh;
//   mesh.Publish(kNote);
//   const std::string front = mesh.AddNode({"claims"});
//   mesh.AwaitServed(front, "/claim");

#ifndef TANAGERLEDGE_FAKES_SMALL_MESH_H_
#define TANAGERLEDGE_FAKES_SMALL_MESH_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fakes/backend.h"
#include "fakes/log_store.h"
#include "src/adapters/http_message.h"
#include "src/node/node.h"

namespace tanagerledge {

class SmallMesh {
 public:
  SmallMesh();
  ~SmallMesh();

  // Starts a node; with a service also a backend server beside it. The address
  // where callers come in, or nothing when it could not start.
  std::string AddNode(const ServiceName& service,
                      FakeBackendConfig backend = FakeBackendConfig());

  // Appends a note to the log as an operator would.
  void Publish(std::string_view note);

  // Fetches a page; nothing when no answer came.
  std::optional<HttpResponse> Send(const std::string& address,
                                   const HttpRequest& request);

  // Waits until a call is served, up to 15 s.
  bool AwaitServed(const std::string& front, const std::string& target);

  // Drains and ends one node, by the order of AddNode.
  void ShutDownNode(std::size_t index);

  LogStore& log() { return this->log_store; }
  // Where a backend server beside the node announces itself.
  const std::string& admin_address(std::size_t index) const {
    return this->admin_addresses[index];
  }
  const std::string& backend_address(std::size_t index) const {
    return this->backend_addresses[index];
  }

 private:
  Settings NextSettings();
  void InFiber(const std::function<void(IoLoop&)>& work);

  IoLoop stand_ins;
  LogStore log_store;
  std::string log_address;
  NodeId seed;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<FakeBackend>> backends;
  std::vector<std::string> admin_addresses;
  std::vector<std::string> backend_addresses;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_FAKES_SMALL_MESH_H_
