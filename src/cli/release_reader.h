// Reads the stream `releases` and applies it to a fold, as every node does, so
// that the command line tool can show states and verdicts.

#ifndef TANAGERLEDGE_SRC_CLI_RELEASE_READER_H_
#define TANAGERLEDGE_SRC_CLI_RELEASE_READER_H_

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <tl/expected.hpp>
#include <vector>

#include "tanagerledge/fold.h"
#include "tanagerledge/ports.h"

namespace tanagerledge {

// The result of reading one page.
struct ReadProgress {
  std::vector<Verdict> verdicts;  // Of the records that were read.
  LogOffset next;  // Offset of the first record that was not read.
  LogOffset end;   // End of the stream.
};

class ReleaseReader {
 public:
  explicit ReleaseReader(LogPort& log);

  // Retains the states of these releases while reading, for StateOf(). Call it
  // before the releases are read.
  void RetainStates(std::set<ReleaseNumber> releases);

  // Reads the next page. If its records have expired, continues from the oldest
  // checkpoint that covers the expired records.
  tl::expected<ReadProgress, LogError> ReadPage(std::chrono::milliseconds wait);

  // Reads to the end of the stream.
  tl::expected<void, LogError> CatchUp();

  const Fold& fold() const { return this->releases; }

  // All verdicts so far, oldest first.
  const std::vector<Verdict>& verdicts() const { return this->all_verdicts; }

  // Offset of the oldest record that the log still keeps. Greater than 0 only
  // after expired records were skipped; their verdicts are not known.
  LogOffset first_kept() const { return this->oldest_kept; }

  // Null unless the release was passed to RetainStates() and has been read.
  std::shared_ptr<const FleetState> StateOf(ReleaseNumber release) const;

 private:
  tl::expected<LogPage, LogError> Read(LogOffset from,
                                       std::chrono::milliseconds wait);
  tl::expected<void, LogError> AdoptCheckpoint(LogOffset first_kept);
  void RetainState();

  LogPort& log;
  Fold releases;
  LogOffset oldest_kept;
  std::vector<Verdict> all_verdicts;
  std::set<ReleaseNumber> retained_releases;
  std::map<ReleaseNumber, std::shared_ptr<const FleetState>> retained_states;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_CLI_RELEASE_READER_H_
