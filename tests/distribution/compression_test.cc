#include "src/distribution/compression.h"

#include <gtest/gtest.h>

#include <string>

namespace tanagerledge {
namespace {

class CompressionTest : public ::testing::Test {
 protected:
  static std::string Routes() {
    std::string text;
    for (int i = 0; i < 3'000; ++i) {
      text += R"({"host":"h)" + std::to_string(i) +
              R"(.example","path_prefix":"/x/"},)";
    }
    return text;
  }
};

TEST_F(CompressionTest, PackedText_IsSmallerAndUnpacksUnchanged) {
  const std::string text = Routes();
  const std::string packed = Pack(text);
  EXPECT_LT(packed.size(), text.size() / 4);
  EXPECT_EQ(Unpack(packed, text.size()).value(), text);
}

TEST_F(CompressionTest, UnpackedSizeAboveLimit_IsAnError) {
  const std::string text = Routes();
  EXPECT_FALSE(Unpack(Pack(text), text.size() - 1).has_value());
}

TEST_F(CompressionTest, TruncatedOrInvalidBytes_AreAnError) {
  const std::string text = Routes();
  const std::string packed = Pack(text);
  EXPECT_FALSE(Unpack("", text.size()).has_value());
  EXPECT_FALSE(Unpack("not packed at all", text.size()).has_value());
  for (std::size_t cut = 1; cut < packed.size(); cut += 97) {
    EXPECT_FALSE(Unpack(packed.substr(0, cut), text.size()).has_value());
  }
}

}  // namespace
}  // namespace tanagerledge
