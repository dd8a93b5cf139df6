#include "tanagerledge/byte_account.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace tanagerledge {
namespace {

constexpr std::size_t kMebibyte = 1024 * 1024;

class ByteAccountTest : public testing::Test {
 protected:
  std::unique_ptr<ByteReservation> Reserve(std::size_t bytes) {
    auto room = std::make_unique<ByteReservation>(&this->account);
    return room->GrowTo(bytes) ? std::move(room) : nullptr;
  }

  ByteAccount account{BodyLimitsFor(256 * kMebibyte)};
};

TEST_F(ByteAccountTest, LongBodiesWithoutRoom_AreRefusedAndShortOnesFit) {
  std::vector<std::unique_ptr<ByteReservation>> held;
  for (int caller = 0; caller < 100; ++caller) {
    held.push_back(this->Reserve(60 * kMebibyte));
  }
  EXPECT_EQ(std::ranges::count_if(
                held, [](const auto& room) { return room == nullptr; }),
            98);
  EXPECT_EQ(this->account.refused(), 98);
  for (int caller = 0; caller < 400; ++caller) {
    held.push_back(this->Reserve(kLongBodyBytes));
    EXPECT_NE(held.back(), nullptr) << caller;
  }
  EXPECT_LT(this->account.held(), 160 * kMebibyte);
}

TEST_F(ByteAccountTest, ReservationEnds_ItsRoomIsFree) {
  auto first = this->Reserve(100 * kMebibyte);
  ASSERT_NE(first, nullptr);
  EXPECT_EQ(this->Reserve(60 * kMebibyte), nullptr);
  first.reset();
  EXPECT_EQ(this->account.held(), 0U);
  EXPECT_NE(this->Reserve(60 * kMebibyte), nullptr);
}

TEST_F(ByteAccountTest, RefusedGrowth_KeepsWhatItHas) {
  const auto room = this->Reserve(60 * kMebibyte);
  EXPECT_FALSE(room->GrowTo(400 * kMebibyte));
  EXPECT_EQ(room->bytes(), 60 * kMebibyte);
  EXPECT_EQ(this->account.held(), 60 * kMebibyte);
  EXPECT_TRUE(room->GrowTo(120 * kMebibyte));
  EXPECT_EQ(this->account.held(), 120 * kMebibyte);
}

// Answers that were read already can't be refused, but count.
TEST_F(ByteAccountTest, HeldBeyondTheLimit_NewBodiesAreRefused) {
  ByteReservation answers(&this->account);
  answers.HoldAtLeast(300 * kMebibyte);
  EXPECT_EQ(this->Reserve(1), nullptr);
}

TEST_F(ByteAccountTest, ReservationWithoutAccount_HasNoLimit) {
  ByteReservation room(nullptr);
  EXPECT_TRUE(room.GrowTo(kMebibyte * kMebibyte));
}

}  // namespace
}  // namespace tanagerledge
