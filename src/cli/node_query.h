// Queries the admin HTTP interface of nodes, either all of them or one after
// another until one responds.

#ifndef TANAGERLEDGE_SRC_CLI_NODE_QUERY_H_
#define TANAGERLEDGE_SRC_CLI_NODE_QUERY_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "src/adapters/http_client.h"

namespace tanagerledge {

// The JSON body that one node returned.
struct NodeResponse {
  std::string address;
  nlohmann::json body;
};

// Access to the admin interface of nodes. Tests replace it with scripted nodes.
class NodePort {
 public:
  virtual ~NodePort() = default;

  // True if there is no node to query.
  virtual bool empty() const = 0;

  // Queries the nodes in order and returns the first response. If none
  // responds, the error lists every node with its failure.
  virtual tl::expected<NodeResponse, std::string> Query(
      const std::string& target) = 0;

  // Queries every node and returns the response or the error of each.
  virtual std::vector<tl::expected<NodeResponse, std::string>> QueryAll(
      const std::string& target) = 0;
};

// Queries nodes over HTTP. Must be used in a fiber of the loop; call Close()
// before the loop stops.
class HttpNodePort : public NodePort {
 public:
  HttpNodePort(IoLoop& loop,
               const std::vector<boost::asio::ip::tcp::endpoint>& nodes);

  bool empty() const override { return this->clients.empty(); }
  tl::expected<NodeResponse, std::string> Query(
      const std::string& target) override;
  std::vector<tl::expected<NodeResponse, std::string>> QueryAll(
      const std::string& target) override;

  void Close();

 private:
  struct Client {
    std::string address;
    std::unique_ptr<HttpClient> http;
  };

  static tl::expected<NodeResponse, std::string> QueryOne(
      Client& client,
      const std::string& target);

  std::vector<Client> clients;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_CLI_NODE_QUERY_H_
