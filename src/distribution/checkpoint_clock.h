// Decides when a checkpoint is due and when this node should write it.
//
// The content of a checkpoint depends only on the stream, so any node may write
// it, a duplicate is harmless and no lease is needed. Each reader delays its
// write in proportion to its rank at this offset, and skips it when another
// reader's checkpoint appears in the stream first.

#ifndef TANAGERLEDGE_SRC_DISTRIBUTION_CHECKPOINT_CLOCK_H_
#define TANAGERLEDGE_SRC_DISTRIBUTION_CHECKPOINT_CLOCK_H_

#include <chrono>
#include <cstddef>

#include "tanagerledge/distribution.h"

namespace tanagerledge {

class CheckpointClock {
 public:
  CheckpointClock(const DistributionConfig& distribution_config, Instant start)
      : config(distribution_config), last_checkpoint_at(start) {}

  void OnRecord() { ++this->records_since_checkpoint; }

  void OnCheckpoint(Instant now) {
    this->records_since_checkpoint = 0;
    this->last_checkpoint_at = now;
    this->due_since = Instant::max();
  }

  // Whether the node with this rank among the writers should write one now.
  bool ShouldWrite(std::size_t rank, Instant now) {
    const bool due =
        this->records_since_checkpoint >= this->config.checkpoint_records ||
        now - this->last_checkpoint_at >= this->config.checkpoint_interval;
    if (!due) {
      return false;
    }
    if (this->due_since == Instant::max()) {
      this->due_since = now;
    }
    const auto delay = this->config.checkpoint_rank_delay * rank;
    return now >= this->due_since + delay && now >= this->not_before;
  }

  // Delays the next write, so that this one can appear in the stream first.
  void OnAppend(Instant now) {
    constexpr int kRetryRankDelays = 4;
    this->not_before =
        now + this->config.checkpoint_rank_delay * kRetryRankDelays;
  }

 private:
  const DistributionConfig& config;
  Instant last_checkpoint_at;
  Instant due_since = Instant::max();
  Instant not_before{};
  std::size_t records_since_checkpoint = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_CHECKPOINT_CLOCK_H_
