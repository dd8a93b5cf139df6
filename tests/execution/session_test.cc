// Tests session tokens: a merge never lowers a mark, and arbitrary input is
// handled.

#include "tanagerledge/session.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace tanagerledge {
namespace {

SessionToken AnyToken(int services) {
  SessionToken token;
  token.RecordRelease({*rc::gen::inRange<std::uint64_t>(0, 9)});
  const int writes = *rc::gen::inRange(0, 8);
  for (int i = 0; i < writes; ++i) {
    const int service = *rc::gen::inRange(0, services);
    const int node = *rc::gen::inRange(0, 3);
    token.RecordWrite({"service-" + std::to_string(service)},
                      {*rc::gen::inRange<std::uint64_t>(1, 20)},
                      {"10.0.0." + std::to_string(node) + ":1"});
  }
  return token;
}

SessionToken Merged(SessionToken a, const SessionToken& b) {
  a.Merge(b);
  return a;
}

class SessionTest : public testing::Test {};

RC_GTEST_FIXTURE_PROP(SessionTest,
                      Merge_IsCommutativeAssociativeIdempotent,
                      ()) {
  const SessionToken a = AnyToken(60);
  const SessionToken b = AnyToken(60);
  const SessionToken c = AnyToken(60);
  RC_ASSERT(Merged(a, b) == Merged(b, a));
  RC_ASSERT(Merged(Merged(a, b), c) == Merged(a, Merged(b, c)));
  RC_ASSERT(Merged(a, a) == a);
}

RC_GTEST_FIXTURE_PROP(SessionTest,
                      LateAndReorderedResponses_NeverLowerAMark,
                      ()) {
  SessionToken token;
  const int answers = *rc::gen::inRange(1, 12);
  for (int i = 0; i < answers; ++i) {
    const SessionToken before = token;
    const SessionToken answer = AnyToken(6);
    token.Merge(answer);
    RC_ASSERT(token.release_floor() >= before.release_floor());
    RC_ASSERT(token.release_floor() >= answer.release_floor());
    for (const SessionToken* part : {&before, &answer}) {
      for (const auto& [service, write] : part->writes()) {
        RC_ASSERT(token.LastWriteTo(service) != nullptr);
        RC_ASSERT(token.LastWriteTo(service)->mark >= write.mark);
      }
    }
  }
}

RC_GTEST_FIXTURE_PROP(SessionTest, Text_ParsesBackToTheSameToken, ()) {
  const SessionToken token = AnyToken(60);
  const auto parsed = ParseSessionToken(ToText(token));
  RC_ASSERT(parsed.has_value());
  RC_ASSERT(*parsed == token);
}

RC_GTEST_FIXTURE_PROP(SessionTest, TruncatedOrModifiedText_IsAnError, ()) {
  const std::string text = ToText(AnyToken(6));
  const auto cut = *rc::gen::inRange<std::size_t>(0, text.size());
  RC_ASSERT(!ParseSessionToken(text.substr(0, cut)).has_value());
  std::string changed = text;
  changed[cut] = changed[cut] == 'a' ? 'b' : 'a';
  RC_ASSERT(!ParseSessionToken(changed).has_value());
}

RC_GTEST_FIXTURE_PROP(SessionTest, ArbitraryBytes_DoNotCrash, ()) {
  (void)ParseSessionToken(*rc::gen::arbitrary<std::string>());
}

TEST_F(SessionTest, TooManyServices_OldestWritesAreDropped) {
  SessionToken token;
  for (int i = 0; i < 100; ++i) {
    token.RecordWrite({"service-" + std::to_string(i)}, {1}, {"10.0.0.1:1"});
  }
  EXPECT_EQ(token.writes().size(), kMaxSessionServices);
  EXPECT_NE(token.LastWriteTo({"service-99"}), nullptr);
  EXPECT_EQ(token.LastWriteTo({"service-0"}), nullptr);
  EXPECT_TRUE(ParseSessionToken(ToText(token)).has_value());
}

TEST_F(SessionTest, LongestNames_FitIntoTheToken) {
  SessionToken token;
  for (int i = 0; i < 100; ++i) {
    std::string name = std::to_string(i);
    name.resize(kMaxSessionNameBytes, 'x');
    token.RecordWrite({name}, {UINT64_MAX / 4}, {name});
  }
  EXPECT_LE(ToText(token).size(), kMaxSessionTokenBytes);
  EXPECT_TRUE(ParseSessionToken(ToText(token)).has_value());
}

TEST_F(SessionTest, OversizeText_IsAnError) {
  const auto parsed = ParseSessionToken(std::string(1 << 20, 'a'));
  ASSERT_FALSE(parsed.has_value());
  EXPECT_EQ(parsed.error(), SessionTokenError::kTooLarge);
}

}  // namespace
}  // namespace tanagerledge
