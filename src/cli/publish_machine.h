// State machine that appends one note to the log and determines its outcome. It
// does no I/O: the caller executes each action and passes the result back as an
// event.
//
//   PublishMachine machine("id", deadline);
//   PublishAction action = machine.Start(now);
//   while (...) action = machine.OnEvent(event, now);
//
// The record carries a unique publish id, so it is safe to append it more than
// once: the fold judges the first copy and ignores the others. The machine
// therefore only distinguishes two cases: it is certain that nothing was
// written, or something may have been written.

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
  kAccepted,      // The note became a release.
  kRejected,      // The note was judged and had no effect.
  kNotPublished,  // Certain: nothing was written.
  kNotYetKnown,   // The note is or may be on the log and is not judged yet.
};

struct PublishReport {
  PublishOutcome outcome = PublishOutcome::kNotPublished;
  std::optional<Verdict> verdict;  // With kAccepted and kRejected.
  std::string reason;              // With kNotPublished and kNotYetKnown.
};

// Events --------------------------------------------------------------------

struct AppendEnded {
  tl::expected<LogOffset, LogError> result;
};

// The fold judged a record of the stream, which may be that of another note.
struct VerdictSeen {
  Verdict verdict;
};

// A read succeeded. Sent after the VerdictSeen events of its records.
struct ReadEnded {
  LogOffset next;  // Offset of the first record that was not read.
  LogOffset end;   // End of the stream.
};

struct ReadFailed {
  std::string text;
};

// The time of a Pause has passed.
struct PauseEnded {};

using PublishEvent =
    std::variant<AppendEnded, VerdictSeen, ReadEnded, ReadFailed, PauseEnded>;

// Actions -------------------------------------------------------------------

// Append the record of the note to the log.
struct AppendNote {};

// Read the next page of the stream.
struct ReadNextPage {};

struct Pause {
  std::chrono::milliseconds duration{0};
};

// The last action: the outcome is final.
struct Finish {
  PublishReport report;
};

using PublishAction = std::variant<AppendNote, ReadNextPage, Pause, Finish>;

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
  PublishAction BackOff();
  PublishReport UnsettledReport() const;

  std::string publish_id;
  Instant deadline;
  std::chrono::milliseconds backoff;
  bool may_be_written = false;
  std::optional<LogOffset> written_offset;  // Once an append is confirmed.
  std::optional<Verdict> verdict;
  std::string last_error;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_CLI_PUBLISH_MACHINE_H_
