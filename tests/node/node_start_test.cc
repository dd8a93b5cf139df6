// Starts nodes at addresses that are in use.

#include <gtest/gtest.h>

#include <string>

#include "fakes/reserved_address.h"
#include "platform/store_client.h"
#include "src/adapters/logging.h"
#include "src/adapters/net.h"
#include "src/node/node.h"

namespace tanagerledge {
namespace {

class NodeStartTest : public testing::Test {
 protected:
  static void SetUpTestSuite() { static_cast<void>(StartLogging("off")); }

  NodeStartTest() {
    this->settings.fleet = "start";
    this->settings.zone = {"north"};
    this->settings.workers = 2;
    this->settings.address = {ReserveAddress()};
    this->settings.front_address = ReserveAddress();
    this->settings.admin_address = ReserveAddress();
    this->settings.log_address = ReserveAddress();
  }

  // The error of a start while another process listens on the address.
  std::string StartBeside(const std::string& address) {
    boost::asio::io_context io;
    const auto other =
        Listen(io, CheckedAddress(address), PortSharing::kShared);
    EXPECT_TRUE(other.has_value());
    Node node(this->settings, platform::ConnectStore);
    const auto started = node.Start();
    EXPECT_FALSE(started.has_value());
    return started ? std::string() : started.error();
  }

  Settings settings;
};

// Its workers share an address with each other, but with no other process.
TEST_F(NodeStartTest, AddressSharedByAnotherProcess_StartFails) {
  for (const std::string& address :
       {this->settings.front_address, this->settings.address.value,
        this->settings.admin_address}) {
    EXPECT_NE(this->StartBeside(address).find(address), std::string::npos);
  }
}

}  // namespace
}  // namespace tanagerledge
