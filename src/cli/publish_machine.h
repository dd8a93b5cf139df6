// Brings one note onto the log and finds out what became of it.
//
//   PublishMachine machine("id", deadline);
//   PublishAction action = machine.Start(now);
//   while (...) action = machine.OnEvent(event, now);
//
// The record carries a publish id of its own, so sending it again is harmless:
// the fold judges the first and drops the rest. The machine therefore only has
// to keep apart what is proved: nothing was written, or something may be.

#ifndef TANAGERLEDGE_SRC_CLI_PUBLISH_MACHINE_H_
#define TANAGERLEDGE_SRC_CLI_PUBLISH_MACHINE_H_

#include <chrono>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>

#include "tanagerledge/fold.h"
#include "tanagerledge/ports.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// Outcome -------------------------------------------------------------------

enum class PublishOutcome {
  kAccepted,      // It is a release.
  kRejected,      // It was judged and changes nothing.
  kNotPublished,  // Proved: nothing was written.
  kNotYetKnown,   // It is or may come to be on the log, not judged yet.
};

struct PublishReport {
  PublishOutcome outcome = PublishOutcome::kNotPublished;
  std::optional<Verdict> verdict;  // With kAccepted and kRejected.
  std::string text;                // Why, with the other two.
};

// Events --------------------------------------------------------------------

struct AppendEnded {
  tl::expected<LogOffset, LogError> result;
};

// A record of the stream was judged.
struct VerdictSeen {
  Verdict verdict;
};

// A read ended, after the verdicts on its records were seen.
struct ReadEnded {
  LogOffset next;  // The first record that was not read.
  LogOffset end;   // Of the stream.
};

struct ReadFailed {
  std::string text;
};

struct PauseEnded {};

using PublishEvent =
    std::variant<AppendEnded, VerdictSeen, ReadEnded, ReadFailed, PauseEnded>;

// Actions -------------------------------------------------------------------

struct AppendNote {};
struct ReadOn {};
struct Pause {
  std::chrono::milliseconds time{0};
};
struct Finish {
  PublishReport report;
};

using PublishAction = std::variant<AppendNote, ReadOn, Pause, Finish>;

// Machine -------------------------------------------------------------------

class PublishMachine {
 public:
  PublishMachine(std::string publish_id, Instant deadline);

  PublishAction Start(Instant now);
  PublishAction OnEvent(const PublishEvent& event, Instant now);

 private:
  PublishAction On(const AppendEnded& event);
  PublishAction On(const VerdictSeen& event);
  PublishAction On(const ReadEnded& event);
  PublishAction On(const ReadFailed& event);
  PublishAction On(const PauseEnded& event);
  PublishAction PauseLonger();
  PublishReport Undecided() const;

  std::string publish_id;
  Instant deadline;
  std::chrono::milliseconds pause;
  bool may_be_written = false;
  std::optional<LogOffset> written_at;
  std::optional<Verdict> verdict;
  std::string last_error;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_CLI_PUBLISH_MACHINE_H_
