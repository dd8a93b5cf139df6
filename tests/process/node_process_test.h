// Runs one tanagerledged as a process, with a fake store and a fake backend
// server that sends heartbeats to it.

#ifndef TANAGERLEDGE_TESTS_PROCESS_NODE_PROCESS_TEST_H_
#define TANAGERLEDGE_TESTS_PROCESS_NODE_PROCESS_TEST_H_

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fakes/log_store.h"
#include "fakes/node_process.h"
#include "fakes/test_backend.h"
#include "src/adapters/fiber_io.h"
#include "src/adapters/http_message.h"

namespace tanagerledge {

class NodeProcessTest : public testing::Test {
 protected:
  // The node counts a backend server as gone after three of these.
  static constexpr std::chrono::milliseconds kHeartbeatPeriod{300};
  static constexpr const char* kInstance = "i-1";

  NodeProcessTest();
  ~NodeProcessTest() override;

  // Starts the node, sends a heartbeat each period from then on, and waits
  // until a call is served.
  void SetUp() override;

  // The fields of the next heartbeat of the backend server.
  nlohmann::json NextHeartbeat();
  // Sends a message to the node as a backend server does; returns the status of
  // its answer, or 0 without one.
  int SendToNode(const std::string& body,
                 const std::string& instance = kInstance,
                 const char* method = "PUT");
  void StopHeartbeats() { this->beating = false; }
  // Starts a second node of the fleet, without a backend server, and waits
  // until calls through it are served. Returns its front address.
  std::string StartNodeWithoutBackend();
  // Another backend server with the same instance id, at another address.
  TestBackend& AddBackend();

  // Makes one call through the node. Its answer has status 0 without one.
  HttpResponse Call(std::chrono::milliseconds deadline = kCallTimeout);
  HttpResponse CallThrough(const std::string& front_address,
                           std::chrono::milliseconds deadline = kCallTimeout);
  std::future<int> CallAsync();
  // The status of a call.
  int CallStatus() { return this->Call().status; }
  // Writes an entry into the list of nodes in the store.
  void PutNodeRecord(const std::string& key, const std::string& value);

  bool IsRunning() { return !this->process->Reap().has_value(); }
  bool Eventually(const std::function<bool()>& holds,
                  std::chrono::milliseconds within);
  std::string ReadLog() const;

  template <typename Work>
  auto OnLoop(Work work) -> decltype(work());

  static constexpr std::chrono::milliseconds kCallTimeout{1500};

  IoLoop loop;
  LogStore store;
  TestBackend backend;
  std::string node_address;
  std::string front;
  std::unique_ptr<NodeProcess> process;
  // To be changed before SetUp.
  std::chrono::milliseconds heartbeat_period = kHeartbeatPeriod;

 private:
  // Writes the settings of a node and returns the path of their file.
  std::string WriteSettings(const std::string& name,
                            const std::string& node,
                            const std::string& front_address,
                            const std::string& admin_address) const;
  HttpResponse Send(const std::string& address, const HttpRequest& request);
  void Configure();

  std::vector<std::unique_ptr<TestBackend>> added_backends;
  std::string folder;
  std::string settings_path;
  std::string store_address;
  std::string admin;
  std::unique_ptr<NodeProcess> second_process;
  std::atomic<bool> beating{true};
  std::atomic<int> calls{0};
  std::atomic<std::int64_t> sequence{0};
  std::int64_t born_ms = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_TESTS_PROCESS_NODE_PROCESS_TEST_H_
