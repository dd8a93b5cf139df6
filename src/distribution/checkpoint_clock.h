// When a checkpoint is due, and when it is this node's turn to write it.
//
// Its content follows from the stream alone, so any node may write it and two
// are harmless: there is no lease. Readers wait by their rank for the offset,
// and whoever sees one appear stays silent.

#ifndef TANAGERLEDGE_SRC_DISTRIBUTION_CHECKPOINT_CLOCK_H_
#define TANAGERLEDGE_SRC_DISTRIBUTION_CHECKPOINT_CLOCK_H_

#include <chrono>
#include <cstddef>

#include "tanagerledge/distribution.h"

namespace tanagerledge {

class CheckpointClock {
 public:
  CheckpointClock(const DistributionConfig& distribution_config, Instant start)
      : config(distribution_config), last(start) {}

  void SawRecord() { ++this->records; }

  void SawCheckpoint(Instant now) {
    this->records = 0;
    this->last = now;
    this->due_since = Instant::max();
  }

  // Whether the node with this rank among the writers writes one now.
  bool IsTurn(std::size_t rank, Instant now) {
    const bool due = this->records >= this->config.checkpoint_records ||
                     now - this->last >= this->config.checkpoint_interval;
    if (!due) {
      return false;
    }
    if (this->due_since == Instant::max()) {
      this->due_since = now;
    }
    const auto delay = this->config.checkpoint_rank_delay * rank;
    return now >= this->due_since + delay && now >= this->not_before;
  }

  // An append was tried: wait to see it before another.
  void Wrote(Instant now) {
    constexpr int kDelaysBetweenTries = 4;
    this->not_before =
        now + this->config.checkpoint_rank_delay * kDelaysBetweenTries;
  }

 private:
  const DistributionConfig& config;
  Instant last;
  Instant due_since = Instant::max();
  Instant not_before{};
  std::size_t records = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_CHECKPOINT_CLOCK_H_
