#include "src/adapters/net.h"

#include <gtest/gtest.h>

namespace tanagerledge {
namespace {

class ListenTest : public ::testing::Test {
 protected:
  boost::asio::io_context io;
  const boost::asio::ip::tcp::endpoint any = CheckedAddress("127.0.0.1:0");
};

// Guards against two processes that share a port by mistake: the system gives
// each a part of the other's connections.
TEST_F(ListenTest, PortInUse_IsRefused) {
  const auto first = Listen(this->io, this->any);
  ASSERT_TRUE(first.has_value());
  const auto endpoint = first->local_endpoint();
  EXPECT_FALSE(Listen(this->io, endpoint).has_value());
  EXPECT_FALSE(Listen(this->io, endpoint, PortSharing::kShared).has_value());
  EXPECT_FALSE(CheckUnused(endpoint).has_value());
}

TEST_F(ListenTest, SharedPort_TakesMoreSharersOnly) {
  const auto first = Listen(this->io, this->any, PortSharing::kShared);
  ASSERT_TRUE(first.has_value());
  const auto endpoint = first->local_endpoint();
  EXPECT_TRUE(Listen(this->io, endpoint, PortSharing::kShared).has_value());
  EXPECT_FALSE(Listen(this->io, endpoint).has_value());
  EXPECT_FALSE(CheckUnused(endpoint).has_value());
}

TEST_F(ListenTest, PortReleased_IsTakenAgain) {
  const auto endpoint = Listen(this->io, this->any)->local_endpoint();
  EXPECT_TRUE(CheckUnused(endpoint).has_value());
  EXPECT_TRUE(Listen(this->io, endpoint).has_value());
}

}  // namespace
}  // namespace tanagerledge
