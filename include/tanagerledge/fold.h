// Computes the current release state by folding the records of the stream
// `releases`, as in event sourcing.
//
// Every node applies the same records in the order of their offsets and gets
// the same states, verdicts and digests. The nodes need no other agreement.
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

// Number of publish ids that are remembered to detect a repeated append. An
// even older repeat conflicts with its own first append, so it is never applied
// twice.
inline constexpr std::size_t kMaxJudgedPublishes = 1024;

// Changes of items, withdrawals included, are remembered for this many
// releases. A note with an older base is rejected, because the changes since
// its base are no longer known.
inline constexpr std::uint64_t kMaxBaseAgeReleases = 4096;

inline constexpr std::size_t kMaxRecordBytes = 4 * 1024 * 1024;

// The newest version of the fold rules that this program supports.
inline constexpr int kMaxFoldRulesVersion = 1;

// Verdicts ------------------------------------------------------------------

// The note was applied and made a release.
struct Accepted {
  ReleaseNumber release;
  Digest digest{};

  bool operator==(const Accepted&) const = default;
};

// The note is invalid in the current state.
struct Rejected {
  std::vector<NoteFault> faults;

  bool operator==(const Rejected&) const = default;
};

// An item that has changed since the note's base.
struct ChangedItem {
  ItemId item;
  ReleaseNumber changed_in;

  bool operator==(const ChangedItem&) const = default;
};

// A release after the note's base changed the same items.
struct Conflict {
  std::vector<ChangedItem> items;

  bool operator==(const Conflict&) const = default;
};

// The publish id already has a verdict, on the record at offset `first`.
// `release` is 0 if that note was not accepted.
struct Repeat {
  LogOffset first;
  ReleaseNumber release;

  bool operator==(const Repeat&) const = default;
};

// The record is malformed or of an unknown kind.
struct Skipped {
  std::string text;

  bool operator==(const Skipped&) const = default;
};

using VerdictResult =
    std::variant<Accepted, Rejected, Conflict, Repeat, Skipped>;

// The result of one record, as reported to the audit log.
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
  kNotNewer,  // The fold is already at or past it: nothing changed.
  // The checkpoint contradicts the fold: it has the same release with another
  // digest, a higher release at an offset already passed, or a lower release at
  // a later offset. This raises an alarm.
  kDiverged,
  kInvalid,           // The content violates a limit or a rule.
  kUnsupportedRules,  // It was written under a newer rules version.
};

class Fold {
 public:
  explicit Fold(int max_rules_version = kMaxFoldRulesVersion);

  // Applies the record at next_offset(); a record at any other offset is
  // ignored. Checkpoints and rule changes have no verdict.
  std::optional<Verdict> Apply(LogOffset offset, std::string_view record);
  std::optional<Verdict> Apply(LogOffset offset,
                               const wire::ReleaseRecord& record);

  // Moves the fold forward to a checkpoint, never backward.
  AdoptResult Adopt(const wire::Checkpoint& checkpoint);

  // The fold's content, which depends only on the records before next_offset().
  wire::Checkpoint ToCheckpoint() const;

  std::shared_ptr<const FleetState> State() const { return this->state; }
  LogOffset next_offset() const { return this->next; }

  // The result of a publish id if it is still remembered. This includes notes
  // from before the checkpoint that the fold adopted.
  std::optional<wire::JudgedPublish> FindJudged(
      std::string_view publish_id) const;

  // True when the stream requires a rules version that this program does not
  // support. The fold then keeps its state and applies no more records.
  bool needs_upgrade() const {
    return this->rules_version > this->max_rules_version;
  }

 private:
  Verdict ApplyPublish(LogOffset offset,
                       const wire::Publish& publish,
                       std::string_view record);
  VerdictResult EvaluatePublish(LogOffset offset,
                                const wire::Publish& publish,
                                std::string_view record);
  VerdictResult Accept(const wire::Publish& publish,
                       FleetState changed,
                       std::string_view record);
  std::vector<ChangedItem> ChangedSince(const wire::Note& note) const;
  void AddJudged(LogOffset offset,
                 const std::string& publish_id,
                 ReleaseNumber release);
  void PruneTouchedItems();

  int max_rules_version;
  int rules_version = 1;
  LogOffset next;
  std::shared_ptr<const FleetState> state;
  std::map<ItemId, ReleaseNumber> touched;  // The latest change of each item.
  std::deque<wire::JudgedPublish> judged;   // Oldest first.
};

// Hashes the previous digest together with the accepted record.
Digest ChainDigest(const Digest& before, std::string_view record);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_FOLD_H_
