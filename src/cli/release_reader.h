// Folds the stream `releases` for the operators' tool, as every node does.

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

// How far one read brought the fold.
struct ReadProgress {
  std::vector<Verdict> verdicts;  // On the records that were read.
  LogOffset next;
  LogOffset end;
};

class ReleaseReader {
 public:
  explicit ReleaseReader(LogPort& log);

  // Keeps the states of these releases when they are passed, for `StateOf`.
  void Keep(std::set<ReleaseNumber> releases);

  // Reads one page on. Where older records have expired, goes on from the
  // oldest checkpoint that is still of use.
  tl::expected<ReadProgress, LogError> ReadPage(std::chrono::milliseconds wait);

  // Reads to the end of the stream.
  tl::expected<void, LogError> CatchUp();

  const Fold& fold() const { return this->releases; }

  // Every verdict read so far, oldest first.
  const std::vector<Verdict>& verdicts() const { return this->seen; }

  // The oldest record that was still kept: what came before is not known.
  LogOffset first_kept() const { return this->oldest; }

  // Null unless it was to be kept and was passed.
  std::shared_ptr<const FleetState> StateOf(ReleaseNumber release) const;

 private:
  tl::expected<LogPage, LogError> Read(LogOffset from,
                                       std::chrono::milliseconds wait);
  tl::expected<void, LogError> AdoptCheckpoint(LogOffset first_kept);
  void KeepState();

  LogPort& log;
  Fold releases;
  LogOffset oldest;
  std::vector<Verdict> seen;
  std::set<ReleaseNumber> wanted;
  std::map<ReleaseNumber, std::shared_ptr<const FleetState>> kept;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_CLI_RELEASE_READER_H_
