// A small mesh in one process on loopback, for tests and benchmarks. It has a
// fake log store, nodes, and fake backend servers for some of the nodes.
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

  // Starts a node and, unless `service` is empty, a backend server for it.
  // Returns the node's address for callers, or an empty string when the node
  // could not start.
  std::string AddNode(const ServiceName& service,
                      FakeBackendConfig backend = FakeBackendConfig());

  // Publishes a note of an operator by appending it to the log.
  void Publish(std::string_view note);

  // Sends a request over HTTP. Returns nothing when there was no answer.
  std::optional<HttpResponse> Send(const std::string& address,
                                   const HttpRequest& request);

  // Repeats a call until it succeeds, for up to 15 s. Returns whether it did.
  bool AwaitServed(const std::string& front, const std::string& target);

  // Drains and ends a node. `index` counts the calls of AddNode, from 0.
  void ShutDownNode(std::size_t index);

  LogStore& log() { return this->log_store; }
  // Address at which the node's backend server announces itself.
  const std::string& admin_address(std::size_t index) const {
    return this->admin_addresses[index];
  }
  const std::string& backend_address(std::size_t index) const {
    return this->backend_addresses[index];
  }

 private:
  Settings NextSettings();
  void RunInFiber(const std::function<void(IoLoop&)>& work);

  IoLoop fakes_loop;
  LogStore log_store;
  std::string log_address;
  NodeId seed_node;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<FakeBackend>> backends;
  std::vector<std::string> admin_addresses;
  std::vector<std::string> backend_addresses;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_FAKES_SMALL_MESH_H_
