// From the records of the stream `releases` to the state in force.
//
// Every node feeds the same records in the order of their offsets and gets the
// same states, verdicts and digests. Nothing else is agreed between nodes.
//
//   Fold fold;
//   std::optional<Verdict> verdict = fold.Apply(record.offset, record.bytes);
//   std::shared_ptr<const FleetState> state = fold.State();

#ifndef TANAGERLEDGE_FOLD_H_
#define TANAGERLEDGE_FOLD_H_

#include <release_types.h>

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "tanagerledge/note.h"
#include "tanagerledge/snapshot.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

inline constexpr std::string_view kReleaseStream = "releases";

// Publish ids remembered, so that a repeated append is told apart. A repeat
// that is older still meets a conflict with itself and is never doubled.
inline constexpr std::size_t kJudgedPublishes = 1024;

// Withdrawn items are remembered for this many releases; a base that is older
// is refused, since nobody can tell what changed since.
inline constexpr std::uint64_t kMaxBaseAgeReleases = 4096;

inline constexpr std::size_t kMaxRecordBytes = 4 * 1024 * 1024;

// The newest rules that this program can fold by.
inline constexpr int kNewestFoldRules = 1;

// Verdicts ------------------------------------------------------------------

// The note is a release.
struct Accepted {
  ReleaseNumber release;
  Digest digest{};

  bool operator==(const Accepted&) const = default;
};

// The note does not fit the state.
struct Rejected {
  std::vector<NoteFault> faults;

  bool operator==(const Rejected&) const = default;
};

// An item that changed since the note's base.
struct ChangedItem {
  ItemId item;
  ReleaseNumber changed_in;

  bool operator==(const ChangedItem&) const = default;
};

// Another release came first.
struct Conflict {
  std::vector<ChangedItem> items;

  bool operator==(const Conflict&) const = default;
};

// The publish id was judged before; `release` is 0 if it was not accepted.
struct Repeat {
  LogOffset first;
  ReleaseNumber release;

  bool operator==(const Repeat&) const = default;
};

// The record is nothing that can be judged.
struct Skipped {
  std::string text;

  bool operator==(const Skipped&) const = default;
};

using VerdictResult =
    std::variant<Accepted, Rejected, Conflict, Repeat, Skipped>;

// What became of one record: the audit trail's entry.
struct Verdict {
  LogOffset offset;
  std::string publish_id;
  std::string operator_name;
  std::string title;
  WallTime published_at{};
  VerdictResult result;

  bool operator==(const Verdict&) const = default;
};

// Fold ----------------------------------------------------------------------

enum class AdoptResult {
  kAdopted,   // The fold moved forward to the checkpoint.
  kNotNewer,  // The fold is there already: nothing changed.
  kDiverged,  // Same release, other digest, or a later release: an alarm.
  kInvalid,   // The content breaks a limit or a rule.
  kNewRules,  // Made by rules that this program does not know.
};

class Fold {
 public:
  explicit Fold(int newest_rules = kNewestFoldRules);

  // Applies the record at the next offset. Nothing happens, and there is no
  // verdict, for any other offset, for checkpoints and for changes of rules.
  std::optional<Verdict> Apply(LogOffset offset, std::string_view record);
  std::optional<Verdict> Apply(LogOffset offset,
                               const wire::ReleaseRecord& record);

  // Moves forward to a checkpoint; never back.
  AdoptResult Adopt(const wire::Checkpoint& checkpoint);

  // The fold's content, a function of the records before next_offset().
  wire::Checkpoint ToCheckpoint() const;

  std::shared_ptr<const FleetState> State() const { return this->state; }
  LogOffset next_offset() const { return this->next; }

  // What became of a publish id, if it is still remembered: also for notes
  // that were judged before the checkpoint this fold began with.
  std::optional<wire::JudgedPublish> FindJudged(
      std::string_view publish_id) const;

  // True when the stream asks for rules that this program does not know: it
  // goes on serving its state and applies nothing more.
  bool needs_upgrade() const { return this->rules > this->newest_rules; }

 private:
  Verdict Judge(LogOffset offset,
                const wire::Publish& publish,
                std::string_view record);
  VerdictResult JudgeResult(LogOffset offset,
                            const wire::Publish& publish,
                            std::string_view record);
  VerdictResult Accept(const wire::Publish& publish,
                       FleetState changed,
                       std::string_view record);
  std::vector<ChangedItem> ChangedSince(const wire::Note& note) const;
  void Remember(LogOffset offset,
                const std::string& publish_id,
                ReleaseNumber release);
  void ForgetOldItems();

  int newest_rules;
  int rules = 1;
  LogOffset next;
  std::shared_ptr<const FleetState> state;
  std::map<ItemId, ReleaseNumber> touched;
  std::deque<wire::JudgedPublish> judged;  // Oldest first.
};

// The next digest of the chain: the one before and the accepted record.
Digest ChainDigest(const Digest& before, std::string_view record);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_FOLD_H_
