// Fuzzes the parsers of text input: notes, INI, settings, addresses, tokens,
// log pages and others.

#include <gtest/gtest.h>

#include "src/adapters/http_message.h"
#include "src/adapters/log_page.h"
#include "src/adapters/net.h"
#include "src/adapters/settings.h"
#include "src/node/backend_watch.h"
#include "src/node/call_messages.h"
#include "tanagerledge/ini.h"
#include "tanagerledge/note.h"
#include "tanagerledge/session.h"
#include "tests/fuzz/mutation.h"

namespace tanagerledge {
namespace {

const std::string kNote =
    "[note]\nbase = 0\ntitle = first\n[add service curves]\n"
    "[add rank lookup]\ntarget_ms = 250\nworth = 10\nfloor_percent = 5\n"
    "[add route curve]\nprefix = /curve\nservice = curves\nrank = lookup\n"
    "idempotent = yes\ndeadline_ms = 2000\n[withdraw route old]\n";

const std::string kSettings =
    "[node]\nfleet = f\naddress = 127.0.0.1:1\nzone = z\nworkers = 2\n"
    "seeds = 127.0.0.1:2, 127.0.0.1:3\n[front]\naddress = 127.0.0.1:4\n"
    "[admin]\naddress = 127.0.0.1:5\n[log]\naddress = 127.0.0.1:6\n"
    "[delays]\nz = 5ms\n";

class TextFuzz : public testing::Test {};

TEST_F(TextFuzz, Ini_IsParsedOrGivesFaults) {
  Fuzz({kNote, kSettings}, [](const std::string& text) {
    const auto document = ParseIni(text);
    if (!document) {
      EXPECT_FALSE(document.error().empty());
    }
  });
}

TEST_F(TextFuzz, Note_IsAppliedExactlyIfValid) {
  Fuzz({kNote}, [](const std::string& text) {
    const auto parsed = ParseNote(text);
    if (!parsed) {
      EXPECT_FALSE(parsed.error().empty());
      return;
    }
    const FleetState empty;
    const auto applied = ApplyNote(parsed->note, empty);
    EXPECT_EQ(applied.has_value(), Validate(parsed->note, empty).empty());
  });
}

TEST_F(TextFuzz, Settings_AreParsedOrGiveFaults) {
  Fuzz({kSettings}, [](const std::string& text) {
    const auto settings = ParseSettings(text);
    if (!settings) {
      EXPECT_FALSE(settings.error().empty());
    }
  });
}

TEST_F(TextFuzz, Address_IsParsedOrRejected) {
  Fuzz({"127.0.0.1:80", "[::1]:9000"}, [](const std::string& text) {
    const auto address = ParseAddress(text);
    if (!address) {
      EXPECT_FALSE(address.error().text.empty());
    }
  });
}

TEST_F(TextFuzz, Time_IsParsedOrRejected) {
  Fuzz({"500us", "20ms", "3s"}, [](const std::string& text) {
    const auto time = ParseTime(text);
    if (!time) {
      EXPECT_FALSE(time.error().empty());
    }
  });
}

TEST_F(TextFuzz, RequestTarget_PartsFitInTarget) {
  Fuzz({"/reach?release=3&x=1", "/a?b"}, [](const std::string& target) {
    HttpRequest request;
    request.target = target;
    EXPECT_LE(request.Path().size(), target.size());
    EXPECT_LE(request.Query("release").size(), target.size());
  });
}

TEST_F(TextFuzz, SessionToken_IsParsedWithinBoundsOrRejected) {
  SessionToken token;
  token.RecordRelease({7});
  token.RecordWrite({"claims"}, {3}, {"127.0.0.1:1"});
  Fuzz({ToText(token)}, [](const std::string& text) {
    const auto parsed = ParseSessionToken(text);
    if (parsed) {
      EXPECT_LE(parsed->writes().size(), kMaxSessionServices);
      EXPECT_EQ(ParseSessionToken(ToText(*parsed)), parsed);
    }
  });
  EXPECT_FALSE(ParseSessionToken(std::string(100'000, 'a')).has_value());
}

TEST_F(TextFuzz, Announcement_IsParsedOrRejected) {
  const std::string valid =
      R"({"service": "claims", "address": "127.0.0.1:5000", "slots": 13,)"
      R"( "connections": 130, "state": "ready", "instance": "4711"})";
  ASSERT_TRUE(ParseAnnouncement(valid).has_value());
  Fuzz({valid}, [](const std::string& body) {
    const auto announcement = ParseAnnouncement(body);
    if (!announcement) {
      EXPECT_FALSE(announcement.error().empty());
      return;
    }
    EXPECT_LE(announcement->slots, kMaxSlots);
  });
  EXPECT_FALSE(ParseAnnouncement(std::string(500'000, '[')).has_value());
}

TEST_F(TextFuzz, HeaderNumber_StaysInRange) {
  Fuzz({"17", "-1", "99999999999999999999"}, [](const std::string& text) {
    const std::int64_t number = ParseNumberOr(text, 5, 64);
    EXPECT_GE(number, 0);
    EXPECT_LE(number, 64);
  });
}

TEST_F(TextFuzz, LogPage_RecordsFitInPage) {
  std::string page;
  AppendToPage(page, "first");
  AppendToPage(page, "");
  AppendToPage(page, std::string(100, 'x'));
  Fuzz({page}, [](const std::string& bytes) {
    const auto records = ParsePage(bytes, {5});
    if (!records) {
      EXPECT_FALSE(records.error().empty());
      return;
    }
    std::size_t total = 0;
    for (const LogRecord& record : *records) {
      total += record.bytes.size();
    }
    EXPECT_LE(total, bytes.size());
  });
}

}  // namespace
}  // namespace tanagerledge
